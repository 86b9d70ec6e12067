#pragma once

#include <stdexcept>
#include <string>

namespace lagoonpoint {

/// \class Error
/// \ingroup Core
/// \brief Base of all errors: what failed, in which step, with which peer.
///
/// The step is a short constant such as "peer.read"; the peer is a VM id, an
/// address or a file name, empty where none took part.
class Error : public std::runtime_error {
public:
  Error(std::string Step, std::string Peer, const std::string &Message);

  const std::string &step() const { return Step_; }
  const std::string &peer() const { return Peer_; }
  /// \returns the message without step and peer.
  const std::string &message() const { return Message_; }

private:
  std::string Step_;
  std::string Peer_;
  std::string Message_;
};

} // namespace lagoonpoint
