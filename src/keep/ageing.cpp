#include "keep/ageing.hpp"

#include <algorithm>
#include <cmath>

namespace calicograde::keep {
namespace {

constexpr std::int64_t week_ms = 7LL * 24 * 3600 * 1000;
constexpr double cap_half_life_s = 60;

}  // namespace

std::optional<Span> away(const Moment& kept, const Moment& now, const AgeRules& rules) {
  const bool same_boot = !kept.boot.empty() && kept.boot == now.boot;
  if (!same_boot && kept.wall_ms <= 0) return std::nullopt;
  const std::int64_t ago = same_boot ? now.boot_ms - kept.boot_ms : now.wall_ms - kept.wall_ms;
  if (ago < 0 || ago > week_ms) return std::nullopt;
  const Span out = Span::millis(ago);
  return out <= rules.most ? std::optional(out) : std::nullopt;
}

AgedMark age(const Mark& m, const Moment& now_moment, Instant now) {
  const bool tells_boot = !m.boot.empty(), same_boot = tells_boot && m.boot == now_moment.boot;
  if (!same_boot && m.first_ms <= 0) return {now, true};
  const std::int64_t ago = same_boot ? now_moment.boot_ms - m.first_boot_ms : now_moment.wall_ms - m.first_ms;
  if (ago < 0) return {now, true};
  // So long ago that no engine remembers it, whatever the window: at the far end.
  return {now - Span::millis(std::min(ago, week_ms)), m.unsure || (tells_boot && !same_boot)};
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
