// One engine's streams are spoilt after their first event: in place of the next chunk comes a size that can't be
// read and that does not end. The platform ends a front node whose memory is over its limit, as its page says.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int memory_mb = 192;            // the most that a scored day gives
constexpr double rounds_ms = 12000;       // of load
constexpr double noise_ms = 6000;         // a spoilt answer keeps coming for so long at most
constexpr std::size_t noise_most = 600u << 20;  // bytes of one spoilt answer at most; the page names 3 GB

long resident_kb(pid_t pid) {
  char name[64];
  std::snprintf(name, sizeof name, "/proc/%d/status", pid);
  std::FILE* const in = std::fopen(name, "r");
  if (!in) return 0;
  char line[256];
  long kb = 0;
  while (std::fgets(line, sizeof line, in))
    if (std::strncmp(line, "VmRSS:", 6) == 0) kb = std::atol(line + 6);
  std::fclose(in);
  return kb;
}

}  // namespace

int main(int argc, char** argv) {
  const Place place = place_of(argc, argv);
  Discovery discovery;
  std::vector<std::unique_ptr<Engine>> engines;
  Pace pace;
  pace.events = 20;
  for (int k = 0; k < 6; ++k) {
    engines.push_back(std::make_unique<Engine>(k, k < 3, pace));
    discovery.list(*engines.back(), "Ready");
  }
  std::atomic<int> spoilt = 0;
  if (trouble())
    engines[3]->instead = [&](int fd, const Message&, const std::string& id, bool* keep) {
      *keep = false;
      ++spoilt;
      record.line("engine 3 spoils its answer to %s", id.c_str());
      send_all(fd, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n" +
                       piece("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"));
      const std::string noise(1 << 16, 'x');
      std::size_t sent = 0;
      for (const double until = now_ms() + noise_ms; now_ms() < until && sent < noise_most && send_all(fd, noise);)
        sent += noise.size(), usleep(250);
      record.line("engine 3 has sent %zu KiB of noise to %s", sent >> 10, id.c_str());
      return true;
    };
  Settings settings;
  settings.memory_mb = memory_mb;
  Node node(place, 0, settings);
  node.configure(discovery.address(), discovery.whole());
  node.start();
  if (!node.ready_by(10000)) cannot_run("the front node did not become ready");

  std::atomic<bool> over = false;
  std::atomic<long> most_kb = 0;
  const double end = now_ms() + rounds_ms;
  std::thread platform([&] {
    for (long told = 0; now_ms() < end && !over; usleep(2000)) {
      const long kb = resident_kb(node.pid());
      if (kb > most_kb) most_kb = kb;
      if (kb > told + 20000) told = kb, record.line("the front node has %ld KiB of memory", kb);
      if (kb <= memory_mb * 1024L) continue;
      record.line("the front node is over its limit of %d MB: the platform kills it", memory_mb);
      over = true;
      node.signal(SIGKILL);
    }
  });
  std::atomic<int> answered = 0, unanswered = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c)
    clients.emplace_back([&] {
      while (now_ms() < end && !over) {
        const int fd = connect_to(node.port());
        if (fd < 0) continue;
        Reader in(fd);
        Result r;
        r.id = new_id(), r.sent = now_ms();
        send_all(fd, request_text(r.id, "chat", 6000));
        read_answer(fd, in, r, 0, r.sent + 8000);
        ::close(fd);
        record.line("client: %s has status %d, its answer %s, after %.0f ms", r.id.c_str(), r.status,
                    r.whole ? "came whole" : word_of(r.end), r.ended - r.sent);
        ++(r.whole ? answered : unanswered);
        sleep_ms(100);
      }
    });
  for (auto& c : clients) c.join();
  platform.join();
  sleep_ms(100);
  const auto ended = node.ended();
  if (trouble() && spoilt == 0) cannot_run("no request met the engine whose answers are spoilt");
  if (!trouble() && answered == 0) cannot_run("no request was served");
  char text[256];
  std::snprintf(text, sizeof text,
                "%d spoilt answers, at most %ld MB of memory (limit %d), front node %s, %d answers whole, %d not",
                spoilt.load(), most_kb / 1024, memory_mb,
                over ? "killed for memory" : ended ? "ended by itself" : "alive", answered.load(), unanswered.load());
  verdict(over || ended, text);
}
