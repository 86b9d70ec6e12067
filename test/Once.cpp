#include "fakes/OnceZone.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

TEST_CASE("A once-request") {
  OnceZone Zone(3);
  const VmId Home = Zone.homeOf("~key");
  const std::string Key = Zone.key("~key");
  const VmId Other = Zone.otherThan(Home);

  SECTION("runs after every VM of the view has confirmed the claim") {
    Zone.call(Home, Key);
    CHECK(Zone.dispatchCount(Key) == 0);
    Zone.run(Duration::millis(5));
    CHECK(Zone.dispatchCount(Key) == 1);

    SECTION("and a resend at any VM gets the stored response") {
      Zone.completeRun(Key);
      Zone.run(Duration::millis(5));
      CHECK(Zone.call(Home, Key).Action_ == OnceAction::Replay);
      CHECK(Zone.call(Other, Key).Response_.Body_ == "done");
    }
    SECTION("and a resend with another body is refused as not run") {
      OnceDecision D = Zone.call(Home, Key, "other body");
      CHECK(D.Reason_ == RefusalReason::BadRequest);
      CHECK(D.Ran_ == Ran::No);
    }
    SECTION("and a resend during the run waits for the response") {
      OnceDecision Wait = Zone.call(Home, Key);
      CHECK(Wait.Action_ == OnceAction::Wait);
      Zone.completeRun(Key);
      CHECK(Zone.completion(Home, Wait.Ticket_).Action_ == OnceAction::Replay);
    }
    SECTION("and its outcome is unknown after the loss of its VM") {
      Zone.crash(Home);
      Zone.changeView();
      OnceDecision D = Zone.call(Other, Key, "body", true);
      CHECK(D.Reason_ == RefusalReason::OnceUnknown);
      CHECK(D.Ran_ == Ran::Unknown);
      CHECK(Zone.dispatchCount(Key) == 1);
    }
    SECTION("and runs again after it provably did not run") {
      Zone.notRun(Key);
      Zone.run(Duration::millis(5));
      Zone.call(Home, Key);
      Zone.run(Duration::millis(5));
      CHECK(Zone.dispatchCount(Key) == 2);
    }
  }
  SECTION("is forwarded to its home VM by other VMs") {
    CHECK(Zone.call(Other, Key).ForwardTo_ == Home);
  }
  SECTION("is refused as not run while a VM of the view is down") {
    Zone.crash(Other);
    OnceDecision Wait = Zone.call(Home, Key);
    Zone.run(Duration::seconds(2));
    OnceDecision D = Zone.completion(Home, Wait.Ticket_);
    CHECK(D.Reason_ == RefusalReason::OnceHomeUnreachable);
    CHECK(D.Ran_ == Ran::No);

    SECTION("and runs after the view has changed") {
      Zone.changeView();
      Zone.call(Home, Key, "body", true);
      Zone.run(Duration::millis(5));
      CHECK(Zone.dispatchCount(Key) == 1);
    }
  }
  SECTION("is refused as unknown if all VMs of its epoch restarted") {
    for (const VmId &Vm : Zone.vms())
      Zone.restart(Vm);
    Zone.changeView();
    OnceDecision D = Zone.call(Home, Key, "body", true);
    CHECK(D.Reason_ == RefusalReason::OnceUnknown);
    CHECK(D.Ran_ == Ran::Unknown);
  }
  SECTION("is refused as expired if its key is too old") {
    Zone.run(Duration::seconds(601), Duration::millis(100));
    CHECK(Zone.call(Home, Key).Reason_ == RefusalReason::OnceKeyExpired);
  }
  SECTION("is refused without a valid key prefix") {
    for (const char *Bad : {"", "x", "z0~1~5~", "z0~01~5~a", "z0~x~5~a"})
      CHECK(Zone.call(Home, Bad).Reason_ == RefusalReason::OnceKeyMissing);
  }
}
