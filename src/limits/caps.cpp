#include "limits/caps.hpp"

#include <algorithm>
#include <cstdio>

namespace calicograde::limits {
namespace {

constexpr Span mode_lasts = Span::millis(2000);  // a change of mode is told at the most this often

}  // namespace

Caps::Caps(CapRules rules, std::vector<RouteCap> routes) : rules_(rules), knee_(rules.knee) {
  for (const RouteCap& r : routes) routes_.push_back({r, 0, {}});
}

Caps::Says Caps::ask(Instant now, InfId inf, std::uint16_t route, std::uint16_t customer) {
  if (route >= routes_.size() || work_.contains(inf)) return Says::Take;
  Route& r = routes_[route];
  r.asked = now;
  const auto refuse = [&](Says why) { return ++refused_, why; };
  if (r.rule.most > 0 && r.in_work >= r.rule.most) return refuse(Says::RouteFull);
  if (rules_.on) {
    const double cap = knee_.cap(), total = static_cast<double>(work_.size()), floor = rules_.floor * cap;
    double dearest = r.rule.value, kept = 0;
    for (const Route& other : routes_) {
      if (&other == &r || !wants(other, now)) continue;
      dearest = std::max(dearest, other.rule.value);
      // What the others' floors still lack is theirs.
      kept += std::max(0.0, floor - static_cast<double>(other.in_work));
    }
    const double most = r.rule.value < dearest ? cap * (1 - rules_.headroom) : cap;
    const bool by_floor = static_cast<double>(r.in_work) < floor && total < cap + floor;
    if (!by_floor && total + kept >= most) return refuse(Says::PoolFull);
    const auto of = customers_.find(customer);
    if (customer != 0 && of != customers_.end() && total >= cap / 2 &&
        static_cast<double>(of->second) >= rules_.customer_share * cap)
      return refuse(Says::CustomerFull);
  }
  work_[inf] = {route, customer};
  ++r.in_work;
  if (customer != 0) ++customers_[customer];
  knee_.work(now, work_.size());
  return Says::Take;
}

void Caps::first_token(Instant now, InfId inf, double share) {
  if (work_.contains(inf)) knee_.first_token(now, share);
}

void Caps::ended(Instant now, InfId inf) {
  const auto it = work_.find(inf);
  if (it == work_.end()) return;
  --routes_[it->second.route].in_work;
  if (const auto c = customers_.find(it->second.customer); c != customers_.end() && --c->second == 0)
    customers_.erase(c);
  work_.erase(it);
  knee_.work(now, work_.size());
}

std::string Caps::look(Instant now) {
  if (!rules_.on) return {};
  knee_.look(now);
  if (now - mode_at_ < mode_lasts) return {};
  // Since the last look: counted from the mode's beginning it would never end.
  const bool shedding = refused_ > refused_then_;
  mode_at_ = now, refused_then_ = refused_;
  if (shedding == shedding_) return {};
  char text[160];
  std::snprintf(text, sizeof text,
                shedding ? "cap reached: %zu in work of %.0f, %.0f%% of first tokens late, %zu refused"
                         : "cap no longer reached: %zu in work of %.0f, %.0f%% late, %zu refused in all",
                work_.size(), knee_.cap(), knee_.late() * 100, refused_);
  shedding_ = shedding;
  return text;
}

}  // namespace calicograde::limits
