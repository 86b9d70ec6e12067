#pragma once

#include "lagoonpoint/Core"

#include <string>
#include <string_view>

namespace lagoonpoint::internal {

/// \class HandshakeError
/// \ingroup Peer
/// \brief Thrown if the other side fails to prove knowledge of the cluster
/// secret or is not the expected VM.
class HandshakeError : public Error {
public:
  using Error::Error;
};

/// \class Handshake
/// \ingroup Peer
/// \brief Mutual authentication by the cluster secret at the start of a
/// connection.
///
/// The messages are, in order:
/// 1. The listener sends a nonce.
/// 2. The dialer sends its own nonce and an HMAC over both nonces.
/// 3. The listener sends its HMAC over both nonces.
/// 4. The dialer sends its VM id and that of the VM it dials, authenticated
///    with a key derived for this connection.
///
/// VM ids are sent only after the listener has been authenticated, so that a
/// process without the secret receives only random bytes. The class does no
/// I/O.
class Handshake {
public:
  enum class Role { Dialer, Listener };

  /// \param Target VM that the dialer connects to; unused by a listener
  /// \param Nonce NonceBytes fresh random bytes
  Handshake(Role Side, VmId Self, VmId Target, std::string Secret,
            std::string Nonce);

  /// Processes received bytes.
  /// \returns the bytes that follow the handshake, once it is done
  /// \throws HandshakeError if the other side's proof is wrong or the
  ///         connection is meant for another VM
  std::string receive(std::string_view Bytes);

  /// Returns and clears the bytes to send.
  std::string takeOutput();

  bool hasOutput() const { return !Output_.empty(); }
  Role role() const { return Role_; }
  bool done() const { return State_ == State::Done; }
  /// \returns the VM at the other end. A listener knows it once done.
  const VmId &peer() const { return Peer_; }
  /// \returns the key that authenticates messages of this connection.
  const std::string &sessionKey() const { return SessionKey_; }

private:
  /// The message expected next.
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
