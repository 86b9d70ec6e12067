#include "lagoonpoint/src/Peer/Handshake.h"

#include "lagoonpoint/src/Peer/util/Hmac.h"

#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxIdBytes = 255;

std::string lengthPrefixed(const std::string &Text) {
  return std::string(1, static_cast<char>(Text.size())) + Text;
}

} // namespace

Handshake::Handshake(Role Side, VmId Self, VmId Target, std::string Secret,
                     std::string Nonce)
    : Role_(Side), Self_(std::move(Self)), Secret_(std::move(Secret)) {
  LAGOONPOINT_ASSERT(Nonce.size() == NonceBytes, "peer.handshake");
  LAGOONPOINT_ASSERT(Self_.str().size() <= MaxIdBytes, "peer.handshake");
  LAGOONPOINT_ASSERT(Target.str().size() <= MaxIdBytes, "peer.handshake");
  if (Role_ == Role::Dialer) {
    Peer_ = std::move(Target);
    DialerNonce_ = std::move(Nonce);
    State_ = State::Nonce;
    return;
  }
  ListenerNonce_ = std::move(Nonce);
  Output_ = ListenerNonce_;
  State_ = State::Proof;
}

std::string Handshake::receive(std::string_view Bytes) {
  Input_ += Bytes;
  while (!done() && advance()) {
  }
  return done() ? std::exchange(Input_, {}) : std::string();
}

std::string Handshake::takeOutput() { return std::exchange(Output_, {}); }

bool Handshake::advance() {
  if (State_ == State::Hello)
    return readHello();
  bool AwaitsDialerProof = State_ == State::Proof && Role_ == Role::Listener;
  std::size_t RequiredBytes =
      AwaitsDialerProof ? NonceBytes + HmacBytes : HmacBytes;
  if (Input_.size() < RequiredBytes)
    return false;
  if (State_ == State::Nonce)
    readNonce();
  else if (AwaitsDialerProof)
    readDialerProof();
  else
    readListenerProof();
  Input_.erase(0, RequiredBytes);
  return true;
}

void Handshake::readNonce() {
  ListenerNonce_ = Input_.substr(0, NonceBytes);
  Output_ +=
      DialerNonce_ + hmac(Secret_, {"dialer", ListenerNonce_, DialerNonce_});
  State_ = State::Proof;
}

void Handshake::readDialerProof() {
  DialerNonce_ = Input_.substr(0, NonceBytes);
  std::string Proof = Input_.substr(NonceBytes, HmacBytes);
  std::string Expected =
      hmac(Secret_, {"dialer", ListenerNonce_, DialerNonce_});
  check(equalConstantTime(Proof, Expected),
        "wrong proof of the cluster secret");
  Output_ += hmac(Secret_, {"listener", ListenerNonce_, DialerNonce_});
  SessionKey_ = hmac(Secret_, {"session", ListenerNonce_, DialerNonce_});
  State_ = State::Hello;
}

void Handshake::readListenerProof() {
  std::string Proof = Input_.substr(0, HmacBytes);
  std::string Expected =
      hmac(Secret_, {"listener", ListenerNonce_, DialerNonce_});
  check(equalConstantTime(Proof, Expected),
        "wrong proof of the cluster secret");
  SessionKey_ = hmac(Secret_, {"session", ListenerNonce_, DialerNonce_});
  Output_ += lengthPrefixed(Self_.str()) + lengthPrefixed(Peer_.str());
  Output_ += hmac(SessionKey_, {"hello", Self_.str(), Peer_.str()});
  State_ = State::Done;
}

bool Handshake::readHello() {
  if (Input_.empty())
    return false;
  std::size_t FromSize = static_cast<unsigned char>(Input_[0]);
  std::size_t ToOffset = 1 + FromSize;
  if (Input_.size() <= ToOffset)
    return false;
  std::size_t ToSize = static_cast<unsigned char>(Input_[ToOffset]);
  std::size_t ProofOffset = ToOffset + 1 + ToSize;
  if (Input_.size() < ProofOffset + HmacBytes)
    return false;
  std::string From = Input_.substr(1, FromSize);
  std::string To = Input_.substr(ToOffset + 1, ToSize);
  std::string Proof = Input_.substr(ProofOffset, HmacBytes);
  check(equalConstantTime(Proof, hmac(SessionKey_, {"hello", From, To})),
        "wrong proof of the VM id");
  check(!From.empty(), "VM id is empty");
  check(To == Self_.str(), "connection is meant for another VM");
  Peer_ = VmId(From);
  Input_.erase(0, ProofOffset + HmacBytes);
  State_ = State::Done;
  return true;
}

void Handshake::check(bool Valid, const char *Message) const {
  if (!Valid)
    throw HandshakeError("peer.handshake", Peer_.str(), Message);
}

} // namespace lagoonpoint::internal
