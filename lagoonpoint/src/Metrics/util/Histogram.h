#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace lagoonpoint::internal {

/// Inclusive upper bounds of the buckets, in seconds.
inline constexpr std::array<double, 16> BucketBounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   20,   30};

/// Quantiles estimated by each histogram.
inline const std::vector<double> Quantiles{0.5, 0.9, 0.99, 0.999};

/// \class Histogram
/// \ingroup Metrics
/// \brief Count, sum, bucket counts and estimated quantiles of one series.
class Histogram {
public:
  Histogram();

  /// Adds one value. Negative and non-finite values are ignored.
  void add(double Seconds);

  std::uint64_t count() const;
  double sum() const;
  /// \returns the number of values up to and including BucketBounds[Index].
  std::uint64_t cumulativeCount(std::size_t Index) const;
  /// \returns the estimate of Quantiles[Index]; 0 if there are no values.
  double quantile(std::size_t Index) const;

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;

  Accumulator Accumulator_;
  std::array<std::uint64_t, BucketBounds.size()> Buckets_{};
};

} // namespace lagoonpoint::internal
