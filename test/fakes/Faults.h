#pragma once

#include "lagoonpoint/Core"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace lagoonpoint::fakes {

/// Faults that a test can inject.
enum class Fault {
  None,
  Lost,
  Delayed,
  Doubled,
  Reordered,
  CutOneWay,
  CutBothWays,
  SenderCrashes,
  SenderLosesPower,
  ReceiverCrashes,
  ReceiverLosesPower,
  LeaderIsolated,
  CrashBefore,
  CrashAfter,
  PowerLostBefore,
  PowerLostAfter,
  DiskFails,
  DiskSlow,
};

inline const char *toString(Fault F) {
  static constexpr std::array<const char *, 18> Names = {"none",
                                                         "lost",
                                                         "delayed",
                                                         "doubled",
                                                         "reordered",
                                                         "cut one way",
                                                         "cut both ways",
                                                         "sender crashes",
                                                         "sender loses power",
                                                         "receiver crashes",
                                                         "receiver loses power",
                                                         "leader isolated",
                                                         "crash before",
                                                         "crash after",
                                                         "power lost before",
                                                         "power lost after",
                                                         "disk fails",
                                                         "disk slow"};
  return Names.at(static_cast<std::size_t>(F));
}

/// Point in a run at which a fault can be injected.
struct FaultPoint {
  enum class Kind { Message, Disk, Reply };
  Kind Kind_ = Kind::Message;
  VmId Vm_;       ///< sends, writes or replies
  VmId Receiver_; ///< receives the message
  std::string Description_;
};

/// Selects the fault to inject at a point.
using FaultPlan = std::function<Fault(const FaultPoint &)>;

/// \returns the faults that can be injected at a kind of point.
inline const std::vector<Fault> &faultsAt(FaultPoint::Kind Kind) {
  static const std::vector<Fault> AtMessage = {Fault::Lost,
                                               Fault::Delayed,
                                               Fault::Doubled,
                                               Fault::Reordered,
                                               Fault::CutOneWay,
                                               Fault::CutBothWays,
                                               Fault::SenderCrashes,
                                               Fault::SenderLosesPower,
                                               Fault::ReceiverCrashes,
                                               Fault::ReceiverLosesPower,
                                               Fault::LeaderIsolated};
  static const std::vector<Fault> AtDisk = {
      Fault::CrashBefore,    Fault::CrashAfter, Fault::PowerLostBefore,
      Fault::PowerLostAfter, Fault::DiskFails,  Fault::DiskSlow};
  static const std::vector<Fault> AtReply = {Fault::Lost, Fault::SenderCrashes,
                                             Fault::SenderLosesPower,
                                             Fault::LeaderIsolated};
  if (Kind == FaultPoint::Kind::Message)
    return AtMessage;
  return Kind == FaultPoint::Kind::Disk ? AtDisk : AtReply;
}

} // namespace lagoonpoint::fakes
