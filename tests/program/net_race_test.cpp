// What happens when an answer, a close, a hang-up or a stop comes between two steps of a connection's life:
// each test forces one such crossing on real sockets, by a hook or by a peer that waits.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/error.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "front/bounded_queue.hpp"
#include "front/hangups.hpp"
#include "front/links.hpp"
#include "front/lobby.hpp"
#include "front/server.hpp"
#include "front/workers.hpp"
#include "net/clock.hpp"
#include "node_rig.hpp"

namespace calicograde::front {
namespace {

using net::clock_now;

Instant soon() { return clock_now() + Span::millis(5000); }

net::Stream dial(const net::Listener& listener) {
  auto client = net::Stream::connect({"127.0.0.1", listener.port()}, soon()).second;
  client.set_deadline(soon());
  return client;
}

// Whether the connection was reset, once both of its directions have ended.
bool reset_in_the_end(const net::Stream& client) {
  pollfd ended{client.fd(), 0, 0};
  EXPECT_EQ(::poll(&ended, 1, 5000), 1);
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(client.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

// A client whose connection the kernel had accepted may have written its request already.
TEST(Listener, GivesOutWhatHadConnectedBeforeItWasStopped) {
  net::Listener listener(net::Address{"127.0.0.1", 0});
  const auto first = dial(listener), second = dial(listener);
  listener.stop();
  EXPECT_TRUE(listener.accept(soon()));
  EXPECT_TRUE(listener.accept(soon()));
  EXPECT_FALSE(listener.accept(soon()));
}

// While it lives this process can open no further descriptor. Nothing is checked meanwhile: the sanitizers
// need descriptors to look at memory.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit few{256, before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &few);
    for (bool any = true; any;) {
      taken_.emplace_back(::open("/dev/null", O_RDONLY | O_CLOEXEC));
      any = static_cast<bool>(taken_.back());
    }
  }
  ~NoDescriptors() {
    taken_.clear();
    setrlimit(RLIMIT_NOFILE, &before_);
  }

 private:
  rlimit before_{};
  std::vector<net::Fd> taken_;
};

// Where descriptors have run out a newcomer is told so, and not with a reset.
TEST(Listener, AnswersANewcomerOnItsSpareDescriptor) {
  net::Listener listener(net::Address{"127.0.0.1", 0});
  auto client = dial(listener);
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
  bool accepted = true;
  {
    const NoDescriptors none;
    accepted = listener.accept(clock_now() + Span::millis(200), refusal).has_value();
  }
  EXPECT_FALSE(accepted);
  std::string told;
  char piece[256];
  boost::system::error_code ec;
  while (!ec) told.append(piece, client.read_some(boost::asio::buffer(piece), ec));
  EXPECT_EQ(told, refusal);
  EXPECT_EQ(ec, boost::asio::error::eof);
}

// What the registry's watch is opened with where clients and engines have taken all others.
TEST(SpareDescriptor, CanBeUsedWhereAllOthersAreTaken) {
  net::SpareDescriptor spare;
  bool without = true, with = false, again = true, refilled = false;
  {
    const NoDescriptors none;
    const auto can_open = [] { return static_cast<bool>(net::Fd(::socket(AF_INET, SOCK_STREAM, 0))); };
    without = can_open();
    with = spare.release() && can_open();
    again = spare.release();
    spare.refill();
    refilled = spare.release();
  }
  EXPECT_FALSE(without);
  EXPECT_TRUE(with);
  EXPECT_FALSE(again);
  EXPECT_TRUE(refilled);
}

// Found by reading: a hang-up that was heard of just as its watch ended was told to whoever had the
// descriptor by then, and that client's request was dropped.
TEST(Hangups, AHangUpHeardLateIsNotTheNextClients) {
  net::Listener listener(net::Address{"127.0.0.1", 0});
  std::mutex mutex;
  std::condition_variable changed;
  bool heard = false, may_tell = false;
  Hangups hangups({}, [&] {
    std::unique_lock lock(mutex);
    if (heard) return;
    heard = true;
    changed.notify_all();
    changed.wait(lock, [&] { return may_tell; });
  });
  const auto ticket = [](InfId id) { return std::make_shared<Ticket>(id, clock_now(), 0, Asked{}); };
  auto gone = dial(listener);
  auto served = listener.accept(soon());
  ASSERT_TRUE(served);
  const int descriptor = served->fd();
  auto first = std::make_unique<Hangups::Watch>(hangups, descriptor, ticket(1));
  gone.close();
  {
    std::unique_lock lock(mutex);
    ASSERT_TRUE(changed.wait_for(lock, std::chrono::seconds(5), [&] { return heard; }));
  }
  first.reset();
  const auto stays = dial(listener);
  auto next = listener.accept(soon());
  ASSERT_TRUE(next);
  ASSERT_EQ(::dup2(next->fd(), descriptor), descriptor);  // the kernel gave the same descriptor out again
  const auto second = ticket(2);
  const Hangups::Watch watch(hangups, descriptor, second);
  {
    const std::lock_guard lock(mutex);
    may_tell = true;
    changed.notify_all();
  }
  // Another hang-up behind it: once that is told, the first has been dealt with.
  auto last_gone = dial(listener);
  auto last_served = listener.accept(soon());
  const auto last = ticket(3);
  const Hangups::Watch last_watch(hangups, last_served->fd(), last);
  last_gone.close();
  EXPECT_EQ(last->wait(-1, soon()), net::Waited::PeerLeft);
  EXPECT_EQ(second->wait(-1, clock_now()), net::Waited::TimedOut);
}

// Found by reading: an answer that follows some milliseconds behind another was read as the answer to the
// next request on that connection.
TEST(Links, AreLeftAloneForAWhileAfterAnAnswer) {
  net::Listener listener(net::Address{"127.0.0.1", 0});
  const net::Address at{"127.0.0.1", listener.port()};
  const Span rest = Span::millis(60);
  Links links(Span::millis(10000), 4, 16, rest);
  links.give_back(at, http::ClientConnection(dial(listener)));
  const Instant given = clock_now();
  auto engine = listener.accept(soon());
  ASSERT_TRUE(engine);
  EXPECT_FALSE(links.take(at));
  EXPECT_TRUE(links.take_once_rested(at));
  EXPECT_GE(clock_now() - given, rest);
  // What comes meanwhile ends it, however late it is taken.
  for (const bool waits : {true, false}) {
    links.give_back(at, http::ClientConnection(dial(listener)));
    auto spoils = listener.accept(soon());
    ASSERT_TRUE(spoils);
    boost::system::error_code ec;
    spoils->write_some(boost::asio::buffer("HTTP/1.1 200 OK\r\n", 17), ec);
    if (waits) {
      EXPECT_FALSE(links.take_once_rested(at));
    } else {
      EXPECT_TRUE(until([&] { return !links.take(at) && links.idle() == 0; }));
    }
  }
}

// A request that comes in the moment in which its idle connection is ended is not sent on, and no reset takes
// away what was answered before.
TEST(Lobby, WhatComesAsAnIdleConnectionEndsIsReadAndDropped) {
  net::Listener listener(net::Address{"127.0.0.1", 0});
  std::atomic<std::size_t> open = 0;
  std::atomic<int> came = 0;
  Lobby lobby([&](const Lobby::Shared&) { ++came; });
  http::Limits limits;
  limits.idle = Span::millis(50);
  for (const bool told : {true, false}) {  // to make room, and by its own end
    auto client = dial(listener);
    auto guest = std::make_shared<Lobby::Guest>(*listener.accept(soon()), limits, open);
    guest->fresh = false;
    lobby.wait(std::move(guest));
    EXPECT_EQ(told && lobby.make_room(), told);
    char any;
    boost::system::error_code ec;
    EXPECT_EQ(client.read_some(boost::asio::buffer(&any, 1), ec), 0u);
    EXPECT_EQ(ec, boost::asio::error::eof);
    EXPECT_EQ(open, 0u);
    EXPECT_TRUE(node::Rig::put(client, std::string(50000, 'x')));
    EXPECT_EQ(::shutdown(client.fd(), SHUT_WR), 0);
    EXPECT_FALSE(reset_in_the_end(client));
  }
  EXPECT_EQ(came, 0);
}

TEST(Lobby, ThoseThatLeaveAreBounded) {
  net::Listener listener(net::Address{"127.0.0.1", 0});
  std::atomic<std::size_t> open = 0;
  Lobby lobby([](const Lobby::Shared&) {}, 2);
  std::vector<net::Stream> clients;
  for (int k = 0; k < 3; ++k) {
    clients.push_back(dial(listener));
    lobby.leave(std::make_shared<Lobby::Guest>(*listener.accept(soon()), http::Limits{}, open));
  }
  // The first has gone for good; the others still read.
  EXPECT_TRUE(node::Rig::put(clients[0], "x"));
  pollfd ended{clients[0].fd(), 0, 0};
  EXPECT_EQ(::poll(&ended, 1, 5000), 1);
  pollfd stays{clients[2].fd(), 0, 0};
  EXPECT_EQ(::poll(&stays, 1, 0), 0);
}

TEST(Workers, AJobThatThrowsEndsNeitherTheProcessNorTheThreads) {
  Workers workers(1, 256 << 10, 4);
  std::atomic<int> done = 0;
  EXPECT_TRUE(workers.submit([] { throw std::runtime_error("no memory, say"); }));
  EXPECT_TRUE(until([&] { return workers.idle() == workers.count(); }));
  EXPECT_TRUE(workers.submit([&] { ++done; }));
  EXPECT_TRUE(until([&] { return done == 1; }));
}

// Found by reading: a job that waited for an idle thread to wake was not counted, and could run after the end
// of whoever had waited for it.
TEST(Workers, AreNotIdleWhileAJobWaitsForAThread) {
  Workers workers(4, 256 << 10);
  for (int k = 0; k < 200; ++k) {
    std::atomic<bool> ran = false;
    ASSERT_TRUE(workers.submit([&] {
      usleep(200);
      ran = true;
    }));
    workers.wait_idle();
    const bool waited = ran;
    ASSERT_TRUE(until([&] { return ran.load(); }));
    ASSERT_TRUE(waited) << k;
  }
}

// Found by reading: at SIGTERM a release that waited for a thread was not counted, and the process could end
// before it was sent.
TEST(Workers, CountJobsThatWaitForAThread) {
  Workers workers(1, 256 << 10, 8);
  std::atomic<bool> go_on = false;
  for (int k = 0; k < 3; ++k)
    ASSERT_TRUE(workers.submit([&] {
      while (!go_on) usleep(500);
    }));
  EXPECT_EQ(workers.unfinished(), 3u);
  go_on = true;
  workers.wait_idle();
  EXPECT_EQ(workers.unfinished(), 0u);
}

// The owner of a queue that reports to itself would wait for itself for good.
TEST(BoundedQueue, WhoTakesFromItNeverWaitsForRoom) {
  BoundedQueue<int> queue(2);
  queue.put(1), queue.put(2);
  queue.put_now(3);
  EXPECT_EQ(queue.take(Span{}).size(), 3u);
}

class Throwing : public Protocol {
 public:
  bool takes(const std::string& path) const override { return path == "/throws"; }
  bool serve(http::Request&, Visit&) override { throw std::bad_alloc(); }
  void refuse(int status, const std::string& what, Visit& visit) override {
    visit.connection.respond(status, {}, what, false);
  }
};

// Found by reading: a request at which the front itself failed was read and its connection closed.
TEST(Server, ARequestAtWhichItFailsIsAnswered) {
  log::Log log("/dev/null", log::Level::Info);
  settings::Front settings;
  settings.listen = {net::Address{"127.0.0.1", 0}};
  Core core(settings, log);
  std::vector<std::unique_ptr<Protocol>> protocols;
  protocols.push_back(std::make_unique<Throwing>());
  Server server(core, std::move(protocols));
  server.start();
  auto client = net::Stream::connect(server.addresses()[0], soon()).second;
  client.set_deadline(soon());
  EXPECT_TRUE(node::Rig::put(client, "GET /throws HTTP/1.1\r\nHost: x\r\n\r\n"));
  EXPECT_EQ(node::Rig::drain(client).substr(0, 12), "HTTP/1.1 500");
  server.stop(soon());
}

}  // namespace
}  // namespace calicograde::front
