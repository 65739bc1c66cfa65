#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "limits/knee.hpp"

namespace calicograde::limits {

struct CapRules {
  bool on = false;
  KneeRules knee;
  double floor = 0.1;                // of the cap, that each route with demand has for itself
  double headroom = 0.1;             // of the cap, kept free of routes below the highest value
  double customer_share = 0.5;       // of the cap, one customer at the most while half of it is in use
  Span demand = Span::millis(5000);  // a route that asked this long ago still counts
};
// Of one route: its value, and a fixed cap (0 = none).
struct RouteCap {
  double value = 1;
  std::size_t most = 0;
};

// What one pool may have in work, and which of those that ask are let in. The dearer routes go first; the
// cheaper get what is left, but never less than their floor while they ask.
class Caps {
 public:
  enum class Says { Take, PoolFull, RouteFull, CustomerFull };

  Caps(CapRules rules, std::vector<RouteCap> routes);

  // Whether it may come in. Taken or not, the caller tells of its end only if it was taken.
  Says ask(Instant now, InfId inf, std::uint16_t route, std::uint16_t customer);
  // Its first token came: `share` of its target.
  void first_token(Instant now, InfId inf, double share);
  void ended(Instant now, InfId inf);
  // One log line a change of mode, with figures; empty where there is none.
  std::string look(Instant now);

  double cap() const { return knee_.cap(); }
  std::size_t in_work() const { return work_.size(); }
  std::size_t in_work(std::uint16_t route) const { return routes_.at(route).in_work; }
  std::size_t refused() const { return refused_; }

 private:
  struct Route {
    RouteCap rule;
    std::size_t in_work = 0;
    std::optional<Instant> asked;
  };
  struct Work {
    std::uint16_t route = 0, customer = 0;
  };
  bool wants(const Route& r, Instant now) const { return r.asked && now - *r.asked <= rules_.demand; }

  const CapRules rules_;
  std::vector<Route> routes_;
  Knee knee_;
  std::map<InfId, Work> work_;
  std::map<std::uint16_t, std::size_t> customers_;
  std::size_t refused_ = 0, refused_then_ = 0;
  bool shedding_ = false;
  Instant mode_at_;
};

}  // namespace calicograde::limits
