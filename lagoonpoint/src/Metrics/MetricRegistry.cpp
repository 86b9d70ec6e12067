#include "lagoonpoint/src/Metrics/MetricRegistry.h"

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Metrics/util/Histogram.h"

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <unordered_map>

namespace lagoonpoint {

namespace {

using internal::BucketBounds;
using internal::Histogram;
using internal::Quantiles;

constexpr const char *OverflowValue = "other";
constexpr std::size_t MaxValueBytes = 128;

/// The distinct values of one label, up to a bound. Further values, and values
/// longer than MaxValueBytes, map to OverflowValue.
class LabelValueSet {
public:
  const std::string &valueOrOverflow(const std::string &Value,
                                     std::size_t MaxValues) {
    static const std::string Other = OverflowValue;
    if (Value.size() > MaxValueBytes)
      return Other;
    {
      std::shared_lock Lock(Lock_);
      if (Values_.count(Value))
        return Value;
      if (Values_.size() >= MaxValues)
        return Other;
    }
    std::unique_lock Lock(Lock_);
    if (Values_.size() >= MaxValues && !Values_.count(Value))
      return Other;
    Values_.insert(Value);
    return Value;
  }

private:
  std::shared_mutex Lock_;
  std::set<std::string> Values_;
};

/// State of one metric for one combination of label values.
struct Series {
  double Value_ = 0;
  std::optional<Histogram> Histogram_;
};

struct SeriesKey {
  Metric Metric_;
  std::string Labels_; ///< formatted, without the braces
  friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
};

struct SeriesHash {
  std::size_t operator()(const SeriesKey &K) const {
    return std::hash<std::string>()(K.Labels_) * 31 +
           static_cast<std::size_t>(K.Metric_);
  }
};

struct Shard {
  std::mutex Lock_;
  std::unordered_map<SeriesKey, Series, SeriesHash> Series_;
};

void appendEscaped(std::string &Out, const std::string &Value) {
  for (char C : Value) {
    if (C == '\n') {
      Out += "\\n";
      continue;
    }
    if (C == '\\' || C == '"')
      Out += '\\';
    Out += C;
  }
}

std::string formatNumber(double Value) {
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%.15g", Value);
  return Text;
}

const char *kindName(MetricKind Kind) {
  switch (Kind) {
  case MetricKind::Counter:
    return "counter";
  case MetricKind::Gauge:
    return "gauge";
  case MetricKind::Histogram:
    break;
  }
  return "histogram";
}

void appendLine(std::string &Out, const std::string &Name,
                const std::string &Labels, const std::string &ExtraLabel,
                double Value) {
  Out += Name;
  if (!Labels.empty() || !ExtraLabel.empty()) {
    Out += "{" + Labels;
    if (!Labels.empty() && !ExtraLabel.empty())
      Out += ",";
    Out += ExtraLabel + "}";
  }
  Out += " " + formatNumber(Value) + "\n";
}

void appendHeader(std::string &Out, const std::string &Name, const char *Help,
                  const char *Kind) {
  Out += "# HELP " + Name + " " + Help + "\n";
  Out += "# TYPE " + Name + " " + Kind + "\n";
}

void appendHistogram(std::string &Out, const std::string &Name,
                     const std::string &Labels, const Histogram &H) {
  for (std::size_t Index = 0; Index < BucketBounds.size(); ++Index)
    appendLine(Out, Name + "_bucket", Labels,
               "le=\"" + formatNumber(BucketBounds[Index]) + "\"",
               static_cast<double>(H.cumulativeCount(Index)));
  double Count = static_cast<double>(H.count());
  appendLine(Out, Name + "_bucket", Labels, "le=\"+Inf\"", Count);
  appendLine(Out, Name + "_sum", Labels, "", H.sum());
  appendLine(Out, Name + "_count", Labels, "", Count);
}

void appendQuantiles(std::string &Out, const std::string &Name,
                     const std::string &Labels, const Histogram &H) {
  for (std::size_t Index = 0; Index < Quantiles.size(); ++Index)
    appendLine(Out, Name, Labels,
               "quantile=\"" + formatNumber(Quantiles[Index]) + "\"",
               H.quantile(Index));
}

} // namespace

struct MetricRegistry::Impl {
  static constexpr std::size_t ShardCount = 16;

  explicit Impl(std::size_t MaxValues) : MaxValues_(MaxValues) {
    // All labels are inserted here; the map itself never changes afterwards, so
    // look-ups in it need no lock.
    for (const MetricInfo &Info : metricTable())
      for (const char *Label : Info.Labels_)
        ValuesByLabel_[Label];
  }

  std::string labelText(Metric M, const LabelValues &Labels) {
    const MetricInfo &Info = infoOf(M);
    LAGOONPOINT_ASSERT(Labels.size() == Info.Labels_.size(), "metrics.labels");
    std::string Text;
    for (std::size_t Index = 0; Index < Labels.size(); ++Index) {
      const char *Name = Info.Labels_[Index];
      LabelValueSet &Values = ValuesByLabel_.find(Name)->second;
      Text.append(Index ? "," : "").append(Name).append("=\"");
      appendEscaped(Text, Values.valueOrOverflow(Labels[Index], MaxValues_));
      Text += '"';
    }
    return Text;
  }

  template <class Change>
  void update(Metric M, const LabelValues &Labels, Change Apply) {
    SeriesKey Key{M, labelText(M, Labels)};
    Shard &S = Shards_[SeriesHash()(Key) % ShardCount];
    std::lock_guard Lock(S.Lock_);
    Apply(S.Series_[std::move(Key)]);
  }

  std::map<SeriesKey, Series> snapshot() {
    std::map<SeriesKey, Series> Out;
    for (Shard &S : Shards_) {
      std::lock_guard Lock(S.Lock_);
      Out.insert(S.Series_.begin(), S.Series_.end());
    }
    return Out;
  }

  std::size_t MaxValues_;
  std::map<std::string, LabelValueSet, std::less<>> ValuesByLabel_;
  std::array<Shard, ShardCount> Shards_;
};

MetricRegistry::MetricRegistry(std::size_t MaxValues)
    : Impl_(std::make_unique<Impl>(MaxValues)) {}

MetricRegistry::~MetricRegistry() = default;

void MetricRegistry::add(Metric M, const LabelValues &Labels, double By) {
  Impl_->update(M, Labels, [By](Series &S) { S.Value_ += By; });
}

void MetricRegistry::set(Metric M, const LabelValues &Labels, double Value) {
  Impl_->update(M, Labels, [Value](Series &S) { S.Value_ = Value; });
}

void MetricRegistry::observe(Metric M, const LabelValues &Labels,
                             double Seconds) {
  Impl_->update(M, Labels, [Seconds](Series &S) {
    if (!S.Histogram_)
      S.Histogram_.emplace();
    S.Histogram_->add(Seconds);
  });
}

std::string MetricRegistry::text() const {
  std::map<SeriesKey, Series> All = Impl_->snapshot();
  All[{Metric::InvariantViolations, ""}].Value_ =
      static_cast<double>(invariantViolations());
  std::string Out;
  for (const MetricInfo &Info : metricTable()) {
    std::string Name = Info.Name_;
    bool IsHistogram = Info.Kind_ == MetricKind::Histogram;
    auto Begin = All.lower_bound({Info.Metric_, ""});
    auto End = Begin;
    while (End != All.end() && End->first.Metric_ == Info.Metric_)
      ++End;
    appendHeader(Out, Name, Info.Help_, kindName(Info.Kind_));
    for (auto It = Begin; It != End; ++It) {
      if (!IsHistogram)
        appendLine(Out, Name, It->first.Labels_, "", It->second.Value_);
      else if (It->second.Histogram_)
        appendHistogram(Out, Name, It->first.Labels_, *It->second.Histogram_);
    }
    if (!IsHistogram)
      continue;
    appendHeader(Out, Name + "_quantile", "Estimated quantiles of the above.",
                 "gauge");
    for (auto It = Begin; It != End; ++It)
      if (It->second.Histogram_)
        appendQuantiles(Out, Name + "_quantile", It->first.Labels_,
                        *It->second.Histogram_);
  }
  return Out;
}

} // namespace lagoonpoint
