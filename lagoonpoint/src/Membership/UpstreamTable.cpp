#include "lagoonpoint/src/Membership/UpstreamTable.h"

#include "lagoonpoint/src/Membership/util/StableHash.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

bool coversAll(const LeavingMarks &Seen, const LeavingMarks &Known) {
  return std::all_of(Known.begin(), Known.end(), [&](const auto &Mark) {
    auto It = Seen.find(Mark.first);
    return It != Seen.end() && It->second >= Mark.second;
  });
}

void addMarks(LeavingMarks &Mine, const LeavingMarks &In) {
  for (const auto &[Issuer, Counter] : In)
    Mine[Issuer] = std::max(Mine[Issuer], Counter);
}

bool sameOffer(const UpstreamRecord &A, const UpstreamRecord &B) {
  return A.Host_ == B.Host_ && A.Port_ == B.Port_ && A.Slots_ == B.Slots_ &&
         A.Connections_ == B.Connections_ && A.Zone_ == B.Zone_;
}

void adopt(UpstreamEntry &Entry, const UpstreamRecord &In, Time Now) {
  LeavingMarks Marks = std::move(Entry.Record_.Marks_);
  Entry.Record_ = In;
  Entry.Record_.Marks_ = std::move(Marks);
  Entry.Merged_ = Now;
  Entry.Expires_ = Now + In.Lease_;
}

} // namespace

bool leaving(const UpstreamRecord &Record) {
  return !coversAll(Record.Seen_, Record.Marks_);
}

Merge mergeUpstream(UpstreamTable &Table, const UpstreamRecord &In, Time Now) {
  UpstreamEntry &Entry = Table.Entries_[In.Key_];
  UpstreamRecord &Mine = Entry.Record_;
  bool WasUsable = usable(Entry, Now);
  bool NewMarks = !coversAll(Mine.Marks_, In.Marks_);
  bool Newer = In.Version_ > Mine.Version_;
  bool Same = sameOffer(Mine, In);
  addMarks(Mine.Marks_, In.Marks_);
  if (Newer)
    adopt(Entry, In, Now);
  LAGOONPOINT_ASSERT(Mine.Version_ >= In.Version_, "membership.merge");
  LAGOONPOINT_ASSERT(coversAll(Mine.Marks_, In.Marks_), "membership.merge");
  bool Usable = usable(Entry, Now);
  bool NewOffer = Newer && Usable && !Same;
  if (NewMarks || NewOffer || WasUsable != Usable) {
    ++Table.Changes_;
    return Merge::Changed;
  }
  return Newer ? Merge::Refreshed : Merge::Nothing;
}

UpstreamRecord issueUpstream(const UpstreamTable &Table, UpstreamRecord Record,
                             bool Leaving, const VmId &Self,
                             Incarnation Floor) {
  Record.Version_ = {Floor.value(), Self};
  auto It = Table.Entries_.find(Record.Key_);
  if (It != Table.Entries_.end()) {
    const UpstreamRecord &Known = It->second.Record_;
    Record.Version_.Counter_ =
        std::max(Floor.value(), Known.Version_.Counter_ + 1);
    Record.Marks_ = Known.Marks_;
  }
  Record.Seen_ = Record.Marks_;
  if (Leaving)
    Record.Marks_[Self] = Record.Version_.Counter_;
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
                 Duration Least, Time Now) {
  UpstreamEntry &Entry = Table.Entries_.at(Copy.Key_);
  if (Entry.Record_.Version_ != Copy.Version_ || Copy.Lease_ < Least)
    return;
  bool WasUsable = usable(Entry, Now);
  Entry.Expires_ = std::max(Entry.Expires_, Now + Copy.Lease_);
  if (WasUsable != usable(Entry, Now))
    ++Table.Changes_;
}

void forgetUpstreams(UpstreamTable &Table, Duration Memory, Time Now) {
  std::erase_if(Table.Entries_, [&](const auto &E) {
    return Now - E.second.Expires_ > Memory;
  });
}

} // namespace lagoonpoint
