#include "tool/state_commands.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>

#include "files/atomic_file.hpp"
#include "keep/state.hpp"

namespace calicograde::tool {
namespace {

// A snapshot, or a log of marks; what is wrong with it goes to standard error.
struct Read {
  std::optional<keep::State> state;
  bool log = false;
  std::size_t whole = 0, size = 0;
};

std::optional<Read> read(const std::string& file) {
  std::string wrong;
  const auto bytes = files::read_small(file, wrong, keep::most_bytes);
  if (!bytes) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(), wrong.empty() ? "no such file" : wrong.c_str());
    return std::nullopt;
  }
  Read out;
  out.size = out.whole = bytes->size();
  if (file.ends_with(".log")) {
    out.log = true, out.state.emplace();
    out.state->marks = keep::decode_marks(*bytes, out.whole);
    return out;
  }
  auto decoded = keep::decode(*bytes);
  if (!decoded.state) {
    std::fprintf(
        stderr, "%s: %s; %s\n", file.c_str(), decoded.wrong.c_str(),
        decoded.newer ? "read it with a later calicograde" : "the front starts from the one before it");
    return std::nullopt;
  }
  out.state = std::move(decoded.state);
  return out;
}

std::string time_of(std::int64_t ms) {
  const std::time_t s = static_cast<std::time_t>(ms / 1000);
  std::tm t{};
  char out[40];
  gmtime_r(&s, &t);
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", &t);
  return out;
}

int show(const std::string& file) {
  const auto r = read(file);
  if (!r) return 2;
  const keep::State& s = *r->state;
  if (!r->log)
    std::printf("front %s, generation %llu, kept at %s, %zu bytes\n", s.front.c_str(),
                static_cast<unsigned long long>(s.generation), time_of(s.wall_ms).c_str(), r->size);
  std::map<std::string, std::size_t> by_route;
  for (const auto& m : s.marks) ++by_route[m.route];
  for (const auto& [route, n] : by_route) std::printf("route %s: %zu idempotency keys\n", route.c_str(), n);
  for (const auto& p : s.pools) {
    std::size_t blocks = 0;
    std::vector<std::size_t> of(p.engines.size());
    for (const auto& run : p.runs) {
      blocks += run.blocks.size();
      for (const auto& part : run.kept) of[part.engine] += part.blocks;
    }
    std::printf("pool %s: %zu runs, %zu blocks, cap %.0f\n", p.name.c_str(), p.runs.size(), blocks, p.cap);
    for (std::size_t k = 0; k < p.engines.size(); ++k)
      std::printf("  engine %s, process %s: keeps %zu blocks, takes in %.0f tokens a second\n",
                  p.engines[k].address.c_str(), p.engines[k].incarnation.c_str(), of[k],
                  p.engines[k].taken_per_s);
    for (const auto& h : p.held_engines) std::printf("  engine %s is held out by hand\n", h.c_str());
    for (const auto& h : p.held_halls) std::printf("  hall %s is held out by hand\n", h.c_str());
  }
  return 0;
}

int verify(const std::vector<std::string>& files) {
  int worst = 0;
  for (const auto& file : files) {
    const auto r = read(file);
    if (!r) worst = 2;
    else if (r->whole < r->size)
      std::printf("%s: %zu marks whole, then torn after %zu of %zu bytes: the front cuts it there\n",
                  file.c_str(), r->state->marks.size(), r->whole, r->size);
    else std::printf("%s: whole\n", file.c_str());
  }
  return worst;
}

int diff(const std::string& before, const std::string& after) {
  const auto a = read(before), b = read(after);
  if (!a || !b) return 2;
  int lines = 0;
  const auto say = [&](const std::string& text) { std::printf("%s\n", text.c_str()), ++lines; };
  std::map<std::pair<std::string, std::string>, bool> first, second;
  for (const auto& m : a->state->marks) first[{m.route, m.key}] = true;
  for (const auto& m : b->state->marks) second[{m.route, m.key}] = true;
  std::map<std::string, std::pair<long, long>> marks;
  for (const auto& [key, unused] : first)
    if (!second.contains(key)) ++marks[key.first].first;
  for (const auto& [key, unused] : second)
    if (!first.contains(key)) ++marks[key.first].second;
  for (const auto& [route, n] : marks)
    say("route " + route + ": " + std::to_string(n.second) + " keys are new, " + std::to_string(n.first) +
        " are gone");
  const auto pool_of = [](const keep::State& s, const std::string& name) -> const keep::PoolMemory* {
    for (const auto& p : s.pools)
      if (p.name == name) return &p;
    return nullptr;
  };
  for (const auto& p : a->state->pools)
    if (!pool_of(*b->state, p.name)) say("pool " + p.name + " is gone");
  for (const auto& p : b->state->pools) {
    const auto* was = pool_of(*a->state, p.name);
    if (!was) {
      say("pool " + p.name + " is new");
      continue;
    }
    if (was->runs.size() != p.runs.size())
      say("pool " + p.name + ": " + std::to_string(was->runs.size()) + " runs are now " +
          std::to_string(p.runs.size()));
    for (const auto& e : p.engines) {
      const auto old = std::find_if(was->engines.begin(), was->engines.end(),
                                    [&](const auto& o) { return o.address == e.address; });
      if (old == was->engines.end()) say("pool " + p.name + ": engine " + e.address + " is new");
      else if (old->incarnation != e.incarnation)
        say("pool " + p.name + ": engine " + e.address + " is another process");
    }
    if (was->held_engines != p.held_engines || was->held_halls != p.held_halls)
      say("pool " + p.name + ": what is held out by hand differs");
  }
  return lines > 0 ? 1 : 0;
}

}  // namespace

void add_state(CLI::App& app, std::function<int()>& chosen) {
  struct Words {
    std::string file, other;
    std::vector<std::string> files;
  };
  auto w = std::make_shared<Words>();
  auto* s = app.add_subcommand("state", "what a front keeps through restarts (state-N.snap, marks-N.log)");
  s->require_subcommand(1);
  auto* c = s->add_subcommand("show", "what is in a file");
  c->add_option("FILE", w->file, "a snapshot, or a log of marks")->required();
  c->callback([&chosen, w] { chosen = [w] { return show(w->file); }; });
  c = s->add_subcommand("verify", "whether files are whole");
  c->add_option("FILE", w->files, "snapshots and logs")->required();
  c->callback([&chosen, w] { chosen = [w] { return verify(w->files); }; });
  c = s->add_subcommand("diff", "what two snapshots hold differently; exit 1 if anything");
  c->add_option("BEFORE", w->file, "a snapshot")->required();
  c->add_option("AFTER", w->other, "a snapshot")->required();
  c->callback([&chosen, w] { chosen = [w] { return diff(w->file, w->other); }; });
}

}  // namespace calicograde::tool
