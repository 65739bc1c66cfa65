#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "routing/router.hpp"

// What a router knows, for people: copied out, with nothing decided here.
namespace calicograde {

// How each engine stands, and no more: cheap enough to be asked often.
struct Standing {
  EngineId engine;
  Lifecycle lifecycle = Lifecycle::Ready;
  bool doubted = false;
};
std::vector<Standing> standings(const Router& router);

struct EngineView {
  EngineEntry entry;
  Stage stage = Stage::Both;
  bool doubted = false, silent = false, closed = false;  // closed: a full answer closes it to some route
  double reading_tokens = 0, writing_tokens = 0;         // booked in the two ledgers
  std::size_t reading = 0, writing = 0, out = 0;         // inferences booked; sends out
  std::size_t failures = 0, judged = 0;                  // of the last sends that were judged
  std::optional<Span> silence;                           // while something is awaited
  std::size_t texts = 0;                                 // that it is taken to keep
  std::string why;                                       // the judgement in words; empty = usual
};
// Engines after `after`, in the order of their ids, at the most so many.
std::vector<EngineView> view_engines(const Router& router, Instant now, std::optional<EngineId> after,
                                     std::size_t most);

struct InferenceView {
  InfId inf = 0;
  std::uint16_t route = 0;
  std::string phase;  // waiting, reading, handing, answering, streaming, over
  std::size_t sends = 0, out = 0;
  double prompt_tokens = 0;
  std::optional<EngineId> reader, writer;
  Span ends_in;  // of its budget; below zero while it streams on
};
std::vector<InferenceView> view_inferences(const Router& router, Instant now, InfId after, std::size_t most);

}  // namespace calicograde
