#include "front/permissions.hpp"

#include <numeric>

namespace calicograde::front {

const char* name_of(Denial denial) {
  switch (denial) {
    case Denial::None: return "none";
    case Denial::CalledOff: return "called off";
    case Denial::ClientGone: return "client gone";
    case Denial::ClientUnseen: return "client unseen";
    case Denial::Answered: return "answered";
    case Denial::TimeOver: return "time over";
    case Denial::EngineUnknown: return "engine unknown";
    case Denial::EngineDraining: return "engine draining";
    case Denial::MayHaveRun: return "may have run";
    case Denial::ReadOver: return "read over";
    case Denial::NewerAttempt: return "newer attempt";
    case Denial::RequestUnanswered: return "request unanswered";
    case Denial::Count: break;
  }
  return "?";
}

const char* name_of(Violation violation) {
  switch (violation) {
    case Violation::WrittenToDrainedEngine: return "written to a drained engine";
    case Violation::WrittenAfterClientLeft: return "written after the client had left";
    case Violation::WrittenAfterDeadline: return "written after the deadline";
    case Violation::SecondEffect: return "second effect";
    case Violation::HeldTooLong: return "held too long";
    case Violation::ClosedUnanswered: return "closed unanswered";
    case Violation::AnsweredLate: return "answered late";
    case Violation::Count: break;
  }
  return "?";
}

Denial may_write_attempt(const AttemptView& view) {
  if (view.called_off) return Denial::CalledOff;
  if (view.client_gone) return Denial::ClientGone;
  if (view.client_unseen) return Denial::ClientUnseen;
  if (view.answered) return Denial::Answered;
  if (view.now >= view.write_by) return Denial::TimeOver;
  if (!view.engine.listed) return Denial::EngineUnknown;
  if (view.engine.draining) return Denial::EngineDraining;
  if (!view.to_prefill && !view.effect_repeats && view.others_may_have_run > 0) return Denial::MayHaveRun;
  return Denial::None;
}

Denial may_ask_place(const PlaceView& view) {
  if (!view.engine.listed) return Denial::EngineUnknown;
  if (view.engine.draining) return Denial::EngineDraining;
  if (view.bound_to_read && !view.read_out) return Denial::ReadOver;
  return Denial::None;
}

Denial may_release(const ReleaseView& view) {
  if (view.newer_attempt) return Denial::NewerAttempt;
  if (view.now >= view.give_up_at) return Denial::TimeOver;
  return Denial::None;
}

Denial may_close(const CloseView& view) {
  return view.request_open && !view.client_gone ? Denial::RequestUnanswered : Denial::None;
}

Denial Permissions::note(Denial denial, std::string_view act, std::string_view id) {
  if (denial == Denial::None) return denial;
  ++denials_[static_cast<std::size_t>(denial)];
  log_.line(log::Level::Debug, "denied", {{"act", act}, {"id", id}, {"reason", name_of(denial)}});
  return denial;
}

void Permissions::violated(Violation violation, std::string_view id, Span by) {
  ++violations_[static_cast<std::size_t>(violation)];
  log_.line(log::Level::Error, "rule violated",
            {{"what", name_of(violation)}, {"id", id}, {"by_ms", by.as_millis()}});
}

std::size_t Permissions::denials() const {
  return std::accumulate(denials_.begin(), denials_.end(), std::size_t{0});
}

std::size_t Permissions::violations() const {
  return std::accumulate(violations_.begin(), violations_.end(), std::size_t{0});
}

}  // namespace calicograde::front
