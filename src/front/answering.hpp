#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "front/core.hpp"

namespace calicograde::front {

// How an inference ended for whoever asked for it.
struct AnswerEnd {
  enum class How {
    Completed,
    Shed,      // trying again is harmless
    Refused,   // by the engine, for the prompt's own words
    Stopping,  // this front is
    Late,      // no answer came in time
    Left,      // the asker has gone, or takes no more
    Broken,    // the engine broke off, fell silent or wrote nonsense after the answer had begun
    NotTaken,  // the front takes no more, or the key forbids it
  } how = How::Late;
  Core::Opened::Why not_taken = Core::Opened::Why::Full;
  Span retry_after;
  std::string message;           // of Refused, Broken and Stopping
  bool outcome_unknown = false;  // of Late: it may have run
  bool begun = false;            // the asker has been given a part of the answer
  engines::Chunk last;           // the one that ended it
  Usage usage;
  InfId inf = 0;
  bool attempted = false;  // engines may keep something under its id
  // Whether it may have run, and since when.
  bool ran = false;
  Instant first_run;
};

// One inference through the core, on the thread of whoever asked for it: waits for what the module decides,
// and reads the answer to its end.
class Answering {
 public:
  struct Terms {
    Instant ends;         // of the budget
    bool stream = true;   // else the whole answer is wanted by `ends`
    bool waited = false;  // the asker has a stream open already, and is kept up while it waits
    // Hung up = left; null = nobody to watch.
    http::ServerConnection* client = nullptr;
    int client_fd() const { return client ? client->stream().fd() : -1; }
  };
  class Reader {
   public:
    virtual ~Reader() = default;
    // A piece of the answer. False: the asker takes no more.
    virtual bool chunk(const engines::Chunk& chunk, const Usage& usage) = 0;
    // The same where the answer is passed on as it comes (Asked::passed).
    virtual bool bytes(const std::string&) { return false; }
    // Nothing has come for a while.
    virtual bool quiet() { return true; }
  };

  explicit Answering(Core& core) : core_(core) {}
  AnswerEnd run(Asked asked, const Terms& terms, Reader& reader);
  // From any thread: ends it as Left.
  void stop();

 private:
  AnswerEnd attend(const std::shared_ptr<Ticket>& held, const Terms& terms, Reader& reader);
  AnswerEnd follow(Ticket& ticket, std::unique_ptr<EngineStream> stream, const Terms& terms, Reader& reader);
  static AnswerEnd ended(const Final& final);

  Core& core_;
  std::mutex mutex_;
  std::shared_ptr<Ticket> ticket_;  // while it runs
  std::atomic<bool> stopped_ = false;
};

}  // namespace calicograde::front
