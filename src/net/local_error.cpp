#include "net/local_error.hpp"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>

#include "net/clock.hpp"

namespace calicograde::net {
namespace {

constexpr Span first_pause = Span::millis(1), longest_pause = Span::millis(20);
constexpr int most_doublings = 5;

std::atomic<std::uint64_t> state{0x9E3779B97F4A7C15ULL};

// In [0.5, 1.5).
double jitter() {
  std::uint64_t x = state.fetch_add(0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return 0.5 + static_cast<double>((x ^ (x >> 31)) >> 11) / 9007199254740992.0;
}

}  // namespace

bool is_out_of_memory(int error) { return error == ENOMEM || error == ENOBUFS; }

bool is_local_error(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOMEM:
    case ENOBUFS:
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
    case ENETDOWN:
    case EACCES:
    case EPERM: return true;
    default: return false;
  }
}

void LocalRetry::seed(std::uint64_t seed) { state = seed; }

bool LocalRetry::pause() {
  const Span left = deadline_ - clock_now();
  if (left <= Span{}) return false;
  const double grown = static_cast<double>(1 << std::min(tries_++, most_doublings));
  const Span wait = std::min({first_pause * grown, longest_pause, left}) * jitter();
  ::usleep(static_cast<useconds_t>(std::max<std::int64_t>(1, std::min(wait, left).as_micros())));
  return true;
}

}  // namespace calicograde::net
