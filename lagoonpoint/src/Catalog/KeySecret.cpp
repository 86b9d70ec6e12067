#include "lagoonpoint/src/Catalog/KeySecret.h"

#include <Poco/DigestEngine.h>
#include <Poco/RandomStream.h>
#include <Poco/SHA2Engine.h>

namespace lagoonpoint {

namespace {

constexpr std::size_t SecretBytes = 24;
constexpr std::size_t SaltBytes = 12;

std::string randomHex(std::size_t Bytes) {
  Poco::RandomInputStream Random;
  Poco::DigestEngine::Digest Buffer(Bytes);
  Random.read(reinterpret_cast<char *>(Buffer.data()), Bytes);
  return Poco::DigestEngine::digestToHex(Buffer);
}

} // namespace

std::string sha256Hex(const std::string &Bytes) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Bytes);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

bool equalInConstantTime(const std::string &A, const std::string &B) {
  if (A.size() != B.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t I = 0; I < A.size(); ++I)
    Difference |= static_cast<unsigned char>(A[I] ^ B[I]);
  return Difference == 0;
}

bool secretMatches(const std::string &Salt, const std::string &HashHex,
                   const std::string &Secret) {
  return equalInConstantTime(sha256Hex(Salt + Secret), HashHex);
}

KeyCredential parseKeyCredential(const std::string &Credential) {
  std::size_t Dot = Credential.find('.');
  if (Dot == std::string::npos)
    return {};
  return {KeyId(Credential.substr(0, Dot)), Credential.substr(Dot + 1)};
}

NewKey generateKey(const KeyId &Id, const TeamId &Team) {
  std::string Secret = randomHex(SecretBytes);
  std::string Salt = randomHex(SaltBytes);
  KeyGrant Grant{Id, Team, Salt, sha256Hex(Salt + Secret)};
  return {Grant, Id.str() + "." + Secret};
}

} // namespace lagoonpoint
