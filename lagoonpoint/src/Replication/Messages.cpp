#include "lagoonpoint/src/Replication/Messages.h"

namespace lagoonpoint {

std::string encodeMessage(const ReplicationMessage &M) {
  return encodeVariant(M);
}

ReplicationMessage decodeMessage(std::string_view Bytes, const VmId &Peer) {
  return decodeVariant<ReplicationMessage>(Bytes, "replication.decode",
                                           Peer.str());
}

} // namespace lagoonpoint
