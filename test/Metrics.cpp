#include "lagoonpoint/Metrics"
#include "lagoonpoint/Core"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstring>
#include <set>
#include <thread>
#include <vector>

using namespace lagoonpoint;
using Catch::Matchers::Contains;

TEST_CASE("The metric table is ordered, and its names are unique") {
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < metricTable().size(); ++Index) {
    const MetricInfo &Info = metricTable()[Index];
    CHECK(static_cast<std::size_t>(Info.Metric_) == Index);
    CHECK(std::string(Info.Name_).starts_with("lagoonpoint_"));
    CHECK(std::strlen(Info.Help_) > 10);
    CHECK(Names.insert(Info.Name_).second);
  }
}

TEST_CASE("A histogram is exported for each team") {
  MetricRegistry Registry;
  // 1 to 1000 ms, each once, in an unsorted order.
  for (int Step = 0; Step < 1000; ++Step)
    Registry.observe(Metric::RequestSeconds, {"tussock", "tags"},
                     ((Step * 367) % 1000 + 1) / 1000.0);
  std::string Text = Registry.text();

  SECTION("with cumulative buckets") {
    std::string Series = "lagoonpoint_request_seconds_bucket{team=\"tussock\","
                         "service=\"tags\",le=";
    CHECK_THAT(Text, Contains(Series + "\"0.001\"} 1\n"));
    CHECK_THAT(Text, Contains(Series + "\"0.1\"} 100\n"));
    CHECK_THAT(Text, Contains(Series + "\"1\"} 1000\n"));
    CHECK_THAT(Text, Contains(Series + "\"+Inf\"} 1000\n"));
  }
  SECTION("with sum and count") {
    std::string Labels = "{team=\"tussock\",service=\"tags\"} ";
    CHECK_THAT(
        Text, Contains("lagoonpoint_request_seconds_sum" + Labels + "500.5\n"));
    CHECK_THAT(Text,
               Contains("lagoonpoint_request_seconds_count" + Labels + "1000"));
  }
  SECTION("with quantiles close to the exact ones") {
    std::string Prefix =
        "lagoonpoint_request_seconds_quantile{team=\"tussock\","
        "service=\"tags\",quantile=\"0.99\"} ";
    std::size_t At = Text.find(Prefix);
    REQUIRE(At != std::string::npos);
    CHECK(std::stod(Text.substr(At + Prefix.size())) ==
          Approx(0.99).margin(0.02));
  }
}

TEST_CASE("Counters and gauges are exported with escaped labels") {
  MetricRegistry Registry;
  Registry.add(Metric::InFlight, {"t", "s"}, 3);
  Registry.add(Metric::InFlight, {"t", "s"}, -1);
  Registry.set(Metric::Connections, {"callers"}, 7);
  Registry.add(Metric::Refusals, {"a\"b\\c\nd", "over_rate", "no"});
  std::string Text = Registry.text();
  CHECK_THAT(Text, Contains("# TYPE lagoonpoint_in_flight gauge\n"
                            "lagoonpoint_in_flight{team=\"t\",service=\"s\"} "
                            "2\n"));
  CHECK_THAT(Text, Contains("lagoonpoint_connections{listener=\"callers\"} 7"));
  CHECK_THAT(Text, Contains("{team=\"a\\\"b\\\\c\\nd\",reason=\"over_rate\","
                            "ran=\"no\"} 1\n"));

  SECTION("with the number of violated invariants") {
    std::uint64_t Before = invariantViolations();
    CHECK_THROWS_AS(Registry.add(Metric::InFlight, {"one label"}),
                    InvariantViolation);
    CHECK_THAT(Registry.text(), Contains("lagoonpoint_invariant_violations " +
                                         std::to_string(Before + 1) + "\n"));
  }
}

TEST_CASE("The number of values of a label is bounded") {
  MetricRegistry Registry(4);
  for (int Team = 0; Team < 1000; ++Team)
    Registry.add(Metric::Retries, {"team" + std::to_string(Team), "s"});
  std::string Text = Registry.text();
  CHECK_THAT(Text, Contains("{team=\"team3\",service=\"s\"} 1\n"));
  CHECK_THAT(Text, !Contains("team4"));
  CHECK_THAT(Text, Contains("{team=\"other\",service=\"s\"} 996\n"));
}

TEST_CASE("Threads update and read metrics concurrently") {
  MetricRegistry Registry;
  std::atomic<int> ReadCount{0};
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < 4; ++Number)
    Threads.emplace_back([&, Number] {
      for (int Step = 0; Step < 2000; ++Step) {
        Registry.add(Metric::Retries, {"shared", "s"});
        Registry.observe(Metric::QueueSeconds,
                         {"t" + std::to_string(Step % 7), "s"}, 0.01);
        if (Step % 500 == Number && !Registry.text().empty())
          ++ReadCount;
      }
    });
  for (std::thread &T : Threads)
    T.join();
  CHECK(ReadCount == 16);
  CHECK_THAT(Registry.text(),
             Contains("{team=\"shared\",service=\"s\"} 8000\n"));
}
