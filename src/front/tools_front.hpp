#pragma once

#include <memory>

#include "front/server.hpp"
#include "front/tool_calls.hpp"

namespace calicograde::front {

// The second front: the Model Context Protocol over streamable HTTP (revision 2025-06-18), relayed to the
// tool servers of the settings. Which server takes a call, and whether it goes again, is tools::ToolDesk's to
// say.
std::unique_ptr<Protocol> tools_front(Core& core, std::shared_ptr<ToolCalls> calls);

}  // namespace calicograde::front
