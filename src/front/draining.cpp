#include "front/draining.hpp"

#include <chrono>
#include <nlohmann/json.hpp>

#include "files/atomic_file.hpp"
#include "net/clock.hpp"

namespace calicograde::front {

using net::clock_now;
using Json = nlohmann::ordered_json;

namespace {

constexpr std::chrono::milliseconds look_every{20};
constexpr Span count_within = Span::millis(2000);

}  // namespace

Draining::Draining(Core& core, std::function<std::size_t()> calls, std::string file)
    : core_(core), calls_(std::move(calls)), file_(std::move(file)) {
  resume();
  watcher_ = std::thread([this] { run(); });
}

Draining::~Draining() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  watcher_.join();
}

// What cannot be read was written all the same, and only by somebody who wanted the front drained: it stays
// so.
void Draining::resume() {
  if (file_.empty()) return;
  std::string wrong;
  const auto text = files::read_small(file_, wrong);
  if (!text && wrong.empty()) return;
  const Json j = text ? Json::parse(*text, nullptr, false) : Json();
  by_ = "the last start";
  if (j.is_object() && j.value("version", 0) == 1 && j.contains("by") && j["by"].is_string())
    by_ = j["by"].get<std::string>();
  else
    core_.log().line(log::Level::Error, "drain file not understood",
                     {{"file", file_},
                      {"what", wrong.empty() ? "it is no drain of version 1" : std::string_view(wrong)},
                      {"mend", "the front stays drained; undrain it, or remove the file and restart"}});
  const std::lock_guard lock(mutex_);
  obey(drain_.resume(clock_now(), by_), by_);
}

void Draining::obey(const std::vector<drain::Step>& steps, const std::string& by) {
  for (const auto& step : steps) {
    if (std::holds_alternative<drain::RefuseNew>(step)) core_.refuse_new();
    else if (std::holds_alternative<drain::TakeNew>(step)) core_.take_new();
    else if (std::holds_alternative<drain::CutOff>(step)) core_.abort_all();
    else if (const auto* n = std::get_if<drain::Note>(&step))
      core_.log().line(log::Level::Warn, "mode", {{"pool", "all"}, {"what", n->text}});
    else if (const auto* k = std::get_if<drain::Keep>(&step)) {
      const std::string wrong =
          k->standing ? files::write_atomically(file_, Json{{"version", 1}, {"by", by}}.dump() + "\n")
                      : files::remove_durably(file_);
      if (!wrong.empty()) core_.log().line(log::Level::Error, "drain not kept", {{"what", wrong}});
    }
  }
  changed_.notify_all();
}

std::string Draining::ask(const drain::Ask& ask) {
  if (ask.remember && file_.empty())
    return "this front has no folder for what stands through a restart (<admin state>)";
  const std::lock_guard lock(mutex_);
  if (ask.remember) {
    // On disk before it is promised.
    const std::string wrong =
        files::write_atomically(file_, Json{{"version", 1}, {"by", ask.by}}.dump() + "\n");
    if (!wrong.empty()) return wrong;
  }
  by_ = ask.by;
  obey(drain_.ask(clock_now(), ask), ask.by);
  return {};
}

drain::Drain::Back Draining::take_back(std::optional<std::uint64_t> number, const std::string& by) {
  const std::lock_guard lock(mutex_);
  const auto [back, steps] = drain_.take_back(clock_now(), number, by);
  obey(steps, by);
  return back;
}

drain::Progress Draining::progress() const {
  const std::lock_guard lock(mutex_);
  return drain_.progress(clock_now());
}

void Draining::run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto state = drain_.state();
    const std::uint64_t number = drain_.progress(clock_now()).number;
    if (state == drain::State::Serving || state == drain::State::Done) {
      changed_.wait(lock);
      continue;
    }
    // Counted without the lock: the owner may be busy. A drain that was taken back meanwhile is not told of
    // it.
    lock.unlock();
    const auto in_work = core_.in_work(clock_now() + count_within);
    drain::Left left;
    left.calls = calls_();
    if (in_work)
      left.inferences = in_work->inferences, left.holdings = in_work->holdings, left.oldest = in_work->oldest;
    lock.lock();
    const bool same =
        drain_.state() != drain::State::Serving && drain_.progress(clock_now()).number == number;
    if (in_work && same) obey(drain_.seen(clock_now(), left), by_);
    if (!stopping_) changed_.wait_for(lock, look_every);
  }
}

}  // namespace calicograde::front
