#include "lagoonpoint/src/Items/ItemChecks.h"

#include <cmath>
#include <set>

namespace lagoonpoint {

namespace {

std::string itemError(const char *Kind, const std::string &Name,
                      const std::string &Fault) {
  return std::string(Kind) + " \"" + Name + "\": " + Fault;
}

std::string validateSplit(const std::vector<SplitPart> &Split) {
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

std::string validateRoute(const RouteItem &R) {
  if (R.Prefix_.empty() || R.Prefix_.front() != '/' || R.Prefix_.back() != '/')
    return "path prefix must begin and end with a slash";
  if (R.Timeout_ <= Duration())
    return "timeout must be above 0";
  if (R.LatencyObjective_ >= R.Timeout_ + MaxObjectiveOverTimeout)
    return "latency objective is a minute or more above the timeout";
  if (R.MaxAttempts_ == 0)
    return "attempts must be above 0";
  return validateSplit(R.Split_);
}

std::string validateTeam(const TeamItem &T) {
  if (!std::isfinite(T.Rate_) || T.Rate_ < 0)
    return "rate is below 0";
  if (!std::isfinite(T.Burst_) || T.Burst_ < 0)
    return "burst is below 0";
  for (const std::string &Key : T.Keys_)
    if (Key.empty())
      return "a key is empty";
  return "";
}

std::string validateService(const ServiceItem &S) {
  if (S.HealthPath_.empty() || S.HealthPath_.front() != '/')
    return "health path must begin with a slash";
  if (!std::isfinite(S.WarmupRate_) || S.WarmupRate_ < 0)
    return "warm-up rate is below 0";
  return "";
}

/// \returns the named item as it will be after a patch, null if there is none.
template <class Item>
const Item *findMerged(const ItemMap<Item> &Current, const ItemMap<Item> &Patch,
                       const std::string &Name) {
  return findItem(changesItem(Current, Patch, Name) ? Patch : Current, Name);
}

std::string checkServicesExist(const ItemSet &Current, const ItemSet &Patch,
                               const RouteItem &R) {
  for (const SplitPart &Part : R.Split_)
    if (!findMerged(Current.Services_, Patch.Services_, Part.Service_.str()))
      return "unknown service \"" + Part.Service_.str() + "\"";
  return "";
}

std::string checkServicesKnown(const ItemSet &Current, const ItemSet &Patch,
                               const RouteItem &R) {
  for (const SplitPart &Part : R.Split_) {
    const std::string &Name = Part.Service_.str();
    if (!Current.Services_.count(Name) && !Patch.Services_.count(Name))
      return "unknown service \"" + Name + "\"";
  }
  return "";
}

std::string checkRoutesServed(const ItemSet &Current, const ItemSet &Patch) {
  for (const auto &[Name, R] : Patch.Routes_) {
    if (R.Removed_)
      continue;
    std::string Fault = changesItem(Current.Routes_, Patch.Routes_, Name)
                            ? checkServicesExist(Current, Patch, R.Value_)
                            : checkServicesKnown(Current, Patch, R.Value_);
    if (!Fault.empty())
      return itemError("route", Name, Fault);
  }
  return "";
}

std::string checkRemovedServicesUnused(const ItemSet &Current,
                                       const ItemSet &Patch) {
  std::set<std::string> Removed;
  for (const auto &[Name, S] : Patch.Services_)
    if (S.Removed_ && changesItem(Current.Services_, Patch.Services_, Name))
      Removed.insert(Name);
  if (Removed.empty())
    return "";
  for (const auto &[Name, Held] : Current.Routes_) {
    const RouteItem *R = findMerged(Current.Routes_, Patch.Routes_, Name);
    if (!R)
      continue;
    for (const SplitPart &Part : R->Split_)
      if (Removed.count(Part.Service_.str()))
        return itemError("service", Part.Service_.str(),
                         "is named by route \"" + Name + "\"");
  }
  return "";
}

std::string checkKeysUnique(const ItemSet &Current, const ItemSet &Patch) {
  std::set<std::string> Names;
  for (const auto &[Name, Team] : Current.Teams_)
    Names.insert(Name);
  for (const auto &[Name, Team] : Patch.Teams_)
    Names.insert(Name);
  std::map<std::string, std::string> Owners;
  for (const std::string &Name : Names) {
    const TeamItem *Team = findMerged(Current.Teams_, Patch.Teams_, Name);
    if (!Team)
      continue;
    for (const std::string &Key : Team->Keys_) {
      auto [Owner, Inserted] = Owners.emplace(Key, Name);
      if (!Inserted && Owner->second != Name)
        return itemError("team", Name,
                         "shares a key with team \"" + Owner->second + "\"");
    }
  }
  return "";
}

} // namespace

std::string validateItems(const ItemSet &Patch) {
  std::string Fault;
  for (const auto &[Name, R] : Patch.Routes_)
    if (!R.Removed_ && !(Fault = validateRoute(R.Value_)).empty())
      return itemError("route", Name, Fault);
  for (const auto &[Name, T] : Patch.Teams_)
    if (!T.Removed_ && !(Fault = validateTeam(T.Value_)).empty())
      return itemError("team", Name, Fault);
  for (const auto &[Name, S] : Patch.Services_)
    if (!S.Removed_ && !(Fault = validateService(S.Value_)).empty())
      return itemError("service", Name, Fault);
  return "";
}

std::string validatePatch(const ItemSet &Current, const ItemSet &Patch) {
  std::string Fault = validateItems(Patch);
  if (Fault.empty())
    Fault = checkRoutesServed(Current, Patch);
  if (Fault.empty())
    Fault = checkRemovedServicesUnused(Current, Patch);
  if (Fault.empty() && !Patch.Teams_.empty())
    Fault = checkKeysUnique(Current, Patch);
  return Fault;
}

std::string validateLoggedPatch(const ItemSet &Current, const ItemSet &Patch) {
  std::string Fault = validateItems(Patch);
  if (!Fault.empty())
    return Fault;
  for (const auto &[Name, R] : Patch.Routes_)
    if (!R.Removed_ &&
        !(Fault = checkServicesExist(Current, Patch, R.Value_)).empty())
      return itemError("route", Name, Fault);
  return Patch.Teams_.empty() ? "" : checkKeysUnique(Current, Patch);
}

} // namespace lagoonpoint
