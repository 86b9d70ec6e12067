#include "lagoonpoint/src/Replication/Messages.h"

#include <utility>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "replication.decode";

template <std::size_t Kind = 0>
ReplicationMessage decodeKind(std::size_t Wanted, std::string_view Body,
                              const VmId &Peer) {
  if constexpr (Kind < std::variant_size_v<ReplicationMessage>) {
    using Message = std::variant_alternative_t<Kind, ReplicationMessage>;
    if (Wanted == Kind)
      return decode<Message>(Body, Step, Peer.str());
    return decodeKind<Kind + 1>(Wanted, Body, Peer);
  } else {
    throw CodecError(Step, Peer.str(), "unknown kind of message");
  }
}

} // namespace

std::string encodeMessage(const ReplicationMessage &M) {
  std::string Body =
      std::visit([](const auto &Typed) { return encode(Typed); }, M);
  return static_cast<char>(M.index()) + Body;
}

ReplicationMessage decodeMessage(std::string_view Bytes, const VmId &Peer) {
  if (Bytes.empty())
    throw CodecError(Step, Peer.str(), "empty message");
  auto Kind = static_cast<unsigned char>(Bytes.front());
  return decodeKind(Kind, Bytes.substr(1), Peer);
}

} // namespace lagoonpoint
