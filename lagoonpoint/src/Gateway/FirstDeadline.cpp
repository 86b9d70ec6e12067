#include "lagoonpoint/src/Gateway/FirstDeadline.h"

#include <algorithm>

namespace lagoonpoint {

Duration FirstDeadline::sinceFirstRequest(const std::string &Route,
                                          Duration Allowed, Time Now) {
  std::int64_t Bucket = Now.count() / BucketLength.count();
  std::lock_guard Guard(Lock_);
  auto Found = Routes_.find(Route);
  if (Found == Routes_.end()) {
    if (Routes_.size() >= MaxRoutes)
      std::erase_if(Routes_, [&](const auto &Entry) {
        return Bucket - Entry.second.Bucket_ >=
               static_cast<std::int64_t>(Longest::Buckets);
      });
    if (Routes_.size() >= MaxRoutes)
      return Duration();
    Found = Routes_.emplace(Route, Longest()).first;
  }
  Longest &L = Found->second;
  L.Bucket_ =
      std::max(L.Bucket_, Bucket - static_cast<std::int64_t>(Longest::Buckets));
  while (L.Bucket_ < Bucket)
    L.Allowed_[++L.Bucket_ % Longest::Buckets] = Duration();
  Duration &Newest = L.Allowed_[Bucket % Longest::Buckets];
  Newest = std::max(Newest, Allowed);
  Duration First = *std::max_element(L.Allowed_.begin(), L.Allowed_.end());
  return First - Allowed >= MinDifference ? First - Allowed : Duration();
}

} // namespace lagoonpoint
