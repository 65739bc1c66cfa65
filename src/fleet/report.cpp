#include "fleet/report.hpp"

#include <algorithm>

namespace calicograde::fleet {
namespace {

using Json = nlohmann::ordered_json;

std::string text(const Json& j, const char* name) {
  if (!j.is_object()) return {};
  const auto it = j.find(name);
  if (it == j.end()) return {};
  return it->is_string() ? it->get<std::string>() : it->dump();
}

bool add(metrics::Latency& to, const Json& j, const char* name) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_array()) return false;
  std::vector<std::uint64_t> counts;
  for (const auto& n : *it) {
    if (!n.is_number_unsigned()) return false;
    counts.push_back(n.get<std::uint64_t>());
  }
  return to.add_counts(counts);
}

// Adds a front's figures; all or nothing.
bool add_latency(Report& out, const Json& j) {
  if (text(j, "buckets") != std::to_string(metrics::Latency::version) || !j.contains("routes") ||
      !j["routes"].is_object())
    return false;
  std::map<std::string, Report::Route> mine;
  for (const auto& [name, r] : j["routes"].items()) {
    Report::Route& route = mine[name];
    if (!r.is_object() || !add(route.first_token, r, "first_token") || !add(route.whole, r, "whole"))
      return false;
    if (const auto it = r.find("outcomes"); it != r.end() && it->is_object())
      for (const auto& [how, n] : it->items())
        if (n.is_number_unsigned()) route.outcomes[how] += n.get<std::uint64_t>();
  }
  for (const auto& [name, r] : mine) {
    Report::Route& route = out.routes[name];
    route.first_token.add_counts(r.first_token.counts()), route.whole.add_counts(r.whole.counts());
    for (const auto& [how, n] : r.outcomes) route.outcomes[how] += n;
  }
  return true;
}

}  // namespace

Report put_together(const std::vector<Said>& all) {
  Report out;
  std::map<std::string, std::map<std::string, std::vector<std::string>>>
      judged;                        // engine -> judgement -> fronts
  std::vector<std::string> listing;  // fronts that told of engines
  for (const Said& s : all) {
    ++out.asked;
    if (s.state.is_null() || s.engines.is_null() || s.latency.is_null()) out.not_heard.push_back(s.front);
    else ++out.heard;
    if (s.state.is_object()) {
      out.digests[text(s.state, "settings_digest")].push_back(s.front);
      out.builds[text(s.state, "build")].push_back(s.front);
      if (s.state.contains("fronts")) out.counts[text(s.state["fronts"], "acting")].push_back(s.front);
      if (s.state.contains("drain")) out.drains[text(s.state["drain"], "state")].push_back(s.front);
    }
    if (s.latency.is_object() && !add_latency(out, s.latency)) out.other_buckets.push_back(s.front);
    if (!s.engines.is_object() || !s.engines.contains("engines")) continue;
    listing.push_back(s.front);
    for (const auto& e : s.engines["engines"])
      if (text(e, "judged") != "gone")
        judged[text(e, "pool") + " " + text(e, "address")][text(e, "judged")].push_back(s.front);
  }
  for (const auto& [engine, by] : judged) {
    std::set<std::string> told;
    const auto usual = std::max_element(
        by.begin(), by.end(), [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
    for (const auto& [how, fronts] : by) told.insert(fronts.begin(), fronts.end());
    for (const auto& front : listing)
      if (!told.contains(front)) out.lacking[engine].push_back(front);
    if (by.size() < 2) continue;
    Report::Odd odd{engine, usual->first, by};
    odd.others.erase(usual->first);
    out.odd.push_back(std::move(odd));
  }
  return out;
}

}  // namespace calicograde::fleet
