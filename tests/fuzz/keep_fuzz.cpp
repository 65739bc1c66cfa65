// libFuzzer target: what a front reads back at its start. Not run in CI; bench/fuzz.md has command and
// result.
#include <cstddef>
#include <cstdint>
#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "keep/state.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace calicograde::keep;
  std::string bytes(reinterpret_cast<const char*>(data), size);
  std::size_t whole = 0;
  decode_marks(bytes, whole);
  if (whole > size) __builtin_trap();
  decode(bytes);
  // With its sums put right, so that what is behind them is reached.
  for (std::size_t at = 16; at + 24 <= bytes.size();) {
    std::uint64_t length = 0;
    std::memcpy(&length, bytes.data() + at + 8, 8);
    if (length > bytes.size() - at - 24) break;
    const std::uint64_t sum = XXH3_64bits(bytes.data() + at + 24, length);
    std::memcpy(bytes.data() + at + 16, &sum, 8);
    at += 24 + length;
  }
  if (bytes.size() >= 24) {
    const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size() - 8);
    std::memcpy(bytes.data() + bytes.size() - 8, &sum, 8);
  }
  const auto read = decode(bytes);
  if (read.state) decode(encode(*read.state));
  return 0;
}
