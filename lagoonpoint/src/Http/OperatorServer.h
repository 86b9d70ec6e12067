#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Http/OperatorPort.h"

#include <memory>

namespace lagoonpoint {

/// \class OperatorServer
/// \ingroup Http
/// \brief The operators' listener: `/v1/...` with the operators' key, and
/// `/metrics` and `/healthz` without.
class OperatorServer {
public:
  /// \param Port outlives the server, as do the others
  /// \param Metrics where connections and own refusals are counted, or null
  OperatorServer(OperatorPort &Port, const Settings &S, const Clock &C,
                 MetricRegistry *Metrics = nullptr);
  ~OperatorServer();

  /// \throws Error if the address can't be listened on
  void start();
  void stop();
  /// \returns the port in use, also if the settings say 0.
  unsigned short port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
