#include "soak/engines.hpp"

#include <unistd.h>

#include <cstdlib>

#include "net/clock.hpp"
#include "soak/child_process.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;
using Kind = EngineCall::Kind;

constexpr Span step = Span::millis(5);  // of a wait
constexpr Span read_time = Span::millis(25), first_token_time = Span::millis(20),
               event_time = Span::millis(6), first_token_when_busy = Span::millis(450),
               unknown_place_after = Span::millis(300);  // by the protocol page
constexpr Span quiet_end_lasts = Span::millis(3000);
constexpr std::uint64_t one_in_cut = 3;

std::int64_t micros_now() { return (clock_now() - Instant{}).as_micros(); }

}  // namespace

struct SoakEngine::Attempt {
  Attempt(SoakEngine& of, const http::Request& request, Instant received)
      : engine(of),
        id(http::header(request.headers, "request-id")),
        number(begin(of, id, request, received)),
        told_until(told_wait_end(request, received)) {}
  static std::uint64_t begin(SoakEngine& engine, const std::string& id, const http::Request& request,
                             Instant received) {
    EngineCall begins;
    begins.kind = Kind::AttemptBegan;
    begins.received_micros = (received - Instant{}).as_micros();
    begins.set_id(id);
    const std::string told(http::header(request.headers, "request-timeout-ms"));
    if (!told.empty()) begins.told_wait_millis = std::atoll(told.c_str());
    return engine.channel_.call(begins);
  }
  static std::optional<Instant> told_wait_end(const http::Request& request, Instant received) {
    const std::string told(http::header(request.headers, "request-timeout-ms"));
    if (told.empty()) return std::nullopt;
    return received + Span::millis(std::atoll(told.c_str()));
  }
  void event_written() {
    if (events < events_each) event_micros[static_cast<std::size_t>(events++)] = micros_now();
  }
  ~Attempt() {
    EngineCall end;
    end.kind = Kind::AttemptEnded;
    end.number = number;
    end.has_stream = has_stream;
    end.broken = broken;
    end.events = events;
    end.event_micros = event_micros;
    end.set_id(id);
    engine.channel_.call(end);
  }
  SoakEngine& engine;
  const std::string id;
  const std::uint64_t number;
  const std::optional<Instant> told_until;
  std::optional<Instant> left_at;  // when the end came to the engine's machine
  bool has_stream = false, first_token = false, broken = false;
  int events = 0;  // written
  std::array<std::int64_t, events_each> event_micros{};
};

SoakEngine::SoakEngine(Role role, unsigned short port, int backlog, EngineChannel& channel)
    : role_(role),
      channel_(channel),
      server_([this](net::Stream s) { serve(std::move(s)); }, port, backlog) {}

SoakEngine::~SoakEngine() { stopping_ = true; }

void SoakEngine::set(const EngineCommand& command) {
  switch (command.fault) {
    case EngineCommand::Fault::Hang: hanging_ = command.on; break;
    case EngineCommand::Fault::CutAnswers: cutting_ = command.on; break;
    case EngineCommand::Fault::DoubleAnswers: doubling_ = command.on; break;
    case EngineCommand::Fault::Busy: busy_ = command.on; break;
    case EngineCommand::Fault::LateNotice: late_notice_ = command.on; break;
    case EngineCommand::Fault::TakesLate: takes_late_millis_ = command.millis; break;
    case EngineCommand::Fault::TakesNothing: takes_nothing_ = command.on; break;
    case EngineCommand::Fault::HangAttempts: hanging_on_attempts_ = command.on; break;
    case EngineCommand::Fault::EndsLate: ends_late_millis_ = command.millis; break;
    case EngineCommand::Fault::QuietEnds: quiet_ends_ = command.on; break;
    case EngineCommand::Fault::DropsAtTime: drops_at_time_ = command.on; break;
  }
}

bool SoakEngine::work(http::ServerConnection& connection, Span time, bool notices_leaving) const {
  return work_while(connection, time, notices_leaving, [this] { return hanging_.load(); });
}

bool SoakEngine::work_while(http::ServerConnection& connection, Span time, bool notices_leaving,
                            const std::function<bool()>& hangs) const {
  for (const Instant until = clock_now() + time; clock_now() < until || hangs();) {
    if (stopping_ || (notices_leaving && connection.stream().peer_left())) return false;
    usleep(static_cast<useconds_t>(step.as_micros()));
  }
  return !notices_leaving || !connection.stream().peer_left();
}

// "An end, too, has happened there only once it got there": the front node's close is not the end.
bool SoakEngine::end_is_heard(Attempt& attempt, http::ServerConnection& connection) const {
  const Instant now = clock_now();
  if (!attempt.left_at && connection.stream().peer_left()) attempt.left_at = now;
  return attempt.left_at && now - *attempt.left_at >= Span::millis(ends_late_millis_.load());
}

bool SoakEngine::work_on_answer(Attempt& attempt, http::ServerConnection& connection, Span time) const {
  for (const Instant until = clock_now() + time; clock_now() < until || hangs_on_attempts();) {
    if (stopping_ || end_is_heard(attempt, connection)) return false;
    const bool time_is_over = attempt.told_until && clock_now() > *attempt.told_until;
    if (drops_at_time_ && !attempt.first_token && time_is_over) return false;
    usleep(static_cast<useconds_t>(step.as_micros()));
  }
  return !end_is_heard(attempt, connection);
}

// No sentence says that an engine closes the connection of an attempt that was given up.
void SoakEngine::stay_open(http::ServerConnection& connection) const {
  for (const Instant until = clock_now() + quiet_end_lasts; quiet_ends_ && clock_now() < until;) {
    if (stopping_ || !connection.stream().open()) return;
    usleep(static_cast<useconds_t>(step.as_micros()));
  }
}

// "A call counts once its last byte has come to an engine that runs": no sentence says how soon that is after
// the kernel's acknowledgement.
void SoakEngine::take_late() const {
  const Instant until = clock_now() + Span::millis(takes_late_millis_.load());
  while (!stopping_ && (clock_now() < until || takes_nothing_))
    usleep(static_cast<useconds_t>(step.as_micros()));
}

void SoakEngine::serve(net::Stream stream) {
  http::Limits limits;
  limits.idle = Span::millis(60000);
  http::ServerConnection connection(std::move(stream), limits);
  http::Request request;
  while (!stopping_ && connection.read(request) == http::ReadEnd::Ok) {
    const Instant received = clock_now();
    take_late();
    if (request.target.starts_with("/health/")) {
      if (!work(connection, Span{}) || !connection.respond(200, {}, "", true)) return;
    } else if (request.target.starts_with("/state/")) {
      serve_state(request, connection);
    } else if (!serve_attempt(request, connection, received)) {
      return;
    }
  }
}

void SoakEngine::serve_state(const http::Request& request, http::ServerConnection& connection) {
  const std::string id = request.target.substr(std::string_view("/state/").size());
  if (request.method == "DELETE") {
    channel_.call(Kind::Release, id);  // it counts once its last byte has come, answered or not
    if (work(connection, Span{})) connection.respond(204, {}, "", true);
    return;
  }
  const bool granted = channel_.call(Kind::GrantPlace, id) != 0;
  if (work(connection, granted ? Span{} : unknown_place_after))
    connection.respond(granted ? 200 : 204, {}, "", true);
}

bool SoakEngine::serve_attempt(const http::Request& request, http::ServerConnection& connection,
                               Instant received) {
  // Given up before it reached an engine that runs.
  const bool notices_leaving = !late_notice_ || role_ == Role::Decode;
  const bool hears_at_once = role_ == Role::Prefill || ends_late_millis_ == 0;
  if (notices_leaving && hears_at_once && connection.stream().peer_left()) return false;
  bool goes_on = false, was_given_up = false;
  {
    Attempt attempt(*this, request, received);
    goes_on = role_ == Role::Prefill ? read_prompt(attempt, connection) : write_answer(attempt, connection);
    was_given_up = attempt.left_at.has_value();
  }
  if (was_given_up) stay_open(connection);
  return goes_on;
}

bool SoakEngine::read_prompt(Attempt& attempt, http::ServerConnection& connection) {
  if (!work_while(connection, read_time, !late_notice_, [this] { return hangs_on_attempts(); })) return false;
  channel_.call(Kind::Hold, attempt.id);
  if (cutting_ && attempt.number % one_in_cut == 0) return connection.stream().reset_hard(), false;
  // Once the answer is out no place is granted for this read any more.
  channel_.call(Kind::ReadEnded, attempt.id, attempt.number);
  if (!connection.respond(202, {}, R"({"cached_tokens":64})", true)) return false;
  if (doubling_) connection.respond(202, {}, R"({"cached_tokens":1})", true);
  return true;
}

bool SoakEngine::write_answer(Attempt& attempt, http::ServerConnection& connection) {
  if (channel_.call(Kind::AttemptWaits, attempt.id, attempt.number) == 0) {
    if (!work_on_answer(attempt, connection, Span{})) return false;
    return connection.respond(410, {{"Not-Started", "1"}}, "", true);
  }
  attempt.has_stream = true;
  const bool cut = cutting_ && attempt.number % one_in_cut == 0;
  if (!work_on_answer(attempt, connection, busy_ ? first_token_when_busy : first_token_time)) return false;
  if (cut && attempt.number % 2 == 0) return attempt.broken = true, connection.stream().reset_hard(), false;
  channel_.call(Kind::FirstToken, attempt.id, attempt.number);
  attempt.first_token = true;
  if (!connection.begin_stream(200, {{"content-type", "text/event-stream"}})) return false;
  for (int k = 0; k < events_each; ++k) {
    if (!work_on_answer(attempt, connection, event_time)) return false;
    if (cut && k == events_each / 2) return attempt.broken = true, connection.stream().reset_hard(), false;
    if (!connection.piece(event_of(attempt.number, k))) return false;
    attempt.event_written();
  }
  if (!connection.piece(stream_end) || !connection.end_stream()) return false;
  if (doubling_) connection.respond(200, {}, "hi", true);
  return true;
}

int run_engine(Role role, unsigned short port, int backlog) {
  end_with_parent();
  EngineChannel channel(calls_descriptor);
  SoakEngine engine(role, port, backlog, channel);
  channel.call(Kind::Listening, "", engine.port());
  heed_commands<EngineCommand>(commands_descriptor,
                               [&](const EngineCommand& command) { engine.set(command); });
}

}  // namespace calicograde::soak
