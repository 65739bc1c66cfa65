#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.hpp"

namespace calicograde {

using InfId = std::uint32_t;
using TextKey = std::uint64_t;  // a session or a shared opening text; 0 = none

struct EngineId {
  std::array<std::uint8_t, 4> address{};
  std::uint16_t port = 0;
  auto operator<=>(const EngineId&) const = default;
};

enum class Stage { Read, Write, Both };
enum class Effect { Retriable, Deduped, NonRetriable };
enum class DedupeGroup { All, Zone, Rack };
enum class Lifecycle { Ready, Draining, Gone };
enum class ListScope { Delta, Full, Cached, Failed };
// LocalFailure: this machine lacked a thread, a descriptor, memory or a port; nothing was sent, and it says
// nothing of the engine. Moot: there was no use in sending it any more.
enum class EndedAs {
  Completed,
  Errored,
  Full,
  TimedOut,
  ConnectFailed,
  Reset,
  Cancelled,
  Moot,
  ReadDone,
  LocalFailure
};

// Proven by how a send ended, whatever engine it went to.
constexpr bool proves_unrun(EndedAs e) {
  return e == EndedAs::Full || e == EndedAs::ConnectFailed || e == EndedAs::Moot || e == EndedAs::ReadDone ||
         e == EndedAs::LocalFailure;
}

// Settings, as handed over at start.
struct ModelRoute {
  Span first_token_target;
  Span target_per_1000_tokens;
  Span token_pace;
  Effect effect = Effect::Retriable;
  DedupeGroup dedupe_group = DedupeGroup::All;
  Span dedupe_window;
  double value = 1;
  double late_value = 0;
};

struct EngineKind {
  Stage stage = Stage::Both;
  double memory_tokens = 0;  // 0 = not told
};

struct Settings {
  std::vector<ModelRoute> routes;
  std::vector<EngineKind> kinds;
  int fronts = 1;
  std::uint8_t zone = 0;
  bool may_cancel = false;
  bool may_probe = false;  // engines answer probes, each at a price
  bool may_hold_places = false;
  bool second_copies = false;
  bool retry_advice = false;
  bool writers_read = false;
  bool list_must_be_asked = false;
  bool sizes_told = false;  // weights in the list compare engines of a role
  int max_sends = 1;
  Span max_retry_after;
  Span pin_limit;
  Span connect;  // how long opening a connection may take; 0 = not told
  Span cold;
  double cold_from = 1;
  double fall_multiple = 1;
  Span fall;
  Span ask_within;
  Span link_idle;
  double far_price = 0;
  double zone_price = 0;
  double repeat_share = 0;  // repeated sends for each first one, at the most; 0 = no such bound
};

// What happened.
struct LoadReport {
  std::optional<double> inferences_held;
  std::optional<double> waiting;
  std::optional<double> memory_share;
  std::optional<double> tokens_waiting;
};

struct EngineEntry {
  EngineId engine;
  std::optional<Instant> started;  // none = long ago
  std::uint8_t kind = 0;
  std::uint8_t zone = 0;
  std::uint16_t rack = 0;
  double size = 1;
  Lifecycle lifecycle = Lifecycle::Ready;
  std::uint32_t most = 0;  // sends of this front out at it, at the most; 0 = no such bound
};

struct Arrived {
  InfId inf = 0;
  std::uint16_t route = 0;
  std::uint16_t customer = 0;
  TextKey session = 0;
  TextKey shared_text = 0;
  Span budget;
  std::optional<Span> answer_hint;
  double prompt_tokens = 0;
  double shared_tokens = 0;
  double max_answer_tokens = 0;
  bool repeat = false;
  bool resumed = false;
  // What an index of prompts knows of it: tokens that engines are taken to keep; whoever is not named keeps
  // none. None = there is no index. `kept_surely`: no engine keeps what this front has not heard of.
  std::optional<std::map<EngineId, double>> kept = {};
  bool kept_surely = false;
  bool over_limit = false;  // a cap on what may be in work says no
};
struct StreamStarted {
  InfId inf = 0;
  std::uint8_t send = 0;
  EngineId engine;
  Span elapsed;
};
struct PlaceAnswered {
  InfId inf = 0;
  std::uint8_t send = 0;
  EngineId engine;
  bool held = false;
};
struct SendEnded {
  InfId inf = 0;
  std::uint8_t send = 0;
  EngineId engine;
  EndedAs as = EndedAs::Errored;
  Span elapsed;
  bool inference_over = false;
  std::uint32_t kept_tokens = 0;
  bool no_state = false;
  std::optional<LoadReport> report;
  bool on_kept_link = false;  // it went on a connection that had been used before
  bool written = true;        // false: its last byte was not written, so that no engine can have begun it
  bool arrived = true;     // false: it was written, but nothing shows that its last byte reached the engine
  bool no_sign = false;    // it was called off, since nothing showed in time that its engine runs
  bool own_answer = true;  // an answer of its own had begun, be it a refusal
};
struct ClientLeft {
  InfId inf = 0;
};
struct FleetListed {
  ListScope scope = ListScope::Delta;
  std::uint64_t version = 0;
  std::vector<EngineEntry> entries;
};
// Zones that a route's new pairs are not booked in, by the route's number; all are open until told.
struct ZonesClosed {
  std::vector<std::set<std::uint8_t>> by_route;
};
// How many fronts there are, this one among them; the settings' count until told.
struct FrontsCounted {
  int fronts = 1;
  int careful = 0;  // for cold engines: as if so many, where there may be more
};
// When engines last showed that they run, on whatever connection.
struct EnginesHeard {
  std::vector<std::pair<EngineId, Instant>> last;
};
// This front ends: what is open, and what comes, must be answered by then, whatever its budget.
struct BudgetsEnd {
  Instant at;
};
// Something reserved for a request nears its limit, and no attempt is known to be out
// (routing/reservations.hpp).
struct ReservationsDue {
  InfId inf = 0;
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct ProbeEnded {
  EngineId engine;
  EndedAs as = EndedAs::Errored;
  Span elapsed;
  std::optional<LoadReport> report;
};
struct PeerSpoke {
  std::uint32_t from = 0;
  std::string text;
};
using Event = std::variant<Arrived, StreamStarted, PlaceAnswered, SendEnded, ClientLeft, FleetListed,
                           TimerFired, ProbeEnded, PeerSpoke, ZonesClosed, FrontsCounted, EnginesHeard,
                           BudgetsEnd, ReservationsDue>;

// What is to be done.
struct SendTo {
  InfId inf = 0;
  EngineId engine;
  Span time_out;    // zero = until the client stops waiting
  Span reach = {};  // where above zero: a connection that is not up by then is given up
  // Where above zero: not written any more once that is over.
  Span write_within = {};
  // Where above zero: called off if nothing shows by then that the engine runs (of a read: where
  // something may be held for the request); after `probe_after` without a sign the engine is probed, where
  // above zero.
  Span sign_within = {}, probe_after = {};
  // Where above zero: called off as well if the answer itself has not begun by then. An engine that runs may
  // not have got what a silent connection took, and its answer may be lost.
  Span answer_within = {};
};
struct HoldPlace {
  InfId inf = 0;
  EngineId engine;
};
struct LetGo {
  InfId inf = 0;
  bool at_once = false;         // though a read is still out: what is held would wait for it
  bool though_awaited = false;  // by attempts that are out: none of them is known to have arrived
};
struct CancelSend {
  InfId inf = 0;
  std::uint8_t send = 0;
};
struct Shed {
  InfId inf = 0;
  Span retry_after;  // zero = no advice
};
struct Fail {
  InfId inf = 0;
};
struct MoveStream {
  InfId inf = 0;
};
struct SetTimer {
  Span in;
  std::uint64_t token = 0;
};
struct Probe {
  EngineId engine;
};
struct CloseLinks {
  EngineId engine;
};
struct Subscribe {
  bool on = true;
};
struct FetchList {};
struct TellPeer {
  std::uint16_t to = 0;
  std::string text;
};
struct Log {
  std::string text;
};
using Action = std::variant<SendTo, HoldPlace, LetGo, CancelSend, Shed, Fail, MoveStream, SetTimer, Probe,
                            CloseLinks, Subscribe, FetchList, TellPeer, Log>;

}  // namespace calicograde
