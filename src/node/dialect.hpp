#pragma once

#include <memory>

#include "front/dialect.hpp"

namespace calicograde::node {

// How the platform's engines are spoken to (its PROTOCOL page): the client's request as it came, and answers
// passed on as they come.
std::shared_ptr<const front::Dialect> platform_dialect();

}  // namespace calicograde::node
