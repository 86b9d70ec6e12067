#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Http/UpstreamPort.h"

#include <memory>

namespace lagoonpoint {

/// \class UpstreamServer
/// \ingroup Http
/// \brief The upstreams' listener: `POST /v1/announce`.
class UpstreamServer {
public:
  /// \param Port must outlive the server, as must S, C and Metrics
  /// \param Metrics counts connections; may be null
  UpstreamServer(UpstreamPort &Port, const Settings &S, const Clock &C,
                 MetricRegistry *Metrics = nullptr);
  ~UpstreamServer();

  /// \throws Error if the address can't be listened on
  void start();
  void stop();
  /// \returns the bound port, also if the settings specify 0.
  unsigned short port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
