#include "soak/run_settings.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

namespace calicograde::soak {
namespace {

constexpr Span deadline_counted_at_most = Span::millis(3000), kill_after_deadline = Span::millis(700);
constexpr std::uint64_t settings_stream = 0x5e771465;  // apart from the schedule's random numbers

const char* name_of(Effect effect) {
  switch (effect) {
    case Effect::Retriable: return "safe";
    case Effect::Deduped: return "keyed";
    case Effect::NonRetriable: break;
  }
  return "unsafe";
}

const char* name_of(PlaceAnswers answers) {
  switch (answers) {
    case PlaceAnswers::WhileReading: return "while reading";
    case PlaceAnswers::Always: return "always";
    case PlaceAnswers::HeldUnknown: break;
  }
  return "held unknown";
}

const char* name_of(bool flag) { return flag ? "true" : "false"; }

std::string class_json(const char* name, const RunSettings& settings, Effect effect) {
  char text[320];
  std::snprintf(text, sizeof text, R"({"name":"%s","aim":%.1f,"give_up":%.1f,"worth":1.0,"effect":"%s")",
                name, settings.give_up.as_millis() * 0.4, settings.give_up.as_millis(), name_of(effect));
  std::string out = text;
  if (effect == Effect::Deduped) {
    std::snprintf(text, sizeof text, R"(,"key_scope":"all","window":%.1f)",
                  settings.dedupe_window.as_millis());
    out += text;
  }
  return out + "}";
}

}  // namespace

Span RunSettings::kill_after_sigterm() const {
  return std::min(give_up, deadline_counted_at_most) + kill_after_deadline;
}

std::string RunSettings::json() const {
  std::string classes;
  for (int k = 0; k < 3; ++k)
    classes += (k > 0 ? ",\n " : "") + class_json(class_names[k], *this, effects[k]);
  char text[1024];
  std::snprintf(text, sizeof text,
                R"("host_types":["prefill","decode"],"failure_domains":["a"],"n_instances":10,"zone":0,
 "allowed":{"max_attempts":%d,"conn_idle":4000.0,"connect_timeout":%.1f,"cancelling":%s,"probes":%s,
 "second_copies":%s,"retry_after":true,"max_retry_after":500.0},
 "family_info":{"stage_of_kind":["read","write"],"kind_memory_tokens":[400000,400000],"pin_limit":%.1f,
 "holds_allowed":%s,"token_aim":[70.0,70.0,70.0]},
 "rules":{"drain_grace":%.1f,"cold":%.1f,"cold_from":%g,"fall":%.1f,"fall_multiple":%g})",
                max_attempts, connect_timeout.as_millis(), name_of(cancelling), name_of(probes),
                name_of(second_copies), pin_limit.as_millis(), name_of(holds_places), drain_grace.as_millis(),
                cold.as_millis(), cold_from, fall.as_millis(), fall_multiple);
  return R"({"classes":[
 )" + classes +
         "],\n " + text + "}";
}

std::string RunSettings::text() const {
  char out[512];
  std::snprintf(
      out, sizeof out,
      "give up %.0f ms, pin %.0f, grace %.0f, window %.0f, classes %s %s %s, places %s, probes %s, "
      "cancelling %s, copies %s, attempts %d, proxied %s, late notice %s, granted %s, taken after %.0f ms, "
      "ends heard after %.0f ms, quiet ends %s, drops at time %s, hangs on attempts alone %s, accept queue "
      "%d",
      give_up.as_millis(), pin_limit.as_millis(), drain_grace.as_millis(), dedupe_window.as_millis(),
      name_of(effects[0]), name_of(effects[1]), name_of(effects[2]), name_of(holds_places), name_of(probes),
      name_of(cancelling), name_of(second_copies), max_attempts, name_of(proxied), name_of(late_notice),
      name_of(place_answers), takes_late.as_millis(), ends_late.as_millis(), name_of(quiet_ends),
      name_of(drops_at_time), name_of(hangs_on_attempts), accept_backlog);
  return out;
}

RunSettings draw_settings(std::uint64_t seed) {
  std::mt19937_64 random(seed ^ settings_stream);
  const auto one_of = [&](std::initializer_list<int> values) {
    return values.begin()[random() % values.size()];
  };
  const auto likely = [&](int of_ten) { return static_cast<int>(random() % 10) < of_ten; };
  RunSettings s;
  s.give_up = Span::millis(one_of({400, 800, 1500, 2500, 2500, 4000, 10000}));
  s.pin_limit = Span::millis(one_of({200, 350, 500, 500, 900, 1500}));
  s.drain_grace = Span::millis(one_of({250, 500, 500, 1000}));
  s.dedupe_window = Span::millis(one_of({600, 1500, 1500, 4000}));
  s.connect_timeout = Span::millis(one_of({150, 250, 300}));
  for (Effect& effect : s.effects) effect = static_cast<Effect>(one_of({0, 0, 1, 1, 2}));
  s.holds_places = likely(7);
  s.probes = likely(5);
  s.cancelling = likely(8);
  s.second_copies = likely(6);
  s.max_attempts = one_of({2, 3, 6, 6});
  s.proxied = likely(5);
  s.late_notice = likely(4);
  s.place_answers = static_cast<PlaceAnswers>(one_of({0, 1, 1, 2}));
  s.takes_late = Span::millis(one_of({0, 0, 20, 60, 150}));
  s.ends_late = Span::millis(one_of({0, 0, 5, 50, 200}));
  s.quiet_ends = likely(3);
  s.drops_at_time = likely(5);
  s.hangs_on_attempts = likely(5);
  s.accept_backlog = one_of({4096, 4096, 2});
  return s;
}

}  // namespace calicograde::soak
