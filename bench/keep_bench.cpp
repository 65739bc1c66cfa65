// What keeping costs: copying an index out in slices (the router's pause), encoding, size, decoding,
// restoring. bench/keep.md has command and result.
#include <algorithm>
#include <chrono>
#include <cstdio>

#include "keep/state.hpp"
#include "prefix/index.hpp"

using namespace calicograde;
using Clock = std::chrono::steady_clock;

static double ms(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

int main() {
  prefix::Index index({1 << 20, 200, 200000, 1});
  std::vector<EngineId> engines;
  for (std::uint8_t k = 0; k < 100; ++k)
    engines.push_back({{10, 0, 0, k}, 80}), index.listed(engines.back(), 1, 1e9);
  for (std::uint64_t s = 0; index.blocks() < 1000000; ++s) {
    prefix::Chain c;
    for (std::uint64_t k = 0; k < 350; ++k)
      c.push_back(k < 200 ? s % 50 * 1000 + k + 1 : 1000000 + s * 1000 + k);
    for (int k = 0; k < 3; ++k)
      index.read(engines[(s * 3 + static_cast<std::uint64_t>(k)) % 100], c, 22400, std::nullopt, 0);
  }
  keep::State state;
  state.front = "f", state.wall_ms = 1;
  keep::PoolMemory pool;
  pool.engines.resize(100);
  double worst = 0, all = 0;
  std::size_t slices = 0;
  std::vector<prefix::Index::KeptRun> runs;
  for (std::optional<std::size_t> from = 0; from; ++slices) {
    std::vector<prefix::Index::KeptRun> some;
    const auto begun = Clock::now();
    from = index.copy(*from, 256, some);
    worst = std::max(worst, ms(begun)), all += ms(begun);
    for (auto& r : some) runs.push_back(std::move(r));
  }
  for (const auto& r : runs) {
    keep::RunMemory m;
    m.after = r.after, m.depth = r.depth, m.blocks = r.blocks;
    for (const auto& p : r.kept)
      m.kept.push_back({p.engine.address[3], p.blocks, static_cast<float>(p.distance)});
    pool.runs.push_back(std::move(m));
  }
  state.pools.push_back(std::move(pool));
  auto begun = Clock::now();
  const std::string bytes = keep::encode(state);
  const double encoded = ms(begun);
  begun = Clock::now();
  const auto read = keep::decode(bytes);
  const double decoded = ms(begun);
  prefix::Index back({1 << 20, 200, 200000, 1});
  for (const auto& e : engines) back.listed(e, 1, 1e9);
  std::stable_sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) { return a.depth < b.depth; });
  begun = Clock::now();
  for (const auto& r : runs) back.restore(r);
  std::printf(
      "| figure, %zu blocks in %zu runs | value |\n| --- | --- |\n| copied out in slices of 256 | %zu "
      "slices, the longest %.2f "
      "ms, %.0f ms in all |\n| encoded | %.0f ms, %.1f MB |\n| decoded and checked | %.0f ms, %s |\n| "
      "restored | %.0f ms, %zu "
      "blocks |\n",
      index.blocks(), runs.size(), slices, worst, all, encoded, static_cast<double>(bytes.size()) / 1e6,
      decoded, read.state ? "whole" : read.wrong.c_str(), ms(begun), back.blocks());
}
