#pragma once

// The cheapest pair of a reader and a writer among many, kept up as single costs change: part of the module,
// as router.cpp is. Chooses what a look at all pairs would choose.
#include <cstddef>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace calicograde {

// The lowest of a row of costs and its place; of equal ones the first. A change costs the logarithm of their
// number.
class LowestCost {
 public:
  explicit LowestCost(const std::vector<double>& costs) : costs_(costs) {
    while (leaves_ < costs_.size()) leaves_ *= 2;
    winners_.assign(2 * leaves_, none);
    for (std::size_t k = 0; k < costs_.size(); ++k) winners_[leaves_ + k] = k;
    for (std::size_t at = leaves_ - 1; at > 0; --at)
      winners_[at] = lower(winners_[2 * at], winners_[2 * at + 1]);
  }
  void set(std::size_t place, double cost) {
    if (costs_[place] == cost) return;
    costs_[place] = cost;
    for (std::size_t at = (leaves_ + place) / 2; at > 0; at /= 2)
      winners_[at] = lower(winners_[2 * at], winners_[2 * at + 1]);
  }
  std::size_t place() const { return winners_[1]; }
  double cost() const {
    return winners_[1] == none ? std::numeric_limits<double>::infinity() : costs_[winners_[1]];
  }

 private:
  static constexpr std::size_t none = SIZE_MAX;
  std::size_t lower(std::size_t a, std::size_t b) const {
    if (a == none || b == none) return a == none ? b : a;
    return costs_[b] < costs_[a] ? b : a;
  }
  std::vector<double> costs_;
  std::size_t leaves_ = 1;
  std::vector<std::size_t> winners_;  // of the subtree at each node; the root is 1
};

// Readers and writers are numbered alike; each stands in a rack. A pair in one rack costs the sum of both;
// else the way between racks is added. An engine that reads for itself is a pair with itself alone.
class CheapestPair {
 public:
  static constexpr double never = std::numeric_limits<double>::infinity();
  struct Costs {
    std::size_t rack = 0;
    double read = never, write = never;  // never: it does not take that part
    bool itself = false;
  };

  CheapestPair(std::vector<Costs> costs, std::size_t racks, double far)
      : costs_(std::move(costs)),
        far_(far),
        places_(costs_.size()),
        members_(racks),
        pairs_near_({}),
        readers_({}),
        writers_({}),
        alone_({}) {
    for (std::size_t k = 0; k < costs_.size(); ++k) {
      auto& members = members_[costs_[k].rack];
      places_[k] = members.size(), members.push_back(k);
    }
    std::vector<double> near, read, write, alone;
    for (const auto& members : members_) {
      std::vector<double> reads, writes;
      for (const std::size_t k : members) reads.push_back(reader_cost(k)), writes.push_back(costs_[k].write);
      racks_.push_back({LowestCost(reads), LowestCost(writes)});
      const Rack& rack = racks_.back();
      near.push_back(rack.readers.cost() + rack.writers.cost());
      read.push_back(rack.readers.cost()), write.push_back(rack.writers.cost());
    }
    for (std::size_t k = 0; k < costs_.size(); ++k) alone.push_back(alone_cost(k));
    pairs_near_ = LowestCost(near), readers_ = LowestCost(read), writers_ = LowestCost(write);
    alone_ = LowestCost(alone);
  }

  void set_read(std::size_t engine, double cost) {
    costs_[engine].read = cost;
    update(engine);
  }
  void set_write(std::size_t engine, double cost) {
    costs_[engine].write = cost;
    update(engine);
  }
  double read(std::size_t engine) const { return costs_[engine].read; }

  // The reader and the writer; none where no pair can be made.
  std::optional<std::pair<std::size_t, std::size_t>> best() const {
    const double near = pairs_near_.cost(), far = readers_.cost() + (writers_.cost() + far_);
    const double alone = alone_.cost();
    if (near == never && far == never && alone == never) return std::nullopt;
    if (alone < near && alone < far) return std::pair{alone_.place(), alone_.place()};
    const std::size_t rack = near <= far ? pairs_near_.place() : readers_.place();
    const std::size_t from = near <= far ? rack : writers_.place();
    return std::pair{members_[rack][racks_[rack].readers.place()],
                     members_[from][racks_[from].writers.place()]};
  }

 private:
  struct Rack {
    LowestCost readers, writers;
  };
  double reader_cost(std::size_t k) const { return costs_[k].itself ? never : costs_[k].read; }
  double alone_cost(std::size_t k) const {
    return costs_[k].itself ? costs_[k].read + costs_[k].write : never;
  }
  void update(std::size_t engine) {
    const std::size_t at = costs_[engine].rack;
    Rack& rack = racks_[at];
    rack.readers.set(places_[engine], reader_cost(engine));
    rack.writers.set(places_[engine], costs_[engine].write);
    pairs_near_.set(at, rack.readers.cost() + rack.writers.cost());
    readers_.set(at, rack.readers.cost()), writers_.set(at, rack.writers.cost());
    alone_.set(engine, alone_cost(engine));
  }

  std::vector<Costs> costs_;
  const double far_;
  std::vector<std::size_t> places_;  // of each engine in its rack
  std::vector<std::vector<std::size_t>> members_;
  std::vector<Rack> racks_;
  LowestCost pairs_near_, readers_, writers_;  // by rack
  LowestCost alone_;                           // by engine
};

}  // namespace calicograde
