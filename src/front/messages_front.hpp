#pragma once

#include <memory>
#include <string>

#include "front/server.hpp"
#include "messages/call.hpp"

namespace calicograde::front {

// The messages API: POST /v1/messages and POST /v1/messages/count_tokens.
std::unique_ptr<Protocol> messages_front(Core& core);

}  // namespace calicograde::front
