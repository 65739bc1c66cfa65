#include "soak/journal.hpp"

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

void Journal::add(Entry entry) {
  const std::lock_guard lock(mutex_);
  entries_.push_back(std::move(entry));
}

std::vector<Entry> Journal::all() const {
  const std::lock_guard lock(mutex_);
  return entries_;
}

}  // namespace calicograde::soak
