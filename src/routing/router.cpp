// The decisions of one front. Router::handle (src/routing/router.hpp, types in src/core/types.hpp) takes one
// thing that happened and returns what is to be done; between calls nothing runs.
//
// The ordinary path is the design of docs/design.md: reader and writer scored together at arrival, a ledger per
// role, an ageing table of kept texts per reader, commit or undo of the pair, a queue per role before the read.
// Beside it stand these mechanisms, and no others:
//   1. doubt      an engine unusually silent, or failing, gets only single trials until it answers again
//   2. rescue     what a doubted engine has not begun is sent to another one, within the rules of its model route
//   3. slowness   an engine's cost grows by its pace against its peers; so does that of a slow rack link
//   4. cold       a fresh engine counts dearer and its sends are spaced out, by what its peers are sent
//   5. places     a place is held ahead at the booked writer; the answer tells if it is full or silent
//   6. order      queues are served by worth per work; what would be late makes way while others wait
#include "routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <limits>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <utility>

namespace calicograde {
namespace {

constexpr Span tick = Span::millis(20);
constexpr Span answer_margin = Span::millis(30);   // the final answer comes this long before the client leaves
constexpr Span sample_life = Span::millis(12000);  // older samples no longer speak for an engine
constexpr Span full_memory = Span::millis(250);    // how long a full answer counts as recent
constexpr Span trial_every = Span::millis(1000);
constexpr Span report_life = Span::millis(3000);
constexpr std::size_t samples_kept = 16;
constexpr double read_weight = 1.0;        // of prompt tokens still to read, against tokens booked
constexpr double writer_memory_bound = 0.9;  // where a report tells of it
constexpr double unseen_memory_bound = 1.4;  // own load times fronts: fronts are unevenly busy, full answers tell
constexpr double reader_wait_bound = 0.5;  // of the smallest first-token target
constexpr double writer_seconds = 1.0;     // what a writer's full memory costs, against seconds of reading
constexpr double far_seconds = 5.0;        // what the price of a move to another rack costs, likewise
constexpr double cold_share = 0.7;         // of the cold budget that is used
constexpr double silence_factor = 6.0;
constexpr double read_overhead = 500;      // a read's fixed part, in tokens
constexpr double answer_work = 8;          // work of an answered token, in tokens read
constexpr double no_rate = 10000.0;        // tokens a second, until a read has been seen

struct Sample {
  Instant at;
  double value;
};

// The last few samples themselves; figures are worked out when asked for.
class LastFew {
 public:
  void add(Instant at, double value) {
    samples_.push_back({at, value});
    if (samples_.size() > samples_kept) samples_.pop_front();
  }
  void clear() { samples_.clear(); }
  std::size_t size() const { return samples_.size(); }
  void pour(Instant since, std::vector<double>& out) const {
    for (const auto& s : samples_)
      if (s.at >= since) out.push_back(s.value);
  }

 private:
  std::deque<Sample> samples_;
};

double quantile(std::vector<double> v, double part, double absent) {
  if (v.empty()) return absent;
  const auto at = v.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(v.size()) * part);
  std::nth_element(v.begin(), at, v.end());
  return *at;
}
double median(std::vector<double> v, double absent) { return quantile(std::move(v), 0.5, absent); }

struct Kept {
  double tokens;
  Instant touched;
};

struct Engine {
  EngineEntry entry;
  Lifecycle lifecycle = Lifecycle::Ready;
  std::map<InfId, double> reading, writing;  // the two ledgers: tokens booked by inference
  std::map<TextKey, Kept> kept;              // prefix table
  Instant kept_since;                        // texts last touched before this are taken to be gone
  LastFew gaps, pace, first_token;
  LastFew failures;  // 1 failed, 0 not
  std::deque<Instant> sends;
  std::map<std::pair<InfId, std::size_t>, Instant> awaited;  // sends not begun, by when they were sent
  Instant quiet_since;
  Instant full_until;
  bool doubted = false;
  bool trial_out = false;
  Instant next_trial;
  Instant cold_since;  // start, or return after its process was lost
  bool cold = false;
  std::optional<LoadReport> report;
  Instant report_at;
  double booked_at_report = 0;

  static double sum(const std::map<InfId, double>& ledger) {
    double t = 0;
    for (const auto& [inf, tokens] : ledger) t += tokens;
    return t;
  }
};

struct Send {
  EngineId engine;
  Instant at;
  bool to_reader = false;
  bool out = true;
  bool started = false;
  bool cancelled = false;
  bool ran = true;     // may have run; false once proven otherwise
  double work = 0;     // tokens that must be read before it can end, those booked ahead of it included
  bool far = false;
};

enum class Phase { Waiting, Reading, Handing, Answering, Streaming, Over };

struct Inference {
  Arrived what;
  Instant arrived, target, ends;
  double answer_tokens = 0;
  Phase phase = Phase::Waiting;
  Stage waits_for = Stage::Both;
  std::optional<EngineId> reader, writer, state_at, place_at;
  bool place_known = false;  // the place asked for was answered
  bool place_held = false;
  Instant held_since;
  std::vector<Send> sends;
  std::set<EngineId> failed_at;
  bool any_out() const {
    return std::any_of(sends.begin(), sends.end(), [](const Send& s) { return s.out; });
  }
};

struct Pair {
  EngineId reader, writer;
  double cost = 0;
};

}  // namespace

class Router::Desk {
 public:
  Desk(std::uint64_t seed, const Settings& settings) : s_(settings), random_(static_cast<std::uint32_t>(seed)) {
    smallest_target_ = Span::millis(1000);
    for (const auto& r : s_.routes) smallest_target_ = std::min(smallest_target_, r.first_token_target);
    served_.resize(s_.routes.size());
  }

  std::vector<Action> handle(Instant now, const Event& event) {
    now_ = now;
    if (!begun_) {
      begun_ = true;
      begun_at_ = now;
      if (s_.list_must_be_asked) ask_for_list();
    }
    std::visit([this](const auto& e) { on(e); }, event);
    // While some wait, an arrival joins them; only what may have freed a place serves the queues again.
    if (!holding_ || !std::holds_alternative<Arrived>(event)) admit();
    if (!timer_set_ && !infs_.empty()) {
      timer_set_ = true;
      out_.push_back(SetTimer{tick, 0});
    }
    for (InfId id : std::exchange(ended_, {}))
      if (const auto it = infs_.find(id); it != infs_.end() && !it->second.any_out()) infs_.erase(it);
    return std::exchange(out_, {});
  }

 private:
  // --- what happened ---

  void on(const Arrived& a) {
    if (infs_.contains(a.inf) || s_.routes.empty()) return;
    Inference f;
    f.what = a;
    const ModelRoute& r = route(a);
    f.arrived = now_;
    f.target = now_ + r.first_token_target + r.target_per_1000_tokens * (a.prompt_tokens / 1000.0);
    f.ends = now_ + a.budget;
    f.answer_tokens = a.max_answer_tokens / 2;
    if (a.answer_hint && r.token_pace > Span{})
      f.answer_tokens = std::clamp(*a.answer_hint / r.token_pace, 1.0, std::max(1.0, a.max_answer_tokens));
    Inference& kept = infs_.emplace(a.inf, std::move(f)).first->second;
    if (a.budget <= answer_margin + tick) finish(kept, Span{});
  }

  void on(const StreamStarted& e) {
    auto [f, s] = find(e.inf, e.send);
    if (!s || !s->out) return;
    sign_of_life(s->engine);
    no_longer_awaited(e.inf, e.send, *s);
    s->started = true;
    note_first_token(*f, *s, e.elapsed);
    if (f->state_at) after_read_.add(now_, e.elapsed.seconds());
    if (f->phase == Phase::Over) return;
    count_served(*f, now_ <= f->target ? 1.0 : 0.0);
    f->phase = Phase::Streaming;
    f->state_at.reset();
    f->place_at.reset();
    for (auto& other : f->sends)
      if (&other != s) cancel(*f, other);
    for (auto& [id, eng] : engines_) {
      eng.reading.erase(e.inf);
      if (id != s->engine) eng.writing.erase(e.inf);
    }
  }

  void on(const PlaceAnswered& e) {
    const auto it = infs_.find(e.inf);
    if (it == infs_.end()) return;
    Inference& f = it->second;
    if (!f.place_at || f.place_known) return;  // the answer rides on the read; it names the reader, not the place
    f.place_known = true;
    f.place_held = e.held;
    sign_of_life(*f.place_at);
    if (Engine* eng = engine(*f.place_at); eng && !e.held) eng->full_until = now_ + full_memory;
  }

  void on(const SendEnded& e) {
    auto [f, s] = find(e.inf, e.send);
    if (Engine* eng = engine(e.engine); eng && e.report) take_report(*eng, *e.report);
    if (!s || !s->out) return;
    s->out = false;
    if (proves_unrun(e.as)) s->ran = false;
    if (s->to_reader) s->ran = false;
    judge(*s, e);
    no_longer_awaited(e.inf, e.send, *s);
    if (Engine* eng = engine(s->engine)) {
      if (s->to_reader) eng->reading.erase(e.inf);
      else if (f->writer == s->engine || !f->writer) eng->writing.erase(e.inf), eng->reading.erase(e.inf);
    }
    if (e.inference_over && f->phase != Phase::Over) {
      if (f->phase != Phase::Streaming) count_served(*f, 0);
      over(*f);
    }
    if (f->phase == Phase::Over) {
      // Rule 5: what a send still waited for is not let go with its inference, only after the send. Covers reads
      // that outlive their inference, cancels that cross an outcome, and writers that fail before the fetch.
      out_.push_back(LetGo{e.inf});
      tidy(e.inf);
      return;
    }
    if (f->phase == Phase::Streaming) return;
    f->held_since = now_;
    if (e.as == EndedAs::ReadDone) read_done(*f, *s, e);
    else if (e.as == EndedAs::Moot) finish(*f, Span{});
    else if (s->to_reader) read_failed(*f, *s);
    else write_failed(*f, *s, e);
  }

  void on(const ClientLeft& e) {
    const auto it = infs_.find(e.inf);
    if (it == infs_.end() || it->second.phase == Phase::Over) return;
    count_served(it->second, 0);
    over(it->second);
    tidy(e.inf);
  }

  void on(const FleetListed& e) {
    if (e.scope == ListScope::Failed) {
      asked_ = false;
      return;
    }
    asked_at_ = now_;
    std::set<EngineId> named;
    for (const auto& entry : e.entries) {
      named.insert(entry.engine);
      Engine& eng = engines_[entry.engine];
      if (eng.entry.started != entry.started || eng.lifecycle == Lifecycle::Gone) {
        // A restart under the same id: nothing learnt before holds any more.
        eng = Engine{};
        eng.cold_since = entry.started.value_or(Instant{});
        eng.cold = entry.started.has_value();
        eng.quiet_since = now_;
      }
      eng.entry = entry;
      eng.lifecycle = entry.lifecycle;
    }
    if (e.scope != ListScope::Delta)
      for (auto& [id, eng] : engines_)
        if (!named.contains(id)) eng.lifecycle = Lifecycle::Gone;
  }

  void on(const TimerFired&) {
    timer_set_ = false;
    if (s_.list_must_be_asked && (!asked_ || now_ - asked_at_ > s_.ask_within * 0.5)) ask_for_list();
    for (auto& [id, eng] : engines_) watch(id, eng);
    for (auto& [id, f] : infs_) look_after(f);
  }

  void on(const ProbeEnded& e) {
    Engine* eng = engine(e.engine);
    if (!eng) return;
    if (e.report) take_report(*eng, *e.report);
    if (e.as == EndedAs::Completed) eng->next_trial = now_;  // its process runs: real work may try it
  }

  void on(const PeerSpoke&) {}

  // --- the ordinary path ---

  // Serves the queues: those for which a pair is free are booked, the rest wait before the read.
  void admit() {
    std::vector<std::pair<double, InfId>> line;
    for (auto& [id, f] : infs_)
      if (f.phase == Phase::Waiting) line.emplace_back(-urgency(f), id);
    std::sort(line.begin(), line.end());
    int blocked = 0;
    for (const auto& [rank, id] : line) {
      Inference& f = infs_.at(id);
      if (!may_send(f)) {
        if (!f.any_out()) finish(f, Span{});
        continue;
      }
      if (f.ends - now_ <= needed(f) + answer_margin) {
        finish(f, advice());
        continue;
      }
      if (blocked >= 3) continue;  // a few smaller ones may pass a large one; no more
      const auto pair = choose(f);
      if (!pair || !commit(f, *pair)) ++blocked;
    }
    if (blocked > 0) shed_the_late();
    mode(holding_, blocked > 0, "holding before the read");
  }

  // Joint scoring, in seconds: weight x tokens still to read + tokens booked at the reader, by its pace; the
  // writer's booked share of memory; and the way between them.
  std::optional<Pair> choose(Inference& f) {
    std::optional<Pair> best;
    std::vector<std::pair<EngineId, double>> readers, writers;
    const double tokens = f.what.prompt_tokens;
    for (const bool any : {false, true}) {
      // Only when a role has nobody else are the doubted ones and those that failed this inference taken.
      const bool no_readers = readers.empty(), no_writers = writers.empty();
      for (auto& [id, eng] : engines_) {
        if (!usable(f, id, eng, any)) continue;
        if (no_readers && may_read(eng) && !reader_full(eng, tokens)) readers.emplace_back(id, reader_cost(f, eng));
        if (no_writers && may_write(eng) && !writer_full(eng, tokens + f.answer_tokens))
          writers.emplace_back(id, writer_cost(eng));
      }
      if (!readers.empty() && !writers.empty()) break;
      if (!any && role_alive(f, readers.empty())) break;
    }
    f.waits_for = readers.empty() ? Stage::Read : Stage::Write;
    for (const auto& [r, rc] : readers)
      for (const auto& [w, wc] : writers) {
        const Engine &re = engines_[r], &we = engines_[w];
        if (reads_itself(re) && r != w) continue;
        double cost = rc + wc + (r == w ? 0.0 : way_cost(f, re, we));
        if (!best || cost < best->cost) best = Pair{r, w, cost};
      }
    return best;
  }

  bool commit(Inference& f, const Pair& p) {
    Engine &r = engines_[p.reader], &w = engines_[p.writer];
    const InfId id = f.what.inf;
    r.reading[id] = std::max(1.0, to_read(f, r));
    w.writing[id] = f.what.prompt_tokens + f.answer_tokens;
    const bool own = p.reader == p.writer;
    if (!may_push(r) || (!own && !may_push(w))) {
      r.reading.erase(id);
      w.writing.erase(id);
      return false;
    }
    f.reader = p.reader;
    f.writer = p.writer;
    f.state_at.reset();
    f.place_at.reset();
    f.phase = own ? Phase::Answering : Phase::Reading;
    send(f, p.reader, !own);
    if (!own && s_.may_hold_places) hold_place(f, p.writer);
    return true;
  }

  void read_done(Inference& f, const Send& s, const SendEnded& e) {
    if (Engine* eng = engine(s.engine)) {
      const double believed = f.what.prompt_tokens - to_read(f, *eng);
      learn(f, *eng, believed, static_cast<double>(e.kept_tokens));
    }
    if (f.phase == Phase::Answering) return;  // a second read, after the first one's state went on
    f.state_at = s.engine;
    f.phase = Phase::Handing;
    hand_over(f);
  }

  // The state goes to the booked writer; one that said full, left or fell silent gives way to the next-lowest.
  void hand_over(Inference& f) {
    if (!may_send(f)) {
      if (!f.any_out()) finish(f, Span{});
      return;
    }
    std::optional<EngineId> best;
    double best_cost = std::numeric_limits<double>::infinity();
    const double need = f.what.prompt_tokens + f.answer_tokens;
    const Engine* from = f.state_at ? engine(*f.state_at) : nullptr;
    for (const bool any : {false, true}) {
      for (auto& [id, eng] : engines_) {
        if (!may_write(eng) || !usable(f, id, eng, any)) continue;
        const bool booked = f.writer == id;
        const bool refused = f.place_at == id && f.place_known && !f.place_held;
        if (!any && booked && !refused && !eng.doubted) {
          best = id;
          best_cost = -1;
          continue;
        }
        if (!any && (refused || writer_full(eng, need) || !may_push(eng))) continue;
        const double cost = writer_cost(eng) + (from ? way_cost(f, *from, eng) : 0.0);
        if (cost < best_cost) best = id, best_cost = cost;
      }
      if (best || !pin_is_near(f)) break;
    }
    if (!best) return;  // tried again on every event until the pin limit is near
    if (f.writer != best) {
      if (f.writer)
        if (Engine* old = engine(*f.writer)) old->writing.erase(f.what.inf);
      f.writer = best;
      engines_[*best].writing[f.what.inf] = need;
    }
    f.phase = Phase::Answering;
    send(f, *best, false);
  }

  void read_failed(Inference& f, const Send& s) {
    f.failed_at.insert(s.engine);
    if (f.phase != Phase::Reading || reads_out(f) > 0) return;
    back_to_queue(f);
  }

  void write_failed(Inference& f, const Send& s, const SendEnded& e) {
    f.failed_at.insert(s.engine);
    if (f.place_at == s.engine) f.place_at.reset();
    if (f.phase != Phase::Answering || writes_out(f) > 0) return;
    if (f.writer == s.engine) f.writer.reset();
    if (e.no_state) f.state_at.reset();
    if (f.state_at) {
      f.phase = Phase::Handing;
      hand_over(f);
    } else if (reads_out(f) > 0) {
      f.phase = Phase::Reading;
    } else {
      back_to_queue(f);
    }
  }

  void back_to_queue(Inference& f) {
    unbook(f);
    out_.push_back(LetGo{f.what.inf});  // a failed writer may still hold a place that nothing here remembers
    f.state_at.reset();
    f.place_at.reset();
    f.phase = Phase::Waiting;
    if (!may_send(f) && !f.any_out()) finish(f, Span{});
  }

  // --- scores, ledgers, fullness ---

  double reader_cost(const Inference& f, const Engine& e) {
    double waiting = Engine::sum(e.reading);
    if (fresh(e) && e.report->tokens_waiting) waiting = std::max(waiting, *e.report->tokens_waiting);
    return (read_weight * to_read(f, e) + waiting) / rate(e.entry.kind) * slowness(e) * coldness(e);
  }

  double writer_cost(const Engine& e) {
    const double size = s_.sizes_told ? std::max(0.1, e.entry.size) : 1.0;
    return writer_seconds * writer_load(e) / memory(e) / size * slowness(e) * coldness(e);
  }

  double writer_load(const Engine& e) {
    const double own = Engine::sum(e.writing);
    if (fresh(e) && e.report->memory_share)
      return std::max(own, *e.report->memory_share * memory(e) + (own - e.booked_at_report));
    return own * s_.fronts;
  }

  bool writer_full(const Engine& e, double need) {
    if (e.full_until > now_) return true;
    if (fresh(e) && e.report->waiting && *e.report->waiting >= 1) return true;
    if (e.writing.empty() && !(fresh(e) && e.report->memory_share)) return false;
    const bool told = fresh(e) && e.report->memory_share;
    return writer_load(e) + need > (told ? writer_memory_bound : unseen_memory_bound) * memory(e);
  }

  bool reader_full(const Engine& e, double need) {
    if (e.full_until > now_) return true;
    if (e.reading.empty()) return false;
    // Other fronts' reads are unseen: each is taken to have the mean of what this front has at such engines.
    double mean = 0, peers = 0;
    for (auto& [id, other] : engines_)
      if (other.entry.kind == e.entry.kind && other.lifecycle == Lifecycle::Ready)
        mean += Engine::sum(other.reading), peers += 1;
    const double tokens = Engine::sum(e.reading) + (s_.fronts - 1) * mean / std::max(1.0, peers);
    if (tokens + need > memory(e)) return true;
    return tokens / rate(e.entry.kind) * slowness(e) > smallest_target_.seconds() * reader_wait_bound;
  }

  double memory(const Engine& e) const {
    const double told = e.entry.kind < s_.kinds.size() ? s_.kinds[e.entry.kind].memory_tokens : 0;
    return told > 0 ? told : 200000.0;
  }

  // Moving between racks costs its price, and what such moves were lately seen to take beyond near ones.
  double way_cost(const Inference& f, const Engine& from, const Engine& to) {
    if (from.entry.rack == to.entry.rack) return 0;
    double cost = far_seconds * s_.far_price;
    if (from.entry.zone != to.entry.zone) cost += far_seconds * s_.zone_price;
    std::vector<double> far, near;
    if (const auto it = far_moves_.find(from.entry.rack); it != far_moves_.end())
      it->second.pour(now_ - sample_life, far);
    near_moves_.pour(now_ - sample_life, near);
    if (far.size() >= 2 && near.size() >= 2)
      cost += std::max(0.0, median(far, 0) - median(near, 0)) * (f.what.prompt_tokens / 1000.0);
    return cost;
  }

  // Prefix table: what this reader should still have of the prompt.
  double to_read(const Inference& f, const Engine& e) const {
    double found = 0;
    const auto look = [&](TextKey key, double most) {
      const auto it = key == 0 ? e.kept.end() : e.kept.find(key);
      if (it != e.kept.end() && it->second.touched >= e.kept_since)
        found = std::max(found, std::min(it->second.tokens, most));
    };
    look(f.what.session, f.what.prompt_tokens);
    look(f.what.shared_text, f.what.shared_tokens);
    return std::max(0.0, f.what.prompt_tokens - found);
  }

  // A reader keeps what was touched last: once a text proves gone, all that were touched before it are taken to
  // be gone too. Covers eviction, forgotten texts and restarts that nobody told of.
  void learn(const Inference& f, Engine& e, double believed, double found) {
    if (believed > 0 && found < believed / 2) {
      Instant oldest = now_;
      for (TextKey key : {f.what.session, f.what.shared_text})
        if (const auto it = e.kept.find(key); it != e.kept.end()) oldest = std::min(oldest, it->second.touched);
      e.kept_since = std::max(e.kept_since, oldest + Span::micros(1));
    }
    if (f.what.session) e.kept[f.what.session] = {f.what.prompt_tokens, now_};
    if (f.what.shared_text) e.kept[f.what.shared_text] = {f.what.shared_tokens, now_};
    if (e.kept.size() > 4096) std::erase_if(e.kept, [&](const auto& k) { return k.second.touched < e.kept_since; });
  }

  // Tokens a second that readers of a kind were lately seen to reach where little stood in the way: the median
  // would count the queues of other fronts as slow reading, and hold ever more the longer they get.
  double rate(std::uint8_t kind) {
    if (rates_at_ != now_) rates_.clear(), rates_at_ = now_;
    if (const auto it = rates_.find(kind); it != rates_.end()) return it->second;
    std::vector<double> all;
    for (auto& [id, e] : engines_)
      if (e.entry.kind == kind) e.pace.pour(now_ - sample_life, all);
    return rates_[kind] = 1.0 / quantile(std::move(all), 0.25, 1.0 / no_rate);
  }

  double slowness(const Engine& e) {
    const bool reads = stage(e) == Stage::Read;
    std::vector<double> own, peers;
    for (auto& [id, other] : engines_)
      if (other.entry.kind == e.entry.kind) (reads ? other.pace : other.first_token).pour(now_ - sample_life, peers);
    (reads ? e.pace : e.first_token).pour(now_ - sample_life, own);
    if (own.size() < 3 || peers.size() < 2 * own.size()) return 1;
    return std::max(1.0, median(own, 1) / median(peers, 1));
  }

  double coldness(const Engine& e) const {
    if (!e.cold || s_.cold <= Span{}) return 1;
    const double age = std::min(1.0, (now_ - e.cold_since) / s_.cold);
    return 1.0 / std::max(0.05, s_.cold_from + (1 - s_.cold_from) * age);
  }

  // Rule 4. A fresh engine gets sends spaced by what its warm peers get from this front, times the part of its
  // capacity that is sure, times the multiple. Other fronts do the same, so all together stay below it.
  bool may_push(const Engine& e) {
    if (!e.cold || now_ - e.cold_since > s_.cold) return true;
    const Span over = std::min(Span::millis(8000), std::max(Span::millis(1000), now_ - begun_at_));
    double sends = 0, peers = 0;
    for (auto& [id, other] : engines_) {
      if (other.entry.kind != e.entry.kind || other.cold || other.lifecycle != Lifecycle::Ready) continue;
      peers += 1;
      for (Instant at : other.sends) sends += at > now_ - over ? 1.0 : 0.0;
    }
    const double per_s = peers > 0 ? sends / peers / over.seconds() : 0.0;
    const double allowed = std::max(per_s * s_.cold_from * s_.fall_multiple * cold_share,
                                    0.3 / std::max(0.1, s_.fall.seconds()) / s_.fronts);
    return e.sends.empty() || (now_ - e.sends.back()).seconds() >= 1.0 / allowed;
  }

  // --- who may take what ---

  Stage stage(const Engine& e) const {
    return e.entry.kind < s_.kinds.size() ? s_.kinds[e.entry.kind].stage : Stage::Both;
  }
  bool reads_itself(const Engine& e) const {
    return stage(e) == Stage::Both || (stage(e) == Stage::Write && s_.writers_read);
  }
  bool may_read(const Engine& e) const { return stage(e) == Stage::Read || reads_itself(e); }
  bool may_write(const Engine& e) const { return stage(e) != Stage::Read; }

  bool usable(const Inference& f, const EngineId& id, const Engine& e, bool any) {
    if (e.lifecycle != Lifecycle::Ready || !effect_allows(f, e) || !may_push(e)) return false;
    if (any) return true;
    if (f.failed_at.contains(id)) return false;
    return !e.doubted || (now_ >= e.next_trial && !e.trial_out);
  }

  // Whether the role has engines that are merely full, so that waiting makes sense.
  bool role_alive(const Inference& f, bool read) {
    for (auto& [id, e] : engines_)
      if (e.lifecycle == Lifecycle::Ready && !e.doubted && !f.failed_at.contains(id) &&
          (read ? may_read(e) : may_write(e)))
        return true;
    return false;
  }

  // Rule 2. Sends that may have run bind the further ones.
  bool effect_allows(const Inference& f, const Engine& to) {
    const ModelRoute& r = route(f.what);
    if (r.effect != Effect::Deduped) return true;
    for (const auto& s : f.sends) {
      if (!s.ran) continue;
      const Engine* first = engine(s.engine);
      if (now_ - s.at >= r.dedupe_window - tick) return false;
      if (r.dedupe_group == DedupeGroup::All) continue;
      if (!first || first->entry.zone != to.entry.zone) return false;
      if (r.dedupe_group == DedupeGroup::Rack && first->entry.rack != to.entry.rack) return false;
    }
    return true;
  }

  bool may_send(const Inference& f) const {
    if (f.phase == Phase::Over || f.phase == Phase::Streaming) return false;
    if (static_cast<int>(f.sends.size()) >= s_.max_sends || f.ends - now_ <= answer_margin) return false;
    if (!s_.second_copies && f.any_out()) return false;
    if (route(f.what).effect != Effect::NonRetriable) return true;
    return std::none_of(f.sends.begin(), f.sends.end(), [](const Send& s) { return s.out || s.ran; });
  }

  bool may_shed(const Inference& f) const {
    const ModelRoute& r = route(f.what);
    if (r.effect == Effect::Retriable) return true;
    if (r.effect == Effect::Deduped && r.dedupe_group == DedupeGroup::All) return true;
    return std::none_of(f.sends.begin(), f.sends.end(), [](const Send& s) { return s.out || s.ran; });
  }

  // --- sends and their ends ---

  void send(Inference& f, const EngineId& to, bool to_reader) {
    Engine& e = engines_[to];
    Send s;
    s.engine = to;
    s.at = now_;
    s.to_reader = to_reader;
    if (to_reader) s.work = Engine::sum(e.reading);
    else if (!f.state_at && e.reading.contains(f.what.inf)) s.work = e.reading[f.what.inf];
    if (!to_reader && f.state_at)
      if (const Engine* from = engine(*f.state_at)) s.far = from->entry.rack != e.entry.rack;
    f.sends.push_back(s);
    e.awaited[{f.what.inf, f.sends.size() - 1}] = now_;
    e.sends.push_back(now_);
    if (e.sends.size() > 256) e.sends.pop_front();
    if (e.doubted) e.trial_out = true, e.next_trial = now_ + trial_every;
    Span limit;
    if (!s_.second_copies) limit = std::max(patience(e) * 3, (f.ends - now_) * 0.4);
    out_.push_back(SendTo{f.what.inf, to, limit});
  }

  void hold_place(Inference& f, const EngineId& at) {
    f.place_at = at;
    f.place_known = false;
    f.place_held = false;
    f.held_since = now_;
    out_.push_back(HoldPlace{f.what.inf, at});
  }

  void cancel(Inference& f, Send& s) {
    if (!s.out || s.cancelled || s.started || !s_.may_cancel) return;
    s.cancelled = true;
    out_.push_back(CancelSend{f.what.inf, static_cast<std::uint8_t>(&s - f.sends.data())});
  }

  void finish(Inference& f, Span retry_after) {
    const InfId id = f.what.inf;
    count_served(f, 0);
    if (may_shed(f)) out_.push_back(Shed{id, retry_after});
    else out_.push_back(Fail{id});
    over(f);
    tidy(id);
  }

  void over(Inference& f) {
    f.phase = Phase::Over;
    unbook(f);
    for (auto& s : f.sends) cancel(f, s);
    if (!f.sends.empty()) out_.push_back(LetGo{f.what.inf});
    f.state_at.reset();
    f.place_at.reset();
  }

  void tidy(InfId id) { ended_.push_back(id); }  // erased when the event has been dealt with

  void unbook(Inference& f) {
    for (auto& [id, e] : engines_) {
      e.reading.erase(f.what.inf);
      e.writing.erase(f.what.inf);
    }
    f.reader.reset();
    f.writer.reset();
  }

  // --- health ---

  void sign_of_life(const EngineId& id) {
    Engine* e = engine(id);
    if (!e) return;
    if (!e->awaited.empty()) e->gaps.add(now_, silence(*e).seconds());
    e->quiet_since = now_;
    if (e->doubted && e->failures.size() == 0) trust(id, *e);
  }

  void no_longer_awaited(InfId inf, std::size_t k, const Send& s) {
    if (Engine* e = engine(s.engine)) e->awaited.erase({inf, k});
  }

  // Since its last sign, or since the oldest thing still awaited was asked for: an idle engine is not silent.
  Span silence(const Engine& e) const {
    Instant oldest = now_;
    for (const auto& [key, at] : e.awaited) oldest = std::min(oldest, at);
    return now_ - std::max(oldest, e.quiet_since);
  }

  Span patience(const Engine& e) {
    std::vector<double> gaps;
    e.gaps.pour(Instant{}, gaps);
    if (gaps.size() < 4)
      for (auto& [id, other] : engines_)
        if (other.entry.kind == e.entry.kind) other.gaps.pour(Instant{}, gaps);
    if (gaps.size() < 4) return smallest_target_ * 0.5;
    double mean = 0, square = 0;
    for (double g : gaps) mean += g / static_cast<double>(gaps.size());
    for (double g : gaps) square += (g - mean) * (g - mean) / static_cast<double>(gaps.size());
    const double most = *std::max_element(gaps.begin(), gaps.end());
    return Span::from_seconds(std::max(most * 2, mean + silence_factor * std::sqrt(square)) + 0.2);
  }

  void watch(const EngineId& id, Engine& e) {
    if (e.lifecycle != Lifecycle::Ready) return;
    double work = 0;
    for (const auto& [key, at] : e.awaited) work = std::max(work, find(key.first, key.second).second->work);
    const Span usual = patience(e) + Span::from_seconds(work / rate(e.entry.kind));
    if (silence(e) > usual) {
      e.failures.clear();  // the next sign of life is enough
      doubt(id, e, "silent", silence(e).as_millis(), usual.as_millis());
    }
    if (e.doubted && s_.may_probe && now_ >= e.next_trial) {
      e.next_trial = now_ + trial_every;
      e.trial_out = false;
      out_.push_back(Probe{id});
    }
  }

  void doubt(const EngineId& id, Engine& e, const char* why, double seen, double usual) {
    if (e.doubted) return;
    e.doubted = true;
    e.trial_out = false;
    e.next_trial = now_ + trial_every;
    say("doubt", id, why, seen, usual);
  }

  void trust(const EngineId& id, Engine& e) {
    e.doubted = false;
    e.trial_out = false;
    e.failures.clear();
    say("trust", id, "answers again", 0, 0);
  }

  void judge(const Send& s, const SendEnded& e) {
    Engine* eng = engine(s.engine);
    if (!eng || e.as == EndedAs::TimedOut || e.as == EndedAs::Cancelled || e.as == EndedAs::Moot) return;
    const bool failed = e.as == EndedAs::Errored || e.as == EndedAs::Reset || e.as == EndedAs::ConnectFailed;
    if (e.as == EndedAs::Full && !e.no_state) eng->full_until = now_ + full_memory;
    eng->failures.add(now_, failed ? 1 : 0);
    std::vector<double> recent;
    eng->failures.pour(now_ - sample_life, recent);
    const double bad = std::accumulate(recent.begin(), recent.end(), 0.0);
    const auto all = static_cast<double>(recent.size());
    if (failed) {
      if (eng->doubted) eng->next_trial = now_ + trial_every, eng->trial_out = false;
      if (bad >= 0.25 * all && (bad >= 3 || e.as != EndedAs::Errored)) doubt(s.engine, *eng, "failing", bad, all);
      return;
    }
    sign_of_life(s.engine);
    if (eng->doubted) eng->trial_out = false, eng->next_trial = now_;
    if (eng->doubted && bad < 0.25 * all) trust(s.engine, *eng);
    if (e.as == EndedAs::ReadDone) eng->pace.add(now_, e.elapsed.seconds() / (s.work + read_overhead));
  }

  void note_first_token(const Inference& f, const Send& s, Span elapsed) {
    Engine* e = engine(s.engine);
    if (!e || !f.state_at) return;
    const double per_1000 = elapsed.seconds() / std::max(0.5, f.what.prompt_tokens / 1000.0);
    if (!s.far) e->first_token.add(now_, per_1000), near_moves_.add(now_, per_1000);
    else if (const Engine* from = engine(*f.state_at)) far_moves_[from->entry.rack].add(now_, per_1000);
  }

  void take_report(Engine& e, const LoadReport& r) {
    e.report = r;
    e.report_at = now_;
    e.booked_at_report = Engine::sum(e.writing);
  }
  bool fresh(const Engine& e) const { return e.report && now_ - e.report_at < report_life; }

  // --- by timer ---

  void look_after(Inference& f) {
    if (f.phase == Phase::Over || f.phase == Phase::Streaming) return;
    if (f.ends - now_ <= answer_margin) return finish(f, Span{});
    if (f.phase == Phase::Handing && !f.any_out()) {
      hand_over(f);
      if (f.phase == Phase::Handing && pin_is_near(f)) back_to_queue(f);
      return;
    }
    if (f.phase != Phase::Reading && f.phase != Phase::Answering) return;
    // Rescue: nothing of it has begun, and the engine it waits for is in doubt.
    for (std::size_t k = 0; k < f.sends.size(); ++k) {
      const Send s = f.sends[k];
      Engine* e = engine(s.engine);
      if (!s.out || s.cancelled || (e && (!e->doubted || now_ - s.at < patience(*e)))) continue;
      if (f.failed_at.contains(s.engine)) continue;
      f.failed_at.insert(s.engine);
      if (!s_.second_copies) {
        cancel(f, f.sends[k]);  // its outcome brings the next send
      } else if (may_send(f)) {
        if (s.to_reader) second_read(f);
        else if (f.state_at) cancel(f, f.sends[k]), f.phase = Phase::Handing, hand_over(f);
        else cancel(f, f.sends[k]);
      }
      return;
    }
  }

  void second_read(Inference& f) {
    std::optional<EngineId> best;
    double least = std::numeric_limits<double>::infinity();
    for (auto& [id, e] : engines_) {
      if (stage(e) != Stage::Read || !usable(f, id, e, false) || e.doubted) continue;
      const double cost = reader_cost(f, e);
      if (cost < least) best = id, least = cost;
    }
    if (!best) return;
    engines_[*best].reading[f.what.inf] = std::max(1.0, to_read(f, engines_[*best]));
    send(f, *best, true);
  }

  bool pin_is_near(const Inference& f) const {
    return now_ - f.held_since > s_.pin_limit - tick * 3;
  }

  // --- order and shedding ---

  // Until its first token, if it were booked now: the cheapest read, and what lately came after reads.
  Span needed(const Inference& f) {
    double least = std::numeric_limits<double>::infinity();
    for (auto& [id, e] : engines_)
      if (e.lifecycle == Lifecycle::Ready && !e.doubted && may_read(e)) least = std::min(least, reader_cost(f, e));
    std::vector<double> after;
    after_read_.pour(now_ - sample_life, after);
    return Span::from_seconds((std::isfinite(least) ? least : 0.0) + quantile(std::move(after), 0.75, 0.05));
  }

  // Worth per unit of the scarce role's work: what is mostly kept already costs a reader little. The worst-served
  // route counts as priced; what can no longer be in time counts for its late value.
  double urgency(const Inference& f) {
    double worth = s_.whole_weight * route(f.what).value;
    const std::size_t own = index(f.what);
    if (s_.routes.size() > 1 && s_.worst_route_weight > 0) {
      std::size_t worst = own;
      for (std::size_t k = 0; k < served_.size(); ++k)
        if (share_served(k) < share_served(worst) - 0.02) worst = k;
      if (worst == own) worth += s_.worst_route_weight * 2;
    }
    if (now_ + needed(f) > f.target) worth *= route(f.what).late_value;
    if (f.what.resumed) worth *= 2;
    double cost = f.what.prompt_tokens + f.answer_tokens;
    if (f.waits_for == Stage::Read) {
      cost = f.what.prompt_tokens;
      for (auto& [id, e] : engines_)
        if (e.lifecycle == Lifecycle::Ready && !e.doubted && may_read(e)) cost = std::min(cost, to_read(f, e));
      cost += read_overhead;
    }
    return worth * (f.what.prompt_tokens + answer_work * f.answer_tokens) / std::max(1.0, cost);
  }

  double share_served(std::size_t k) const {
    std::vector<double> all;
    served_[k].pour(now_ - sample_life, all);
    double sum = 0;
    for (double v : all) sum += v;
    return all.empty() ? 1.0 : sum / static_cast<double>(all.size());
  }

  void count_served(const Inference& f, double in_time) { served_[index(f.what)].add(now_, in_time); }

  void shed_the_late() {
    bool on_time = false;
    std::vector<InfId> late;
    for (auto& [id, f] : infs_) {
      if (f.phase != Phase::Waiting) continue;
      if (now_ + needed(f) > f.target) late.push_back(id);
      else on_time = true;
    }
    if (!on_time) return;
    for (InfId id : late)
      if (!infs_.at(id).any_out()) finish(infs_.at(id), advice());
  }

  // When to come back: spread over what clients heed, so that those turned away do not return together.
  Span advice() {
    if (!s_.retry_advice) return Span{};
    std::uniform_real_distribution<double> spread(0.25, 1.0);
    return s_.max_retry_after * spread(random_);
  }

  // --- small things ---

  void ask_for_list() {
    asked_ = true;
    asked_at_ = now_;
    out_.push_back(Subscribe{true});
  }

  const ModelRoute& route(const Arrived& a) const { return s_.routes[index(a)]; }
  std::size_t index(const Arrived& a) const { return std::min<std::size_t>(a.route, s_.routes.size() - 1); }
  std::size_t index(const Inference& f) const { return index(f.what); }

  Engine* engine(const EngineId& id) {
    const auto it = engines_.find(id);
    return it == engines_.end() ? nullptr : &it->second;
  }

  std::pair<Inference*, Send*> find(InfId inf, std::size_t k) {
    const auto it = infs_.find(inf);
    if (it == infs_.end() || k >= it->second.sends.size()) return {nullptr, nullptr};
    return {&it->second, &it->second.sends[k]};
  }

  static int out_of(const Inference& f, bool reader) {
    return static_cast<int>(std::count_if(f.sends.begin(), f.sends.end(), [&](const Send& s) {
      return s.out && s.to_reader == reader && !s.cancelled;
    }));
  }
  static int reads_out(const Inference& f) { return out_of(f, true); }
  static int writes_out(const Inference& f) { return out_of(f, false); }

  void mode(bool& state, bool now_on, const char* what) {
    if (state == now_on) return;
    state = now_on;
    if (now_ - mode_said_ < Span::millis(2000)) return;
    mode_said_ = now_;
    int waiting = 0, readers = 0;
    for (const auto& [id, f] : infs_)
      if (f.phase == Phase::Waiting) ++waiting, readers += f.waits_for == Stage::Read ? 1 : 0;
    double load = 0, backlog = 0;
    for (auto& [id, e] : engines_)
      if (may_write(e)) load = std::max(load, writer_load(e) / memory(e));
      else backlog = std::max(backlog, Engine::sum(e.reading) / rate(e.entry.kind));
    char text[160];
    std::snprintf(text, sizeof text, "%s %s: %d waiting (%d for a reader); fullest writer %.2f, longest read %.2f s",
                  what, now_on ? "on" : "off", waiting, readers, load, backlog);
    out_.push_back(Log{text});
  }

  void say(const char* what, const EngineId& id, const char* why, double seen, double usual) {
    char text[128];
    std::snprintf(text, sizeof text, "%s %d.%d.%d.%d:%d %s: %.0f against %.0f", what, id.address[0], id.address[1],
                  id.address[2], id.address[3], id.port, why, seen, usual);
    out_.push_back(Log{text});
  }

  const Settings s_;
  std::mt19937 random_;
  Span smallest_target_;
  Instant now_, begun_at_, asked_at_, mode_said_;
  bool begun_ = false, timer_set_ = false, asked_ = false, holding_ = false;
  std::map<EngineId, Engine> engines_;
  std::map<InfId, Inference> infs_;
  std::vector<LastFew> served_;
  std::map<std::uint16_t, LastFew> far_moves_;
  LastFew near_moves_, after_read_;
  std::map<std::uint8_t, double> rates_;
  Instant rates_at_;
  std::vector<InfId> ended_;
  std::vector<Action> out_;
};

Router::Router(std::uint64_t seed, const Settings& settings) : desk_(std::make_unique<Desk>(seed, settings)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::handle(Instant now, const Event& event) { return desk_->handle(now, event); }

}  // namespace calicograde
