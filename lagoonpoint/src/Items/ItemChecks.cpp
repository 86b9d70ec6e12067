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

/// \returns the item of a name once a patch is merged, null if there is none.
template <class Item>
const Item *merged(const ItemMap<Item> &Held, const ItemMap<Item> &Patch,
                   const std::string &Name) {
  auto New = Patch.find(Name);
  auto Old = Held.find(Name);
  bool Newer =
      New != Patch.end() &&
      (Old == Held.end() || New->second.Version_ > Old->second.Version_);
  return findItem(Newer ? Patch : Held, Name);
}

std::string unknownService(const ItemSet &Held, const ItemSet &Patch,
                           const RouteItem &R) {
  for (const SplitPart &Part : R.Split_)
    if (!merged(Held.Services_, Patch.Services_, Part.Service_.str()))
      return "unknown service \"" + Part.Service_.str() + "\"";
  return "";
}

std::string sharedKey(const ItemSet &Held, const ItemSet &Patch) {
  std::set<std::string> Names;
  for (const auto &[Name, Team] : Held.Teams_)
    Names.insert(Name);
  for (const auto &[Name, Team] : Patch.Teams_)
    Names.insert(Name);
  std::map<std::string, std::string> Owners;
  for (const std::string &Name : Names) {
    const TeamItem *Team = merged(Held.Teams_, Patch.Teams_, Name);
    if (!Team)
      continue;
    for (const std::string &Key : Team->Keys_) {
      auto [At, Fresh] = Owners.emplace(Key, Name);
      if (!Fresh && At->second != Name)
        return naming("team", Name,
                      "shares a key with team \"" + At->second + "\"");
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
  for (const auto &[Name, R] : Patch.Routes_)
    if (!R.Removed_ && !(Fault = unknownService(Held, Patch, R.Value_)).empty())
      return naming("route", Name, Fault);
  return Patch.Teams_.empty() ? "" : sharedKey(Held, Patch);
}

} // namespace lagoonpoint
