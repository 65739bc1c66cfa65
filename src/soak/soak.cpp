#include "soak/soak.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <functional>
#include <sstream>
#include <stdexcept>

#include "keep/moment.hpp"
#include "net/clock.hpp"
#include "soak/client.hpp"
#include "soak/discovery.hpp"
#include "soak/engine_process.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/half_requests.hpp"
#include "soak/node_process.hpp"
#include "soak/oracle.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;

constexpr Span tick = Span::millis(10);
constexpr Span ready_within = Span::millis(10000);
constexpr Span settles_within = Span::millis(1500);  // what is held at the end is let go by then
constexpr Span old_discovery_ends = Span::millis(1000);
constexpr std::size_t idle_connections = 400;
constexpr Span node_stop_every = Span::millis(400), node_stopped_for = Span::millis(100);
constexpr Span proxy_delay = Span::millis(250);          // of what the proxy delays, at most
constexpr Span silent_stream_ends = Span::millis(6000);  // a node waits 4.5 s for a silent engine
constexpr double links_struck = 0.02;                    // of what the proxy passes on
constexpr std::size_t most_violations_told = 12, most_stories_told = 3;

// Lines by which a node reports a fault of its own.
constexpr const char* own_faults[] = {"\"event\":\"rule violated\"",
                                      "\"event\":\"module failed\"",
                                      "\"event\":\"attempt failed\"",
                                      "\"event\":\"job failed\"",
                                      "\"event\":\"request failed\"",
                                      "ERROR: AddressSanitizer",
                                      "runtime error:",
                                      "WARNING: ThreadSanitizer"};

constexpr const char* called_off_reasons[] = {"\"reason\":\"no sign of the engine\"",
                                              "\"reason\":\"connection silent\""};

template <std::size_t count>
bool has_one_of(const std::string& line, const char* const (&words)[count]) {
  return std::any_of(std::begin(words), std::end(words),
                     [&](const char* word) { return line.find(word) != std::string::npos; });
}

class Folder {
 public:
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "calicograde-soak-XXXXXX").string();
    if (!mkdtemp(name.data())) throw std::runtime_error("cannot make a folder for the run");
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

// One node with its two discovery agents, of which it follows one, and its clients.
struct NodeSite {
  NodeSite(std::size_t number, const NodeProgram& program, const EngineList& list, Journal& journal)
      : process(number, program, journal),
        agents{{number, list, journal}, {number, list, journal}},
        half_requests(number, journal) {}
  DiscoveryAgent& agent() { return agents[follows]; }
  NodeProcess process;
  DiscoveryAgent agents[2];
  std::size_t follows = 0;
  std::optional<Instant> moved;
  std::vector<std::unique_ptr<SoakClient>> clients;
  std::vector<net::Stream> idle;
  HalfRequests half_requests;
  std::optional<Instant> stops_since;  // it is stopped again and again
  bool stopped = false;
};

class Run {
 public:
  Run(const Schedule& schedule, const Options& options)
      : options_(options),
        schedule_(schedule),
        settings_(options.settings.value_or(draw_settings(schedule.seed))),
        held_(journal_, settings_.place_answers),
        program_{options.daemon, options.fault_library, folder_.path(), settings_} {
    for (std::size_t k = 0; k < schedule_.engines; ++k) {
      const Role role = k < options.prefill_engines ? Role::Prefill : Role::Decode;
      engines_.push_back(std::make_unique<EngineProcess>(
          k, role, options.engine_program, settings_.accept_backlog, held_, journal_, attempts_));
    }
    for (const auto& engine : engines_) set_habits(*engine);
    if (settings_.proxied) start_proxy();
    for (std::size_t k = 0; k < engines_.size(); ++k) list(k, Lifecycle::Ready, 0);
    for (std::size_t k = 0; k < schedule_.nodes; ++k)
      nodes_.push_back(std::make_unique<NodeSite>(k, program_, engine_list_, journal_));
  }

  Result play() {
    start_nodes();
    began_ = clock_now();
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      for (std::size_t c = 0; c < options_.clients_each; ++c)
        nodes_[n]->clients.push_back(std::make_unique<SoakClient>(
            n * options_.clients_each + c, n, nodes_[n]->process, schedule_, settings_, began_, journal_));
    std::vector<bool> on(schedule_.windows.size());
    while (clock_now() - began_ < schedule_.length) {
      const Span now = clock_now() - began_;
      for (std::size_t k = 0; k < schedule_.windows.size(); ++k) {
        const Window& w = schedule_.windows[k];
        const bool holds = now >= w.from && now < w.until();
        if (holds != on[k]) on[k] = holds, apply(w, holds);
      }
      look_after();
      usleep(static_cast<useconds_t>(tick.as_micros()));
    }
    for (std::size_t k = 0; k < schedule_.windows.size(); ++k)
      if (on[k]) apply(schedule_.windows[k], false);
    return finish();
  }

 private:
  void list(std::size_t engine, Lifecycle lifecycle, std::int64_t started_at_ms) {
    const EngineProcess& e = *engines_[engine];
    if (started_at_ms > 0)
      journal_.add(EngineStarted{engine, engine_list_.version() + 1, e.role(), clock_now()});
    engine_list_.change(engine, {0,
                                 lifecycle,
                                 proxy_ ? proxy_->address(engine) : e.address(),
                                 e.role() == Role::Prefill ? "prefill" : "decode",
                                 started_at_ms,
                                 {}});
  }

  void start_proxy() {
    std::vector<std::string> targets;
    for (const auto& engine : engines_) targets.push_back(engine->address());
    proxy_ = std::make_unique<FaultProxy>(options_.engine_program, targets, schedule_.seed);
  }

  void start(std::size_t node, Span since_begin) {
    NodeSite& site = *nodes_[node];
    site.process.configure(site.agent().address(), site.agent().whole_list());
    site.agent().node_starts();
    site.process.start(schedule_.faults_of(node, since_begin));
  }

  void start_nodes() {
    const Instant from = clock_now();
    for (std::size_t n = 0; n < nodes_.size(); ++n) start(n, Span{});
    const auto all_ready = [&] {
      for (auto& site : nodes_) {
        site->process.poll();
        if (!site->process.address()) return false;
      }
      return true;
    };
    while (!all_ready()) {
      if (clock_now() - from > ready_within)
        throw std::runtime_error("the nodes did not become ready:\n" + nodes_[0]->process.log_text());
      usleep(static_cast<useconds_t>(tick.as_micros()));
    }
  }

  void apply(const Window& w, bool begins) {
    NodeSite& site = *nodes_[w.node];
    EngineProcess& engine = *engines_[w.engine];
    using Fault = EngineCommand::Fault;
    switch (w.trouble) {
      case Trouble::Sigterm:
        if (begins) terminate(site, w);
        break;
      case Trouble::Sigkill:
        if (begins) site.process.kill();
        break;
      case Trouble::Sighup:
        if (begins) move_discovery(site);
        break;
      case Trouble::EngineDrain: list(w.engine, begins ? Lifecycle::Draining : Lifecycle::Ready, 0); break;
      case Trouble::EngineGone:
        if (!begins) engine.restart();
        list(w.engine, begins ? Lifecycle::Gone : Lifecycle::Ready, begins ? 0 : keep::moment_now().wall_ms);
        break;
      case Trouble::DiscoveryDown: site.agent().down(begins); break;
      case Trouble::DiscoveryCrowded: site.agent().crowded(begins); break;
      case Trouble::WatchSilent:
        if (begins) site.agent().silence_watches();
        break;
      case Trouble::WatchReset:
        if (begins) site.agent().reset_watches();
        break;
      case Trouble::EngineHang:
        engine.set(settings_.hangs_on_attempts ? Fault::HangAttempts : Fault::Hang, begins);
        break;
      case Trouble::EngineBusy: engine.set(Fault::Busy, begins); break;
      case Trouble::EngineTakesNothing: engine.set(Fault::TakesNothing, begins); break;
      case Trouble::LinkFaults: strike_links(w, begins); break;
      case Trouble::EngineStop: stop(engine, begins); break;
      case Trouble::RoleStop:
        for (const auto& other : engines_)
          if (other->role() == engine.role() && other.get() != &engine) stop(*other, begins);
        break;
      case Trouble::EngineRestart:
        if (begins) engine.restart(), list(w.engine, Lifecycle::Ready, keep::moment_now().wall_ms);
        break;
      case Trouble::AnswerCut: engine.set(Fault::CutAnswers, begins); break;
      case Trouble::AnswerDoubled: engine.set(Fault::DoubleAnswers, begins); break;
      case Trouble::HalfRequests:
        if (const auto address = site.process.address(); begins && address)
          site.half_requests.begin(*address);
        break;
      case Trouble::NodeStop: site.stops_since = begins ? std::optional(clock_now()) : std::nullopt; break;
      case Trouble::DescriptorsUsedUp: use_up_descriptors(site, begins); break;
      default: break;  // those of clients and of the fault library go by the schedule itself
    }
  }

  void set_habits(EngineProcess& engine) const {
    using Fault = EngineCommand::Fault;
    engine.set(Fault::LateNotice, settings_.late_notice);
    const int late = static_cast<int>(settings_.takes_late.as_millis());
    engine.set(Fault::TakesLate, late > 0, late);
    if (engine.role() != Role::Decode) return;
    const int ends_late = static_cast<int>(settings_.ends_late.as_millis());
    engine.set(Fault::EndsLate, ends_late > 0, ends_late);
    engine.set(Fault::QuietEnds, settings_.quiet_ends);
    engine.set(Fault::DropsAtTime, settings_.drops_at_time);
  }

  static void stop(EngineProcess& engine, bool on) { on ? engine.stop() : engine.go_on(); }

  void strike_links(const Window& w, bool on) {
    if (!proxy_) return;
    const auto of = static_cast<std::size_t>(w.from.as_micros()) % (proxy_faults - 1);
    proxy_->set(on ? static_cast<ProxyFault>(1 + of) : ProxyFault::None, on ? links_struck : 0);
  }

  // SIGTERM alone, with a SIGHUP before or after it, or twice.
  void terminate(NodeSite& site, const Window& w) {
    const auto form = static_cast<std::size_t>(w.from.as_micros()) % 4;
    if (form == 1) move_discovery(site);
    site.process.terminate();
    if (form == 2) move_discovery(site);
    if (form == 3) site.process.terminate();
  }

  void move_discovery(NodeSite& site) {
    if (site.moved) return;
    site.moved = clock_now();
    site.follows = 1 - site.follows;
    site.agent().down(false);
    site.process.configure(site.agent().address(), site.agent().whole_list());
    site.process.hang_up();
  }

  void use_up_descriptors(NodeSite& site, bool begins) {
    site.idle.clear();
    const auto address = begins ? site.process.address() : std::nullopt;
    for (std::size_t k = 0; address && k < idle_connections; ++k) {
      auto [how, stream] = net::Stream::connect(*address, clock_now() + Span::millis(50));
      if (how == net::ConnectEnd::Connected) site.idle.push_back(std::move(stream));
    }
  }

  void look_after() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      NodeSite& site = *nodes_[n];
      site.process.poll();
      site.half_requests.look();
      hold_up(site);
      if (site.process.ended()) start(n, clock_now() - began_);
      if (site.moved && clock_now() - *site.moved > old_discovery_ends) {
        site.agents[1 - site.follows].down(true);
        site.moved.reset();
      }
      site.agent().run_deadlines();
    }
  }

  // A process that is held up anywhere, not only before a write.
  static void hold_up(NodeSite& site) {
    const auto into_period = [&] {
      return std::fmod((clock_now() - *site.stops_since).as_millis(), node_stop_every.as_millis());
    };
    const bool stop = site.stops_since && into_period() < node_stopped_for.as_millis();
    if (stop == site.stopped) return;
    site.process.stop(stop);
    site.stopped = stop;
  }

  Result finish() {
    for (auto& site : nodes_) hold_up(*site);
    for (auto& site : nodes_)
      for (auto& client : site->clients) client->stop();
    for (auto& site : nodes_) site->clients.clear();
    const Instant quiet = clock_now();
    const auto half_requests_left = [&] {
      return std::any_of(nodes_.begin(), nodes_.end(),
                         [](const auto& site) { return !site->half_requests.empty(); });
    };
    while (clock_now() - quiet < settles_within || half_requests_left()) {
      for (auto& site : nodes_) site->process.poll(), site->half_requests.look();
      usleep(static_cast<useconds_t>(tick.as_micros()));
    }
    for (auto& site : nodes_) site->process.terminate();
    for (auto& site : nodes_)
      while (site->process.running()) site->process.poll(), usleep(static_cast<useconds_t>(tick.as_micros()));
    const Instant end = clock_now();
    Limits limits;
    limits.pin_limit = settings_.pin_limit;
    limits.drain_grace = settings_.drain_grace;
    limits.dedupe_window = settings_.dedupe_window;
    limits.cold = settings_.cold;
    limits.cold_from = settings_.cold_from;
    limits.fall = settings_.fall;
    limits.fall_multiple = settings_.fall_multiple;
    if (proxy_) limits.link_delay = proxy_delay;
    limits.engines_of_role = std::max<std::size_t>(1, schedule_.engines / 2);
    for (const Window& w : schedule_.windows)
      if (w.trouble == Trouble::LinkBroken || (w.trouble == Trouble::LinkFaults && proxy_))
        excuse_cuts(w, limits);
    for (const auto& site : nodes_)
      for (const ConnectionEnded& ended : site->process.connections_ended()) journal_.add(ended);
    const Verdict verdict = judge(journal_.all(), limits, end);
    return report(verdict, own_faults_found(), (end - began_).seconds());
  }

  void for_each_log_line(const std::function<void(const std::string&)>& take) const {
    for (const auto& site : nodes_) {
      std::istringstream log(site->process.log_text());
      for (std::string line; std::getline(log, line);) take(line);
    }
  }

  // What the nodes logged of a request.
  std::string node_lines_of(const std::string& request) const {
    std::string out;
    for_each_log_line([&](const std::string& line) {
      if (line.find(request) != std::string::npos) out += "    " + line + "\n";
    });
    return out;
  }

  std::size_t attempts_called_off() const {
    std::size_t count = 0;
    for_each_log_line([&](const std::string& line) { count += has_one_of(line, called_off_reasons); });
    return count;
  }

  // Streams that may break off with connections that broke by themselves: of one node, or behind the proxy.
  void excuse_cuts(const Window& w, Limits& limits) const {
    const Span until = w.until() + (w.trouble == Trouble::LinkFaults ? silent_stream_ends : Span{});
    for (std::size_t node = 0; node < nodes_.size(); ++node)
      if (w.trouble == Trouble::LinkFaults || node == w.node)
        limits.broken_links.push_back({node, began_ + w.from, began_ + until});
  }

  std::vector<std::string> own_faults_found() const {
    std::vector<std::string> out;
    for_each_log_line([&](const std::string& line) {
      if (has_one_of(line, own_faults)) out.push_back(line);
    });
    return out;
  }

  Result report(const Verdict& verdict, const std::vector<std::string>& faults, double seconds) {
    Result result;
    result.passed = verdict.violations.empty() && faults.empty();
    result.called_off = attempts_called_off();
    result.node_seconds = seconds * static_cast<double>(nodes_.size());
    std::ostringstream out;
    out << "seed " << schedule_.seed << ": " << (result.passed ? "passed" : "FAILED") << "; attempts "
        << verdict.attempts;
    for (const auto& [kind, count] : verdict.answers) out << ", " << name_of(kind) << " " << count;
    out << ", held back " << verdict.streams_held_back << " of " << verdict.streams << "\n";
    const Cost cost = cost_of(journal_.all());
    out << "  requests " << cost.requests << ", reads " << cost.reads << ", decode attempts "
        << cost.decode_attempts << ", releases " << held_.releases() << ", called off " << result.called_off
        << ", first token after " << cost.mean_first_token.as_millis() << " ms\n";
    std::size_t told = 0;
    for (const Violation& v : verdict.violations)
      if (++told <= most_violations_told)
        out << "  " << name_of(v.rule) << " at " << static_cast<long long>((v.at - began_).as_millis())
            << " ms: " << v.what << "\n"
            << (told <= most_stories_told && !v.request.empty()
                    ? story_of(journal_.all(), v.request, began_) + node_lines_of(v.request)
                    : "");
    if (told > most_violations_told) out << "  and " << told - most_violations_told << " more\n";
    for (std::size_t k = 0; k < faults.size() && k < most_violations_told; ++k)
      out << "  log: " << faults[k] << "\n";
    if (!result.passed || options_.keep_all_logs) {
      out << "  " << settings_.text() << "\n" << text_of(schedule_);
      keep_logs(out);
    }
    result.report = out.str();
    return result;
  }

  void keep_logs(std::ostringstream& out) const {
    if (options_.keep_logs_in.empty()) return;
    const auto to = std::filesystem::path(options_.keep_logs_in) / ("seed" + std::to_string(schedule_.seed));
    std::error_code failed;
    std::filesystem::create_directories(to, failed);
    std::filesystem::copy(
        folder_.path(), to,
        std::filesystem::copy_options::overwrite_existing | std::filesystem::copy_options::recursive, failed);
    out << "  logs: " << (failed ? failed.message() : to.string()) << "\n";
  }

  const Options options_;
  const Schedule schedule_;
  const RunSettings settings_;
  Folder folder_;
  Journal journal_;
  HeldState held_;
  EngineList engine_list_;
  std::atomic<std::uint64_t> attempts_ = 0;
  const NodeProgram program_;
  std::vector<std::unique_ptr<EngineProcess>> engines_;
  std::unique_ptr<FaultProxy> proxy_;  // before the engines; null = the nodes reach them themselves
  std::vector<std::unique_ptr<NodeSite>> nodes_;
  Instant began_;
};

}  // namespace

Result run(std::uint64_t seed, const Options& options) {
  return run(make_schedule(seed, options.nodes, options.prefill_engines + options.decode_engines,
                           options.length, options.only),
             options);
}

Result run(const Schedule& schedule, const Options& options) { return Run(schedule, options).play(); }

}  // namespace calicograde::soak
