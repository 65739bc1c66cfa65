// Front nodes whose registry lists far more engines than are in service: a release replaces a large fleet,
// and what is replaced stays listed while it drains.
#include "node_rig.hpp"

namespace calicograde::node {
namespace {

constexpr int draining_engines = 5120;
const std::string nobody_listens = "127.0.0.1:9";

void add_draining_engines(lab::PlatformRegistry& registry) {
  for (int k = 0; k < draining_engines; ++k)
    registry.change("s-old-" + std::to_string(k), nobody_listens, "decode", "Terminating");
}

std::string heard_whole() { return "\"engines\":" + std::to_string(draining_engines + 4) + ",\"whole\":1"; }

// Guards against a front node that refuses to start since the list it had is long.
TEST(LargeFleets, ANodeIsStartedAgainWhileItsFleetIsReplaced) {
  Rig rig;
  add_draining_engines(rig.registry);
  kill(rig.pid, SIGKILL);
  rig.ended();
  rig.write(rig.registry.address(), all_limits);
  rig.start();
  EXPECT_TRUE(rig.usual("after-the-start"));
}

// Guards against a whole list that is passed over for its length: the drains that it tells bind the node.
TEST(LargeFleets, ALongWholeListIsHeardByARunningNode) {
  Rig rig;
  lab::PlatformRegistry other;
  for (auto* e : rig.engines())
    other.change(e->name(), e->address(), e->reader() ? "prefill" : "decode",
                 e == &rig.writer2 ? "Terminating" : "Ready");
  add_draining_engines(other);
  rig.registry.say(other.list());
  EXPECT_TRUE(rig.logged(heard_whole())) << rig.text().substr(0, 4000);
  const int before = rig.hall.count("POST", "/v1/");
  for (int k = 0; k < 4; ++k) EXPECT_TRUE(rig.usual("after-" + std::to_string(k)));
  EXPECT_GT(rig.hall.count("POST", "/v1/"), before);
  for (const auto& asked : rig.hall.all()) EXPECT_FALSE(asked.engine == "s-w2" && asked.method == "POST");
}

}  // namespace
}  // namespace calicograde::node
