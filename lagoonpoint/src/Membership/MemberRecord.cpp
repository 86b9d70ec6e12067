#include "lagoonpoint/src/Membership/MemberRecord.h"

#include "lagoonpoint/src/Membership/util/StableHash.h"

#include <tuple>

namespace lagoonpoint {

const char *toString(VmState State) {
  switch (State) {
  case VmState::Alive:
    return "alive";
  case VmState::Draining:
    return "draining";
  case VmState::Suspect:
    return "suspect";
  case VmState::Dead:
    break;
  }
  return "dead";
}

bool supersedes(const MemberRecord &In, const MemberRecord &Mine) {
  auto Rank = [](const MemberRecord &R) {
    return std::tuple(R.Incarnation_, R.Version_, R.State_, R.Revision_);
  };
  return Rank(In) > Rank(Mine);
}

std::uint64_t digestOf(const MemberRecord &Record) {
  StableHash Hash;
  Hash.add(Record.Vm_.str()).add(Record.Incarnation_.value());
  Hash.add(Record.Version_).add(static_cast<std::uint64_t>(Record.State_));
  return Hash.value();
}

} // namespace lagoonpoint
