/// \file
/// Assertions that log a failure instead of ending the process.
#pragma once

#include <source_location>
#include <string_view>

namespace coriandertray {

/// Logs an error with \p Message and \p Location if \p Condition is false.
/// \returns \p Condition, so that the caller can recover.
bool softAssert(
    bool Condition, std::string_view Message,
    std::source_location Location = std::source_location::current());

} // namespace coriandertray
