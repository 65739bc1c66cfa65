#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What a front keeps through a restart, and its form on disk: sections of FlatBuffers, each with its length
// and checksum (XXH3-64). Free of I/O and clocks. docs/state.md says what is kept and what must not be.
namespace calicograde::keep {

// An idempotency key under which something may have run.
struct Mark {
  std::string route, key;
  std::int64_t first_ms = 0;  // wall time, of the first send that may have run
  // Over: the try has ended, and `ran` tells whether it may have run; else it is in work, and may.
  bool ran = true, unsure = false, over = false;
  std::int64_t first_boot_ms = 0;  // the same on the machine's boot clock,
  std::string boot = {};           // and which start of the machine that is; empty = not known
  bool operator==(const Mark&) const = default;
};
struct EngineMemory {
  std::string address, incarnation;  // of the process that it is about
  double taken_per_s = 0;            // tokens that this front saw it take in
};
struct RunMemory {
  std::uint64_t after = 0;  // the block before the first; 0 = a prompt's opening
  std::uint32_t depth = 0;  // blocks before it
  std::vector<std::uint64_t> blocks;
  struct Part {
    std::uint32_t engine = 0, blocks = 0;  // engine: its place in the pool's list
    float distance = 0;                    // tokens that it took in since this was touched
  };
  std::vector<Part> kept;
};
struct PoolMemory {
  std::string name;
  std::vector<EngineMemory> engines;
  std::vector<RunMemory> runs;
  double cap = 0;                                     // what was found that may be in work; 0 = nothing
  std::vector<std::string> held_engines, held_halls;  // by hand
};
struct State {
  std::string front;
  std::int64_t wall_ms = 0;
  std::uint64_t generation = 0;
  std::int64_t boot_ms = 0;  // as wall_ms, on the machine's boot clock
  std::string boot = {};
  std::vector<Mark> marks;
  std::vector<PoolMemory> pools;
};

constexpr std::uint32_t format = 1;
constexpr std::size_t most_bytes = std::size_t{1} << 30;

std::string encode(const State& state);
struct Decoded {
  std::optional<State> state;
  std::string wrong;   // why there is none
  bool newer = false;  // it is whole, but of a later format than this program reads
};
Decoded decode(std::string_view bytes);

// Records of the log between two snapshots.
std::string encode_mark(const Mark& mark);
// All whole records from the beginning on; `whole`: their bytes. What follows was torn, or is damaged.
std::vector<Mark> decode_marks(std::string_view bytes, std::size_t& whole);

}  // namespace calicograde::keep
