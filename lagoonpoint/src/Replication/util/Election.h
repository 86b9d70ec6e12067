#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint::internal {

/// \returns true if this VM votes, by the disk it has.
bool isVoter(const ReplicaState &S);

/// \returns true for a voter, and for one whose removal isn't known to be
/// committed: no other VM may have a log that is complete enough to be elected.
bool mayCampaign(const ReplicaState &S);

/// Enters a term, forgetting the vote if the term is new.
void becomeFollower(ReplicaState &S, Term T, const VmId &Leader, Time Now,
                    ReplicaOutput &Out);

/// Sets the next election timeout at random.
void resetElection(ReplicaState &S, Time Now);

void startPreVote(ReplicaState &S, Time Now, ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const VoteRequest &M, Time Now,
            ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const VoteReply &M, Time Now,
            ReplicaOutput &Out);

} // namespace lagoonpoint::internal
