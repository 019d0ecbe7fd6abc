/// \file
/// Structured logging: one JSON object per line on standard output. Writing
/// never blocks and the volume is limited. Lines that exceed the rate limit, or
/// that do not fit in the buffer because standard output is read too slowly,
/// are dropped; a log-lines-dropped event reports their number.
#pragma once

#include "utils/json.h"

#include <string_view>

namespace coriandertray {

enum class log_level { Debug, Info, Warning, Error };

/// Prepares logging for the process named \p Program on host \p Host; lines
/// below \p MinLevel are dropped. Call once, before the first logEvent().
void startLogging(std::string_view Program, std::string_view Host,
                  log_level MinLevel);

/// \returns the level called \p Name, or Info.
[[nodiscard]] log_level parseLogLevel(std::string_view Name);

/// Writes one line: time, level, program, host, \p Event and \p Fields. Lines
/// may stay in a buffer until flushLog(). Thread-safe.
void logEvent(log_level Level, std::string_view Event,
              const json::object &Fields = {});

/// Writes what is buffered, as far as that doesn't block. Thread-safe.
void flushLog();

} // namespace coriandertray
