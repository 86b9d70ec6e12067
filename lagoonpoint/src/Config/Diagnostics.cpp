#include "lagoonpoint/src/Config/Diagnostics.h"

namespace lagoonpoint {

std::string toString(const Diagnostic &D) {
  std::string Out = D.File_ + ":" + std::to_string(D.Line_) + ": ";
  if (!D.Section_.empty())
    Out += "[" + D.Section_ + "] ";
  if (!D.Key_.empty())
    Out += D.Key_ + ": ";
  return Out + D.Message_;
}

} // namespace lagoonpoint
