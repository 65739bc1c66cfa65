#include "front/release_race.hpp"

#include <algorithm>

#include "net/clock.hpp"

namespace calicograde::front {
namespace {

using net::clock_now;

constexpr std::size_t answer_bytes = 64 << 10;
constexpr Span answer_within = Span::millis(20);  // once its first byte has come

}  // namespace

ReleaseRace::ReleaseRace(const Words& words, std::size_t engines, const Rules& rules, Calls calls)
    : words_(words), engines_(engines), rules_(rules), calls_(std::move(calls)) {}

ReleaseRace::End ReleaseRace::run(const std::function<bool(const http::Response&)>& released) {
  Instant next_at = clock_now();
  std::size_t at_once = rules_.at_once;
  while (clock_now() < rules_.give_up_at) {
    if (next_ < engines_ && (out_.empty() || clock_now() >= next_at)) {
      for (std::size_t k = 0; k < std::max<std::size_t>(1, at_once) && next_ < engines_; ++k)
        if (!ask_next()) return End::Withheld;
      at_once = 1;
      next_at = clock_now() + rules_.next_after;
      continue;
    }
    if (out_.empty()) break;  // all were asked, and none is left that may answer
    const Instant until = next_ < engines_ ? std::min(next_at, rules_.give_up_at) : rules_.give_up_at;
    const auto place = wait_for_any(until);
    if (place && take_answer(*place, released)) return End::Taken;
  }
  return End::NotTaken;
}

bool ReleaseRace::ask_next() {
  const std::size_t engine = next_++;
  const Instant by = std::min(clock_now() + rules_.next_after, rules_.give_up_at);
  auto connection = calls_.connect(engine, by);
  if (!connection) return true;
  if (!calls_.may_write()) {
    calls_.ended(engine, 0, std::move(*connection));
    return false;
  }
  if (connection->ask(words_.method, words_.target, words_.headers, *words_.body, by))
    out_.push_back({engine, std::move(*connection)});
  return true;
}

std::optional<std::size_t> ReleaseRace::wait_for_any(Instant deadline) {
  std::vector<pollfd> waits;
  for (Asked& asked : out_) waits.push_back({asked.connection.stream().fd(), POLLIN, 0});
  if (net::wait_ready(waits.data(), waits.size(), deadline) == 0) return std::nullopt;
  for (std::size_t k = 0; k < waits.size(); ++k)
    if (waits[k].revents != 0) return k;
  return std::nullopt;
}

bool ReleaseRace::take_answer(std::size_t place, const std::function<bool(const http::Response&)>& released) {
  Asked asked = std::move(out_[place]);
  out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(place));
  const Instant by = clock_now() + answer_within;
  http::Response head;
  std::string text;
  const bool whole = asked.connection.read_head(head, by) == http::BodyEnd::Done &&
                     asked.connection.read_whole(text, by, answer_bytes) == http::BodyEnd::Done;
  const bool taken = whole && released(head);
  calls_.ended(asked.engine, whole ? head.status : 0, std::move(asked.connection));
  return taken;
}

}  // namespace calicograde::front
