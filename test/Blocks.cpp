#include "lagoonpoint/Steering"

#include <catch2/catch.hpp>

#include <arpa/inet.h>

#include <set>

using namespace lagoonpoint;

namespace {

BlockDecl block(const std::string &Cidr, const std::string &Zone) {
  return {"n", Cidr, ZoneId(Zone)};
}

std::string zoneText(const BlockTable &Table, const std::string &Address) {
  const ZoneId *Zone = zoneOf(Table, Address);
  return Zone ? Zone->str() : "-";
}

std::string ipText(std::uint32_t Ip) {
  in_addr Raw{htonl(Ip)};
  return inet_ntoa(Raw);
}

struct ReferenceBlock {
  std::uint32_t First_;
  unsigned Length_;
  std::string Zone_;
};

/// Reference implementation: longest match by a linear search.
std::string referenceZone(const std::vector<ReferenceBlock> &Blocks,
                          std::uint32_t Ip) {
  const ReferenceBlock *Best = nullptr;
  for (const ReferenceBlock &B : Blocks) {
    std::uint64_t Size = std::uint64_t(1) << (32 - B.Length_);
    bool Holds = Ip >= B.First_ && Ip - B.First_ < Size;
    if (Holds && (!Best || B.Length_ > Best->Length_))
      Best = &B;
  }
  return Best ? Best->Zone_ : "-";
}

} // namespace

TEST_CASE("zoneOf() returns the zone of the longest matching block") {
  BlockTable Table = buildBlockTable(
      {block("10.0.0.0/8", "a"), block("10.1.0.0/16", "b"),
       block("10.1.2.0/24", "c"), block("10.1.2.3/32", "d"),
       block("255.255.0.0/16", "e"), block("2001:db8::/32", "f"),
       block("2001:db8:1::/48", "g")});

  SECTION("in nested blocks") {
    CHECK(zoneText(Table, "10.0.0.0") == "a");
    CHECK(zoneText(Table, "10.0.255.255") == "a");
    CHECK(zoneText(Table, "10.1.0.0") == "b");
    CHECK(zoneText(Table, "10.1.2.2") == "c");
    CHECK(zoneText(Table, "10.1.2.3") == "d");
    CHECK(zoneText(Table, "10.1.2.4") == "c");
    CHECK(zoneText(Table, "10.1.3.0") == "b");
    CHECK(zoneText(Table, "10.2.0.0") == "a");
    CHECK(zoneText(Table, "10.255.255.255") == "a");
  }
  SECTION("at the ends of the address space and outside all blocks") {
    CHECK(zoneText(Table, "0.0.0.0") == "-");
    CHECK(zoneText(Table, "9.255.255.255") == "-");
    CHECK(zoneText(Table, "11.0.0.0") == "-");
    CHECK(zoneText(Table, "255.255.255.255") == "e");
  }
  SECTION("for IPv6 and IPv4-mapped addresses") {
    CHECK(zoneText(Table, "2001:db8::1") == "f");
    CHECK(zoneText(Table, "2001:db8:1::1") == "g");
    CHECK(zoneText(Table, "2001:db8:2::") == "f");
    CHECK(zoneText(Table, "2001:db9::") == "-");
    CHECK(zoneText(Table, "::ffff:10.1.2.3") == "d");
  }
  SECTION("and rejects malformed addresses and blocks") {
    CHECK(zoneText(Table, "") == "-");
    CHECK(zoneText(Table, "localhost") == "-");
    CHECK(zoneText(BlockTable(), "10.1.2.3") == "-");
    CHECK_THROWS_AS(buildBlockTable({block("10.0.0.0/33", "a")}), Error);
    CHECK_THROWS_AS(buildBlockTable({block("10.0.0.0", "a")}), Error);
    CHECK_THROWS_AS(buildBlockTable({block("x/8", "a")}), Error);
  }
  SECTION("and a default block matches all other addresses") {
    BlockTable All =
        buildBlockTable({block("0.0.0.0/0", "z"), block("10.0.0.0/8", "a")});
    CHECK(zoneText(All, "0.0.0.0") == "z");
    CHECK(zoneText(All, "10.0.0.1") == "a");
    CHECK(zoneText(All, "255.255.255.255") == "z");
  }
}

TEST_CASE("Random block tables agree with a linear search") {
  Random Source(7);
  for (int Round = 0; Round < 50; ++Round) {
    std::vector<ReferenceBlock> Known;
    std::vector<BlockDecl> Blocks;
    std::set<std::pair<std::uint32_t, unsigned>> Seen;
    for (int I = 0; I < 60; ++I) {
      unsigned Length = 1 + Source() % 32;
      auto First = static_cast<std::uint32_t>(
          (Source() % 8 << 29 | Source() % 64) & (~0ULL << (32 - Length)));
      if (!Seen.insert({First, Length}).second)
        continue;
      Known.push_back({First, Length, "z" + std::to_string(Source() % 5)});
      Blocks.push_back(block(ipText(First) + "/" + std::to_string(Length),
                             Known.back().Zone_));
    }
    BlockTable Table = buildBlockTable(Blocks);
    for (const ReferenceBlock &B : Known)
      for (std::uint32_t Ip : {B.First_, B.First_ - 1, B.First_ + 1,
                               static_cast<std::uint32_t>(Source())}) {
        INFO(ipText(Ip));
        REQUIRE(zoneText(Table, ipText(Ip)) == referenceZone(Known, Ip));
      }
  }
}
