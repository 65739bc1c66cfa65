#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "front/in_work.hpp"
#include "http/http.hpp"
#include "net/socket.hpp"

namespace calicograde::front {

// Clients' connections that need no thread: those that wait for a request's first byte, and those that were
// answered and are left to their clients to close. One epoll and one thread serve them all: hundreds of
// threads that wait would cost a node that is held back to its share of a core most of that share.
// Thread-safe.
class Lobby {
 public:
  struct Guest {
    Guest(net::Stream stream, const http::Limits& limits, std::atomic<std::size_t>& open)
        : connection(std::move(stream), limits), place(std::in_place, open) {}
    http::ServerConnection connection;
    std::optional<InWork> place;  // among the open ones; given up once no further answer comes
    bool fresh = true;            // nothing was asked yet
  };
  using Shared = std::shared_ptr<Guest>;

  // `comes` is told, on the lobby's thread, whose next request has begun to come. At most `most_leaving`
  // connections that were given their last answer are kept for their clients to close. Throws
  // net::LocalError where descriptors have run out. `wait_failed` is told each errno value with which a wait
  // for all of them failed; the wait is made again.
  explicit Lobby(std::function<void(Shared)> comes, std::size_t most_leaving = 64,
                 std::function<void(int)> wait_failed = {});
  ~Lobby();
  // Until its next request, or for as long as it may be idle.
  void wait(Shared guest);
  // It has its last answer. What still comes is dropped until its client ends it too, for a second at most: a
  // close over unread bytes would reset the connection, and the last bytes of the answer could go with it.
  void leave(Shared guest);
  // Lets one leave on which nothing is asked: those that never asked for anything first, then those idle for
  // longest. False if there is none.
  bool make_room();
  // Those that wait leave, and so does who would wait later.
  void close();
  // Until all that leave have gone; false where some have not by the deadline.
  bool wait_empty(Instant deadline);

 private:
  struct Seat {
    Shared guest;
    bool leaving;
    Instant since, until;
  };
  using Seats = std::map<std::uint64_t, Seat>;
  void seat(Shared guest, bool leaving, std::vector<Shared>& gone);
  void add(Shared guest, bool leaving);
  Shared take(Seats::iterator at);
  void run();
  void end_overdue(std::vector<Shared>& gone);

  void hand_on_unwatched();

  const std::function<void(Shared)> comes_;
  const std::function<void(int)> wait_failed_;
  const std::size_t most_leaving_;
  const net::Fd epoll_;
  const net::Wake wake_;
  std::mutex mutex_;
  Seats seats_;  // in the order in which they came
  std::set<std::pair<Instant, std::uint64_t>> ends_;
  std::set<std::uint64_t> leaving_;  // in the order in which they began to leave
  std::vector<Shared> unwatched_;    // could not be watched for now: each gets a thread at once
  std::condition_variable emptied_;
  std::uint64_t numbers_ = 0;
  bool closed_ = false, ending_ = false;
  std::thread thread_;
};

}  // namespace calicograde::front
