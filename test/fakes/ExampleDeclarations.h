#pragma once

#include "lagoonpoint/Config"

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace lagoonpoint::fakes {

/// \returns the example declarations of a folder of deploy/.
inline Declarations loadExampleDeclarations(const std::string &Folder) {
  std::ifstream In("deploy/" + Folder + "/declarations.ini");
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  Findings Errors;
  Declarations D = parseDeclarations(Text, Folder, Errors);
  if (!In || !Errors.empty())
    throw std::runtime_error("no valid declarations in " + Folder);
  return D;
}

} // namespace lagoonpoint::fakes
