/// \file
/// What the mains of all programs share: exit codes and start-up.
#pragma once

#include "utils/error.h"
#include "utils/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// Exit codes of every program, documented in docs/OPERATIONS.md.
enum class exit_code : int {
  Success = 0,
  Failure = 1,
  UsageWrong = 2,
  InputInvalid = 3,
  PlatformUnreachable = 4,
  Conflict = 5,
};

/// Parses the command line with gflags, setting \p Usage and the version.
void parseCommandLine(int &ArgumentCount, char **&Arguments,
                      const std::string &Usage);

/// Reads the settings at \p Path, writing why it failed to standard error.
[[nodiscard]] std::optional<settings_reader>
loadSettings(const std::string &Path);

/// Writes \p Errors to standard error. \returns whether there are none.
[[nodiscard]] bool printErrors(const std::vector<error> &Errors);

} // namespace coriandertray
