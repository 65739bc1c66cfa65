#include "soak/schedule.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

namespace calicograde::soak {
namespace {

constexpr Span first_at = Span::millis(1500);     // nodes are up by then
constexpr Span group_every = Span::millis(2400);  // groups follow each other, and their ends overlap
constexpr Span last_before_end = Span::millis(3000);
constexpr std::size_t group_least = 2, group_most = 4;

// Whom a trouble concerns: all others concern a node.
bool concerns_engine(Trouble trouble) {
  switch (trouble) {
    case Trouble::EngineDrain:
    case Trouble::EngineGone:
    case Trouble::EngineHang:
    case Trouble::EngineStop:
    case Trouble::RoleStop:
    case Trouble::EngineBusy:
    case Trouble::EngineTakesNothing:
    case Trouble::EngineRestart:
    case Trouble::AnswerCut:
    case Trouble::AnswerDoubled: return true;
    default: return false;
  }
}

bool stops_processes(Trouble trouble) {
  return trouble == Trouble::EngineStop || trouble == Trouble::RoleStop;
}

std::string rule_text(const char* name, double chance, Span from, Span length) {
  char text[96];
  std::snprintf(text, sizeof text, " %s=%g@%lld+%lld", name, chance,
                static_cast<long long>(std::max(0.0, from.as_millis())),
                static_cast<long long>(length.as_millis()));
  return text;
}

}  // namespace

const char* name_of(Trouble trouble) {
  switch (trouble) {
    case Trouble::Sigterm: return "sigterm";
    case Trouble::Sighup: return "sighup";
    case Trouble::Sigkill: return "sigkill";
    case Trouble::EngineDrain: return "engine_drain";
    case Trouble::EngineGone: return "engine_gone";
    case Trouble::DiscoveryDown: return "discovery_down";
    case Trouble::DiscoveryCrowded: return "discovery_crowded";
    case Trouble::WatchSilent: return "watch_silent";
    case Trouble::WatchReset: return "watch_reset";
    case Trouble::LinkSilent: return "link_silent";
    case Trouble::LateHandshake: return "late_handshake";
    case Trouble::EngineHang: return "engine_hang";
    case Trouble::EngineStop: return "engine_stop";
    case Trouble::RoleStop: return "role_stop";
    case Trouble::EngineBusy: return "engine_busy";
    case Trouble::EngineRestart: return "engine_restart";
    case Trouble::AnswerCut: return "answer_cut";
    case Trouble::AnswerDoubled: return "answer_doubled";
    case Trouble::ClientLeaves: return "client_leaves";
    case Trouble::ClientStops: return "client_stops";
    case Trouble::HalfRequests: return "half_requests";
    case Trouble::NodeStop: return "node_stop";
    case Trouble::RetryStorm: return "retry_storm";
    case Trouble::DescriptorsUsedUp: return "descriptors_used_up";
    case Trouble::WallClockStep: return "wall_clock_step";
    case Trouble::SystemCalls: return "system_calls";
    case Trouble::LinkBroken: return "link_broken";
    case Trouble::HoldUp: return "hold_up";
    case Trouble::LinkFaults: return "link_faults";
    case Trouble::DiskError: return "disk_error";
    case Trouble::EngineTakesNothing: return "engine_takes_nothing";
    case Trouble::Count: break;
  }
  return "?";
}

bool Schedule::holds(Trouble trouble, std::size_t who, Span at) const {
  return std::any_of(windows.begin(), windows.end(), [&](const Window& w) {
    const std::size_t concerned = concerns_engine(trouble) ? w.engine : w.node;
    return w.trouble == trouble && concerned == who && at >= w.from && at < w.until();
  });
}

std::string Schedule::faults_of(std::size_t node, Span started) const {
  std::string out = "seed=" + std::to_string(seed * 1000 + node);
  for (const Window& w : windows) {
    if (w.node != node || w.until() <= started) continue;
    const Span from = w.from - started;
    const Span left = from < Span{} ? w.length + from : w.length;
    const auto rule = [&](const char* name, double chance) { out += rule_text(name, chance, from, left); };
    switch (w.trouble) {
      case Trouble::LateHandshake: rule("late_connect", 0.3); break;
      case Trouble::SystemCalls:
        rule("eintr", 0.03), rule("short", 0.1), rule("accept", 0.05), rule("socket", 0.02);
        rule("connect", 0.02), rule("memory", 0.01);
        break;
      case Trouble::LinkSilent: rule("silent", 0.05); break;
      case Trouble::LinkBroken: rule("broken", 0.01); break;
      case Trouble::HoldUp: rule("hold_up", 0.05); break;
      case Trouble::DiskError: rule("disk", 0.5); break;
      case Trouble::WallClockStep: {
        char text[64];
        std::snprintf(text, sizeof text, " wall_ms=%d@%lld", (seed + node) % 2 == 0 ? 3600000 : -3600000,
                      static_cast<long long>(std::max(0.0, from.as_millis())));
        out += text;
        break;
      }
      default: break;
    }
  }
  return out;
}

std::optional<Trouble> trouble_named(const std::string& name) {
  for (std::size_t k = 0; k < trouble_count; ++k)
    if (name == name_of(static_cast<Trouble>(k))) return static_cast<Trouble>(k);
  return std::nullopt;
}

Schedule make_schedule(std::uint64_t seed, std::size_t nodes, std::size_t engines, Span length,
                       const std::vector<Trouble>& only) {
  Schedule s{seed, nodes, engines, length, {}};
  std::mt19937_64 random(seed);
  const auto below = [&](std::size_t most) { return static_cast<std::size_t>(random() % most); };
  const auto millis_between = [&](int least, int most) {
    return Span::millis(least + static_cast<int>(below(static_cast<std::size_t>(most - least))));
  };
  for (Span at = first_at; at + last_before_end < length; at = at + group_every) {
    std::vector<Trouble> all;
    for (std::size_t k = 0; k < trouble_count; ++k)
      if (only.empty() || std::count(only.begin(), only.end(), static_cast<Trouble>(k)) > 0)
        all.push_back(static_cast<Trouble>(k));
    std::shuffle(all.begin(), all.end(), random);
    const std::size_t size = std::min(all.size(), group_least + below(group_most - group_least + 1));
    // Half of the groups strike one node; the others, several.
    const bool together = below(2) == 0;
    const std::size_t node = below(nodes);
    for (std::size_t k = 0; k < size; ++k) {
      Window w{all[k], at + millis_between(0, 500), millis_between(1200, 2600), node, below(engines)};
      if (stops_processes(w.trouble)) w.length = millis_between(300, 4000);
      if (!together) w.node = below(nodes);
      s.windows.push_back(w);
    }
  }
  std::stable_sort(s.windows.begin(), s.windows.end(),
                   [](const Window& a, const Window& b) { return a.from < b.from; });
  return s;
}

std::string text_of(const Schedule& schedule) {
  std::string out;
  for (const Window& w : schedule.windows) {
    char line[128];
    std::snprintf(line, sizeof line, "  %6.0f ms +%5.0f ms  %-20s %s %zu\n", w.from.as_millis(),
                  w.length.as_millis(), name_of(w.trouble), concerns_engine(w.trouble) ? "engine" : "node",
                  concerns_engine(w.trouble) ? w.engine : w.node);
    out += line;
  }
  return out;
}

void count_pairs(const Schedule& schedule, PairCounts& counts) {
  for (std::size_t a = 0; a < schedule.windows.size(); ++a)
    for (std::size_t b = a + 1; b < schedule.windows.size(); ++b) {
      const Window &x = schedule.windows[a], &y = schedule.windows[b];
      if (x.trouble == y.trouble || x.until() <= y.from || y.until() <= x.from) continue;
      ++counts[std::minmax(x.trouble, y.trouble)];
    }
}

std::string table_of(const PairCounts& counts) {
  std::string out =
      "| trouble | overlaps with the others, least | mean | most |\n| --- | --- | --- | --- |\n";
  for (std::size_t k = 0; k < trouble_count; ++k) {
    const auto own = static_cast<Trouble>(k);
    int least = -1, most = 0, sum = 0;
    for (std::size_t n = 0; n < trouble_count; ++n) {
      if (n == k) continue;
      const auto it = counts.find(std::minmax(own, static_cast<Trouble>(n)));
      const int seen = it == counts.end() ? 0 : it->second;
      least = least < 0 ? seen : std::min(least, seen), most = std::max(most, seen), sum += seen;
    }
    char line[128];
    std::snprintf(line, sizeof line, "| %s | %d | %.1f | %d |\n", name_of(own), least,
                  static_cast<double>(sum) / static_cast<double>(trouble_count - 1), most);
    out += line;
  }
  return out;
}

}  // namespace calicograde::soak
