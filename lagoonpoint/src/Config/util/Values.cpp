#include "lagoonpoint/src/Config/util/Values.h"

#include <Poco/String.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxIdLength = 63;
constexpr std::size_t MaxAddressBytes = 16;

struct Unit {
  const char *Name_;
  double Factor_;
};

/// A number without sign or exponent, and the unit after it.
struct Quantity {
  double Number_ = 0;
  std::string Unit_;
};

std::optional<Quantity> parseQuantity(const std::string &Text) {
  if (Text.empty() || Text.front() < '0' || Text.front() > '9')
    return {};
  Quantity Q;
  auto [End, Code] = std::from_chars(Text.data(), Text.data() + Text.size(),
                                     Q.Number_, std::chars_format::fixed);
  if (Code != std::errc() || !std::isfinite(Q.Number_))
    return {};
  Q.Unit_ = Poco::trimLeft(std::string(End, Text.data() + Text.size()));
  return Q;
}

template <std::size_t Count>
std::optional<double> parseWithUnit(const std::string &Text,
                                    const std::array<Unit, Count> &Units) {
  std::optional<Quantity> Q = parseQuantity(Text);
  if (!Q)
    return {};
  for (const Unit &U : Units)
    if (Q->Unit_ == U.Name_)
      return Q->Number_ * U.Factor_;
  return {};
}

/// The 4 or 16 bytes of an IP address.
struct IpBytes {
  int Family_ = 0;
  std::array<unsigned char, MaxAddressBytes> Bytes_{};
  unsigned bits() const { return Family_ == AF_INET ? 32 : 128; }
};

std::optional<IpBytes> parseIp(const std::string &Text) {
  IpBytes Ip;
  for (int Family : {AF_INET, AF_INET6}) {
    Ip.Family_ = Family;
    if (inet_pton(Family, Text.c_str(), Ip.Bytes_.data()) == 1)
      return Ip;
  }
  return {};
}

bool hostBitsAreZero(const IpBytes &Ip, std::size_t Length) {
  for (std::size_t Bit = Length; Bit < Ip.bits(); ++Bit)
    if (Ip.Bytes_[Bit / 8] & (0x80 >> Bit % 8))
      return false;
  return true;
}

std::string toText(const IpBytes &Ip) {
  std::array<char, INET6_ADDRSTRLEN> Out{};
  inet_ntop(Ip.Family_, Ip.Bytes_.data(), Out.data(), Out.size());
  return Out.data();
}

} // namespace

std::optional<Duration> parseDuration(const std::string &Text) {
  static const std::array<Unit, 4> Units{
      {{"ms", 1}, {"s", 1e3}, {"m", 6e4}, {"h", 3.6e6}}};
  constexpr double MaxMillis = 1e15;
  std::optional<double> Millis = parseWithUnit(Text, Units);
  if (!Millis || *Millis > MaxMillis || *Millis != std::floor(*Millis))
    return {};
  return Duration(static_cast<std::int64_t>(*Millis));
}

std::optional<Rate> parseRate(const std::string &Text) {
  static const std::array<Unit, 2> Units{{{"/s", 1}, {"/m", 1.0 / 60}}};
  std::optional<double> PerSecond = parseWithUnit(Text, Units);
  return PerSecond ? std::optional(Rate(*PerSecond)) : std::nullopt;
}

std::optional<Bandwidth> parseBandwidth(const std::string &Text) {
  static const std::array<Unit, 3> Units{
      {{"kbit/s", 1e3 / 8}, {"Mbit/s", 1e6 / 8}, {"Gbit/s", 1e9 / 8}}};
  std::optional<double> Bytes = parseWithUnit(Text, Units);
  return Bytes ? std::optional(Bandwidth(*Bytes)) : std::nullopt;
}

std::optional<Price> parsePrice(const std::string &Text) {
  static const std::array<Unit, 1> Units{{{"c/GB", 1}}};
  std::optional<double> Cents = parseWithUnit(Text, Units);
  return Cents ? std::optional(Price(*Cents)) : std::nullopt;
}

std::optional<double> parseShare(const std::string &Text) {
  static const std::array<Unit, 2> Units{{{"%", 0.01}, {"", 1}}};
  return parseWithUnit(Text, Units);
}

std::optional<std::size_t> parseCount(const std::string &Text) {
  std::size_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Code] = std::from_chars(Text.data(), Last, Number);
  if (Code != std::errc() || End != Last)
    return {};
  return Number;
}

std::optional<std::size_t> parseBytes(const std::string &Text) {
  static const std::array<Unit, 4> Units{
      {{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}};
  constexpr double MaxBytes = 1e15;
  std::optional<double> Bytes = parseWithUnit(Text, Units);
  if (!Bytes || *Bytes > MaxBytes || *Bytes != std::floor(*Bytes))
    return {};
  return static_cast<std::size_t>(*Bytes);
}

std::optional<bool> parseBool(const std::string &Text) {
  if (Text == "true")
    return true;
  return Text == "false" ? std::optional(false) : std::nullopt;
}

std::optional<Address> parseSocketAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return {};
  std::string Host = Text.substr(0, Colon);
  std::optional<std::size_t> Port = parseCount(Text.substr(Colon + 1));
  bool Bracketed = Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  std::optional<IpBytes> Ip = parseIp(Host);
  if (!Ip || Bracketed != (Ip->Family_ == AF_INET6))
    return {};
  if (!Port || *Port < 1 || *Port > 65535)
    return {};
  return Address{toText(*Ip), static_cast<unsigned short>(*Port)};
}

std::optional<std::vector<std::string>> parseList(const std::string &Text) {
  std::vector<std::string> Words;
  std::size_t Start = 0;
  while (!Text.empty() && Start <= Text.size()) {
    std::size_t Comma = std::min(Text.find(',', Start), Text.size());
    Words.push_back(Poco::trim(Text.substr(Start, Comma - Start)));
    if (Words.back().empty())
      return {};
    Start = Comma + 1;
  }
  return Words;
}

bool isId(const std::string &Text) {
  auto IsIdChar = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_';
  };
  return !Text.empty() && Text.size() <= MaxIdLength &&
         std::all_of(Text.begin(), Text.end(), IsIdChar);
}

std::optional<std::string> normalizedCidr(const std::string &Text) {
  std::size_t Slash = Text.find('/');
  if (Slash == std::string::npos)
    return {};
  std::optional<IpBytes> Ip = parseIp(Text.substr(0, Slash));
  std::optional<std::size_t> Length = parseCount(Text.substr(Slash + 1));
  if (!Ip || !Length || *Length > Ip->bits() || !hostBitsAreZero(*Ip, *Length))
    return {};
  return toText(*Ip) + "/" + std::to_string(*Length);
}

} // namespace lagoonpoint::internal
