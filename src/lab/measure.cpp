#include "lab/measure.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>

#include "lab/client.hpp"
#include "lab/day.hpp"
#include "net/clock.hpp"
#include "net/thread.hpp"
#include "routing/state.hpp"

namespace calicograde::lab {

using net::clock_now;

namespace {

Plan plan_for(const MeasureOptions& o) {
  Plan p = small_plan();
  p.engines.clear();
  for (int k = 0; k < 4; ++k) {
    EngineOptions e;
    e.kind = "mixed", e.stage = Stage::Both, e.zone = "hall-0", e.slots = 20000, e.queue = 20000,
    e.memory_tokens = 1e9, e.read_per_s = 1e6;
    e.token = o.hold > 0 ? Span::millis(1000) : Span::millis(20);
    e.first_token = Span::millis(20);
    p.engines.push_back(e);
  }
  p.held = std::max(2000, o.hold + 200);
  return p;
}

// CPU seconds and resident KiB of a process.
std::pair<double, long> usage_of(int pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat"),
      status("/proc/" + std::to_string(pid) + "/status");
  std::string word, line;
  double ticks = 0;
  for (int k = 1; stat >> word && k <= 15; ++k)
    if (k == 14 || k == 15) ticks += std::stod(word);
  long kib = 0;
  while (std::getline(status, line))
    if (line.starts_with("VmRSS:")) kib = std::stol(line.substr(6));
  return {ticks / static_cast<double>(sysconf(_SC_CLK_TCK)), kib};
}

// The first token of a call straight to an engine, in ms; 0 if none came.
double direct(const net::Address& engine) {
  const Instant asked = clock_now(), until = asked + Span::millis(20000);
  auto [how, stream] = net::Stream::connect(engine, until);
  if (how != net::ConnectEnd::Connected) return 0;
  http::ClientConnection link(std::move(stream));
  http::Response head;
  double first = 0;
  const std::string body =
      R"({"model":"member-chat","max_tokens":16,"stream":true,"messages":[{"role":"user","content":"What do my points buy?"}]})";
  if (!link.ask("POST", "/v1/chat/completions", {{"host", "e"}}, body, until) ||
      link.read_head(head, until) != http::BodyEnd::Done)
    return 0;
  for (std::string bytes;; bytes.clear()) {
    const auto end = link.read_body(bytes, until);
    if (first == 0 && bytes.find("\"content\"") != std::string::npos)
      first = (clock_now() - asked).as_millis();
    if (end != http::BodyEnd::More) return end == http::BodyEnd::Done ? first : 0;
  }
}

void hold(const MeasureOptions& o, Town& town) {
  const net::Address front = town.fronts()[0];
  const auto before = usage_of(town.pids()[0]);
  const std::string body =
      R"({"model":"member-chat","max_tokens":200,"stream":true,"messages":[{"role":"user","content":")" +
      std::string(37 * 4, 'x') + R"("}]})";
  const std::string ask =
      "POST /v1/messages HTTP/1.1\r\nhost: f\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  std::vector<net::Stream> streams;
  std::vector<char> begun, over;
  long pieces = 0;
  std::size_t refused = 0;
  const auto drain = [&](int wait) {
    std::vector<pollfd> p;
    for (const auto& s : streams) p.push_back({s.open() ? s.fd() : -1, POLLIN, 0});
    ::poll(p.data(), p.size(), wait);
    char bytes[16384];
    for (std::size_t k = 0; k < p.size(); ++k) {
      if (p[k].fd < 0 || p[k].revents == 0) continue;
      const ssize_t n = ::read(p[k].fd, bytes, sizeof bytes);
      const std::string_view got(bytes, n > 0 ? static_cast<std::size_t>(n) : 0);
      if (got.find("content_block_delta") != std::string_view::npos) begun[k] = 1, ++pieces;
      if (got.find("HTTP/1.1 5") != std::string_view::npos) ++refused;
      if (n <= 0 || got.find("message_stop") != std::string_view::npos ||
          got.find("event: error") != std::string_view::npos)
        over[k] = 1;
      if (n <= 0) streams[k].close();
    }
  };
  const Instant from = clock_now();
  for (int k = 0; k < o.hold; ++k) {
    auto [how, s] = net::Stream::connect(front, clock_now() + Span::millis(2000));
    if (how != net::ConnectEnd::Connected) break;
    s.set_deadline(clock_now() + Span::millis(2000));
    boost::system::error_code ec;
    s.write_some(boost::asio::buffer(ask), ec);
    streams.push_back(std::move(s)), begun.push_back(0), over.push_back(0);
    // Opened at a pace that the module takes in; what holds them is measured, not the rush.
    for (const Instant due = from + Span::from_seconds(k / 400.0); k % 20 == 19 && clock_now() < due;)
      drain(5);
  }
  std::size_t open = 0;
  for (const Instant until = clock_now() + Span::millis(16000);
       clock_now() < until && open < streams.size();) {
    drain(50);
    std::size_t now_open = 0;
    for (std::size_t k = 0; k < begun.size(); ++k) now_open += begun[k] && !over[k];
    open = std::max(open, now_open);
  }
  const auto after = usage_of(town.pids()[0]);
  std::printf(
      "| streams asked / open at once / refused | %d / %zu / %zu |\n| resident memory of the front, before / "
      "after | %ld / %ld KiB |\n| for each open stream | %.1f KiB |\n",
      o.hold, open, refused, before.second, after.second,
      static_cast<double>(after.second - before.second) /
          static_cast<double>(std::max<std::size_t>(1, open)));
}

}  // namespace

int measure(const MeasureOptions& o, const std::string& daemon, const std::string& folder) {
  const Plan plan = plan_for(o);
  Town town(plan, daemon, folder);
  const net::Address front = town.fronts()[0];
  std::vector<net::Address> engines;
  for (const auto& r : town.records().all())
    if (r.what == "engine") engines.push_back(*net::parse_address(r.where));
  std::printf("| figure (simulated: stand-in engines, all on one machine) | value |\n| --- | --- |\n");
  if (o.hold > 0) return hold(o, town), town.stop_fronts();
  std::mutex mutex;
  std::vector<double> by_front, straight;
  std::atomic<int> running = 0, bad = 0, done = 0;
  std::atomic<long> tokens = 0;  // a word each
  const auto before = usage_of(town.pids()[0]);
  const Instant begun = clock_now();
  const int calls = static_cast<int>(o.rate * o.length.seconds());
  double behind = 0;
  for (int k = 0; k < calls; ++k) {
    const Instant due = begun + Span::from_seconds(k / o.rate);
    while (clock_now() < due) usleep(100);
    behind = std::max(behind, (clock_now() - due).as_millis());
    ++running;
    const bool started = net::start_thread(256 << 10, [&, k] {
      if (k % 2 == 0) {
        ClientCall c;
        c.front = front, c.route = "member-chat", c.mark = std::to_string(k),
        c.text = "What do my points buy?", c.max_tokens = 16, c.budget = Span::millis(12000);
        Recorder mine;
        const auto end = call(c, mine);
        double first = 0;
        for (const auto& r : mine.all())
          if (r.what == "first") first = r.number;
        tokens += std::count(end.text.begin(), end.text.end(), ' ');
        const std::lock_guard lock(mutex);
        if (end.how == "completed") by_front.push_back(first), ++done;
        else ++bad;
      } else if (const double first = direct(engines[static_cast<std::size_t>(k / 2) % engines.size()]);
                 first > 0) {
        const std::lock_guard lock(mutex);
        straight.push_back(first);
      }
      --running;
    });
    if (!started) --running, ++bad;
  }
  while (running > 0) usleep(1000);
  const double took = (clock_now() - begun).seconds();
  const auto after = usage_of(town.pids()[0]);
  std::printf("| calls through the front / straight, in %.1f s | %zu / %zu (%d not completed) |\n", took,
              by_front.size(), straight.size(), bad.load());
  std::printf("| inferences a second through the front | %.0f |\n", done / took);
  std::printf("| first token through the front, p50 / p99 | %.2f / %.2f ms |\n", quantile(by_front, 0.5, 0),
              quantile(by_front, 0.99, 0));
  std::printf("| first token straight, p50 / p99 | %.2f / %.2f ms |\n", quantile(straight, 0.5, 0),
              quantile(straight, 0.99, 0));
  std::printf("| the front adds, p50 / p99 | %.2f / %.2f ms |\n",
              quantile(by_front, 0.5, 0) - quantile(straight, 0.5, 0),
              quantile(by_front, 0.99, 0) - quantile(straight, 0.99, 0));
  std::printf("| CPU of the front for each inference / streamed token | %.0f / %.1f us |\n",
              (after.first - before.first) * 1e6 / std::max(1, done.load()),
              (after.first - before.first) * 1e6 / std::max(1.0, static_cast<double>(tokens.load())));
  std::printf("| calls begun late by at the most | %.1f ms |\n", behind);
  return town.stop_fronts();
}

}  // namespace calicograde::lab
