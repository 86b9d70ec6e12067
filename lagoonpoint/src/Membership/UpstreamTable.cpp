#include "lagoonpoint/src/Membership/UpstreamTable.h"

#include "lagoonpoint/src/Membership/util/StableHash.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

bool coversAll(const LeaveVector &Seen, const LeaveVector &Known) {
  return std::all_of(Known.begin(), Known.end(), [&](const auto &Leave) {
    auto It = Seen.find(Leave.first);
    return It != Seen.end() && It->second >= Leave.second;
  });
}

void mergeLeaves(LeaveVector &Mine, const LeaveVector &In) {
  for (const auto &[Issuer, Counter] : In)
    Mine[Issuer] = std::max(Mine[Issuer], Counter);
}

bool sameAttributes(const UpstreamRecord &A, const UpstreamRecord &B) {
  return A.Host_ == B.Host_ && A.Port_ == B.Port_ && A.Slots_ == B.Slots_ &&
         A.Connections_ == B.Connections_ && A.Zone_ == B.Zone_;
}

void replaceRecord(UpstreamEntry &Entry, const UpstreamRecord &In, Time Now) {
  LeaveVector Leaves = std::move(Entry.Record_.KnownLeaves_);
  Entry.Record_ = In;
  Entry.Record_.KnownLeaves_ = std::move(Leaves);
  Entry.Merged_ = Now;
  Entry.Expires_ = Now + In.Lease_;
}

} // namespace

bool leaving(const UpstreamRecord &Record) {
  return !coversAll(Record.LeavesAtIssue_, Record.KnownLeaves_);
}

MergeResult mergeUpstream(UpstreamTable &Table, const UpstreamRecord &In,
                          Time Now) {
  UpstreamEntry &Entry = Table.Entries_[In.Key_];
  UpstreamRecord &Mine = Entry.Record_;
  bool WasUsable = usable(Entry, Now);
  bool NewLeaves = !coversAll(Mine.KnownLeaves_, In.KnownLeaves_);
  bool Newer = In.Version_ > Mine.Version_;
  bool Same = sameAttributes(Mine, In);
  mergeLeaves(Mine.KnownLeaves_, In.KnownLeaves_);
  if (Newer)
    replaceRecord(Entry, In, Now);
  LAGOONPOINT_ASSERT(Mine.Version_ >= In.Version_, "membership.merge");
  LAGOONPOINT_ASSERT(coversAll(Mine.KnownLeaves_, In.KnownLeaves_),
                     "membership.merge");
  bool Usable = usable(Entry, Now);
  bool AttributesChanged = Newer && Usable && !Same;
  if (NewLeaves || AttributesChanged || WasUsable != Usable) {
    ++Table.Changes_;
    return MergeResult::Changed;
  }
  return Newer ? MergeResult::Refreshed : MergeResult::Unchanged;
}

UpstreamRecord issueUpstream(const UpstreamTable &Table, UpstreamRecord Record,
                             bool Leaving, const VmId &Self,
                             Incarnation MinCounter) {
  Record.Version_ = {MinCounter.value(), Self};
  auto It = Table.Entries_.find(Record.Key_);
  if (It != Table.Entries_.end()) {
    const UpstreamRecord &Known = It->second.Record_;
    Record.Version_.Counter_ =
        std::max(MinCounter.value(), Known.Version_.Counter_ + 1);
    Record.KnownLeaves_ = Known.KnownLeaves_;
  }
  Record.LeavesAtIssue_ = Record.KnownLeaves_;
  if (Leaving)
    Record.KnownLeaves_[Self] = Record.Version_.Counter_;
  return Record;
}

bool usable(const UpstreamEntry &Entry, Time Now) {
  return !leaving(Entry.Record_) && Now < Entry.Expires_;
}

UpstreamRecord recordAt(const UpstreamEntry &Entry, Time Now) {
  UpstreamRecord Record = Entry.Record_;
  Record.Lease_ = std::max(Duration(), Entry.Expires_ - Now);
  Record.LoadAge_ = Record.LoadAge_ + (Now - Entry.Merged_);
  return Record;
}

std::uint64_t upstreamDigest(const UpstreamTable &Table, const ZoneId &Zone,
                             Time Now) {
  std::uint64_t Digest = 0;
  for (const auto &[Key, Entry] : Table.Entries_) {
    const UpstreamRecord &R = Entry.Record_;
    if (R.Zone_ != Zone || !usable(Entry, Now))
      continue;
    StableHash Hash;
    Hash.add(Key.Service_.str()).add(Key.Upstream_.str()).add(R.Host_);
    Hash.add(R.Port_).add(R.Slots_).add(R.Connections_);
    Digest += Hash.value();
  }
  return Digest;
}

void renewZone(UpstreamTable &Table, const ZoneId &Zone, Duration Lease,
               Time Now) {
  for (auto &[Key, Entry] : Table.Entries_)
    if (Entry.Record_.Zone_ == Zone && usable(Entry, Now))
      Entry.Expires_ = std::max(Entry.Expires_, Now + Lease);
}

void extendLease(UpstreamTable &Table, const UpstreamRecord &Copy,
                 Duration MinLease, Time Now) {
  UpstreamEntry &Entry = Table.Entries_.at(Copy.Key_);
  if (Entry.Record_.Version_ != Copy.Version_ || Copy.Lease_ < MinLease)
    return;
  bool WasUsable = usable(Entry, Now);
  Entry.Expires_ = std::max(Entry.Expires_, Now + Copy.Lease_);
  if (WasUsable != usable(Entry, Now))
    ++Table.Changes_;
}

void removeExpiredUpstreams(UpstreamTable &Table, Duration Retention,
                            Time Now) {
  std::erase_if(Table.Entries_, [&](const auto &E) {
    return Now - E.second.Expires_ > Retention;
  });
}

} // namespace lagoonpoint
