#include "keep/moment.hpp"

#include <time.h>

#include "files/atomic_file.hpp"

namespace calicograde::keep {
namespace {

constexpr const char* boot_id_file = "/proc/sys/kernel/random/boot_id";
constexpr std::size_t longest_boot_id = 256;

std::int64_t millis(clockid_t clock) {
  timespec t{};
  clock_gettime(clock, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

std::string boot_id() {
  std::string wrong;
  std::string id = files::read_small(boot_id_file, wrong, longest_boot_id).value_or("");
  while (!id.empty() && id.back() == '\n') id.pop_back();
  return id;
}

}  // namespace

Moment moment_now() {
  static const std::string boot = boot_id();
  return {millis(CLOCK_REALTIME), millis(CLOCK_BOOTTIME), boot};
}

}  // namespace calicograde::keep
