// The decisions of one front. Router::handle (src/routing/router.hpp, types in src/core/types.hpp) takes one
// thing that happened and returns what is to be done; between calls nothing runs.
//
// The ordinary path is the design of docs/design.md: reader and writer scored together at arrival, a ledger
// per role, an ageing table of kept texts per reader, commit or undo of the pair, a queue per role before
// the read. Beside it stand these mechanisms, and no others:
//   1. siblings  the other fronts' bookings are played by the same scoring; texts have homes all agree on
//   2. waits     what reads and first tokens lately took, and places refused, make engines count as full
//   3. doubt     an engine unusually silent, or failing, is tried rarely; what it has not begun moves on
//   4. ways      slow engines, moves to other racks and new connections cost what they lately took longer
//   5. cold      a fresh engine counts dearer, and all fronts' sends to it are spaced below its budget
//   6. order     queues go by worth per work of the scarce role; the late are told at once
#include "routing/router.hpp"

#include <cmath>
#include <cstdio>
#include <limits>
#include <random>

#include "routing/cheapest_pair.hpp"
#include "routing/evidence.hpp"
#include "routing/reservations.hpp"
#include "routing/tables.hpp"

namespace calicograde {
namespace {

constexpr Span tick = Span::millis(20);
constexpr Span answer_margin = Span::millis(30);  // the final answer comes this long before the client leaves
constexpr Span worked_out_every = Span::millis(50);  // paces and rates
constexpr Span queue_sign = Span::millis(150);       // a fetch not begun for so long waits in a queue
constexpr Span full_memory = Span::millis(250);      // how long a full answer counts as recent, at least
constexpr Span trial_every = Span::millis(1000);     // of a doubted engine, by all fronts together
constexpr Span wait_life = Span::millis(3000), report_life = Span::millis(3000);
constexpr Span sample_life = Span::millis(12000);  // older samples no longer speak for an engine
constexpr Span flow_window = Span::millis(30000);
constexpr std::size_t samples_kept = 16, waits_kept = 5, bookings_kept = 24;
constexpr std::size_t texts_kept = 32768;                        // of all engines together: some 3 MB
constexpr std::size_t siblings_kept = 1024, siblings_each = 64;  // in all, and booked anew at each arrival
constexpr std::size_t texts_seen = 32;
constexpr int places_asked = 10;
// Of the time that a place may stand: the read is expected to end by then; the rest is for it to be late.
constexpr double place_before_read_ends = 0.5;
constexpr int local_doublings = 4;    // of the pause after a failure of this machine, from one tick
constexpr double homes_a_text = 1.5;  // times the readers that its share of the arrivals would fill
constexpr double close_for = 40;      // times what a full answer took: asking again costs as much again
constexpr double read_weight = 5, mixed_weight = 5;  // of tokens still to read; of reads beside answers
constexpr double writer_memory_bound = 0.9, unseen_memory_bound = 1.0;  // where a report tells of it; else
constexpr double reader_wait_bound = 0.5, mixed_wait_bound = 0.25, writer_wait_bound = 0.25;  // of a target
constexpr double writer_seconds = 1.0, far_seconds = 2.0;  // half a writer's memory, and prices, as reading
constexpr double cold_share = 0.7, cold_surely = 0.2, cold_least = 0.3;  // of the budget; sends a window
constexpr double unheard_seconds = 100;                                  // more than any cost in seconds
constexpr double silence_deviations = 6.0, failing_share = 0.25;
constexpr double repeats_least = 10, repeats_for = 10;  // sends; seconds of first ones that fill the budget
constexpr double needed_margin = 1.5;                   // what seems just in time is late
constexpr double read_overhead = 500, answer_work = 8;  // of a read; of a token answered: in tokens read
constexpr double no_rate = 10000, no_memory = 200000;   // until a read was seen; if not told
constexpr double never = std::numeric_limits<double>::infinity();

// Booked load by the room it leaves: the first half costs little, the last quarter much.
double crowding(double share) { return share / std::max(0.1, 1.2 - share); }

// An engine as a candidate for either leg: what it costs, and what each sibling there adds.
struct Candidate {
  EngineId id;
  Engine* engine;
  bool reads, writes;
  double read = 0, read_each = 0, write = 0, write_each = 0, write_weight = 0;
  double read_now() const { return read + read_each * (engine->read_for + engine->turn); }
  double write_now() const {
    return write + write_weight * crowding(write_each * (engine->write_for + engine->turn));
  }
};

}  // namespace

class Router::Desk : private State {
 public:
  Desk(std::uint64_t seed, const Settings& settings)
      : State(bookings_kept),
        s_(settings),
        fronts_(settings.fronts),
        careful_fronts_(settings.fronts),
        random_(static_cast<std::uint32_t>(seed)) {
    smallest_target_ = s_.routes.empty() ? Span::millis(1000) : s_.routes[0].first_token_target;
    for (const auto& r : s_.routes) smallest_target_ = std::min(smallest_target_, r.first_token_target);
  }

  const State& state() const { return *this; }

  std::vector<Action> handle(Instant now, const Event& event) {
    if (!begun_at_) begun_at_ = now;
    if (std::exchange(now_, now) != now)
      for (Flow* flow : {&reading_, &writing_}) flow->work_out(now, *begun_at_, flow_window);
    link_cost_ = quantile(links_.since(now - sample_life), 0.5, 0);
    far_extra_ = std::max(0.0, quantile(far_moves_.since(now - sample_life), 0.5, 0) -
                                   quantile(near_moves_.since(now - sample_life), 0.5, 0));
    writers_wait_ = quantile(near_moves_.since(now - wait_life), 0.5, 0);
    unseen_wait_ = quantile(waits_.since(now - wait_life), 0.5, 0);
    if (s_.list_must_be_asked &&
        (!asked_at_ || now_ - *asked_at_ > (asked_ ? s_.ask_within * 0.5 : trial_every)))
      asked_ = true, asked_at_ = now_, out_.push_back(Subscribe{true});
    std::visit([this](const auto& e) { on(e); }, event);
    // While some wait, an arrival joins them; what may have freed a place serves them in the last order.
    const bool anew = !holding_ || std::holds_alternative<TimerFired>(event);
    if (anew || !std::holds_alternative<Arrived>(event)) admit(anew);
    forget_ended();
    if (!timer_set_ && (pending() || s_.list_must_be_asked))
      timer_set_ = true, out_.push_back(SetTimer{tick, 0});
    return std::exchange(out_, {});
  }

 private:
  void on(const Arrived& a) {
    if (infs_.contains(a.inf) || s_.routes.empty()) return;
    const ModelRoute& r = route(a);
    Inference& f = infs_[a.inf];
    f.what = a;
    f.target = now_ + r.first_token_target + r.target_per_1000_tokens * (a.prompt_tokens / 1000);
    f.ends = now_ + a.budget;
    if (budgets_end_) f.ends = std::min(f.ends, *budgets_end_);
    f.answer_tokens = a.max_answer_tokens / 2;
    if (a.answer_hint && r.token_pace > Span{})
      f.answer_tokens = std::clamp(*a.answer_hint / r.token_pace, 1.0, std::max(1.0, a.max_answer_tokens));
    if (a.over_limit) return finish(f, true);
    if (f.ends - now_ <= answer_margin + tick) finish(f);
    f.home = home(a);
    if (f.phase != Phase::Over) book_siblings(f);
  }

  void on(const StreamStarted& e) {
    auto [f, s] = find(e.inf, e.send);
    if (!s || !s->out) return;
    sign_of_life(s->engine);
    if (Engine* eng = engine(s->engine)) eng->awaited.erase({e.inf, e.send});
    s->started = true;
    if (f->phase == Phase::Over) return;
    note_first_token(*f, *s, e.elapsed);
    f->phase = Phase::Streaming;
    for (auto& other : f->sends)
      if (&other != s) cancel(*f, other);
    for (const auto& other : f->sends) free(other.engine, e.inf, true, other.engine != s->engine);
    if (f->writer && f->writer != s->engine) free(*f->writer, e.inf, true, true);
  }

  void on(const PlaceAnswered& e) {
    const auto it = infs_.find(e.inf);
    if (it == infs_.end() || !it->second.place_at || it->second.place_held) return;
    Inference& f = it->second;
    if (f.place_opens) links_.add(now_, (now_ - f.place_asked).seconds());
    f.place_held = e.held;  // the answer rides on the read; it names the reader, not the place
    sign_of_life(*f.place_at);
    if (e.held) return;
    close(engines_[*f.place_at], f, full_memory);
    if (f.phase != Phase::Reading || f.places >= places_asked) return;
    const auto next = next_writer(f, engine(f.sends.back().engine), WriterChoice::Free);
    if (next) book_writer(f, *next), hold_place(f);
  }

  void on(const SendEnded& e) {
    auto [f, s] = find(e.inf, e.send);
    take_report(e.engine, e.report);
    if (!s || !s->out) return;
    s->out = false;
    if (proves_unrun(e.as) || !e.written || s->to_reader) s->ran = false;
    if (Engine* eng = engine(s->engine)) {
      --eng->out;
      if (e.as == EndedAs::ConnectFailed) links_.add(now_, e.elapsed.seconds() * 2);
      if (e.as != EndedAs::Moot && e.as != EndedAs::LocalFailure)
        eng->linked_until = e.as == EndedAs::ConnectFailed || !e.written ? now_ : now_ + s_.link_idle;
      judge(s->engine, *eng, *f, *s, e);
      eng->awaited.erase({e.inf, e.send});
      free(s->engine, e.inf, true, !s->to_reader);
    }
    if (e.as == EndedAs::TimedOut && e.written && !e.arrived) called_off(*f, *s, e);
    if (e.inference_over && f->phase != Phase::Over) over(*f);
    if (f->phase == Phase::Over) {
      // Rule 5: what a send still waited for is not let go with its inference, only after the send.
      out_.push_back(LetGo{e.inf});
      return ended_.push_back(e.inf);
    }
    if (f->phase == Phase::Streaming) return;
    // A send that reached nobody, or is not known to have, was never out: what is held has waited all along.
    const bool was_out = e.as != EndedAs::ConnectFailed && e.written && e.arrived && e.own_answer;
    if (was_out && !link_was_broken(e)) f->held_since = now_;
    if (e.as == EndedAs::ReadDone) read_done(*f, *s, e);
    else if (e.as == EndedAs::Moot) finish(*f);
    else if (e.as == EndedAs::LocalFailure) send_later(*f, *s);
    else send_failed(*f, *s, e);
  }

  void on(const ClientLeft& e) {
    const auto it = infs_.find(e.inf);
    if (it != infs_.end() && it->second.phase != Phase::Over) over(it->second);
  }

  void on(const FleetListed& e) {
    asked_ = e.scope != ListScope::Failed;
    if (!asked_) return;
    asked_at_ = now_;
    std::set<EngineId> named;
    for (const auto& entry : e.entries) {
      named.insert(entry.engine);
      const double turn = std::uniform_real_distribution<double>()(random_);
      const EngineKind kind = entry.kind < s_.kinds.size() ? s_.kinds[entry.kind] : EngineKind{};
      enlist(entry, Engine{samples_kept, waits_kept}, turn).is_of(kind, s_.writers_read, no_memory);
    }
    if (e.scope != ListScope::Delta)
      for (auto& [id, eng] : engines_)
        if (!named.contains(id)) eng.lifecycle = Lifecycle::Gone;
    // Guards long lives among ever new engines: what has gone, and no inference knows, is forgotten.
    std::erase_if(engines_, [&](const auto& it) {
      const auto knows = [&](const auto& inf) { return inf.second.knows(it.first); };
      return it.second.lifecycle == Lifecycle::Gone && std::none_of(infs_.begin(), infs_.end(), knows);
    });
    std::erase_if(with_gaps_, [&](const EngineId& id) { return !engines_.contains(id); });
    ready_readers_ = ready_writers_ = 0;
    for (const auto& [id, eng] : engines_)
      if (eng.lifecycle == Lifecycle::Ready) ready_readers_ += eng.reads, ready_writers_ += eng.writes;
  }

  void on(const TimerFired&) {
    timer_set_ = false;
    // Only what is awaited can be silent.
    std::set<EngineId> awaited;
    for (const auto& [id, f] : infs_)
      for (const Send& send : f.sends)
        if (send.out && !send.started) awaited.insert(send.engine);
    for (const EngineId& id : awaited)
      if (Engine* eng = engine(id)) watch(id, *eng);
    for (auto& [id, f] : infs_) look_after(f);
  }

  // Nothing shows that an attempt has what is reserved for the request: all of it is released while there is
  // time. A read that had arrived all the same would leave nothing, and is given up.
  void on(const ReservationsDue& e) {
    out_.push_back(LetGo{.inf = e.inf, .at_once = true, .though_awaited = true});
    const auto it = infs_.find(e.inf);
    if (it == infs_.end()) return;
    Inference& f = it->second;
    const bool for_a_place = f.place_at.has_value();
    f.place_at.reset();
    f.state_at.reset();
    const bool reading = f.phase == Phase::Reading;
    if (reading) give_up_reads(f, for_a_place);
    if (reading || f.phase == Phase::Handing) back_to_queue(f);
  }

  // The next read is not given up for the sake of a place. Where none tells a slow engine from one that does
  // not run, that goes for all requests for a while.
  void give_up_reads(Inference& f, bool for_a_place) {
    f.without_place = true;
    if (for_a_place && !s_.may_probe) no_places_until_ = now_ + sample_life;
    for (Send& s : f.sends) {
      if (!s.out || !s.to_reader || s.cancelled) continue;
      f.failed_at.insert(s.engine);
      // It has said nothing to this read, nor to any other call since.
      if (Engine* e = engine(s.engine); e && s_.may_probe && e->last_sign < s.at)
        doubt(s.engine, *e, true, (now_ - s.at).as_millis(), 0);
      cancel(f, s);
    }
  }

  void on(const EnginesHeard& e) {
    for (const auto& [id, at] : e.last)
      if (Engine* eng = engine(id)) eng->last_byte = std::max(eng->last_byte, at);
  }
  void on(const BudgetsEnd& e) {
    budgets_end_ = e.at;
    for (auto& [id, f] : infs_) f.ends = std::min(f.ends, e.at);
  }
  void on(const ZonesClosed& e) { closed_zones_ = e.by_route; }
  void on(const FrontsCounted& e) {
    fronts_ = std::max(1, e.fronts), careful_fronts_ = std::max(fronts_, e.careful);
  }
  void on(const auto&) {}

  // Serves the queues: where a pair is free it is booked, the rest is held before the read.
  void admit(bool anew) {
    if (anew) line_.clear();
    for (auto& [id, f] : infs_)
      if (anew && f.phase == Phase::Waiting) line_.emplace_back(-urgency(f), id);
    if (anew) std::sort(line_.begin(), line_.end());
    bool on_time = false;
    std::vector<Inference*> held, late;
    for (const auto& [rank, id] : line_) {
      const auto it = infs_.find(id);
      if (it == infs_.end() || it->second.phase != Phase::Waiting) continue;
      if (!anew && held.size() >= 3) break;
      Inference& f = it->second;
      const Span need = needed(f);
      if (!may_send(f)) give_up_if_idle(f);
      else if (f.ends - now_ <= (f.ends < f.target ? needed(f, 1) : need) + answer_margin) finish(f, true);
      if (f.phase != Phase::Waiting || !may_send(f) || now_ < f.not_before) continue;
      if (held.size() < 3 && book(f)) continue;  // a few smaller ones may pass a large one; no more
      held.push_back(&f);
      if (now_ + need > f.target) late.push_back(&f);
      else on_time = true;
    }
    // While others can still be in time, the late are told at once, with a time to come back.
    for (Inference* f : late)
      if (anew && !f->any_out() && (on_time || overloaded())) finish(*f, true);
    tell_holding(!held.empty());
  }

  // Joint scoring, in seconds: weight x tokens still to read + tokens booked at the reader, by its pace; the
  // writer's booked share of memory; and the way between them. Both legs are booked, or none.
  bool book(Inference& f) {
    const Candidate *reader = nullptr, *writer = nullptr;
    std::vector<Candidate> all;
    for (const bool any : {false, true}) {
      // Only where nobody else is left are the doubted ones, and those that failed this one, taken.
      all.clear();
      bool reads = false;
      // While some wait, what a reader surely keeps is not read anew elsewhere: that would cost all who wait.
      const bool waits = holding_ && f.what.kept;
      double least = never;
      for (auto& [id, e] : engines_)
        if (waits && e.reads && usable(f, id, e, any) && !shut(f, e)) least = std::min(least, to_read(f, e));
      for (auto& [id, e] : engines_) {
        if (!usable(f, id, e, any) || shut(f, e)) continue;
        Candidate c{id, &e, e.reads && !reader_full(e, f), e.writes && !writer_full(e, f)};
        c.reads = c.reads && (!waits || to_read(f, e) <= least + read_overhead);
        if (c.reads) c.read = reader_cost(f, e) + way_cost(nullptr, e);
        if (c.writes) c.write = writer_cost(e) + (e.itself && c.reads ? 0 : way_cost(nullptr, e));
        reads |= c.reads;
        if (c.reads || c.writes) all.push_back(c);
      }
      f.waits_for = reads ? Stage::Write : Stage::Read;
      std::tie(reader, writer) = cheapest(all);
      if (reader || (!any && merely_full(f, !reads))) break;
    }
    if (!reader) return false;
    const bool own = reader == writer;
    book_reader(f, reader->id, to_read(f, *reader->engine));
    book_writer(f, writer->id);
    f.phase = own ? Phase::Answering : Phase::Reading;
    send(f, reader->id, !own);
    if (!own) f.place_due = place_time(f), hold_place_if_due(f);
    return true;
  }

  // A place has to be released before the limit unless the read has ended by then, and the read is given up
  // with it: nothing else shows that it is out. So a place is asked for when little of the read is left.
  std::optional<Instant> place_time(const Inference& f) {
    if (!s_.may_hold_places || f.without_place || now_ < no_places_until_) return std::nullopt;
    if (s_.pin_limit <= Span{}) return now_;
    const Send& read = f.sends.back();
    const double seconds = read.work / rate(engines_[read.engine].entry.kind) + unseen_wait_;
    const Span before_end = release_due_after(s_.pin_limit) * place_before_read_ends;
    return now_ + std::max(Span{}, Span::from_seconds(seconds) - before_end);
  }

  void hold_place_if_due(Inference& f) {
    if (f.phase != Phase::Reading || !f.writer || !f.place_due || now_ < *f.place_due) return;
    f.place_due.reset();
    hold_place(f);
  }

  std::pair<const Candidate*, const Candidate*> cheapest(const std::vector<Candidate>& all) {
    near_.assign(racks_.size(), {never, nullptr});
    std::pair<double, const Candidate*> least{never, nullptr};
    for (const Candidate& c : all) {
      if (!c.writes) continue;
      const std::pair<double, const Candidate*> w{c.write_now(), &c};
      if (w.first < near_[c.engine->rack].first) near_[c.engine->rack] = w;
      if (w.first < least.first) least = w;
    }
    least.first += far_cost();
    double best = never;
    std::pair<const Candidate*, const Candidate*> pair{};
    for (const Candidate& c : all) {
      if (!c.reads || (c.engine->itself && !c.writes)) continue;
      auto w = near_[c.engine->rack].first <= least.first ? near_[c.engine->rack] : least;
      if (c.engine->itself) w = {c.write_now(), &c};
      if (const double cost = c.read_now() + w.first; cost < best) best = cost, pair = {&c, w.second};
    }
    return pair;
  }

  // What other fronts book is unseen: each is taken to score as this one does, with its last few bookings; so
  // siblings of each arrival are booked here. Guards against all going for the same engine, and gives each
  // rack what it can take; with a list that differs from the others' it is as wrong as the list.
  void book_siblings(const Inference& f) {
    if (fronts_ < 2) return;
    std::vector<Candidate> all;
    for (auto& [id, e] : engines_) {
      if (e.lifecycle != Lifecycle::Ready || e.doubted || closed(e, f)) continue;
      Candidate c{id, &e, e.reads, e.writes};
      const double read = slowness(e) * coldness(e) / rate(e.entry.kind) * beside_answers(e);
      c.read = f.what.prompt_tokens * read + way_cost(nullptr, e);
      c.write = way_cost(nullptr, e);
      c.read_each = a_sibling(true) * read;
      c.write_each = a_sibling(false) / e.memory;
      c.write_weight = writer_seconds * slowness(e) * coldness(e) / size(e);
      all.push_back(c);
    }
    if (all.empty()) return;
    const double found = found_at_home(f);
    std::vector<CheapestPair::Costs> costs;
    for (const Candidate& c : all)
      costs.push_back({c.engine->rack, c.reads ? c.read_now() : never, c.writes ? c.write_now() : never,
                       c.engine->itself});
    CheapestPair pairs(std::move(costs), racks_.size(), far_cost());
    const auto more = siblings_.empty() ? siblings_kept : siblings_each / 2 + random_() % siblings_each;
    for (auto k = more; k > 0; --k) {
      const std::size_t home = random_() % all.size();
      const double usual = pairs.read(home);
      pairs.set_read(home, usual - found / rate(all[home].engine->entry.kind));
      const auto pair = pairs.best();
      pairs.set_read(home, usual);
      if (!pair) return;
      Candidate &reader = all[pair->first], &writer = all[pair->second];
      ++reader.engine->read_for, ++writer.engine->write_for;
      pairs.set_read(pair->first, reader.read_now()), pairs.set_write(pair->second, writer.write_now());
      siblings_.emplace_back(reader.id, writer.id);
      if (siblings_.size() <= siblings_kept) continue;
      const auto oldest = siblings_.front();
      siblings_.pop_front();
      if (Engine* e = engine(oldest.first)) --e->read_for;
      if (Engine* e = engine(oldest.second)) --e->write_for;
      if (const auto at = place_of(all, oldest.first); at && all[*at].reads)
        pairs.set_read(*at, all[*at].read_now());
      if (const auto at = place_of(all, oldest.second); at && all[*at].writes)
        pairs.set_write(*at, all[*at].write_now());
    }
  }

  // In candidates by id.
  static std::optional<std::size_t> place_of(const std::vector<Candidate>& all, const EngineId& id) {
    const auto before = [](const Candidate& c, const EngineId& wanted) { return c.id < wanted; };
    const auto it = std::lower_bound(all.begin(), all.end(), id, before);
    if (it == all.end() || it->id != id) return std::nullopt;
    return static_cast<std::size_t>(it - all.begin());
  }

  double others(const Engine& e, bool reads) const {
    return a_sibling(reads) * ((reads ? e.read_for : e.write_for) + e.turn);
  }
  double a_sibling(bool reads) const {  // tokens that it stands for
    return (fronts_ - 1) * std::max(1.0, (reads ? reading_ : writing_).tokens) / siblings_kept;
  }

  void hold_place(Inference& f) {
    f.place_at = f.writer, f.place_held.reset(), ++f.places;
    f.place_asked = now_, f.place_opens = !linked(engines_[*f.writer]);
    out_.push_back(HoldPlace{f.what.inf, *f.writer});
  }

  void read_done(Inference& f, const Send& s, const SendEnded& e) {
    if (Engine* eng = engine(s.engine)) learn(f, *eng, e.kept_tokens);
    if (f.phase == Phase::Answering) return;  // a second read, after the first one's state went on
    f.state_at = s.engine, f.phase = Phase::Handing, hand_over(f);
  }

  // The state goes to the booked writer; if that said full, left or is in doubt, to the next-lowest.
  void hand_over(Inference& f) {
    // A read that is still out, maybe at an engine that does not run, brings nothing that could be sent on.
    if (is_spent(f) && !f.out_at(false)) return finish(f, true);
    if (!may_send(f)) return give_up_if_idle(f);
    // After an engine that gave no sign there is no time for another that may give none.
    const bool silent_in_this_hold = f.no_sign_since && *f.no_sign_since >= f.held_since;
    if (silent_in_this_hold && pin_is_near(f) && !f.out_at(false)) return back_to_queue(f);
    const Engine* from = engine(*f.state_at);
    auto best = next_writer(f, from, WriterChoice::Free);
    if (!best && (pin_is_near(f) || !another_may_become_free(f)))
      best = next_writer(f, from, WriterChoice::Sound);
    // Nor is anything gained by waiting where no engine is left that has not failed.
    const bool nobody_else = f.no_sign_since && !merely_full(f, false);
    if (!best && (nobody_else || pin_is_near(f))) best = next_writer(f, from, WriterChoice::Any);
    if (!best) return;  // tried again by timer until the pin limit is near
    book_writer(f, *best);
    f.phase = Phase::Answering;
    send(f, *best, false);
  }

  // A place that was refused, or not answered for while the read ran, says that the engine is not free at once.
  bool place_refused(const Inference& f, const EngineId& id) const {
    return f.place_at == id && !f.place_held.value_or(now_ - f.place_asked < tick);
  }

  // Whether a state that no engine is free for waits for one. The engine that gave no place is not waited for:
  // the attempt is needed there all the same, and has its turn there.
  bool another_may_become_free(const Inference& f) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto& known) {
      const auto& [id, e] = known;
      return e.writes && is_sound(f, id, e) && !place_refused(f, id);
    });
  }

  enum class WriterChoice {
    Free,   // sound, and not known to be full
    Sound,  // full ones too
    Any     // those that failed the request, or are doubted, as well
  };
  std::optional<EngineId> next_writer(const Inference& f, const Engine* from, WriterChoice choice) {
    const bool any = choice == WriterChoice::Any;
    const auto measure = [&](const EngineId& id, const Engine& e) {
      if (!e.writes || !usable(f, id, e, any)) return never;
      // Nor is it out while its connection does not come up; a send out there may itself wait for one.
      if (now_ >= e.linked_until && !has_time_to_connect(f)) return never;
      const bool refused = place_refused(f, id);
      const bool keeps = f.writer == id && !refused && !e.doubted && !f.failed_at.contains(id);
      if (choice == WriterChoice::Free && !keeps && (refused || writer_full(e, f))) return never;
      // Where one engine gave no sign, others may not run either: those that lately did come first.
      const double unheard = f.no_sign_since && e.last_byte < *f.no_sign_since ? unheard_seconds : 0;
      return keeps ? -1 : writer_cost(e) + way_cost(from, e) + unheard;
    };
    return lowest(measure).second;
  }

  // A pin limit below the time-out of connections must not keep every new one from being made. After an
  // engine that gave no sign, a part of what is left has to do (ask_for_a_sign).
  bool has_time_to_connect(const Inference& f) const {
    const Span left = s_.pin_limit - (now_ - f.held_since);
    const Span most = (f.no_sign_since ? left : s_.pin_limit) * part_for_a_sign;
    return std::min(s_.connect, most) + tick <= left;
  }

  std::pair<double, std::optional<EngineId>> lowest(auto measure) {
    std::pair<double, std::optional<EngineId>> best{never, {}};
    for (const auto& [id, e] : engines_)
      if (const double cost = measure(id, e); cost < best.first) best = {cost, id};
    return best;
  }

  void send_failed(Inference& f, const Send& s, const SendEnded& e) {
    f.failed_at.insert(s.engine);
    if (s.to_reader && f.phase == Phase::Reading && !f.out_at(true)) return back_to_queue(f);
    if (s.to_reader) return;
    if (f.place_at == s.engine) f.place_at.reset();
    if (f.phase != Phase::Answering || f.out_at(false)) return;
    if (f.writer == s.engine) f.writer.reset();
    if (e.no_state) f.state_at.reset();
    if (f.state_at) f.phase = Phase::Handing, hand_over(f);
    else if (f.out_at(true)) f.phase = Phase::Reading;
    else back_to_queue(f);
  }

  // Tokens to be read, with what was booked before them.
  double largest_read() const {
    double most = 0;
    for (const double tokens : read_sizes_.since(now_ - sample_life)) most = std::max(most, tokens);
    return most;
  }

  // Nothing showed that it has arrived. Where the engine gave no sign at all though it was asked, it is
  // doubted.
  void called_off(Inference& f, const Send& s, const SendEnded& ended) {
    if (!f.no_sign_since) f.no_sign_since = s.at;
    // It took at least so long: where all have become slow, the next ones are waited for.
    if (!ended.no_sign) (s.to_reader ? read_times_ : after_read_).add(now_, ended.elapsed.seconds());
    Engine* e = engine(s.engine);
    if (e && ended.no_sign && s_.may_probe) doubt(s.engine, *e, true, ended.elapsed.as_millis(), 0);
  }

  // This machine could not send it: tried again a little later, longer after each time; no engine is at
  // fault.
  void send_later(Inference& f, const Send& s) {
    const int doublings = std::min(f.local_failures++, local_doublings);
    f.not_before = now_ + tick * static_cast<double>(1 << doublings);
    if (s.to_reader && f.phase == Phase::Reading && !f.out_at(true)) return back_to_queue(f);
    if (s.to_reader || f.phase != Phase::Answering || f.out_at(false)) return;
    if (f.state_at) f.phase = Phase::Handing;  // handed over by timer
    else if (f.out_at(true)) f.phase = Phase::Reading;
    else back_to_queue(f);
  }

  void back_to_queue(Inference& f) {
    const bool has_state = f.state_at.has_value();
    unbook(f);
    // A failed writer may still hold a place that nothing here remembers.
    out_.push_back(LetGo{f.what.inf, has_state});
    f.phase = Phase::Waiting;
    if (!may_send(f)) give_up_if_idle(f);
  }

  void give_up_if_idle(Inference& f) { f.any_out() ? void() : finish(f); }

  double reader_cost(const Inference& f, const Engine& e, double weight = read_weight) {
    double waiting = booked(e.reading);
    if (fresh(e) && e.report->tokens_waiting) waiting = std::max(waiting, *e.report->tokens_waiting);
    else if (fresh(e) && e.report->inferences_held)
      waiting +=
          std::max(0.0, *e.report->inferences_held - static_cast<double>(e.reading.size())) * read_overhead;
    else waiting += others(e, true);
    return beside_answers(e) * (weight * to_read(f, e) + waiting) / rate(e.entry.kind) * slowness(e) *
               coldness(e) +
           link_cost(e);
  }

  static double beside_answers(const Engine& e) { return e.stage == Stage::Read ? 1 : mixed_weight; }

  // A send to an engine with no open connection costs what opening one lately took. Guards against slow or
  // failing handshakes; by keeping to fewer engines it could leave some idle.
  bool linked(const Engine& e) const { return e.out > 0 || now_ < e.linked_until; }
  double link_cost(const Engine& e) const { return linked(e) ? 0 : link_cost_; }

  double size(const Engine& e) const { return s_.sizes_told ? std::max(0.1, e.entry.size) : 1.0; }
  double writer_cost(const Engine& e) {
    return writer_seconds * crowding(writer_load(e) / e.memory) / size(e) * slowness(e) * coldness(e) +
           link_cost(e);
  }

  double writer_load(const Engine& e) const {
    const double own = booked(e.writing);
    if (!tells_memory(e)) return own + others(e, false);
    return std::max(own, *e.report->memory_share * e.memory + own - e.booked_at_report);
  }

  // A full answer closes the engine to that model route alone, for longer the longer it took to come.
  void close(Engine& e, const Inference& f, Span span) {
    e.full_until[index(f.what)] = now_ + std::clamp(span, full_memory, sample_life);
  }
  bool closed(const Engine& e, const Inference& f) const {
    const auto it = e.full_until.find(index(f.what));
    return it != e.full_until.end() && it->second > now_;
  }

  // Full by a recent answer, by a queue (reported, or seen in a fetch that does not begin) or by memory.
  bool writer_full(const Engine& e, const Inference& f) {
    if (e.stage == Stage::Write && e.silence(now_) > queue_sign) return true;
    if (unseen_wait(e) > writer_wait_bound * smallest_target_.seconds()) return true;
    if (closed(e, f) || (fresh(e) && e.report->waiting.value_or(0) >= 1)) return true;
    if (e.writing.empty() && !tells_memory(e)) return false;
    const double bound = tells_memory(e) ? writer_memory_bound : unseen_memory_bound;
    return writer_load(e) + f.whole() > bound * e.memory;
  }

  bool overloaded() const {
    const double target = smallest_target_.seconds();
    return unseen_wait_ > reader_wait_bound * target || writers_wait_ > writer_wait_bound * target;
  }

  // What reads lately took there beyond what this front had booked; where none ended, at any reader.
  double unseen_wait(const Engine& e) const {
    const double absent = e.stage == Stage::Write ? writers_wait_ : unseen_wait_;
    if (!e.waits.any_since(now_ - wait_life)) return absent;
    return quantile(e.waits.since(now_ - wait_life), 0.5, absent);
  }
  bool reader_full(const Engine& e, const Inference& f) {
    if (closed(e, f) || unseen_wait(e) > smallest_target_.seconds() * reader_wait_bound) return true;
    if (e.reading.empty()) return false;
    const double tokens = booked(e.reading) + others(e, true);
    if (tokens + f.what.prompt_tokens > e.memory) return true;
    const double bound = e.stage == Stage::Read ? reader_wait_bound : mixed_wait_bound;
    return tokens / rate(e.entry.kind) * slowness(e) > smallest_target_.seconds() * bound;
  }

  double way_cost(const Engine* from, const Engine& to) const {
    const bool far = from && from->entry.rack != to.entry.rack;
    return (to.entry.zone != s_.zone ? far_seconds * s_.zone_price : 0) + (far ? far_cost() : 0);
  }
  double far_cost() const { return far_seconds * s_.far_price + far_extra_; }

  // What of the prompt this reader should not have kept. A session's turns come in through many fronts: they
  // agree without talking on the reader where its texts are looked for, while the table knows nothing.
  double to_read(const Inference& f, const Engine& e) const {
    const double found = f.home == e.entry.engine && !f.what.kept_surely ? found_at_home(f) : 0;
    return std::max(0.0, f.what.prompt_tokens - std::max(found, known(f, e)));
  }

  double found_at_home(const Inference& f) const {
    return f.what.shared_tokens + home_found_ * (f.what.prompt_tokens - f.what.shared_tokens);
  }

  double known(const Inference& f, const Engine& e) const {
    if (f.what.kept) {  // an index knows every prompt, the table two keys of each
      const auto it = f.what.kept->find(e.entry.engine);
      return it == f.what.kept->end() ? 0 : std::min(it->second, f.what.prompt_tokens);
    }
    return std::max(knows(e, f.what.session, f.what.prompt_tokens),
                    knows(e, f.what.shared_text, f.what.shared_tokens));
  }

  // By hash: a few readers for each shared text, more the oftener it comes; one of them for each session.
  std::optional<EngineId> home(const Arrived& a) {
    texts_.push_back(a.shared_text);
    if (texts_.size() > texts_seen) texts_.pop_front();
    std::vector<std::pair<std::uint64_t, EngineId>> readers;
    for (const auto& [id, e] : engines_)
      if (e.lifecycle == Lifecycle::Ready && e.stage == Stage::Read)
        readers.emplace_back(hash(a.shared_text, id), id);
    if (readers.empty() || a.session == 0) return {};
    if (a.shared_text != 0) {
      const auto seen = static_cast<double>(std::count(texts_.begin(), texts_.end(), a.shared_text));
      const double part = seen / static_cast<double>(texts_.size()) * static_cast<double>(readers.size());
      const std::size_t homes =
          std::min(readers.size(), static_cast<std::size_t>(std::ceil(homes_a_text * part + 1)));
      std::nth_element(readers.begin(), readers.begin() + static_cast<std::ptrdiff_t>(homes - 1),
                       readers.end());
      readers.resize(homes);
    }
    for (auto& [h, id] : readers) h = hash(a.session, id);
    return std::max_element(readers.begin(), readers.end())->second;
  }
  // Once a text proves gone, all touched before it are too. Covers eviction, forgotten texts and restarts.
  void learn(const Inference& f, Engine& e, double found) {
    if (f.home == e.entry.engine) {
      const double beyond = f.what.prompt_tokens - f.what.shared_tokens;
      homes_.add(now_, std::clamp((found - f.what.shared_tokens) / std::max(1.0, beyond), 0.0, 1.0));
      home_found_ = mean(homes_.since(now_ - flow_window));
    }
    if (found < known(f, e) / 2) {
      Instant oldest = now_;
      for (TextKey key : {f.what.session, f.what.shared_text})
        if (const auto it = e.kept.find(key); it != e.kept.end())
          oldest = std::min(oldest, it->second.second);
      e.kept_since = std::max(e.kept_since, oldest + Span::micros(1));
    }
    keep(e, f.what.session, f.what.prompt_tokens, now_);
    keep(e, f.what.shared_text, f.what.shared_tokens, now_);
    if (e.kept.size() * engines_.size() > texts_kept) forget_older_half(e);
  }

  // Tokens a second where little stood in the way: the median would count queues as slow reading.
  double rate(std::uint8_t kind) { return 1.0 / paces(kind).first; }

  struct Paces {
    double first;
    std::size_t samples;
    double median;
  };
  const Paces& paces(std::uint8_t kind) {
    if (now_ - paces_at_ > worked_out_every) paces_.clear(), paces_at_ = now_;
    if (const auto it = paces_.find(kind); it != paces_.end()) return it->second;
    std::vector<double> reads, all;
    for (auto& [id, e] : engines_) {
      if (e.entry.kind != kind) continue;
      reads = e.pace.since(now_ - sample_life, std::move(reads));
      all = (e.stage == Stage::Read ? e.pace : e.first_token).since(now_ - sample_life, std::move(all));
    }
    return paces_[kind] = {quantile(std::move(reads), 0.25, 1.0 / no_rate), all.size(),
                           quantile(all, 0.5, 1)};
  }

  // Pace against the peers of its kind; a fleet that is slow as a whole has nobody slow in it.
  double slowness(const Engine& e) {
    if (now_ - e.slow.first <= worked_out_every) return e.slow.second;
    const LastFew& samples = e.stage == Stage::Read ? e.pace : e.first_token;
    if (!samples.any_since(now_ - sample_life)) return 1.0;
    const auto own = samples.since(now_ - sample_life);
    const Paces& kind = paces(e.entry.kind);
    const bool told = own.size() >= 3 && kind.samples >= 2 * own.size();
    e.slow = {now_, told ? std::max(1.0, quantile(own, 0.5, 1) / kind.median) : 1.0};
    return e.slow.second;
  }

  bool is_cold(const Engine& e) const { return e.entry.started && now_ - *e.entry.started < s_.cold; }
  double coldness(const Engine& e) const {
    const Span age = now_ - e.entry.started.value_or(now_);
    return is_cold(e) ? 1.0 / std::max(0.05, s_.cold_from + (1 - s_.cold_from) * (age / s_.cold)) : 1;
  }

  // Rule 4. All fronts may send a fresh engine in one window what engines of its role carry, times the sure
  // part of the capacity and the multiple, less what chance adds where each front sends less than one a
  // window. Each spaces its sends by its share, and its first waits for its turn.
  bool may_push(const Engine& e) const {
    if (!is_cold(e)) return true;
    const bool reads = e.stage == Stage::Read;
    const double peers = reads ? ready_readers_ : ready_writers_;
    const double window = s_.fall.seconds(), fronts = careful_fronts_;
    const double mean = (reads ? reading_ : writing_).a_second * fronts * window / std::max(1.0, peers);
    const double budget = s_.fall_multiple * mean / coldness(e), part = cold_share * budget;
    const double chance = 3 * std::sqrt(std::min(part, fronts / 4));
    const double allowed = std::max({std::min(part, budget - chance), cold_surely * budget, cold_least});
    const Span since = now_ - e.last_send.value_or(e.heard);
    return since.seconds() >= window * fronts / allowed * (e.last_send ? 1 : e.turn);
  }

  bool usable(const Inference& f, const EngineId& id, const Engine& e, bool any) const {
    if (e.lifecycle != Lifecycle::Ready || !effect_allows(f, e) || !may_push(e)) return false;
    if (e.entry.most > 0 && e.out >= static_cast<int>(e.entry.most)) return false;
    return any || (!f.failed_at.contains(id) && (!e.doubted || now_ >= e.next_trial));
  }

  // A zone that new pairs of the route keep out of (ZonesClosed); a pair that is booked there ends there.
  bool shut(const Inference& f, const Engine& e) const {
    const std::size_t k = f.what.route;
    return k < closed_zones_.size() && closed_zones_[k].contains(e.entry.zone);
  }

  // Whether the role has sound engines that are only full, so that waiting makes sense.
  bool merely_full(const Inference& f, bool read) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto& known) {
      const auto& [id, e] = known;
      return is_sound(f, id, e) && (read ? e.reads : e.writes);
    });
  }
  static bool is_sound(const Inference& f, const EngineId& id, const Engine& e) {
    return e.lifecycle == Lifecycle::Ready && !e.doubted && !f.failed_at.contains(id);
  }

  // Rule 2: sends that may have run bind the further ones to their group and window.
  bool effect_allows(const Inference& f, const Engine& to) const {
    const ModelRoute& r = route(f.what);
    if (r.effect != Effect::Deduped) return true;
    return !window_over(f) && !f.any([&](const Send& s) {
      if (!s.ran || s.to_reader || r.dedupe_group == DedupeGroup::All) return false;
      const EngineEntry& was = engines_.at(s.engine).entry;
      return was.zone != to.entry.zone || (r.dedupe_group == DedupeGroup::Rack && was.rack != to.entry.rack);
    });
  }

  // Engines no longer know an attempt that may have run: no other can follow it.
  bool window_over(const Inference& f) const {
    const ModelRoute& r = route(f.what);
    return r.effect == Effect::Deduped && f.any([&](const Send& s) {
      return s.ran && !s.to_reader && now_ - s.at >= r.dedupe_window - tick;
    });
  }

  bool may_send(const Inference& f) const {
    if (f.phase == Phase::Over || f.phase == Phase::Streaming) return false;
    if (f.sends_made() >= s_.max_sends || f.ends - now_ <= answer_margin) return false;
    if (!may_copy(f) && f.any_out()) return false;
    if ((!f.failed_at.empty() && !may_repeat()) || window_over(f)) return false;
    return route(f.what).effect != Effect::NonRetriable ||
           !f.any([](const Send& s) { return s.out || s.ran; });
  }

  // Of a deduped request one attempt at a time is out: the time that engines remember it runs from the first
  // of several that overlap, reads included, and would be over before the answer is asked for.
  bool may_copy(const Inference& f) const {
    return s_.second_copies && route(f.what).effect != Effect::Deduped;
  }

  // Nothing can be sent for it any more, whatever comes.
  bool is_spent(const Inference& f) const { return f.sends_made() >= s_.max_sends || window_over(f); }

  bool may_repeat() const { return s_.repeat_share <= 0 || repeats_ >= 1; }

  bool may_shed(const Inference& f) const {
    const ModelRoute& r = route(f.what);
    if (r.effect == Effect::Retriable) return true;
    if (r.effect == Effect::Deduped && r.dedupe_group == DedupeGroup::All) return true;
    return !f.any([](const Send& s) { return s.out || s.ran; });
  }

  void send(Inference& f, const EngineId& to, bool to_reader) {
    Engine& e = engines_[to];
    Send s{.engine = to, .at = now_, .to_reader = to_reader};
    if (const auto own = e.reading.find(f.what.inf); to_reader) s.work = booked(e.reading);
    else if (own != e.reading.end()) s.work = own->second.first;
    if (const Engine* from = !to_reader && f.state_at ? engine(*f.state_at) : nullptr)
      s.far = from->entry.rack != e.entry.rack;
    // Repeats come out of a budget that first sends fill: many failures at once make no storm of sends.
    const double most = std::max(repeats_least, repeats_for * s_.repeat_share * reading_.a_second);
    repeats_ = std::min(most, repeats_ + (f.failed_at.empty() ? s_.repeat_share : -1.0));
    f.sends.push_back(s);
    e.awaited[{f.what.inf, f.sends.size() - 1}] = now_;
    ++e.out, e.last_send = now_;
    if (e.doubted) e.next_trial = now_ + trial_gap();
    const Span limit = may_copy(f) ? Span{} : std::max(patience(e) * 3, (f.ends - now_) * 0.4);
    // What is held waits for a connection, too: it is given up while there is time to let go.
    const Span left = s_.pin_limit - tick - (now_ - f.held_since);
    const Span reach = f.state_at ? std::max(Span::millis(2), left) : Span{};
    out_.push_back(SendTo{f.what.inf, to, limit, reach, repeat_window_left(f)});
    ask_for_a_sign(f, to_reader, std::get<SendTo>(out_.back()));
  }

  // What is held for the request waits until the engine shows that it runs. Of a read that is a place.
  void ask_for_a_sign(const Inference& f, bool to_reader, SendTo& order) const {
    if (s_.pin_limit <= Span{} || (!to_reader && !f.state_at)) return;
    const SignWait wait = wait_for_a_sign(s_.pin_limit, to_reader ? Span{} : now_ - f.held_since);
    order.sign_within = wait.call_off_after;
    if (s_.may_probe) order.probe_after = wait.probe_after;
    const LastFew& seen = to_reader ? read_times_ : after_read_;
    // What must not run twice has only this attempt: a sign of the engine is enough for it.
    const bool only_one = !to_reader && route(f.what).effect == Effect::NonRetriable;
    const bool usual = !to_reader || f.sends.back().work + f.what.prompt_tokens <= largest_read();
    const auto due = answer_due_after(seen.since(now_ - sample_life));
    // What a read has left, and a place, wait for no longer than from its end on: late is better than never.
    const Span latest = to_reader ? s_.pin_limit * late_read_limits : wait.call_off_after;
    if (usual && !only_one && due && *due < latest) order.answer_within = std::max(*due, wait.call_off_after);
    if (to_reader) return;
    order.reach = std::min(order.reach, wait.write_within);
    const Span bound = order.write_within > Span{} ? order.write_within : wait.write_within;
    order.write_within = std::min(bound, wait.write_within);
  }

  // How long a repeat may still be written: its connection may come up late, and engines forget the first
  // attempt. Zero where nothing binds it.
  Span repeat_window_left(const Inference& f) const {
    const ModelRoute& r = route(f.what);
    Span left;
    for (const Send& s : f.sends)
      if (r.effect == Effect::Deduped && s.ran && !s.to_reader && s.at < now_ && left == Span{})
        left = std::max(Span::micros(1), r.dedupe_window - tick - (now_ - s.at));  // the first binds most
    return left;
  }

  void cancel(Inference& f, Send& s) {
    if (!s.out || s.cancelled || s.started || !s_.may_cancel) return;
    s.cancelled = true;
    out_.push_back(CancelSend{f.what.inf, static_cast<std::uint8_t>(&s - f.sends.data())});
  }

  // The final answer, at once; with a time to come back, spread over what clients heed, where that may help.
  void finish(Inference& f, bool advise = false) {
    std::uniform_real_distribution<double> spread(0.25, 1.0);
    const Span back = advise && s_.retry_advice ? s_.max_retry_after * spread(random_) : Span{};
    if (may_shed(f)) out_.push_back(Shed{f.what.inf, back});
    else out_.push_back(Fail{f.what.inf});
    over(f);
  }

  void over(Inference& f) {
    f.phase = Phase::Over;
    unbook(f);
    for (auto& s : f.sends) cancel(f, s);
    if (!f.sends.empty()) out_.push_back(LetGo{f.what.inf});
    ended_.push_back(f.what.inf);
  }

  void sign_of_life(const EngineId& id) {
    Engine* e = engine(id);
    if (!e) return;
    if (!e->awaited.empty()) e->gaps.add(now_, e->silence(now_).seconds()), with_gaps_.insert(id);
    e->last_sign = e->last_byte = now_;
    if (e->silent) trust(id, *e);
  }

  // The silence that is still usual, by the gaps seen before at this engine or, while few, at its kind.
  Span patience(const Engine& e, bool freaks = true) const {
    auto gaps = e.gaps.since(Instant{});
    if (gaps.size() < 4)
      for (const EngineId& id : with_gaps_)
        if (const auto other = engines_.find(id);
            other != engines_.end() && other->second.entry.kind == e.entry.kind)
          gaps = other->second.gaps.since(Instant{}, std::move(gaps));
    if (gaps.size() < 4) return smallest_target_ * 0.5;
    // One freak gap, as of a connection that fell silent alone, must not make the next one usual.
    if (!freaks && gaps.size() > 4) gaps.erase(std::max_element(gaps.begin(), gaps.end()));
    const double most = *std::max_element(gaps.begin(), gaps.end()), usual = mean(gaps);
    const double unusual = usual + silence_deviations * deviation(gaps);
    return Span::from_seconds(std::max(most * 3, unusual) + 0.2);
  }

  void watch(const EngineId& id, Engine& e) {
    if (e.lifecycle != Lifecycle::Ready || e.awaited.empty() || e.doubted) return;
    // A slow link looks like a silent writer: what comes from another rack may take a target's time.
    double work = 0;
    bool far = true;
    for (const auto& [key, at] : e.awaited) {
      const Send& s = *find(key.first, key.second).second;
      work = std::max(work, s.work);
      far = far && s.far;
    }
    if (far && e.silence(now_) < smallest_target_) return;
    const Span usual = patience(e) + Span::from_seconds(work / rate(e.entry.kind));
    if (e.silence(now_) > usual) doubt(id, e, true, e.silence(now_).as_millis(), usual.as_millis());
  }

  // All fronts together try a doubted engine about once in trial_every, each at least while samples live.
  Span trial_gap() const { return std::min(trial_every * fronts_, sample_life); }

  void doubt(const EngineId& id, Engine& e, bool silent, double seen, double usual) {
    if (e.doubted) return;
    e.doubted = true, e.silent = silent;
    e.next_trial = now_ + trial_gap();
    say(silent ? "doubted: silent for %.0f ms, usual %.0f" : "doubted: %.0f of %.0f sends failed", seen,
        usual, &id);
  }

  void trust(const EngineId& id, Engine& e) {
    e.doubted = e.silent = false;
    say("trusted again", 0, 0, &id);
  }

  // A kept connection that breaks as it is used again was broken before, by the network or an engine that
  // lets none stand.
  static bool link_was_broken(const SendEnded& e) {
    return e.on_kept_link && e.as == EndedAs::Reset && e.elapsed < tick;
  }

  void judge(const EngineId& id, Engine& e, const Inference& f, const Send& s, const SendEnded& end) {
    if (end.as == EndedAs::TimedOut || end.as == EndedAs::Cancelled || end.as == EndedAs::Moot ||
        end.as == EndedAs::LocalFailure)
      return;
    // Guards against doubting all for it; a dead engine refuses the next connection.
    if (link_was_broken(end)) return;
    const bool lost = end.as == EndedAs::Reset || end.as == EndedAs::ConnectFailed;
    const bool failed = lost || end.as == EndedAs::Errored;
    if (end.as == EndedAs::Full && !end.no_state) close(e, f, end.elapsed * close_for);
    e.failures.add(now_, failed ? 1 : 0);
    const auto recent = e.failures.since(now_ - sample_life);
    const double bad = sum(recent), all = static_cast<double>(recent.size());
    if (e.doubted) e.next_trial = failed ? now_ + trial_gap() : now_;
    if (failed) {
      if (bad >= failing_share * all && (bad >= 3 || lost)) doubt(id, e, false, bad, all);
      return;
    }
    sign_of_life(id);
    if (e.doubted && bad < failing_share * all) trust(id, e);
    if (end.as != EndedAs::ReadDone) return;
    const double took = end.elapsed.seconds(), tokens = s.work + read_overhead;
    read_times_.add(now_, took), read_sizes_.add(now_, s.work + f.what.prompt_tokens);
    const double beyond = took - 2 * tokens / rate(e.entry.kind);
    e.pace.add(now_, took / tokens), e.waits.add(now_, beyond), waits_.add(now_, beyond);
  }

  void note_first_token(const Inference& f, const Send& s, Span elapsed) {
    Engine* e = engine(s.engine);
    if (!e || !f.state_at) return;
    const double per_1000 = elapsed.seconds() / std::max(0.5, f.what.prompt_tokens / 1000);
    after_read_.add(now_, elapsed.seconds());
    (s.far ? far_moves_ : near_moves_).add(now_, elapsed.seconds());
    if (!s.far) e->waits.add(now_, elapsed.seconds()), e->first_token.add(now_, per_1000);
  }

  bool fresh(const Engine& e) const { return e.report && now_ - e.report_at < report_life; }
  bool tells_memory(const Engine& e) const { return fresh(e) && e.report->memory_share; }

  void look_after(Inference& f) {
    if (f.phase == Phase::Over || f.phase == Phase::Streaming) return;
    if (f.ends - now_ <= answer_margin) return finish(f);
    if (f.phase == Phase::Handing && !f.out_at(false) && now_ >= f.not_before) hand_over(f);
    if (f.phase == Phase::Handing && !f.out_at(false) && pin_is_near(f)) back_to_queue(f);
    hold_place_if_due(f);
    if (f.phase == Phase::Reading || f.phase == Phase::Answering) rescue(f);
  }

  // What waits for a doubted engine, and has not begun, goes elsewhere: a read as a second copy, an answer to
  // the next writer while the state still waits. Covers hangs, vanished machines and cut links alike.
  void rescue(Inference& f) {
    for (std::size_t k = 0; k < f.sends.size(); ++k) {
      const Send s = f.sends[k];
      const Engine* e = engine(s.engine);
      if (!s.out || s.cancelled || f.failed_at.contains(s.engine)) continue;
      // Without a second copy all that was done is lost: a doubt of the engine alone does not move it then.
      const bool suspect = may_copy(f) && e && e->doubted && now_ - s.at >= patience(*e);
      if (e && !overdue(*e, s) && !suspect) continue;
      if (may_copy(f) && !(may_send(f) && may_repeat())) return;
      f.failed_at.insert(s.engine);
      if (may_copy(f) && s.to_reader) return second_read(f);
      cancel(f, f.sends[k]);  // its outcome brings the next send, if this does not
      if (may_copy(f) && f.state_at) f.phase = Phase::Handing, hand_over(f);
      return;
    }
  }

  // A send that waits far longer than its engine's silences, its work and what reads lately waited there: its
  // connection fell silent, the engine did not. In a sudden jam it could send a read twice.
  bool overdue(const Engine& e, const Send& s) {
    const double jam = std::max({0.0, unseen_wait(e), unseen_wait_, writers_wait_});
    const Span work = Span::from_seconds(2 * s.work / rate(e.entry.kind) + 3 * jam);
    const Span usual = patience(e, false) * 1.5 + work;
    return now_ - s.at > (s.far ? std::max(usual, smallest_target_) : usual);  // a slow link is no silence
  }

  void second_read(Inference& f) {
    const auto measure = [&](const EngineId& id, const Engine& e) {
      return e.stage == Stage::Read && !e.doubted && usable(f, id, e, false) ? reader_cost(f, e) : never;
    };
    const auto best = lowest(measure).second;
    if (!best) return;
    book_reader(f, *best, to_read(f, engines_[*best]));
    send(f, *best, true);
  }

  bool pin_is_near(const Inference& f) const {
    return now_ - f.held_since > last_resort_after(s_.pin_limit);
  }

  double least_at_readers(auto measure) {
    const auto sound = [&](const EngineId&, const Engine& e) {
      return e.lifecycle == Lifecycle::Ready && !e.doubted && e.reads ? measure(e) : never;
    };
    return lowest(sound).first;
  }

  // Until its first token, if it were booked now: the cheapest read, and what lately came after reads.
  Span needed(const Inference& f, double weight = read_weight) {
    const double least =
        least_at_readers([&](const Engine& e) { return reader_cost(f, e, weight) + unseen_wait(e); });
    const double after = quantile(after_read_.since(now_ - sample_life), 0.75, 0.05);
    return Span::from_seconds(((least < never ? least : 0.0) + after) * needed_margin);
  }

  // Worth per unit of the scarce role's work: what is mostly kept already costs a reader little; what can no
  // longer be in time counts for its late value. Covers overload, lost engines and lost texts alike; in long
  // overload it could starve sessions that nobody keeps.
  double urgency(const Inference& f) {
    double worth = route(f.what).value;
    if (now_ + needed(f) > f.target) worth *= route(f.what).late_value;
    if (f.what.resumed) worth *= 2;
    double cost = std::min(least_at_readers([&](const Engine& e) { return to_read(f, e); }), f.whole());
    cost = f.waits_for == Stage::Read ? cost + read_overhead : f.whole();
    return worth * (f.what.prompt_tokens + answer_work * f.answer_tokens) / std::max(1.0, cost);
  }

  std::size_t index(const Arrived& a) const { return std::min<std::size_t>(a.route, s_.routes.size() - 1); }
  const ModelRoute& route(const Arrived& a) const { return s_.routes[index(a)]; }

  void tell_holding(bool held) {
    if (std::exchange(holding_, held) == held || (told_at_ && now_ - *told_at_ < Span::millis(2000))) return;
    told_at_ = now_;
    say(held ? "holding on: reads wait %.2f s, answers %.2f" : "holding off: reads wait %.2f s, answers %.2f",
        unseen_wait_, writers_wait_);
  }

  void say(const char* what, double a, double b, const EngineId* id = nullptr) {
    char text[128];
    std::snprintf(text, sizeof text, what, a, b);
    out_.push_back(Log{(id ? text_of(*id) + ' ' : "") + text});
  }

  const Settings s_;
  int fronts_, careful_fronts_;  // the latter for cold engines
  std::mt19937 random_;
  Span smallest_target_;
  Instant paces_at_, no_places_until_;
  std::optional<Instant> begun_at_, told_at_, asked_at_, budgets_end_;
  bool timer_set_ = false, asked_ = false, holding_ = false;
  double writers_wait_ = 0;  // what first tokens lately took after the read, within a rack
  double unseen_wait_ = 0;   // what reads lately took beyond what this front had booked there
  double far_extra_ = 0;     // what moves to another rack lately took longer than those within one
  double link_cost_ = 0;
  double ready_readers_ = 0, ready_writers_ = 0;      // engines, by the last list
  double repeats_ = repeats_least;                    // that may be sent now
  std::vector<std::set<std::uint8_t>> closed_zones_;  // by route
  LastFew links_{8}, far_moves_{8}, near_moves_{8}, waits_{16}, after_read_{samples_kept},
      read_times_{samples_kept}, read_sizes_{samples_kept}, homes_{bookings_kept};
  std::deque<TextKey> texts_;  // shared texts of the last arrivals
  double home_found_ = 0.5;    // of a prompt beyond its shared text, what its home was lately seen to keep
  std::map<std::uint8_t, Paces> paces_;
  std::set<EngineId> with_gaps_;  // engines that were once seen to be silent for a while
  std::deque<std::pair<EngineId, EngineId>> siblings_;
  std::vector<std::pair<double, const Candidate*>> near_;
  std::vector<std::pair<double, InfId>> line_;  // those that wait, most urgent first
  std::vector<Action> out_;
};

Router::Router(std::uint64_t seed, const Settings& settings)
    : desk_(std::make_unique<Desk>(seed, settings)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::handle(Instant now, const Event& event) { return desk_->handle(now, event); }
const State& Router::state() const { return desk_->state(); }

}  // namespace calicograde
