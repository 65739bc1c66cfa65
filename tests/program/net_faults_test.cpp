// What the socket layer makes of system calls that fail as Linux documents. One test a row of
// docs/system-calls.md; the fault library makes the calls fail.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <cerrno>
#include <filesystem>
#include <mutex>
#include <set>
#include <thread>

#include "faults/fault_library.hpp"
#include "front/hangups.hpp"
#include "front/keeping.hpp"
#include "front/lobby.hpp"
#include "front/server.hpp"
#include "net/clock.hpp"
#include "net/local_error.hpp"
#include "net/socket.hpp"
#include "node_rig.hpp"

namespace calicograde::net {
namespace {

using faults::fail_next;

struct SocketPair {
  SocketPair() {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0) throw std::runtime_error("socketpair");
    near = Stream(Fd(ends[0])), far = Stream(Fd(ends[1]));
  }
  Stream near, far;
};

TEST(NetFaults, AnInterruptedLookIsNoHangUp) {
  SocketPair pair;
  for (const int error : {EINTR, ENOMEM}) {
    fail_next("poll", error, 1);
    EXPECT_FALSE(hung_up(pair.near.fd())) << error;
  }
  pair.far.close();
  fail_next("poll", EINTR, 1);
  EXPECT_TRUE(hung_up(pair.near.fd()));
}

TEST(NetFaults, AnInterruptedRestGoesOn) {
  SocketPair pair;
  const Instant begun = clock_now();
  fail_next("poll", EINTR, 2);
  EXPECT_FALSE(pair.near.stale(begun + Span::millis(30)));
  EXPECT_GE(clock_now() - begun, Span::millis(30));
  pair.far.close();
  fail_next("poll", EINTR, 1);
  EXPECT_TRUE(pair.near.stale());
}

TEST(NetFaults, AFailedWaitIsNoConnection) {
  const node::Deaf deaf;
  for (const int error : {ENOMEM, EINTR}) {
    fail_next("poll", error, 1);
    EXPECT_EQ(Stream::connect(deaf.at, clock_now() + Span::millis(50)).first, ConnectEnd::TimedOut) << error;
  }
}

Instant soon(int millis = 3000) { return clock_now() + Span::millis(millis); }

TEST(NetFaults, AnInterruptedConnectGoesOn) {
  Listener listener(Address{"127.0.0.1", 0});
  fail_next("poll", EINTR, 2);
  fail_next("connect", EINTR, 1);
  EXPECT_EQ(Stream::connect({"127.0.0.1", listener.port()}, soon()).first, ConnectEnd::Connected);
}

TEST(NetFaults, WhatThisMachineLacksIsLocal) {
  Listener listener(Address{"127.0.0.1", 0});
  const Address at{"127.0.0.1", listener.port()};
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    fail_next("socket", error, 1);
    EXPECT_EQ(Stream::connect(at, soon()).first, ConnectEnd::Local) << error;
  }
  for (const int error : {EADDRNOTAVAIL, ENOBUFS, EAGAIN}) {
    fail_next("connect", error, 1);
    EXPECT_EQ(Stream::connect(at, soon()).first, ConnectEnd::Local) << error;
  }
  for (const int error : {ENETUNREACH, EHOSTUNREACH}) {
    fail_next("connect", error, 1);
    EXPECT_EQ(Stream::connect(at, soon()).first, ConnectEnd::Unreachable) << error;
  }
  fail_next("connect", ECONNREFUSED, 1);
  EXPECT_EQ(Stream::connect(at, soon()).first, ConnectEnd::Refused);
}

TEST(NetFaults, AcceptingPausesWhereMemoryIsShort) {
  Listener listener(Address{"127.0.0.1", 0});
  const auto client = Stream::connect({"127.0.0.1", listener.port()}, soon());
  for (const int error : {ENOBUFS, ENOMEM}) {
    const int before = faults::calls_made("accept4");
    fail_next("accept4", error, 1 << 20);
    EXPECT_FALSE(listener.accept(soon(150)));
    EXPECT_LT(faults::calls_made("accept4") - before, 150) << error;
  }
  fail_next("accept4", 0, 0);
  EXPECT_TRUE(listener.accept(soon()));
}

TEST(NetFaults, FailedNewcomersDoNotKeepOthersOutEvenAfterAStop) {
  Listener listener(Address{"127.0.0.1", 0});
  for (const int error : {ECONNABORTED, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH, ENOBUFS, ENOMEM}) {
    const auto client = Stream::connect({"127.0.0.1", listener.port()}, soon());
    fail_next("accept4", error, 2);
    listener.stop();
    EXPECT_TRUE(listener.accept(soon())) << error;
  }
  EXPECT_FALSE(listener.accept(soon()));
}

TEST(NetFaults, InterruptedAndShortOfMemoryReadsAndWritesAreMadeAgain) {
  SocketPair pair;
  boost::system::error_code ec;
  char byte = 'x';
  for (const int error : {EINTR, ENOMEM, ENOBUFS}) {
    pair.near.set_deadline(soon()), pair.far.set_deadline(soon());
    fail_next("send", error, 3);
    EXPECT_EQ(pair.near.write_some(boost::asio::buffer(&byte, 1), ec), 1u) << error;
    fail_next("recv", error, 3);
    EXPECT_EQ(pair.far.read_some(boost::asio::buffer(&byte, 1), ec), 1u) << error;
    EXPECT_FALSE(ec) << error;
  }
  // No longer than the deadline, though.
  pair.far.set_deadline(soon(30));
  fail_next("recv", ENOMEM, 1 << 20);
  EXPECT_EQ(pair.far.read_some(boost::asio::buffer(&byte, 1), ec), 0u);
  EXPECT_EQ(ec, boost::asio::error::timed_out);
  fail_next("recv", 0, 0);
}

TEST(NetFaults, ABrokenConnectionIsAnEnd) {
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
    SocketPair pair;
    boost::system::error_code ec;
    char byte = 'x';
    pair.near.set_deadline(soon());
    fail_next("recv", error, 1);
    EXPECT_EQ(pair.near.read_some(boost::asio::buffer(&byte, 1), ec), 0u);
    EXPECT_EQ(ec.value(), error);
    fail_next("send", error, 1);
    EXPECT_EQ(pair.near.write_some(boost::asio::buffer(&byte, 1), ec), 0u);
    EXPECT_EQ(ec.value(), error);
  }
}

TEST(NetFaults, WhoCanNotListenForNowIsToldSo) {
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM}) {
    fail_next("socket", error, 1);
    EXPECT_THROW(Listener(Address{"127.0.0.1", 0}), LocalError) << error;
  }
  EXPECT_NO_THROW(Listener(Address{"127.0.0.1", 0}));
}

// One connection that waits in a lobby, and what it was given on to.
struct LobbyRig {
  LobbyRig() : listener(Address{"127.0.0.1", 0}) {
    client = Stream::connect({"127.0.0.1", listener.port()}, soon()).second;
    auto served = listener.accept(soon());
    guest = std::make_shared<front::Lobby::Guest>(std::move(*served), limits, open);
  }
  void ask() {
    boost::system::error_code ec;
    client.set_deadline(soon());
    client.write_some(boost::asio::buffer("G", 1), ec);
  }
  Listener listener;
  Stream client;
  http::Limits limits;
  std::atomic<std::size_t> open = 0;
  std::shared_ptr<front::Lobby::Guest> guest;
};

TEST(NetFaults, ALobbyOutlivesAFailedWait) {
  LobbyRig rig;
  std::atomic<int> come = 0, failed = 0;
  front::Lobby lobby([&](const front::Lobby::Shared&) { ++come; }, 4, [&](int error) { failed = error; });
  fail_next("epoll_wait", EINVAL, 1);
  lobby.wait(rig.guest);  // wakes it, so that it waits anew
  ASSERT_TRUE(until([&] { return failed == EINVAL; }));
  rig.ask();
  EXPECT_TRUE(until([&] { return come == 1; }));
}

TEST(NetFaults, AConnectionThatCanNotBeWatchedIsServedAllTheSame) {
  LobbyRig rig;
  std::atomic<int> come = 0;
  front::Lobby lobby([&](const front::Lobby::Shared&) { ++come; });
  fail_next("epoll_ctl", ENOMEM, 100);
  lobby.wait(rig.guest);
  EXPECT_EQ(come, 1);
  fail_next("epoll_ctl", 0, 0);
}

TEST(NetFaults, HangUpsAreHeardAfterAFailedWait) {
  SocketPair client, other;
  std::atomic<int> failed = 0;
  front::Hangups hangups([&](int error) { failed = error; });
  const auto ticket = [](InfId id) {
    return std::make_shared<front::Ticket>(id, clock_now(), 0, front::Asked{});
  };
  const auto first = ticket(1), second = ticket(2);
  const front::Hangups::Watch one(hangups, client.near.fd(), first);
  fail_next("epoll_wait", EBADF, 1);
  client.far.close();  // its wait ends, and the next one fails
  EXPECT_EQ(first->wait(-1, soon()), Waited::PeerLeft);
  ASSERT_TRUE(until([&] { return failed == EBADF; }));
  const front::Hangups::Watch two(hangups, other.near.fd(), second);
  other.far.close();
  EXPECT_EQ(second->wait(-1, soon()), Waited::PeerLeft);
}

// Found by NodeFaults.RequestsAreAnsweredThoughCallsFail in CI: the wake-up of a lobby's thread was
// interrupted, and the node, which could not listen yet and was to start again, waited for that thread for
// ever.
TEST(NetFaults, AnInterruptedWakeUpIsMadeAgain) {
  const Wake wake;
  fail_next("write", EINTR, 3);
  wake.raise();
  EXPECT_EQ(wait_for(wake, -1, soon(100)), Waited::Woken);
  wake.raise();
  fail_next("read", EINTR, 3);
  wake.clear();
  EXPECT_EQ(wait_for(wake, -1, soon(1)), Waited::TimedOut);
  fail_next("write", 0, 0), fail_next("read", 0, 0);
}

TEST(NetFaults, AListenerIsStoppedThoughTheCallIsInterrupted) {
  Listener listener(Address{"127.0.0.1", 0});
  fail_next("write", EINTR, 1);
  listener.stop();
  const Instant begun = clock_now();
  EXPECT_FALSE(listener.accept(begun + Span::millis(5000)));
  EXPECT_LT(clock_now() - begun, Span::millis(2500));
  fail_next("write", 0, 0);
}

class AnswersOnce : public front::Protocol {
 public:
  bool takes(const std::string&) const override { return true; }
  bool serve(http::Request&, front::Visit& visit) override {
    visit.connection.respond(200, {}, "done", false);
    return false;
  }
  void refuse(int status, const std::string& what, front::Visit& visit) override {
    visit.connection.respond(status, {}, what, false);
  }
};

// Found by Front.OneByteAtATimeAndPipelinedAreServed beside busy processes: a thread that had served the last
// connection was still in the lobby of a server that had ended.
TEST(NetFaults, AServerEndsAfterItsThreadsHave) {
  log::Log log("/dev/null", log::Level::Info);
  settings::Front settings;
  settings.listen = {Address{"127.0.0.1", 0}};
  front::Core core(settings, log);
  std::vector<std::unique_ptr<front::Protocol>> protocols;
  protocols.push_back(std::make_unique<AnswersOnce>());
  auto server = std::make_unique<front::Server>(core, std::move(protocols));
  server->start();
  auto client = Stream::connect(server->addresses()[0], soon()).second;
  client.set_deadline(soon());
  ASSERT_TRUE(until([&] { return server->connections() == 1; }));
  fail_next("epoll_ctl", ENOMEM, 1 << 20);  // its thread ends the connection itself, and closes it
  faults::hold_up_next("close", 1000);
  EXPECT_TRUE(node::Rig::put(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
  ASSERT_TRUE(until([&] { return faults::calls_held_up("close") == 1; }));
  fail_next("epoll_ctl", 0, 0);
  server.reset();
  EXPECT_EQ(faults::calls_held_up("close"), 0);
}

// A mark that failed is not kept by the one behind it that did not.
TEST(KeepFaults, WhatIsSaidToBeOnDiskIsFoundThere) {
  const auto folder = std::filesystem::temp_directory_path() / ("keep_faults_" + std::to_string(getpid()));
  log::Log quiet("/dev/null", log::Level::Error);
  for (int round = 0; round < 40; ++round) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::set<std::string> acknowledged;
    std::mutex mutex;
    {
      front::Keeping keeping({folder.string(), Span::millis(600000)}, "f", quiet);
      std::vector<std::thread> clients;
      for (int c = 0; c < 48; ++c)
        clients.emplace_back([&, c] {
          for (int k = 0; k < 6; ++k) {
            const std::string key = std::to_string(c) + "." + std::to_string(k);
            if (k % 3 == 0) fail_next(c % 2 == 0 ? "write" : "fdatasync", c % 4 < 2 ? EIO : ENOSPC, 1);
            if (!keeping.mark({"pay", key, 1000, true, false, false})) continue;
            const std::lock_guard lock(mutex);
            acknowledged.insert(key);
          }
        });
      for (auto& client : clients) client.join();
    }
    fail_next("write", 0, 0), fail_next("fdatasync", 0, 0);
    keep::Folder found(folder.string());
    keep::Store store(found);
    std::set<std::string> kept;
    for (const auto& m : store.load("f").state.marks) kept.insert(m.key);
    for (const auto& key : acknowledged) ASSERT_TRUE(kept.contains(key)) << key << " in round " << round;
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace calicograde::net
