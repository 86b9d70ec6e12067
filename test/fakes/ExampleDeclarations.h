#pragma once

#include "lagoonpoint/Config"

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace lagoonpoint::fakes {

/// Loads the example declarations in a subfolder of deploy/.
/// \throws std::runtime_error if they are missing or invalid
inline Declarations loadExampleDeclarations(const std::string &Folder) {
  std::ifstream In("deploy/" + Folder + "/declarations.ini");
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  Diagnostics Errors;
  Declarations D = parseDeclarations(Text, Folder, Errors);
  if (!In || !Errors.empty())
    throw std::runtime_error("no valid declarations in " + Folder);
  return D;
}

} // namespace lagoonpoint::fakes
