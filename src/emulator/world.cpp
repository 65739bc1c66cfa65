#include "emulator/world.hpp"

#include <algorithm>
#include <boost/math/distributions/lognormal.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <set>

#include "front/cases.hpp"
#include "halls/halls.hpp"
#include "prefix/knowledge.hpp"
#include "routing/router.hpp"

namespace calicograde::emulator {
namespace {

constexpr Span way = Span::micros(200), events_way = Span::millis(5), roster_way = Span::millis(300);
constexpr double min_tokens = 64;
constexpr Span fall = Span::millis(1500);
constexpr double fall_multiple = 2.5, usual_context = 3000;

std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  a = (a ^ b) * 0x9E3779B97F4A7C15ULL;
  return (a ^ (a >> 29)) | 1;
}

class World {
 public:
  explicit World(const WorldShape& s) : s_(s), chance_(static_cast<std::uint32_t>(s.seed)) { build(); }

  std::vector<Row> run() {
    const double rate = s_.load.sessions_a_s;
    std::exponential_distribution<double> gap(1);
    for (double t = 0; t < s_.length.seconds();) {
      const bool burst = s_.load.burst_s > 0 && std::fmod(t, 30.0) < s_.load.burst_s;
      t += gap(chance_) / (rate * (burst ? s_.load.burst : 1));
      session(t);
    }
    for (int k = 0; k < s_.restarts; ++k)
      later(Instant::at(s_.warm_up + (s_.length - s_.warm_up) * ((k + 0.5) / s_.restarts)),
            [this, k] { restart(k % s_.readers); });
    if (s_.lost_for > Span{}) later(Instant::at(s_.lost_at), [this] { lose_hall(); });
    if (s_.judge_halls)
      for (std::size_t f = 0; f < fronts_.size(); ++f)
        later(Instant::at(Span::millis(static_cast<std::int64_t>(f) % 100)), [this, f] { hall_tick(f); });
    const Instant end = Instant::at(s_.length + s_.timeout);
    while (!todo_.empty() && todo_.top().at <= end) {
      const Todo next = todo_.top();
      todo_.pop();
      now_ = next.at;
      next.what();
    }
    std::vector<Row> out;
    for (auto& [id, r] : rows_)
      if (r.at_s >= s_.warm_up.seconds() && r.prompt_tokens > 0) out.push_back(r);
    return out;
  }

 private:
  struct Todo {
    Instant at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Todo& o) const { return std::pair{o.at, o.order} < std::pair{at, order}; }
  };
  struct Front {
    Front(std::uint64_t seed, const Settings& settings, const prefix::Limits& limits, bool tell,
          const halls::Rules& rules)
        : router(seed, settings),
          cases("f" + std::to_string(seed), settings),
          knowledge(limits, settings.kinds, {tell, false}),
          halls(rules, std::vector<std::string>(static_cast<std::size_t>(8), "hall"), 0, seed) {}
    Router router;
    front::Cases cases;
    prefix::Knowledge knowledge;
    halls::Halls halls;
  };
  struct Box {
    Engine engine;
    EngineId id;
    bool reads = false;
    std::uint64_t life = 0;
    std::optional<Instant> wakes;
    std::optional<Instant> started;
    bool down = false;
    std::deque<Instant> sends;  // in the window of rule 4
  };
  struct Sent {
    std::size_t front = 0;
    InfId inf = 0;
    std::uint8_t send = 0;
    std::size_t box = 0;
    std::uint64_t life = 0;
    std::string name;
    engines::Leg leg = engines::Leg::Read;
  };

  void later(Instant at, std::function<void()> what) {
    todo_.push({std::max(at, now_), order_++, std::move(what)});
  }

  void build() {
    Settings settings;
    ModelRoute r;
    r.first_token_target = s_.first_token_target, r.token_pace = Span::millis(20), r.value = 1,
    r.late_value = 0.2;
    settings.routes = {r};
    settings.kinds = {{Stage::Read, static_cast<double>(s_.memory_blocks) * 64},
                      {Stage::Write, static_cast<double>(s_.memory_blocks) * 64}};
    settings.fronts = s_.fronts, settings.may_cancel = true, settings.second_copies = true;
    settings.retry_advice = true, settings.max_sends = 6, settings.max_retry_after = Span::millis(1000);
    settings.pin_limit = Span::millis(500), settings.cold = Span::millis(12000), settings.cold_from = 0.25;
    settings.fall_multiple = fall_multiple, settings.fall = fall, settings.link_idle = Span::millis(15000);
    prefix::Limits limits;
    limits.blocks = s_.index_blocks, limits.fronts = s_.fronts;
    for (int k = 0; k < s_.readers + s_.writers; ++k) {
      Shape shape;
      shape.stage = k < s_.readers ? Stage::Read : Stage::Write;
      shape.blocks = s_.memory_blocks;
      shape.events = s_.knows == Knows::Events && k < s_.readers;
      boxes_.push_back({Engine(shape),
                        {{10, 0, static_cast<std::uint8_t>(k / 250), static_cast<std::uint8_t>(k % 250)}, 80},
                        k < s_.readers,
                        0,
                        {},
                        {},
                        false,
                        {}});
      by_id_[boxes_.back().id] = boxes_.size() - 1;
    }
    halls::Rules rules;
    rules.on = s_.judge_halls;
    for (int k = 0; k < s_.fronts; ++k) {
      fronts_.push_back(std::make_unique<Front>(s_.seed * 1000 + static_cast<std::uint64_t>(k), settings,
                                                limits, s_.knows == Knows::Events, rules));
      fronts_.back()->cases.offers({true, true});
      tell_list(static_cast<std::size_t>(k));
    }
    weights_.resize(s_.load.openings);
    for (std::size_t k = 0; k < weights_.size(); ++k)
      weights_[k] = 1 / std::pow(static_cast<double>(k + 1), s_.load.zipf);
  }

  void tell_list(std::size_t f) {
    FleetListed list;
    list.scope = ListScope::Full, list.version = ++version_;
    for (std::size_t k = 0; k < boxes_.size(); ++k) {
      EngineEntry e;
      e.engine = boxes_[k].id, e.kind = boxes_[k].reads ? 0 : 1, e.started = boxes_[k].started;
      e.rack = static_cast<std::uint16_t>(k % static_cast<std::size_t>(s_.racks));
      e.zone = hall_of(k);
      list.entries.push_back(e);
    }
    judge(f, fronts_[f]->halls.listed(now_, list));
  }
  std::uint8_t hall_of(std::size_t k) const {
    return static_cast<std::uint8_t>(k % static_cast<std::size_t>(s_.halls));
  }

  void judge(std::size_t f, const std::vector<halls::Step>& steps) {
    for (const auto& step : steps) {
      if (const auto* t = std::get_if<halls::Tell>(&step)) {
        fronts_[f]->cases.listed(t->list), fronts_[f]->knowledge.listed(t->list);
        feed(f, t->list);
      } else if (const auto* l = std::get_if<halls::Look>(&step)) {
        later(now_ + way, [this, f, id = l->engine] {
          const bool down = boxes_[by_id_.at(id)].down;
          judge(f, fronts_[f]->halls.met(now_, id, down ? halls::Sign::Refused : halls::Sign::Answered));
        });
      }
    }
  }
  void hall_tick(std::size_t f) {
    judge(f, fronts_[f]->halls.tick(now_));
    if (now_ - Instant{} < s_.length) later(now_ + Span::millis(100), [this, f] { hall_tick(f); });
  }

  // The whole hall goes dark at once, and the roster says nothing of it; it comes back cold, which each front
  // hears at another time.
  void lose_hall() {
    const auto hall = static_cast<std::uint8_t>(s_.halls - 1);
    for (std::size_t k = 0; k < boxes_.size(); ++k)
      if (hall_of(k) == hall) boxes_[k].down = true, restart(static_cast<int>(k), false);
    later(now_ + s_.lost_for, [this, hall] {
      for (std::size_t k = 0; k < boxes_.size(); ++k)
        if (hall_of(k) == hall)
          boxes_[k].down = false, boxes_[k].started = now_, boxes_[k].engine.restart(now_);
      for (std::size_t f = 0; f < fronts_.size(); ++f)
        later(now_ + s_.told_late * (static_cast<double>(f + 1) / static_cast<double>(fronts_.size())),
              [this, f] { tell_list(f); });
    });
  }

  void restart(int k, bool told = true) {
    Box& b = boxes_[static_cast<std::size_t>(k)];
    ++b.life, b.started = now_, b.wakes.reset();
    b.engine.restart(now_);
    // Its connections break at once; the roster tells later.
    std::vector<Sent> lost;
    for (auto it = sent_.begin(); it != sent_.end();)
      if (it->second.box == static_cast<std::size_t>(k)) lost.push_back(it->second), it = sent_.erase(it);
      else ++it;
    for (const Sent& s : lost) ended(s, EndedAs::Reset);
    for (std::size_t f = 0; told && f < fronts_.size(); ++f)
      later(now_ + roster_way, [this, f] { tell_list(f); });
  }

  // ---- load

  double tokens(double median) {
    const boost::math::lognormal_distribution<double> d(std::log(median), s_.load.spread);
    return std::max(min_tokens,
                    boost::math::quantile(d, std::uniform_real_distribution<double>(0.001, 0.999)(chance_)));
  }

  struct Session {
    prefix::Chain chain;
    std::uint64_t words = 0;
    double opening_blocks = 0;
    TextKey key = 0, opening = 0;
    int turns = 1;
  };

  void session(double t) {
    auto s = std::make_shared<Session>();
    std::discrete_distribution<std::size_t> which(weights_.begin(), weights_.end());
    const std::uint64_t opening = which(chance_);
    // The opening's length is the same for all who share it.
    std::mt19937 own(static_cast<std::uint32_t>(s_.seed * 7919 + opening));
    const boost::math::lognormal_distribution<double> d(std::log(s_.load.opening_tokens), s_.load.spread);
    const auto blocks = static_cast<std::size_t>(
        boost::math::quantile(d, std::uniform_real_distribution<double>(0.05, 0.95)(own)) / 64 + 1);
    for (std::size_t k = 0; k < blocks; ++k)
      s->chain.push_back(mix(s->chain.empty() ? 77 + opening * 131 : s->chain.back(), k));
    s->opening_blocks = static_cast<double>(blocks), s->opening = mix(opening, 5);
    s->key = mix(chance_(), chance_()), s->words = s->key;
    s->turns = 1 + std::geometric_distribution<int>(1 / std::max(1.0, s_.load.turns))(chance_);
    later(Instant::at(Span::from_seconds(t)), [this, s] { turn(s); });
  }

  void turn(const std::shared_ptr<Session>& s) {
    if (now_ - Instant{} > s_.length) return;
    const auto more = static_cast<std::size_t>(tokens(s_.load.turn_tokens) / 64 + 1);
    for (std::size_t k = 0; k < more; ++k) s->chain.push_back(mix(s->chain.back(), s->words++));
    const InfId inf = next_inf_++;
    const std::size_t f = chance_() % fronts_.size();
    Arrived a;
    a.inf = inf, a.session = s->key, a.shared_text = s->opening, a.budget = s_.timeout;
    a.prompt_tokens = static_cast<double>(s->chain.size()) * 64, a.shared_tokens = s->opening_blocks * 64;
    a.max_answer_tokens = 4 * s_.load.answer_tokens;
    const auto chain = std::make_shared<const prefix::Chain>(s->chain);
    Row& row = rows_[inf];
    row.at_s = (now_ - Instant{}).seconds(), row.prompt_tokens = a.prompt_tokens, row.outcome = 2;
    std::map<EngineId, double> truth;
    for (auto& b : boxes_)
      if (b.reads)
        if (const auto n = b.engine.kept(*chain); n > 0)
          truth[b.id] = n * 64.0, row.best_tokens = std::max(row.best_tokens, n * 64.0);
    Front& fr = *fronts_[f];
    if (s_.knows == Knows::Sends || s_.knows == Knows::Events) fr.knowledge.arrived(a, chain);
    if (s_.knows == Knows::Perfect) a.kept = truth, a.kept_surely = true;
    if (s_.knows == Knows::Nothing) a.kept.emplace(), a.kept_surely = true;
    infs_[inf] = {chain, static_cast<std::uint32_t>(tokens(s_.load.answer_tokens)), s, f};
    if (auto e = fr.cases.take(now_, a)) feed(f, *e);
  }

  // ---- a front

  void feed(std::size_t f, const Event& first) {
    std::deque<Event> events{first};
    Front& fr = *fronts_[f];
    for (int steps = 0; !events.empty() && steps < 1000; ++steps) {
      const Event e = std::move(events.front());
      events.pop_front();
      std::vector<Event> more;
      fr.cases.obey(now_, fr.router.handle(now_, e), more);
      for (auto& m : more) events.push_back(std::move(m));
      for (auto& o : fr.cases.take_orders()) carry_out(f, o);
    }
  }

  void carry_out(std::size_t f, const front::Order& order) {
    if (const auto* s = std::get_if<front::StartSend>(&order)) {
      const auto box = by_id_.at(s->engine);
      const JobId job = next_job_++;
      const auto& inf = infs_.at(s->inf);
      Sent sent{f, s->inf, s->send, box, boxes_[box].life, s->name, s->leg};
      Job j{job, s->leg == engines::Leg::Read ? Job::Kind::Read : Job::Kind::Write, inf.chain,
            inf.answer_tokens, s->state.empty() ? 0 : std::stoull(s->state)};
      sent_[job] = sent, jobs_[s->name] = job;
      state_box_[job] = box;
      rows_[s->inf].push = std::max(rows_[s->inf].push, pushed(boxes_[box]));
      later(now_ + way, [this, job, j, box] {
        if (!sent_.contains(job)) return;
        if (boxes_[box].down) {
          const Sent gone = sent_.at(job);
          sent_.erase(job);
          return ended(gone, EndedAs::ConnectFailed);
        }
        boxes_[box].engine.submit(now_, j), listen(box);
      });
      later(s->until, [this, job] {
        if (const auto it = sent_.find(job); it != sent_.end() && !started_.contains(job)) {
          const Sent gone = it->second;
          sent_.erase(it);
          boxes_[gone.box].engine.cancel(now_, job), listen(gone.box);
          ended(gone, EndedAs::TimedOut);
        }
      });
    } else if (const auto* x = std::get_if<front::StopSend>(&order)) {
      for (auto it = sent_.begin(); it != sent_.end(); ++it)
        if (it->second.front == f && it->second.inf == x->inf && it->second.send == x->send) {
          const Sent gone = it->second;
          const JobId job = it->first;
          sent_.erase(it);
          boxes_[gone.box].engine.cancel(now_, job), listen(gone.box);
          later(now_, [this, gone] { ended(gone, EndedAs::Cancelled); });
          break;
        }
    } else if (const auto* l = std::get_if<front::Release>(&order)) {
      if (const auto it = jobs_.find(l->name); it != jobs_.end()) {
        const auto box = state_box_.at(it->second);
        boxes_[box].engine.take_state(now_, it->second), listen(box);
      }
    } else if (const auto* a = std::get_if<front::Answer>(&order)) {
      if (const auto it = rows_.find(a->inf); it != rows_.end()) it->second.outcome = a->shed ? 1 : 2;
      over(f, a->inf);
    } else if (const auto* t = std::get_if<front::ArmTimer>(&order)) {
      later(now_ + t->in, [this, f, token = t->token] { feed(f, TimerFired{token}); });
    }
  }

  // Answers a second of a warm writer whose places are all taken, by the formula of a step.
  double writes_a_second(const Shape& shape) const {
    const auto n = static_cast<double>(shape.running);
    const double step =
        shape.step_ms + n * shape.stream_us / 1e3 + n * usual_context * shape.context_ns / 1e6;
    const double answer = s_.load.answer_tokens * std::exp(s_.load.spread * s_.load.spread / 2);
    return n / (answer * step / 1e3);
  }
  // What an engine bears: the multiple of what it can do just now, and three more.
  double pushed(Box& b) {
    const Shape& shape = b.engine.shape();
    b.sends.push_back(now_);
    while (now_ - b.sends.front() > fall) b.sends.pop_front();
    if (!b.started || now_ - *b.started >= shape.cold) return 0;
    const double share = shape.cold_from + (1 - shape.cold_from) * ((now_ - *b.started) / shape.cold);
    const double a_second = b.reads ? 1e6 / shape.read_us / std::max(64.0, unread_ / std::max(1.0, reads_))
                                    : writes_a_second(shape);
    return static_cast<double>(b.sends.size()) / (fall_multiple * share * a_second * fall.seconds() + 3);
  }

  void ended(const Sent& s, EndedAs as, std::string state = {}, std::uint32_t found = 0,
             bool no_state = false) {
    using H = halls::Sign;
    if (as != EndedAs::Cancelled && as != EndedAs::Moot)
      judge(s.front,
            fronts_[s.front]->halls.met(now_, boxes_[s.box].id,
                                        as == EndedAs::ConnectFailed                      ? H::Refused
                                        : as == EndedAs::Reset || as == EndedAs::TimedOut ? H::Broken
                                                                                          : H::Answered));
    front::Ending e;
    e.as = as, e.state = std::move(state), e.kept_tokens = found, e.no_state = no_state;
    if (auto event = fronts_[s.front]->cases.ended(now_, s.inf, s.send, e)) feed(s.front, *event);
    fronts_[s.front]->cases.tidy(s.inf);
    for (auto& o : fronts_[s.front]->cases.take_orders()) carry_out(s.front, o);
  }

  void over(std::size_t f, InfId inf) {
    fronts_[f]->knowledge.over(inf);
    // The next turn comes after a while, whatever became of this one.
    const auto it = infs_.find(inf);
    if (it == infs_.end() || it->second.over) return;
    it->second.over = true;
    const auto s = it->second.session;
    if (--s->turns > 0)
      later(now_ + Span::from_seconds(std::exponential_distribution<double>(1 / s_.load.think_s)(chance_)),
            [this, s] { turn(s); });
  }

  // ---- an engine

  // Hears what it said, and sets its next wake.
  void listen(std::size_t k) {
    Box& b = boxes_[k];
    for (auto& [at, said] : b.engine.take()) std::visit([&](const auto& x) { on(k, x); }, said);
    for (auto& e : b.engine.take_events())
      for (std::size_t f = 0; f < fronts_.size(); ++f)
        later(now_ + events_way, [this, f, id = b.id, life = b.life, k, e] {
          if (boxes_[k].life == life && !fronts_[f]->knowledge.heard(id, e)) resync(f, k);
        });
    const auto next = b.engine.next();
    if (!next || (b.wakes && *b.wakes <= *next && *b.wakes > now_)) return;
    b.wakes = next;
    later(*next, [this, k, life = b.life, at = *next] {
      if (boxes_[k].life != life || boxes_[k].wakes != at) return;
      boxes_[k].wakes.reset();
      boxes_[k].engine.advance(now_);
      listen(k);
    });
  }
  // What is kept is told again by what is read; a gap costs knowledge until then.
  void resync(std::size_t f, std::size_t k) {
    fronts_[f]->knowledge.synced(boxes_[k].id, boxes_[k].engine.next_event(), {});
  }

  void on(std::size_t, const ReadDone& d) {
    const auto it = sent_.find(d.job);
    if (it == sent_.end()) return;
    const Sent s = it->second;
    if (s.leg != engines::Leg::Read) return;
    sent_.erase(it);
    const auto found = d.found * 64u;
    unread_ += static_cast<double>(infs_.at(s.inf).chain->size()) * 64 - found, ++reads_;
    Row& row = rows_[s.inf];
    if (row.first_token_ms == 0) row.found_tokens = found;
    later(now_ + way, [this, s, found, job = d.job] {
      fronts_[s.front]->knowledge.read(s.inf, boxes_[s.box].id, found);
      ended(s, EndedAs::ReadDone, std::to_string(job), found);
    });
  }
  void on(std::size_t k, const WantState& w) {
    const auto from = state_box_.find(w.state);
    bool there = false;
    if (from != state_box_.end() && from->second != k) {
      there = boxes_[from->second].engine.take_state(now_, w.state);
      const auto reader = from->second;
      later(now_, [this, reader] { listen(reader); });
    }
    later(now_, [this, k, job = w.job, there] { boxes_[k].engine.state(now_, job, there), listen(k); });
  }
  void on(std::size_t, const Token& t) {
    const auto it = sent_.find(t.job);
    if (it == sent_.end()) return;
    const Sent s = it->second;
    if (t.first) {
      started_.insert(t.job);
      Row& row = rows_[s.inf];
      later(now_ + way, [this, s, &row] {
        if (row.first_token_ms == 0)
          row.first_token_ms = (now_ - Instant{}).as_millis() - row.at_s * 1000, row.outcome = 0;
        if (auto e = fronts_[s.front]->cases.started(now_, s.inf, s.send)) feed(s.front, *e);
      });
    }
    if (!t.last) return;
    sent_.erase(it), started_.erase(t.job);
    later(now_ + way, [this, s] {
      ended(s, EndedAs::Completed);
      over(s.front, s.inf);
    });
  }
  void on(std::size_t, const Refused& r) {
    const auto it = sent_.find(r.job);
    if (it == sent_.end()) return;
    const Sent s = it->second;
    sent_.erase(it);
    later(now_ + way, [this, s, gone = r.state_gone] { ended(s, EndedAs::Full, {}, 0, gone); });
  }

  struct Inf {
    std::shared_ptr<const prefix::Chain> chain;
    std::uint32_t answer_tokens = 1;
    std::shared_ptr<Session> session;
    std::size_t front = 0;
    bool over = false;
  };
  const WorldShape s_;
  std::mt19937 chance_;
  Instant now_;
  std::priority_queue<Todo> todo_;
  std::uint64_t order_ = 0, version_ = 0;
  std::vector<Box> boxes_;
  std::map<EngineId, std::size_t> by_id_;
  std::vector<std::unique_ptr<Front>> fronts_;
  std::vector<double> weights_;
  std::map<InfId, Inf> infs_;
  std::map<InfId, Row> rows_;
  std::map<JobId, Sent> sent_;
  std::set<JobId> started_;
  std::map<std::string, JobId> jobs_;
  std::map<JobId, std::size_t> state_box_;
  double unread_ = 0, reads_ = 0;
  InfId next_inf_ = 1;
  JobId next_job_ = 1;
};

}  // namespace

std::vector<Row> simulate(const WorldShape& shape) { return World(shape).run(); }

}  // namespace calicograde::emulator
