#pragma once

#include <compare>
#include <cstdint>

namespace lagoonpoint {

/// \class Duration
/// \ingroup Core
/// \brief Signed time span in whole milliseconds.
class Duration {
public:
  constexpr Duration() = default;
  constexpr explicit Duration(std::int64_t Millis) : Millis_(Millis) {}

  static constexpr Duration millis(std::int64_t N) { return Duration(N); }
  static constexpr Duration seconds(std::int64_t N) {
    return Duration(N * 1000);
  }

  /// \returns the span in milliseconds.
  constexpr std::int64_t count() const { return Millis_; }
  /// \returns the span in seconds.
  constexpr double inSeconds() const { return Millis_ / 1000.0; }

  friend constexpr auto operator<=>(Duration, Duration) = default;
  friend constexpr Duration operator+(Duration A, Duration B) {
    return Duration(A.Millis_ + B.Millis_);
  }
  friend constexpr Duration operator-(Duration A, Duration B) {
    return Duration(A.Millis_ - B.Millis_);
  }
  friend constexpr Duration operator*(Duration A, std::int64_t N) {
    return Duration(A.Millis_ * N);
  }
  friend constexpr Duration operator/(Duration A, std::int64_t N) {
    return Duration(A.Millis_ / N);
  }

private:
  std::int64_t Millis_ = 0;
};

/// \class Time
/// \ingroup Core
/// \brief Point on the monotonic clock of one process, in milliseconds.
///
/// Times of different processes are not comparable; messages therefore carry
/// durations.
class Time {
public:
  constexpr Time() = default;
  constexpr explicit Time(std::int64_t Millis) : Millis_(Millis) {}

  /// \returns milliseconds since the clock's origin.
  constexpr std::int64_t count() const { return Millis_; }

  friend constexpr auto operator<=>(Time, Time) = default;
  friend constexpr Time operator+(Time A, Duration D) {
    return Time(A.Millis_ + D.count());
  }
  friend constexpr Time operator-(Time A, Duration D) {
    return Time(A.Millis_ - D.count());
  }
  friend constexpr Duration operator-(Time A, Time B) {
    return Duration(A.Millis_ - B.Millis_);
  }

private:
  std::int64_t Millis_ = 0;
};

} // namespace lagoonpoint
