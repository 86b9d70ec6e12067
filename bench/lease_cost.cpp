// Measures the authority's cost of leases: time per request, message size and
// memory, by the number of VMs that lease from one team's rate.
//
//   bench_lease_cost

#include "lagoonpoint/Limits"

#include <Poco/Stopwatch.h>

#include <cstdio>

using namespace lagoonpoint;

namespace {

constexpr int Rounds = 20;

VmId vmOf(int I) { return VmId("vm" + std::to_string(I)); }

Declarations fleetOf(int Vms) {
  Declarations D;
  for (int Z = 0; Z < 9; ++Z) {
    ZoneId Id("z" + std::to_string(Z));
    D.Zones_[Id] = {Id, RegionId("r" + std::to_string(Z / 3)), false};
  }
  for (int I = 0; I < Vms; ++I) {
    VmDecl Vm;
    Vm.Id_ = vmOf(I);
    Vm.Zone_ = ZoneId("z" + std::to_string(I % 9));
    D.Vms_[Vm.Id_] = Vm;
  }
  return D;
}

LeaseRequest requestOf(const QuantityId &Id, std::uint64_t Sequence) {
  LeaseRequest Request;
  Request.Quantity_ = Id;
  Request.Incarnation_ = Incarnation(1);
  Request.Sequence_ = Sequence;
  Request.Term_ = Term(1);
  Request.Demand_ = 5;
  Request.Headroom_ = 1;
  return Request;
}

void measure(int Vms) {
  Declarations D = fleetOf(Vms);
  TeamDecl Team;
  Team.Id_ = TeamId("big");
  Team.Rate_ = Rate(5.0 * Vms);
  Team.Burst_ = 2.0 * Vms;
  QuantityId Id = teamRate(Team.Id_);
  LeaseTiming Timing;
  Time Now(1000);
  LeaseAuthority A = makeAuthority(Id, Timing, Now);
  addAllotment(A, teamAllotment(D, Revision(1), Team), Now);
  dropAllotmentsBefore(A, Revision(1), Now);
  Poco::Stopwatch Watch;
  std::size_t Answered = 0;
  std::size_t Bytes = 0;
  for (int Round = 1; Round <= Rounds; ++Round) {
    Now = Now + Timing.renewalInterval();
    lead(A, Term(1), Now + Duration::seconds(5), Now);
    for (int I = 0; I < Vms; ++I) {
      LeaseRequest Request = requestOf(Id, static_cast<std::uint64_t>(Round));
      Watch.start();
      auto Grant = handleLeaseRequest(A, vmOf(I), Request, Now);
      Watch.stop();
      if (!Grant)
        continue;
      ++Answered;
      Bytes += encode(*Grant).size() + encode(Request).size();
    }
  }
  double Micros = static_cast<double>(Watch.elapsed());
  std::printf("%6d %10zu %14.2f %16.1f %14zu\n", Vms, Answered,
              Micros / static_cast<double>(Vms * Rounds),
              static_cast<double>(Bytes) / static_cast<double>(Answered),
              sizeof(LeaseAuthority::HolderRecord));
}

} // namespace

int main() {
  std::printf(
      "   VMs   answered      us/answer  req+grant bytes       bytes/VM\n");
  for (int Vms : {11, 30, 97, 290, 870})
    measure(Vms);
}
