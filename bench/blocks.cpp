// Memory and look-ups per second of a block table of the size it is designed
// for.

#include "lagoonpoint/Steering"

#include <chrono>
#include <cstdio>
#include <set>

using namespace lagoonpoint;

namespace {

constexpr std::size_t Blocks = 310'000;
constexpr std::size_t ZoneCount = 110;
constexpr std::size_t Lookups = 5'000'000;
constexpr std::size_t Addresses = 1 << 16;

using WallClock = std::chrono::steady_clock;

double elapsedSeconds(WallClock::time_point Start) {
  return std::chrono::duration<double>(WallClock::now() - Start).count();
}

std::string ipText(std::uint32_t Ip) {
  return std::to_string(Ip >> 24) + "." + std::to_string(Ip >> 16 & 255) + "." +
         std::to_string(Ip >> 8 & 255) + "." + std::to_string(Ip & 255);
}

std::vector<BlockDecl> randomBlocks(Random &Source) {
  std::set<std::pair<std::uint32_t, unsigned>> Seen;
  std::vector<BlockDecl> Out;
  while (Out.size() < Blocks) {
    auto Length = static_cast<unsigned>(12 + Source() % 13);
    auto First = static_cast<std::uint32_t>(Source()) & ~0u << (32 - Length);
    if (!Seen.insert({First, Length}).second)
      continue;
    Out.push_back({"b" + std::to_string(Out.size()),
                   ipText(First) + "/" + std::to_string(Length),
                   ZoneId("site-" + std::to_string(Source() % ZoneCount))});
  }
  return Out;
}

} // namespace

int main() {
  Random Source(1);
  std::vector<BlockDecl> Decls = randomBlocks(Source);
  auto Start = WallClock::now();
  BlockTable Table = buildBlockTable(Decls);
  double Build = elapsedSeconds(Start);
  std::vector<std::string> Clients;
  for (std::size_t I = 0; I < Addresses; ++I)
    Clients.push_back(ipText(static_cast<std::uint32_t>(Source())));
  std::size_t Found = 0;
  Start = WallClock::now();
  for (std::size_t I = 0; I < Lookups; ++I)
    Found += zoneOf(Table, Clients[I % Addresses]) != nullptr;
  double Spent = elapsedSeconds(Start);
  std::printf("blocks %zu, segments %zu, table %.2f MB, built in %.2f s\n",
              Decls.size(), Table.V4_.Starts_.size(),
              static_cast<double>(bytesOf(Table)) / 1e6, Build);
  std::printf("look-ups %.2f million/s on one core, %.0f %% found\n",
              static_cast<double>(Lookups) / Spent / 1e6,
              100.0 * static_cast<double>(Found) / Lookups);
}
