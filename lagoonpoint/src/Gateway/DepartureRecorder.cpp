#include "lagoonpoint/src/Gateway/DepartureRecorder.h"

#include "lagoonpoint/Log"

#include <utility>

namespace lagoonpoint {

namespace {

constexpr Duration IdleTickInterval = Duration::seconds(60);

} // namespace

DepartureRecorder::DepartureRecorder(const Clock &C, Submit S,
                                     std::function<void()> OnRecorded)
    : Clock_(C), Submit_(std::move(S)), OnRecorded_(std::move(OnRecorded)),
      Worker_("departures.record", IdleTickInterval, [] {}) {}

void DepartureRecorder::request(const UpstreamNotice &Notice) {
  {
    std::lock_guard Guard(Lock_);
    if (lagoonpoint::isRecorded(Recorded_, Notice))
      return;
    auto [Requested, IsNew] = Requested_.try_emplace(Notice.Id_, Notice);
    if (!IsNew && isNewer(Notice, Requested->second))
      Requested->second = Notice;
  }
  Worker_.post([this] { submitRequested(); });
}

void DepartureRecorder::add(const RecordedDeparture &D) {
  {
    std::lock_guard Guard(Lock_);
    recordDeparture(Recorded_, D);
  }
  OnRecorded_();
}

bool DepartureRecorder::isRecorded(const UpstreamNotice &Notice) const {
  std::lock_guard Guard(Lock_);
  return lagoonpoint::isRecorded(Recorded_, Notice);
}

/// \returns a change that records what was requested and is not recorded yet.
Change DepartureRecorder::takeRequested() {
  Change Out;
  Out.Kind_ = ChangeKind::RecordDepartures;
  std::lock_guard Guard(Lock_);
  for (auto &[Id, Notice] : std::exchange(Requested_, {})) {
    if (lagoonpoint::isRecorded(Recorded_, Notice))
      continue;
    Notice.WarmupLeft_ = Notice.Age_ = Duration();
    Out.Departures_.push_back({Notice, Clock_.unixMillis()});
  }
  return Out;
}

void DepartureRecorder::submitRequested() {
  Change C = takeRequested();
  if (C.Departures_.empty())
    return;
  const ChangeReply Reply = Submit_(C);
  // A leader of an older version does not know this kind of change. Departures
  // are then kept by the VMs' processes only, as in that version.
  if (Reply.Verdict_ != ChangeVerdict::Accepted)
    log({.Level_ = LogLevel::Warning,
         .Step_ = "upstream.record",
         .Message_ = std::to_string(C.Departures_.size()) +
                     " departures are not recorded: " + Reply.Message_});
  {
    std::lock_guard Guard(Lock_);
    for (const RecordedDeparture &D : C.Departures_)
      recordDeparture(Recorded_, D);
  }
  OnRecorded_();
}

} // namespace lagoonpoint
