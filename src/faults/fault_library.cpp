// A library to be loaded with LD_PRELOAD into a process of this project under test. It makes system calls
// fail in ways that Linux documents, moves the wall clock, and holds the process up before a write. It never
// invents a result that the kernel could not have given: a call that fails has had no effect, a call that is
// shortened has had the effect that it reports, and a connection that it breaks stays broken.
//
// CALICOGRADE_FAULTS holds a seed and any number of rules, separated by blanks:
//
//     seed=7 wall_ms=-3600000 eintr=0.02 accept=0.05@1000+800 late_connect=0.2@0+4000
//
// A rule is NAME=CHANCE, optionally @START+LENGTH in milliseconds since the process started; without it the
// rule always holds. CHANCE is the share of the calls concerned. The names stand in `names` below; wall_ms is
// the offset of CLOCK_REALTIME in milliseconds, with @START the moment of a step.
//
// CALICOGRADE_CONNECTIONS may name a file, to which a line is appended for each accepted connection as soon
// as this process ends its sending on it, or the connection: the moment in microseconds of the monotonic
// clock, the port of the other side, and the bytes that were read from it by then.
//
// A test that is linked with the library has single calls fail by src/faults/fault_library.hpp.
#include "faults/fault_library.hpp"

#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iterator>

namespace {

enum class Kind : std::size_t {
  Eintr,    // any wait, and recv, send, read, write, accept and connect before they had an effect
  Short,    // recv, send, read and write move fewer bytes than asked for
  Accept,   // accept4 fails for a moment
  Socket,   // socket fails for a moment
  Connect,  // connect fails at once for a reason of this machine's
  Memory,   // recv, send, poll and epoll_ctl fail with ENOMEM or ENOBUFS
  Silent,   // a connection that this process made takes what is sent, delivers nothing, and brings nothing
  Broken,   // a connection that this process made breaks with ETIMEDOUT or EHOSTUNREACH
  LateConnect,  // a connection comes up half a second to one second late
  HoldUp,       // 0.15 s pass between what came before and a send
  Disk,         // write, fsync and rename on files fail with ENOSPC or EIO, some after half of the bytes
  Count
};
constexpr const char* names[] = {"eintr",  "short",  "accept",       "socket",  "connect", "memory",
                                 "silent", "broken", "late_connect", "hold_up", "disk"};

constexpr std::size_t most_descriptors = 65536;
constexpr std::uint64_t hold_up_micros = 150000, latest_connect_micros = 1000000;
constexpr std::uint64_t always = UINT64_MAX;

struct Rule {
  double chance = 0;
  std::uint64_t from = 0, until = always;  // microseconds since the start
};

struct Plan {
  std::uint64_t seed = 1, started = 0;
  Rule rules[static_cast<std::size_t>(Kind::Count)];
  std::int64_t wall_offset_micros = 0;
  std::uint64_t wall_from = 0;
};

Plan plan;
std::atomic<bool> ready{false};
std::atomic<std::uint64_t> draws{0};
std::atomic<std::uint64_t> connects_at[most_descriptors];  // 0 = not held back
std::atomic<int> swallowed[most_descriptors];       // bytes that a silent connection took; 0 = not silent
std::atomic<bool> outgoing[most_descriptors];       // this process made the connection
std::atomic<unsigned> peer_port[most_descriptors];  // of an accepted connection; 0 = it is none, or has ended
std::atomic<std::uint64_t> bytes_read[most_descriptors];  // from it
int connections_file = -1;

template <class Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

constexpr const char* calls[] = {"poll",     "epoll_wait", "epoll_ctl", "socket", "accept4", "connect",
                                 "recv",     "send",       "read",      "write",  "fsync",   "fdatasync",
                                 "renameat", "rename",     "opendir",   "close"};
constexpr std::size_t call_count = std::size(calls);
struct Armed {
  std::atomic<int> times{0};
  std::atomic<int> error{0};
  std::atomic<int> made{0};
  std::atomic<int> hold_up_millis{0};  // of the next call; 0 = none
  std::atomic<int> held_up{0};
};
Armed armed[call_count];

std::size_t number_of(const char* call) {
  std::size_t k = 0;
  while (k < call_count && std::strcmp(calls[k], call) != 0) ++k;
  return k;
}

// Counts the call; the error with which it is to fail, 0 = none.
int ordered_error(std::size_t call) {
  Armed& a = armed[call];
  ++a.made;
  if (a.times <= 0) return 0;
  if (a.times.fetch_sub(1) <= 0) return 0;
  return a.error;
}

void hold_up_if_ordered(std::size_t call) {
  Armed& a = armed[call];
  const int millis = a.hold_up_millis.exchange(0);
  if (millis == 0) return;
  ++a.held_up;
  usleep(static_cast<useconds_t>(millis) * 1000);
  --a.held_up;
}

int fail_with(int error) {
  errno = error;
  return -1;
}

// The kernel's own call.
#define REAL(name) static const auto real_##name = real<decltype(&::name)>(#name)
// The same; first fails as a test has ordered.
#define REAL_OR_ORDERED(name)                                 \
  REAL(name);                                                 \
  static const std::size_t ordered_##name = number_of(#name); \
  if (const int error = ordered_error(ordered_##name)) return fail_with(error)

// Whether the tables above have a place for it.
bool is_tracked(int fd) { return fd >= 0 && static_cast<std::size_t>(fd) < most_descriptors; }

std::uint64_t monotonic_micros() {
  REAL(clock_gettime);
  timespec t{};
  real_clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<std::uint64_t>(t.tv_sec) * 1000000 + static_cast<std::uint64_t>(t.tv_nsec) / 1000;
}

std::uint64_t running_micros() { return monotonic_micros() - plan.started; }

std::uint64_t mix(std::uint64_t x) {
  x += 0x9E3779B97F4A7C15ULL;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

std::uint64_t draw() { return mix(plan.seed * 0x2545F4914F6CDD1DULL + ++draws); }

bool strikes(Kind kind) {
  if (!ready) return false;
  const Rule& rule = plan.rules[static_cast<std::size_t>(kind)];
  if (rule.chance <= 0) return false;
  const std::uint64_t now = running_micros();
  if (now < rule.from || now >= rule.until) return false;
  return static_cast<double>(draw() >> 11) / 9007199254740992.0 < rule.chance;
}

template <std::size_t n>
int one_of(const int (&errors)[n]) {
  return errors[draw() % n];
}

bool is_socket(int fd) {
  struct stat st {};
  return fstat(fd, &st) == 0 && S_ISSOCK(st.st_mode);
}
bool is_file(int fd) {
  struct stat st {};
  return fstat(fd, &st) == 0 && S_ISREG(st.st_mode);
}

std::size_t shortened(std::size_t size) {
  return size > 1 && strikes(Kind::Short) ? 1 + draw() % (size - 1) : size;
}

void read_rule(char* word) {
  char* const equals = std::strchr(word, '=');
  if (!equals) return;
  *equals = 0;
  char* rest = equals + 1;
  const double value = std::strtod(rest, &rest);
  std::uint64_t from = 0, until = always;
  if (*rest == '@') {
    from = std::strtoull(rest + 1, &rest, 10) * 1000;
    if (*rest == '+') until = from + std::strtoull(rest + 1, &rest, 10) * 1000;
  }
  if (std::strcmp(word, "seed") == 0) plan.seed = static_cast<std::uint64_t>(value);
  if (std::strcmp(word, "wall_ms") == 0)
    plan.wall_offset_micros = static_cast<std::int64_t>(value * 1000), plan.wall_from = from;
  for (std::size_t k = 0; k < static_cast<std::size_t>(Kind::Count); ++k)
    if (std::strcmp(word, names[k]) == 0) plan.rules[k] = {value, from, until};
}

__attribute__((constructor)) void begin() {
  plan.started = monotonic_micros();
  if (const char* text = std::getenv("CALICOGRADE_FAULTS")) {
    static char copy[4096];
    std::strncpy(copy, text, sizeof copy - 1);
    char* state = nullptr;
    for (char* word = strtok_r(copy, " ", &state); word; word = strtok_r(nullptr, " ", &state))
      read_rule(word);
  }
  if (const char* file = std::getenv("CALICOGRADE_CONNECTIONS"))
    connections_file = ::open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ready = true;
}

void begin_connection(int fd) {
  if (connections_file < 0 || !is_tracked(fd)) return;
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  const bool known =
      ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET;
  bytes_read[fd] = 0, peer_port[fd] = known ? ntohs(peer.sin_port) : 0;
}

void end_connection(int fd) {
  if (!is_tracked(fd)) return;
  const unsigned port = peer_port[fd].exchange(0);
  if (port == 0) return;
  char line[64];
  const int size =
      std::snprintf(line, sizeof line, "%llu %u %llu\n", static_cast<unsigned long long>(monotonic_micros()),
                    port, static_cast<unsigned long long>(bytes_read[fd]));
  REAL(write);
  static_cast<void>(!real_write(connections_file, line, static_cast<std::size_t>(size)));
}

bool is_silent(int fd) { return is_tracked(fd) && swallowed[fd] > 0; }

bool is_outgoing(int fd) { return is_tracked(fd) && outgoing[fd]; }

// How long a connection is still held back, in microseconds; 0 = it is not.
std::uint64_t held_back(int fd) {
  if (!is_tracked(fd)) return 0;
  const std::uint64_t until = connects_at[fd];
  if (until == 0) return 0;
  const std::uint64_t now = monotonic_micros();
  return now < until ? until - now : 0;
}

constexpr int no_room[] = {ENOMEM, ENOBUFS};
constexpr int broken_link[] = {ETIMEDOUT, EHOSTUNREACH};

// Breaks a connection for good: the kernel would report the error once, and an end from then on.
int break_link(int fd) {
  ::shutdown(fd, SHUT_RDWR);
  return fail_with(one_of(broken_link));
}

int disk_error() {
  constexpr int errors[] = {ENOSPC, EIO};
  return fail_with(one_of(errors));
}

}  // namespace

extern "C" {

int poll(pollfd* fds, nfds_t count, int timeout) {
  REAL_OR_ORDERED(poll);
  if (timeout != 0 && strikes(Kind::Eintr)) return fail_with(EINTR);
  if (strikes(Kind::Memory)) return fail_with(ENOMEM);
  constexpr nfds_t most_masked = 4;
  if (count <= most_masked) {
    pollfd masked[most_masked];
    bool any = false;
    for (nfds_t k = 0; k < count; ++k) {
      masked[k] = fds[k];
      if (is_silent(fds[k].fd)) masked[k].fd = -1, any = true;  // nothing happens there any more
    }
    if (any) {
      const int ready = real_poll(masked, count, timeout);
      const int error = errno;
      for (nfds_t k = 0; k < count; ++k) fds[k].revents = masked[k].revents;
      errno = error;
      return ready;
    }
  }
  const std::uint64_t late = count == 1 && (fds[0].events & POLLOUT) ? held_back(fds[0].fd) : 0;
  if (late == 0) return real_poll(fds, count, timeout);
  const std::uint64_t wait =
      timeout < 0 ? late : std::min<std::uint64_t>(late, static_cast<std::uint64_t>(timeout) * 1000);
  usleep(static_cast<useconds_t>(wait));
  if (wait < late) return fds[0].revents = 0, 0;
  return real_poll(fds, count, timeout < 0 ? -1 : timeout - static_cast<int>(wait / 1000));
}

int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  REAL_OR_ORDERED(epoll_wait);
  if (timeout != 0 && strikes(Kind::Eintr)) return fail_with(EINTR);
  return real_epoll_wait(epoll, events, most, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
  REAL_OR_ORDERED(epoll_ctl);
  if (operation == EPOLL_CTL_ADD && strikes(Kind::Memory)) return fail_with(ENOMEM);
  return real_epoll_ctl(epoll, operation, fd, event);
}

int socket(int domain, int type, int protocol) {
  REAL_OR_ORDERED(socket);
  constexpr int errors[] = {ENFILE, ENOBUFS, ENOMEM};
  if (strikes(Kind::Socket)) return fail_with(one_of(errors));
  const int fd = real_socket(domain, type, protocol);
  if (is_tracked(fd)) connects_at[fd] = 0, outgoing[fd] = false, swallowed[fd] = 0;
  return fd;
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  REAL_OR_ORDERED(accept4);
  constexpr int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EPROTO};
  if (strikes(Kind::Eintr)) return fail_with(EINTR);
  if (strikes(Kind::Accept)) return fail_with(one_of(errors));
  const int got = real_accept4(fd, address, size, flags);
  if (is_tracked(got)) connects_at[got] = 0, outgoing[got] = false, swallowed[got] = 0;
  if (got >= 0) begin_connection(got);
  return got;
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  REAL(connect);
  static const std::size_t number = number_of("connect");
  const int ordered = ordered_error(number);
  // Interrupted, a connection goes on to be made.
  if (ordered == EINTR) real_connect(fd, address, size);
  if (ordered != 0) return fail_with(ordered);
  constexpr int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH};
  if (strikes(Kind::Connect)) return fail_with(one_of(errors));
  const int done = real_connect(fd, address, size);
  if (is_tracked(fd)) outgoing[fd] = true;
  if (done != 0 && errno != EINPROGRESS) return done;
  if (strikes(Kind::LateConnect) && is_tracked(fd)) {
    connects_at[fd] = monotonic_micros() + latest_connect_micros / 2 + draw() % (latest_connect_micros / 2);
    return fail_with(EINPROGRESS);
  }
  if (strikes(Kind::Eintr)) return fail_with(EINTR);
  return done == 0 ? 0 : fail_with(EINPROGRESS);
}

int ioctl(int fd, unsigned long request, ...) {
  REAL(ioctl);
  va_list more;
  va_start(more, request);
  void* const argument = va_arg(more, void*);
  va_end(more);
  if (request == SIOCOUTQ && is_silent(fd)) return *static_cast<int*>(argument) = swallowed[fd], 0;
  return real_ioctl(fd, request, argument);
}

ssize_t recv(int fd, void* to, size_t size, int flags) {
  REAL_OR_ORDERED(recv);
  if (strikes(Kind::Eintr)) return fail_with(EINTR);
  if (strikes(Kind::Memory)) return fail_with(ENOMEM);
  if (is_silent(fd)) return fail_with(EAGAIN);
  if (is_outgoing(fd) && strikes(Kind::Broken)) return break_link(fd);
  const ssize_t got = real_recv(fd, to, (flags & MSG_PEEK) ? size : shortened(size), flags);
  if (got > 0 && !(flags & MSG_PEEK) && is_tracked(fd) && peer_port[fd] != 0)
    bytes_read[fd] += static_cast<std::uint64_t>(got);
  return got;
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  REAL_OR_ORDERED(send);
  if (strikes(Kind::HoldUp)) usleep(hold_up_micros);
  if (strikes(Kind::Eintr)) return fail_with(EINTR);
  if (strikes(Kind::Memory)) return fail_with(one_of(no_room));
  if (is_silent(fd) || (is_outgoing(fd) && strikes(Kind::Silent))) {
    swallowed[fd] += static_cast<int>(size);
    return static_cast<ssize_t>(size);
  }
  if (is_outgoing(fd) && strikes(Kind::Broken)) return break_link(fd);
  return real_send(fd, from, shortened(size), flags);
}

ssize_t read(int fd, void* to, size_t size) {
  REAL_OR_ORDERED(read);
  if (strikes(Kind::Eintr)) return fail_with(EINTR);
  if (is_file(fd)) {
    if (strikes(Kind::Disk)) return fail_with(EIO);
    size = shortened(size);
  }
  return real_read(fd, to, size);
}

ssize_t write(int fd, const void* from, size_t size) {
  REAL_OR_ORDERED(write);
  if (strikes(Kind::Eintr)) return fail_with(EINTR);
  if (!is_file(fd) && !is_socket(fd)) return real_write(fd, from, size);  // an eventfd takes all or nothing
  // Standard error and output are this process's word to whoever watches it.
  if (fd > 2 && is_file(fd) && strikes(Kind::Disk)) {
    if (size < 2 || draw() % 2 == 0) return disk_error();
    return real_write(fd, from, size / 2);
  }
  return real_write(fd, from, shortened(size));
}

int fsync(int fd) {
  REAL_OR_ORDERED(fsync);
  return strikes(Kind::Disk) ? disk_error() : real_fsync(fd);
}

int fdatasync(int fd) {
  REAL_OR_ORDERED(fdatasync);
  return strikes(Kind::Disk) ? disk_error() : real_fdatasync(fd);
}

int renameat(int from_folder, const char* from, int to_folder, const char* to) {
  REAL_OR_ORDERED(renameat);
  return strikes(Kind::Disk) ? disk_error() : real_renameat(from_folder, from, to_folder, to);
}

int rename(const char* from, const char* to) {
  REAL_OR_ORDERED(rename);
  return strikes(Kind::Disk) ? disk_error() : real_rename(from, to);
}

int clock_gettime(clockid_t clock, timespec* out) {
  REAL(clock_gettime);
  const int done = real_clock_gettime(clock, out);
  if (done != 0 || clock != CLOCK_REALTIME || !ready || plan.wall_offset_micros == 0) return done;
  if (running_micros() < plan.wall_from) return done;
  const std::int64_t micros = out->tv_sec * 1000000LL + out->tv_nsec / 1000 + plan.wall_offset_micros;
  out->tv_sec = micros / 1000000, out->tv_nsec = micros % 1000000 * 1000 + out->tv_nsec % 1000;
  return 0;
}

DIR* opendir(const char* path) {
  REAL(opendir);
  static const std::size_t number = number_of("opendir");
  if (const int error = ordered_error(number)) return errno = error, nullptr;
  return real_opendir(path);
}

int close(int fd) {
  REAL(close);
  static const std::size_t number = number_of("close");
  hold_up_if_ordered(number);
  end_connection(fd);
  return real_close(fd);
}

int shutdown(int fd, int how) {
  REAL(shutdown);
  if (how != SHUT_RD) end_connection(fd);
  return real_shutdown(fd, how);
}

int gettimeofday(timeval* __restrict out, void* __restrict) {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  out->tv_sec = t.tv_sec, out->tv_usec = t.tv_nsec / 1000;
  return 0;
}

}  // extern "C"

namespace calicograde::faults {

void fail_next(const char* call, int error, int times) {
  Armed& a = armed[number_of(call)];
  a.error = error, a.times = times;
}

void hold_up_next(const char* call, int milliseconds) {
  armed[number_of(call)].hold_up_millis = milliseconds;
}

int calls_held_up(const char* call) { return armed[number_of(call)].held_up; }

int calls_made(const char* call) { return armed[number_of(call)].made; }

}  // namespace calicograde::faults
