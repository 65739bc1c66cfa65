#include "platform/names.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace calicograde::platform {
namespace {

class Pairs {
 public:
  explicit Pairs(const Values& values) : values_(values) {}

  std::string_view word(const std::string& path) const {
    const auto it = values_.find(path);
    return it == values_.end() ? std::string_view{} : it->second;
  }
  double number(const std::string& path, double absent) const {
    const auto it = values_.find(path);
    return it == values_.end() ? absent : parse(path, it->second);
  }
  int count(const std::string& path, int absent) const {
    const double v = number(path, absent);
    if (v < 0 || v > 1e6 || v != std::floor(v)) bad(path, word(path), "is no count");
    return static_cast<int>(v);
  }
  bool flag(const std::string& path) const {
    const auto v = word(path);
    if (v == "true") return true;
    if (!v.empty() && v != "false") bad(path, v, "is neither true nor false");
    return false;
  }
  Span span(const std::string& path) const { return to_span(path, number(path, 0)); }
  std::vector<std::string_view> words(const std::string& path) const {
    std::vector<std::string_view> out;
    for (auto rest = word(path); !rest.empty();) {
      const auto comma = rest.find(',');
      out.push_back(rest.substr(0, comma));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    return out;
  }
  std::vector<double> numbers(const std::string& path) const {
    std::vector<double> out;
    for (auto w : words(path)) out.push_back(parse(path, w));
    return out;
  }
  static Span to_span(const std::string& path, double ms) {
    if (std::abs(ms) > 1e14) bad(path, std::to_string(ms), "is no time");
    return Span::from_millis(ms);
  }
  [[noreturn]] static void bad(const std::string& path, std::string_view value, const char* why) {
    throw SettingsError("setting " + path + ": '" + std::string(value) + "' " + why);
  }

 private:
  static double parse(const std::string& path, std::string_view text) {
    double v = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(v))
      bad(path, text, "is no number");
    return v;
  }
  const Values& values_;
};

template <class T>
T choice(const Pairs& p, const std::string& path, std::initializer_list<std::pair<std::string_view, T>> known,
         T absent) {
  const auto word = p.word(path);
  if (word.empty()) return absent;
  for (const auto& [name, value] : known)
    if (name == word) return value;
  Pairs::bad(path, word, "is not known");
}

ReportField meaning(std::string_view text) {
  if (text == "share_of_memory_that_is_held") return ReportField::Memory;
  if (text == "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched") return ReportField::Tokens;
  return ReportField::Unknown;
}

}  // namespace

Values pairs_of(std::string_view text) {
  Values values;
  for (int line = 1; !text.empty(); ++line) {
    const auto end = text.find('\n');
    auto row = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (!row.empty() && row.back() == '\r') row.remove_suffix(1);
    if (row.empty()) continue;
    const auto eq = row.find('=');
    if (eq == std::string_view::npos) throw SettingsError("line " + std::to_string(line) + " has no '='");
    values[std::string(row.substr(0, eq))] = row.substr(eq + 1);
  }
  return values;
}

Decoded read_settings(const Values& values) {
  const Pairs p(values);
  Decoded d;
  Settings& s = d.settings;
  const auto paces = p.numbers("family_info.token_aim");
  const auto growth = p.numbers("family_info.aim_us_per_1000_prompt_tokens");
  const int routes = p.count("classes.count", 0);
  for (int k = 0; k < routes; ++k) {
    const std::string at = "classes." + std::to_string(k) + ".";
    const auto n = static_cast<std::size_t>(k);
    ModelRoute r;
    r.first_token_target = p.span(at + "aim");
    r.effect = choice<Effect>(
        p, at + "effect",
        {{"safe", Effect::Retriable}, {"keyed", Effect::Deduped}, {"unsafe", Effect::NonRetriable}},
        Effect::NonRetriable);
    r.dedupe_group = choice<DedupeGroup>(
        p, at + "key_scope",
        {{"all", DedupeGroup::All}, {"zone", DedupeGroup::Zone}, {"cell", DedupeGroup::Rack}},
        DedupeGroup::Rack);
    r.dedupe_window = p.span(at + "window");
    r.value = p.number(at + "worth", 1);
    r.late_value = p.number(at + "late_worth", 0);
    if (n < paces.size()) r.token_pace = Pairs::to_span("family_info.token_aim", paces[n]);
    if (n < growth.size())
      r.target_per_1000_tokens =
          Pairs::to_span("family_info.aim_us_per_1000_prompt_tokens", growth[n] / 1000.0);
    s.routes.push_back(r);
  }
  const auto memory = p.numbers("family_info.kind_memory_tokens");
  for (auto word : p.words("family_info.stage_of_kind")) {
    EngineKind kind;
    if (word == "read") kind.stage = Stage::Read;
    else if (word == "write") kind.stage = Stage::Write;
    else if (word != "both") Pairs::bad("family_info.stage_of_kind", word, "is not known");
    if (s.kinds.size() < memory.size()) kind.memory_tokens = memory[s.kinds.size()];
    s.kinds.push_back(kind);
  }
  s.fronts = std::max(1, p.count("n_instances", 1));
  s.zone = static_cast<std::uint8_t>(p.count("zone", 0));
  s.may_cancel = p.flag("allowed.cancelling");
  s.may_probe = p.flag("allowed.probes");
  s.may_hold_places = p.flag("family_info.holds_allowed");
  s.second_copies = p.flag("allowed.second_copies");
  s.retry_advice = p.flag("allowed.retry_after");
  s.writers_read = p.flag("family_info.writers_read");
  s.list_must_be_asked = choice<bool>(p, "discovery", {{"automatic", false}, {"subscribe", true}}, false);
  s.sizes_told = !p.word("weight_source").empty() && p.word("weight_source") != "silent";
  s.max_sends = p.count("allowed.max_attempts", 1);
  s.max_retry_after = p.span("allowed.max_retry_after");
  s.pin_limit = p.span("family_info.pin_limit");
  s.connect = p.span("allowed.connect_timeout");
  s.cold = p.span("rules.cold");
  s.cold_from = p.number("rules.cold_from", 1);
  s.fall_multiple = p.number("rules.fall_multiple", 1);
  s.fall = p.span("rules.fall");
  s.link_idle = p.span("allowed.conn_idle");
  s.ask_within = p.span("rules.ask_within");
  s.far_price = p.number("family_info.far_price", 0);
  s.zone_price = p.number("penalties.cross_zone", 0);

  for (int k = 0; k < routes; ++k) d.routes.emplace_back(p.word("classes." + std::to_string(k) + ".name"));
  for (auto word : p.words("host_types")) d.kinds.emplace_back(word);
  for (auto word : p.words("failure_domains")) d.zones.emplace_back(word);

  const std::map<std::string_view, ReportField> known = {{"busy_reqs", ReportField::Held},
                                                         {"pending", ReportField::Waiting},
                                                         {"x0", meaning(p.word("family_info.report_x0"))},
                                                         {"x1", meaning(p.word("family_info.report_x1"))}};
  for (auto word : p.words("report.fields")) {
    const auto it = known.find(word);
    d.report_fields.push_back(it == known.end() ? ReportField::Unknown : it->second);
  }
  return d;
}

}  // namespace calicograde::platform
