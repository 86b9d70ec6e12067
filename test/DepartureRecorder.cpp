#include "lagoonpoint/src/Gateway/DepartureRecorder.h"
#include "lagoonpoint/src/Node/ChangeRouter.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace lagoonpoint;

namespace {

UpstreamNotice departure(const char *Id, NoticePhase Phase) {
  UpstreamNotice Out;
  Out.Id_ = UpstreamId(Id);
  Out.StartedAtMs_ = 5;
  Out.Phase_ = Phase;
  return Out;
}

/// A log whose verdicts wait until the test lets them through.
class TestLog {
public:
  ChangeReply submit(const Change &C) {
    std::unique_lock Guard(Lock_);
    Submitted_.push_back(C);
    Changed_.notify_all();
    Changed_.wait(Guard, [&] { return Passes_ > 0; });
    --Passes_;
    if (Fails_)
      throw UnavailableError("test", "", "no leader");
    return {Verdict_, Revision(), ""};
  }
  /// Waits for a number of changes in all.
  std::vector<Change> await(std::size_t Count) {
    std::unique_lock Guard(Lock_);
    Changed_.wait(Guard, [&] { return Submitted_.size() >= Count; });
    return Submitted_;
  }
  void pass(ChangeVerdict Verdict, bool Fails = false) {
    std::lock_guard Guard(Lock_);
    Verdict_ = Verdict;
    Fails_ = Fails;
    ++Passes_;
    Changed_.notify_all();
  }

private:
  std::mutex Lock_;
  std::condition_variable Changed_;
  std::vector<Change> Submitted_;
  int Passes_ = 0;
  bool Fails_ = false;
  ChangeVerdict Verdict_ = ChangeVerdict::Accepted;
};

} // namespace

TEST_CASE("Departures are recorded in the log") {
  SystemClock Clock;
  TestLog Log;
  DepartureRecorder Recorder(
      Clock, [&](const Change &C) { return Log.submit(C); }, [] {});
  Recorder.start();
  UpstreamNotice First = departure("i1", NoticePhase::Leaving);
  Recorder.request(First);
  auto Submitted = Log.await(1);
  CHECK(Submitted[0].Kind_ == ChangeKind::RecordDepartures);
  CHECK(Submitted[0].Departures_.size() == 1);
  CHECK_FALSE(Recorder.isRecorded(First));

  // Guards against a sync of all voters for each departure of a series.
  SECTION("those that come while a change is under way by one change") {
    UpstreamNotice Second = departure("i2", NoticePhase::Leaving);
    Recorder.request(Second);
    Recorder.request(departure("i3", NoticePhase::Gone));
    Recorder.request(departure("i3", NoticePhase::Leaving));
    Recorder.request(First);
    Log.pass(ChangeVerdict::Accepted);
    Submitted = Log.await(2);
    CHECK(Recorder.isRecorded(First));
    CHECK_FALSE(Recorder.isRecorded(Second));
    REQUIRE(Submitted[1].Departures_.size() == 2);
    CHECK(Submitted[1].Departures_[1].Notice_.Phase_ == NoticePhase::Gone);
    Log.pass(ChangeVerdict::Accepted);
    Recorder.stop();
    CHECK(Recorder.isRecorded(Second));
    CHECK(Log.await(2).size() == 2);
  }
  SECTION("again if there was no verdict and the upstream repeats it") {
    Recorder.request(departure("i2", NoticePhase::Leaving));
    Log.pass(ChangeVerdict::Accepted, true);
    Log.await(2);
    CHECK_FALSE(Recorder.isRecorded(First));
    Recorder.request(First);
    Log.pass(ChangeVerdict::Accepted);
    CHECK(Log.await(3)[2].Departures_.front().Notice_.Id_ == First.Id_);
    Log.pass(ChangeVerdict::Accepted);
    Recorder.stop();
    CHECK(Recorder.isRecorded(First));
  }
  SECTION("but not by a leader of an older version, which must not keep them "
          "from being acknowledged") {
    Log.pass(ChangeVerdict::Invalid);
    Recorder.stop();
    CHECK(Recorder.isRecorded(First));
  }
  SECTION("and not again if this VM has read them from the log") {
    UpstreamNotice Second = departure("i2", NoticePhase::Leaving);
    Recorder.add({Second, Clock.unixMillis()});
    Recorder.request(Second);
    Log.pass(ChangeVerdict::Accepted);
    Recorder.stop();
    CHECK(Log.await(1).size() == 1);
  }
}
