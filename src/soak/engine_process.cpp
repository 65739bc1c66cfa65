#include "soak/engine_process.hpp"

#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

#include "net/clock.hpp"
#include "soak/child_process.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;
using Kind = EngineCall::Kind;

constexpr Span starts_within = Span::millis(10000);

std::vector<Instant> events_of(const EngineCall& call) {
  std::vector<Instant> out;
  for (std::int64_t k = 0; k < call.events; ++k)
    out.push_back(Instant::at(Span::micros(call.event_micros[static_cast<std::size_t>(k)])));
  return out;
}

}  // namespace

EngineProcess::EngineProcess(std::size_t number, Role role, const std::string& program, int backlog,
                             HeldState& held, Journal& journal, std::atomic<std::uint64_t>& attempts)
    : number_(number),
      role_(role),
      program_(program),
      backlog_(backlog),
      held_(held),
      journal_(journal),
      attempts_(attempts) {
  start();
}

EngineProcess::~EngineProcess() { kill_process(); }

void EngineProcess::start() {
  auto [calls, engine_calls] = message_channel();
  auto [commands, engine_commands] = message_channel();
  const std::string role = role_ == Role::Prefill ? "prefill" : "decode";
  pid_ = start_child({program_, "--engine", role, "--port", std::to_string(port_.load()), "--backlog",
                      std::to_string(backlog_)},
                     {engine_calls.get(), engine_commands.get()});
  commands_ = std::move(commands);
  const bool first = port_ == 0;
  listener_ = std::thread([this, fd = std::move(calls)]() mutable {
    const net::Fd own = std::move(fd);
    listen_to_it(own.get());
  });
  for (const Instant until = clock_now() + starts_within; first && port_ == 0; usleep(1000))
    if (clock_now() > until) throw std::runtime_error("an engine did not start");
  for (const auto& [fault, command] : faults_) send(command);
}

void EngineProcess::kill_process() {
  if (pid_ <= 0) return;
  kill_child(std::exchange(pid_, 0));
  listener_.join();
}

void EngineProcess::stop() {
  if (stops_++ > 0) return;
  ::kill(pid_, SIGSTOP);
  journal_.add(EngineStopped{number_, clock_now()});
}

void EngineProcess::go_on() {
  if (stops_ == 0 || --stops_ > 0) return;
  journal_.add(EngineWentOn{number_, clock_now()});
  ::kill(pid_, SIGCONT);
}

void EngineProcess::send(const EngineCommand& command) const {
  ::send(commands_.get(), &command, sizeof command, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void EngineProcess::set(EngineCommand::Fault fault, bool on, int millis) {
  faults_[fault] = {fault, on, millis};
  send(faults_[fault]);
}

void EngineProcess::restart() {
  kill_process();
  held_.forget_engine(number_);
  start();
  if (stops_ > 0) ::kill(pid_, SIGSTOP);
}

void EngineProcess::listen_to_it(int descriptor) {
  for (EngineCall call;;) {
    const ssize_t got = net::retry_interrupted([&] { return ::recv(descriptor, &call, sizeof call, 0); });
    if (got != sizeof call) break;
    const std::uint64_t answer = take(call);
    if (::send(descriptor, &answer, sizeof answer, MSG_NOSIGNAL) != sizeof answer) break;
  }
  end_all_attempts();
}

std::uint64_t EngineProcess::take(const EngineCall& call) {
  const std::string id(call.id.data());
  const Instant at = Instant::at(Span::micros(call.at_micros));
  switch (call.kind) {
    case Kind::Listening: port_ = static_cast<unsigned short>(call.number); return 0;
    case Kind::AttemptBegan: {
      const std::uint64_t number = ++attempts_;
      open_[number] = {id, role_ == Role::Prefill, false};
      const bool told = call.told_wait_millis >= 0;
      journal_.add(AttemptBegan{id, number_, number, role_, at,
                                told ? std::optional(Span::millis(call.told_wait_millis)) : std::nullopt,
                                Instant::at(Span::micros(call.received_micros))});
      if (role_ == Role::Prefill) held_.read_begins(id);
      return number;
    }
    case Kind::AttemptEnded: {
      const bool fetched = open_[call.number].fetched;
      end_read(call.number);
      held_.attempt_ends(id, call.number);
      open_.erase(call.number);
      journal_.add(AttemptEnded{id, call.number, at, fetched,
                                call.has_stream ? stream_of(call.number) : std::string(), call.broken,
                                events_of(call)});
      return 0;
    }
    case Kind::ReadEnded: end_read(call.number); return 0;
    case Kind::Hold: held_.hold(id, number_); return 0;
    case Kind::GrantPlace: return held_.ask_place(id, number_);
    case Kind::AttemptWaits: {
      const bool has_state = held_.attempt_begins(id, number_, call.number);
      open_[call.number].fetched = has_state;  // from here on it may have had its effect
      return has_state;
    }
    case Kind::FirstToken: held_.first_token(id, call.number); return 0;
    case Kind::Release: held_.release(id); return 0;
  }
  return 0;
}

void EngineProcess::end_read(std::uint64_t attempt) {
  OpenAttempt& open = open_[attempt];
  if (std::exchange(open.reading, false)) held_.read_ends(open.id);
}

// Its process has gone: what was being worked on broke off.
void EngineProcess::end_all_attempts() {
  for (const auto& [number, attempt] : open_) {
    end_read(number);
    held_.attempt_ends(attempt.id, number);
    journal_.add(AttemptEnded{attempt.id, number, clock_now(), attempt.fetched,
                              attempt.fetched ? stream_of(number) : std::string(), true});
  }
  open_.clear();
}

}  // namespace calicograde::soak
