#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "halls/halls.hpp"
#include "limits/caps.hpp"
#include "limits/spill.hpp"

namespace calicograde::front {

// The limits of one pool, fed with what happens to its inferences: marks arrivals that a cap refuses, and
// tells the module of zones that are closed. Free of I/O, clocks and threads; as the daemon and the emulator
// have it.
class Bounds {
 public:
  Bounds(const limits::CapRules& caps, const limits::SpillRules& spill, const Settings& settings,
         const std::vector<limits::RouteCap>& routes, const std::vector<limits::RouteTiers>& tiers,
         std::vector<std::string> zones);

  // Sets the mark of an arrival that is over a limit.
  void arrived(Instant now, Arrived& a);
  void sent(Instant now, InfId inf, const EngineId& to);
  void started(Instant now, InfId inf);  // its first token
  void over(Instant now, InfId inf);     // nothing of it is left
  void listed(const FleetListed& list);
  void hall(Instant now, std::uint8_t zone, halls::State state);
  void tick(Instant now);

  // What the module is to be told, and what is to be logged, since the last call.
  std::vector<Event> take_events() { return std::exchange(events_, {}); }
  std::vector<std::string> take_notes() { return std::exchange(notes_, {}); }
  const limits::Caps& caps() const { return caps_; }
  const limits::Spill& spill() const { return spill_; }

 private:
  struct Watched {
    Instant came;
    Span target;
    std::uint16_t route = 0;
    bool refused = false, first = false, sent = false;
  };
  void take(std::vector<limits::SpillStep> steps);

  const Settings& settings_;
  limits::Caps caps_;
  limits::Spill spill_;
  std::map<InfId, Watched> watched_;
  std::map<EngineId, std::uint8_t> zones_;
  std::vector<Event> events_;
  std::vector<std::string> notes_;
};

}  // namespace calicograde::front
