#include "node/node.hpp"

#include <malloc.h>
#include <poll.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <system_error>

#include "front/core.hpp"
#include "front/server.hpp"
#include "net/clock.hpp"
#include "net/local_error.hpp"
#include "node/client_front.hpp"
#include "node/dialect.hpp"
#include "node/follower.hpp"
#include "version.hpp"

namespace calicograde::node {
namespace {

using log::Level;
using net::clock_now;

constexpr int wrong_settings = 2, cannot_start = 3, cut_short = 4;
// After SIGTERM the platform still lets new connections in for 0.4 s, and what it sends within 0.7 s is owed.
constexpr Span still_taken = Span::millis(600);
// SIGKILL may come the longest deadline, at most so much, and so much more after SIGTERM. What is taken is
// answered, and what is held let go, so long before.
constexpr Span deadline_counted_at_most = Span::millis(3000), kill_after_deadline = Span::millis(700);
constexpr Span answered_before_kill = Span::millis(400);
constexpr Span tidied_within = Span::millis(1000), tidied_before_kill = Span::millis(100);
constexpr Span first_word = Span::millis(500);  // of a registry that may be down
constexpr Span tell_every = Span::millis(5000);
constexpr double pause_of_grace = 0.25;  // mean; at most half as much again
constexpr Span reread_within = Span::millis(5000), reread_every = Span::millis(100);
constexpr Span start_within = Span::millis(8000);  // where this machine lacks something for a moment
constexpr Span drain_poll_interval = Span::millis(10);
// An engine's second answer to one request follows its first within some milliseconds.
constexpr Span second_answer_within = Span::millis(20);

// A client may not be left waiting so long after its engine's last event, and an engine that writes sooner
// may not be cut off; between a look at the clock and an act this process may be held up for a while.
constexpr Span client_wait_after_event = Span::millis(5000), held_up_most = Span::millis(150);

// For those who look for a fault: info unless the environment names another level.
Level log_level() {
  const char* const named = std::getenv("CALICOGRADE_LOG_LEVEL");
  return named ? log::level_named(named) : Level::Info;
}

Span earliest_kill(const platform::NodeConfig& config) {
  Span longest;
  for (const Span deadline : config.give_up) longest = std::max(longest, deadline);
  return std::min(longest, deadline_counted_at_most) + kill_after_deadline;
}

Span wall_offset() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return Span::micros(t.tv_sec * 1000000LL + t.tv_nsec / 1000) - (clock_now() - Instant{});
}

net::Address address(const std::string& text, const char* key) {
  const auto at = net::parse_address(text);
  if (!at || !net::is_literal(*at))
    throw platform::ConfigError(std::string(key) + ": '" + text +
                                "' is no ADDRESS:PORT; give an IP address and a port");
  return *at;
}

platform::NodeConfig read(const std::string& file) {
  std::vector<settings::Fault> faults;
  const auto text =
      settings::read_file(file, faults, settings::most_settings_bytes + platform::most_listing_bytes);
  if (!text) {
    const std::string what = faults.empty() ? "can't be read" : faults.front().what;
    if (::access(file.c_str(), R_OK) == 0) throw platform::ConfigUnreadable(what);
    throw platform::ConfigError(what);
  }
  auto config = platform::read_config(*text);
  address(config.listen, "listen"), address(config.discovery, "discovery");
  return config;
}

// While the registry is down its agent is silent. What it has to tell at its return counts at once, and
// drains among it bind this node a grace later: a pause between two calls must be over well before.
Follower::Rules follower_rules(const platform::NodeConfig& config) {
  Follower::Rules rules;
  rules.again_most = std::min(rules.again_most, config.drain_grace * pause_of_grace);
  rules.again = std::min(rules.again, rules.again_most);
  return rules;
}

class Node {
 public:
  Node(std::string file, Span offset, const platform::NodeConfig& config, int signals)
      : file_(std::move(file)),
        config_(config),
        signals_(signals),
        settings_(front_settings(config)),
        log_("", log_level()),
        core_(settings_, log_, {platform_dialect()}),
        server_(core_, protocols()),
        follower_(core_, 0, config.told, offset, follower_rules(config), config.seed) {}

  int run() {
    core_.start();
    follower_.known(config_.known);
    follower_.follow(address(config_.discovery, "discovery"));
    // A list that is known counts, empty or old as it may be; but where the registry answers, what it has
    // told this machine meanwhile counts from the first moment, so that is heard first.
    core_.wait_for_rosters(clock_now() + Span::millis(5000));
    follower_.wait_heard(clock_now() + first_word);
    server_.start();
    log_.line(
        Level::Info, "ready",
        {{"front", settings_.name}, {"version", version}, {"listen", net::text_of(server_.addresses()[0])}});
    for (Instant told = clock_now();;) {
      const int signal = next_signal(rereading_until_ ? reread_every : Span::millis(500));
      if (signal != 0 && signal != SIGHUP) break;
      heed(signal);
      if (clock_now() - told >= tell_every) told = clock_now(), tell();
    }
    return stop();
  }

 private:
  std::vector<std::unique_ptr<front::Protocol>> protocols() {
    std::vector<std::unique_ptr<front::Protocol>> out;
    out.push_back(client_front(core_, config_.told));
    return out;
  }

  // The next signal that came, or 0 when none did for so long.
  int next_signal(Span wait) const {
    pollfd readable{signals_, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(wait.as_millis())) <= 0) return 0;
    signalfd_siginfo info{};
    // Interrupted, it is read the next time: it stays until then.
    return ::read(signals_, &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
  }

  // While the node drains a new configuration still counts: what it holds has yet to be sent by the list.
  // A further SIGTERM changes nothing.
  void heed_signals_while_draining() {
    int signal = 0;
    do {
      signal = next_signal(drain_poll_interval);
      heed(signal);
    } while (signal != 0);
  }

  // SIGHUP, or nothing: a new configuration that could not be read yet is tried again.
  void heed(int signal) {
    const Instant now = clock_now();
    if (signal == SIGHUP) rereading_until_ = now + reread_within, reread_at_ = now;
    if (rereading_until_ && now >= reread_at_) reread(now);
  }

  // The disk may fail for a moment, and the file be half written. What it says is owed all the same: a
  // registry that is left behind tells of no drain any more.
  void reread(Instant now) {
    try {
      const auto fresh = read(file_);
      follower_.follow(address(fresh.discovery, "discovery"));
      log_.line(Level::Info, "configuration read anew", {{"discovery", fresh.discovery}});
      rereading_until_.reset(), reread_failed_.clear();
    } catch (const std::exception& e) {
      const bool last = now >= *rereading_until_;
      if (last || e.what() != reread_failed_)
        log_.line(Level::Error,
                  last ? "configuration not understood; the old one is kept"
                       : "configuration not understood; it is read again",
                  {{"file", file_}, {"what", e.what()}});
      reread_failed_ = e.what(), reread_at_ = now + reread_every;
      if (last) rereading_until_.reset(), reread_failed_.clear();
    }
  }

  // What is believed of engines, beside what stands open here.
  void tell() {
    const auto b = core_.beliefs(0, clock_now() + Span::millis(200));
    if (!b) return;
    const auto n = [](std::size_t v) { return static_cast<std::int64_t>(v); };
    const auto counts = core_.counts();
    const struct mallinfo2 heap = mallinfo2();
    log_.line(Level::Info, "counts",
              {{"open", n(counts.open)},
               {"connections", n(server_.connections())},
               {"engines", n(b->engines)},
               {"doubted", n(b->doubted)},
               {"sends", n(b->sends)},
               {"reading", n(b->reading)},
               {"streams", n(b->streams)},
               {"held", n(b->places)},
               {"sending", n(b->sending)},
               {"following", n(b->following)},
               {"idle_links", n(b->idle_links)},
               {"probes", n(b->probes)},
               {"held_over_half", n(b->long_holds)},
               {"abandoned", n(b->abandoned)},
               {"denied", n(core_.permissions().denials())},
               {"violations", n(core_.permissions().violations())},
               {"request_kb", n(settings_.http.room->used() >> 10)},
               {"refused_for_room", n(settings_.http.room->refused())},
               {"heap_kb", n((heap.uordblks + heap.hblkhd) >> 10)}});
  }

  int stop() {
    log_.line(Level::Info, "stopping", {{"open", static_cast<std::int64_t>(core_.counts().open)}});
    const Instant kill = clock_now() + earliest_kill(config_);
    server_.wind_down();
    core_.end_budgets(kill - answered_before_kill);
    for (const Instant until = clock_now() + still_taken; clock_now() < until;) heed_signals_while_draining();
    const bool clean = server_.stop(clock_now() + settings_.stop, [this] { heed_signals_while_draining(); });
    // What ended last may still have something to let go, and the end of an attempt may be heard late.
    const Instant until = std::max(clock_now() + tidied_within, kill - tidied_before_kill);
    for (; clock_now() < until; heed_signals_while_draining()) {
      const auto left = core_.in_work(until);
      if (!left || left->inferences + left->holdings == 0) break;
    }
    log_.line(Level::Info, "stopped", {{"clean", std::int64_t{clean}}});
    return clean ? 0 : cut_short;
  }

  const std::string file_;
  std::optional<Instant> rereading_until_;  // a new configuration is to be read, and could not be so far
  Instant reread_at_;
  std::string reread_failed_;  // why, the last time
  const platform::NodeConfig config_;
  const int signals_;
  const settings::Front settings_;
  log::Log log_;
  front::Core core_;
  front::Server server_;
  Follower follower_;
};

}  // namespace

settings::Front front_settings(const platform::NodeConfig& c) {
  const platform::Shares shares = platform::divide(c);
  settings::Front f;
  f.name = c.name, f.of = c.told.settings.fronts, f.seed = c.seed != 0 ? c.seed : 1, f.zones = c.told.zones;
  f.listen = {address(c.listen, "listen")};
  f.http.header_bytes = 16 << 10, f.http.body_bytes = 256 << 10;
  f.http.idle = Span::millis(30000), f.http.head = Span::millis(2000), f.http.body = Span::millis(2400);
  f.http.whole = Span::millis(2400);
  f.http.room = std::make_shared<http::RequestRoom>(shares.request_bytes);
  f.connections = shares.connections, f.held = shares.inferences, f.sends = shares.sends;
  f.short_asks = shares.short_asks, f.queue = 4096, f.stack = shares.stack;
  f.stream_silence = client_wait_after_event - held_up_most, f.stop = Span::millis(120000);
  settings::Pool pool;
  pool.name = "engines", pool.routing = c.told.settings, pool.connect = c.told.settings.connect;
  pool.drain_grace = c.drain_grace;
  for (const auto& kind : c.told.kinds) pool.kinds.push_back({kind, true, true, false, false});
  pool.idle_used = 0.6, pool.idle_links = shares.idle_links;
  pool.idle_links_each = std::max<std::size_t>(4, shares.idle_links / 4);
  pool.link_rest = second_answer_within;
  pool.halls.on = false, pool.index_blocks = 0;
  f.pools.push_back(std::move(pool));
  for (std::size_t k = 0; k < c.told.routes.size(); ++k) {
    settings::Route r;
    r.name = r.model = c.told.routes[k], r.number = static_cast<std::uint16_t>(k);
    r.timeout = c.give_up[k], r.effect = c.told.settings.routes[k].effect;
    f.routes.push_back(std::move(r));
  }
  return f;
}

namespace {

// Descriptors, memory or threads are missing for now.
bool is_local(const std::exception& problem) {
  if (dynamic_cast<const net::LocalError*>(&problem)) return true;
  const auto* system = dynamic_cast<const std::system_error*>(&problem);
  return system && net::is_local_error(system->code().value());
}

}  // namespace

int run(const std::string& file) {
  // Few arenas: each holds on to what its threads once used.
  mallopt(M_ARENA_MAX, 2), mallopt(M_TRIM_THRESHOLD, 256 << 10), mallopt(M_MMAP_THRESHOLD, 128 << 10);
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM), sigaddset(&set, SIGINT), sigaddset(&set, SIGHUP);
  // Blocked before any thread is started, so that all of them have it blocked.
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
  const Instant begun = clock_now();
  net::LocalRetry retry(begun + start_within);
  std::optional<platform::NodeConfig> config;
  while (!config) try {
      config = read(file);
    } catch (const platform::ConfigUnreadable& e) {
      if (!retry.pause()) return std::fprintf(stderr, "%s: %s\n", file.c_str(), e.what()), wrong_settings;
    } catch (const std::exception& e) {
      std::fprintf(stderr, "%s: %s\n", file.c_str(), e.what());
      return wrong_settings;
    }
  net::LocalRetry::seed(config->seed);
  for (;;) try {
      net::lift_descriptor_limit();
      const net::Fd signals(signalfd(-1, &set, SFD_CLOEXEC));
      if (!signals) throw net::LocalError(std::string("cannot wait for signals: ") + std::strerror(errno));
      return Node(file, wall_offset(), *config, signals.get()).run();
    } catch (const std::exception& e) {
      // What is missing for a moment is no reason not to start.
      if (is_local(e) && retry.pause()) continue;
      std::fprintf(stderr, "calicograded: %s\n", e.what());
      return cannot_start;
    }
}

}  // namespace calicograde::node
