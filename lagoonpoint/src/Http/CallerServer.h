#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Http/CallerPort.h"
#include "lagoonpoint/src/Http/Dialect.h"

#include <memory>

namespace lagoonpoint {

/// \class CallerServer
/// \ingroup Http
/// \brief The callers' listener: look-ups, and calls passed to upstreams.
///
/// `GET /v1/lookup` is answered here, other paths below `/v1/` are reserved,
/// and everything else is passed to the upstream that the port chooses.
class CallerServer {
public:
  /// \param Port outlives the server, as do the others
  /// \param Metrics where connections and own refusals are counted, or null
  CallerServer(CallerPort &Port, const Settings &S, const Clock &C,
               MetricRegistry *Metrics = nullptr, Dialect D = {});
  ~CallerServer();

  /// \throws Error if the address can't be listened on
  void start();
  /// Ends gracefully: what has been accepted is answered, at most DrainLimit_.
  void stop();
  /// \returns the port in use, also if the settings say 0.
  unsigned short port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
