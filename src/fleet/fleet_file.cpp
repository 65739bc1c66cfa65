#include "fleet/fleet_file.hpp"

#include <algorithm>
#include <charconv>
#include <map>

namespace calicograde::fleet {
namespace {

constexpr std::size_t most_fronts = 10000;

std::vector<std::string> words_of(const std::string& text) {
  std::vector<std::string> out;
  std::string word;
  for (const char c : text + " ") {
    if (c != ' ' && c != '\t' && c != '\n') word += c;
    else if (!word.empty()) out.push_back(std::move(word)), word.clear();
  }
  return out;
}

// {01..20}: where it stands, and what it counts.
struct Range {
  std::size_t at = 0, size = 0;
  long from = 0, to = 0;
  std::size_t width = 0;
};
std::optional<Range> range_in(const std::string& s) {
  const auto open = s.find('{'), close = s.find('}'), dots = s.find("..");
  if (open == std::string::npos || close == std::string::npos || dots == std::string::npos || dots < open ||
      close < dots)
    return std::nullopt;
  Range r;
  const auto read = [&](std::size_t from, std::size_t to, long& out) {
    const auto [end, error] = std::from_chars(s.data() + from, s.data() + to, out);
    return error == std::errc{} && end == s.data() + to && from < to && out >= 0;
  };
  if (!read(open + 1, dots, r.from) || !read(dots + 2, close, r.to)) return std::nullopt;
  r.at = open, r.size = close - open + 1, r.width = dots - open - 1;
  return r;
}
std::string with(const std::string& s, const Range& r, long n, long pad) {
  std::string digits = std::to_string(n);
  while (digits.size() < static_cast<std::size_t>(pad)) digits.insert(0, "0");
  return s.substr(0, r.at) + digits + s.substr(r.at + r.size);
}

void add(Fleet& out, const settings::Element& e, const std::string& name, const std::string& admin,
         const std::string& file, std::vector<settings::Fault>& faults, std::map<std::string, int>& lines) {
  const auto [it, fresh] = lines.emplace(name, e.line);
  if (!fresh)
    faults.push_back({file, e.line,
                      "front '" + name + "' stands already in line " + std::to_string(it->second),
                      "give each front one line"});
  Front f;
  f.name = name, f.hall = e.text("hall"), f.token_file = e.text("token-file");
  for (auto& tag : words_of(e.text("tags"))) f.tags.insert(std::move(tag));
  const auto at = net::parse_address(admin);
  if (!at) faults.push_back({file, e.line, "'" + admin + "' is no address", "write HOST:PORT or unix:/PATH"});
  else f.admin = *at;
  out.fronts.push_back(std::move(f));
}

}  // namespace

bool matches(std::string_view pattern, std::string_view name) {
  std::size_t p = 0, n = 0, star = std::string_view::npos, from = 0;
  while (n < name.size()) {
    if (p < pattern.size() && pattern[p] == '*') star = p++, from = n;
    else if (p < pattern.size() && pattern[p] == name[n]) ++p, ++n;
    else if (star != std::string_view::npos) p = star + 1, n = ++from;
    else return false;
  }
  while (p < pattern.size() && pattern[p] == '*') ++p;
  return p == pattern.size();
}

std::optional<Fleet> read_fleet(const std::string& file, std::string_view text,
                                std::vector<settings::Fault>& faults) {
  const auto before = faults.size();
  const auto root = settings::read_xml(file, text, fleet_schema(), faults);
  if (!root || faults.size() > before) return std::nullopt;
  Fleet out;
  std::map<std::string, int> lines;
  for (const auto* e : root->all("fronts")) {
    const std::string name = e->text("name"), admin = e->text("admin");
    const auto range = range_in(name);
    if (!range) {
      if (name.find_first_of("{}*") != std::string::npos)
        faults.push_back(
            {file, e->line, "'" + name + "' is no name", "write a name, or a range such as front-{01..20}"});
      add(out, *e, name, admin, file, faults, lines);
      continue;
    }
    if (range->to < range->from || range->to - range->from >= static_cast<long>(most_fronts)) {
      faults.push_back({file, e->line, "'" + name + "' counts no fronts, or too many",
                        "count upwards, 10000 fronts at the most"});
      continue;
    }
    const auto beside = range_in(admin);
    if (!beside && range->to > range->from) {
      faults.push_back({file, e->line, "many fronts with one address '" + admin + "'",
                        "count in the address too, as in 10.0.0.{1..20}:9000"});
      continue;
    }
    if (beside && beside->to - beside->from != range->to - range->from) {
      faults.push_back(
          {file, e->line, "name and admin count different numbers of fronts", "count the same in both"});
      continue;
    }
    for (long k = 0; k <= range->to - range->from; ++k)
      add(out, *e, with(name, *range, range->from + k, static_cast<long>(range->width)),
          beside ? with(admin, *beside, beside->from + k, static_cast<long>(beside->width)) : admin, file,
          faults, lines);
  }
  for (const auto* g : root->all("group")) {
    out.groups.push_back({g->text("name"), words_of(g->text("fronts"))});
    for (std::size_t k = 0; k + 1 < out.groups.size(); ++k)
      if (out.groups[k].name == g->text("name"))
        faults.push_back(
            {file, g->line, "group '" + g->text("name") + "' stands twice", "give it another name"});
    if (lines.contains(g->text("name")))
      faults.push_back(
          {file, g->line, "'" + g->text("name") + "' is a front's name too", "give the group another"});
    // Groups of groups would need a look for loops, and nobody has asked for them.
    std::vector<std::string> unknown;
    Fleet alone{out.fronts, {}};
    select(alone, out.groups.back().members, unknown);
    for (const auto& word : unknown)
      faults.push_back(
          {file, g->line, "'" + word + "' means no front", "name fronts, patterns, hall:NAME or tag:NAME"});
  }
  if (out.fronts.size() > most_fronts)
    faults.push_back({file, root->line, "more than 10000 fronts", "split the fleet"});
  if (faults.size() > before) return std::nullopt;
  return out;
}

std::vector<std::size_t> select(const Fleet& fleet, const std::vector<std::string>& words,
                                std::vector<std::string>& unknown) {
  std::set<std::size_t> chosen;
  for (const std::string& word : words) {
    bool any = false;
    for (const Group& g : fleet.groups) {
      if (g.name != word) continue;
      std::vector<std::string> ignored;
      const auto members = select({fleet.fronts, {}}, g.members, ignored);
      chosen.insert(members.begin(), members.end()), any = true;
    }
    for (std::size_t k = 0; k < fleet.fronts.size(); ++k) {
      const Front& f = fleet.fronts[k];
      const bool hit = word == "all" || (word.starts_with("hall:") && f.hall == word.substr(5)) ||
                       (word.starts_with("tag:") && f.tags.contains(word.substr(4))) || matches(word, f.name);
      if (hit) chosen.insert(k), any = true;
    }
    if (!any) unknown.push_back(word);
  }
  return {chosen.begin(), chosen.end()};
}

}  // namespace calicograde::fleet
