#include "front/ticket.hpp"

#include <algorithm>
#include <chrono>

#include "net/clock.hpp"

namespace calicograde::front {

using net::clock_now;

net::Waited Ticket::wait(int client_fd, Instant deadline) {
  constexpr Span look_every = Span::millis(500);
  std::unique_lock lock(mutex_);
  for (;;) {
    const auto come = [&] { return stream_ || final_ || poked_ || peer_left_; };
    const Span left = std::min(deadline - clock_now(), client_fd >= 0 ? look_every : Span::millis(600000));
    come_.wait_for(lock, std::chrono::microseconds(std::max<std::int64_t>(0, left.as_micros())), come);
    if (stream_ || final_ || poked_) return poked_ = false, net::Waited::Woken;
    if (peer_left_) return net::Waited::PeerLeft;
    if (client_fd >= 0 && net::hung_up(client_fd)) return net::Waited::PeerLeft;
    if (clock_now() >= deadline) return net::Waited::TimedOut;
  }
}

void Ticket::peer_left() {
  const std::lock_guard lock(mutex_);
  peer_left_ = true;
  if (!left_at_) left_at_ = clock_now();
  come_.notify_all();
}

void Ticket::poke() {
  const std::lock_guard lock(mutex_);
  poked_ = true;
  come_.notify_all();
}

std::variant<std::monostate, Final, std::unique_ptr<EngineStream>> Ticket::take() {
  const std::lock_guard lock(mutex_);
  if (stream_) return std::move(stream_);
  if (final_) return *std::exchange(final_, {});
  return std::monostate{};
}

std::optional<Instant> Ticket::left_at() const {
  const std::lock_guard lock(mutex_);
  return left_at_;
}

int Ticket::writes() const {
  const std::lock_guard lock(mutex_);
  return writes_;
}

bool Ticket::leave() {
  const std::lock_guard lock(mutex_);
  left_ = true;
  return claim_.leave();
}

void Ticket::forget_client() {
  const std::lock_guard lock(mutex_);
  client_ = nullptr;
}

Ticket::Demand Ticket::demand() const {
  const std::lock_guard lock(mutex_);
  if (left_ || claim_.state() == Claim::State::Left) return Demand::ClientGone;
  if (claim_.state() != Claim::State::Open) return Demand::Answered;
  if (!client_) return Demand::Waiting;
  switch (client_->look_at_client()) {
    case http::ServerConnection::Client::Gone: return Demand::ClientGone;
    case http::ServerConnection::Client::Unseen: return Demand::ClientUnseen;
    case http::ServerConnection::Client::There: break;
  }
  return Demand::Waiting;
}

void Ticket::attempt_ordered() {
  const std::lock_guard lock(mutex_);
  attempt_ordered_ = true;
}

bool Ticket::any_attempt_ordered() const {
  const std::lock_guard lock(mutex_);
  return attempt_ordered_;
}

std::uint8_t Ticket::streaming_send() const {
  const std::lock_guard lock(mutex_);
  return claim_.send().value_or(0);
}

bool Ticket::claim_stream(std::uint8_t send) {
  const std::lock_guard lock(mutex_);
  return claim_.stream(send);
}

bool Ticket::deliver(std::unique_ptr<EngineStream>& stream) {
  const std::lock_guard lock(mutex_);
  if (left_) return false;
  stream_ = std::move(stream);
  come_.notify_all();
  return true;
}

bool Ticket::answer(const Final& final) {
  const std::lock_guard lock(mutex_);
  if (!claim_.answer()) return false;
  final_ = final;
  come_.notify_all();
  return true;
}

void Ticket::write_ordered(Instant now) {
  const std::lock_guard lock(mutex_);
  if (writes_++ == 0) first_write_ = now;
}

void Ticket::write_unrun() {
  const std::lock_guard lock(mutex_);
  --writes_;
}

std::pair<bool, Instant> Ticket::may_have_run() const {
  const std::lock_guard lock(mutex_);
  // Where the client left on its own, a write may yet be ordered before the module's owner hears of it.
  return {writes_ > 0 || claim_.state() == Claim::State::Left, writes_ > 0 ? first_write_ : net::clock_now()};
}

void Ticket::learn(const Usage& usage) {
  const std::lock_guard lock(mutex_);
  usage_ = usage, usage_.answer_tokens = 0;
}

Usage Ticket::usage() const {
  const std::lock_guard lock(mutex_);
  return usage_;
}

}  // namespace calicograde::front
