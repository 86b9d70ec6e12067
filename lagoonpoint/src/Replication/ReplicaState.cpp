#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint {

const char *toString(ReplicaRole Role) {
  switch (Role) {
  case ReplicaRole::Follower:
    return "follower";
  case ReplicaRole::PreCandidate:
    return "pre-candidate";
  case ReplicaRole::Candidate:
    return "candidate";
  case ReplicaRole::Leader:
    return "leader";
  }
  return "unknown";
}

const char *toString(ProposeRefusal Refusal) {
  switch (Refusal) {
  case ProposeRefusal::None:
    return "accepted";
  case ProposeRefusal::NotLeader:
    return "this VM is not the leader";
  case ProposeRefusal::Busy:
    return "too many changes wait for a quorum";
  case ProposeRefusal::ChangeInProgress:
    return "another change of the voters is in progress";
  case ProposeRefusal::NotCaughtUp:
    return "the learner doesn't hold every committed entry yet";
  case ProposeRefusal::BreaksQuorum:
    return "too few of the new voters are in contact";
  case ProposeRefusal::TooManyVoters:
    return "the maximum number of voters is reached";
  case ProposeRefusal::NoSuchMember:
    return "no such voter or learner";
  case ProposeRefusal::AlreadyMember:
    return "already a voter or learner";
  case ProposeRefusal::Failed:
    return "this VM's disk failed";
  }
  return "unknown";
}

} // namespace lagoonpoint
