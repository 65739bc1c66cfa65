#include "keep/ageing.hpp"

#include <algorithm>
#include <cmath>

namespace calicograde::keep {
namespace {

constexpr std::int64_t week_ms = 7LL * 24 * 3600 * 1000;
constexpr double cap_half_life_s = 60;

}  // namespace

std::optional<Span> away(std::int64_t kept_ms, std::int64_t now_ms, const AgeRules& rules) {
  if (kept_ms <= 0 || now_ms < kept_ms || now_ms - kept_ms > week_ms) return std::nullopt;
  const Span out = Span::millis(now_ms - kept_ms);
  return out <= rules.most ? std::optional(out) : std::nullopt;
}

AgedMark age(const Mark& m, std::int64_t now_ms, Instant now) {
  if (m.first_ms <= 0 || m.first_ms > now_ms) return {now, true};
  // So long ago that no engine remembers it, whatever the window: at the far end.
  const std::int64_t ago = std::min(now_ms - m.first_ms, week_ms);
  return {now - Span::millis(ago), m.unsure};
}

std::optional<double> more_distance(const EngineMemory& e, const std::string& incarnation_now, Span away) {
  if (e.incarnation.empty() || e.incarnation != incarnation_now) return std::nullopt;
  return std::max(0.0, e.taken_per_s) * away.seconds();
}

double aged_cap(double kept, double first, Span away) {
  if (!(kept > 0) || !std::isfinite(kept)) return first;
  const double part = std::pow(0.5, away.seconds() / cap_half_life_s);
  return first + (kept - first) * part;
}

}  // namespace calicograde::keep
