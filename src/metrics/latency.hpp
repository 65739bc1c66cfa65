#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/time.hpp"

// Latencies in buckets that are the same at every front, so that those of many fronts add up exactly; and
// how inferences ended.
namespace calicograde::metrics {

// 16 buckets for each doubling, from 0.1 ms to 1,000 s; below and above in one bucket each.
class Latency {
 public:
  Latency();
  void add(Span took);
  // Counts, the underflow first and the overflow last.
  std::vector<std::uint64_t> counts() const;
  // Adds counts as counts() gives them; false if they are of other buckets.
  bool add_counts(const std::vector<std::uint64_t>& counts);
  std::uint64_t total() const;
  // The upper end of the bucket in which the quantile lies, in ms; 0 of nothing.
  double quantile_ms(double part) const;
  static constexpr std::uint32_t version = 1;  // of the buckets

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> counts_;
};

struct RouteFigures {
  std::map<std::string, std::uint64_t> outcomes;
  Latency first_token, whole;
};

// Thread-safe.
class Figures {
 public:
  void ended(const std::string& route, const std::string& outcome, Span first_token, Span whole);
  std::map<std::string, RouteFigures> all() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, RouteFigures> routes_;
};

}  // namespace calicograde::metrics
