// Engines whose answers can't be read and do not end, before a front node as a process of its own.
#include "node_rig.hpp"

namespace calicograde::node {
namespace {

// What the kernel's buffers on both sides and the node's own may hold of an answer that nobody can read.
constexpr std::size_t most_taken_bytes = 24 << 20;

std::size_t most_endless_bytes(const Rig& rig) {
  return std::max(rig.writer.most_endless_bytes(), rig.writer2.most_endless_bytes());
}

// Guards against an answer without end that is kept in memory until the node is killed (review/1).
TEST(SpoiltAnswers, AStreamThatGoesOnWithAnEndlessSizeOrTrailerIsCutBeforeItFillsTheMemory) {
  for (const Act act : {Act::EndlessSize, Act::EndlessDigits, Act::EndlessExtension, Act::EndlessTrailer}) {
    Rig rig;
    rig.writer.next(act), rig.writer2.next(act);
    const Instant begun = clock_now();
    const auto reply = rig.ask("s" + std::to_string(static_cast<int>(act)));
    EXPECT_EQ(reply.status, 200) << static_cast<int>(act);
    EXPECT_FALSE(reply.whole) << static_cast<int>(act);
    EXPECT_EQ(reply.body.substr(0, 6), "data: ") << static_cast<int>(act);
    EXPECT_LT(clock_now() - begun, Span::millis(5000)) << static_cast<int>(act);
    EXPECT_TRUE(until([&] { return most_endless_bytes(rig) > 0; })) << static_cast<int>(act);
    EXPECT_LT(most_endless_bytes(rig), most_taken_bytes) << static_cast<int>(act);
    rig.writer.next(Act::Usual), rig.writer2.next(Act::Usual);
    EXPECT_TRUE(rig.usual("after")) << static_cast<int>(act);
  }
}

// The same before the first event: the attempt has failed, and another engine serves.
TEST(SpoiltAnswers, AnEndlessSizeInPlaceOfTheFirstEventGoesElsewhere) {
  Rig rig;
  rig.writer.next(Act::EndlessSizeFirst);
  // One of the first requests meets that engine, and each is served whole.
  for (int k = 0; k < 20 && most_endless_bytes(rig) == 0; ++k)
    EXPECT_TRUE(rig.usual("first" + std::to_string(k)));
  EXPECT_GT(most_endless_bytes(rig), 0u);
  EXPECT_LT(most_endless_bytes(rig), most_taken_bytes);
  EXPECT_TRUE(rig.all_let_go()) << rig.story();
}

}  // namespace
}  // namespace calicograde::node
