#pragma once

#include <memory>

#include "front/server.hpp"
#include "front/tool_calls.hpp"
#include "messages/call.hpp"

namespace calicograde::front {

// The first front: the messages API on /v1/messages and /v1/messages/count_tokens. `calls` makes the calls of
// tools that a route's settings relay; null where there are no tool servers.
std::unique_ptr<Protocol> messages_front(Core& core, std::shared_ptr<ToolCalls> calls = nullptr);

}  // namespace calicograde::front
