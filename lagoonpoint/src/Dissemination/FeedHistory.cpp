#include "lagoonpoint/src/Dissemination/FeedHistory.h"

#include <utility>

namespace lagoonpoint {

void FeedHistory::add(Delta Next) {
  if (!Deltas_.empty() && Deltas_.back().To_ != Next.Base_)
    clear();
  Bytes_ += Next.Body_.size();
  Deltas_.push_back(std::move(Next));
  while (Deltas_.size() > MaxDeltas_ || Bytes_ > MaxBytes_) {
    Bytes_ -= Deltas_.front().Body_.size();
    Deltas_.pop_front();
  }
}

void FeedHistory::clear() {
  Deltas_.clear();
  Bytes_ = 0;
}

bool FeedHistory::covers(Revision From) const {
  for (const Delta &D : Deltas_)
    if (D.Base_ == From)
      return true;
  return false;
}

std::vector<Delta> FeedHistory::after(Revision From, std::size_t Bytes) const {
  std::vector<Delta> Out;
  std::size_t Size = 0;
  for (const Delta &D : Deltas_) {
    if (D.Base_ < From)
      continue;
    Size += D.Body_.size();
    if (!Out.empty() && Size > Bytes)
      break;
    Out.push_back(D);
  }
  return Out;
}

} // namespace lagoonpoint
