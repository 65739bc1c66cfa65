// What the decisions of one front node cost as the fleet grows: 264 arrivals in 40 s, all engines answering,
// with some of the engines cold or none. bench/decisions.md has command and result. With --choices it prints
// the engines chosen instead, so that two programs can be compared.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <map>
#include <queue>
#include <random>

#include "routing/router.hpp"

using namespace calicograde;

namespace {

constexpr int arrivals = 264, day_millis = 40000;
constexpr int kinds = 2, racks_each = 16;

struct Fleet {
  int engines = 0, fronts = 0;
  double cold = 0;
};

Settings settings_of(const Fleet& fleet) {
  Settings s;
  s.routes.push_back({Span::millis(1500), Span::millis(60), Span::millis(70), Effect::Retriable,
                      DedupeGroup::All, Span::millis(5000), 1, 0.4});
  s.routes.push_back({Span::millis(2500), Span::millis(50), Span::millis(70), Effect::Deduped,
                      DedupeGroup::All, Span::millis(6000), 3, 0.1});
  s.kinds = {{Stage::Read, 250000}, {Stage::Write, 160000}};
  s.fronts = fleet.fronts, s.may_cancel = s.may_hold_places = s.second_copies = s.retry_advice = true;
  s.max_sends = 5, s.max_retry_after = Span::millis(1000), s.pin_limit = Span::millis(700);
  s.connect = Span::millis(400), s.cold = Span::millis(60000), s.cold_from = 0.25, s.fall_multiple = 3;
  s.fall = Span::millis(1200), s.link_idle = Span::millis(8000), s.far_price = 0.02, s.zone_price = 0.03;
  return s;
}

FleetListed list_of(const Fleet& fleet, std::mt19937& random) {
  FleetListed list;
  list.scope = ListScope::Full, list.version = 1;
  for (int k = 0; k < fleet.engines; ++k) {
    EngineEntry e;
    const auto n = static_cast<std::uint32_t>(random());
    e.engine = {{static_cast<std::uint8_t>(n >> 24), static_cast<std::uint8_t>(n >> 16),
                 static_cast<std::uint8_t>(n >> 8), static_cast<std::uint8_t>(n)},
                static_cast<std::uint16_t>(k)};
    e.kind = static_cast<std::uint8_t>(k % kinds), e.zone = static_cast<std::uint8_t>(k / kinds % 3);
    e.rack = static_cast<std::uint16_t>(k / racks_each);
    if (std::uniform_real_distribution<double>()(random) < fleet.cold)
      e.started = Instant::at(Span::millis(1000));
    list.entries.push_back(e);
  }
  return list;
}

struct Due {
  Instant at;
  std::uint64_t order = 0;
  Event event;
  bool operator>(const Due& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
};

struct Cost {
  double seconds = 0, slowest_ms = 0;
  long events = 0;
};

// Plays one day; each engine answers each send.
class Day {
 public:
  Day(const Fleet& fleet, std::uint64_t seed, bool print)
      : random_(static_cast<std::uint32_t>(seed)), router_(seed, settings_of(fleet)), print_(print) {
    const FleetListed list = list_of(fleet, random_);
    for (const auto& e : list.entries) prefill_[e.engine] = e.kind == 0;
    at(Instant::at(Span::millis(10)), list);
    for (int k = 0; k < arrivals; ++k)
      at(Instant::at(Span::millis(1000 + k * day_millis / arrivals)), arrival(k));
  }

  Cost play() {
    while (!due_.empty()) {
      const Due next = due_.top();
      due_.pop();
      const auto begun = std::chrono::steady_clock::now();
      const auto actions = router_.handle(next.at, next.event);
      const double ms =
          std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
      cost_.seconds += ms / 1000, ++cost_.events;
      if (!std::holds_alternative<FleetListed>(next.event)) cost_.slowest_ms = std::max(cost_.slowest_ms, ms);
      for (const Action& a : actions) std::visit([&](const auto& what) { act(next.at, what); }, a);
    }
    return cost_;
  }

 private:
  Arrived arrival(int k) {
    Arrived a;
    a.inf = static_cast<InfId>(k + 1), a.route = static_cast<std::uint16_t>(k % 2);
    a.session = random_() % 97 + 1, a.shared_text = random_() % 5 + 1;
    a.budget = Span::millis(6000), a.prompt_tokens = 500 + random_() % 5000;
    a.shared_tokens = 400, a.max_answer_tokens = 400;
    return a;
  }
  void at(Instant when, Event event) { due_.push({when, order_++, std::move(event)}); }
  void act(Instant now, const SendTo& a) {
    const auto send = sends_[a.inf]++;
    if (print_)
      std::printf("%u.%u %u\n", static_cast<unsigned>(a.inf), send, static_cast<unsigned>(a.engine.port));
    SendEnded end;
    end.inf = a.inf, end.send = send, end.engine = a.engine;
    if (prefill_.at(a.engine)) {
      const Span took = Span::millis(40 + static_cast<int>(random_() % 100));
      end.as = EndedAs::ReadDone, end.elapsed = took, end.kept_tokens = 200;
      return at(now + took, end);
    }
    const Span first = Span::millis(20 + static_cast<int>(random_() % 60)),
               whole = first + Span::millis(2000);
    at(now + first, StreamStarted{a.inf, send, a.engine, first});
    end.as = EndedAs::Completed, end.elapsed = whole, end.inference_over = true;
    at(now + whole, end);
  }
  void act(Instant now, const HoldPlace& a) {
    at(now + Span::millis(3),
       PlaceAnswered{a.inf, static_cast<std::uint8_t>(sends_[a.inf] - 1), a.engine, true});
  }
  void act(Instant now, const SetTimer& a) { at(now + a.in, TimerFired{a.token}); }
  void act(Instant, const auto&) {}

  std::mt19937 random_;
  Router router_;
  const bool print_;
  std::map<EngineId, bool> prefill_;
  std::map<InfId, std::uint8_t> sends_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0;
  Cost cost_;
};

double start_up_ms(const Fleet& fleet) {
  std::mt19937 random(1);
  const FleetListed list = list_of(fleet, random);
  Router router(1, settings_of(fleet));
  const auto begun = std::chrono::steady_clock::now();
  router.handle(Instant::at(Span::millis(10)), list);
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
}

}  // namespace

int main(int argc, char** argv) {
  const bool choices = argc > 1 && std::strcmp(argv[1], "--choices") == 0;
  constexpr std::pair<int, int> sizes[] = {{100, 300}, {200, 300}, {1600, 300}, {3200, 900}};
  if (!choices)
    std::printf(
        "| engines, front nodes, cold | decisions, CPU s | against 200 | slowest event, ms | first list, ms "
        "|\n| --- | --- | --- | --- | --- |\n");
  for (const double cold : {0.0, 0.6}) {
    double base = 0;
    for (const auto& [engines, fronts] : sizes) {
      const Fleet fleet{engines, fronts, cold};
      if (choices) {
        Day(fleet, 7, true).play();
        continue;
      }
      Cost best;
      for (int k = 0; k < 3; ++k) {
        const Cost cost = Day(fleet, 7, false).play();
        if (k == 0 || cost.seconds < best.seconds) best = cost;
      }
      if (engines == 200) base = best.seconds;
      std::printf("| %d, %d, %.0f%% | %.3f | %s%.1f | %.2f | %.1f |\n", engines, fronts, cold * 100,
                  best.seconds, base > 0 ? "" : "-", base > 0 ? best.seconds / base : 0.0, best.slowest_ms,
                  start_up_ms(fleet));
      std::fflush(stdout);
    }
  }
}
