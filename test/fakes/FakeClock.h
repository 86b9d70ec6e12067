#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint::fakes {

/// Clock that changes only when the test sets or advances it.
class FakeClock final : public Clock {
public:
  Time now() const override { return Now_; }
  std::int64_t unixMillis() const override { return Origin + Now_.count(); }
  void set(Time Now) { Now_ = Now; }
  void advance(Duration By) { Now_ = Now_ + By; }

private:
  static constexpr std::int64_t Origin = 1'800'000'000'000;
  Time Now_{1000};
};

} // namespace lagoonpoint::fakes
