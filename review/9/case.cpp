// Hundreds of requests at once, each with a large head, from clients that hold less than a third of the descriptors. Does
// the front node stay inside its memory? The case plays the platform: over the limit it kills the front node.
#include "../stand-2/case.hpp"

using namespace rig;

namespace {

constexpr int memory_mb = 32, descriptors = 1024;  // DAYS: "32 to 192 MB", "256 to 1,024 descriptors"
constexpr int crowd = 300, usual = 8;              // DAYS: "at most a third of the descriptors", 341
constexpr int body_bytes = 15000, field_bytes = 200, fields = 60;
constexpr int length_ms = 8000;

// Its anonymous memory alone: neither files, nor shared memory, nor what the kernel holds for it.
long anonymous_kb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("RssAnon:")) return std::atol(line.c_str() + 8);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Case c(argc, argv);
  c.settings.memory_mb = memory_mb, c.settings.sockets = descriptors;
  c.settings.classes = Settings::a_class("offer-text", "safe") + "," + Settings::a_class("member-chat", "safe", 12000);
  for (const char* name : {"r0", "r1", "r2", "r3"}) c.add(name, Engine::Role::Read, "prefill");
  for (const char* name : {"w0", "w1", "w2", "w3"}) c.add(name, Engine::Role::Write, "decode");
  if (!c.start()) return c.could_not_run("the front node does not get ready");
  const pid_t pid = c.node.pid();
  const long at_first = anonymous_kb(pid);
  if (at_first <= 0) return c.could_not_run("the memory of a process can't be read");
  std::string more;
  for (int k = 0; k < fields; ++k)
    more += "X-Context-" + std::to_string(100 + k) + ": " + std::string(field_bytes - 17, 'c') + "\r\n";
  std::atomic<int> served = 0, refused = 0, failed = 0, none = 0, number = 0;
  std::atomic<bool> stop = false;
  Record quiet("/dev/null");
  std::vector<std::thread> threads;
  const int clients = c.trouble ? crowd : usual;
  for (int k = 0; k < clients; ++k)
    threads.emplace_back([&] {
      Client client(c.node.address(), quiet);
      while (!stop) {
        char id[24];
        std::snprintf(id, sizeof id, "%016x", 0x100000 + ++number);
        if (!client.send(id, "offer-text", 8000, std::string(body_bytes, 'x'), more)) {
          sleep_ms(50);
          continue;
        }
        const Answer a = client.answer(9000);
        ++(a.status == 200 ? served : a.status == 503 ? refused : a.status != 0 ? failed : none);
        sleep_ms(20);
      }
    });
  long most = 0;
  bool killed = false;
  for (const std::int64_t until = now_ms() + length_ms; now_ms() < until && !killed; usleep(5000)) {
    most = std::max(most, anonymous_kb(pid));
    if (most <= memory_mb * 1024L) continue;
    c.record.line("the front node holds %ld kB of anonymous memory, %d MB is its limit: the platform kills it", most,
                  memory_mb);
    c.node.signal(SIGKILL);
    killed = true;
  }
  stop = true;
  const bool ended = !killed && c.node.ended().has_value();
  for (auto& t : threads) t.join();
  c.record.line("%d clients, %d header bytes and %d body bytes each: served %d, refused %d, failed %d, no answer %d",
                clients, fields * field_bytes, body_bytes, served.load(), refused.load(), failed.load(), none.load());
  c.record.line("anonymous memory: %ld kB when ready, %ld kB at the most", at_first, most);
  if (ended) return c.broke("the front node ended by itself");
  if (killed) return c.broke("the front node went over its memory of %d MB: %ld kB of anonymous memory alone", memory_mb, most);
  return c.held("%ld kB of anonymous memory at the most, the limit is %d MB", most, memory_mb);
}
