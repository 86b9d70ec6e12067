#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Http/CallerPort.h"
#include "lagoonpoint/src/Http/Dialect.h"

#include <memory>

namespace lagoonpoint {

/// \class CallerServer
/// \ingroup Http
/// \brief The callers' listener: serves lookups and forwards calls to
/// upstreams.
///
/// `GET /v1/lookup` is served here, and other paths below `/v1/` are reserved.
/// All other requests are forwarded to the upstream that the port chooses.
class CallerServer {
public:
  /// \param Port must outlive the server, as must S, C and Metrics
  /// \param Metrics counts connections and the listener's own refusals; may be
  /// null
  CallerServer(CallerPort &Port, const Settings &S, const Clock &C,
               MetricRegistry *Metrics = nullptr, Dialect D = {});
  ~CallerServer();

  /// \throws Error if the address can't be listened on
  void start();
  /// Stops gracefully: accepted requests are served, for at most DrainLimit_ of
  /// the settings.
  void stop();
  /// Stops gracefully within another limit than that of the settings.
  void stop(Duration DrainLimit);
  /// \returns the bound port, also if the settings specify 0.
  unsigned short port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
