// calicograde-lab: stand-ins, fleets brought up on loopback, and scripted days. Nothing here serves anybody.
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "emulator/experiment.hpp"
#include "lab/client.hpp"
#include "lab/day.hpp"
#include "lab/keep_kill.hpp"
#include "lab/load.hpp"
#include "lab/measure.hpp"
#include "net/clock.hpp"
#include "version.hpp"

using namespace calicograde;

namespace {

std::optional<lab::Plan> plan_of(const std::string& file) {
  if (file.empty()) return lab::small_plan();
  std::vector<settings::Fault> faults;
  const auto text = settings::read_file(file, faults);
  auto plan = text ? lab::read_plan(file, *text, faults) : std::nullopt;
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
  return plan;
}

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/calicograde-lab-XXXXXX";
    path_ = mkdtemp(name) ? name : "/tmp";
  }
  ~Folder() {
    std::error_code ignored;
    if (path_ != "/tmp") std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Until SIGTERM, SIGINT or the end of standard input.
void wait_for_end(int signals, const std::function<void()>& tick) {
  for (;;) {
    pollfd p[2] = {{signals, POLLIN, 0}, {0, POLLIN, 0}};
    const int ready = ::poll(p, 2, 100);
    tick();
    if (ready <= 0) continue;
    if (p[0].revents != 0) return;
    char drop[256];
    if (p[1].revents != 0 && ::read(0, drop, sizeof drop) <= 0) return;
  }
}

int up(const lab::Plan& plan, const std::string& daemon, int signals) {
  const Folder folder;
  lab::Town town(plan, daemon, folder.path());
  std::printf("%s\n", town.ready_line().c_str());
  std::fflush(stdout);
  wait_for_end(signals, [&] { town.tick(); });
  return town.stop_fronts();
}

int engines(const lab::Plan& plan, int signals) {
  lab::Recorder records;
  const auto dedupe = std::make_shared<lab::DedupeMemory>();
  std::vector<std::unique_ptr<lab::EngineStandin>> all;
  nlohmann::ordered_json line;
  for (const auto& o : plan.engines) {
    all.push_back(std::make_unique<lab::EngineStandin>(o, records, dedupe));
    line["engines"].push_back(
        {{"address", all.back()->address()}, {"kind", o.kind}, {"zone", o.zone}, {"rack", o.rack}});
  }
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
  wait_for_end(signals, [] {});
  return 0;
}

int roster_server(const std::string& file, const std::string& late, int signals) {
  std::vector<settings::Fault> faults;
  const auto text = settings::read_file(file, faults);
  const auto doc =
      text ? roster::parse(*text) : std::variant<roster::Document, std::string>("cannot be read");
  if (const auto* wrong = std::get_if<std::string>(&doc))
    return std::fprintf(stderr, "%s: %s\n", file.c_str(), wrong->c_str()), 2;
  lab::Recorder records;
  lab::RosterStandin r(settings::parse_time(late).value_or(Span::millis(300)), records);
  for (const auto& l : std::get<roster::Document>(doc).lines) r.change(l);
  std::printf("{\"roster\":\"%s\"}\n", r.address().c_str());
  std::fflush(stdout);
  wait_for_end(signals, [] {});
  return 0;
}

int clients(const std::string& front, const std::string& model, int count, int max_tokens) {
  const auto at = net::parse_address(front);
  if (!at) return std::fprintf(stderr, "'%s' is no address; write HOST:PORT\n", front.c_str()), 64;
  lab::Recorder records;
  int failed = 0;
  for (int k = 0; k < count; ++k) {
    lab::ClientCall c;
    c.front = *at, c.front_name = front, c.route = model, c.mark = std::to_string(k),
    c.text = "What do my points buy?";
    c.max_tokens = max_tokens, c.budget = Span::millis(30000);
    const auto end = lab::call(c, records);
    std::printf("%d %s %s\n", k, end.how.c_str(), end.text.c_str());
    failed += end.how != "completed";
  }
  return failed > 0 ? 1 : 0;
}

int day(const lab::Plan& plan, const std::string& daemon, const std::string& keep, const std::string& logs,
        int times) {
  int worst = 0;
  for (int k = 0; k < times; ++k) {
    const Folder folder;
    const auto r = lab::run_day(plan, daemon, logs.empty() ? folder.path() : logs, keep);
    std::printf("%s: %zu records checked; fronts exited %d; %zu calls found no front\n%s", plan.name.c_str(),
                static_cast<std::size_t>(r.verdict.checks.at(1)), r.front_exit, r.unreachable,
                lab::table(r.verdict).c_str());
    std::fflush(stdout);
    if (!r.verdict.breaches.empty() || r.front_exit != 0) worst = 1;
  }
  return worst;
}

int experiment(const std::string& file, const std::string& folder, int threads, bool only_report) {
  std::vector<settings::Fault> faults;
  const auto text = settings::read_file(file, faults);
  const auto e = text ? emulator::read_experiment(file, *text, faults) : std::nullopt;
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
  if (!e) return 2;
  if (!only_report) emulator::play(*e, folder, threads);
  if (emulator::report(*e, folder)) return 0;
  std::fprintf(stderr, "%s: a run is missing under %s; play the experiment first\n", file.c_str(),
               folder.c_str());
  return 1;
}

struct LoadWords {
  std::string fronts, length = "30s", replay, record, budget = "10s", target = "1500ms";
  std::uint64_t seed = 1;
};

int load(const LoadWords& w, lab::LoadOptions o, const emulator::LoadShape& shape) {
  const auto length = settings::parse_time(w.length), budget = settings::parse_time(w.budget),
             target = settings::parse_time(w.target);
  if (!length || !budget || !target)
    return std::fprintf(stderr, "--for, --budget, --target: write a number and a unit, such as 10s\n"), 64;
  o.budget = *budget, o.target = *target;
  std::vector<settings::Fault> faults;
  std::vector<emulator::Arrival> rows;
  if (!w.replay.empty()) {
    const auto text = settings::read_file(w.replay, faults);
    if (auto read = text ? emulator::read_arrivals(w.replay, *text, faults) : std::nullopt)
      rows = std::move(*read);
  } else {
    rows = emulator::arrivals(shape, w.seed, *length);
  }
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
  if (!faults.empty()) return 2;
  if (!w.record.empty()) {
    std::ofstream file(w.record);
    file << emulator::text_of(rows);
    if (!file.flush()) return std::fprintf(stderr, "%s: cannot be written\n", w.record.c_str()), 3;
  }
  std::string one;
  for (const char c : w.fronts + ",") {
    if (c != ',') {
      one += c;
      continue;
    }
    const auto at = net::parse_address(one);
    if (!at) return std::fprintf(stderr, "'%s' is no address; write HOST:PORT\n", one.c_str()), 64;
    o.fronts.push_back(*at), one.clear();
  }
  return lab::play_load(o, rows, stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "calicograde-lab: stand-ins and scripted days, on loopback.\nExit: 0 done, 1 a rule was broken or a "
      "call failed, 2 the file has faults, 3 cannot start, 64 wrong usage."};
  app.set_version_flag("--version", std::string("calicograde-lab ") + version);
  app.require_subcommand(1);
  std::string file, daemon = lab::daemon_beside_me(), keep, logs, late = "300ms", front,
                    model = "member-chat";
  int times = 1, count = 1, max_tokens = 32;
  auto* up_cmd = app.add_subcommand(
      "up", "start engines, a roster and fronts; one line of JSON when ready; until SIGTERM or end of input");
  up_cmd->add_option("FILE", file, "a day's file; without one: two readers, two writers, one front");
  up_cmd->add_option("--daemon", daemon, "calicograded to start");
  auto* day_cmd = app.add_subcommand(
      "day", "play a scripted day through real fronts and check the five rules from the sockets");
  day_cmd->add_option("FILE", file, "the day, XML")->required();
  day_cmd->add_option("--daemon", daemon, "calicograded to start");
  day_cmd->add_option("--keep", keep, "write what was seen to this file, JSON lines");
  day_cmd
      ->add_option("--logs", logs, "a folder for the fronts' settings and logs; without it they are removed")
      ->check(CLI::ExistingDirectory);
  day_cmd->add_option("--times", times, "how often")->check(CLI::Range(1, 1000));
  auto* engine_cmd = app.add_subcommand("engine", "start the stand-in engines of a file");
  engine_cmd->add_option("FILE", file, "a day's file; without one: two readers, two writers");
  auto* roster_cmd = app.add_subcommand("roster", "serve a roster document, and push it late");
  roster_cmd->add_option("FILE", file, "the document, JSON")->required();
  roster_cmd->add_option("--late", late, "how late changes are told");
  auto* clients_cmd = app.add_subcommand("clients", "send messages to a front and print the answers");
  clients_cmd->add_option("--front", front, "HOST:PORT")->required();
  clients_cmd->add_option("--model", model, "the model to name");
  clients_cmd->add_option("--count", count, "how many")->check(CLI::Range(1, 100000));
  clients_cmd->add_option("--max-tokens", max_tokens, "of each answer")->check(CLI::Range(1, 100000));
  lab::MeasureOptions measured;
  std::string length = "10s";
  auto* measure_cmd =
      app.add_subcommand("measure", "what one front adds and costs, beside calls straight to an engine");
  measure_cmd->add_option("--rate", measured.rate, "calls a second, half of them through the front")
      ->check(CLI::Range(1.0, 1e5));
  measure_cmd->add_option("--for", length, "how long, with its unit");
  measure_cmd->add_option("--hold", measured.hold, "hold so many streams open at once instead")
      ->check(CLI::Range(0, 100000));
  measure_cmd->add_option("--daemon", daemon, "calicograded to start");
  std::string out_folder = "experiment";
  int threads = 2;
  bool only_report = false;
  auto* experiment_cmd = app.add_subcommand(
      "experiment",
      "play an experiment in simulated time, or go on with it; tables and charts of what is kept");
  experiment_cmd->add_option("FILE", file, "the experiment, XML")->required();
  experiment_cmd->add_option("--out", out_folder, "folder of the runs, tables and charts");
  experiment_cmd->add_option("--threads", threads, "runs at a time")->check(CLI::Range(1, 256));
  experiment_cmd->add_flag("--report", only_report, "tables and charts only, from runs kept before");
  unsigned seed = 1;
  auto* kill_cmd = app.add_subcommand(
      "keep-kill", "kill a process that keeps state at random moments, and look what it left each time");
  kill_cmd->add_option("--times", times, "how often")->check(CLI::Range(1, 100000));
  kill_cmd->add_option("--seed", seed, "of the moments");
  LoadWords words;
  lab::LoadOptions loaded;
  emulator::LoadShape shape;
  auto* load_cmd = app.add_subcommand(
      "load", "play open-loop arrivals against fronts; times count from when each call was due");
  load_cmd->add_option("--front", words.fronts, "HOST:PORT, more with commas between")->required();
  load_cmd->add_option("--model", loaded.model, "the model to name");
  load_cmd->add_option("--for", words.length, "how long arrivals are made, with its unit");
  load_cmd->add_option("--seed", words.seed, "the same seed gives the same arrivals");
  load_cmd->add_option("--sessions", shape.sessions_a_s, "sessions begun a second")
      ->check(CLI::Range(0.001, 1e5));
  load_cmd->add_option("--turns", shape.turns, "of a session, mean")->check(CLI::Range(1.0, 1000.0));
  load_cmd->add_option("--think", shape.think_s, "seconds between turns, mean")->check(CLI::Range(0.0, 1e4));
  load_cmd->add_option("--openings", shape.openings, "shared texts")->check(CLI::Range(1, 1000000));
  load_cmd->add_option("--zipf", shape.zipf, "how unevenly they are shared")->check(CLI::Range(0.0, 5.0));
  load_cmd->add_option("--opening-tokens", shape.opening_tokens, "median")->check(CLI::Range(1.0, 1e6));
  load_cmd->add_option("--turn-tokens", shape.turn_tokens, "median")->check(CLI::Range(1.0, 1e6));
  load_cmd->add_option("--answer-tokens", shape.answer_tokens, "median")->check(CLI::Range(1.0, 1e6));
  load_cmd->add_option("--burst", shape.burst, "rate times this in bursts")->check(CLI::Range(0.0, 1000.0));
  load_cmd->add_option("--burst-for", shape.burst_s, "seconds of burst in each 30")
      ->check(CLI::Range(0.0, 30.0));
  load_cmd->add_option("--ramp", shape.ramp, "the rate at the end, times the one at the start")
      ->check(CLI::Range(0.0, 1000.0));
  load_cmd->add_option("--replay", words.replay, "arrivals recorded before, CSV, in place of made ones");
  load_cmd->add_option("--record", words.record, "write the arrivals that are played to this file, CSV");
  load_cmd->add_option("--rows", loaded.rows, "write what each call came to, CSV");
  load_cmd->add_option("--budget", words.budget, "of each call");
  load_cmd->add_option("--target", words.target, "of the first token");
  load_cmd->add_option("--open", loaded.open, "calls open at once, at the most")
      ->check(CLI::Range(1, 100000));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 64;
  }
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM), sigaddset(&set, SIGINT);
  if (*up_cmd || *engine_cmd || *roster_cmd) pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
  net::lift_descriptor_limit();
  const net::Fd signals(signalfd(-1, &set, SFD_CLOEXEC));
  try {
    if (*clients_cmd) return clients(front, model, count, max_tokens);
    if (*roster_cmd) return roster_server(file, late, signals.get());
    if (*measure_cmd) {
      const auto span = settings::parse_time(length);
      if (!span)
        return std::fprintf(stderr, "--for %s: write a number and a unit, such as 10s\n", length.c_str()), 64;
      measured.length = *span;
      const Folder folder;
      return lab::measure(measured, daemon, folder.path());
    }
    if (*kill_cmd) {
      const Folder folder;
      return lab::keep_kill(folder.path(), times, seed);
    }
    if (*load_cmd) return load(words, loaded, shape);
    if (*experiment_cmd) return experiment(file, out_folder, threads, only_report);
    const auto plan = plan_of(file);
    if (!plan) return 2;
    if (*up_cmd) return up(*plan, daemon, signals.get());
    if (*engine_cmd) return engines(*plan, signals.get());
    return day(*plan, daemon, keep, logs, times);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "calicograde-lab: %s\n", e.what());
    return 3;
  }
}
