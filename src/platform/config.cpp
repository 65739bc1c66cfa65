#include "platform/config.hpp"

#include <algorithm>
#include <charconv>

#include "platform/json.hpp"
#include "platform/registry_json.hpp"

namespace calicograde::platform {
namespace {

[[noreturn]] void bad(const std::string& key, const std::string& what, const std::string& mend) {
  throw ConfigError(key + ": " + what + "; " + mend);
}

std::string plain_value(const std::string& path, const Json& j) {
  if (j.is_string()) return plain_name(j.get<std::string>());
  if (j.is_number() || j.is_boolean()) return j.dump();
  bad("settings." + path, "is no plain value", "give a number, a word, true or false");
}

// The nested object as values by path, as on the simulator's wire.
void flatten(const std::string& path, const Json& j, Values& out, int depth) {
  if (depth > 16) bad("settings." + path, "is nested too deep", "give the platform's object unchanged");
  if (j.is_null()) return;
  if (j.is_object()) {
    for (const auto& [name, value] : j.items())
      flatten(path.empty() ? name : path + "." + name, value, out, depth + 1);
  } else if (j.is_array() && !j.empty() && j.front().is_object()) {
    out[path + ".count"] = std::to_string(j.size());
    for (std::size_t k = 0; k < j.size(); ++k) flatten(path + "." + std::to_string(k), j[k], out, depth + 1);
  } else if (j.is_array()) {
    std::string all;
    for (const Json& item : j) all += (all.empty() ? "" : ",") + plain_value(path, item);
    out[path] = all;
  } else {
    out[path] = plain_value(path, j);
  }
}

std::string text_of(const Json& j, const char* key, const char* mend) {
  std::string text = text_at(j, key);
  if (text.empty()) bad(key, at(j, key) ? "is no text" : "is missing", mend);
  return text;
}

std::size_t count_of(const Json& limits, const char* key, double least) {
  const double v = number_at(limits, key, -1);
  const std::string path = std::string("limits.") + key;
  if (v < 0) bad(path, at(limits, key) ? "is no number" : "is missing", "give the node's own limit");
  if (v < least || v > 1e9)
    bad(path, "is " + std::to_string(static_cast<long long>(v)),
        "a front node needs " + std::to_string(static_cast<long long>(least)) + " or more");
  return static_cast<std::size_t>(v);
}

// A time above 0 that has to be told.
Span time_of(const Values& values, const std::string& path) {
  const auto it = values.find(path);
  double ms = 0;
  if (it != values.end()) std::from_chars(it->second.data(), it->second.data() + it->second.size(), ms);
  if (!(ms > 0 && ms < 1e9)) bad("settings." + path, "is missing or no time", "give milliseconds above 0");
  return Span::from_millis(ms);
}

}  // namespace

NodeConfig read_config(std::string_view text) {
  const Json j = Json::parse(text, nullptr, false);
  if (!j.is_object()) bad("(file)", "is no JSON object", "give the platform's configuration unchanged");
  NodeConfig c;
  c.name = text_of(j, "name", "give the node's name");
  c.listen = text_of(j, "listen", "give ADDRESS:PORT to listen on");
  c.discovery = text_of(j, "discovery", "give ADDRESS:PORT of the registry");
  const std::string seed = text_of(j, "seed", "give 16 hexadecimal digits");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size())
    bad("seed", "'" + seed.substr(0, 40) + "' is no hexadecimal number", "give 16 hexadecimal digits");
  const Json* limits = at(j, "limits");
  if (!limits || !limits->is_object()) bad("limits", "is missing", "give cores, memory_mb and sockets");
  c.cores = number_at(*limits, "cores", -1);
  if (!(c.cores > 0 && c.cores <= 1e4)) bad("limits.cores", "is no part of a core", "give a number above 0");
  c.memory_mb = count_of(*limits, "memory_mb", 16);
  c.descriptors = count_of(*limits, "sockets", 64);
  const Json* settings = at(j, "settings");
  if (!settings || !settings->is_object()) bad("settings", "is missing", "give the platform's settings");
  Values values;
  flatten("", *settings, values, 0);
  try {
    c.told = read_settings(values);
  } catch (const SettingsError& e) {
    bad("settings", e.what(), "give the platform's settings unchanged");
  }
  const Decoded& t = c.told;
  if (t.routes.empty()) bad("settings.classes", "is missing or empty", "give one class or more");
  for (const auto& name : t.routes)
    if (name.empty()) bad("settings.classes", "has one without a name", "give each its name");
  if (t.kinds.empty() || t.kinds.size() != t.settings.kinds.size())
    bad("settings.host_types", "does not go with family_info.stage_of_kind", "name one stage a type");
  if (t.zones.empty()) bad("settings.failure_domains", "is missing", "name one zone or more");
  for (const char* key : {"allowed.max_attempts", "allowed.conn_idle", "family_info.pin_limit",
                          "rules.drain_grace", "rules.cold", "n_instances"})
    if (!values.contains(key)) bad(std::string("settings.") + key, "is missing", "give its figure");
  if (t.settings.connect <= Span{})
    bad("settings.allowed.connect_timeout", "is missing or no time", "give milliseconds above 0");
  for (std::size_t k = 0; k < t.routes.size(); ++k)
    c.give_up.push_back(time_of(values, "classes." + std::to_string(k) + ".give_up"));
  c.drain_grace = time_of(values, "rules.drain_grace");
  if (const Json* known = at(j, "known")) {
    auto listing = read_listing(*known, t);
    if (const auto* wrong = std::get_if<std::string>(&listing))
      bad("known", *wrong, "give the registry's list, or none");
    c.known = std::move(std::get<Listing>(listing));
  }
  return c;
}

Shares divide(const NodeConfig& c) {
  Shares s;
  const std::size_t all = c.descriptors, rest = 20;
  // Clients hold at most a third for inferences in work; some more stand idle or are being turned away.
  const std::size_t of_clients = (all - rest) * 4 / 10;
  s.connections = of_clients * 8 / 9;  // the ninth part: those answered, and left to their clients to close
  s.inferences = (all - rest) / 3;
  s.links = all - rest - of_clients;
  s.idle_links = std::clamp<std::size_t>(s.links / 4, 8, 256);
  // A send keeps its thread until the answer begins; then its client's thread has the link.
  s.sends = std::clamp<std::size_t>(s.links * 2 / 3, 16, 512);
  s.short_asks = std::clamp<std::size_t>(s.links / 8, 4, 48);
  const std::size_t memory = c.memory_mb << 20;
  s.request_bytes = std::max<std::size_t>(memory / 6, 1 << 20);
  s.stack = 96 << 10;
  return s;
}

}  // namespace calicograde::platform
