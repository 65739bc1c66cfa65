#pragma once

#include <cstdint>
#include <string>

#include "soak/journal.hpp"

// The deployment's settings of one run, drawn from its seed, so that no figure of one deployment is taken for
// granted.
namespace calicograde::soak {

struct RunSettings {
  Span give_up = Span::millis(2500);  // the longest deadline of a client; the shortest is 0.4 of it
  Span pin_limit = Span::millis(500), drain_grace = Span::millis(500), dedupe_window = Span::millis(1500);
  Span connect_timeout = Span::millis(300);
  Span cold = Span::millis(4000), fall = Span::millis(1500);  // slow start
  double cold_from = 0.25, fall_multiple = 2.5;
  Effect effects[3] = {Effect::Retriable, Effect::Deduped, Effect::NonRetriable};  // of the three classes
  bool holds_places = true, probes = false, cancelling = true, second_copies = true;
  int max_attempts = 6;
  bool proxied = false;      // a fault proxy stands before the engines
  bool late_notice = false;  // prefill engines do not notice that a read was given up before it is over

  // How long after SIGTERM a node may be killed, by the protocol page.
  Span kill_after_sigterm() const;
  std::string json() const;  // the "settings" of a node's configuration
  std::string text() const;  // one line, for reports
};

constexpr const char* class_names[3] = {"first", "second", "third"};

RunSettings draw_settings(std::uint64_t seed);

}  // namespace calicograde::soak
