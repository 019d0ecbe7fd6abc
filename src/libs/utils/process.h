/// \file
/// Exit codes and start-up functions for the main() of all programs.
#pragma once

#include "utils/error.h"
#include "utils/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// Exit codes of all programs, documented in docs/OPERATIONS.md.
enum class exit_code : int {
  Success = 0,
  Failure = 1,
  UsageWrong = 2,
  InputInvalid = 3,
  PlatformUnreachable = 4,
  Conflict = 5,
};

/// Sets the usage text and the version, and parses the command line with
/// gflags. Removes the flags from \p Arguments and updates \p ArgumentCount.
void parseCommandLine(int &ArgumentCount, char **&Arguments,
                      const std::string &Usage);

/// Opens the settings file at \p Path. On failure, writes the error to standard
/// error and returns nothing.
[[nodiscard]] std::optional<settings_reader>
loadSettings(const std::string &Path);

/// Writes \p Errors to standard error. \returns whether \p Errors is empty.
[[nodiscard]] bool printErrors(const std::vector<error> &Errors);

} // namespace coriandertray
