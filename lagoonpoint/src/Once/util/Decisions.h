#pragma once

#include "lagoonpoint/src/Once/OnceTable.h"

namespace lagoonpoint::internal {

inline OnceDecision refuseBecause(RefusalReason Reason, Ran Ran) {
  OnceDecision D;
  D.Step_ = OnceStep::Refuse;
  D.Reason_ = Reason;
  D.Ran_ = Ran;
  return D;
}

/// Refuses a call that this VM knows it did not dispatch.
inline OnceDecision notRunBecause(RefusalReason Reason) {
  return refuseBecause(Reason, Ran::No);
}

/// Refuses a call whose key may have run.
inline OnceDecision mayHaveRun(RefusalReason Reason) {
  return refuseBecause(Reason, Ran::Unknown);
}

inline OnceDecision forwardTo(const VmId &Vm) {
  OnceDecision D;
  D.Step_ = OnceStep::Forward;
  D.ForwardTo_ = Vm;
  return D;
}

inline OnceDecision storedAnswer(const OnceAnswer &Answer) {
  OnceDecision D;
  D.Step_ = OnceStep::Stored;
  D.Answer_ = Answer;
  return D;
}

} // namespace lagoonpoint::internal
