// Look-up and update time and bytes a block of the prefix index (bench/prefix.md has command and result).
#include <benchmark/benchmark.h>

#include <random>

#include "prefix/index.hpp"

using namespace calicograde;
using namespace calicograde::prefix;

namespace {

EngineId box(std::size_t n) { return {{10, 0, 0, static_cast<std::uint8_t>(n)}, 80}; }

// Sessions of 250 blocks on 50 openings of 100 blocks, each kept by three engines, until so many blocks are
// in.
Index filled(std::size_t blocks, std::size_t engines, std::vector<Chain>* some) {
  Index i({blocks + 100000, 1024, 1e9, 1});
  std::mt19937_64 chance(1);
  while (i.blocks() < blocks) {
    Chain c;
    const std::uint64_t opening = chance() % 50;
    for (std::uint64_t k = 0; k < 100; ++k) c.push_back((opening + 1) * 1000003 * 64 + k);
    for (int k = 0; k < 250; ++k) c.push_back(chance() | 1);
    for (int k = 0; k < 3; ++k) i.read(box(chance() % engines), c, 64.0 * 350, {}, 0);
    if (some && some->size() < 1000) some->push_back(std::move(c));
  }
  return i;
}

void look_up(benchmark::State& state) {
  std::vector<Chain> some;
  Index i = filled(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)), &some);
  // Prompts of so many blocks: a long text that is kept whole, at one engine of each three.
  std::mt19937_64 chance(2);
  std::vector<Chain> asked;
  for (int k = 0; k < 200; ++k) {
    Chain c = some[chance() % some.size()];
    while (c.size() < static_cast<std::size_t>(state.range(2))) c.push_back(chance() | 1);
    for (std::size_t e = 0; e < 3; ++e)
      i.read(box((static_cast<std::size_t>(k) + e) % static_cast<std::size_t>(state.range(1))), c,
             64.0 * 2000, {}, 0);
    asked.push_back(std::move(c));
  }
  std::size_t k = 0;
  for (auto _ : state) benchmark::DoNotOptimize(i.look_up(asked[k++ % asked.size()]));
  state.counters["bytes_a_block"] = static_cast<double>(i.bytes()) / static_cast<double>(i.blocks());
}
BENCHMARK(look_up)
    ->ArgNames({"blocks", "engines", "prompt"})
    ->Args({1000000, 10, 2000})
    ->Args({1000000, 100, 500})
    ->Args({1000000, 100, 2000})
    ->Args({10000000, 100, 2000});

void update(benchmark::State& state) {
  Index i = filled(static_cast<std::size_t>(state.range(0)), 100, nullptr);
  std::mt19937_64 chance(3);
  Chain c;
  for (std::uint64_t k = 0; k < 100; ++k) c.push_back(1000003 * 64 + k);
  for (int k = 0; k < 50; ++k) c.push_back(0);
  for (auto _ : state) {
    for (std::size_t k = 100; k < 150; ++k) c[k] = chance() | 1;
    i.read(box(chance() % 100), c, 64.0 * 150, {}, 0);
  }
}
BENCHMARK(update)->ArgNames({"blocks"})->Args({1000000})->Args({10000000});

void names(benchmark::State& state) {
  const std::string text(static_cast<std::size_t>(state.range(0)) * 256, 'x');
  for (auto _ : state) {
    Cutter c(256);
    c.add(text);
    benchmark::DoNotOptimize(c.chain().data());
  }
}
BENCHMARK(names)->ArgNames({"blocks"})->Args({500})->Args({2000});

}  // namespace

BENCHMARK_MAIN();
