#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/types.hpp"
#include "keep/moment.hpp"
#include "keep/state.hpp"

// What is still worth of what was kept, by the time away: free of I/O and clocks. A clock that was set, a day
// away, or an engine that is another process by now must not make anything trusted that is not.
namespace calicograde::keep {

struct AgeRules {
  Span most = Span::millis(3600000);  // away for longer, or for less than nothing: only marks are taken
};

// How long the front was away; none if the clock says what can't be, or too long. By the boot clock where the
// machine was not started anew meanwhile, else by the wall clock.
std::optional<Span> away(const Moment& kept, const Moment& now, const AgeRules& rules);

// A mark on this start's clock. The first send lies as far back as the boot clock says. Where the machine was
// started anew meanwhile only the wall clock is left, which may have been set: the mark is unsure, and a
// repeat is refused rather than risked. So it is where a clock says the future. Marks of an earlier format
// tell wall time alone, and are taken at that.
struct AgedMark {
  Instant first;
  bool unsure = false;
};
AgedMark age(const Mark& mark, const Moment& now_moment, Instant now);

// Distances of an engine's texts grow by what it took in meanwhile: as much a second as before, seen by this
// front, which the others' sends stand beside as ever. None: it is another process, or nobody can tell.
std::optional<double> more_distance(const EngineMemory& engine, const std::string& incarnation_now,
                                    Span away);

// An adaptive cap drifts back towards what it would begin with: halfway in a minute.
double aged_cap(double kept, double first, Span away);

}  // namespace calicograde::keep
