#include "lagoonpoint/src/Items/ItemChecks.h"

#include <cmath>
#include <set>

namespace lagoonpoint {

namespace {

std::string naming(const char *Kind, const std::string &Name,
                   const std::string &Fault) {
  return std::string(Kind) + " \"" + Name + "\": " + Fault;
}

std::string splitFault(const std::vector<SplitPart> &Split) {
  if (Split.empty())
    return "names no service";
  double Sum = 0;
  for (const SplitPart &Part : Split) {
    if (Part.Service_.empty())
      return "names no service";
    if (!std::isfinite(Part.Weight_) || Part.Weight_ < 0)
      return "weight of \"" + Part.Service_.str() + "\" is below 0";
    Sum += Part.Weight_;
  }
  return Sum > 0 ? "" : "all weights are 0";
}

std::string routeFault(const RouteItem &R) {
  if (R.Prefix_.empty() || R.Prefix_.front() != '/' || R.Prefix_.back() != '/')
    return "path prefix must begin and end with a slash";
  if (R.Timeout_ <= Duration())
    return "timeout must be above 0";
  if (R.Objective_ >= R.Timeout_ + MaxObjectiveOverTimeout)
    return "latency objective is a minute or more above the timeout";
  if (R.MaxAttempts_ == 0)
    return "attempts must be above 0";
  return splitFault(R.Split_);
}

std::string teamFault(const TeamItem &T) {
  if (!std::isfinite(T.Rate_) || T.Rate_ < 0)
    return "rate is below 0";
  if (!std::isfinite(T.Burst_) || T.Burst_ < 0)
    return "burst is below 0";
  for (const std::string &Key : T.Keys_)
    if (Key.empty())
      return "a key is empty";
  return "";
}

std::string serviceFault(const ServiceItem &S) {
  if (S.HealthPath_.empty() || S.HealthPath_.front() != '/')
    return "health path must begin with a slash";
  if (!std::isfinite(S.WarmupRate_) || S.WarmupRate_ < 0)
    return "warm-up rate is below 0";
  return "";
}

/// Names of the services that routes use and the set doesn't hold.
std::string unknownService(const ItemSet &Items, const RouteItem &R) {
  for (const SplitPart &Part : R.Split_)
    if (!findItem(Items.Services_, Part.Service_.str()))
      return "unknown service \"" + Part.Service_.str() + "\"";
  return "";
}

std::string sharedKey(const ItemSet &Items) {
  std::map<std::string, std::string> Owners;
  for (const auto &[Name, Team] : Items.Teams_) {
    if (Team.Removed_)
      continue;
    for (const std::string &Key : Team.Value_.Keys_) {
      auto [At, Fresh] = Owners.emplace(Key, Name);
      if (!Fresh && At->second != Name)
        return naming("team", Name, "shares a key with team \"" + At->second +
                                        "\"");
    }
  }
  return "";
}

} // namespace

std::string itemFault(const ItemSet &Patch) {
  std::string Fault;
  for (const auto &[Name, R] : Patch.Routes_)
    if (!R.Removed_ && !(Fault = routeFault(R.Value_)).empty())
      return naming("route", Name, Fault);
  for (const auto &[Name, T] : Patch.Teams_)
    if (!T.Removed_ && !(Fault = teamFault(T.Value_)).empty())
      return naming("team", Name, Fault);
  for (const auto &[Name, S] : Patch.Services_)
    if (!S.Removed_ && !(Fault = serviceFault(S.Value_)).empty())
      return naming("service", Name, Fault);
  return "";
}

std::string patchFault(const ItemSet &Held, const ItemSet &Patch) {
  std::string Fault = itemFault(Patch);
  if (!Fault.empty())
    return Fault;
  ItemSet Merged = Held;
  mergeItems(Merged, Patch, Revision());
  for (const auto &[Name, R] : Patch.Routes_)
    if (!R.Removed_ && !(Fault = unknownService(Merged, R.Value_)).empty())
      return naming("route", Name, Fault);
  return sharedKey(Merged);
}

} // namespace lagoonpoint
