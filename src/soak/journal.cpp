#include "soak/journal.hpp"

#include <map>

namespace calicograde::soak {

const char* name_of(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::Stream: return "stream";
    case AnswerKind::CutStream: return "cut stream";
    case AnswerKind::Refused: return "refused";
    case AnswerKind::Failed: return "failed";
    case AnswerKind::NoAnswer: return "no answer";
    case AnswerKind::Silence: return "silence";
    case AnswerKind::ClientLeft: return "client left";
    case AnswerKind::NotReceived: return "not received";
  }
  return "?";
}

namespace {

struct Teller {
  const std::string& id;
  const Instant zero;
  std::string out;

  void line(Instant at, const std::string& what) {
    out += "    " + std::to_string((at - zero).as_millis()) + " ms " + what + "\n";
  }
  static std::string engine(std::size_t number) { return " engine " + std::to_string(number); }
  void operator()(const RequestSent& e) {
    if (e.id == id) line(e.at, "sent to node " + std::to_string(e.node));
  }
  void operator()(const RequestEnded& e) {
    if (e.id == id) line(e.at, std::string("ended: ") + name_of(e.kind));
  }
  void operator()(const AttemptBegan& e) {
    if (e.id == id) line(e.at, "attempt " + std::to_string(e.attempt) + " taken by" + engine(e.engine));
  }
  void operator()(const AttemptEnded& e) {
    if (e.id == id) line(e.at, "attempt " + std::to_string(e.attempt) + " ended" + (e.ran ? ", ran" : ""));
  }
  void operator()(const HoldBegan& e) {
    if (e.id == id) line(e.at, "held by" + engine(e.engine));
  }
  void operator()(const HoldEnded& e) {
    if (e.id == id) line(e.at, "let go by" + engine(e.engine));
  }
  void operator()(const auto&) {}
};

}  // namespace

std::string story_of(const std::vector<Entry>& entries, const std::string& id, Instant zero) {
  Teller teller{id, zero, {}};
  for (const Entry& entry : entries) std::visit(teller, entry);
  return teller.out;
}

namespace {

struct CostCounter {
  Cost cost = {};
  std::map<std::string, Instant> sent = {};
  Span first_tokens = {};

  void operator()(const RequestSent& e) {
    ++cost.requests;
    sent[e.id] = e.at;
  }
  void operator()(const AttemptBegan& e) { ++(e.role == Role::Prefill ? cost.reads : cost.decode_attempts); }
  void operator()(const RequestEnded& e) {
    if (e.kind != AnswerKind::Stream || e.events_read.empty()) return;
    ++cost.streams;
    first_tokens = first_tokens + (e.events_read.front() - sent[e.id]);
  }
  void operator()(const auto&) {}
};

}  // namespace

Cost cost_of(const std::vector<Entry>& entries) {
  CostCounter counter;
  for (const Entry& entry : entries) std::visit(counter, entry);
  if (counter.cost.streams > 0)
    counter.cost.mean_first_token = counter.first_tokens * (1.0 / static_cast<double>(counter.cost.streams));
  return counter.cost;
}

void Journal::add(Entry entry) {
  const std::lock_guard lock(mutex_);
  entries_.push_back(std::move(entry));
}

std::vector<Entry> Journal::all() const {
  const std::lock_guard lock(mutex_);
  return entries_;
}

}  // namespace calicograde::soak
