#include "lagoonpoint/src/Config/Diagnostics.h"

namespace lagoonpoint {

std::string toString(const Diagnostic &F) {
  std::string Out = F.File_ + ":" + std::to_string(F.Line_) + ": ";
  if (!F.Section_.empty())
    Out += "[" + F.Section_ + "] ";
  if (!F.Key_.empty())
    Out += F.Key_ + ": ";
  return Out + F.Message_;
}

} // namespace lagoonpoint
