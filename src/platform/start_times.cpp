#include "platform/start_times.hpp"

#include <algorithm>

namespace calicograde::platform {
namespace {

// The platform counts a change as told by then at the latest, where discovery can be reached: an engine that
// seems to have started longer before the last word without it shows that the wall clock is off.
constexpr Span told_within = Span::millis(6000);

constexpr std::size_t most_known = 32768;

}  // namespace

void StartTimes::heard(Span started_at, Instant now) {
  offset_ = std::max(offset_, started_at - (now - Instant{}));
}

Instant StartTimes::started(const EngineId& engine, Span started_at, Instant now,
                            std::optional<Instant> without) {
  if (const auto it = known_.find(engine); it != known_.end() && it->second.started_at == started_at)
    return it->second.started;
  Instant at = Instant::at(started_at - offset_);
  if (without && at < *without - told_within) at = *without;
  at = std::min(at, now);
  if (known_.size() >= most_known) known_.clear();  // guards long lives among ever new engines
  known_[engine] = {started_at, at};
  return at;
}

}  // namespace calicograde::platform
