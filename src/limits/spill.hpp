#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "limits/knee.hpp"

namespace calicograde::limits {

struct SpillRules {
  // Of a hall's own capacity: what may be in work there for others in any case, and up to what, the hall's
  // own included, others may fill it.
  double bound = 0.25, fill = 0.9;
  double high = 0.95, low = 0.75;  // of the capacity of a tier: the next one opens, and closes again
  Span hold = Span::millis(1000), most_hold = Span::millis(30000);  // calm before it closes; grows
  Span flap_memory = Span::millis(60000);
  double floor = 0.2;  // of the bound, that a cheaper route has for itself
  KneeRules knee;      // of a hall, from what this front has in work there
  // A hall that comes back bears this part of its capacity at first, and all of it after so long.
  double cold_from = 0.25;
  Span cold = Span::millis(12000);
};
// Of one route: its value, and the zones that it prefers, the best tier first. Empty = all are alike, and
// nothing is ever closed to it. Zones in no tier are never used.
struct RouteTiers {
  double value = 1;
  std::vector<std::set<std::uint8_t>> tiers;
};

struct SpillNote {
  std::string text;
};
using SpillStep = std::variant<ZonesClosed, SpillNote>;

// Which zones are open to a route: its first tier, and the next ones while those before are lost or at their
// capacity, up to the bound. Capacity is what is seen: the cap at which first tokens from a hall are in time.
class Spill {
 public:
  enum class Hall { Up, Lost, Returning };

  Spill(SpillRules rules, std::vector<RouteTiers> routes, std::vector<std::string> zones);

  bool on() const { return on_; }
  void hall(Instant now, std::uint8_t zone, Hall state);
  // An inference of the route waits for its first send: what is open to it is full.
  void press(Instant now, std::uint16_t route);
  // An inference's send went to a zone: it is in work there from now on, and nowhere else.
  std::vector<SpillStep> sent(Instant now, InfId inf, std::uint16_t route, std::uint8_t zone);
  void first_token(Instant now, InfId inf, double share);
  std::vector<SpillStep> ended(Instant now, InfId inf);
  std::vector<SpillStep> tick(Instant now);

  bool closed(std::uint16_t route, std::uint8_t zone) const;
  double capacity(std::uint8_t zone) const;
  std::size_t in_work(std::uint8_t zone) const;
  std::size_t spilled(std::uint8_t zone) const;  // of it, for routes that prefer another

 private:
  struct Zone {
    explicit Zone(const KneeRules& rules) : knee(rules) {}
    Knee knee;
    Hall state = Hall::Up;
    std::optional<Instant> back;  // since when it is not lost any more
    std::size_t in_work = 0;
    std::map<std::uint16_t, std::size_t> spilled;  // by route
    std::size_t all_spilled() const;
  };
  struct Route {
    RouteTiers rule;
    std::size_t open = 1;           // tiers
    std::optional<Instant> calm;    // since when the tiers before the last open one had room
    std::vector<Instant> openings;  // the last ones: flapping holds the next tier open for longer
    std::optional<Instant> spilled_at, pressed;
  };
  struct Work {
    std::uint16_t route = 0;
    std::uint8_t zone = 0;
    bool spilled = false;
  };

  Zone& zone(std::uint8_t z) { return zones_.try_emplace(z, rules_.knee).first->second; }
  const Zone* find(std::uint8_t z) const;
  bool prefers(std::uint16_t route, std::uint8_t zone) const;
  void leave(const Work& w);
  // What the first `count` tiers of a route have in work, of what they bear; above 1 where all are lost.
  double load(const Route& r, std::size_t count, Instant now) const;
  double bears(const Zone& z, Instant now) const;
  bool pressed(const Route& r, Instant now) const;
  bool at_bound(const Zone& z, std::uint16_t route, Instant now) const;
  Span hold_of(const Route& r, Instant now) const;
  std::vector<SpillStep> judge(Instant now);
  const std::string& name(std::uint8_t z) const;

  const SpillRules rules_;
  std::vector<Route> routes_;
  const std::vector<std::string> names_;
  bool on_ = false;
  std::map<std::uint8_t, Zone> zones_;
  std::map<InfId, Work> work_;
  std::vector<std::set<std::uint8_t>> closed_;  // as told last
  std::set<std::uint8_t> bounded_;              // zones whose bound was reached, as told last
};

}  // namespace calicograde::limits
