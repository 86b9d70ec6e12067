#include "lagoonpoint/src/Http/util/Hop.h"

#include "lagoonpoint/src/Http/util/JsonService.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StringTokenizer.h>

namespace lagoonpoint::internal {

namespace {

/// SHA-256 with the constants that HMACEngine expects.
class Sha256 : public Poco::SHA2Engine {
public:
  enum {
    BLOCK_SIZE = 64,  // NOLINT(readability-identifier-naming)
    DIGEST_SIZE = 32, // NOLINT(readability-identifier-naming)
  };
  Sha256() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

// Each part is preceded by its length, so that different calls never sign the
// same text.
void addPart(Poco::DigestEngine &Engine, const std::string &Part) {
  Engine.update(std::to_string(Part.size()) + ":" + Part);
}

std::string hopMac(const Settings &S, const std::string &Sender,
                   const std::string &Client, const Call &C) {
  Poco::HMACEngine<Sha256> Engine(S.ClusterSecret_);
  addPart(Engine, "lagoonpoint-hop-1");
  addPart(Engine, Sender);
  addPart(Engine, Client);
  addPart(Engine, C.Request_.str());
  addPart(Engine, C.Method_);
  addPart(Engine, C.Path_);
  addPart(Engine, C.Key_);
  addPart(Engine, C.IdempotencyKey_);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

} // namespace

std::string makeHop(const Settings &S, const Call &C) {
  const std::string &Sender = S.Vm_.str();
  return Sender + " " + C.ClientAddress_ + " " +
         hopMac(S, Sender, C.ClientAddress_, C);
}

bool verifyHop(const Settings &S, const std::string &Value, Call &C) {
  Poco::StringTokenizer Parts(Value, " ");
  if (Parts.count() != 3 || S.ClusterSecret_.empty())
    return false;
  if (!equalInConstantTime(Parts[2], hopMac(S, Parts[0], Parts[1], C)))
    return false;
  C.ClientAddress_ = Parts[1];
  C.Forwarded_ = true;
  return true;
}

} // namespace lagoonpoint::internal
