#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Http/OperatorPort.h"

#include <memory>

namespace lagoonpoint {

/// \class OperatorServer
/// \ingroup Http
/// \brief The operators' listener: `/v1/...`, which requires the operators'
/// key, and `/metrics` and `/healthz`, which don't.
class OperatorServer {
public:
  /// \param Port must outlive the server, as must S, C and Metrics
  /// \param Metrics counts connections; may be null
  OperatorServer(OperatorPort &Port, const Settings &S, const Clock &C,
                 MetricRegistry *Metrics = nullptr);
  ~OperatorServer();

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
