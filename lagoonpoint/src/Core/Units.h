#pragma once

#include <compare>

namespace lagoonpoint {

/// \class Rate
/// \ingroup Core
/// \brief Requests per second.
class Rate {
public:
  constexpr Rate() = default;
  constexpr explicit Rate(double PerSecond) : PerSecond_(PerSecond) {}
  constexpr double perSecond() const { return PerSecond_; }
  friend constexpr auto operator<=>(Rate, Rate) = default;

private:
  double PerSecond_ = 0;
};

/// \class Bandwidth
/// \ingroup Core
/// \brief Bytes per second; 300 Mbit/s is 37,500,000.
class Bandwidth {
public:
  constexpr Bandwidth() = default;
  constexpr explicit Bandwidth(double BytesPerSecond)
      : BytesPerSecond_(BytesPerSecond) {}
  constexpr double bytesPerSecond() const { return BytesPerSecond_; }
  friend constexpr auto operator<=>(Bandwidth, Bandwidth) = default;

private:
  double BytesPerSecond_ = 0;
};

/// \class Price
/// \ingroup Core
/// \brief Transfer price of a link, in cents per gigabyte (10^9 bytes).
class Price {
public:
  constexpr Price() = default;
  constexpr explicit Price(double CentsPerGigabyte)
      : CentsPerGigabyte_(CentsPerGigabyte) {}
  constexpr double centsPerGigabyte() const { return CentsPerGigabyte_; }
  friend constexpr auto operator<=>(Price, Price) = default;

private:
  double CentsPerGigabyte_ = 0;
};

} // namespace lagoonpoint
