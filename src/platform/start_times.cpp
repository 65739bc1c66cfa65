#include "platform/start_times.hpp"

#include <algorithm>

namespace calicograde::platform {
namespace {

// From an engine's start until the registry tells of it, where it can be heard.
constexpr Span told_within = Span::millis(2000);

}  // namespace

void StartTimes::heard(Span started_at, Instant now) {
  offset_ = std::max(offset_, started_at - (now - Instant{}));
}

Instant StartTimes::started(const EngineId& engine, Span started_at, Instant now,
                            std::optional<Instant> without) {
  if (const auto it = known_.find(engine); it != known_.end() && it->second.started_at == started_at)
    return it->second.started;
  Instant at = Instant::at(started_at - offset_);
  if (without) at = std::max(at, *without - told_within);
  at = std::min(at, now);
  known_[engine] = {started_at, at};
  return at;
}

void StartTimes::forget(const EngineId& engine) { known_.erase(engine); }

}  // namespace calicograde::platform
