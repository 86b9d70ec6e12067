#include "lagoonpoint/Cli"

#include <iostream>

int main(int Count, char **Words) {
  using namespace lagoonpoint;
  ExitCode Code =
      runCommandLine({Words + 1, Words + Count}, std::cout, std::cerr);
  return static_cast<int>(Code);
}
