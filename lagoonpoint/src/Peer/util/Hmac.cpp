#include "lagoonpoint/src/Peer/util/Hmac.h"

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/Crypto/OpenSSLInitializer.h>
#include <Poco/HMACEngine.h>
#include <Poco/RandomStream.h>

#include <cstdint>

namespace lagoonpoint::internal {

namespace {

/// SHA-256 with the constants that HMACEngine requires of its digest class.
class Sha256 : public Poco::Crypto::DigestEngine {
public:
  // NOLINTNEXTLINE(readability-identifier-naming): names required by HMACEngine
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = HmacBytes };
  Sha256() : DigestEngine("SHA256") {}
};

} // namespace

std::string hmac(std::string_view Key,
                 std::initializer_list<std::string_view> Parts) {
  // POCO counts the users of OpenSSL, of which each digest is one, and shuts
  // OpenSSL down when the last one is destroyed. Another thread may be
  // initializing it at that moment, so one user is kept for the life of the
  // process.
  static const Poco::Crypto::OpenSSLInitializer OpenSslUser;
  Poco::HMACEngine<Sha256> Engine(Key.data(), Key.size());
  for (std::string_view Part : Parts) {
    std::uint64_t Size = Part.size();
    for (int Shift = 0; Shift < 64; Shift += 8)
      Engine.update(static_cast<char>(Size >> Shift));
    Engine.update(Part.data(), Part.size());
  }
  const Poco::DigestEngine::Digest &Digest = Engine.digest();
  return std::string(Digest.begin(), Digest.end());
}

bool equalConstantTime(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t Index = 0; Index < A.size(); ++Index)
    Difference |= static_cast<unsigned char>(A[Index] ^ B[Index]);
  return Difference == 0;
}

std::string randomBytes(std::size_t Count) {
  std::string Bytes(Count, '\0');
  Poco::RandomInputStream Stream;
  Stream.read(Bytes.data(), static_cast<std::streamsize>(Count));
  return Bytes;
}

} // namespace lagoonpoint::internal
