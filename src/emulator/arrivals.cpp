#include "emulator/arrivals.hpp"

#include <algorithm>
#include <boost/math/distributions/lognormal.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <random>

namespace calicograde::emulator {
namespace {

constexpr const char* header = "at_s,session,opening,opening_tokens,turn_tokens,answer_tokens";
constexpr std::size_t most_rows = 10000000;

double lognormal(double median, double spread, double low, double high, std::mt19937& chance) {
  const boost::math::lognormal_distribution<double> d(std::log(median), spread);
  return boost::math::quantile(d, std::uniform_real_distribution<double>(low, high)(chance));
}

}  // namespace

double rate_at(const LoadShape& load, double t, double length) {
  const bool burst = load.burst_s > 0 && std::fmod(t, 30.0) < load.burst_s;
  const double ramp = length > 0 ? 1 + (load.ramp - 1) * std::clamp(t / length, 0.0, 1.0) : 1;
  return load.sessions_a_s * (burst ? load.burst : 1) * ramp;
}

double opening_length(const LoadShape& load, std::uint64_t opening, std::uint64_t seed) {
  std::mt19937 own(static_cast<std::uint32_t>(seed * 7919 + opening));
  return lognormal(load.opening_tokens, load.spread, 0.05, 0.95, own);
}

std::vector<Arrival> arrivals(const LoadShape& load, std::uint64_t seed, Span length) {
  if (load.recorded) return *load.recorded;
  std::mt19937 chance(static_cast<std::uint32_t>(seed));
  std::vector<double> weights(load.openings);
  for (std::size_t k = 0; k < weights.size(); ++k)
    weights[k] = 1 / std::pow(static_cast<double>(k + 1), load.zipf);
  std::discrete_distribution<std::size_t> which(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(1), think(1 / std::max(0.001, load.think_s));
  std::geometric_distribution<int> more(1 / std::max(1.0, load.turns));
  std::vector<Arrival> out;
  std::uint64_t session = 0;
  for (double t = 0; out.size() < most_rows;) {
    t += gap(chance) / std::max(1e-6, rate_at(load, t, length.seconds()));
    if (t >= length.seconds()) break;
    Arrival a;
    a.session = ++session, a.opening = which(chance), a.at_s = t;
    a.opening_tokens = opening_length(load, a.opening, seed);
    for (int turns = 1 + more(chance); turns > 0 && a.at_s < length.seconds(); --turns) {
      a.turn_tokens = lognormal(load.turn_tokens, load.spread, 0.001, 0.999, chance);
      a.answer_tokens = std::max(1.0, lognormal(load.answer_tokens, load.spread, 0.001, 0.999, chance));
      out.push_back(a);
      a.at_s += think(chance);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at_s < b.at_s; });
  return out;
}

std::optional<std::vector<Arrival>> read_arrivals(const std::string& file, std::string_view text,
                                                  std::vector<settings::Fault>& faults) {
  const auto before = faults.size();
  std::vector<Arrival> out;
  int line = 0;
  const auto fault = [&](std::string what, std::string mend) {
    if (faults.size() < before + 20) faults.push_back({file, line, std::move(what), std::move(mend)});
  };
  while (!text.empty()) {
    const auto end = text.find('\n');
    std::string_view row = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    ++line;
    if (row.ends_with('\r')) row.remove_suffix(1);
    if (line == 1) {
      if (row != header) fault("the first line is not the header", std::string("begin with ") + header);
      continue;
    }
    if (row.empty()) continue;
    double v[6] = {};
    int n = 0;
    bool good = true;
    for (std::string_view rest = row; good && n < 6;) {
      const auto comma = rest.find(',');
      const std::string_view cell = rest.substr(0, comma);
      const auto r = std::from_chars(cell.data(), cell.data() + cell.size(), v[n]);
      good = r.ec == std::errc() && r.ptr == cell.data() + cell.size() && std::isfinite(v[n]) && v[n] >= 0 &&
             v[n] < 1e15;
      ++n;
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
      if (n == 6) good = false;
    }
    if (!good || n != 6) {
      fault("'" + std::string(row.substr(0, 60)) + "' is no arrival",
            "write six numbers of 0 or more, with commas between");
      continue;
    }
    if (v[5] < 1) fault("answer_tokens is below 1", "every answer has a token");
    if (v[3] > 1e7 || v[4] > 1e7 || v[5] > 1e7) fault("more than 10,000,000 tokens", "lower it");
    out.push_back(
        {v[0], static_cast<std::uint64_t>(v[1]), static_cast<std::uint64_t>(v[2]), v[3], v[4], v[5]});
  }
  if (out.empty() && faults.size() == before) fault("there is no arrival", "give at least one row");
  if (faults.size() > before) return std::nullopt;
  std::stable_sort(out.begin(), out.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at_s < b.at_s; });
  return out;
}

std::string text_of(const std::vector<Arrival>& rows) {
  std::string out = std::string(header) + "\n";
  char line[160];
  for (const Arrival& a : rows) {
    std::snprintf(line, sizeof line, "%.6f,%llu,%llu,%.0f,%.0f,%.0f\n", a.at_s,
                  static_cast<unsigned long long>(a.session), static_cast<unsigned long long>(a.opening),
                  a.opening_tokens, a.turn_tokens, a.answer_tokens);
    out += line;
  }
  return out;
}

}  // namespace calicograde::emulator
