#pragma once

#include "lagoonpoint/Core"

#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace lagoonpoint {

/// Limits on one decoded message. They bound the memory that a peer can make
/// the decoder allocate.
struct DecodeLimits {
  std::size_t Elements_ = 1'000'000; ///< in one array or map
  std::size_t Bytes_ = 64 << 20;     ///< in one string
  std::size_t Depth_ = 16;           ///< nesting of containers
};

/// \class CodecError
/// \ingroup Codec
/// \brief Thrown for a message that cannot be decoded.
class CodecError : public Error {
public:
  using Error::Error;
};

/// Encodes a value whose type declares MSGPACK_DEFINE.
/// \ingroup Codec
template <class Message> std::string encode(const Message &M) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, M);
  return std::string(Buffer.data(), Buffer.size());
}

/// Decodes one message that spans all of \p Bytes.
/// \ingroup Codec
/// \param Step step reported in a CodecError
/// \param Peer peer reported in a CodecError
/// \throws CodecError if the bytes are malformed, are a message of another
///         type, or are followed by more bytes
template <class Message>
Message decode(std::string_view Bytes, const std::string &Step,
               const std::string &Peer, DecodeLimits Limits = {}) {
  try {
    msgpack::unpack_limit Limit(Limits.Elements_, Limits.Elements_,
                                Limits.Bytes_, Limits.Bytes_, Limits.Bytes_,
                                Limits.Depth_);
    std::size_t Used = 0;
    msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), Used, nullptr, nullptr, Limit);
    if (Used != Bytes.size())
      throw CodecError(Step, Peer, "trailing bytes after the message");
    return Handle.get().as<Message>();
  } catch (const CodecError &) {
    throw;
  } catch (const std::exception &E) {
    throw CodecError(Step, Peer, std::string("malformed message: ") + E.what());
  }
}

} // namespace lagoonpoint

// Ids, numbers and durations are encoded as their plain value, without a
// wrapping array or map.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Tag> struct pack<lagoonpoint::Id<Tag>> {
    template <class Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &Out,
                                        const lagoonpoint::Id<Tag> &V) const {
      return Out.pack(V.str());
    }
  };
  template <class Tag> struct convert<lagoonpoint::Id<Tag>> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      lagoonpoint::Id<Tag> &V) const {
      V = lagoonpoint::Id<Tag>(In.as<std::string>());
      return In;
    }
  };

  template <class Tag> struct pack<lagoonpoint::Number<Tag>> {
    template <class Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &Out,
                                        lagoonpoint::Number<Tag> V) const {
      return Out.pack(V.value());
    }
  };
  template <class Tag> struct convert<lagoonpoint::Number<Tag>> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      lagoonpoint::Number<Tag> &V) const {
      V = lagoonpoint::Number<Tag>(In.as<std::uint64_t>());
      return In;
    }
  };

  template <> struct pack<lagoonpoint::Duration> {
    template <class Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &Out,
                                        lagoonpoint::Duration V) const {
      return Out.pack(V.count());
    }
  };
  template <> struct convert<lagoonpoint::Duration> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      lagoonpoint::Duration &V) const {
      V = lagoonpoint::Duration(In.as<std::int64_t>());
      return In;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack
