#include "roster/roster.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace calicograde::roster {
namespace {

using Json = nlohmann::ordered_json;
constexpr std::size_t most_lines = 100000;

const std::map<std::string, Lifecycle> lifecycles = {
    {"ready", Lifecycle::Ready}, {"draining", Lifecycle::Draining}, {"gone", Lifecycle::Gone}};

struct Wrong {
  std::string what;
};

std::string word(const Json& j, const char* name, const std::string& where, bool needed) {
  const auto it = j.find(name);
  if (it == j.end()) {
    if (needed) throw Wrong{where + " has no '" + name + "'"};
    return {};
  }
  if (!it->is_string()) throw Wrong{where + ": '" + name + "' is no string"};
  return it->get<std::string>();
}
double number(const Json& j, const char* name, const std::string& where, double absent) {
  const auto it = j.find(name);
  if (it == j.end()) return absent;
  if (!it->is_number() || !std::isfinite(it->get<double>()) || it->get<double>() < 0)
    throw Wrong{where + ": '" + name + "' is no number of 0 or more"};
  // Larger ones are no versions, ages or sizes, and could not be counted exactly.
  if (it->get<double>() > 9e12) throw Wrong{where + ": '" + name + "' is too large"};
  return it->get<double>();
}

std::optional<EngineId> literal(const std::string& address) {
  EngineId id;
  const char* at = address.data();
  const char* end = at + address.size();
  for (int k = 0; k < 4; ++k) {
    const auto [next, error] = std::from_chars(at, end, id.address[static_cast<std::size_t>(k)]);
    if (error != std::errc{} || next == end || *next != (k == 3 ? ':' : '.')) return std::nullopt;
    at = next + 1;
  }
  const auto [next, error] = std::from_chars(at, end, id.port);
  if (error != std::errc{} || next != end) return std::nullopt;
  return id;
}

}  // namespace

std::variant<Document, std::string> parse(std::string_view json) {
  const Json j = Json::parse(json, nullptr, false);
  if (!j.is_object()) return std::string("is no JSON object");
  try {
    Document d;
    if (!j.contains("version")) throw Wrong{"the document has no 'version'"};
    d.version = static_cast<std::uint64_t>(number(j, "version", "the document", 0));
    const std::string scope = word(j, "scope", "the document", false);
    if (!scope.empty() && scope != "full" && scope != "delta")
      throw Wrong{"scope '" + scope + "' is neither full nor delta"};
    d.full = scope != "delta";
    if (!d.full && !j.contains("base")) throw Wrong{"a delta has no 'base'"};
    d.base = static_cast<std::uint64_t>(number(j, "base", "the document", 0));
    const auto list = j.find("engines");
    if (list == j.end() || !list->is_array()) throw Wrong{"the document has no array 'engines'"};
    if (list->size() > most_lines) throw Wrong{"more than 100000 engines"};
    for (std::size_t k = 0; k < list->size(); ++k) {
      const std::string where = "engine " + std::to_string(k);
      const Json& e = (*list)[k];
      if (!e.is_object()) throw Wrong{where + " is no object"};
      Line line;
      line.address = word(e, "address", where, true);
      const auto colon = line.address.rfind(':');
      if (colon == std::string::npos || colon == 0 || colon + 1 == line.address.size())
        throw Wrong{where + ": address '" + line.address + "' is no HOST:PORT"};
      line.kind = word(e, "kind", where, true);
      line.zone = word(e, "zone", where, false), line.rack = word(e, "rack", where, false);
      line.incarnation = word(e, "incarnation", where, false);
      if (e.contains("age_ms")) line.age = Span::from_millis(std::min(number(e, "age_ms", where, 0), 1e12));
      line.size = number(e, "size", where, 1);
      const std::string state = word(e, "state", where, false);
      const auto it = lifecycles.find(state.empty() ? "ready" : state);
      if (it == lifecycles.end())
        throw Wrong{where + ": state '" + state + "' is none of ready, draining, gone"};
      line.lifecycle = it->second;
      line.most = static_cast<std::uint32_t>(std::min(number(e, "most", where, 0), 1e6));
      d.lines.push_back(std::move(line));
    }
    if (const auto fronts = j.find("fronts"); fronts != j.end()) {
      if (!fronts->is_array() || fronts->size() > most_lines) throw Wrong{"'fronts' is no array of names"};
      d.fronts.emplace();
      for (const auto& f : *fronts) {
        if (!f.is_string() || f.get<std::string>().empty()) throw Wrong{"'fronts' holds what is no name"};
        d.fronts->push_back(f.get<std::string>());
      }
    }
    return d;
  } catch (const Wrong& w) {
    return w.what;
  }
}

std::string text_of(const Document& d) {
  Json j{{"version", d.version}, {"scope", d.full ? "full" : "delta"}};
  if (!d.full) j["base"] = d.base;
  if (d.fronts) j["fronts"] = *d.fronts;
  j["engines"] = Json::array();
  for (const auto& l : d.lines) {
    Json e{{"address", l.address},         {"kind", l.kind}, {"zone", l.zone}, {"rack", l.rack},
           {"incarnation", l.incarnation}, {"size", l.size}};
    if (l.most > 0) e["most"] = l.most;
    if (l.age) e["age_ms"] = l.age->as_millis();
    for (const auto& [name, value] : lifecycles)
      if (value == l.lifecycle) e["state"] = name;
    j["engines"].push_back(std::move(e));
  }
  return j.dump(-1, ' ', false, Json::error_handler_t::replace);
}

EngineId id_for(const std::string& address, const std::map<EngineId, std::string>& taken) {
  if (const auto id = literal(address)) return *id;
  for (std::uint64_t salt = 0;; ++salt) {
    const std::uint64_t h = XXH3_64bits_withSeed(address.data(), address.size(), salt);
    EngineId id;
    id.address = {static_cast<std::uint8_t>(240 | (h & 15)), static_cast<std::uint8_t>(h >> 8),
                  static_cast<std::uint8_t>(h >> 16), static_cast<std::uint8_t>(h >> 24)};
    id.port = static_cast<std::uint16_t>(h >> 32);
    const auto it = taken.find(id);
    if (it == taken.end() || it->second == address) return id;
  }
}

std::optional<EngineEntry> Follower::entry_for(Instant now, const Line& line, std::string& note) {
  const auto kind = std::find(kinds_.begin(), kinds_.end(), line.kind);
  const auto zone = line.zone.empty() ? zones_.begin() : std::find(zones_.begin(), zones_.end(), line.zone);
  if (kind == kinds_.end() || zone == zones_.end()) {
    note += "engine " + line.address +
            " left out: " + (kind == kinds_.end() ? "kind '" + line.kind : "zone '" + line.zone) +
            "' is not in the settings; ";
    return std::nullopt;
  }
  EngineEntry e;
  const auto known_id = ids_.find(line.address);
  e.engine = known_id != ids_.end() ? known_id->second : id_for(line.address, addresses_);
  if (known_id == ids_.end()) ids_[line.address] = e.engine, addresses_[e.engine] = line.address;
  // The start is worked out once for each incarnation: an age that was on its way for longer or shorter must
  // not look like a restart.
  auto [at, fresh] = known_.try_emplace(e.engine);
  if (fresh || at->second.incarnation != line.incarnation) {
    at->second.incarnation = line.incarnation;
    at->second.started.reset();
    if (line.age) at->second.started = now - *line.age;
    // A new incarnation of an engine known before is a start, told or not.
    else if (!fresh) at->second.started = now;
  }
  e.started = at->second.started;
  e.kind = static_cast<std::uint8_t>(kind - kinds_.begin());
  e.zone = static_cast<std::uint8_t>(zone - zones_.begin());
  e.rack =
      racks_.emplace(line.zone + "/" + line.rack, static_cast<std::uint16_t>(racks_.size())).first->second;
  e.size = line.size;
  e.lifecycle = line.lifecycle, e.most = line.most;
  return e;
}

Followed Follower::follow(Instant now, const Document& d) {
  Followed out;
  if (!d.full && (!any_ || d.base != version_)) {
    // An old delta that comes again is no gap.
    if (any_ && d.version <= version_)
      return out.note = "roster: version " + std::to_string(d.version) + " came again", out;
    out.need_full = true;
    out.note = "roster: a gap, from version " + std::to_string(version_) + " to a change of " +
               std::to_string(d.base);
    return out;
  }
  if (d.full && any_ && d.version < version_)
    out.note = "roster: went back from version " + std::to_string(version_) + " to " +
               std::to_string(d.version) + "; ";
  FleetListed listed{d.full ? ListScope::Full : ListScope::Delta, d.version, {}};
  for (const auto& line : d.lines)
    if (auto e = entry_for(now, line, out.note)) listed.entries.push_back(*e);
  any_ = true, version_ = d.version;
  out.listed = std::move(listed);
  return out;
}

const std::string& Follower::address_of(const EngineId& id) const {
  static const std::string none;
  const auto it = addresses_.find(id);
  return it == addresses_.end() ? none : it->second;
}

}  // namespace calicograde::roster
