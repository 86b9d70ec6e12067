#pragma once

#include "lagoonpoint/Steering"

namespace lagoonpoint {

/// \class CallSize
/// \ingroup Node
/// \brief Smoothed bytes of a service's calls, both ways.
class CallSize {
public:
  CallBytes expected() const { return Mean_; }

  void learn(const CallBytes &Seen) {
    Mean_.Request_ += Gain * (Seen.Request_ - Mean_.Request_);
    Mean_.Response_ += Gain * (Seen.Response_ - Mean_.Response_);
  }

private:
  static constexpr double Gain = 0.05;
  static constexpr double FirstGuessBytes = 1024;

  CallBytes Mean_{FirstGuessBytes, FirstGuessBytes};
};

} // namespace lagoonpoint
