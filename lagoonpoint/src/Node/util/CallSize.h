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
    Mean_.There_ += Gain * (Seen.There_ - Mean_.There_);
    Mean_.Back_ += Gain * (Seen.Back_ - Mean_.Back_);
  }

private:
  static constexpr double Gain = 0.05;
  static constexpr double FirstGuessBytes = 1024;

  CallBytes Mean_{FirstGuessBytes, FirstGuessBytes};
};

} // namespace lagoonpoint
