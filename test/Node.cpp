#include "fakes/FakeClock.h"
#include "lagoonpoint/Once"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/CatalogStore.h"
#include "lagoonpoint/src/Node/OnceHost.h"
#include "lagoonpoint/src/Node/ViewProposer.h"

#include <Poco/File.h>
#include <Poco/FileStream.h>
#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace lagoonpoint;

namespace {

Catalog localCatalog() {
  std::ifstream In("deploy/local/declarations.ini");
  std::stringstream Text;
  Text << In.rdbuf();
  Catalog State;
  applyChange(State, {.Id_ = ChangeId("first"), .Text_ = Text.str()});
  return State;
}

Change drainChange(const char *Zone) {
  return {.Id_ = ChangeId(std::string("drain-") + Zone),
          .Kind_ = ChangeKind::SetDrain,
          .Drain_ = {DrainScope::Zone, Zone},
          .Drained_ = true};
}

FleetView makeFleet(std::initializer_list<std::pair<const char *, int>> Vms) {
  FleetView Fleet;
  for (const auto &[Id, Start] : Vms)
    Fleet.Vms_[VmId(Id)] = {VmId(Id), ZoneId("north-a"), VmState::Alive,
                            Incarnation(Start), Revision(1)};
  return Fleet;
}

} // namespace

TEST_CASE("Active declarations provide routes, keys and drained zones") {
  Catalog State = localCatalog();
  auto F = makeActiveDeclarations(State);

  SECTION("a path matches the longest prefix of whole segments") {
    CHECK(findRoute(*F, "/register/mob/7")->Name_ == "register");
    CHECK(findRoute(*F, "/register?x=1")->Name_ == "register");
    CHECK(findRoute(*F, "/registers") == nullptr);
    CHECK(findRoute(*F, "/") == nullptr);
  }
  SECTION("a key is valid only with the right id and secret") {
    KeyCheck Valid = checkKey(*F, "rangers-1.local-secret-rangers");
    REQUIRE(Valid.Key_);
    CHECK(Valid.Key_->Team_ == TeamId("rangers"));
    CHECK_FALSE(checkKey(*F, "rangers-1.local-secret-agents").Key_);
    CHECK_FALSE(checkKey(*F, "nobody.local-secret-rangers").Key_);
    CHECK_FALSE(checkKey(*F, "rangers-1").Key_);
  }
  SECTION("a drained zone gives its calls only to another zone of its region") {
    applyChange(State, drainChange("north-a"));
    applyChange(State, drainChange("south-a"));
    auto Drained = makeActiveDeclarations(State);
    CHECK(drainsToOtherZone(*Drained, ZoneId("north-a")));
    CHECK_FALSE(drainsToOtherZone(*Drained, ZoneId("north-b")));
    CHECK_FALSE(drainsToOtherZone(*Drained, ZoneId("south-a")));
  }
}

TEST_CASE("A VM with a disk starts from its cached catalog") {
  Poco::TemporaryFile Folder;
  Folder.createDirectories();
  Catalog State = localCatalog();
  CatalogStore(Folder.path()).replace(State);

  SECTION("the stored revision and digest are restored") {
    CatalogStore Reopened(Folder.path());
    CHECK(Reopened.restoredFromDisk());
    CHECK(Reopened.revision() == State.Revision_);
    CHECK(Reopened.digest() == digestOf(State));
  }
  SECTION("only newer catalogs and matching deltas are applied") {
    CatalogStore Store(Folder.path());
    Change C = drainChange("north-a");
    Store.apply({Revision(1), Revision(2), encode(C)});
    CHECK(Store.revision() == Revision(2));
    CHECK_THROWS_AS(Store.replace(State), InvariantViolation);
    Change NoOpDrain = drainChange("north-a");
    NoOpDrain.Id_ = ChangeId("again");
    CHECK_THROWS_AS(Store.apply({Revision(2), Revision(3), encode(NoOpDrain)}),
                    Error);
    CHECK(Store.revision() == Revision(2));
  }
  SECTION("a damaged copy is ignored") {
    std::string Name = Folder.path() + "/feed/catalog";
    Poco::File File(Name);
    auto Size = File.getSize();
    SECTION("when it is truncated") { File.setSize(Size - 1); }
    SECTION("when a byte is changed") {
      Poco::FileStream Out(Name, std::ios::in | std::ios::out);
      Out.seekp(static_cast<std::streamoff>(Size / 2));
      Out.put('\x01');
    }
    CatalogStore Reopened(Folder.path());
    CHECK_FALSE(Reopened.restoredFromDisk());
    CHECK(Reopened.revision() == Revision());
  }
}

TEST_CASE("A zone's view for once-requests follows its live processes") {
  auto F = makeActiveDeclarations(localCatalog());
  ZoneId Zone("north-a");
  ViewProposer Proposer;
  Time Now(1000);
  auto Propose = [&](const ActiveDeclarations &In, const FleetView &Fleet,
                     const char *Vm) {
    viewToPropose(Proposer, In, Fleet, Zone, VmId(Vm), Now);
    Now = Now + Duration::seconds(5);
    return viewToPropose(Proposer, In, Fleet, Zone, VmId(Vm), Now);
  };
  FleetView Alive = makeFleet({{"e1", 7}});
  auto First = Propose(*F, Alive, "e1");
  REQUIRE(First);
  CHECK(First->Epoch_ == Epoch(1));
  ActiveDeclarations Next = *F;
  Next.Views_[Zone] = *First;

  SECTION("no view is proposed while the processes stay the same") {
    CHECK_FALSE(Propose(Next, Alive, "e1"));
  }
  SECTION("a new view is proposed after a restart, because claims are lost") {
    auto Second = Propose(Next, makeFleet({{"e1", 8}}), "e1");
    REQUIRE(Second);
    CHECK(Second->Epoch_ == Epoch(2));
    CHECK(Second->Members_.at(0).JoinedEpoch_ == Epoch(2));
  }
  SECTION("only the first VM of the zone proposes") {
    CHECK_FALSE(Propose(Next, makeFleet({{"e1", 8}}), "e2"));
  }
  SECTION("a short difference leads to no proposal") {
    FleetView Restarted = makeFleet({{"e1", 8}});
    CHECK_FALSE(
        viewToPropose(Proposer, Next, Restarted, Zone, VmId("e1"), Now));
    CHECK_FALSE(viewToPropose(Proposer, Next, Alive, Zone, VmId("e1"),
                              Now + Duration::millis(500)));
    CHECK_FALSE(viewToPropose(Proposer, Next, Restarted, Zone, VmId("e1"),
                              Now + Duration::millis(1200)));
  }
}
