// Measures the cost of declarations of increasing size: the bytes of an edit,
// and the time to make a splice of it, apply it and prepare the result.
//
//   bench_declarations [MAX_BLOCKS]

#include "lagoonpoint/Catalog"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"

#include <Poco/Stopwatch.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace lagoonpoint;

namespace {

std::string declarationsWithBlocks(int Blocks) {
  std::ifstream In("deploy/local/declarations.ini");
  std::stringstream Text;
  Text << In.rdbuf() << "\n";
  for (int I = 0; I < Blocks; ++I)
    Text << "[block.b" << I << "]\ncidr = 10." << I / 65536 % 256 << "."
         << I / 256 % 256 << "." << I % 256 << "/32\nzone = north-a\n";
  return Text.str();
}

/// Runs a step.
/// \returns the time that it took in ms
template <class Step> double measureMillis(Step S) {
  Poco::Stopwatch Watch;
  Watch.start();
  S();
  return static_cast<double>(Watch.elapsed()) / 1000;
}

void measure(int Blocks) {
  std::string Text = declarationsWithBlocks(Blocks);
  Catalog State;
  applyChange(State, {.Id_ = ChangeId("first"), .Text_ = Text});
  std::string Edited = Text;
  Edited.replace(Edited.find("burst = 100"), 11, "burst = 120");
  Change Full{.Id_ = ChangeId("edit"), .Base_ = Revision(1), .Text_ = Edited};
  Change Small;
  double Splice = measureMillis([&] { Small = makeSplice(State, Full); });
  double Apply = measureMillis([&] { applyChange(State, Small); });
  double Prepare = measureMillis([&] { makeActiveDeclarations(State); });
  std::printf("%8d %12zu %12zu %10.1f %10.1f %10.1f\n", Blocks, Text.size(),
              encode(Small).size(), Splice, Apply, Prepare);
}

} // namespace

int main(int Count, char **Arguments) {
  int MaxBlocks = Count > 1 ? std::atoi(Arguments[1]) : 310'000;
  std::printf(
      "  blocks   file bytes   edit bytes  splice ms   apply ms prepare "
      "ms\n");
  for (int Blocks : {0, 1000, 10'000, 100'000, 310'000})
    if (Blocks <= MaxBlocks)
      measure(Blocks);
}
