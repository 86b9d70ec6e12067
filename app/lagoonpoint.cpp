#include "lagoonpoint/Cli"
#include "platform/Run.h"

#include <iostream>

int main(int Argc, char **Argv) {
  using namespace lagoonpoint;
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  // The users' platform starts the process with a settings file that it
  // renders.
  if (Arguments.size() == 2 && Arguments[0] == "platform")
    return static_cast<int>(platform::run(Arguments[1], std::cerr));
  return static_cast<int>(runCommandLine(Arguments, std::cout, std::cerr));
}
