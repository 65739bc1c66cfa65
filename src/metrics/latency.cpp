#include "metrics/latency.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace calicograde::metrics {
namespace {

constexpr double least_ms = 0.1, most_ms = 0.1 * (1 << 23) * 1.25;
constexpr unsigned buckets = 16 * 24;  // of equal width in the logarithm; the last end is about 1,000 s

}  // namespace

Latency::Latency()
    : counts_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
                                                    Axis(buckets, least_ms, most_ms))) {}

void Latency::add(Span took) { counts_(std::max(1e-6, took.as_millis())); }

std::vector<std::uint64_t> Latency::counts() const {
  std::vector<std::uint64_t> out;
  for (int k = -1; k <= static_cast<int>(buckets); ++k) out.push_back(counts_.at(k));
  return out;
}

bool Latency::add_counts(const std::vector<std::uint64_t>& counts) {
  if (counts.size() != buckets + 2) return false;
  for (int k = -1; k <= static_cast<int>(buckets); ++k)
    counts_.at(k) += counts[static_cast<std::size_t>(k + 1)];
  return true;
}

std::uint64_t Latency::total() const {
  const auto all = counts();
  return std::accumulate(all.begin(), all.end(), std::uint64_t{0});
}

double Latency::quantile_ms(double part) const {
  const auto all = counts();
  const auto wanted = static_cast<std::uint64_t>(std::ceil(static_cast<double>(total()) * part));
  std::uint64_t seen = 0;
  for (std::size_t k = 0; k < all.size(); ++k)
    if (seen += all[k]; seen >= wanted && seen > 0)
      return k == 0 ? least_ms : k > buckets ? most_ms : counts_.axis().bin(static_cast<int>(k) - 1).upper();
  return 0;
}

void Figures::ended(const std::string& route, const std::string& outcome, Span first_token, Span whole) {
  const std::lock_guard lock(mutex_);
  RouteFigures& r = routes_[route];
  ++r.outcomes[outcome];
  if (first_token > Span{}) r.first_token.add(first_token);
  if (outcome == "completed") r.whole.add(whole);
}

std::map<std::string, RouteFigures> Figures::all() const {
  const std::lock_guard lock(mutex_);
  return routes_;
}

}  // namespace calicograde::metrics
