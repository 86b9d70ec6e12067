#pragma once

#include "lagoonpoint/Steering"

namespace lagoonpoint {

/// \class CallSize
/// \ingroup Node
/// \brief Exponentially smoothed request and response bytes of a service's
/// calls.
class CallSize {
public:
  CallBytes expected() const { return Mean_; }

  void record(const CallBytes &Measured) {
    Mean_.Request_ += Gain * (Measured.Request_ - Mean_.Request_);
    Mean_.Response_ += Gain * (Measured.Response_ - Mean_.Response_);
  }

private:
  static constexpr double Gain = 0.05;
  static constexpr double InitialBytes = 1024;

  CallBytes Mean_{InitialBytes, InitialBytes};
};

} // namespace lagoonpoint
