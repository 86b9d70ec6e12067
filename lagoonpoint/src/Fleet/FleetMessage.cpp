#include "lagoonpoint/src/Fleet/FleetMessage.h"

namespace lagoonpoint {

std::string encodeMessage(const FleetMessage &M) { return encodeVariant(M); }

FleetMessage decodeFleetMessage(const std::string &Bytes, const VmId &Peer) {
  return decodeVariant<FleetMessage>(Bytes, "fleet.decode", Peer.str());
}

} // namespace lagoonpoint
