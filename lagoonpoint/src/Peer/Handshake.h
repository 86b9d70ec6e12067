#pragma once

#include "lagoonpoint/Core"

#include <string>
#include <string_view>

namespace lagoonpoint::internal {

/// \class HandshakeError
/// \ingroup Peer
/// \brief The other side didn't prove that it holds the cluster secret, or
/// isn't the VM it should be.
class HandshakeError : public Error {
public:
  using Error::Error;
};

/// \class Handshake
/// \ingroup Peer
/// \brief Mutual proof of the cluster secret at the start of a connection.
///
/// The listener sends a nonce; the dialer answers with its own nonce and a
/// proof over both; the listener proves itself in turn; only then does the
/// dialer name itself and the VM it wants, under a key of this connection.
/// A process without the secret learns nothing but random bytes. Pure: bytes
/// in, bytes out.
class Handshake {
public:
  enum class Role { Dialer, Listener };

  /// \param Target VM the dialer wants to reach; unused by a listener
  /// \param Nonce 32 fresh random bytes
  Handshake(Role Side, VmId Self, VmId Target, std::string Secret,
            std::string Nonce);

  /// Takes received bytes.
  /// \returns bytes that follow the handshake
  /// \throws HandshakeError if the other side's proof is wrong
  std::string receive(std::string_view Bytes);

  /// Takes the bytes to send since the last call.
  std::string takeOutput();

  bool hasOutput() const { return !Output_.empty(); }
  Role role() const { return Role_; }
  bool done() const { return State_ == State::Done; }
  /// \returns the VM at the other end, once done.
  const VmId &peer() const { return Peer_; }
  /// \returns the key that authenticates messages of this connection.
  const std::string &sessionKey() const { return SessionKey_; }

private:
  enum class State { Nonce, Proof, Hello, Done };

  bool advance();
  void readNonce();
  void readDialerProof();
  void readListenerProof();
  bool readHello();
  void check(bool Valid, const char *Message) const;

  Role Role_;
  VmId Self_;
  VmId Peer_;
  std::string Secret_;
  std::string DialerNonce_;
  std::string ListenerNonce_;
  std::string SessionKey_;
  std::string Input_;
  std::string Output_;
  State State_;
};

constexpr std::size_t NonceBytes = 32;

} // namespace lagoonpoint::internal
