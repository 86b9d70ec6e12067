#pragma once

#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/CatalogStore.h"
#include "lagoonpoint/src/Node/MembershipHost.h"
#include "lagoonpoint/src/Node/ReplicaHost.h"
#include "lagoonpoint/src/Node/Worker.h"

#include <atomic>
#include <set>

namespace lagoonpoint {

/// \class FeedHost
/// \ingroup Node
/// \brief Activates accepted changes at this VM, forwards them to other VMs,
/// and decides whether keys are valid.
///
/// The feed and its store run on their own thread, so that no other thread
/// waits for the disk. Withdrawn keys are guarded by a lock. Thread-safe.
class FeedHost {
public:
  FeedHost(const Settings &S, Incarnation I, const Clock &C, Transport &T,
           ActiveDeclarationsHolder &Active, MembershipHost &M);
  ~FeedHost();

  void start();
  void stop();
  void receive(Envelope Message);
  /// Adopts a new catalog of this VM's replica.
  /// \param Cause the change that led to it, null after a start or a snapshot
  void onCatalogChange(const Catalog &State, const Change *Cause);
  /// Sends the messages that are due. Call it every 100 ms.
  void tick(const LeaderView &Leader);

  /// Withdraws a key at this VM immediately, then at all others.
  void withdraw(const KeyId &Key);
  /// \returns keys withdrawn at this VM that the active declarations do not yet
  /// list as withdrawn.
  std::vector<KeyId> unloggedWithdrawals() const;
  KeyVerdict verdict(const KeyId &Key, Duration CutOffFor) const;

  /// \returns why this VM may not serve calls, empty if it may.
  std::string whyNotReady() const;
  /// \returns how this VM became ready.
  Readiness readiness() const { return Readiness_; }
  /// \returns the active revision that each VM last confirmed to this one.
  std::map<VmId, Revision> confirmedRevisions() const;
  std::pair<Revision, std::string> declarationsText() const;

private:
  void applyReplicaState(const Catalog &State, const Change *Cause);
  void advance(const LeaderView &Leader);
  void activateRevision();
  void updateStatus();
  void send(std::vector<Envelope> Messages);

  const Settings &Settings_;
  const Clock &Clock_;
  Transport &Transport_;
  ActiveDeclarationsHolder &Active_;
  MembershipHost &Members_;
  CatalogStore Store_;
  Feed Feed_;
  Revision ActiveRevision_;
  Contact Contact_ = Contact::Connected;

  mutable std::mutex KeyLock_;
  WithdrawnKeys Withdrawn_;
  KeyFreshness KeyFreshness_;
  Random Random_{std::random_device()()};

  mutable std::mutex StatusLock_;
  std::string WhyNotReady_ = "starting";
  std::map<VmId, Revision> ConfirmedRevisions_;
  std::string DeclarationsText_;
  std::atomic<Readiness> Readiness_{Readiness::NotReady};
  Worker Worker_;
};

} // namespace lagoonpoint
