#include "emulator/world.hpp"

#include <algorithm>
#include <boost/math/distributions/lognormal.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <set>

#include "emulator/baseline.hpp"
#include "front/bounds.hpp"
#include "front/cases.hpp"
#include "halls/halls.hpp"
#include "keep/ageing.hpp"
#include "membership/membership.hpp"
#include "prefix/knowledge.hpp"
#include "routing/router.hpp"

namespace calicograde::emulator {
namespace {

constexpr Span way = Span::micros(200), events_way = Span::millis(5), roster_way = Span::millis(300),
               connect = Span::millis(250);
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
    std::exponential_distribution<double> gap(1);
    for (double t = 0; !s_.load.recorded && t < s_.length.seconds();) {
      t += gap(chance_) / rate_at(s_.load, t, s_.length.seconds());
      session(t);
    }
    if (s_.load.recorded) play_recorded(*s_.load.recorded);
    for (int k = 0; k < s_.restarts; ++k)
      later(Instant::at(s_.warm_up + (s_.length - s_.warm_up) * ((k + 0.5) / s_.restarts)),
            [this, k] { restart(k % s_.readers); });
    for (int k = 0; s_.lost_for > Span{} && k < s_.losses; ++k)
      later(Instant::at(s_.lost_at + s_.lost_for * (2 * k)), [this] { lose_hall(); });
    for (const auto& [at, count] : s_.active) later(Instant::at(at), [this, n = count] { change_fronts(n); });
    if (s_.front_restarts) later(Instant::at(*s_.front_restarts), [this] { restart_front(0); });
    if (s_.judge_halls || s_.caps || s_.tiers)
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
    Front(std::uint64_t seed, const Settings& given, const prefix::Limits& limits, bool tell,
          const halls::Rules& rules, const WorldShape& w, std::size_t number)
        : settings(given),
          router(seed, given),
          baseline(given),
          round_robin(w.round_robin),
          cases("f" + std::to_string(seed), given),
          knowledge(limits, given.kinds, {tell, false}),
          halls(rules, std::vector<std::string>(static_cast<std::size_t>(8), "hall"), 0, seed),
          membership(w.active.empty() ? w.fronts : w.active.front().second, {}),
          bounds(caps_of(w), spill_of(w), settings, caps_by_route(given), tiers_of(given, w, number),
                 std::vector<std::string>(static_cast<std::size_t>(w.halls), "hall")) {
      cases.offers({true, true});
    }
    std::vector<Action> handle(Instant now, const Event& e) {
      return round_robin ? baseline.handle(now, e) : router.handle(now, e);
    }
    static limits::CapRules caps_of(const WorldShape& w) {
      limits::CapRules r;
      r.on = w.caps, r.knee.by = w.caps_by;
      return r;
    }
    static limits::SpillRules spill_of(const WorldShape& w) {
      limits::SpillRules r;
      r.bound = w.spill_bound;
      return r;
    }
    static std::vector<limits::RouteCap> caps_by_route(const Settings& s) {
      std::vector<limits::RouteCap> out;
      for (const auto& r : s.routes) out.push_back({r.value, 0});
      return out;
    }
    // Fronts stand in the halls in turn, and prefer their own.
    static std::vector<limits::RouteTiers> tiers_of(const Settings& s, const WorldShape& w,
                                                    std::size_t number) {
      std::vector<limits::RouteTiers> out;
      const auto own = static_cast<std::uint8_t>(number % static_cast<std::size_t>(w.halls));
      std::set<std::uint8_t> others;
      for (std::uint8_t h = 0; h < w.halls; ++h)
        if (h != own) others.insert(h);
      for (const auto& r : s.routes) {
        out.push_back({r.value, {}});
        if (w.tiers) out.back().tiers = {{own}, others};
      }
      return out;
    }
    const Settings settings;
    Router router;
    RoundRobin baseline;
    const bool round_robin;
    front::Cases cases;
    prefix::Knowledge knowledge;
    halls::Halls halls;
    membership::Membership membership;
    front::Bounds bounds;
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
    if (s_.load.offer_share > 0) settings.routes[0].value = 2, settings.routes.push_back(r);
    settings.repeat_share = s_.repeats;
    settings.kinds = {{Stage::Read, static_cast<double>(s_.memory_blocks) * 64},
                      {Stage::Write, static_cast<double>(s_.memory_blocks) * 64}};
    settings.fronts = s_.active.empty() ? s_.fronts : s_.active.front().second, settings.may_cancel = true,
    settings.second_copies = true;
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
    settings_ = settings, limits_ = limits, rules_ = rules;
    for (int k = 0; k < s_.fronts; ++k) {
      fronts_.push_back(fresh_front(static_cast<std::size_t>(k), 0));
      tell_list(static_cast<std::size_t>(k));
    }
    weights_.resize(s_.load.openings);
    for (std::size_t k = 0; k < weights_.size(); ++k)
      weights_[k] = 1 / std::pow(static_cast<double>(k + 1), s_.load.zipf);
  }

  std::unique_ptr<Front> fresh_front(std::size_t k, std::uint64_t start) {
    return std::make_unique<Front>(s_.seed * 1000 + k + start * 1000003, settings_, limits_,
                                   s_.knows == Knows::Events, rules_, s_, k);
  }

  std::vector<prefix::Index::KeptRun> copy_of(const Front& f) {
    std::vector<prefix::Index::KeptRun> out;
    if (s_.front_keeps == WorldShape::Keeps::Nothing) return out;
    for (std::optional<std::size_t> from = 0; from;) from = f.knowledge.index().copy(*from, 256, out);
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.depth < b.depth; });
    for (const auto& b : boxes_) taken_[b.id] = f.knowledge.index().taken_in(b.id);
    return out;
  }

  // Others begin or cease to take work; each front hears of it in its own time.
  void change_fronts(int count) {
    active_ = static_cast<std::size_t>(count);
    for (std::size_t f = 0; f < fronts_.size(); ++f)
      later(now_ + s_.told_late * (static_cast<double>(f + 1) / static_cast<double>(fronts_.size())),
            [this, f, count] {
              fronts_[f]->membership.roster(now_, count, true);
              count_fronts(f);
            });
  }
  void count_fronts(std::size_t f) {
    Front& fr = *fronts_[f];
    const int careful = fr.membership.count(now_).first, present = fr.membership.present();
    fr.knowledge.fronts(present), feed(f, FrontsCounted{present, careful});
    if (now_ - Instant{} < s_.length) later(now_ + Span::millis(1000), [this, f] { count_fronts(f); });
  }

  // Killed and started again: it knows nothing, and what it had in work is its clients' to try again.
  void restart_front(std::size_t f) {
    const auto kept = copy_of(*fronts_[f]);
    fronts_[f] = fresh_front(f, ++starts_);
    for (auto it = sent_.begin(); it != sent_.end();) {
      if (it->second.front != f) {
        ++it;
        continue;
      }
      const std::size_t box = it->second.box;
      boxes_[box].engine.cancel(now_, it->first);
      started_.erase(it->first);
      it = sent_.erase(it);
      listen(box);
    }
    std::vector<InfId> lost;
    for (const auto& [id, inf] : infs_)
      if (inf.front == f && !inf.over) lost.push_back(id);
    for (const InfId id : lost) over(f, id, Span::millis(100), row(id).outcome != 0);
    tell_list(f);
    // As front/core does with what it finds: by the rate at which each engine took in before.
    const double over_s = std::max(1.0, (now_ - Instant{}).seconds());
    for (auto run : kept) {
      for (auto& part : run.kept) {
        const auto box = by_id_.at(part.engine);
        const keep::EngineMemory engine{"", std::to_string(boxes_[box].life),
                                        taken_.at(part.engine) / over_s};
        part.distance += keep::more_distance(engine, engine.incarnation, s_.away).value_or(1e12);
        if (s_.front_keeps == WorldShape::Keeps::Lies)
          part.engine = boxes_[(box + 1) % static_cast<std::size_t>(s_.readers)].id;
      }
      fronts_[f]->knowledge.restore(run);
    }
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
        Front& fr = *fronts_[f];
        fr.cases.listed(t->list), fr.knowledge.listed(t->list), fr.bounds.listed(t->list);
        for (int h = 0; h < s_.halls; ++h)
          fr.bounds.hall(now_, static_cast<std::uint8_t>(h), fr.halls.state(static_cast<std::uint8_t>(h)));
        feed(f, t->list);
      } else if (const auto* l = std::get_if<halls::Look>(&step)) {
        later(now_ + way, [this, f, id = l->engine] {
          const bool down = boxes_[by_id_.at(id)].down;
          judge(f, fronts_[f]->halls.met(now_, id,
                                         !down            ? halls::Sign::Answered
                                         : s_.lost_silent ? halls::Sign::Silent
                                                          : halls::Sign::Refused));
        });
      }
    }
  }
  void tell_bounds(std::size_t f) {
    fronts_[f]->bounds.take_notes();
    for (const Event& e : fronts_[f]->bounds.take_events()) feed(f, e);
  }
  void hall_tick(std::size_t f) {
    judge(f, fronts_[f]->halls.tick(now_));
    fronts_[f]->bounds.tick(now_);
    tell_bounds(f);
    if (now_ - Instant{} < s_.length) later(now_ + Span::millis(100), [this, f] { hall_tick(f); });
  }

  // The whole hall goes dark at once, and the roster says nothing of it; it comes back cold, which each front
  // hears at another time.
  void lose_hall() {
    const auto hall = static_cast<std::uint8_t>(s_.halls - 1);
    for (std::size_t k = 0; k < boxes_.size(); ++k)
      if (hall_of(k) == hall) boxes_[k].down = true, restart(static_cast<int>(k), false);
    later(now_ + s_.lost_for, [this, hall] {
      std::size_t of_it = 0;
      const double halls = s_.halls, all = static_cast<double>(boxes_.size()) / halls;
      for (std::size_t k = 0; k < boxes_.size(); ++k)
        if (hall_of(k) == hall && static_cast<double>(of_it++) < s_.back_share * all)
          boxes_[k].down = false, boxes_[k].started = now_, boxes_[k].engine.restart(now_);
      for (std::size_t f = 0; f < fronts_.size(); ++f)
        later(now_ + s_.told_late * (static_cast<double>(f + 1) / static_cast<double>(fronts_.size())),
              [this, f] { tell_list(f); });
    });
  }

  void restart(int k, bool told = true) {
    Box& b = boxes_[static_cast<std::size_t>(k)];
    ++b.life, b.started = now_, b.wakes.reset(), b.sends.clear();
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
    std::uint16_t route = 0;
  };

  struct Inf {
    std::shared_ptr<const prefix::Chain> chain;
    std::uint32_t answer_tokens = 1;
    std::shared_ptr<Session> session;
    std::size_t front = 0;
    bool over = false;
    InfId row = 0;  // of its client's first try
    int retries = 0;
  };
  static void open_with(Session& s, std::uint64_t opening, double opening_tokens) {
    const auto blocks = static_cast<std::size_t>(opening_tokens / 64 + 1);
    for (std::size_t k = 0; k < blocks; ++k)
      s.chain.push_back(mix(s.chain.empty() ? 77 + opening * 131 : s.chain.back(), k));
    s.opening_blocks = static_cast<double>(blocks), s.opening = mix(opening, 5);
  }

  // Each row when it was recorded, whatever became of those before it.
  void play_recorded(const std::vector<Arrival>& rows) {
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions;
    for (const Arrival& a : rows) {
      auto& s = sessions[a.session];
      if (!s) {
        s = std::make_shared<Session>();
        open_with(*s, a.opening, a.opening_tokens);
        s->key = s->words = mix(a.session + 1, 77);
      }
      later(Instant::at(Span::from_seconds(a.at_s)), [this, s = s, a] {
        arrive(s, a.turn_tokens, static_cast<std::uint32_t>(std::max(1.0, a.answer_tokens)));
      });
    }
  }

  void session(double t) {
    auto s = std::make_shared<Session>();
    std::discrete_distribution<std::size_t> which(weights_.begin(), weights_.end());
    const std::uint64_t opening = which(chance_);
    open_with(*s, opening, opening_length(s_.load, opening, s_.seed));
    s->key = mix(chance_(), chance_()), s->words = s->key;
    if (s_.load.offer_share > 0 && std::uniform_real_distribution<double>()(chance_) < s_.load.offer_share)
      s->route = 1;
    if (s->route == 0)
      s->turns = 1 + std::geometric_distribution<int>(1 / std::max(1.0, s_.load.turns))(chance_);
    later(Instant::at(Span::from_seconds(t)), [this, s] { turn(s); });
  }

  void turn(const std::shared_ptr<Session>& s) {
    if (now_ - Instant{} > s_.length) return;
    const double more = tokens(s_.load.turn_tokens);
    arrive(s, more, 0);
  }

  // `answer`: its tokens; 0 = by the load's figures.
  void arrive(const std::shared_ptr<Session>& s, double turn_tokens, std::uint32_t answer) {
    const auto more = static_cast<std::size_t>(turn_tokens / 64 + 1);
    for (std::size_t k = 0; k < more; ++k) s->chain.push_back(mix(s->chain.back(), s->words++));
    const InfId inf = next_inf_++;
    if (answer == 0) answer = static_cast<std::uint32_t>(tokens(s_.load.answer_tokens));
    Row& r = rows_[inf];
    r.at_s = (now_ - Instant{}).seconds(), r.prompt_tokens = static_cast<double>(s->chain.size()) * 64;
    r.outcome = 2, r.value = settings_.routes[s->route].value;
    ask({std::make_shared<const prefix::Chain>(s->chain), answer, s, 0, false, inf, s_.load.retries}, inf);
  }

  // One try of a client.
  void ask(Inf what, InfId inf) {
    const std::size_t f = chance_() % (active_ > 0 ? active_ : fronts_.size());
    what.front = f;
    const Session& s = *what.session;
    const auto chain = what.chain;
    Arrived a;
    a.inf = inf, a.route = s.route, a.session = s.key, a.shared_text = s.opening, a.budget = s_.timeout;
    a.prompt_tokens = static_cast<double>(chain->size()) * 64, a.shared_tokens = s.opening_blocks * 64;
    a.max_answer_tokens = 4 * s_.load.answer_tokens;
    Row& r = rows_[what.row];
    r.best_tokens = 0;
    std::map<EngineId, double> truth;
    for (auto& b : boxes_)
      if (b.reads)
        if (const auto n = b.engine.kept(*chain); n > 0)
          truth[b.id] = n * 64.0, r.best_tokens = std::max(r.best_tokens, n * 64.0);
    Front& fr = *fronts_[f];
    if (s_.knows == Knows::Sends || s_.knows == Knows::Events) fr.knowledge.arrived(a, chain);
    if (s_.knows == Knows::Perfect) a.kept = truth, a.kept_surely = true;
    if (s_.knows == Knows::Nothing) a.kept.emplace(), a.kept_surely = true;
    infs_[inf] = std::move(what);
    fr.bounds.arrived(now_, a);
    tell_bounds(f);
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
      fr.cases.obey(now_, fr.handle(now_, e), more);
      for (auto& m : more) events.push_back(std::move(m));
      for (auto& m : fr.bounds.take_events()) events.push_back(std::move(m));
      for (auto& o : fr.cases.take_orders()) carry_out(f, o);
    }
  }

  void carry_out(std::size_t f, const front::Order& order) {
    if (const auto* s = std::get_if<front::StartSend>(&order)) {
      const auto box = by_id_.at(s->engine);
      const JobId job = next_job_++;
      const auto& inf = infs_.at(s->inf);
      fronts_[f]->bounds.sent(now_, s->inf, s->engine);
      Sent sent{f, s->inf, s->send, box, boxes_[box].life, s->name, s->leg};
      Job j{job, s->leg == engines::Leg::Read ? Job::Kind::Read : Job::Kind::Write, inf.chain,
            inf.answer_tokens, s->state.empty() ? 0 : std::stoull(s->state)};
      sent_[job] = sent, jobs_[s->name] = job;
      state_box_[job] = box;
      row(s->inf).push = std::max(row(s->inf).push, pushed(boxes_[box]));
      later(now_ + way, [this, job, j, box] {
        if (!sent_.contains(job)) return;
        if (boxes_[box].down) {
          // Refused at once; or, where its links are cut, silent until the time for connections ends.
          return later(s_.lost_silent ? now_ + connect : now_, [this, job] {
            if (!sent_.contains(job)) return;
            const Sent gone = sent_.at(job);
            sent_.erase(job);
            ended(gone, EndedAs::ConnectFailed);
          });
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
      if (infs_.contains(a->inf)) row(a->inf).outcome = a->shed ? 1 : 2;
      over(f, a->inf, std::max(a->retry_after, Span::millis(100)), true);
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
    // What is refused pushes nobody (found when sends of the warm engine before a loss, and those refused
    // after it, were counted against the cold one).
    if (b.down) return 0;
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
      judge(s.front, fronts_[s.front]->halls.met(
                         now_, boxes_[s.box].id,
                         as == EndedAs::ConnectFailed ? (s_.lost_silent ? H::Silent : H::Refused)
                         : as == EndedAs::Reset || as == EndedAs::TimedOut ? H::Broken
                                                                           : H::Answered));
    front::Ending e;
    e.as = as, e.state = std::move(state), e.kept_tokens = found, e.no_state = no_state;
    if (auto event = fronts_[s.front]->cases.ended(now_, s.inf, s.send, e)) feed(s.front, *event);
    fronts_[s.front]->cases.tidy(s.inf);
    for (auto& o : fronts_[s.front]->cases.take_orders()) carry_out(s.front, o);
  }

  // `failed`: its client tries again after a while, if it does so at all.
  void over(std::size_t f, InfId inf, Span back = {}, bool failed = false) {
    fronts_[f]->knowledge.over(inf);
    fronts_[f]->bounds.over(now_, inf);
    const auto it = infs_.find(inf);
    if (it == infs_.end() || it->second.over) return;
    it->second.over = true;
    if (failed && it->second.retries > 0) {
      Inf again = it->second;
      again.over = false, --again.retries;
      later(now_ + back, [this, again] { ask(again, next_inf_++); });
      return;
    }
    // The next turn comes after a while, whatever became of this one.
    const auto s = it->second.session;
    if (--s->turns > 0)
      later(now_ + Span::from_seconds(std::exponential_distribution<double>(1 / s_.load.think_s)(chance_)),
            [this, s] { turn(s); });
  }
  Row& row(InfId inf) { return rows_[infs_.at(inf).row]; }

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
    if (Row& r = row(s.inf); r.first_token_ms == 0) r.found_tokens = found;
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
      later(now_ + way, [this, s] {
        Row& r = row(s.inf);
        if (r.first_token_ms == 0)
          r.first_token_ms = (now_ - Instant{}).as_millis() - r.at_s * 1000, r.outcome = 0;
        if (auto e = fronts_[s.front]->cases.started(now_, s.inf, s.send))
          fronts_[s.front]->bounds.started(now_, s.inf), feed(s.front, *e);
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
  Settings settings_;
  prefix::Limits limits_;
  halls::Rules rules_;
  std::uint64_t starts_ = 0;
  std::size_t active_ = 0;  // 0 = all
  std::map<EngineId, double> taken_;
};

}  // namespace

std::vector<Row> simulate(const WorldShape& shape) { return World(shape).run(); }

}  // namespace calicograde::emulator
