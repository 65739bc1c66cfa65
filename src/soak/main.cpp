// calicograde-soak: plays seeds of the fault soak one after the other. Exit status 0 where all passed.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>

#include "lab/platform_standin.hpp"
#include "net/socket.hpp"
#include "soak/engines.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/soak.hpp"

using namespace calicograde;

int main(int argc, char** argv) {
  CLI::App app{"Plays front nodes as real processes on loopback under faults that overlap"};
  soak::Options options;
  std::string engine_role;
  unsigned short engine_port = 0;
  int engine_backlog = lab::LoopbackServer::usual_backlog;
  std::vector<std::string> proxy_targets, only;
  std::uint64_t proxy_seed = 1;
  std::uint64_t first = 1, seeds = 1;
  int seconds = 14;
  bool calm = false;
  app.add_option("--daemon", options.daemon, "the calicograded to be played");
  app.add_option("--engine", engine_role, "be an engine of that role, started by a run")
      ->check(CLI::IsMember({"prefill", "decode"}));
  app.add_option("--port", engine_port, "where that engine listens; 0 = the kernel chooses");
  app.add_option("--backlog", engine_backlog, "connections that wait at that engine, at the most");
  app.add_option("--proxy-target", proxy_targets, "be the proxy of a run, before these addresses");
  app.add_option("--proxy-seed", proxy_seed, "of that proxy");
  app.add_option("--only", only, "troubles to choose from, by their names in the tables; none = all");
  app.add_option("--faults", options.fault_library, "the fault library; none = system calls do not fail");
  app.add_option("--first", first, "the first seed");
  app.add_option("--seeds", seeds, "how many, counted up from the first");
  app.add_option("--seconds", seconds, "of each run");
  app.add_option("--nodes", options.nodes, "front nodes");
  app.add_option("--prefill-engines", options.prefill_engines, "engines that read prompts");
  app.add_option("--decode-engines", options.decode_engines, "engines that write answers");
  app.add_option("--keep", options.keep_logs_in, "folder for the logs of runs that failed");
  app.add_flag("--calm", calm, "no troubles: what an ordinary day costs");
  app.add_flag("--keep-all", options.keep_all_logs, "keep those of runs that passed, too");
  CLI11_PARSE(app, argc, argv);
  if (!engine_role.empty())
    return soak::run_engine(engine_role == "prefill" ? soak::Role::Prefill : soak::Role::Decode, engine_port,
                            engine_backlog);
  if (!proxy_targets.empty()) return soak::run_proxy(proxy_targets, proxy_seed);
  for (const std::string& name : only) {
    const auto trouble = soak::trouble_named(name);
    if (!trouble) return std::fprintf(stderr, "--only: there is no trouble '%s'\n", name.c_str()), 2;
    options.only.push_back(*trouble);
  }
  if (options.daemon.empty()) {
    std::fprintf(stderr, "--daemon is missing: name the calicograded to be played\n");
    return 2;
  }
  options.engine_program = std::filesystem::read_symlink("/proc/self/exe").string();
  options.length = Span::millis(1000LL * seconds);
  net::lift_descriptor_limit();
  soak::PairCounts pairs;
  std::uint64_t failed = 0;
  double node_seconds = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    try {
      const std::size_t engines = options.prefill_engines + options.decode_engines;
      const soak::Schedule no_troubles{seed, options.nodes, engines, options.length, {}};
      const soak::Result result = calm ? soak::run(no_troubles, options) : soak::run(seed, options);
      failed += !result.passed, node_seconds += result.node_seconds;
      std::printf("%s", result.report.c_str());
    } catch (const std::exception& problem) {
      ++failed;
      std::printf("seed %llu: FAILED; %s\n", static_cast<unsigned long long>(seed), problem.what());
    }
    std::fflush(stdout);
    soak::count_pairs(
        soak::make_schedule(seed, options.nodes, options.prefill_engines + options.decode_engines,
                            options.length, options.only),
        pairs);
  }
  std::printf("%s%llu seeds, %.2f node hours\n%llu passed, %llu failed\n", soak::table_of(pairs).c_str(),
              static_cast<unsigned long long>(seeds), node_seconds / 3600,
              static_cast<unsigned long long>(seeds - failed), static_cast<unsigned long long>(failed));
  return failed == 0 ? 0 : 1;
}
