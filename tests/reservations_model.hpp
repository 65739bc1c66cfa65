#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "routing/reservations.hpp"

// A bounded model check: every interleaving of what can happen to one request, with the real Reservations (or
// another set of rules) deciding when everything is released. What engines really hold is kept beside it, and
// no message of theirs is believed before it has been heard.
namespace calicograde::test {

constexpr int ticks_a_limit = 5;
constexpr Span tick_length = Span::millis(100);
constexpr Span model_limit = Span::millis(100 * ticks_a_limit);

struct Bounds {
  int ticks = 9;               // that pass
  int reads = 2, decodes = 1;  // that may be ordered
  bool places = true, late_grants = true, answers_lost = true;
  bool granted_places = true, unknown_places = true;  // 200; and 204, held all the same
  bool reads_taken_at_once = false, client_leaves = true;
  // Another call of the read's engine is answered though a silent connection has swallowed the read.
  bool reads_swallowed = false;
  std::size_t most_states = 3'000'000;
};

// A call's way: to the kernel of the engine's machine, to the engine, and back.
enum class Call : std::uint8_t {
  None,
  Written,        // it lies in the kernel
  Taken,          // the engine works on it
  AnswerWritten,  // not heard yet
  Streaming,      // of a decode attempt: its first token was heard
  Abandoned,      // given up while it lay in the kernel: the engine may take it later
  EndSent,        // of a decode attempt: given up, and its engine has not heard of it; it waits on
  EndArrived,     // of a decode attempt: its engine has heard of its end, and that was not heard here
  LateAnswer,     // of one that had been abandoned; not heard yet
  Over
};

template <class Rules>
struct ModelState {
  Rules rules;
  int now = 0;
  bool client_left = false;
  std::vector<Call> reads, decodes;
  Call place = Call::None, release = Call::None;
  bool place_unknown = false, place_refused = false, state_known = false, no_state = false;
  // What engines hold, and since when; and when an attempt that had arrived ended last.
  std::vector<std::optional<int>> states_held;
  std::optional<int> place_held, late_left;
  int last_out = 0;

  auto operator<=>(const ModelState&) const = default;
  Instant time() const { return Instant::at(tick_length * static_cast<double>(now)); }
  bool out() const {
    const auto works = [](const std::vector<Call>& calls, bool decode) {
      for (const Call c : calls)
        if (c == Call::Taken || c == Call::Streaming || c == Call::EndSent ||
            (decode && c == Call::AnswerWritten))
          return true;
      return false;
    };
    return works(reads, false) || works(decodes, true);
  }
  bool any_wanted_out() const {
    for (const auto* calls : {&reads, &decodes})
      for (const Call c : *calls)
        if (c == Call::Written || c == Call::Taken || c == Call::AnswerWritten || c == Call::Streaming)
          return true;
    return false;
  }
  // A decode attempt waits at its engine for what is held: a release does not touch that.
  bool waited_for() const {
    for (const Call c : decodes)
      if (c == Call::Taken || c == Call::EndSent) return true;
    return false;
  }
  bool decode_out() const {
    for (const Call c : decodes)
      if (c == Call::Written || c == Call::Taken || c == Call::AnswerWritten) return true;
    return false;
  }
  bool streams() const {
    for (const Call c : decodes)
      if (c == Call::Streaming) return true;
    return false;
  }
  bool holds() const {
    for (const auto& held : states_held)
      if (held) return true;
    return place_held || late_left;
  }
  bool holds_state() const {
    for (const auto& held : states_held)
      if (held) return true;
    return false;
  }
  void drop_all() {
    for (auto& held : states_held) held.reset();
    place_held.reset(), late_left.reset();
  }
};

template <class Rules>
class Model {
 public:
  using State = ModelState<Rules>;
  explicit Model(Bounds bounds) : bounds_(bounds) {}

  // Explores all that can be reached; what it found broken first, or nothing.
  std::string explore() {
    State first;
    first.reads.assign(static_cast<std::size_t>(bounds_.reads), Call::None);
    first.decodes.assign(static_cast<std::size_t>(bounds_.decodes), Call::None);
    first.states_held.assign(first.reads.size(), std::nullopt);
    add(first, nullptr, 0);
    while (!frontier_.empty() && broken_.empty()) {
      const State* state = frontier_.back();
      frontier_.pop_back();
      expand(*state);
      if (seen_.size() > bounds_.most_states) return "more states than the bound allows";
    }
    return broken_;
  }
  std::size_t states() const { return seen_.size(); }

 private:
  // How a state was reached first: from which one, and by the move at which line of this file.
  struct Origin {
    const State* from = nullptr;
    int line = 0;
  };
  void add(const State& state, const State* from, int line) {
    const auto [it, fresh] = seen_.try_emplace(state, Origin{from, line});
    if (fresh) frontier_.push_back(&it->first);
  }
  template <class Change>
  void move(const State& from, Change change, int line = __builtin_LINE()) {
    State next = from;
    change(next);
    add(next, &from, line);
  }
  void broke(const State& state, const std::string& what) {
    if (!broken_.empty()) return;
    broken_ =
        what + " at tick " + std::to_string(state.now) + ", after the moves at these lines (and ticks):";
    std::vector<std::string> way;
    for (const State* at = &state; at;) {
      const Origin& origin = seen_.at(*at);
      way.push_back(" " + std::to_string(origin.line) + "(" + std::to_string(at->now) + ")");
      at = origin.from;
    }
    for (auto step = way.rbegin(); step != way.rend(); ++step) broken_ += *step;
  }

  void expand(const State& s) {
    if (must_release(s)) {
      if (s.streams()) broke(s, "a release was ordered beside an answer that had begun");
      return move(s, [](State& n) { order_release(n); });
    }
    for (std::size_t k = 0; k < s.reads.size(); ++k) read_moves(s, k);
    for (std::size_t k = 0; k < s.decodes.size(); ++k) decode_moves(s, k);
    if (bounds_.places) place_moves(s);
    release_moves(s);
    if (bounds_.client_leaves && !s.client_left && !s.streams()) move(s, [](State& n) { leave(n); });
    if (s.reads[0] != Call::None && s.now < bounds_.ticks && all_heard(s) &&
        !(bounds_.reads_taken_at_once && read_waits(s)))
      pass_tick(s);
  }

  // As Cases does: when the rules say so, or when what nobody wants is left and nothing is out.
  static bool must_release(const State& s) {
    if (s.release != Call::None) return false;
    const auto due = s.rules.release_due(model_limit);
    if (due && *due <= s.time()) return true;
    if constexpr (requires { s.rules.may_release(s.time()); })
      if (!s.rules.may_release(s.time())) return false;
    return s.rules.unwanted() && (!s.any_wanted_out() || (s.client_left && !s.streams() && !s.decode_out()));
  }
  static void order_release(State& n) {
    n.rules.release_ordered(n.time());
    n.release = Call::Written;
    n.state_known = false;
  }
  // A release is taken within a tick by some engine that runs, and answers are heard within one.
  static bool all_heard(const State& s) {
    const auto waits = [](Call c) { return c == Call::AnswerWritten || c == Call::LateAnswer; };
    for (const auto* calls : {&s.reads, &s.decodes})
      for (const Call c : *calls)
        if (waits(c)) return false;
    return !waits(s.place) && s.release == Call::None;
  }
  static bool read_waits(const State& s) {
    return std::count(s.reads.begin(), s.reads.end(), Call::Written) > 0;
  }
  void pass_tick(const State& s) {
    move(s, [](State& n) { ++n.now; });
    if (s.out()) return;
    const auto too_old = [&](const std::optional<int>& since) {
      return since && s.now - std::max(*since, s.last_out) > ticks_a_limit;
    };
    for (const auto& held : s.states_held)
      if (too_old(held)) broke(s, "a state was held beyond the limit");
    if (too_old(s.place_held)) broke(s, "a place was held beyond the limit");
    if (too_old(s.late_left)) broke(s, "what a call left that had been given up was held beyond the limit");
  }

  void read_moves(const State& s, std::size_t k) {
    const int number = static_cast<int>(k);
    switch (s.reads[k]) {
      case Call::None:
        if (!s.client_left && !s.streams() && (k == 0 || s.reads[k - 1] != Call::None))
          move(s, [&](State& n) { n.reads[k] = Call::Written, n.rules.read_ordered(number); });
        break;
      case Call::Written:
        move(s, [&](State& n) { n.reads[k] = Call::Taken; });
        if (bounds_.reads_swallowed) move(s, [&](State& n) { n.rules.read_shown(number); });
        if (bounds_.answers_lost) move(s, [&](State& n) { lose_read(n, k, Call::Abandoned); });
        break;
      case Call::Taken:
        // A call that was written later is answered.
        move(s, [&](State& n) { n.rules.read_shown(number); });
        move(s, [&](State& n) {
          n.reads[k] = Call::AnswerWritten, n.states_held[k] = n.now, n.last_out = n.now;
        });
        if (bounds_.answers_lost)
          move(s,
               [&](State& n) { lose_read(n, k, Call::Over), n.states_held[k] = n.now, n.last_out = n.now; });
        break;
      case Call::AnswerWritten:
        move(s, [&](State& n) {
          n.reads[k] = Call::Over, n.state_known = true;
          n.rules.read_ended(number, Reservations::ReadEnd::StateKept, true, n.time());
          if (n.client_left) n.rules.mark_unwanted(n.time());
        });
        if (bounds_.answers_lost) move(s, [&](State& n) { lose_read(n, k, Call::Over); });
        break;
      case Call::Abandoned:
        if (!s.late_left) move(s, [&](State& n) { n.reads[k] = Call::LateAnswer, n.late_left = n.now; });
        break;
      case Call::LateAnswer:
        move(s, [&](State& n) { n.reads[k] = Call::Over, n.rules.abandoned_call_taken(n.time()); });
        break;
      default: break;
    }
  }
  static void lose_read(State& n, std::size_t k, Call becomes) {
    n.reads[k] = becomes;
    n.rules.read_ended(static_cast<int>(k), Reservations::ReadEnd::Unknown, false, n.time());
    n.rules.mark_unwanted(n.time());
  }

  void decode_moves(const State& s, std::size_t k) {
    const int number = static_cast<int>(k);
    switch (s.decodes[k]) {
      case Call::None:
        // An attempt waits for a release that is on its way.
        if (s.state_known && !s.client_left && s.release == Call::None &&
            (k == 0 || is_ended_here(s.decodes[k - 1])))
          move(s, [&](State& n) { n.decodes[k] = Call::Written, n.rules.decode_ordered(number); });
        break;
      case Call::Written:
        move(s, [&](State& n) { take_decode(n, k); });
        if (bounds_.answers_lost) move(s, [&](State& n) { lose_decode(n, k); });
        break;
      case Call::Taken:  // its first token ends all that is held
        move(s, [&](State& n) { n.decodes[k] = Call::AnswerWritten, n.drop_all(); });
        if (bounds_.answers_lost) move(s, [&](State& n) { lose_decode(n, k); });
        break;
      case Call::EndSent:
        move(s, [&](State& n) { n.decodes[k] = Call::EndArrived, n.last_out = n.now; });
        move(s, [&](State& n) { n.decodes[k] = Call::EndArrived, n.last_out = n.now, n.drop_all(); });
        break;
      case Call::EndArrived:
        move(s, [&](State& n) { hear_end(n, k); });
        move(s, [&](State& n) { n.decodes[k] = Call::Over; });  // nothing tells of it
        break;
      case Call::Abandoned:
        move(s, [&](State& n) { n.decodes[k] = n.holds_state() ? Call::EndSent : Call::EndArrived; });
        move(s, [&](State& n) { n.decodes[k] = Call::EndArrived; });
        break;
      case Call::AnswerWritten: move(s, [&](State& n) { hear_decode(n, k, number); }); break;
      case Call::Streaming:
        move(s, [&](State& n) {
          n.decodes[k] = Call::Over, n.client_left = true, n.last_out = n.now;
          n.rules.decode_ended(number, true, n.time());
        });
        break;
      default: break;
    }
  }
  static void take_decode(State& n, std::size_t k) {
    n.no_state = !n.holds_state();
    n.decodes[k] = n.no_state ? Call::AnswerWritten : Call::Taken;
  }
  static void hear_decode(State& n, std::size_t k, int number) {
    if (!n.no_state) {
      n.decodes[k] = Call::Streaming, n.rules.decode_answered(number);
      return;
    }
    n.decodes[k] = Call::Over, n.state_known = false, n.last_out = n.now;
    n.rules.decode_ended(number, true, n.time());
    n.rules.mark_unwanted(n.time());
  }
  static void lose_decode(State& n, std::size_t k) {
    n.decodes[k] = n.decodes[k] == Call::Taken ? Call::EndSent : Call::Abandoned;
    const int number = static_cast<int>(k);
    if constexpr (requires { n.rules.decode_given_up(number, n.time()); })
      n.rules.decode_given_up(number, Instant::at(Span::millis(3600000)));
    else n.rules.decode_ended(number, false, n.time());
    if (n.client_left) n.rules.mark_unwanted(n.time());
  }
  static void hear_end(State& n, std::size_t k) {
    n.decodes[k] = Call::Over;
    if constexpr (requires { n.rules.decode_end_seen(static_cast<int>(k)); })
      n.rules.decode_end_seen(static_cast<int>(k));
  }
  static bool is_ended_here(Call c) {
    return c == Call::Over || c == Call::EndSent || c == Call::EndArrived || c == Call::Abandoned;
  }

  void place_moves(const State& s) {
    switch (s.place) {
      case Call::None: {
        bool read_out = false;
        for (const Call c : s.reads) read_out |= c == Call::Written || c == Call::Taken;
        if (read_out && !s.client_left)
          move(s, [](State& n) { n.place = Call::Written, n.rules.place_asked(0, n.time()); });
        break;
      }
      case Call::Written:
        if (bounds_.late_grants || !s.streams()) {
          if (bounds_.granted_places) move(s, [](State& n) { grant(n); });
          if (bounds_.unknown_places) move(s, [](State& n) { grant(n), n.place_unknown = true; });
          move(s, [](State& n) { n.place = Call::AnswerWritten, n.place_refused = true; });
        }
        if (bounds_.answers_lost)
          move(s, [](State& n) {
            n.place = Call::Abandoned, answer_place(n, Reservations::PlaceAnswer::Unknown);
          });
        break;
      case Call::AnswerWritten:
        move(s, [](State& n) {
          n.place = Call::Over;
          answer_place(n, n.place_refused   ? Reservations::PlaceAnswer::Refused
                          : n.place_unknown ? Reservations::PlaceAnswer::Unknown
                                            : Reservations::PlaceAnswer::Granted);
        });
        break;
      case Call::Abandoned:
        if (bounds_.late_grants) move(s, [](State& n) { n.place = Call::LateAnswer, n.place_held = n.now; });
        break;
      case Call::LateAnswer:
        move(s, [](State& n) { n.place = Call::Over, n.rules.abandoned_call_taken(n.time()); });
        break;
      default: break;
    }
  }
  static void grant(State& n) { n.place = Call::AnswerWritten, n.place_held = n.now; }
  static void answer_place(State& n, Reservations::PlaceAnswer answer) {
    n.rules.place_answered(0, answer);
    // One that was asked for before the answer or a release is nobody's any more.
    if (answer != Reservations::PlaceAnswer::Refused && (n.client_left || n.streams()))
      n.rules.mark_unwanted(n.time());
  }

  void release_moves(const State& s) {
    if (s.release != Call::Written) return;
    move(s, [](State& n) {
      n.release = Call::None;
      if (!n.waited_for()) n.drop_all();
      n.rules.release_ended(Reservations::ReleaseEnd::Taken, model_limit, n.time());
    });
  }
  static void leave(State& n) {
    n.client_left = true;
    if (n.rules.count() > 0) n.rules.mark_unwanted(n.time());
  }

  const Bounds bounds_;
  std::map<State, Origin> seen_;
  std::vector<const State*> frontier_;
  std::string broken_;
};

}  // namespace calicograde::test
