#include "soak/engine_channel.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "net/clock.hpp"
#include "net/interrupted.hpp"

namespace calicograde::soak {

void EngineCall::set_id(const std::string& text) {
  const std::size_t length = std::min(text.size(), id.size() - 1);
  std::copy_n(text.begin(), length, id.begin());
  id[length] = '\0';
}

std::uint64_t EngineChannel::call(EngineCall::Kind kind, const std::string& id, std::uint64_t number) {
  EngineCall message;
  message.kind = kind;
  message.number = number;
  message.set_id(id);
  return call(message);
}

std::uint64_t EngineChannel::call(const EngineCall& message) {
  EngineCall timed = message;
  timed.at_micros = (net::clock_now() - Instant{}).as_micros();
  const std::lock_guard lock(mutex_);
  std::uint64_t answer = 0;
  if (::send(descriptor_, &timed, sizeof timed, MSG_NOSIGNAL) != sizeof timed) _exit(0);
  const ssize_t got = net::retry_interrupted([&] { return ::recv(descriptor_, &answer, sizeof answer, 0); });
  if (got != sizeof answer) _exit(0);
  return answer;
}

std::string event_of(std::uint64_t attempt, int number) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a" + std::to_string(attempt) + "e" +
         std::to_string(number) + "\"}}]}\n\n";
}

std::string stream_of(std::uint64_t attempt) {
  std::string out;
  for (int k = 0; k < events_each; ++k) out += event_of(attempt, k);
  return out + stream_end;
}

}  // namespace calicograde::soak
