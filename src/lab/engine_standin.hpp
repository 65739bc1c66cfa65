#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/types.hpp"
#include "http/http.hpp"
#include "lab/emulated.hpp"
#include "lab/record.hpp"
#include "net/socket.hpp"
#include "prefix/index.hpp"

namespace calicograde::lab {

// Engines that drop repeats of a deduped inference share one.
struct DedupeMemory {
  std::mutex mutex;
  std::map<std::string, Instant> seen;
};

struct EngineOptions {
  std::string kind = "prefill", zone = "default", rack = "r0";
  Stage stage = Stage::Read;
  int slots = 8, queue = 32;
  double memory_tokens = 200000, read_per_s = 15000,
         rate = 20;                            // rate: sends a second that it can do when warm
  Span token = Span::millis(10), first_token;  // first_token: zero = as the others
  double cold_from = 0.25, fall_multiple = 2.5;
  Span cold = Span::millis(12000), fall = Span::millis(1500);
  bool release = true, places = false, reports = false, cache_events = false;
  std::uint64_t seed = 1;
  bool emulated = false;  // works as docs/emulator.md says, in place of the small model
};

// What is wrong with an engine just now.
struct Faults {
  bool down = false, vanished = false, hung = false, forget = false, lose_event = false, garbage = false,
       cut = false, stale_reports = false;
  double slow = 1, link_slow = 1, failing = 0;
  Span handshake;         // before a connection is served
  std::string closed_to;  // a model that is told "full"
};

// An engine on a loopback port that speaks the chat-completions shape with kv_transfer_params and the
// extension of docs/front.md. A small model, not a measurement: reads one after the other, answers at a pace,
// holds states in bounded memory, starts cold and falls over when pushed. Everything it sees goes to the
// recorder.
class EngineStandin {
 public:
  EngineStandin(EngineOptions options, Recorder& records, std::shared_ptr<DedupeMemory> dedupe);
  ~EngineStandin();
  const std::string& address() const { return address_; }
  const EngineOptions& options() const { return options_; }
  std::string incarnation() const;
  Span age() const;
  bool is_down() const;
  void crash();    // everything is gone at once, with resets
  void restart();  // empty and cold, on the same port
  void set(const std::function<void(Faults&)>& change);

 private:
  struct Held {
    double tokens = 0;
    bool place = false;
    Instant until;
    emulator::JobId job = 0;  // whose state it is, where the engine is emulated
  };
  struct Asked;
  void accept(std::shared_ptr<net::Listener> listener, int life);
  void serve(net::Stream stream, int life);
  bool answer(const http::Request& request, http::ServerConnection& c, int life, Instant came);
  bool read(const Asked& a, http::ServerConnection& c, int life);
  bool write(const Asked& a, http::ServerConnection& c, int life);
  bool emulated_read(const Asked& a, http::ServerConnection& c, int life);
  bool emulated_write(const Asked& a, http::ServerConnection& c, int life);
  bool answer_read(const Asked& a, http::ServerConnection& c, double kept);
  bool fetch(const Asked& a);
  // From here on it runs: the effect counts, unless the group remembers the key.
  void take_effect(const Asked& a);
  bool stream(const Asked& a, http::ServerConnection& c, int tokens, const std::function<bool(int)>& await,
              const std::function<void(const std::string&)>& out);
  // Its next word, while the client is there and the engine lives; what ends it otherwise is noted.
  Emulated::Word await(const Asked& a, http::ServerConnection& c, emulator::JobId job, int life);
  bool respond(http::ServerConnection& c, int status, const std::string& body);
  bool refuse(const Asked& a, http::ServerConnection& c, int status, const std::string& code);
  // Sleeps until then, or less: false if the peer left or the engine went down.
  bool wait(http::ServerConnection& c, Instant until, int life);
  bool hold(const std::string& name, double tokens, bool place, emulator::JobId job = 0);
  bool unhold(const std::string& name, const std::string& how);
  double held_tokens();
  double capacity();  // share of the warm one; under the lock
  bool pushed_over();
  double find_kept(const prefix::Chain& chain, double tokens);
  void forget_kept();  // under the lock
  void tell(prefix::CacheEvent::What what, prefix::BlockName after, prefix::Chain blocks);
  bool stream_cache(http::ServerConnection& c, int life);
  void note(const std::string& what, const std::string& name, const std::string& mark, const std::string& how,
            double number = 0, std::optional<Instant> at = {});
  Faults faults();
  std::string load();

  const EngineOptions options_;
  Recorder& records_;
  const std::shared_ptr<DedupeMemory> dedupe_;
  std::string address_;
  unsigned short port_ = 0;
  mutable std::mutex mutex_;
  Faults faults_;
  std::shared_ptr<net::Listener> listener_;
  std::thread acceptor_;
  std::atomic<int> life_ = 0, threads_ = 0;
  Instant started_;
  bool cold_ = false;
  std::map<std::string, Held> held_;
  std::map<std::string, Instant> released_early_;
  std::set<prefix::BlockName> kept_;
  std::vector<prefix::Chain> chains_;    // that are kept, for who asks for the whole
  std::deque<prefix::CacheEvent> told_;  // the last cache events
  std::uint64_t next_event_ = 0;
  std::list<Instant> arrivals_;
  Instant reading_until_;
  int reading_ = 0, writing_ = 0, waiting_ = 0;
  std::string last_report_;
  std::mt19937 random_;
  std::unique_ptr<Emulated> emulated_;  // never called under mutex_, which its events take
};

}  // namespace calicograde::lab
