#pragma once

// Stand-ins of the platform for the cases of this review: discovery, engines, clients, and the front node as a
// process of its own. POSIX sockets and threads only, loopback addresses only. They do what the platform's pages
// allow and nothing else; what a case makes them do besides is set by that case.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

inline std::int64_t now_ms() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}
inline std::int64_t wall_ms() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}
inline void sleep_ms(std::int64_t ms) {
  for (const std::int64_t until = now_ms() + ms; now_ms() < until;)
    usleep(static_cast<useconds_t>(std::min<std::int64_t>(50, std::max<std::int64_t>(1, until - now_ms())) * 1000));
}
// Until it holds; false where it does not within so long.
inline bool until(std::int64_t ms, const std::function<bool()>& holds) {
  for (const std::int64_t end = now_ms() + ms; now_ms() < end; usleep(2000))
    if (holds()) return true;
  return holds();
}

// What was sent, answered and run, with milliseconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& file) : out_(std::fopen(file.c_str(), "w")), begun_(now_ms()) {}
  ~Record() {
    if (out_) std::fclose(out_);
  }
  __attribute__((format(printf, 2, 3))) void line(const char* form, ...) {
    char text[2048];
    va_list args;
    va_start(args, form);
    std::vsnprintf(text, sizeof text, form, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    if (out_) std::fprintf(out_, "%7lld  %s\n", static_cast<long long>(now_ms() - begun_), text), std::fflush(out_);
  }

 private:
  std::mutex mutex_;
  std::FILE* out_;
  const std::int64_t begun_;
};

// ---- sockets

struct Fd {
  int fd = -1;
  Fd() = default;
  explicit Fd(int f) : fd(f) {}
  Fd(Fd&& o) noexcept : fd(std::exchange(o.fd, -1)) {}
  Fd& operator=(Fd&& o) noexcept {
    if (this != &o) close(), fd = std::exchange(o.fd, -1);
    return *this;
  }
  ~Fd() { close(); }
  void close() {
    if (fd >= 0) ::close(fd);
    fd = -1;
  }
  // Ends it with a reset.
  void reset() {
    if (fd < 0) return;
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
};

inline bool readable(int fd, std::int64_t ms) {
  pollfd p{fd, POLLIN, 0};
  return ::poll(&p, 1, static_cast<int>(std::max<std::int64_t>(0, ms))) > 0;
}
// The other side has closed, or nothing more can be had from it.
inline bool peer_left(int fd) {
  pollfd p{fd, POLLRDHUP, 0};
  return ::poll(&p, 1, 0) > 0;
}
inline bool put(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}
inline Fd dial(const std::string& host_port) {
  const auto colon = host_port.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET, to.sin_port = htons(static_cast<std::uint16_t>(std::atoi(host_port.c_str() + colon + 1)));
  inet_pton(AF_INET, host_port.substr(0, colon).c_str(), &to.sin_addr);
  Fd out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int one = 1;
  setsockopt(out.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(out.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) out.close();
  return out;
}

// A connection that is read message by message.
struct Link {
  Fd fd;
  std::string buffer;
  const std::atomic<bool>* hangs = nullptr;  // while it is set nothing is read: whoever reads does not run
  void wait_while_it_hangs() const {
    while (hangs && *hangs) usleep(1000);
  }
  // More bytes by the deadline. False at the end, or when it is over.
  bool more(std::int64_t end) {
    for (;;) {
      wait_while_it_hangs();
      if (!readable(fd.fd, end - now_ms())) return false;
      wait_while_it_hangs();
      char piece[16384];
      const ssize_t n = ::recv(fd.fd, piece, sizeof piece, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return ended = true, broken = n < 0, false;
      buffer.append(piece, static_cast<std::size_t>(n));
      return true;
    }
  }
  bool ended = false, broken = false;
};

struct Head {
  std::string first;  // the request line, or the status line
  std::map<std::string, std::string> fields;
  std::string of(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
  }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto a = first.find(' ');
    return first.substr(a + 1, first.find(' ', a + 1) - a - 1);
  }
  int status() const { return std::atoi(first.c_str() + first.find(' ') + 1); }
};
inline std::optional<Head> read_head(Link& link, std::int64_t end) {
  std::size_t at = 0;
  while ((at = link.buffer.find("\r\n\r\n")) == std::string::npos)
    if (!link.more(end)) return std::nullopt;
  std::istringstream lines(link.buffer.substr(0, at));
  link.buffer.erase(0, at + 4);
  Head out;
  std::string line;
  const auto next = [&] {
    if (!std::getline(lines, line)) return false;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    return true;
  };
  if (next()) out.first = line;
  while (next()) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon), value = line.substr(colon + 1);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    while (!value.empty() && value.front() == ' ') value.erase(0, 1);
    out.fields[name] = value;
  }
  return out;
}
// `size` bytes of a body.
inline bool read_bytes(Link& link, std::size_t size, std::string& out, std::int64_t end) {
  while (link.buffer.size() < size)
    if (!link.more(end)) return false;
  out = link.buffer.substr(0, size), link.buffer.erase(0, size);
  return true;
}

// Accepts on a loopback port of the kernel's choice; a thread a connection.
class Server {
 public:
  using Serve = std::function<void(Link&)>;
  explicit Server(Serve serve, int receive_buffer = 0, int port = 0) : serve_(std::move(serve)) {
    listener_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int one = 1;
    setsockopt(listener_.fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (receive_buffer > 0)
      setsockopt(listener_.fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(listener_.fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(listener_.fd, 512) != 0)
      std::fprintf(stderr, "cannot listen on a loopback port\n"), std::exit(2);
    socklen_t size = sizeof at;
    getsockname(listener_.fd, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    acceptor_ = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int port() const { return port_; }
  // New connections are refused from now on; those that are open go on.
  void close_listener() {
    if (closed_.exchange(true)) return;
    acceptor_.join();
    listener_.close();
  }
  void stop() {
    stopping_ = true;
    close_listener();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    until(5000, [&] { return running_ == 0; });
  }
  bool stopping() const { return stopping_; }
  // What lies unread in this machine's buffers, on all open connections.
  std::size_t unread() {
    const std::lock_guard lock(mutex_);
    std::size_t out = 0;
    for (const int fd : open_) {
      int n = 0;
      if (::ioctl(fd, FIONREAD, &n) == 0) out += static_cast<std::size_t>(n);
    }
    return out;
  }

 private:
  void accept() {
    while (!closed_) {
      if (!readable(listener_.fd, 20)) continue;
      const int got = ::accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (got < 0) continue;
      const int one = 1;
      setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      ++running_;
      {
        const std::lock_guard lock(mutex_);
        open_.insert(got);
      }
      std::thread([this, got] {
        {
          Link link;
          link.fd = Fd(got);
          serve_(link);
          const std::lock_guard lock(mutex_);
          open_.erase(got);
        }
        --running_;
      }).detach();
    }
  }
  Serve serve_;
  Fd listener_;
  int port_ = 0;
  std::atomic<bool> closed_ = false, stopping_ = false;
  std::atomic<int> running_ = 0;
  std::mutex mutex_;
  std::set<int> open_;
  std::thread acceptor_;
};

inline std::string chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// ---- discovery

struct Instance {
  std::string id, address, zone = "a", kind;
  int cell = 1;
  std::string lifecycle = "Ready";
  std::int64_t started = 0;
  std::string text() const {
    return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"" + zone +
           "\",\"machineType\":\"" + kind + "\",\"cell\":" + std::to_string(cell) + ",\"lifecycle\":\"" + lifecycle +
           "\",\"weight\":1.0,\"startedAtMs\":" + std::to_string(started) + "}";
  }
};

// The agent of the registry: tells each watch what it has missed, then every change as it comes.
class Discovery {
 public:
  explicit Discovery(Record& record, std::uint64_t generation = 41)
      : record_(record), generation_(generation), server_([this](Link& link) { serve(link); }) {}
  std::string address() const { return server_.address(); }
  // Several entries in one change.
  void change(const std::vector<Instance>& entries) {
    const std::lock_guard lock(mutex_);
    ++generation_;
    std::string text;
    for (const Instance& e : entries) {
      if (e.lifecycle == "Gone") instances_.erase(e.id);
      else instances_[e.id] = e;
      text += (text.empty() ? "" : ",") + e.text();
    }
    changes_[generation_] = text;
  }
  std::string list() {
    const std::lock_guard lock(mutex_);
    return whole();
  }
  int heard_by() const { return watches_; }

 private:
  std::string whole() const {
    std::string text;
    for (const auto& [id, e] : instances_) text += (text.empty() ? "" : ",") + e.text();
    return "{\"generation\":" + std::to_string(generation_) + ",\"reset\":true,\"instances\":[" + text + "]}";
  }
  void serve(Link& link) {
    while (const auto head = read_head(link, now_ms() + 60000)) {
      const std::string target = head->target();
      if (target.find("follow=1") == std::string::npos) {
        const std::string text = list();
        if (!put(link.fd.fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text))
          return;
        continue;
      }
      const auto at = target.find("since=");
      std::uint64_t told = at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + 6, nullptr, 10);
      if (!put(link.fd.fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
      ++watches_;
      std::int64_t said = 0;
      while (!server_.stopping() && !peer_left(link.fd.fd)) {
        std::string out;
        {
          const std::lock_guard lock(mutex_);
          const bool known = told == generation_ || changes_.contains(told + 1);
          if (!known) out = whole() + "\n", told = generation_;
          while (told < generation_) {
            ++told;
            out += "{\"generation\":" + std::to_string(told) + ",\"reset\":false,\"instances\":[" + changes_[told] +
                   "]}\n";
          }
        }
        if (out.empty() && now_ms() - said >= 2000) out = "\n";
        if (!out.empty()) {
          if (out != "\n") record_.line("discovery tells: %s", out.substr(0, 600).c_str());
          said = now_ms();
          if (!put(link.fd.fd, chunk(out))) break;
        }
        usleep(5000);
      }
      --watches_;
      return;
    }
  }
  Record& record_;
  std::mutex mutex_;
  std::uint64_t generation_;
  std::map<std::string, Instance> instances_;
  std::map<std::uint64_t, std::string> changes_;
  std::atomic<int> watches_ = 0;
  Server server_;
};

// ---- engines

// What the engines hold for requests, all together: the state that a read has left.
struct Held {
  std::mutex mutex;
  std::set<std::string> states;
  void read(const std::string& id) {
    const std::lock_guard lock(mutex);
    states.insert(id);
  }
  bool take(const std::string& id) {
    const std::lock_guard lock(mutex);
    return states.erase(id) > 0;
  }
  bool has(const std::string& id) {
    const std::lock_guard lock(mutex);
    return states.contains(id);
  }
};

struct Asked {
  Head head;
  std::string id, body;
  int connection = 0;  // counted at this engine
};

class Engine {
 public:
  enum class Role { Read, Write, Both };
  // What it does with a request to read or answer; true where it has done all, false to go on as usual. `keep`
  // tells whether the connection stays.
  using Instead = std::function<bool(Engine&, Link&, const Asked&, bool& keep)>;

  Engine(std::string name, Role role, Held& held, Record& record, int receive_buffer = 0, int port = 0)
      : name_(std::move(name)),
        role_(role),
        held_(held),
        record_(record),
        server_([this](Link& link) { serve(link); }, receive_buffer, port) {}
  std::string address() const { return server_.address(); }
  const std::string& name() const { return name_; }
  int port() const { return server_.port(); }
  Server& server() { return server_; }
  void instead(Instead what) {
    const std::lock_guard lock(mutex_);
    instead_ = std::move(what);
  }

  // Of requests that are not whole yet: what has come to this engine's machine, read or not.
  std::size_t bytes_come() { return server_.unread() + begun_bytes_; }

  std::atomic<int> read_ms = 15, first_ms = 15, event_ms = 10, events = 6;
  std::atomic<bool> hangs = false;     // its process does not run: it reads and writes nothing until it goes on
  std::atomic<bool> draining = false;  // turns away what is new, and finishes what it has
  std::atomic<int> writes_begun = 0, reads_begun = 0;

  // The events of one answer, as this engine writes them for this request.
  std::string event(const std::string& id, int k) const {
    return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + name_ + "/" + id + "/" + std::to_string(k) +
           "\"},\"finish_reason\":null}]}\n\n";
  }
  static std::string last_events() {
    return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":20,"
           "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
  }
  static bool answer(Link& link, int status, const std::string& more, const std::string& body) {
    return put(link.fd.fd, "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more +
                               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // False where the front node has gone.
  bool stream(Link& link, const std::string& id, int many) {
    if (!put(link.fd.fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
      return false;
    for (int k = 0; k < many; ++k) {
      if (k > 0) sleep_ms(event_ms);
      if (server_.stopping() || peer_left(link.fd.fd) || !put(link.fd.fd, chunk(event(id, k)))) return false;
    }
    return put(link.fd.fd, chunk(last_events()) + "0\r\n\r\n");
  }
  void note(const char* what, const Asked& a) {
    record_.line("engine %s: %s %s (connection %d)", name_.c_str(), what, a.id.c_str(), a.connection);
  }
  Record& record() { return record_; }
  Held& held() { return held_; }

 private:
  void serve(Link& link) {
    const int connection = ++connections_;
    link.hangs = &hangs;
    while (const auto head = read_head(link, now_ms() + 60000)) {
      Asked a{*head, head->of("request-id"), {}, connection};
      const auto size = static_cast<std::size_t>(std::atoll(head->of("content-length").c_str()));
      for (; link.buffer.size() < size; begun_bytes_ = link.buffer.size())
        if (!link.more(now_ms() + 60000)) return;
      begun_bytes_ = 0;
      read_bytes(link, size, a.body, 0);
      const std::string target = head->target();
      if (target.starts_with("/state/")) {
        const std::string id = target.substr(7);
        if (head->method() == "DELETE") {
          held_.take(id);
          record_.line("engine %s: DELETE %s", name_.c_str(), id.c_str());
          if (!put(link.fd.fd, "HTTP/1.1 204 No Content\r\n\r\n")) return;
        } else if (!answer(link, 404, "", "")) {
          return;
        }
      } else if (target.starts_with("/health/live")) {
        if (!answer(link, 200, "", "")) return;
      } else if (!work(link, a)) {
        return;
      }
    }
  }
  bool work(Link& link, const Asked& a) {
    Instead instead;
    {
      const std::lock_guard lock(mutex_);
      instead = instead_;
    }
    bool keep = true;
    if (instead && instead(*this, link, a, keep)) return keep;
    if (draining) return note("turned away, draining", a), answer(link, 503, "Not-Started: 1\r\n", "");
    if (role_ == Role::Read) {
      ++reads_begun;
      note("read", a);
      sleep_ms(read_ms);
      held_.read(a.id);
      return answer(link, 202, "", "{\"cached_tokens\":0}");
    }
    const bool has = held_.take(a.id);
    if (!has && role_ == Role::Write) return note("has no state for", a), answer(link, 410, "Not-Started: 1\r\n", "");
    ++writes_begun;
    note("answers", a);
    sleep_ms(first_ms);
    const bool whole = stream(link, a.id, events);
    note(whole ? "has answered" : "was left while it answered", a);
    return whole;
  }
  const std::string name_;
  const Role role_;
  Held& held_;
  Record& record_;
  std::mutex mutex_;
  Instead instead_;
  std::atomic<int> connections_ = 0;
  std::atomic<std::size_t> begun_bytes_ = 0;
  Server server_;
};

// ---- clients

struct Answer {
  int status = 0;  // 0 = the connection ended, or the wait was over, with no answer
  bool whole = false, late = false, broken = false;
  bool last = false;  // it says that its connection ends with it
  std::string body, retry_after;
  std::int64_t head_ms = 0, end_ms = 0;  // since the request was written
};

inline std::string request_text(const std::string& id, const std::string& route, int timeout_ms,
                                const std::string& body, const std::string& more = "") {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + id +
         "\r\nRequest-Class: " + route + "\r\nAffinity-Key: 7f3a9c21e0b4d655\r\nRequest-Timeout-Ms: " +
         std::to_string(timeout_ms) + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
inline std::string small_body() {
  return R"({"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"hello"}]})";
}
// Reads one answer to its end, for so long at most.
inline Answer read_answer(Link& link, std::int64_t within) {
  Answer out;
  const std::int64_t begun = now_ms(), end = begun + within;
  const auto head = read_head(link, end);
  if (!head) return out.broken = link.ended, out.late = !link.ended, out.end_ms = now_ms() - begun, out;
  out.status = head->status(), out.retry_after = head->of("retry-after"), out.head_ms = now_ms() - begun;
  out.last = head->of("connection") == "close";
  if (head->of("transfer-encoding").empty()) {
    out.whole = read_bytes(link, static_cast<std::size_t>(std::atoll(head->of("content-length").c_str())), out.body, end);
    return out.end_ms = now_ms() - begun, out;
  }
  for (;;) {
    std::size_t at = 0;
    while ((at = link.buffer.find("\r\n")) == std::string::npos)
      if (!link.more(end)) return out.broken = link.ended, out.late = !link.ended, out.end_ms = now_ms() - begun, out;
    const auto size = static_cast<std::size_t>(std::strtoull(link.buffer.c_str(), nullptr, 16));
    link.buffer.erase(0, at + 2);
    std::string piece;
    if (!read_bytes(link, size + 2, piece, end))
      return out.broken = link.ended, out.late = !link.ended, out.body += piece, out.end_ms = now_ms() - begun, out;
    if (size == 0) return out.whole = true, out.end_ms = now_ms() - begun, out;
    out.body += piece.substr(0, size);
  }
}

// ---- the front node

struct Settings {
  std::string classes;  // JSON
  std::string kinds = R"("prefill","decode")", stages = R"("read","write")", memory = "200000,100000";
  std::string zones = R"("a")";
  int nodes = 2;
  bool second_copies = true, probes = true, cancelling = true, writers_read = false, places = false;
  int drain_grace = 500, pin_limit = 500, conn_idle = 15000, sockets = 1024, memory_mb = 192;
  std::string text() const {
    const auto b = [](bool v) { return v ? "true" : "false"; };
    std::ostringstream o;
    o << R"({"classes":[)" << classes << R"(],"host_types":[)" << kinds << R"(],"failure_domains":[)" << zones
      << R"(],"n_instances":)" << nodes << R"(,"my_number":0,"zone":0,"tier":0,"discovery":"automatic",
 "allowed":{"max_attempts":6,"conn_idle":)" << conn_idle << R"(,"connect_timeout":250.0,"cancelling":)" << b(cancelling)
      << R"(,"probes":)" << b(probes) << R"(,"second_copies":)" << b(second_copies)
      << R"(,"retry_after":true,"max_retry_after":1000.0,"peers":false},
 "family":"twostage","family_info":{"stage_of_kind":[)" << stages << R"(],"kind_memory_tokens":[)" << memory
      << R"(],"pin_limit":)" << pin_limit << R"(,"holds_allowed":)" << b(places) << R"(,"writers_read":)"
      << b(writers_read) << R"(,"resume":false,"token_aim":[70.0,70.0]},
 "rules":{"drain_grace":)" << drain_grace
      << R"(,"grace_to_answer":8.0,"cold":12000.0,"cold_from":0.25,"fall":1500.0,"fall_multiple":2.5}})";
    return o.str();
  }
  static std::string a_class(const std::string& name, const std::string& effect, int give_up = 10000,
                             const std::string& more = "") {
    return R"({"name":")" + name + R"(","aim":2000.0,"give_up":)" + std::to_string(give_up) +
           R"(,"worth":1.0,"late_worth":0.2,"stream":true,"effect":")" + effect + "\"" + more + "}";
  }
};

// A folder of its own below the temporary one.
struct Folder {
  std::filesystem::path path;
  Folder() {
    std::string form = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(form.data())) std::exit(2);
    path = form;
  }
  ~Folder() {
    std::error_code ec;
    std::filesystem::remove_all(path, ec);
  }
};

inline int free_port() {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  ::bind(fd.fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
  getsockname(fd.fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

class Node {
 public:
  // `run`: the command of the deploy file, started by /bin/sh from the repository's root.
  Node(std::string run, std::string root, const Folder& folder, Record& record, std::string name = "n0")
      : run_(std::move(run)), root_(std::move(root)), folder_(folder.path), record_(record), name_(std::move(name)) {
    address_ = "127.0.0.1:" + std::to_string(free_port());
  }
  ~Node() {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
  }
  void configure(const std::string& discovery, const std::string& known, const Settings& s) {
    const auto file = folder_ / (name_ + ".json"), fresh = folder_ / (name_ + ".new");
    std::ofstream(fresh) << "{\"name\":\"" << name_ << "\",\"listen\":\"" << address_ << "\",\"discovery\":\""
                         << discovery << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                         << s.memory_mb << ",\"sockets\":" << s.sockets << "},\"known\":" << known
                         << ",\"settings\":" << s.text() << "}";
    std::filesystem::rename(fresh, file);
    discovery_ = discovery;
  }
  void start() {
    const std::string log = (folder_ / (name_ + ".log")).string();
    const std::vector<std::string> own{"NODE_CONFIG=" + (folder_ / (name_ + ".json")).string(), "NODE_NAME=" + name_,
                                       "NODE_LISTEN=" + address_, "NODE_DISCOVERY=" + discovery_,
                                       "TMPDIR=" + folder_.string()};
    pid_ = ::fork();
    if (pid_ == 0) {
      for (const auto& e : own) ::putenv(const_cast<char*>(e.c_str()));
      if (const char* level = std::getenv("NODE_LOG")) ::setenv("CALICOGRADE_LOG_LEVEL", level, 1);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1), ::dup2(out, 2);
      if (::chdir(root_.c_str()) != 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run_.c_str(), nullptr);
      ::_exit(127);
    }
    record_.line("front node %s is started", name_.c_str());
  }
  // GET /health/ready says 200; false where it does not, or the process has ended.
  bool ready(std::int64_t within = 30000) {
    const bool ok = until(within, [&] {
      if (ended()) return true;
      Link link;
      link.fd = dial(address_);
      if (link.fd.fd < 0 || !put(link.fd.fd, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
        return false;
      return read_answer(link, 1000).status == 200;
    });
    record_.line("front node %s is %s", name_.c_str(), ok && !end_ ? "ready" : "not ready");
    return ok && !end_;
  }
  // The exit status once it has ended by itself; 1000 and more: by a signal.
  std::optional<int> ended() {
    int status = 0;
    if (!end_ && pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      end_ = WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
      pid_ = 0;
      record_.line("front node %s has ended, status %d", name_.c_str(), *end_);
    }
    return end_;
  }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
    record_.line("front node %s gets signal %d", name_.c_str(), number);
  }
  const std::string& address() const { return address_; }
  pid_t pid() const { return pid_; }
  std::string log() const {
    std::ifstream in(folder_ / (name_ + ".log"));
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }

 private:
  const std::string run_, root_;
  const std::filesystem::path folder_;
  Record& record_;
  const std::string name_;
  std::string address_, discovery_;
  pid_t pid_ = 0;
  std::optional<int> end_;
};

// A client's connection to a front node, kept between requests.
class Client {
 public:
  Client(std::string address, Record& record) : address_(std::move(address)), record_(record) {}
  bool connected() const { return link_.fd.fd >= 0; }
  bool connect() {
    link_ = Link{};
    link_.fd = dial(address_);
    return connected();
  }
  bool send(const std::string& id, const std::string& route, int timeout_ms, const std::string& body = small_body(),
            const std::string& more = "") {
    if (!connected() && !connect()) return record_.line("client: no connection for %s", id.c_str()), false;
    id_ = id;
    const bool sent = put(link_.fd.fd, request_text(id, route, timeout_ms, body, more));
    record_.line("client: sent %s, class %s, %d ms, %zu bytes%s", id.c_str(), route.c_str(), timeout_ms, body.size(),
                 sent ? "" : " (not whole)");
    return sent;
  }
  Answer answer(std::int64_t within) {
    Answer a = read_answer(link_, within);
    record_.line("client: %s is answered %d%s%s%s, head after %lld ms, end after %lld ms, %zu bytes", id_.c_str(),
                 a.status, a.whole ? ", whole" : ", NOT whole", a.late ? ", wait over" : "",
                 a.broken ? ", connection ended" : "", static_cast<long long>(a.head_ms),
                 static_cast<long long>(a.end_ms), a.body.size());
    if (!a.whole || a.last || link_.ended) link_.fd.close();
    return a;
  }
  void leave() {
    link_.fd.close();
    record_.line("client: closes its connection, %s is open", id_.c_str());
  }
  Link& link() { return link_; }

 private:
  const std::string address_;
  Record& record_;
  std::string id_;
  Link link_;
};

}  // namespace rig
