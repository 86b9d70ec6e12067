#pragma once

#include "lagoonpoint/src/Node/ReplicaHost.h"

#include <condition_variable>

namespace lagoonpoint {

/// \class UnavailableError
/// \ingroup Node
/// \brief No leader replied in time; whether the change is applied is unknown.
class UnavailableError : public Error {
public:
  using Error::Error;
};

/// \class ChangeRouter
/// \ingroup Node
/// \brief Forwards changes from any VM to the replication leader, and returns
/// the verdict. Thread-safe.
class ChangeRouter {
public:
  /// \param Voters VMs to try while the leader is unknown
  /// \param Replica this VM's replica, null if it has none
  ChangeRouter(VmId Self, std::vector<VmId> Voters, ReplicaHost *Replica,
               const Clock &C, Transport &T);

  /// Resends the change with the same id until a leader replies with a verdict.
  /// \throws UnavailableError after \p Wait
  ChangeReply submit(const Change &C, Duration Wait);

  /// Replaces the VMs to try while the leader is unknown.
  void setVoters(std::vector<VmId> Voters);

  /// Handles a message of Channel::Forward.
  void receive(const Envelope &Message);

private:
  struct PendingRequest {
    bool HasResult_ = false;
    SubmitResult Result_;
  };

  VmId voterAt(std::size_t Try);
  SubmitResult submitTo(const VmId &Vm, const Change &C, Duration Timeout);
  void sendRequest(const VmId &Vm, std::uint64_t Number, const Change &C);
  void completeRequest(std::uint64_t Number, SubmitResult Result);
  void handleRequest(const VmId &To, std::uint64_t Number, const Change &C);

  VmId Self_;
  std::vector<VmId> Voters_;
  ReplicaHost *Replica_;
  const Clock &Clock_;
  Transport &Transport_;
  std::mutex Lock_;
  std::condition_variable ResultReceived_;
  std::map<std::uint64_t, PendingRequest> Pending_;
  std::uint64_t NextNumber_ = 1;
};

} // namespace lagoonpoint
