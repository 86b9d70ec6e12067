#pragma once

#include <stdexcept>
#include <string>

namespace lagoonpoint {

/// \class Error
/// \ingroup Core
/// \brief Base class of all errors, with the failed step and the peer.
///
/// The step is a short constant such as "peer.read". The peer is a VM id, an
/// address or a file name, and empty if none was involved.
class Error : public std::runtime_error {
public:
  Error(std::string Step, std::string Peer, const std::string &Message);

  const std::string &step() const { return Step_; }
  const std::string &peer() const { return Peer_; }
  /// \returns the message, without step and peer.
  const std::string &message() const { return Message_; }

private:
  std::string Step_;
  std::string Peer_;
  std::string Message_;
};

} // namespace lagoonpoint
