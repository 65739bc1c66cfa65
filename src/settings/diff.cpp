#include "settings/diff.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace calicograde::settings {
namespace {

// What tells an element from its like; a place number where nothing does.
std::string key_of(const Element& e) {
  for (const char* name : {"name", "address", "allow", "zones", "what"})
    if (const auto* v = e.attribute(name)) return *v;
  return {};
}

std::vector<std::pair<std::string, const Element*>> keyed(const Element& parent) {
  std::vector<std::pair<std::string, const Element*>> out;
  std::map<std::string, int> seen;
  for (const Element& c : parent.children) {
    std::string key = c.name;
    if (const auto own = key_of(c); !own.empty()) key += " " + own;
    if (const int n = ++seen[key]; n > 1) key += " (" + std::to_string(n) + ")";
    out.emplace_back(std::move(key), &c);
  }
  return out;
}

std::string under(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + ": " + key;
}

void compare(const std::string& path, const Element& a, const Element& b, std::vector<std::string>& out) {
  const std::string where = path.empty() ? "" : path + ": ";
  for (const auto& [name, value] : a.attributes) {
    const auto* now = b.attribute(name);
    if (!now) out.push_back(where + name + " " + value + " is gone");
    else if (*now != value) out.push_back(where + name + " " + value + " is now " + *now);
  }
  for (const auto& [name, value] : b.attributes)
    if (!a.attribute(name)) out.push_back(where + name + " " + value + " is new");
  const auto before = keyed(a), after = keyed(b);
  const auto find = [](const auto& in, const std::string& key) {
    return std::find_if(in.begin(), in.end(), [&](const auto& e) { return e.first == key; });
  };
  for (const auto& [key, e] : before) {
    const auto it = find(after, key);
    if (it == after.end()) out.push_back(under(path, key) + " is gone");
    else compare(under(path, key), *e, *it->second, out);
  }
  for (const auto& [key, e] : after)
    if (find(before, key) == before.end()) out.push_back(under(path, key) + " is new");
  // The order of what both have.
  std::vector<std::string> first, second;
  for (const auto& [key, e] : before)
    if (find(after, key) != after.end() && e->name == "route") first.push_back(key);
  for (const auto& [key, e] : after)
    if (find(before, key) != before.end() && e->name == "route") second.push_back(key);
  if (first != second) {
    std::string order;
    for (const auto& key : second) order += (order.empty() ? "" : ", ") + key;
    out.push_back(where + "routes are tried in another order: " + order);
  }
}

}  // namespace

std::vector<std::string> diff(const Element& before, const Element& after) {
  std::vector<std::string> out;
  compare("", before, after, out);
  return out;
}

}  // namespace calicograde::settings
