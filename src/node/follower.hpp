#pragma once

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "front/core.hpp"
#include "http/http.hpp"
#include "platform/registry.hpp"
#include "platform/start_times.hpp"

namespace calicograde::node {

// Follows the platform's registry for one pool of a core: a watch that is opened anew when it breaks or falls
// silent. Whatever is wrong with what comes, the list that is known stays.
class Follower {
 public:
  struct Rules {
    // What is missed counts as told 6 s after the watch fell silent or the registry could be reached again:
    // two watches that fall silent one after the other, the pauses, and a third call must fit.
    Span silence = Span::millis(2500);  // an empty line comes every 2 s
    Span connect = Span::millis(500);
    // After so long without the head of a new watch's answer another one is opened beside it: the first may
    // have fallen silent. It may be slow as well, so it is waited for as long as a change may stay unheard.
    Span answer = Span::millis(1000), slow_answer = Span::millis(6000);
    std::size_t most_unanswered = 4;                                 // watches; the oldest goes first
    Span soon = Span::millis(40);                                    // after a watch that had served
    Span again = Span::millis(200), again_most = Span::millis(800);  // after one that had not, once more each
  };
  Follower(front::Core& core, std::size_t pool, platform::Decoded names, Span wall_offset, Rules rules,
           std::uint64_t seed);
  ~Follower();

  // Before follow(): the list as this front last had it.
  void known(const platform::Listing& listing);
  // From now on there. From any thread.
  void follow(const net::Address& at);
  // Until the registry has said something, at the latest at the deadline.
  bool wait_heard(Instant deadline);

 private:
  void run();
  // A new watch whose answer has not begun.
  struct Unanswered {
    http::ClientConnection link;
    Instant asked;
  };
  using Watches = std::list<Unanswered>;
  bool watch(const net::Address& at);
  bool open_watch(const net::Address& at);
  std::optional<http::ClientConnection> first_answered(Instant deadline);
  bool read_answer_head(Watches::iterator watch, Instant deadline);
  void drop_stale_watches();
  bool follows(const net::Address& at);
  void shut_watches();
  bool read_objects(http::ClientConnection& link);
  bool take_object(const std::string& object);
  Span spread(Span mean);
  void take(const platform::Listing& listing, ListScope scope);

  front::Core& core_;
  const std::size_t pool_;
  const platform::Decoded names_;
  const Rules rules_;
  // The thread's alone, once it runs.
  std::map<EngineId, std::string> instances_;  // whose ids these are
  std::map<EngineId, net::Address> reached_;
  platform::StartTimes starts_;
  std::optional<Instant> heard_at_, heard_before_;  // the last bytes from the registry, and those before them
  std::uint64_t version_ = 0;
  std::mt19937 random_;
  net::SpareDescriptor spare_;  // for the watch, where clients and engines have taken all others
  int older_ = 0;               // whole lists in a row that were older than what is known
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<net::Address> at_;
  std::uint64_t moves_ = 0;            // follow() calls
  const net::Stream* open_ = nullptr;  // of the watch that is read
  Watches unanswered_;                 // changed by the thread alone
  bool stopping_ = false, heard_ = false;
  std::thread thread_;
};

}  // namespace calicograde::node
