#include "limits/spill.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace calicograde::limits {
namespace {

constexpr std::size_t openings_kept = 8;
constexpr Span press_lasts = Span::millis(300);
constexpr Span demand = Span::millis(5000);  // a route that spilled this long ago still counts

}  // namespace

std::size_t Spill::Zone::all_spilled() const {
  std::size_t n = 0;
  for (const auto& [route, count] : spilled) n += count;
  return n;
}

Spill::Spill(SpillRules rules, std::vector<RouteTiers> routes, std::vector<std::string> zones)
    : rules_(rules), names_(std::move(zones)) {
  for (auto& r : routes) {
    on_ = on_ || !r.tiers.empty();
    routes_.push_back({std::move(r), 1, {}, {}, {}, {}});
  }
  closed_.resize(routes_.size());
  for (std::size_t z = 0; z < names_.size(); ++z) zone(static_cast<std::uint8_t>(z));
}

const std::string& Spill::name(std::uint8_t z) const {
  static const std::string unknown = "?";
  return z < names_.size() ? names_[z] : unknown;
}

const Spill::Zone* Spill::find(std::uint8_t z) const {
  const auto it = zones_.find(z);
  return it == zones_.end() ? nullptr : &it->second;
}

bool Spill::closed(std::uint16_t route, std::uint8_t z) const {
  return route < closed_.size() && closed_[route].contains(z);
}
double Spill::capacity(std::uint8_t z) const {
  const Zone* found = find(z);
  return found ? found->knee.cap() : 0;
}
std::size_t Spill::in_work(std::uint8_t z) const {
  const Zone* found = find(z);
  return found ? found->in_work : 0;
}
std::size_t Spill::spilled(std::uint8_t z) const {
  const Zone* found = find(z);
  return found ? found->all_spilled() : 0;
}

void Spill::hall(Instant now, std::uint8_t z, Hall state) {
  Zone& its = zone(z);
  if (its.state == Hall::Lost && state != Hall::Lost) its.back = now;
  its.state = state;
}

void Spill::press(Instant now, std::uint16_t route) {
  if (route < routes_.size()) routes_[route].pressed = now;
}

bool Spill::pressed(const Route& r, Instant now) const {
  return r.pressed && now - *r.pressed <= press_lasts;
}

// Its cap; less while it is just back.
double Spill::bears(const Zone& z, Instant now) const {
  if (!z.back || now - *z.back >= rules_.cold) return z.knee.cap();
  return z.knee.cap() * (rules_.cold_from + (1 - rules_.cold_from) * ((now - *z.back) / rules_.cold));
}

bool Spill::prefers(std::uint16_t route, std::uint8_t z) const {
  if (route >= routes_.size()) return true;
  const auto& tiers = routes_[route].rule.tiers;
  return tiers.empty() || tiers.front().contains(z);
}

void Spill::leave(const Work& w) {
  Zone& z = zone(w.zone);
  --z.in_work;
  if (!w.spilled) return;
  const auto it = z.spilled.find(w.route);
  if (--it->second == 0) z.spilled.erase(it);
}

std::vector<SpillStep> Spill::sent(Instant now, InfId inf, std::uint16_t route, std::uint8_t to) {
  if (!on_ || route >= routes_.size()) return {};
  const auto [it, fresh] = work_.try_emplace(inf);
  if (!fresh) leave(it->second);
  it->second = {route, to, !prefers(route, to)};
  Zone& z = zone(to);
  ++z.in_work;
  if (it->second.spilled) ++z.spilled[route], routes_[route].spilled_at = now;
  z.knee.work(now, z.in_work);
  return judge(now);
}

void Spill::first_token(Instant now, InfId inf, double share) {
  if (const auto it = work_.find(inf); it != work_.end()) zone(it->second.zone).knee.first_token(now, share);
}

std::vector<SpillStep> Spill::ended(Instant now, InfId inf) {
  const auto it = work_.find(inf);
  if (it == work_.end()) return {};
  leave(it->second);
  work_.erase(it);
  return judge(now);
}

double Spill::load(const Route& r, std::size_t count, Instant now) const {
  double in_work = 0, capacity = 0;
  for (std::size_t t = 0; t < std::min(count, r.rule.tiers.size()); ++t)
    for (const std::uint8_t id : r.rule.tiers[t]) {
      const Zone* z = find(id);
      if (!z || z->state == Hall::Lost) continue;
      in_work += static_cast<double>(z->in_work), capacity += bears(*z, now);
    }
  return capacity > 0 ? in_work / capacity : 2;
}

// The dearest route may fill the bound; a cheaper one leaves it a part, but has its floor.
bool Spill::at_bound(const Zone& z, std::uint16_t route, Instant now) const {
  const double all = static_cast<double>(z.all_spilled()), own_work = static_cast<double>(z.in_work) - all;
  const double bound = bears(z, now) * std::max(rules_.bound, rules_.fill - own_work / bears(z, now));
  const auto own = z.spilled.find(route);
  const double mine = own == z.spilled.end() ? 0 : static_cast<double>(own->second);
  double kept = 0;
  for (std::size_t k = 0; k < routes_.size(); ++k) {
    const Route& other = routes_[k];
    if (k == route || !other.spilled_at || now - *other.spilled_at > demand) continue;
    const auto theirs = z.spilled.find(static_cast<std::uint16_t>(k));
    const double have = theirs == z.spilled.end() ? 0 : static_cast<double>(theirs->second);
    if (other.rule.value > routes_[route].rule.value || mine >= rules_.floor * bound)
      kept += std::max(0.0, rules_.floor * bound - have);
  }
  if (mine < rules_.floor * bound) return all >= bound * (1 + rules_.floor);
  return all + kept >= bound;
}

Span Spill::hold_of(const Route& r, Instant now) const {
  const auto recent = std::count_if(r.openings.begin(), r.openings.end(),
                                    [&](Instant t) { return now - t <= rules_.flap_memory; });
  return std::min(rules_.most_hold,
                  rules_.hold * std::pow(2.0, static_cast<double>(std::max<std::ptrdiff_t>(0, recent - 1))));
}

std::vector<SpillStep> Spill::judge(Instant now) {
  std::vector<SpillStep> out;
  for (std::size_t k = 0; k < routes_.size(); ++k) {
    Route& r = routes_[k];
    const std::size_t all = r.rule.tiers.size();
    while (r.open < all && (load(r, r.open, now) >= rules_.high || pressed(r, now))) {
      ++r.open, r.calm.reset(), r.pressed.reset();
      r.openings.push_back(now);
      if (r.openings.size() > openings_kept) r.openings.erase(r.openings.begin());
      char text[160];
      std::snprintf(text, sizeof text, "route %zu spills into tier %zu: those before it at %.0f%%", k, r.open,
                    load(r, r.open - 1, now) * 100);
      out.push_back(SpillNote{text});
    }
    if (r.open > 1) {
      if (load(r, r.open - 1, now) > rules_.low || pressed(r, now)) r.calm.reset();
      else if (!r.calm) r.calm = now;
      else if (now - *r.calm >= hold_of(r, now)) {
        char text[160];
        std::snprintf(text, sizeof text, "route %zu keeps out of tier %zu again: those before it at %.0f%%",
                      k, r.open, load(r, r.open - 1, now) * 100);
        out.push_back(SpillNote{text});
        --r.open, r.calm.reset();
      }
    }
  }
  ZonesClosed told;
  told.by_route.resize(routes_.size());
  std::set<std::uint8_t> bounded;
  for (std::size_t k = 0; k < routes_.size(); ++k) {
    const Route& r = routes_[k];
    if (r.rule.tiers.empty()) continue;
    for (const auto& [id, z] : zones_) {
      std::size_t tier = 0;
      while (tier < r.rule.tiers.size() && !r.rule.tiers[tier].contains(id)) ++tier;
      const bool open = tier < r.open;
      const bool full = open && tier > 0 && at_bound(z, static_cast<std::uint16_t>(k), now);
      if (full) bounded.insert(id);
      if (!open || full) told.by_route[k].insert(id);
    }
  }
  for (const std::uint8_t id : bounded)
    if (!bounded_.contains(id)) {
      const Zone& z = zones_.at(id);
      char text[160];
      std::snprintf(text, sizeof text, "zone %s takes no more for others: %zu of %.0f in work are theirs",
                    name(id).c_str(), z.all_spilled(), bears(z, now));
      out.push_back(SpillNote{text});
    }
  // Told again only after it has had room for a while: the bound is touched many times a second.
  if (!bounded.empty()) bounded_.insert(bounded.begin(), bounded.end());
  if (told.by_route != closed_) {
    closed_ = told.by_route;
    out.push_back(std::move(told));
  }
  return out;
}

std::vector<SpillStep> Spill::tick(Instant now) {
  if (!on_) return {};
  for (auto& [id, z] : zones_) z.knee.look(now);
  auto out = judge(now);
  std::erase_if(bounded_, [&](std::uint8_t id) {
    const Zone& z = zones_.at(id);
    return static_cast<double>(z.all_spilled()) < rules_.low * rules_.bound * bears(z, now);
  });
  return out;
}

}  // namespace calicograde::limits
