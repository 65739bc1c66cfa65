#pragma once

// A front node of the platform as a process of its own on loopback, with stand-ins of its engines and
// registry: shared by the tests of front nodes.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "lab/platform_standin.hpp"
#include "net/clock.hpp"
#include "until.hpp"

namespace calicograde::node {

using lab::Act;
using net::clock_now;

inline const std::string all_limits = R"({"cores":1.0,"memory_mb":192,"sockets":1024})";

// The platform's configuration of one node that serves one class on one prefill and one decode kind.
inline std::string config_text(const std::string& discovery, const std::string& limits,
                               const std::string& known, const std::string& connect_millis = "250.0") {
  return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964","limits":)" + limits + R"(,"known":)" + known +
         R"(,"settings":{"classes":[{"name":"chat","aim":2000.0,"give_up":10000.0,"effect":"safe","worth":1.0}],
        "host_types":["prefill","decode"],"failure_domains":["a"],"n_instances":1,"zone":0,
        "allowed":{"max_attempts":6,"conn_idle":15000.0,"connect_timeout":)" +
         connect_millis + R"(,"cancelling":true,
        "second_copies":true,"retry_after":true,"max_retry_after":1000.0},
        "family_info":{"stage_of_kind":["read","write"],"kind_memory_tokens":[200000,100000],"pin_limit":500.0,
        "holds_allowed":true,"token_aim":[70.0]},
        "rules":{"drain_grace":500.0,"cold":12000.0,"cold_from":0.25,"fall":1500.0,"fall_multiple":2.5}}})";
}

struct Reply {
  int status = 0;      // 0 = the connection ended without an answer
  bool whole = false;  // the answer came to its end
  std::string body, retry_after;
};

struct Rig {
  explicit Rig(const std::string& limits = all_limits, const std::string& known_more = "",
               std::string connect_millis = "250.0", std::vector<std::string> environment = {})
      : connect(std::move(connect_millis)),
        more_environment(std::move(environment)),
        folder(std::filesystem::temp_directory_path() / ("node_test_" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder);
    for (auto* e : engines())
      registry.change(e->name(), e->address(), e->reader() ? "prefill" : "decode", "Ready");
    write(registry.address(), limits, known_more);
    start();
  }
  ~Rig() {
    if (pid > 0) kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
    std::error_code ec;
    std::filesystem::remove_all(folder, ec);
  }

  void write(const std::string& discovery, const std::string& limits, const std::string& known = "") {
    const std::string text = config_text(discovery, limits, known.empty() ? registry.list() : known, connect);
    const auto fresh = folder / "config.new";
    std::ofstream(fresh) << text;
    std::filesystem::rename(fresh, folder / "config.json");
  }

  void spawn() { pid = spawn_one(folder / "log"); }
  pid_t spawn_one(const std::string& log) const {
    pid_t spawned = 0;
    const std::string config = "NODE_CONFIG=" + (folder / "config.json").string();
    std::vector<char*> env{const_cast<char*>(config.c_str())};
    for (const std::string& more : more_environment) env.push_back(const_cast<char*>(more.c_str()));
    for (char** e = environ; *e; ++e) env.push_back(*e);
    env.push_back(nullptr);
    char program[] = CALICOGRADED, flag[] = "--front-node";
    char* const argv[] = {program, flag, nullptr};
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    EXPECT_EQ(posix_spawn(&spawned, program, &files, nullptr, argv, env.data()), 0);
    posix_spawn_file_actions_destroy(&files);
    return spawned;
  }
  void start() {
    spawn();
    ASSERT_TRUE(until([&] { return text().find("\"event\":\"ready\"") != std::string::npos; })) << text();
    const std::string log = text(), key = "\"listen\":\"";
    const auto at = log.find(key) + key.size();
    listen = *net::parse_address(log.substr(at, log.find('"', at) - at));
  }
  std::string text(const std::string& log = "log") const {
    std::ifstream in(folder / log);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
  }
  bool logged(const std::string& what) {
    return until([&] { return text().find(what) != std::string::npos; });
  }
  long resident_kb() const {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line))
      if (line.starts_with("VmRSS:")) return std::stol(line.substr(6));
    return 0;
  }
  int ended() {
    int status = 0;
    if (!until([&] { return waitpid(pid, &status, WNOHANG) == pid; })) return -1;
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
  }

  std::vector<lab::PlatformEngine*> engines() { return {&reader, &reader2, &writer, &writer2}; }

  net::Stream dial() const {
    auto [how, s] = net::Stream::connect(listen, clock_now() + Span::millis(5000));
    EXPECT_EQ(how, net::ConnectEnd::Connected);
    s.set_deadline(clock_now() + Span::millis(20000));
    return std::move(s);
  }
  static bool put(net::Stream& s, std::string_view bytes) {
    boost::system::error_code ec;
    while (!bytes.empty() && !ec) bytes.remove_prefix(s.write_some(boost::asio::buffer(bytes), ec));
    return !ec;
  }
  // All that comes until the connection ends.
  static std::string drain(net::Stream& s) {
    std::string out;
    char piece[4096];
    for (boost::system::error_code ec; !ec;) out.append(piece, s.read_some(boost::asio::buffer(piece), ec));
    return out;
  }
  std::string raw(const std::string& bytes) const {
    auto s = dial();
    put(s, bytes);
    return drain(s);
  }
  static http::Headers headers(const std::string& id, int timeout = 5000) {
    return {{"Host", "service.internal"},
            {"Request-Id", id},
            {"Request-Class", "chat"},
            {"Affinity-Key", "7f3a9c21e0b4d655"},
            {"Request-Timeout-Ms", std::to_string(timeout)},
            {"Request-Info", "prompt_len=512,max_out=40"},
            {"Content-Type", "application/json"}};
  }
  static Reply ask_on(http::ClientConnection& link, const std::string& id, int timeout = 5000,
                      const std::string& body = R"({"model":"chat"})") {
    Reply out;
    const Instant end = clock_now() + Span::millis(20000);
    http::Response head;
    if (!link.ask("POST", "/v1/chat/completions?x=1", headers(id, timeout), body, end) ||
        link.read_head(head, end) != http::BodyEnd::Done)
      return out;
    out.status = head.status;
    out.retry_after = http::header(head.headers, "retry-after");
    out.whole = link.read_whole(out.body, end, 1 << 20) == http::BodyEnd::Done;
    return out;
  }
  Reply ask(const std::string& id, int timeout = 5000,
            const std::string& body = R"({"model":"chat"})") const {
    http::ClientConnection link(dial());
    return ask_on(link, id, timeout, body);
  }
  testing::AssertionResult usual(const std::string& id) const {
    const auto r = ask(id);
    if (r.status == 200 && r.whole && r.body == lab::PlatformEngine::answer(3))
      return testing::AssertionSuccess();
    std::string asked;
    for (const auto& a : hall.all())
      if (a.id == id) asked += a.engine + " " + a.method + " " + a.target + "\n";
    return testing::AssertionFailure()
           << id << ": " << r.status << (r.whole ? " " : " cut ") << r.body << "\n"
           << asked << text();
  }
  // What was asked about those for whom something is held.
  std::string story() const {
    std::string out = text();
    for (const auto& a : hall.all())
      if (hall.holds(a.id)) out += a.id + " " + a.engine + " " + a.method + " " + a.target + "\n";
    return out;
  }
  bool all_let_go() {
    return until([&] { return hall.held() == 0; }, Span::millis(8000));
  }

  const std::string connect;
  const std::vector<std::string> more_environment;
  std::filesystem::path folder;
  lab::PlatformHall hall;
  lab::PlatformRegistry registry;
  lab::PlatformEngine reader{"s-r1", true, hall}, reader2{"s-r2", true, hall}, writer{"s-w1", false, hall},
      writer2{"s-w2", false, hall};
  pid_t pid = 0;
  net::Address listen;
};

inline std::string post(const std::string& more, const std::string& body = "{}") {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: a1\r\nRequest-Class: chat\r\n"
         "Request-Timeout-Ms: 3000\r\n" +
         more + "\r\n" + body;
}

// Nobody accepts here, and no more can wait: a connect hangs until room is made.
struct Deaf {
  Deaf() {
    while (waiting.size() < 10) {
      auto [how, s] = net::Stream::connect(at, clock_now() + Span::millis(100));
      if (how != net::ConnectEnd::Connected) return;
      waiting.push_back(std::move(s));
    }
    ADD_FAILURE() << "connections come up all the same";
  }
  // Whether somebody is trying to connect.
  bool tried() const {
    std::ifstream all("/proc/net/tcp");
    char remote[16], syn_sent[] = "02";
    std::snprintf(remote, sizeof remote, "0100007F:%04X", at.port);
    std::string line, number, from, to, state;
    while (std::getline(all, line))
      if (std::istringstream(line) >> number >> from >> to >> state && to == remote && state == syn_sent)
        return true;
    return false;
  }
  net::Listener listener{net::Address{"127.0.0.1", 0}, 0};
  const net::Address at{"127.0.0.1", listener.port()};
  std::vector<net::Stream> waiting;
};

}  // namespace calicograde::node
