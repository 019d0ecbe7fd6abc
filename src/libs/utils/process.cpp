#include "utils/process.h"

#include <gflags/gflags.h>

#include <iostream>

namespace coriandertray {

void parseCommandLine(int &ArgumentCount, char **&Arguments,
                      const std::string &Usage) {
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString(CORIANDERTRAY_VERSION);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
}

std::optional<settings_reader> loadSettings(const std::string &Path) {
  result<settings_reader> Settings = readSettings(Path);
  if (Settings)
    return std::move(*Settings);
  std::cerr << Path << ": " << toString(Settings.error()) << "\n";
  return std::nullopt;
}

bool printErrors(const std::vector<error> &Errors) {
  for (const error &Error : Errors)
    std::cerr << toString(Error) << "\n";
  return Errors.empty();
}

} // namespace coriandertray
