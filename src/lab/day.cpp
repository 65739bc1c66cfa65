#include "lab/day.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/client.hpp"
#include "net/clock.hpp"
#include "net/thread.hpp"

namespace calicograde::lab {

using net::clock_now;

std::string daemon_beside_me() {
  char path[4096];
  const ssize_t n = ::readlink("/proc/self/exe", path, sizeof path - 1);
  std::string me(path, n > 0 ? static_cast<std::size_t>(n) : 0);
  return me.substr(0, me.rfind('/') + 1) + "calicograded";
}

Town::Town(const Plan& plan, std::string daemon, std::string folder)
    : plan_(plan), daemon_(std::move(daemon)), folder_(std::move(folder)) {
  roster_ = std::make_unique<RosterStandin>(plan_.roster_late, records_);
  for (const auto& o : plan_.engines) {
    // One memory a group: by zone and rack, or one for all; the widest group that a route names decides.
    DedupeGroup widest = DedupeGroup::Rack;
    for (const auto& r : plan_.routes)
      if (r.effect == Effect::Deduped) widest = std::min(widest, r.group);
    auto& memory = dedupe_[widest == DedupeGroup::All ? "" : widest == DedupeGroup::Zone ? o.zone : o.rack];
    if (!memory) memory = std::make_shared<DedupeMemory>();
    engines_.push_back(std::make_unique<EngineStandin>(o, records_, memory));
    EngineStandin& e = *engines_.back();
    records_.add({clock_now(), "engine", e.address(), o.zone, {}, o.rack, 0});
    list(e, Lifecycle::Ready, false);
  }
  std::vector<std::string> offers;
  for (const auto& t : plan_.tools)
    offers.push_back("{\"name\":\"" + t.name + "\",\"inputSchema\":{\"type\":\"object\"}}");
  for (int k = 0; k < plan_.tool_servers; ++k) {
    tool_servers_.push_back(
        std::make_unique<ToolStandin>("tools-" + std::to_string(k), offers, k % 2 == 0, &records_));
    tool_servers_.back()->set([this](ToolFaults& f) { f.takes = plan_.tool_takes; });
  }
  for (int k = 0; k < plan_.fronts; ++k) fronts_.push_back(start_front(k));
  if (!plan_.admin) return;
  // For calicograde fleet.
  std::ofstream fleet(folder_ + "/fleet.xml");
  fleet << "<fleet version=\"1\">\n";
  for (int k = 0; k < plan_.fronts; ++k)
    fleet << "  <fronts name=\"front-" << k << "\" admin=\"unix:" << folder_ << "/front-" << k
          << ".sock\" hall=\"hall-" << k % plan_.zones << "\"/>\n";
  fleet << "</fleet>\n";
}

Town::~Town() {
  later_.clear();
  stop_fronts();
  engines_.clear();
}

void Town::list(EngineStandin& e, Lifecycle state, bool cold) {
  roster::Line line;
  line.address = e.address(), line.kind = e.options().kind, line.zone = e.options().zone,
  line.rack = e.options().rack;
  line.incarnation = e.incarnation(), line.lifecycle = state;
  if (cold) line.age = e.age();
  roster_->change(line);
}

Town::Front Town::start_front(int number) {
  const std::string name = "front-" + std::to_string(number), file = folder_ + "/" + name + ".xml";
  std::vector<std::string> tools;
  for (const auto& t : tool_servers_) tools.push_back(net::text_of(t->address()));
  std::ofstream(file) << front_settings(plan_, number, roster_->address(), folder_ + "/" + name + ".log",
                                        tools, folder_);
  if (plan_.admin) ::mkdir((folder_ + "/" + name).c_str(), 0700);
  int out[2];
  if (::pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error("no pipe for " + name);
  const int pid = ::fork();
  if (pid < 0) throw std::runtime_error("no process for " + name);
  if (pid == 0) {
    ::dup2(out[1], 1);
    ::execl(daemon_.c_str(), "calicograded", "--config", file.c_str(), "--with-parent", nullptr);
    ::_exit(127);
  }
  ::close(out[1]);
  std::string line;
  for (char c; ::read(out[0], &c, 1) == 1 && c != '\n';) line += c;
  ::close(out[0]);
  const auto j = nlohmann::json::parse(line, nullptr, false);
  if (!j.is_object()) {
    ::waitpid(pid, nullptr, 0);
    throw std::runtime_error(name + " (" + daemon_ + ") did not become ready");
  }
  records_.add({clock_now(), "front_up", name, {}, {}, {}, 0});
  return {pid, *net::parse_address(j["listening"][0].get<std::string>()), name};
}

std::vector<net::Address> Town::fronts() const {
  std::vector<net::Address> out;
  for (const auto& f : fronts_) out.push_back(f.at);
  return out;
}
std::vector<int> Town::pids() const {
  std::vector<int> out;
  for (const auto& f : fronts_) out.push_back(f.pid);
  return out;
}
std::string Town::ready_line() const {
  nlohmann::ordered_json j{{"fronts", nlohmann::json::array()}, {"pids", pids()}};
  if (plan_.admin) j["fleet"] = folder_ + "/fleet.xml";
  for (const auto& a : fronts()) j["fronts"].push_back(net::text_of(a));
  for (const auto& t : tool_servers_) j["tools"].push_back(net::text_of(t->address()));
  return j.dump();
}

int Town::stop_fronts() {
  int worst = 0;
  for (const auto& f : fronts_)
    if (f.pid > 0) ::kill(f.pid, SIGTERM);
  for (auto& f : fronts_) {
    int status = 0;
    if (f.pid > 0 && ::waitpid(f.pid, &status, 0) == f.pid)
      worst = std::max(worst, WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
    f.pid = -1;
  }
  return worst;
}

void Town::later(Span in, std::function<void()> what) {
  later_.push_back({clock_now() + in, std::move(what)});
}

void Town::tick() {
  const Instant now = clock_now();
  for (std::size_t k = 0; k < later_.size(); ++k)
    if (later_[k].at <= now) {
      auto what = std::move(later_[k].what);
      later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(k--));
      what();
    }
}

std::vector<EngineStandin*> Town::choose(const Trouble& t, std::mt19937& chance) {
  std::vector<EngineStandin*> all;
  for (const auto& e : engines_)
    if ((t.engines.empty() || e->options().kind == t.engines) && !e->is_down()) all.push_back(e.get());
  std::shuffle(all.begin(), all.end(), chance);
  all.resize(std::min(all.size(), static_cast<std::size_t>(t.count)));
  return all;
}

void Town::trouble(const Trouble& t, std::mt19937& chance) {
  const auto back = [this](EngineStandin* e) { e->restart(), list(*e, Lifecycle::Ready, true); };
  const auto set = [&](EngineStandin* e, std::function<void(Faults&)> on, std::function<void(Faults&)> off) {
    e->set(on);
    later(t.length, [e, off] { e->is_down() ? void() : e->set(off); });
  };
  if (t.kind == "balancer_crash") {
    for (std::size_t k = 0; k < std::min(fronts_.size(), static_cast<std::size_t>(t.count)); ++k) {
      Front& f = fronts_[k];
      records_.add({clock_now(), "front_down", f.name, {}, {}, {}, 0});
      ::kill(f.pid, SIGKILL), ::waitpid(f.pid, nullptr, 0), f.pid = -1;
      later(t.length, [this, k] { fronts_[k] = start_front(static_cast<int>(k)); });
    }
    return;
  }
  if (t.kind == "roster_gap") return roster_->lose_one();
  if (t.kind.starts_with("tool_")) return tool_trouble(t, chance);
  if (t.kind == "hall_lost") {
    // All of it at once, and the roster says nothing; its boxes come back cold.
    for (const auto& e : engines_) {
      if (e->options().zone != "hall-" + std::to_string(plan_.zones - 1) || e->is_down()) continue;
      records_.add({clock_now(), "trouble", e->address(), {}, {}, t.kind, t.length.as_millis()});
      e->crash();
      later(t.length, [engine = e.get(), back] { back(engine); });
    }
    return;
  }
  for (EngineStandin* e : choose(t, chance)) {
    records_.add({clock_now(), "trouble", e->address(), {}, {}, t.kind, t.length.as_millis()});
    if (t.kind == "crash" || t.kind == "mass_restart") {
      e->crash(), list(*e, Lifecycle::Gone, false);
      later(t.length, [e, back] { back(e); });
    } else if (t.kind == "vanish") {
      e->set([](Faults& f) { f.vanished = true; });
      later(t.length, [e, back] { back(e); });
    } else if (t.kind == "hang") {
      set(
          e, [](Faults& f) { f.hung = true; }, [](Faults& f) { f.hung = false; });
    } else if (t.kind == "slow") {
      set(
          e, [t](Faults& f) { f.slow = t.size; }, [](Faults& f) { f.slow = 1; });
    } else if (t.kind == "fast_errors") {
      set(
          e, [t](Faults& f) { f.failing = t.size; }, [](Faults& f) { f.failing = 0; });
    } else if (t.kind == "cache_event_lost") {
      e->set([](Faults& f) { f.lose_event = true; });
    } else if (t.kind == "flush") {
      e->set([](Faults& f) { f.forget = true; });
    } else if (t.kind == "origin_slow") {
      set(
          e, [t](Faults& f) { f.link_slow = t.size; }, [](Faults& f) { f.link_slow = 1; });
    } else if (t.kind == "handshake_slow") {
      set(
          e, [t](Faults& f) { f.handshake = Span::from_millis(t.size); },
          [](Faults& f) { f.handshake = Span{}; });
    } else if (t.kind == "throttle") {
      set(
          e, [t](Faults& f) { f.closed_to = t.route; }, [](Faults& f) { f.closed_to.clear(); });
    } else if (t.kind == "report_late") {
      set(
          e, [](Faults& f) { f.stale_reports = true; }, [](Faults& f) { f.stale_reports = false; });
    } else if (t.kind == "garbage") {
      set(
          e, [](Faults& f) { f.garbage = true; }, [](Faults& f) { f.garbage = false; });
    } else if (t.kind == "cut") {
      set(
          e, [](Faults& f) { f.cut = true; }, [](Faults& f) { f.cut = false; });
    } else if (t.kind == "deploy") {
      list(*e, Lifecycle::Draining, false);
      // The old one leaves once it has had time to end its work; its successor has an address of its own, and
      // is cold.
      later(t.length, [this, e] {
        list(*e, Lifecycle::Gone, false), e->crash();
        engines_.push_back(std::make_unique<EngineStandin>(e->options(), records_, dedupe_.begin()->second));
        EngineStandin& fresh = *engines_.back();
        records_.add(
            {clock_now(), "engine", fresh.address(), fresh.options().zone, {}, fresh.options().rack, 0});
        fresh.restart(), list(fresh, Lifecycle::Ready, true);
      });
    }
  }
}

void Town::tool_trouble(const Trouble& t, std::mt19937& chance) {
  std::vector<ToolStandin*> all;
  for (const auto& s : tool_servers_) all.push_back(s.get());
  std::shuffle(all.begin(), all.end(), chance);
  all.resize(std::min(all.size(), static_cast<std::size_t>(t.count)));
  for (ToolStandin* s : all) {
    s->set([&](ToolFaults& f) {
      if (t.kind == "tool_dies") f.die = ToolFaults::Die::BeforeHead;
      if (t.kind == "tool_cut") f.die = ToolFaults::Die::MidStream;
      f.silent = t.kind == "tool_silent", f.garbage = t.kind == "tool_garbage",
      f.turns_away = t.kind == "tool_away";
    });
    later(t.length, [this, s] { s->set([this](ToolFaults& f) { f = {}, f.takes = plan_.tool_takes; }); });
  }
}

namespace {

struct Arrival {
  Span at;
  const Load* load = nullptr;
  const PlannedRoute* route = nullptr;
  const ToolLoad* tool = nullptr;
  std::uint32_t number = 0, chance = 0;
};

std::string filler(std::uint32_t seed, int bytes) {
  std::mt19937 r(seed);
  std::string out;
  while (static_cast<int>(out.size()) < bytes) out += "word" + std::to_string(r() % 9973) + " ";
  return out;
}

// One inference with its client's retries; `fronts` may change as fronts come back on other ports.
void live(const Arrival& a, const std::function<std::pair<net::Address, std::string>(std::uint32_t)>& front,
          Recorder& records, std::atomic<std::size_t>& unreachable) {
  ClientCall c;
  std::mt19937 chance(a.chance);
  const auto share = [&] { return std::uniform_real_distribution<double>()(chance); };
  if (a.tool) {
    c.mark = "t" + std::to_string(a.number), c.route = a.tool->tool, c.budget = Span::millis(4500);
    if (share() < a.tool->leave) c.leave_after = Span::from_millis(200 * share());
    std::tie(c.front, c.front_name) = front(a.number);
    if (call_tool(c, records).how == "unreachable") ++unreachable;
    return;
  }
  c.route = a.route->name;
  const auto shared = a.load->shared > 0
                          ? static_cast<std::uint32_t>(chance()) % static_cast<std::uint32_t>(a.load->shared)
                          : 0u;
  if (a.load->shared > 0) c.system = filler(shared + 1, a.load->shared_bytes);
  c.text =
      filler(a.chance, a.load->bytes / 2 + static_cast<int>(chance() % static_cast<unsigned>(a.load->bytes)));
  for (std::size_t at = 0; at < a.load->calls.size();) {
    const auto end = std::min(a.load->calls.find(' ', at), a.load->calls.size());
    c.text += " [call " + a.load->calls.substr(at, end - at) + "]", at = end + 1;
  }
  c.user = "u" + std::to_string(a.number % 17);
  c.max_tokens = a.load->max_tokens, c.stream = a.load->stream;
  const Span budget = a.load->budget > Span{} ? a.load->budget : a.route->timeout;
  if (share() < a.load->leave) c.leave_after = budget * (0.3 * share());
  c.reads_slowly = share() < a.load->slow_readers;
  if (a.route->effect == Effect::Deduped) c.key = "key-" + std::to_string(a.number);
  const Instant begun = clock_now();
  for (int tried = 0; tried <= a.load->retries; ++tried) {
    c.mark = "m" + std::to_string(a.number) + "-" + std::to_string(tried);
    c.budget = budget - (clock_now() - begun);
    if (c.budget <= Span::millis(1)) return;
    std::tie(c.front, c.front_name) = front(a.number + static_cast<std::uint32_t>(tried));
    const ClientEnd end = call(c, records);
    if (end.how == "unreachable") ++unreachable;
    const bool free = a.route->effect == Effect::Retriable ||
                      (a.route->effect == Effect::Deduped && a.route->group == DedupeGroup::All &&
                       clock_now() - begun < a.route->window);
    const bool again =
        end.how == "shed" || end.how == "unreachable" || (free && (end.how == "errored" || end.how == "cut"));
    if (!again) return;
    usleep(static_cast<unsigned>(std::max(20.0, end.retry_after.as_millis()) * 1000));
  }
}

}  // namespace

DayResult run_day(const Plan& plan, const std::string& daemon, const std::string& folder,
                  const std::string& record_file) {
  DayResult out;
  std::mt19937 chance(plan.seed);
  std::vector<Arrival> arrivals;
  for (const auto& l : plan.loads) {
    const auto route = std::find_if(plan.routes.begin(), plan.routes.end(),
                                    [&](const PlannedRoute& r) { return r.name == l.route; });
    std::exponential_distribution<double> gap(l.rate);
    for (double t = gap(chance); t < std::min(l.length.seconds(), plan.length.seconds() - l.from.seconds());
         t += gap(chance))
      arrivals.push_back(
          {l.from + Span::from_seconds(t), &l, &*route, nullptr, 0, static_cast<std::uint32_t>(chance())});
  }
  for (const auto& l : plan.tool_loads) {
    std::exponential_distribution<double> gap(l.rate);
    for (double t = gap(chance); t < std::min(l.length.seconds(), plan.length.seconds() - l.from.seconds());
         t += gap(chance))
      arrivals.push_back(
          {l.from + Span::from_seconds(t), nullptr, nullptr, &l, 0, static_cast<std::uint32_t>(chance())});
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  for (std::size_t k = 0; k < arrivals.size(); ++k) arrivals[k].number = static_cast<std::uint32_t>(k);
  Town town(plan, daemon, folder);
  std::mutex fronts_mutex;
  std::vector<net::Address> fronts = town.fronts();
  std::atomic<std::size_t> unreachable = 0;
  std::atomic<int> running = 0;
  const auto front = [&](std::uint32_t n) {
    const std::lock_guard lock(fronts_mutex);
    const std::size_t k = n % fronts.size();
    return std::pair{fronts[k], "front-" + std::to_string(k)};
  };
  const Instant begun = clock_now();
  std::size_t next = 0, next_trouble = 0;
  auto troubles = plan.troubles;
  std::stable_sort(troubles.begin(), troubles.end(),
                   [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
  while (clock_now() < begun + plan.length || running > 0) {
    const Instant now = clock_now();
    town.tick();
    for (; next_trouble < troubles.size() && begun + troubles[next_trouble].at <= now; ++next_trouble)
      town.trouble(troubles[next_trouble], chance);
    {
      const std::lock_guard lock(fronts_mutex);
      fronts = town.fronts();
    }
    for (; next < arrivals.size() && begun + arrivals[next].at <= now; ++next) {
      ++running;
      if (!net::start_thread(
              256 << 10, [&, a = arrivals[next]] { live(a, front, town.records(), unreachable), --running; }))
        --running;
    }
    usleep(1000);
  }
  // What is still held must go within the pin limit; and no trouble is left to end.
  const Instant rest = clock_now() + plan.rules.pin_limit + Span::millis(300);
  while (clock_now() < rest) town.tick(), usleep(1000);
  out.front_exit = town.stop_fronts();
  out.unreachable = unreachable;
  if (!record_file.empty()) town.records().write(record_file);
  out.verdict = audit(plan, town.records().all());
  return out;
}

}  // namespace calicograde::lab
