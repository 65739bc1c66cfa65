#include "soak/fault_proxy.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/error.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <stdexcept>

#include "lab/platform_standin.hpp"
#include "net/clock.hpp"
#include "soak/child_process.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;

constexpr int commands_descriptor = 3;
// An engine whose accept queue is full is not reached: what was written meanwhile must not reach it late.
constexpr Span connect_within = Span::millis(200);
constexpr Span write_within = Span::millis(5000);
constexpr Span looks_every = Span::millis(20), late_start = Span::millis(150);
constexpr useconds_t delay_us = 30000, between_pieces_us = 300;
constexpr std::size_t piece_bytes = 40;

// What is to be done to connections, by chance. Thread-safe.
class Faults {
 public:
  explicit Faults(std::uint64_t seed) : random_(seed) {}
  void set(const ProxyCommand& command) {
    const std::lock_guard lock(mutex_);
    command_ = command;
  }
  // For what is to be passed on now.
  ProxyFault draw() {
    const std::lock_guard lock(mutex_);
    const bool strikes = std::uniform_real_distribution<double>()(random_) < command_.chance;
    return strikes ? command_.fault : ProxyFault::None;
  }

 private:
  std::mutex mutex_;
  std::mt19937_64 random_;
  ProxyCommand command_;
};

bool write_all(net::Stream& to, std::string_view bytes) {
  boost::system::error_code ec;
  to.set_deadline(clock_now() + write_within);
  while (!bytes.empty() && !ec) bytes.remove_prefix(to.write_some(boost::asio::buffer(bytes), ec));
  return !ec;
}

// One connection and the one that it is passed on to.
class Passage {
 public:
  Passage(net::Stream from, net::Stream to, Faults& faults)
      : from_(std::move(from)), to_(std::move(to)), faults_(faults) {}

  void run(const std::atomic<bool>& stopping) {
    while (!stopping) {
      // A negative descriptor is passed over: nothing more comes from that side.
      pollfd both[] = {{from_ended_ ? -1 : from_.fd(), POLLIN, 0}, {to_ended_ ? -1 : to_.fd(), POLLIN, 0}};
      if (::poll(both, 2, static_cast<int>(looks_every.as_millis())) <= 0) continue;
      if (both[0].revents != 0 && !pass(from_, to_)) return;
      if (both[1].revents != 0 && !pass(to_, from_)) return;
    }
  }

 private:
  // False: the connections end here.
  bool pass(net::Stream& in, net::Stream& out) {
    char buffer[16 << 10];
    boost::system::error_code ec;
    in.set_deadline(clock_now());
    const std::size_t got = in.read_some(boost::asio::buffer(buffer), ec);
    if (got == 0 && ec == boost::asio::error::timed_out) return true;
    if (got == 0) return ends(in, out, ec == boost::asio::error::eof);
    return silent_ || pass_on({buffer, got}, out);
  }

  bool pass_on(std::string_view bytes, net::Stream& out) {
    switch (faults_.draw()) {
      case ProxyFault::Silence: silent_ = true; return true;
      case ProxyFault::Delay: ::usleep(delay_us); return write_all(out, bytes);
      case ProxyFault::Pieces: return write_in_pieces(bytes, out);
      case ProxyFault::Reset: write_all(out, bytes.substr(0, bytes.size() / 2)); return reset_both(), false;
      case ProxyFault::HalfBytes: silent_ = true; return write_all(out, bytes.substr(0, bytes.size() / 2));
      default: return write_all(out, bytes);
    }
  }

  static bool write_in_pieces(std::string_view bytes, net::Stream& out) {
    for (; !bytes.empty(); bytes.remove_prefix(std::min(piece_bytes, bytes.size()))) {
      if (!write_all(out, bytes.substr(0, piece_bytes))) return false;
      ::usleep(between_pieces_us);
    }
    return true;
  }

  // An end of one side's sending is passed on; the other may still answer. A silent connection tells nothing.
  bool ends(net::Stream& in, net::Stream& out, bool orderly) {
    bool& ended = &in == &from_ ? from_ended_ : to_ended_;
    ended = true;
    if (!orderly && !silent_) reset_both();
    if (!orderly || (from_ended_ && to_ended_)) return false;
    if (!silent_) out.end_sending();
    return true;
  }

  void reset_both() { from_.reset_hard(), to_.reset_hard(); }

  net::Stream from_, to_;
  Faults& faults_;
  bool silent_ = false, from_ended_ = false, to_ended_ = false;
};

}  // namespace

const char* name_of(ProxyFault fault) {
  switch (fault) {
    case ProxyFault::None: return "none";
    case ProxyFault::Silence: return "silence";
    case ProxyFault::Delay: return "delay";
    case ProxyFault::Pieces: return "pieces";
    case ProxyFault::Reset: return "reset";
    case ProxyFault::HalfBytes: return "half";
    case ProxyFault::LateStart: return "late start";
  }
  return "?";
}

FaultProxy::FaultProxy(const std::string& program, const std::vector<std::string>& targets,
                       std::uint64_t seed) {
  auto [own, childs] = message_channel();
  std::vector<std::string> words{program, "--proxy-seed", std::to_string(seed)};
  for (const std::string& target : targets) words.insert(words.end(), {"--proxy-target", target});
  pid_ = start_child(std::move(words), {childs.get()});
  commands_ = std::move(own);
  childs.reset();
  ports_.resize(targets.size());
  const auto wanted = static_cast<ssize_t>(ports_.size() * sizeof ports_[0]);
  if (::recv(commands_.get(), ports_.data(), static_cast<std::size_t>(wanted), 0) != wanted) {
    kill_child(pid_);
    throw std::runtime_error("the fault proxy did not start");
  }
}

FaultProxy::~FaultProxy() { kill_child(pid_); }

void FaultProxy::set(ProxyFault fault, double chance) {
  const ProxyCommand command{fault, chance};
  ::send(commands_.get(), &command, sizeof command, MSG_NOSIGNAL | MSG_DONTWAIT);
}

int run_proxy(const std::vector<std::string>& targets, std::uint64_t seed) {
  end_with_parent();
  Faults faults(seed);
  std::atomic<bool> stopping = false;
  std::vector<std::unique_ptr<lab::LoopbackServer>> servers;
  std::vector<unsigned short> ports;
  for (const std::string& target : targets) {
    const auto serve = [&faults, &stopping, at = *net::parse_address(target)](net::Stream from) {
      if (faults.draw() == ProxyFault::LateStart) ::usleep(static_cast<useconds_t>(late_start.as_micros()));
      auto [how, to] = net::Stream::connect(at, clock_now() + connect_within);
      if (how != net::ConnectEnd::Connected) return from.reset_hard();
      Passage(std::move(from), std::move(to), faults).run(stopping);
    };
    servers.push_back(std::make_unique<lab::LoopbackServer>(serve));
    ports.push_back(servers.back()->port());
  }
  ::send(commands_descriptor, ports.data(), ports.size() * sizeof ports[0], MSG_NOSIGNAL);
  heed_commands<ProxyCommand>(commands_descriptor, [&](const ProxyCommand& command) { faults.set(command); });
}

}  // namespace calicograde::soak
