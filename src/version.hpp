#pragma once

namespace calicograde {
inline constexpr const char* version = "0.2.0";
}
