#pragma once

#include <cmath>
#include <compare>
#include <cstdint>

namespace calicograde {

// A length of time. Whole microseconds, so that sums are exact and the same on every machine.
class Span {
 public:
  constexpr Span() = default;
  static constexpr Span micros(std::int64_t us) { return Span(us); }
  static constexpr Span millis(std::int64_t ms) { return Span(ms * 1000); }
  static Span from_millis(double ms) { return Span(std::llround(ms * 1000.0)); }
  static Span from_seconds(double s) { return Span(std::llround(s * 1e6)); }
  constexpr double seconds() const { return static_cast<double>(us_) / 1e6; }
  constexpr std::int64_t as_micros() const { return us_; }
  constexpr double as_millis() const { return static_cast<double>(us_) / 1e3; }
  constexpr auto operator<=>(const Span&) const = default;
  constexpr Span operator+(Span o) const { return Span(us_ + o.us_); }
  constexpr Span operator-(Span o) const { return Span(us_ - o.us_); }
  constexpr double operator/(Span o) const { return static_cast<double>(us_) / static_cast<double>(o.us_); }
  Span operator*(double f) const { return Span(std::llround(static_cast<double>(us_) * f)); }

 private:
  explicit constexpr Span(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

// A point in time on the clock that the host hands in; it says nothing of wall time.
class Instant {
 public:
  constexpr Instant() = default;
  static constexpr Instant at(Span since_clock_start) { return Instant(since_clock_start); }
  constexpr auto operator<=>(const Instant&) const = default;
  constexpr Span operator-(Instant o) const { return since_ - o.since_; }
  constexpr Instant operator+(Span s) const { return Instant(since_ + s); }
  constexpr Instant operator-(Span s) const { return Instant(since_ - s); }

 private:
  explicit constexpr Instant(Span since) : since_(since) {}
  Span since_;
};

}  // namespace calicograde
