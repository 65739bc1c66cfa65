#include "soak/node_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <vector>

#include "net/clock.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;

// After SIGTERM the platform still lets clients connect for so long.
constexpr Span connects_after_sigterm = Span::millis(300);
constexpr rlim_t descriptors = 256;

std::string config_text(std::size_t number, const std::string& discovery, const std::string& known,
                        const RunSettings& settings) {
  char seed[24];
  std::snprintf(seed, sizeof seed, "%016zx", 0x5be964 + number);
  return R"({"name":"n)" + std::to_string(number) + R"(","listen":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":")" + seed + R"(","limits":{"cores":1.0,"memory_mb":96,"sockets":)" +
         std::to_string(descriptors) + R"(},"known":)" + known + R"(,"settings":)" + settings.json() + "}";
}

}  // namespace

NodeProcess::NodeProcess(std::size_t number, const NodeProgram& program, Journal& journal)
    : number_(number), program_(program), journal_(journal) {}

NodeProcess::~NodeProcess() {
  kill();
  while (running()) poll(), usleep(1000);
}

std::string NodeProcess::log_of(int generation) const {
  return (program_.folder / ("node" + std::to_string(number_) + "." + std::to_string(generation) + ".log"))
      .string();
}

std::string NodeProcess::connections_of(int generation) const { return log_of(generation) + ".connections"; }

void NodeProcess::configure(const std::string& discovery, const std::string& known) {
  const auto file = program_.folder / ("node" + std::to_string(number_) + ".json");
  const auto fresh = file.string() + ".new";
  std::ofstream(fresh) << config_text(number_, discovery, known, program_.settings);
  std::filesystem::rename(fresh, file);
}

void NodeProcess::start(const std::string& faults) {
  const std::lock_guard lock(mutex_);
  ++generation_, killed_ = overdue_ = false, terminated_.reset(), address_.reset();
  std::vector<std::string> own{
      "NODE_CONFIG=" + (program_.folder / ("node" + std::to_string(number_) + ".json")).string(),
      "CALICOGRADE_LOG_LEVEL=debug"};
  if (!program_.fault_library.empty()) {
    own.push_back("LD_PRELOAD=" + program_.fault_library);
    own.push_back("CALICOGRADE_FAULTS=" + faults);
    own.push_back("CALICOGRADE_CONNECTIONS=" + connections_of(generation_));
    own.push_back("ASAN_OPTIONS=verify_asan_link_order=0:detect_leaks=0");
  }
  std::vector<char*> env;
  for (std::string& e : own) env.push_back(e.data());
  for (char** e = environ; *e; ++e) env.push_back(*e);
  env.push_back(nullptr);
  std::string daemon = program_.daemon;
  char flag[] = "--front-node";
  char* const argv[] = {daemon.data(), flag, nullptr};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 2, log_of(generation_).c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                   0600);
  journal_.add(NodeStarted{number_, clock_now()});
  if (posix_spawn(&pid_, daemon.c_str(), &files, nullptr, argv, env.data()) != 0) pid_ = 0;
  posix_spawn_file_actions_destroy(&files);
  if (pid_ == 0) return journal_.add(NodeEnded{number_, clock_now(), NodeEnd::Crashed, 127});
  const rlimit most{descriptors, descriptors};
  prlimit(pid_, RLIMIT_NOFILE, &most, nullptr);
}

void NodeProcess::hang_up() {
  const std::lock_guard lock(mutex_);
  if (pid_ > 0) ::kill(pid_, SIGHUP);
}

void NodeProcess::terminate() {
  const std::lock_guard lock(mutex_);
  if (pid_ <= 0) return;
  ::kill(pid_, SIGTERM);
  if (terminated_) return;
  terminated_ = clock_now();
  journal_.add(NodeTerminated{number_, *terminated_});
}

void NodeProcess::kill() {
  const std::lock_guard lock(mutex_);
  if (pid_ <= 0) return;
  killed_ = true, address_.reset();
  ::kill(pid_, SIGKILL);
}

void NodeProcess::stop(bool on) {
  const std::lock_guard lock(mutex_);
  if (pid_ > 0) ::kill(pid_, on ? SIGSTOP : SIGCONT);
}

void NodeProcess::note_end(int status) {
  pid_ = 0, address_.reset();
  const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  const NodeEnd how = overdue_               ? NodeEnd::KilledAfterSigterm
                      : killed_              ? NodeEnd::Killed
                      : terminated_ && clean ? NodeEnd::AfterSigterm
                                             : NodeEnd::Crashed;
  journal_.add(NodeEnded{number_, clock_now(), how, status});
}

void NodeProcess::poll() {
  const std::lock_guard lock(mutex_);
  if (pid_ <= 0) return;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) return note_end(status);
  if (terminated_ && !killed_ && clock_now() > *terminated_ + program_.settings.kill_after_sigterm())
    killed_ = overdue_ = true, ::kill(pid_, SIGKILL);
  if (address_ || terminated_ || killed_) return;
  std::ifstream in(log_of(generation_));
  std::stringstream text;
  text << in.rdbuf();
  const std::string log = text.str(), event = "\"event\":\"ready\"", key = "\"listen\":\"";
  const auto ready = log.find(event);
  const auto at = ready == std::string::npos ? ready : log.find(key, ready);
  if (at == std::string::npos) return;
  const auto from = at + key.size(), to = log.find('"', from);
  if (to == std::string::npos) return;
  address_ = net::parse_address(log.substr(from, to - from));
  journal_.add(NodeReady{number_, clock_now()});
}

bool NodeProcess::running() const {
  const std::lock_guard lock(mutex_);
  return pid_ > 0;
}

std::optional<net::Address> NodeProcess::address() const {
  const std::lock_guard lock(mutex_);
  if (terminated_ && clock_now() > *terminated_ + connects_after_sigterm) return std::nullopt;
  return address_;
}

int NodeProcess::generation() const {
  const std::lock_guard lock(mutex_);
  return generation_;
}

std::vector<ConnectionEnded> NodeProcess::connections_ended() const {
  const std::lock_guard lock(mutex_);
  std::vector<ConnectionEnded> out;
  for (int k = 1; k <= generation_; ++k) {
    std::ifstream lines(connections_of(k));
    std::int64_t micros = 0;
    ConnectionEnded ended;
    ended.node = number_;
    while (lines >> micros >> ended.port >> ended.bytes_read) {
      ended.at = Instant::at(Span::micros(micros));
      out.push_back(ended);
    }
  }
  return out;
}

std::string NodeProcess::log_text() const {
  const std::lock_guard lock(mutex_);
  std::stringstream text;
  for (int k = 1; k <= generation_; ++k) text << std::ifstream(log_of(k)).rdbuf();
  return text.str();
}

}  // namespace calicograde::soak
