#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/types.hpp"
#include "keep/state.hpp"

// What is still worth of what was kept, by the time away: free of I/O and clocks. A clock that was set, a day
// away, or an engine that is another process by now must not make anything trusted that is not.
namespace calicograde::keep {

struct AgeRules {
  Span most = Span::millis(3600000);   // away for longer, or for less than nothing: only marks are taken
  Span unsure = Span::millis(300000);  // marks: a wall clock may be off by so much between two starts
};

// How long the front was away; none if the clock says what can't be, or too long.
std::optional<Span> away(std::int64_t kept_ms, std::int64_t now_ms, const AgeRules& rules);

// A mark on this start's clock. The first send lies as far back as the wall clock says; where that says the
// future, or further back than can be, the mark is unsure: a repeat is refused rather than risked.
struct AgedMark {
  Instant first;
  bool unsure = false;
};
AgedMark age(const Mark& mark, std::int64_t now_ms, Instant now);

// Distances of an engine's texts grow by what it took in meanwhile: as much a second as before, seen by this
// front, which the others' sends stand beside as ever. None: it is another process, or nobody can tell.
std::optional<double> more_distance(const EngineMemory& engine, const std::string& incarnation_now,
                                    Span away);

// An adaptive cap drifts back towards what it would begin with: halfway in a minute.
double aged_cap(double kept, double first, Span away);

}  // namespace calicograde::keep
