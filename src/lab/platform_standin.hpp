#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http/http.hpp"
#include "net/socket.hpp"

// Stand-ins for the platform's engines and registry on loopback, written from its PROTOCOL page.
namespace calicograde::lab {

// Accepts on a kernel's port and serves each connection on a thread of its own.
class LoopbackServer {
 public:
  using Serve = std::function<void(net::Stream)>;
  static constexpr int usual_backlog = 4096;
  // Port 0 lets the kernel choose. Beyond `backlog` connections that wait, none comes up.
  explicit LoopbackServer(Serve serve, unsigned short port = 0, int backlog = usual_backlog);
  ~LoopbackServer();
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  unsigned short port() const { return listener_.port(); }
  bool stopping() const { return stopping_; }
  void drop_connections();  // resets those that are open

 private:
  void accept();
  const Serve serve_;
  net::Listener listener_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> threads_ = 0;
  std::mutex mutex_;
  std::set<const net::Stream*> open_;
  std::thread acceptor_;
};

// What an engine does with the next sends to it.
enum class Act {
  Usual,
  Error,             // 500
  Full,              // 503, not started
  NoState,           // 410, not started
  Noise,             // no answer's head
  EndlessHead,       // one that never ends
  Provisional,       // 1xx before a good answer
  InPieces,          // each event in several chunks
  Behind,            // a second answer behind a good one
  Silent,            // takes it and says nothing
  CutAtOnce,         // breaks off without a word
  CutMidway,         // after the first event
  StallMidway,       // after the first event nothing more, the connection stays
  BadSize,           // after the first event a chunk whose size can't be read
  HugeChunk,         // after the first event a chunk of 3 GB that keeps coming
  EndlessSize,       // after the first event a chunk's size that never ends
  EndlessDigits,     // the same, all of it hexadecimal digits
  EndlessExtension,  // after the first event a chunk whose extension never ends
  EndlessTrailer,    // after the last chunk a trailer that never ends
  EndlessSizeFirst,  // in place of the first event a chunk's size that never ends
  LateBreak,         // a read that ends well, its answer lost
  HangUp,            // a good answer, then the connection is closed without a word
};

// What the engines of one platform know together: what is held for which id, and what they were asked.
class PlatformHall {
 public:
  struct Asked {
    std::string engine, method, target, id, body;
    http::Headers headers = {};
  };
  void add(Asked asked);
  std::vector<Asked> all() const;
  int count(const std::string& method, const std::string& target_start) const;
  void hold(const std::string& id, const std::string& engine);
  // A read goes on, or has ended; while one goes on, a place can be granted.
  void reading(const std::string& id, bool on);
  bool grant(const std::string& id, const std::string& engine);
  // A decode attempt waits for what is held; false where nothing is.
  bool wait_for_state(const std::string& id);
  void first_token(const std::string& id);   // of an attempt that waited: all that is held goes
  void attempt_ends(const std::string& id);  // of one that waited; what it waited for stays held
  void let_go(const std::string& id);        // all that no attempt waits for
  // A release is carried out only once a newer read has ended, or so much time has passed.
  void late_releases(int millis) { late_ = millis; }
  std::size_t held() const;
  bool holds(const std::string& id) const;

 private:
  void end_wait(const std::string& id);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Asked> asked_;
  std::map<std::string, std::set<std::string>> held_;
  std::multiset<std::string> reading_, releasing_, waiting_;
  std::set<std::string> read_;  // with a state to be fetched
  std::atomic<int> late_ = 0;
};

class PlatformEngine {
 public:
  PlatformEngine(std::string name, bool reader, PlatformHall& hall, int events = 3);
  std::string address() const { return server_.address(); }
  const std::string& name() const { return name_; }
  bool reader() const { return reader_; }
  void next(Act act, int times = 1);
  void events(int count) { events_ = count; }
  void pause_between_events(Span pause) { event_pause_micros_ = pause.as_micros(); }
  // What calls for a place are told from now on, and how much later; `ends_connection`: nothing.
  struct PlaceReply {
    int status = 200;
    Span after;
    bool ends_connection = false;
  };
  void reply_to_places(const PlaceReply& reply);
  // Of a prefill engine, from the call for a place on, or where none comes.
  void read_takes(Span time) { read_micros_ = time.as_micros(); }
  // While paused, requests that have come wait before they are dealt with.
  void pause(bool on);
  int waiting() const { return waiting_; }  // of those
  int connections() const { return connections_; }
  std::size_t most_endless_bytes() const { return most_endless_bytes_; }  // taken of one endless answer
  static std::string answer(int events);  // the stream's bytes, without its framing

 private:
  void serve(net::Stream stream);
  bool answer_place(http::ServerConnection& c, const std::string& id);
  bool complete(const http::Request& r, http::ServerConnection& c, const std::string& id);
  // Until the other side takes no more. Always false: the connection is of no use then.
  bool send_endlessly(net::Stream& stream, std::string_view start, std::string_view piece);
  Act next_act();

  const std::string name_;
  const bool reader_;
  PlatformHall& hall_;
  std::atomic<int> events_, connections_ = 0, waiting_ = 0;
  std::atomic<std::int64_t> event_pause_micros_ = 0, read_micros_ = 0;
  std::atomic<std::size_t> most_endless_bytes_ = 0;
  std::mutex mutex_;
  std::condition_variable resumed_;
  bool paused_ = false;
  std::optional<PlaceReply> place_reply_;  // none = by what is held
  Act act_ = Act::Usual;
  int times_ = 0;
  LoopbackServer server_;
};

class PlatformRegistry {
 public:
  PlatformRegistry();
  std::string address() const { return server_.address(); }
  // A new version with this entry; `state`: Ready, Terminating or Gone.
  void change(const std::string& instance, const std::string& host_port, const std::string& kind,
              const std::string& state, long long started = 0);
  std::string list() const;          // the whole, as JSON
  void mute(bool on);                // no line, not even an empty one
  void answer_after(Span delay);     // each new watch, from now on
  void say(const std::string& raw);  // that line, to all that watch
  // The next watches say this after their head, and nothing more.
  void silent_watches(int count, const std::string& first_bytes = "");
  int watches() const { return watches_; }  // opened so far

 private:
  struct Entry {
    std::uint64_t version = 0;
    std::string json, state;
  };
  void serve(net::Stream stream);
  std::string document(std::uint64_t since, bool whole) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::uint64_t version_ = 1;
  std::vector<std::string> said_;
  bool mute_ = false;
  Span answer_delay_;
  int silent_watches_ = 0;
  std::string first_bytes_;
  std::atomic<int> watches_ = 0;
  LoopbackServer server_;
};

}  // namespace calicograde::lab
