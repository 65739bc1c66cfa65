#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "engines/completions.hpp"
#include "routing/reservations.hpp"

// The inferences that a front has taken, between the module, which decides, and the sockets, where things
// happen. It turns the module's actions into orders for the sockets and what the sockets report into events
// for the module, and it sees to it that each inference gets one final answer, that each send has one
// outcome, and that every state and place that some engine holds for an inference is taken or let go. Free of
// I/O, clocks and threads.
namespace calicograde::front {

struct StartSend {
  InfId inf = 0;
  std::uint8_t send = 0;
  EngineId engine;
  engines::Leg leg = engines::Leg::Read;
  Instant until;     // its time-out, at the latest the end of the client's budget
  Instant reach_by;  // a connection that is not up by then is given up
  Instant write_by;  // it is not written any more from then on
  // Unless its engine has shown by then that it runs, it is called off; probed from `probe_at` on.
  std::optional<Instant> sign_by = {}, probe_at = {};
  // It is called off, too, unless its answer has begun by then on its own connection.
  std::optional<Instant> answer_by = {};
  std::string name;   // of this send, told to the engine; what it holds is let go by this name
  std::string state;  // kv_transfer_params to fetch by; empty unless the leg is Write
  std::string place;  // held ahead at this engine, empty if none
};
struct StopSend {
  InfId inf = 0;
  std::uint8_t send = 0;
};
struct AskPlace {
  InfId inf = 0;
  EngineId engine;
  std::string name;
  std::string let_go_as;  // by this name it is let go
  int number = 0;         // of the places that were asked for on behalf of the inference
  std::uint8_t read = 0;  // that it belongs to: it has been written when the place is asked for
};
struct Release {
  InfId inf = 0;
  EngineId engine;
  std::string name;
  // Where the limit is near: for how long something may have been reserved with no attempt known to be out.
  std::optional<Span> reserved_for = {};
  std::size_t unseen_ends = 0;  // of attempts that may wait for it all the same
};
enum class ReleaseEnd {
  Taken,
  NotTaken,
  Withheld  // it gave way to an attempt
};
struct Answer {
  InfId inf = 0;
  bool shed = false;
  Span retry_after;
  bool outcome_unknown = false;  // errored, and a send may have run
};
struct ArmTimer {
  Span in;
  std::uint64_t token = 0;
};
// Whether the engine begins calls; asked only where probes are allowed.
struct ProbeEngine {
  EngineId engine;
};
struct DropLinks {
  EngineId engine;
};
struct Line {
  std::string text;
};
using Order =
    std::variant<StartSend, StopSend, AskPlace, Release, Answer, ArmTimer, ProbeEngine, DropLinks, Line>;

// How a send ended on its socket.
struct Ending {
  EndedAs as = EndedAs::Errored;
  bool no_state = false;
  bool answered = false;  // the client has had its final answer from this send
  std::string state;      // of a read that is done
  std::uint32_t kept_tokens = 0;
  bool kept_told = false;
  bool written = true;                     // as in SendEnded
  bool arrived = true;                     // as in SendEnded
  bool no_sign = false;                    // as in SendEnded
  bool own_answer = true;                  // as in SendEnded
  bool end_seen = true;                    // at its engine, or it never reached it (routing/reservations.hpp)
  bool broke_off = false;                  // its connection ended by itself, with no answer
  std::optional<Instant> written_at = {};  // its last byte
  bool refused_link = false;               // nothing listens there
  std::size_t link_uses = 0;        // of the connection that it went on, itself included; 0 = none came about
  Span link_stood = {}, took = {};  // since that was asked last before; from the connection to the end
  std::optional<LoadReport> report;
};

class Cases {
 public:
  // `name`: of this front and this start of it, so that no two starts give a send the same name.
  // `whole`: engines let go of all that is held for an inference at once, or of nothing (Dialect).
  Cases(std::string name, const Settings& settings, bool whole = false)
      : name_(std::move(name)), settings_(settings), whole_(whole) {}

  // What an engine's kind offers, by the kind's number: release of states and places by name.
  void offers(std::vector<bool> release) { release_ = std::move(release); }

  // The time of what is told next; the calls that are given a time set it themselves.
  void at(Instant now) { now_ = now; }

  // Each takes what happened, and gives the event to hand to the module; none where it need not know.
  // `id`: by which all engines know the inference; empty = each send has a name of its own.
  std::optional<Event> take(Instant now, const Arrived& arrived, std::string id = {});
  std::optional<Event> started(Instant now, InfId inf, std::uint8_t send);
  std::optional<Event> ended(Instant now, InfId inf, std::uint8_t send, const Ending& ending);
  // One that was not taken is ordered anew once nothing is out.
  void release_ended(const Release& release, ReleaseEnd end);
  // A read was written whole by then.
  void read_written(InfId inf, std::uint8_t send, Instant at);
  // An attempt that had been given up has ended at its engine; `undo` releases what it waited for.
  void end_seen(const Release& undo, std::uint8_t send);
  // A call that had been given up was taken by its engine all the same; `undo` releases what came of it.
  void abandoned_call_taken(const Release& undo);
  // The question is about to be written; before that nothing can be held for it.
  void place_asked(const AskPlace& ask);
  // `held` none: nobody can tell, and a place may be held all the same.
  std::optional<Event> place_answered(const AskPlace& ask, std::optional<bool> held);
  std::optional<Event> client_left(InfId inf);
  void listed(const FleetListed& list);

  // Carries out what the module returned; events that follow at once are appended to `events`.
  void obey(Instant now, const std::vector<Action>& actions, std::vector<Event>& events);
  // Inferences that the module has not answered though their budget ends now: answered here (guards rule 1
  // against a fault in the module or a queue that stood still). They are the module's no more.
  void overdue(Instant now, std::vector<Event>& events);
  std::optional<Instant> next_end() const;
  // Looks at what is reserved: probes engines, and tells the module of inferences whose reservations are due
  // to be released. When the next look is due.
  void look_at_reservations(Instant now, std::vector<Event>& events);
  std::optional<Instant> next_look_at_reservations() const;
  // The engine has answered a call that was written then: it has begun what was written before.
  void engine_answered(const EngineId& engine, Instant written);
  // All budgets end then at the latest, also of what comes later.
  void end_budgets(Instant at);

  // Once the module has heard of an end: drops the case if nothing of it is left.
  void tidy(InfId inf) { let_loose_go(inf), settle(inf); }

  // Orders that have come up, in order.
  std::vector<Order> take_orders() { return std::exchange(orders_, {}); }
  std::size_t open() const { return cases_.size(); }
  std::optional<EngineId> engine_of(InfId inf, std::uint8_t send) const;
  bool is_whole(InfId inf, std::uint8_t send) const;
  bool has(InfId inf) const { return cases_.contains(inf); }
  std::size_t holdings() const;
  // Something that has been held for over half of its limit with no attempt out.
  struct LongHold {
    std::string id;
    Span held;
    bool too_long = false;          // longer than the limit and what is allowed on top
    std::size_t holdings = 0;       // states and places that are remembered
    std::size_t unshown_reads = 0;  // that are out, as far as is known
    std::size_t unseen_ends = 0;    // of attempts that were given up
    bool to_be_released = false;    // something else may be held, and is let go with the next release
    bool answered = false;          // the request has its final answer
  };
  // By calls that come often; each request is told once as held long, and once as too long.
  std::vector<LongHold> long_holds(Instant now, Span limit, Span on_top);

 private:
  struct Holding {
    EngineId engine;
    std::string name, params;
    bool place = false;
    std::optional<std::uint8_t> awaited_by = {};  // the send that takes it
    bool unwanted = false;                        // to be let go once that send has ended without it
  };
  struct Sent {
    EngineId engine;
    engines::Leg leg = engines::Leg::Read;
    Instant at;
    Instant until;  // its engine was told to wait until then
    bool out = true, started = false, ran = true;
    std::string name;
    bool unrun = false, gave_state = false;  // of one that has ended: proven; it was a read and ended well
    std::optional<Instant> written_before = {};  // of a read
  };
  enum class Final { None, Streaming, Given };
  struct Case {
    Arrived what;
    std::string id = {};
    Instant ends;
    Final final = Final::None;
    std::vector<Sent> sends;
    std::vector<Holding> holdings;
    int places = 0;
    Reservations reserved = {};
    bool told_long = false, told_too_long = false;
    bool any_out() const;
    bool read_out() const;
    bool decode_out() const;
  };
  // Of a request that is over: what may still be reserved for it.
  struct Leftover {
    std::string id;
    EngineId engine;
    Reservations reserved;
    bool told_long = false, told_too_long = false;
  };

  void act(Instant now, const SendTo& a, std::vector<Event>& events);
  void act(Instant now, const HoldPlace& a, std::vector<Event>& events);
  void act(Instant now, const LetGo& a, std::vector<Event>& events);
  void act(Instant now, const CancelSend& a, std::vector<Event>& events);
  void act(Instant now, const Shed& a, std::vector<Event>& events);
  void act(Instant now, const Fail& a, std::vector<Event>& events);
  void act(Instant now, const SetTimer& a, std::vector<Event>& events);
  void act(Instant now, const CloseLinks& a, std::vector<Event>& events);
  void act(Instant now, const Log& a, std::vector<Event>& events);
  template <class A>
  void act(Instant, const A&, std::vector<Event>&) {}  // Probe, MoveStream, Subscribe, FetchList, TellPeer

  Case* find(InfId inf);
  Reservations* reservations_of(InfId inf);
  void answer(Case& c, bool shed, Span retry_after);
  void let_loose_go(InfId inf);
  void let_go_now(Case& c, std::optional<Span> reserved_for = {});
  void order_release(const Release& release);
  void undo(const Release& release);
  void let_all_go(Case& c, Instant now);
  void end_decode(Case& c, std::uint8_t send, const Ending& ending, Instant now);
  void keep_leftover(Case& c);
  void release_leftover(InfId inf, bool is_due);
  void release_what_may_go(InfId inf);
  void release_unwanted(Instant now);
  void probe_engines_of(Case& c, Instant now);
  void end_named_releases(Case& c);
  static bool streams(const Case& c);
  static std::uint8_t newest_send(const Case& c);
  template <class Which>
  void release(Case& c, Which which);
  void settle(InfId inf);
  Stage stage_of(const EngineId& id) const;

  std::string name_;
  const Settings settings_;
  const bool whole_;
  Instant now_;
  std::optional<Instant> budgets_end_;
  std::vector<bool> release_;
  std::map<EngineId, std::uint8_t> kinds_;
  std::map<InfId, Case> cases_;
  std::map<InfId, Leftover> leftovers_;
  std::set<std::pair<Instant, InfId>> ends_;  // of those without a final answer
  std::vector<Order> orders_;
};

}  // namespace calicograde::front
