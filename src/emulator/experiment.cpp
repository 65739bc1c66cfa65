#include "emulator/experiment.hpp"

#include <hdf5.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "routing/state.hpp"

namespace calicograde::emulator {
namespace {

namespace fs = std::filesystem;

const std::map<std::string, Knows> words = {{"nothing", Knows::Nothing},
                                            {"table", Knows::Table},
                                            {"sends", Knows::Sends},
                                            {"events", Knows::Events},
                                            {"perfect", Knows::Perfect}};

// Where a run is kept: by all that it depends on, so that a file that was changed, or another experiment with
// the same names, finds no run that is not its own (found when one took the other's runs).
std::string run_file(const std::string& folder, const Experiment& e, const Arm& a, const NamedLoad& l,
                     int seed) {
  const WorldShape& w = a.world;
  const LoadShape& s = l.load;
  char all[512];
  std::snprintf(
      all, sizeof all,
      "%d %d %d %d %d %d %d %d %.0f %.0f %.0f %zu %zu %.0f %.0f %.0f %.0f %g %g %g %zu %g %g %g %g %g %g %g",
      w.readers, w.writers, w.fronts, w.racks, static_cast<int>(w.knows), w.restarts, w.halls, w.judge_halls,
      w.lost_at.as_millis(), w.lost_for.as_millis(), w.told_late.as_millis(), w.index_blocks, w.memory_blocks,
      w.length.as_millis(), w.warm_up.as_millis(), w.first_token_target.as_millis(), w.timeout.as_millis(),
      s.sessions_a_s, s.turns, s.think_s, s.openings, s.zipf, s.opening_tokens, s.turn_tokens,
      s.answer_tokens, s.spread, s.burst, s.burst_s);
  std::string whole = all;
  if (s.offer_share > 0 || s.retries > 0)
    whole += " offers " + std::to_string(s.offer_share) + " retries " + std::to_string(s.retries);
  if (w.caps || w.tiers || w.round_robin || w.repeats > 0 || w.lost_silent || w.losses != 1 ||
      w.back_share != 1 || w.front_restarts)
    whole += " bounds " + std::to_string(w.caps) + std::to_string(w.tiers) + std::to_string(w.round_robin) +
             std::to_string(static_cast<int>(w.caps_by)) + std::to_string(w.lost_silent) + " " +
             std::to_string(w.spill_bound) + " " + std::to_string(w.repeats) + " " +
             std::to_string(w.losses) + " " + std::to_string(w.back_share) + " " +
             std::to_string(w.front_restarts.value_or(Span{}).as_millis()) +
             std::to_string(static_cast<int>(w.front_keeps)) + std::to_string(w.away.as_millis());
  if (s.ramp != 1) whole += " ramp " + std::to_string(s.ramp);
  if (s.recorded) whole += text_of(*s.recorded);
  char digest[20];
  std::snprintf(digest, sizeof digest, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(whole.data(), whole.size())));
  return folder + "/" + e.name + ".runs/" + a.name + "." + l.name + "." + std::to_string(seed) + "." +
         digest + ".h5";
}

// A column a figure. The library is not made for threads: one at a time.
std::mutex& hdf5() {
  static std::mutex one;
  return one;
}
constexpr const char* columns[] = {"at_s",        "first_token_ms", "prompt_tokens", "found_tokens",
                                   "best_tokens", "outcome",        "push",          "value"};

void write_rows(const std::string& file, const std::vector<Row>& rows) {
  const std::lock_guard lock(hdf5());
  const std::string fresh = file + ".new";
  const hid_t f = H5Fcreate(fresh.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, H5P_DEFAULT);
  if (f < 0) throw std::runtime_error("cannot write " + fresh);
  const hsize_t n = rows.size();
  const hid_t space = H5Screate_simple(1, &n, nullptr);
  for (std::size_t c = 0; c < std::size(columns); ++c) {
    std::vector<double> v;
    for (const Row& r : rows) {
      const double of[] = {r.at_s,         r.first_token_ms, r.prompt_tokens,
                           r.found_tokens, r.best_tokens,    static_cast<double>(r.outcome),
                           r.push,         r.value};
      v.push_back(of[c]);
    }
    const hid_t d = H5Dcreate2(f, columns[c], H5T_IEEE_F64LE, space, H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    if (d < 0 || H5Dwrite(d, H5T_NATIVE_DOUBLE, H5S_ALL, H5S_ALL, H5P_DEFAULT, v.data()) < 0)
      throw std::runtime_error("cannot write " + fresh);
    H5Dclose(d);
  }
  H5Sclose(space), H5Fclose(f);
  fs::rename(fresh, file);  // a run that was stopped leaves nothing that counts
}

std::vector<double> read_column(hid_t file, const char* name) {
  const hid_t d = H5Dopen2(file, name, H5P_DEFAULT);
  if (d < 0) return {};
  const hid_t space = H5Dget_space(d);
  std::vector<double> out(
      static_cast<std::size_t>(std::max<hssize_t>(0, H5Sget_simple_extent_npoints(space))));
  H5Dread(d, H5T_NATIVE_DOUBLE, H5S_ALL, H5S_ALL, H5P_DEFAULT, out.data());
  H5Sclose(space), H5Dclose(d);
  return out;
}

// What one run came to.
struct Figures {
  double hit = 0, best = 0, p50 = 0, p99 = 0, late = 0, lost = 0, push = 0;
  // Value answered within the target (late ones count a fifth) over value asked for: in all, while a hall is
  // lost, and from its return until 1.5 times the warm-up later. And how long after the return it took until
  // five seconds in a row had 90% of what was served before the loss.
  double served = 0, served_lost = 0, served_back = 0, settle = 0;
  // Hit rate in the five seconds after a front's restart, and in the minute after it.
  double hit_5 = 0, hit_60 = 0;
  std::vector<double> by_second;  // served, from 0 s on; below 0 = nobody asked
};
constexpr double late_value = 0.2, settled = 0.9;
constexpr int settled_for = 5;
constexpr Span warm = Span::millis(18000);

double ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }

void by_phase(Figures& out, const std::vector<std::pair<double, double>>& seconds, const WorldShape& w) {
  const auto between = [&](double from, double to) {
    double got = 0, asked = 0;
    for (std::size_t k = 0; k < seconds.size(); ++k)
      if (static_cast<double>(k) >= from && static_cast<double>(k) < to)
        got += seconds[k].first, asked += seconds[k].second;
    return ratio(got, asked);
  };
  for (const auto& [got, asked] : seconds) out.by_second.push_back(asked > 0 ? got / asked : -1);
  out.served = between(0, 1e9);
  if (w.lost_for <= Span{}) return;
  const double lost = w.lost_at.seconds(), back = lost + w.lost_for.seconds() * (2 * w.losses - 1);
  out.served_lost = between(lost, lost + w.lost_for.seconds());
  out.served_back = between(back, back + warm.seconds());
  const double before = between(w.warm_up.seconds(), lost);
  out.settle = w.length.seconds() - back;
  for (double t = back; t + settled_for <= w.length.seconds(); t += 1)
    if (between(t, t + settled_for) >= settled * before) {
      out.settle = t - back;
      break;
    }
}

std::optional<Figures> figures_of(const std::string& file, const WorldShape& w) {
  const std::lock_guard lock(hdf5());
  if (!fs::exists(file)) return std::nullopt;
  const hid_t f = H5Fopen(file.c_str(), H5F_ACC_RDONLY, H5P_DEFAULT);
  if (f < 0) return std::nullopt;
  const auto at = read_column(f, "at_s"), first = read_column(f, "first_token_ms"),
             asked = read_column(f, "prompt_tokens"), found = read_column(f, "found_tokens"),
             best = read_column(f, "best_tokens"), outcome = read_column(f, "outcome"),
             push = read_column(f, "push"), value = read_column(f, "value");
  H5Fclose(f);
  if (value.size() != outcome.size() || at.size() != outcome.size()) return std::nullopt;
  const double target_ms = w.first_token_target.as_millis();
  Figures out;
  std::vector<double> answered;
  std::vector<std::pair<double, double>> seconds(
      static_cast<std::size_t>(std::max(1.0, std::ceil(w.length.seconds()))));
  double sum_asked = 0, sum_found = 0, sum_best = 0, late = 0;
  for (std::size_t k = 0; k < outcome.size(); ++k) {
    auto& second = seconds[std::min(seconds.size() - 1, static_cast<std::size_t>(at[k]))];
    second.second += value[k];
    if (outcome[k] != 0) continue;
    second.first += value[k] * (first[k] > target_ms ? late_value : 1);
    answered.push_back(first[k]), sum_asked += asked[k], sum_found += found[k], sum_best += best[k];
    late += first[k] > target_ms;
  }
  for (const double p : push) out.push = std::max(out.push, p);
  const auto n = static_cast<double>(std::max<std::size_t>(1, outcome.size()));
  out.hit = sum_found / std::max(1.0, sum_asked), out.best = sum_best / std::max(1.0, sum_asked);
  out.p50 = quantile(answered, 0.5, 0), out.p99 = quantile(answered, 0.99, 0);
  out.late = late / n, out.lost = (n - static_cast<double>(answered.size())) / n;
  by_phase(out, seconds, w);
  if (w.front_restarts) {
    const double from = w.front_restarts->seconds();
    const auto hit_over = [&](double length) {
      double got = 0, whole = 0;
      for (std::size_t k = 0; k < outcome.size(); ++k)
        if (outcome[k] == 0 && at[k] >= from && at[k] < from + length) got += found[k], whole += asked[k];
      return ratio(got, whole);
    };
    out.hit_5 = hit_over(5), out.hit_60 = hit_over(60);
  }
  return out;
}

// Mean and half the width of its 95% interval over the seeds.
struct Between {
  double mean = 0, half = 0;
};
Between between(const std::vector<double>& v) {
  Between out{mean(v), 0};
  if (v.size() < 2) return out;
  const double n = static_cast<double>(v.size());
  const double s = deviation(v) * std::sqrt(n / (n - 1));
  out.half = boost::math::quantile(boost::math::students_t(n - 1), 0.975) * s / std::sqrt(n);
  return out;
}
std::string text(const Between& b, const char* form, double times = 1) {
  char out[64], part[32];
  std::snprintf(part, sizeof part, form, b.mean * times);
  std::string s = part;
  std::snprintf(part, sizeof part, form, b.half * times);
  std::snprintf(out, sizeof out, "%s ± %s", s.c_str(), part);
  return out;
}

// Seconds, and the mean over the seeds of what was served of those who asked then.
void write_series(const std::string& file, const std::vector<std::vector<double>>& by_second) {
  std::ofstream out(file);
  for (std::size_t k = 0; !by_second.empty() && k < by_second.front().size(); ++k) {
    std::vector<double> v;
    for (const auto& run : by_second)
      if (k < run.size() && run[k] >= 0) v.push_back(run[k]);
    if (!v.empty()) out << k << ' ' << mean(v) << '\n';
  }
}

void run_gnuplot(const std::string& script) {
  if (std::system(("gnuplot '" + script + "'").c_str()) != 0)
    std::fprintf(stderr, "gnuplot could not draw %s\n", script.c_str());
}

// Where a hall is lost: what is served, second by second, an arm a line, a load a chart.
void chart_series(const Experiment& e, const std::string& folder) {
  const bool any =
      std::any_of(e.arms.begin(), e.arms.end(), [](const Arm& a) { return a.world.lost_for > Span{}; });
  if (!any) return;
  for (const auto& l : e.loads) {
    const std::string script = folder + "/" + e.name + ".series.gp";
    std::ofstream g(script);
    g << "set terminal svg size 900,420 font 'sans,12'\nset output '" << folder << "/" << e.name << "-"
      << l.name
      << "-served.svg'\nset ylabel 'value served / asked, smoothed'\nset xlabel 's'\nset yrange "
         "[0:1.05]\nset grid\nset key outside right\nplot ";
    for (std::size_t a = 0; a < e.arms.size(); ++a)
      g << (a ? ", " : "") << "'" << folder << "/" << e.name << "." << l.name << "." << e.arms[a].name
        << ".series.dat' using 1:2 smooth sbezier with lines lw 2 title '" << e.arms[a].name << "'";
    g << "\n";
    g.close();
    run_gnuplot(script);
    fs::remove(script);
    for (const auto& a : e.arms)
      fs::remove(folder + "/" + e.name + "." + l.name + "." + a.name + ".series.dat");
  }
}

}  // namespace

std::optional<Experiment> read_experiment(const std::string& file, std::string_view text_of_file,
                                          std::vector<settings::Fault>& faults) {
  const auto before = faults.size();
  const auto root = settings::read_xml(file, text_of_file, experiment_schema(), faults);
  if (!root || faults.size() > before) return std::nullopt;
  Experiment e;
  e.name = root->text("name"), e.seeds = static_cast<int>(root->number("seeds", e.seeds));
  for (const auto* l : root->all("load")) {
    NamedLoad n;
    n.name = l->text("name");
    LoadShape& s = n.load;
    s.sessions_a_s = l->number("sessions", s.sessions_a_s), s.turns = l->number("turns", s.turns);
    s.think_s = l->time("think", Span::from_seconds(s.think_s)).seconds();
    s.openings = static_cast<std::size_t>(l->number("openings", static_cast<double>(s.openings)));
    s.zipf = l->number("zipf", s.zipf), s.opening_tokens = l->number("opening-tokens", s.opening_tokens);
    s.turn_tokens = l->number("turn-tokens", s.turn_tokens),
    s.answer_tokens = l->number("answer-tokens", s.answer_tokens), s.spread = l->number("spread", s.spread);
    s.burst = l->number("burst", s.burst), s.burst_s = l->time("burst-for", {}).seconds();
    s.ramp = l->number("ramp", s.ramp), s.offer_share = l->number("offers", s.offer_share);
    s.retries = static_cast<int>(l->number("retries", s.retries));
    if (const auto* recorded = l->attribute("recorded")) {
      // Beside the experiment's file, unless it says where.
      const std::string at =
          recorded->starts_with('/') ? *recorded : (fs::path(file).parent_path() / *recorded).string();
      const auto rows = settings::read_file(at, faults);
      if (auto read = rows ? read_arrivals(at, *rows, faults) : std::nullopt)
        s.recorded = std::make_shared<const std::vector<Arrival>>(std::move(*read));
    }
    if (s.sessions_a_s <= 0 || s.spread <= 0 || s.opening_tokens <= 0 || s.turn_tokens <= 0)
      faults.push_back(
          {file, l->line, "load '" + n.name + "' has a rate, length or spread of 0", "give it above 0"});
    for (const auto& other : e.loads)
      if (other.name == n.name)
        faults.push_back({file, l->line, "load '" + n.name + "' stands twice", "give it another name"});
    e.loads.push_back(std::move(n));
  }
  for (const auto* a : root->all("arm")) {
    Arm arm;
    arm.name = a->text("name");
    WorldShape& w = arm.world;
    w.knows = words.at(a->text("knows"));
    w.length = root->time("length", w.length), w.warm_up = root->time("warm-up", w.warm_up);
    w.readers = static_cast<int>(a->number("readers", w.readers)),
    w.writers = static_cast<int>(a->number("writers", w.writers)),
    w.fronts = static_cast<int>(a->number("fronts", w.fronts)),
    w.restarts = static_cast<int>(a->number("restarts", w.restarts));
    w.halls = static_cast<int>(a->number("halls", w.halls)), w.judge_halls = a->flag("judge-halls", false);
    w.racks = std::max(w.racks, w.halls);
    w.lost_at = a->time("lost-at", w.lost_at), w.lost_for = a->time("lost-for", w.lost_for),
    w.told_late = a->time("told-late", w.told_late);
    w.losses = static_cast<int>(a->number("losses", w.losses));
    w.lost_silent = a->flag("lost-silent", false), w.back_share = a->number("back-share", w.back_share);
    if (a->attribute("front-restarts")) w.front_restarts = a->time("front-restarts", {});
    w.front_keeps = a->text("front-keeps") == "file"   ? WorldShape::Keeps::File
                    : a->text("front-keeps") == "lies" ? WorldShape::Keeps::Lies
                                                       : WorldShape::Keeps::Nothing;
    w.away = a->time("away", w.away);
    w.caps = a->attribute("caps") != nullptr;
    w.caps_by = a->text("caps") == "gradient" ? limits::KneeRules::By::Gradient : limits::KneeRules::By::Aimd;
    w.tiers = a->flag("tiers", false), w.round_robin = a->flag("round-robin", false);
    w.spill_bound = a->number("spill-bound", w.spill_bound), w.repeats = a->number("repeats", w.repeats);
    w.memory_blocks =
        static_cast<std::size_t>(a->number("memory-blocks", static_cast<double>(w.memory_blocks)));
    for (const auto& other : e.arms)
      if (other.name == arm.name)
        faults.push_back({file, a->line, "arm '" + arm.name + "' stands twice", "give it another name"});
    e.arms.push_back(std::move(arm));
  }
  if (faults.size() > before) return std::nullopt;
  return e;
}

void play(const Experiment& e, const std::string& folder, int threads) {
  fs::create_directories(folder + "/" + e.name + ".runs");
  struct Run {
    const Arm* arm;
    const NamedLoad* load;
    int seed;
  };
  std::vector<Run> runs;
  for (const auto& l : e.loads)
    for (const auto& a : e.arms)
      for (int s = 1; s <= e.seeds; ++s)
        if (!fs::exists(run_file(folder, e, a, l, s))) runs.push_back({&a, &l, s});
  std::atomic<std::size_t> next = 0, done = 0;
  std::mutex telling;
  std::string failed;
  std::vector<std::thread> workers;
  for (int t = 0; t < std::max(1, threads); ++t)
    workers.emplace_back([&] {
      for (std::size_t k; (k = next++) < runs.size();) {
        WorldShape w = runs[k].arm->world;
        w.load = runs[k].load->load, w.seed = static_cast<std::uint64_t>(runs[k].seed);
        try {
          write_rows(run_file(folder, e, *runs[k].arm, *runs[k].load, runs[k].seed), simulate(w));
        } catch (const std::exception& problem) {
          const std::lock_guard lock(telling);
          failed = problem.what();
          next = runs.size();
          return;
        }
        const std::lock_guard lock(telling);
        std::fprintf(stderr, "%zu of %zu: %s, %s, seed %d\n", ++done, runs.size(), runs[k].arm->name.c_str(),
                     runs[k].load->name.c_str(), runs[k].seed);
      }
    });
  for (auto& w : workers) w.join();
  if (!failed.empty()) throw std::runtime_error(failed);
}

bool report(const Experiment& e, const std::string& folder) {
  std::ofstream md(folder + "/" + e.name + ".md");
  md << "# " << e.name << "\n\nSimulated by `calicograde-lab experiment`, " << e.seeds
     << " seeds; means with 95% intervals; differences are to `" << e.arms.front().name
     << "`, paired by seed. Hit rate: tokens found kept / tokens asked. Lost: shed or errored. Push: the "
        "most sent to a cold engine in the window of rule 4, as a share of what it bears.\n";
  std::string restarts;
  std::ofstream data(folder + "/" + e.name + ".dat");
  for (const auto& l : e.loads) {
    md << "\n## " << l.name
       << "\n\n| arm | hit rate | best possible | difference of hit rate | first token p50 ms | p99 ms "
          "| difference of p99 ms | late % | lost % | push | served % | difference of served % | served % "
          "while lost | served % on return | settled after s |\n|";
    for (int k = 0; k < 15; ++k) md << " --- |";
    md << '\n';
    std::vector<Figures> base;
    for (const auto& a : e.arms) {
      std::vector<double> hit, best, p50, p99, late, lost, push, d_hit, d_p99, served, d_served, gone, back,
          settle;
      std::vector<std::vector<double>> by_second;
      for (int s = 1; s <= e.seeds; ++s) {
        const auto f = figures_of(run_file(folder, e, a, l, s), a.world);
        if (!f) return false;
        if (&a == &e.arms.front()) base.push_back(*f);
        const Figures& b = base[static_cast<std::size_t>(s - 1)];
        hit.push_back(f->hit), best.push_back(f->best), p50.push_back(f->p50), p99.push_back(f->p99);
        late.push_back(f->late), lost.push_back(f->lost), push.push_back(f->push);
        d_hit.push_back(f->hit - b.hit), d_p99.push_back(f->p99 - b.p99);
        served.push_back(f->served), d_served.push_back(f->served - b.served);
        gone.push_back(f->served_lost), back.push_back(f->served_back), settle.push_back(f->settle);
        by_second.push_back(f->by_second);
      }
      const auto h = between(hit), p = between(p99);
      md << "| " << a.name << " | " << text(h, "%.3f") << " | " << text(between(best), "%.3f") << " | "
         << text(between(d_hit), "%+.3f") << " | " << text(between(p50), "%.0f") << " | " << text(p, "%.0f")
         << " | " << text(between(d_p99), "%+.0f") << " | " << text(between(late), "%.2f", 100) << " | "
         << text(between(lost), "%.2f", 100) << " | " << text(between(push), "%.2f") << " | "
         << text(between(served), "%.1f", 100) << " | " << text(between(d_served), "%+.1f", 100) << " | ";
      if (a.world.lost_for > Span{})
        md << text(between(gone), "%.1f", 100) << " | " << text(between(back), "%.1f", 100) << " | "
           << text(between(settle), "%.1f") << " |\n";
      else md << "| | |\n";
      if (a.world.front_restarts) {
        std::vector<double> five, sixty;
        for (int s = 1; s <= e.seeds; ++s) {
          const auto f = figures_of(run_file(folder, e, a, l, s), a.world);
          five.push_back(f->hit_5), sixty.push_back(f->hit_60);
        }
        restarts += "| " + l.name + " | " + a.name + " | " + text(between(five), "%.3f") + " | " +
                    text(between(sixty), "%.3f") + " |\n";
      }
      write_series(folder + "/" + e.name + "." + l.name + "." + a.name + ".series.dat", by_second);
      data << '"' << l.name << "\" \"" << a.name << "\" " << h.mean << ' ' << h.half << ' ' << p.mean << ' '
           << p.half << '\n';
    }
  }
  if (!restarts.empty())
    md << "\n## After a front's restart\n\n| load | arm | hit rate in 5 s | in 60 s |\n| --- | --- | --- | "
          "--- |\n"
       << restarts;
  data.close();
  chart_series(e, folder);
  // Charts: a group of bars a load, a bar an arm.
  for (const auto& [figure, column, label] :
       {std::tuple{"hit", 3, "hit rate"}, std::tuple{"p99", 5, "first token p99, ms"}}) {
    const std::string script = folder + "/" + e.name + ".gp";
    std::ofstream g(script);
    g << "set terminal svg size 900,420 font 'sans,12'\nset output '" << folder << "/" << e.name << "-"
      << figure << ".svg'\nset style fill solid 0.7\nset boxwidth 0.8\nset ylabel '" << label
      << "'\nset key outside right\nset yrange [0:*]\nset grid y\nset xtics (";
    const double wide = static_cast<double>(e.arms.size()) + 1;
    for (std::size_t l = 0; l < e.loads.size(); ++l)
      g << (l ? ", " : "") << "'" << e.loads[l].name << "' " << static_cast<double>(l) * wide + wide / 2 - 1;
    g << ")\nplot ";
    for (std::size_t a = 0; a < e.arms.size(); ++a)
      g << (a ? ", " : "") << "'" << folder << "/" << e.name << ".dat' using ((int($0)%" << e.arms.size()
        << "==" << a << ") ? int($0/" << e.arms.size() << ")*" << wide << "+" << a << " : NaN):" << column
        << ":" << column + 1 << " with boxerrorbars lc " << a + 1 << " title '" << e.arms[a].name << "'";
    g << "\n";
    g.close();
    run_gnuplot(script);
    fs::remove(script);
  }
  fs::remove(folder + "/" + e.name + ".dat");
  return true;
}

}  // namespace calicograde::emulator
