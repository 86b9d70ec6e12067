#include "fakes/LeaseFleet.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

TEST_CASE("A team's rate and burst are enforced over all VMs") {
  LeaseFleet Fleet(LeaseFleet::sixZoneDeclarations());
  const QuantityId Big = teamRate(TeamId("big"));
  Fleet.electAndAnnounce(VmId("vm0"));
  Fleet.run(Duration::seconds(8));

  SECTION("and are fully available to callers of a single VM") {
    int Before = Fleet.taken(Big);
    Fleet.runWithLoad(VmId("vm5"), Big, 90, Duration::seconds(60));
    CHECK(Fleet.refused(Big) == 0);
    CHECK(Fleet.taken(Big) - Before >= 90 * 59);
  }
  SECTION("and hold under five times the load") {
    for (int I = 0; I < 11; ++I)
      Fleet.addLoad(VmId("vm" + std::to_string(I)), Big, 45);
    Fleet.run(Duration::seconds(30));
    CHECK(Fleet.taken(Big) <= 100 * 30 + 50);
    CHECK(Fleet.taken(Big) >= 100 * 30 * 0.97);
  }
  SECTION("and the floor serves callers in an isolated zone") {
    Fleet.cutOff("z4");
    Fleet.run(Duration::seconds(10));
    int Before = Fleet.taken(Big);
    Fleet.runWithLoad(VmId("vm4"), Big, 2, Duration::seconds(30));
    CHECK(Fleet.taken(Big) - Before >= 2 * 29);
  }
  SECTION("and are leased again after the loss of the authority") {
    Fleet.crash(VmId("vm0"));
    Fleet.electAndAnnounce(VmId("vm3"));
    Fleet.runWithLoad(VmId("vm5"), Big, 80, Duration::seconds(20));
    CHECK(Fleet.taken(Big) >= 80 * 15);
  }
  CHECK(Fleet.worstOverspend() <= 0);
}
