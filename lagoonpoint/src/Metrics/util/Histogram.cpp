#include "lagoonpoint/src/Metrics/util/Histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonpoint::internal {

namespace ba = boost::accumulators;

Histogram::Histogram()
    : Accumulator_(ba::extended_p_square_probabilities = Quantiles) {}

void Histogram::add(double Seconds) {
  if (!std::isfinite(Seconds) || Seconds < 0)
    return;
  Accumulator_(Seconds);
  auto Bucket =
      std::lower_bound(BucketBounds.begin(), BucketBounds.end(), Seconds);
  if (Bucket != BucketBounds.end())
    ++Buckets_[static_cast<std::size_t>(Bucket - BucketBounds.begin())];
}

std::uint64_t Histogram::count() const { return ba::count(Accumulator_); }

double Histogram::sum() const { return ba::sum(Accumulator_); }

std::uint64_t Histogram::cumulativeCount(std::size_t Index) const {
  auto End = Buckets_.begin() + static_cast<std::ptrdiff_t>(Index) + 1;
  return std::accumulate(Buckets_.begin(), End, std::uint64_t(0));
}

double Histogram::quantile(std::size_t Index) const {
  if (count() == 0)
    return 0;
  return ba::extended_p_square(
      Accumulator_)[static_cast<std::ptrdiff_t>(Index)];
}

} // namespace lagoonpoint::internal
