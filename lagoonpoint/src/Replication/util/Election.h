#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint::internal {

/// \returns true if this VM is a voter with its present disk.
bool isVoter(const ReplicaState &S);

/// \returns true for a voter, and for a VM whose removal as a voter isn't known
/// to be committed: it may be the only one whose log is complete enough to be
/// elected.
bool mayCampaign(const ReplicaState &S);

/// Becomes a follower in a term, and clears the vote if the term is new.
void becomeFollower(ReplicaState &S, Term T, const VmId &Leader, Time Now,
                    ReplicaOutput &Out);

/// Sets a new random election timeout.
void resetElection(ReplicaState &S, Time Now);

void startPreVote(ReplicaState &S, Time Now, ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const VoteRequest &M, Time Now,
            ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const VoteReply &M, Time Now,
            ReplicaOutput &Out);

} // namespace lagoonpoint::internal
