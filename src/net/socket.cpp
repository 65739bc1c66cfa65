#include "net/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <time.h>
#include <unistd.h>

#include <boost/asio/error.hpp>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <cstring>
#include <memory>
#include <stdexcept>

#include "net/clock.hpp"
#include "net/interrupted.hpp"
#include "net/local_error.hpp"
#include "net/thread.hpp"

namespace calicograde::net {
namespace {

int left_millis(Instant deadline) {
  const Span left = deadline - clock_now();
  if (left <= Span{}) return 0;
  return static_cast<int>(std::min(left.as_millis() + 1, 600000.0));
}

union Where {
  sockaddr any;
  sockaddr_in v4;
  sockaddr_in6 v6;
  sockaddr_un un;
};
constexpr std::string_view local = "unix:";

std::optional<std::pair<Where, socklen_t>> where(const Address& a) {
  Where w;
  std::memset(&w, 0, sizeof w);
  if (is_local_path(a)) {
    const std::string path = a.host.substr(local.size());
    if (path.size() >= sizeof w.un.sun_path) return std::nullopt;
    w.un.sun_family = AF_UNIX;
    std::memcpy(w.un.sun_path, path.c_str(), path.size() + 1);
    return std::pair{w, static_cast<socklen_t>(sizeof w.un)};
  }
  if (inet_pton(AF_INET, a.host.c_str(), &w.v4.sin_addr) == 1) {
    w.v4.sin_family = AF_INET, w.v4.sin_port = htons(a.port);
    return std::pair{w, static_cast<socklen_t>(sizeof w.v4)};
  }
  if (inet_pton(AF_INET6, a.host.c_str(), &w.v6.sin6_addr) == 1) {
    w.v6.sin6_family = AF_INET6, w.v6.sin6_port = htons(a.port);
    return std::pair{w, static_cast<socklen_t>(sizeof w.v6)};
  }
  return std::nullopt;
}

// What fits at once; the rest, where there is any, is not worth a wait.
void send_at_once(int fd, std::string_view bytes) {
  for (int tries = 0; !bytes.empty() && tries < 64; ++tries) {
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) bytes.remove_prefix(static_cast<std::size_t>(n));
    else if (errno != EINTR && !is_out_of_memory(errno)) return;
  }
}

constexpr int most_refused_reads = 64;  // of 4 KiB each, from a client that is turned away

constexpr int most_tries_to_accept = 3;  // before newcomers are refused for a lack of descriptors
constexpr int most_looks = 5;            // where a look without a wait is interrupted

boost::system::error_code last_error() { return {errno, boost::system::system_category()}; }

// The same without a wait: whether one descriptor is ready, none where the kernel could not be asked.
std::optional<bool> look(int fd, short events) {
  pollfd p{fd, events, 0};
  for (int k = 0; k < most_looks; ++k)
    if (const int ready = ::poll(&p, 1, 0); ready >= 0) return ready > 0;
  return std::nullopt;
}

ConnectEnd end_of_connect(int error) {
  if (error == 0) return ConnectEnd::Connected;
  if (error == ECONNREFUSED) return ConnectEnd::Refused;
  if (error == ETIMEDOUT) return ConnectEnd::TimedOut;
  return is_local_error(error) ? ConnectEnd::Local : ConnectEnd::Unreachable;
}

// Neither the listening socket nor this machine has failed, but the connection that was to be accepted: the
// next may be sound (accept(2), "Error handling").
bool newcomer_failed(int error) {
  switch (error) {
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case EPERM: return true;
    default: return false;
  }
}

}  // namespace

Instant clock_now() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return Instant::at(Span::micros(t.tv_sec * 1000000LL + t.tv_nsec / 1000));
}

bool start_thread(std::size_t stack_bytes, std::function<void()> body) {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  stack_bytes *= 4;
#endif
  pthread_attr_t attr;
  if (pthread_attr_init(&attr) != 0) return false;
  pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize(&attr, std::max<std::size_t>(stack_bytes, 65536));
  auto held = std::make_unique<std::function<void()>>(std::move(body));
  pthread_t id;
  const int failed = pthread_create(
      &id, &attr,
      [](void* p) -> void* {
        const std::unique_ptr<std::function<void()>> run(static_cast<std::function<void()>*>(p));
        (*run)();
        return nullptr;
      },
      held.get());
  pthread_attr_destroy(&attr);
  if (failed != 0) return false;
  static_cast<void>(held.release());
  return true;
}

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

bool is_local_path(const Address& a) { return a.host.starts_with(local); }
bool is_loopback(const Address& a) {
  return is_local_path(a) || a.host.starts_with("127.") || a.host == "::1";
}

std::optional<Address> parse_address(std::string_view text) {
  if (text.starts_with(local)) {
    const bool fits =
        text.size() > local.size() && text.size() - local.size() < sizeof(sockaddr_un::sun_path);
    return fits ? std::optional(Address{std::string(text), 0}) : std::nullopt;
  }
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  std::string_view host = text.substr(0, colon), port = text.substr(colon + 1);
  if (host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  else if (host.find(':') != std::string_view::npos) return std::nullopt;
  Address a{std::string(host), 0};
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), a.port);
  if (error != std::errc{} || end != port.data() + port.size() || host.empty()) return std::nullopt;
  return a;
}

std::string text_of(const Address& a) {
  if (is_local_path(a)) return a.host;
  const bool six = a.host.find(':') != std::string::npos;
  return (six ? "[" + a.host + "]" : a.host) + ":" + std::to_string(a.port);
}

bool is_literal(const Address& a) { return where(a).has_value(); }

std::optional<Address> resolve(const Address& a) {
  if (where(a)) return a;
  addrinfo hints{}, *found = nullptr;
  hints.ai_socktype = SOCK_STREAM;
  if (getaddrinfo(a.host.c_str(), nullptr, &hints, &found) != 0 || !found) return std::nullopt;
  char text[INET6_ADDRSTRLEN] = "";
  if (found->ai_family == AF_INET)
    inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in*>(found->ai_addr)->sin_addr, text, sizeof text);
  else inet_ntop(AF_INET6, &reinterpret_cast<sockaddr_in6*>(found->ai_addr)->sin6_addr, text, sizeof text);
  freeaddrinfo(found);
  return Address{text, a.port};
}

int wait_ready(pollfd* descriptors, std::size_t count, Instant deadline) {
  LocalRetry retry(deadline);
  for (;;) {
    const int ready = ::poll(descriptors, count, left_millis(deadline));
    if (ready > 0) return ready;
    if (ready < 0 && errno != EINTR) retry.pause();
    if (clock_now() >= deadline) return 0;
  }
}

Stream::Stream(Fd fd) : fd_(std::move(fd)) {
  const int one = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

std::pair<ConnectEnd, Stream> Stream::connect(const Address& to, Instant deadline) {
  const auto at = where(to);
  if (!at) return {ConnectEnd::Unreachable, Stream{}};
  Fd fd(::socket(at->first.any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return {end_of_connect(errno), Stream{}};
  if (::connect(fd.get(), &at->first.any, at->second) != 0) {
    // Interrupted, it goes on to be made all the same.
    if (errno != EINPROGRESS && errno != EINTR) return {end_of_connect(errno), Stream{}};
    pollfd p{fd.get(), POLLOUT, 0};
    if (wait_ready(&p, 1, deadline) == 0) return {ConnectEnd::TimedOut, Stream{}};
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
    if (error != 0) return {end_of_connect(error), Stream{}};
  }
  return {ConnectEnd::Connected, Stream(std::move(fd))};
}

std::string Stream::peer() const {
  Where w;
  socklen_t size = sizeof w;
  char text[INET6_ADDRSTRLEN] = "";
  if (::getpeername(fd_.get(), &w.any, &size) != 0) return {};
  if (w.any.sa_family == AF_INET) inet_ntop(AF_INET, &w.v4.sin_addr, text, sizeof text);
  else if (w.any.sa_family == AF_INET6) inet_ntop(AF_INET6, &w.v6.sin6_addr, text, sizeof text);
  return text;
}

unsigned short Stream::local_port() const {
  Where w;
  socklen_t size = sizeof w;
  if (::getsockname(fd_.get(), &w.any, &size) != 0) return 0;
  return w.any.sa_family == AF_INET    ? ntohs(w.v4.sin_port)
         : w.any.sa_family == AF_INET6 ? ntohs(w.v6.sin6_port)
                                       : static_cast<unsigned short>(0);
}

void Stream::reset_hard() {
  if (!fd_) return;
  const linger now{1, 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  fd_.reset();
}

void Stream::end_sending() const {
  if (fd_) ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::shut() const {
  if (fd_) ::shutdown(fd_.get(), SHUT_RDWR);
}

bool Stream::stale(Instant until) const {
  if (!fd_) return true;
  pollfd p{fd_.get(), POLLIN | POLLRDHUP, 0};
  if (until > clock_now()) return wait_ready(&p, 1, until) > 0;
  return look(fd_.get(), POLLIN | POLLRDHUP).value_or(true);  // what can't be looked at is not used
}

std::optional<bool> Stream::acknowledged() const {
  int waiting = 0;
  if (!fd_ || ::ioctl(fd_.get(), SIOCOUTQ, &waiting) != 0) return std::nullopt;
  return waiting == 0;
}

std::optional<Span> Stream::received_ago() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (!fd_ || ::getsockopt(fd_.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  constexpr std::size_t needed = offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (size < needed) return std::nullopt;
  return Span::millis(info.tcpi_last_data_recv);
}

bool Stream::ended() const {
  char next;
  const ssize_t n = ::recv(fd_.get(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR && !is_out_of_memory(errno));
}

bool Stream::peer_left() const { return !fd_ || hung_up(fd_.get()); }

bool hung_up(int fd) { return look(fd, POLLRDHUP).value_or(false); }

bool may_hide_hang_up(int fd) {
  int unread = 0;
  if (::ioctl(fd, FIONREAD, &unread) != 0 || unread == 0) return false;
  int room = 0;
  socklen_t size = sizeof room;
  if (getsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, &size) != 0) return true;
  // Half of the room is for the kernel's own books; of the rest it offers more while half of it is free.
  constexpr int open_part = 4;
  return unread > room / open_part;
}

std::size_t Stream::read_now(void* to, std::size_t most) {
  const ssize_t n = retry_interrupted([&] { return ::recv(fd_.get(), to, most, MSG_DONTWAIT); });
  if (n <= 0) return 0;
  bytes_read_ += static_cast<std::size_t>(n);
  return static_cast<std::size_t>(n);
}

std::size_t Stream::read(void* to, std::size_t most, boost::system::error_code& ec) {
  ec = {};
  LocalRetry retry(deadline_);
  for (;;) {
    const ssize_t n = ::recv(fd_.get(), to, most, MSG_DONTWAIT);
    if (n > 0) return bytes_read_ += static_cast<std::size_t>(n), static_cast<std::size_t>(n);
    if (n == 0) return ec = boost::asio::error::eof, 0;
    if (errno == EINTR) continue;
    if (is_out_of_memory(errno)) {
      if (!retry.pause()) return ec = boost::asio::error::timed_out, 0;
      continue;
    }
    if (errno != EAGAIN) return broken_ = true, ec = last_error(), 0;
    // A descriptor below 0 is passed over by poll.
    pollfd p[3] = {{fd_.get(), POLLIN, 0}, {watched_, POLLRDHUP, 0}, {wake_, POLLIN, 0}};
    if (wait_ready(p, 3, deadline_) == 0) return ec = boost::asio::error::timed_out, 0;
    if (p[1].revents != 0 || p[2].revents != 0) return ec = boost::asio::error::operation_aborted, 0;
  }
}

std::size_t Stream::write(const void* from, std::size_t size, boost::system::error_code& ec) {
  ec = {};
  LocalRetry retry(deadline_);
  for (;;) {
    const ssize_t n = ::send(fd_.get(), from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) return bytes_written_ += static_cast<std::size_t>(n), static_cast<std::size_t>(n);
    if (errno == EINTR) continue;
    if (is_out_of_memory(errno)) {
      if (!retry.pause()) return ec = boost::asio::error::timed_out, 0;
      continue;
    }
    if (errno != EAGAIN) return ec = last_error(), 0;
    pollfd p{fd_.get(), POLLOUT, 0};
    if (wait_ready(&p, 1, deadline_) == 0) return ec = boost::asio::error::timed_out, 0;
  }
}

bool SpareDescriptor::release() {
  const bool had = static_cast<bool>(fd_);
  fd_.reset();
  return had;
}

void SpareDescriptor::refill() {
  if (!fd_) fd_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

Listener::Listener(const Address& at, int backlog) {
  const auto w = where(at);
  const auto fail = [&](const char* what) {
    throw std::runtime_error("cannot listen on " + text_of(at) + ": " + what);
  };
  const auto fail_by = [&](int error) {
    const std::string what = "cannot listen on " + text_of(at) + ": " + std::strerror(error);
    if (is_local_error(error)) throw LocalError(what);
    throw std::runtime_error(what);
  };
  if (!w) fail("no IPv4 or IPv6 address");
  fd_ = Fd(::socket(w->first.any.sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd_) fail_by(errno);
  const int one = 1;
  setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (is_local_path(at)) {
    path_ = at.host.substr(local.size());
    // Left by a process that is gone: nobody answers there. Where somebody does, it is theirs.
    struct stat st {};
    if (::lstat(path_.c_str(), &st) == 0) {
      if (!S_ISSOCK(st.st_mode)) path_.clear(), fail("there is a file of that name that is no socket");
      if (Stream::connect(at, clock_now() + Span::millis(200)).first == ConnectEnd::Connected)
        path_.clear(), fail("another process listens there");
      ::unlink(path_.c_str());
    }
  }
  if (::bind(fd_.get(), &w->first.any, w->second) != 0) fail_by(errno);
  if (!path_.empty()) ::chmod(path_.c_str(), 0600);  // its owner's alone, before anybody is let in
  if (::listen(fd_.get(), backlog) != 0) fail_by(errno);
  Where got;
  socklen_t size = sizeof got;
  getsockname(fd_.get(), &got.any, &size);
  if (path_.empty()) port_ = ntohs(got.any.sa_family == AF_INET ? got.v4.sin_port : got.v6.sin6_port);
  if (!wake_.ok()) throw LocalError("cannot listen on " + text_of(at) + ": no descriptor is left");
}

Listener::~Listener() {
  if (!path_.empty()) ::unlink(path_.c_str());
}

std::optional<Stream> Listener::accept(Instant deadline, std::string_view refusal) {
  LocalRetry retry(deadline);
  for (;;) {
    pollfd p[2] = {{fd_.get(), POLLIN, 0}, {wake_.fd(), POLLIN, 0}};
    if (wait_ready(p, 2, deadline) == 0) return std::nullopt;
    const bool stopped = p[1].revents != 0;
    const int got = ::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC);
    const int error = errno;
    if (got >= 0) return short_of_descriptors_ = 0, Stream(Fd(got));
    if (error == EMFILE || error == ENFILE) {
      if (++short_of_descriptors_ < most_tries_to_accept) retry.pause();
      else refuse_on_spare(refusal);
    } else if (is_out_of_memory(error)) {
      retry.pause();
    } else if (stopped && !newcomer_failed(error)) return std::nullopt;  // nobody waits any more
    if (clock_now() >= deadline) return std::nullopt;
  }
}

void Listener::refuse_on_spare(std::string_view refusal) {
  spare_.release();
  if (const Fd refused(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)); refused) {
    send_at_once(refused.get(), refusal);
    ::shutdown(refused.get(), SHUT_WR);
    // A close over unread bytes would reset the connection, and the answer could go with it.
    char unread[4096];
    for (int reads = 0; reads < most_refused_reads; ++reads)
      if (const ssize_t n = ::recv(refused.get(), unread, sizeof unread, MSG_DONTWAIT);
          n == 0 || (n < 0 && errno != EINTR))
        break;
  } else {
    usleep(1000);  // another thread has taken the descriptor: no busy loop until one is free
  }
  spare_.refill();
}

void Listener::stop() { wake_.raise(); }

Wake::Wake() : fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

// Whoever waits may wait without a deadline: a write that was interrupted must not be lost. It fails
// otherwise only where the flag is raised already (EAGAIN).
void Wake::raise() const {
  const std::uint64_t one = 1;
  retry_interrupted([&] { return ::write(fd_.get(), &one, sizeof one); });
}

void Wake::clear() const {
  std::uint64_t count = 0;
  retry_interrupted([&] { return ::read(fd_.get(), &count, sizeof count); });
}

Waited wait_for(const Wake& wake, int peer, Instant deadline) {
  pollfd p[2] = {{wake.fd(), POLLIN, 0}, {peer, POLLRDHUP, 0}};
  if (wait_ready(p, peer >= 0 ? 2 : 1, deadline) == 0) return Waited::TimedOut;
  if (p[0].revents != 0) return wake.clear(), Waited::Woken;
  return Waited::PeerLeft;
}

std::size_t lift_descriptor_limit() {
  rlimit r{};
  getrlimit(RLIMIT_NOFILE, &r);
  r.rlim_cur = r.rlim_max;
  setrlimit(RLIMIT_NOFILE, &r);
  getrlimit(RLIMIT_NOFILE, &r);
  return static_cast<std::size_t>(r.rlim_cur);
}

}  // namespace calicograde::net
