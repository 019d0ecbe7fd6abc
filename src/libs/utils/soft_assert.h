/// \file
/// Assertions that log and let the caller recover.
#pragma once

#include <source_location>
#include <string_view>

namespace coriandertray {

/// Logs an error naming the place when \p Condition is false.
/// \returns \p Condition, so that the caller can take its recovery path.
bool softAssert(
    bool Condition, std::string_view Message,
    std::source_location Location = std::source_location::current());

} // namespace coriandertray
