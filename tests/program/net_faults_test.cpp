// What the socket layer makes of system calls that fail as Linux documents. One test a row of
// docs/system-calls.md; the fault library makes the calls fail.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <cerrno>
#include <thread>

#include "faults/fault_library.hpp"
#include "net/clock.hpp"
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

}  // namespace
}  // namespace calicograde::net
