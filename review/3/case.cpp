// Discovery is slow: it answers each new watch after 1.5 s. The front node starts, an engine begins to drain some
// seconds later and is gone some seconds after that.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double answers_after_ms = 1500;
constexpr double drains_after_ms = 3000, gone_after_ms = 14000, length_ms = 18000;
constexpr double told_within_ms = 6000, grace_ms = 500, slack_ms = 50, scheduling_ms = 100;

}  // namespace

int main(int argc, char** argv) {
  const Place place = place_of(argc, argv);
  Discovery discovery;
  std::vector<std::unique_ptr<Engine>> engines;
  for (int k = 0; k < 8; ++k) {
    engines.push_back(std::make_unique<Engine>(k, k < 4, Pace{}));
    discovery.list(*engines.back(), "Ready");
  }
  if (trouble()) discovery.answers_after_ms = answers_after_ms;
  Settings settings;
  settings.drain_grace = grace_ms;
  Node node(place, 0, settings);
  node.configure(discovery.address(), discovery.whole());
  node.start();
  if (!node.ready_by(30000)) cannot_run("the front node did not become ready");

  const double begun = now_ms();
  double drained = 0;
  bool gone = false;
  std::vector<Result> results;
  while (now_ms() < begun + length_ms) {
    if (drained == 0 && now_ms() > begun + drains_after_ms) discovery.list(*engines[0], "Terminating"), drained = now_ms();
    if (!gone && now_ms() > begun + gone_after_ms) discovery.list(*engines[0], "Gone"), gone = true;
    const int fd = connect_to(node.port());
    if (fd < 0) cannot_run("cannot connect to the front node");
    Reader in(fd);
    Result r;
    r.id = new_id(), r.sent = now_ms();
    send_all(fd, request_text(r.id, "chat", 6000));
    read_answer(fd, in, r, 0, r.sent + 8000);
    ::close(fd);
    record.line("client: %s has status %d, %s", r.id.c_str(), r.status, r.whole ? "whole" : word_of(r.end));
    results.push_back(r);
    sleep_ms(20);
  }
  const double from = drained + told_within_ms + grace_ms + slack_ms + scheduling_ms;
  int late = 0, after_gone = 0, served = 0;
  double latest = 0;
  const std::lock_guard lock(ledger.mutex);
  for (const Result& r : results) {
    served += r.status == 200 && r.whole;
    for (const Attempt& a : ledger.lives[r.id].attempts) {
      if (a.engine != 0 || a.began <= from) continue;
      ++late, latest = std::max(latest, a.began - drained);
      after_gone += a.began > begun + gone_after_ms;
      record.line("engine 0 got %s %.0f ms after discovery had it that it drains", r.id.c_str(), a.began - drained);
    }
  }
  if (served < 20) cannot_run("requests were not served");
  char text[256];
  std::snprintf(text, sizeof text,
                "%d attempts began at a draining engine over %.0f ms after discovery had the change, the last %.0f ms "
                "after it; %d of them once it was listed as gone",
                late, told_within_ms + grace_ms + slack_ms, latest, after_gone);
  verdict(late > 0, text);
}
