#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.hpp"
#include "rpc/message.hpp"

// One client's session of the Model Context Protocol over streamable HTTP: what it may ask when, which ids
// are used, and what a stream that broke still owes it. Free of I/O and clocks. Not thread-safe.
namespace calicograde::rpc {

// The revisions spoken here, newest first.
const std::vector<std::string>& revisions();
// What a server answers to a client that asks for a revision: the same if it is spoken here, else the newest.
std::string agreed_revision(std::string_view asked);

struct StreamEvent {
  std::uint64_t number = 0;
  std::string data;
};

class Session {
 public:
  enum class Phase { New, Opened, Ready };  // initialize not yet answered; answered; `initialized` came
  enum class Ask { Go, NotOpened, Again, TooMany };

  Session(std::string id, std::size_t most_open, std::size_t most_kept_bytes)
      : id_(std::move(id)), most_open_(most_open), most_kept_(most_kept_bytes) {}
  const std::string& id() const { return id_; }
  Phase phase() const { return phase_; }
  const std::string& revision() const { return revision_; }

  // The client's capabilities decide what a server may ask back.
  void opened(std::string revision, bool sampling, bool elicitation);
  void ready() {
    if (phase_ == Phase::Opened) phase_ = Phase::Ready;
  }
  bool may_be_asked(std::string_view method) const;

  // A request with that id: whether it may go. An id is used once in a session's life.
  Ask ask(const Request& r);
  // Its one response. False if it has had one, was cancelled, or was never asked.
  bool answer(const Id& id);
  // The client takes it back. False if its response was given before: then nothing is to be done.
  bool cancel(const Id& id);
  std::size_t open() const { return open_.size(); }

  // Streams, for resumption: an event's id is STREAM-NUMBER, unique in the session.
  std::uint64_t begin_stream() { return next_stream_++; }
  std::string add(std::uint64_t stream, std::string data);  // returns the event's id
  void end_stream(std::uint64_t stream);
  // What came on the stream of that event after it, in order. None if the id is not of this session, or what
  // would have to be repeated is kept no more: part of it would be a silent loss.
  struct Rest {
    std::uint64_t stream = 0;
    std::vector<StreamEvent> events;
    bool ended = false;
  };
  std::optional<Rest> after(std::string_view event_id) const;

 private:
  struct Kept {
    std::deque<StreamEvent> events;
    std::uint64_t next = 1;
    bool ended = false;
  };
  void make_room();
  const std::string id_;
  const std::size_t most_open_, most_kept_;
  Phase phase_ = Phase::New;
  std::string revision_;
  bool sampling_ = false, elicitation_ = false;
  std::set<Id> used_, open_;
  std::uint64_t next_stream_ = 1;
  std::map<std::uint64_t, Kept> streams_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace calicograde::rpc
