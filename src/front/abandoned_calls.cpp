#include "front/abandoned_calls.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <system_error>
#include <utility>

#include "net/clock.hpp"

namespace calicograde::front {
namespace {

using net::clock_now;

constexpr Span kept_at_most = Span::millis(30000);
constexpr Span look_every = Span::millis(1000);
// After an engine has taken one call it takes those that came on other connections within this time.
constexpr Span takes_others_within = Span::millis(250);
constexpr std::size_t most_unwatched = 4096;

// Whether the other side has written anything.
bool has_bytes(int descriptor) {
  char byte = 0;
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

AbandonedCalls::~AbandonedCalls() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.raise();
  if (thread_.joinable()) thread_.join();
}

void AbandonedCalls::keep(const EngineId& engine, http::ClientConnection connection, Over over) {
  connection.stream().watch(-1);
  connection.stream().end_sending();
  const std::lock_guard lock(mutex_);
  if (most_ == 0 || !changed_.ok()) return;
  calls_.push_back({engine, std::move(connection), std::move(over), clock_now()});
  if (!has_thread()) calls_.pop_back();
  else make_room();
  changed_.raise();
}

// Starts it with the first call. Where this machine has no thread left for now, nobody could look after a
// call.
bool AbandonedCalls::has_thread() {
  if (thread_.joinable()) return true;
  try {
    thread_ = std::thread([this] { run(); });
    return true;
  } catch (const std::system_error&) {
    return false;
  }
}

std::size_t AbandonedCalls::connections() const {
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

std::size_t AbandonedCalls::count() const {
  const std::lock_guard lock(mutex_);
  const auto untold = [](const Unwatched& call) { return !call.told_before; };
  return calls_.size() +
         static_cast<std::size_t>(std::count_if(unwatched_.begin(), unwatched_.end(), untold));
}

void AbandonedCalls::make_room() {
  if (calls_.size() <= most_) return;
  const auto closed = oldest_of_busiest_engine();
  add_unwatched(std::move(*closed), false);
  calls_.erase(closed);
}

// So that a connection is left to each engine, from which it is heard when the engine goes on.
std::list<AbandonedCalls::Call>::iterator AbandonedCalls::oldest_of_busiest_engine() {
  std::map<EngineId, std::size_t> counts;
  for (const Call& call : calls_) ++counts[call.engine];
  const auto fewer = [](const auto& a, const auto& b) { return a.second < b.second; };
  const EngineId busiest = std::max_element(counts.begin(), counts.end(), fewer)->first;
  return std::find_if(calls_.begin(), calls_.end(), [&](const Call& call) { return call.engine == busiest; });
}

void AbandonedCalls::run() {
  for (;;) {
    std::vector<pollfd> waits{{changed_.fd(), POLLIN, 0}};
    Instant until;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      for (Call& call : calls_) waits.push_back({call.connection.stream().fd(), POLLIN, 0});
      until = next_look(clock_now());
    }
    if (net::wait_ready(waits.data(), waits.size(), until) > 0) changed_.clear();
    // Looked at by the connections themselves: the list may have changed since.
    for (Call& call : take_those_over()) tell(std::move(call));
    for (const Over& over : take_due(clock_now())) over(false);
  }
}

// An end without an answer may be that of something between here and the engine, which may take the call yet.
void AbandonedCalls::tell(Call call) {
  const bool answered = has_bytes(call.connection.stream().fd());
  call.over(answered);
  if (answered) return;
  const std::lock_guard lock(mutex_);
  add_unwatched(std::move(call), true);
}

void AbandonedCalls::add_unwatched(Call call, bool told_before) {
  unwatched_.push_back({call.engine, std::move(call.over), call.since + kept_at_most, told_before});
  if (unwatched_.size() > most_unwatched) unwatched_.pop_front();
}

void AbandonedCalls::engine_answered(const EngineId& engine) {
  const std::lock_guard lock(mutex_);
  if (unwatched_.empty()) return;
  hurry(engine, clock_now() + takes_others_within);
  changed_.raise();
}

Instant AbandonedCalls::next_look(Instant now) const {
  Instant next = now + look_every;
  for (const Unwatched& call : unwatched_) next = std::min(next, call.due);
  return next;
}

std::list<AbandonedCalls::Call> AbandonedCalls::take_those_over() {
  const std::lock_guard lock(mutex_);
  const Instant now = clock_now();
  close_old(now);
  std::list<Call> over;
  for (auto it = calls_.begin(); it != calls_.end();) {
    const auto here = it++;
    pollfd look{here->connection.stream().fd(), POLLIN, 0};
    if (::poll(&look, 1, 0) <= 0) continue;
    hurry(here->engine, now + takes_others_within);
    over.splice(over.end(), calls_, here);
  }
  return over;
}

void AbandonedCalls::hurry(const EngineId& engine, Instant due) {
  for (Unwatched& call : unwatched_)
    if (call.engine == engine) call.due = std::min(call.due, due);
}

std::vector<AbandonedCalls::Over> AbandonedCalls::take_due(Instant now) {
  const std::lock_guard lock(mutex_);
  std::vector<Over> out;
  std::erase_if(unwatched_, [&](Unwatched& call) {
    if (call.due > now) return false;
    out.push_back(std::move(call.over));
    return true;
  });
  return out;
}

// Its engine may still take it, or hear of its end, when it goes on.
void AbandonedCalls::close_old(Instant now) {
  while (!calls_.empty() && now - calls_.front().since > kept_at_most) {
    calls_.front().since = now;
    add_unwatched(std::move(calls_.front()), false);
    calls_.pop_front();
  }
}

}  // namespace calicograde::front
