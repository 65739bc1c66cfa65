// calicograded: one front. Prints one line of JSON on standard output when it is ready, logs on standard
// error.
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>

#include "files/atomic_file.hpp"
#include "front/admin_front.hpp"
#include "front/core.hpp"
#include "front/messages_front.hpp"
#include "front/server.hpp"
#include "front/tools_front.hpp"
#include "net/clock.hpp"
#include "node/node.hpp"
#include "version.hpp"

using namespace calicograde;

namespace {

constexpr int wrong_settings = 2, cannot_start = 3, cut_short = 4;

// Empty = anybody who reaches the socket, which only its owner does.
std::string token_of(const settings::Admin& admin) {
  if (admin.token_file.empty()) return {};
  std::string wrong;
  const auto text = files::read_small(admin.token_file, wrong, 4096);
  if (!text) throw std::runtime_error(wrong.empty() ? admin.token_file + ": no such file" : wrong);
  const std::string token = text->substr(0, text->find_first_of("\r\n"));
  if (token.size() < 16)
    throw std::runtime_error(admin.token_file + ":1: the token has under 16 characters; write a longer one");
  return token;
}

int run(const std::string& file, bool with_parent) {
  std::vector<settings::Fault> faults;
  const auto settings = settings::load_file(file, faults);
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
  if (!settings) return wrong_settings;
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM), sigaddset(&set, SIGINT);
  // Blocked before any thread is started, so that all of them have it blocked.
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
  if (with_parent) prctl(PR_SET_PDEATHSIG, SIGTERM);
  const net::Fd signals(signalfd(-1, &set, SFD_CLOEXEC));
  try {
    log::Log log(settings->log_file, log::level_named(settings->log_level));
    const std::size_t descriptors = net::lift_descriptor_limit();
    if (settings->connections * 3 > descriptors)
      log.line(log::Level::Warn, "few descriptors",
               {{"limit", static_cast<std::int64_t>(descriptors)},
                {"connections", static_cast<std::int64_t>(settings->connections)}});
    front::Core core(*settings, log);
    std::vector<std::unique_ptr<front::Protocol>> protocols;
    // Made before the protocols, which share it.
    const auto calls = settings->tools ? std::make_shared<front::ToolCalls>(core) : nullptr;
    protocols.push_back(front::messages_front(core, calls));
    if (calls) protocols.push_back(front::tools_front(core, calls));
    front::Server server(core, std::move(protocols));
    core.start();
    // A front that no roster has told of any engine yet can only shed; it listens once one has, or after a
    // while.
    core.wait_for_rosters(net::clock_now() + Span::millis(5000));
    // Before it listens: a drain that stands from the last start refuses from the first connection on.
    const auto& admin = settings->admin;
    front::Draining draining(
        core, [&server] { return server.in_work(); },
        admin && !admin->state.empty() ? admin->state + "/drain.json" : "");
    std::unique_ptr<front::Server> admin_server;
    if (admin) {
      std::vector<std::unique_ptr<front::Protocol>> operators;
      operators.push_back(front::admin_front(core, draining, server, token_of(*admin)));
      admin_server =
          std::make_unique<front::Server>(core, std::move(operators), admin->listen, admin->connections);
      admin_server->start();
    }
    server.start();
    std::string where;
    for (const auto& a : server.addresses()) where += (where.empty() ? "\"" : ",\"") + net::text_of(a) + "\"";
    std::string operators;
    if (admin_server) operators = ",\"admin\":\"" + net::text_of(admin_server->addresses().at(0)) + "\"";
    std::printf("{\"listening\":[%s]%s,\"pid\":%d}\n", where.c_str(), operators.c_str(), getpid());
    std::fflush(stdout);
    log.line(log::Level::Info, "ready", {{"front", settings->name}, {"version", version}});
    pollfd p{signals.get(), POLLIN, 0};
    while (::poll(&p, 1, -1) < 0 && errno == EINTR) {}
    log.line(log::Level::Info, "stopping", {{"open", static_cast<std::int64_t>(core.counts().open)}});
    const bool clean = server.stop(net::clock_now() + settings->stop);
    log.line(log::Level::Info, "stopped", {{"clean", std::int64_t{clean}}});
    return clean ? 0 : cut_short;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "calicograded: %s\n", e.what());
    return cannot_start;
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "calicograded: a front that pairs prompt readers with answer writers.\nExit: 0 stopped cleanly, 2 "
      "wrong settings, 3 cannot start, 4 stopped with inferences cut short."};
  app.set_version_flag("--version", std::string("calicograded ") + version);
  std::string file;
  bool with_parent = false, front_node = false;
  const auto config = app.add_option("--config", file, "settings, an XML file");
  app.add_flag("--front-node", front_node,
               "a front node of the platform: all is told by the file that NODE_CONFIG names")
      ->excludes(config);
  app.add_flag("--with-parent", with_parent, "stop when the starting process ends");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 64;
  }
  if (front_node) {
    const char* told = std::getenv("NODE_CONFIG");
    if (told && *told) return node::run(told);
    std::fprintf(stderr, "NODE_CONFIG: is not set; have it name the node's configuration file\n");
    return wrong_settings;
  }
  if (file.empty()) {
    std::fprintf(stderr, "--config is missing; give the settings' file, or --front-node\n");
    return 64;
  }
  return run(file, with_parent);
}
