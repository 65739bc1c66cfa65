#pragma once

#include <map>
#include <optional>

#include "core/types.hpp"

// When engines started, on this process's monotonic clock. The registry tells it in wall time, and this
// machine's wall clock may be off, or have been set. So it is used within bounds that need no wall clock: no
// engine has started after this process was told of it, and one whose start is news had not long started when
// discovery was last heard without it. Free of I/O and clocks.
namespace calicograde::platform {

class StartTimes {
 public:
  // `wall_offset`: this machine's wall clock less its monotonic clock, as read once.
  explicit StartTimes(Span wall_offset) : offset_(wall_offset) {}

  // `started_at`: wall time since the Unix epoch, as the registry tells it, on all calls.
  // Raises the offset to what a start implies that was heard of at `now`. To be called for all starts of a
  // list before any of them is worked out, so that they are compared with each other.
  void heard(Span started_at, Instant now);
  // The start of an engine; the same for as long as the registry tells the same one, also after it was gone
  // for a while. `without`: when discovery was last heard before it told this; none where it had told nothing
  // yet.
  Instant started(const EngineId& engine, Span started_at, Instant now, std::optional<Instant> without);

 private:
  struct Known {
    Span started_at;
    Instant started;
  };
  Span offset_;
  std::map<EngineId, Known> known_;
};

}  // namespace calicograde::platform
