#pragma once

#include "lagoonpoint/src/Once/OnceTable.h"

namespace lagoonpoint::internal {

inline OnceDecision refuseWith(RefusalReason Reason, Ran Ran) {
  OnceDecision D;
  D.Action_ = OnceAction::Refuse;
  D.Reason_ = Reason;
  D.Ran_ = Ran;
  return D;
}

/// Refuses a call that certainly was not dispatched.
inline OnceDecision refuseNotRun(RefusalReason Reason) {
  return refuseWith(Reason, Ran::No);
}

/// Refuses a call whose key may have been dispatched.
inline OnceDecision refuseMayHaveRun(RefusalReason Reason) {
  return refuseWith(Reason, Ran::Unknown);
}

inline OnceDecision forwardTo(const VmId &Vm) {
  OnceDecision D;
  D.Action_ = OnceAction::Forward;
  D.ForwardTo_ = Vm;
  return D;
}

inline OnceDecision replayResponse(const OnceResponse &Response) {
  OnceDecision D;
  D.Action_ = OnceAction::Replay;
  D.Response_ = Response;
  return D;
}

} // namespace lagoonpoint::internal
