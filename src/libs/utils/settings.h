/// \file
/// Reading a process's JSON settings file, with every fault reported at once.
#pragma once

#include "utils/address.h"
#include "utils/error.h"
#include "utils/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// Reads the file at \p Path whole. Fails with FileUnreadable.
[[nodiscard]] result<std::string> readFile(const std::string &Path);

/// Reads the JSON object in the file at \p Path. Fails with FileUnreadable,
/// JsonMalformed or FieldOfWrongType.
[[nodiscard]] result<json::object> readJsonObject(const std::string &Path);

/// Takes fields out of a settings object one by one and collects the faults.
/// Not thread-safe.
class settings_reader {
public:
  explicit settings_reader(json::object Object) : Fields(std::move(Object)) {}

  /// Takes the text under \p Key; a missing one is a fault.
  [[nodiscard]] std::string requiredString(std::string_view Key);
  /// Takes the text under \p Key, or \p Default.
  [[nodiscard]] std::string optionalString(std::string_view Key,
                                           std::string_view Default);
  /// Takes the whole number under \p Key in [\p Min, \p Max], or \p Default.
  [[nodiscard]] std::int64_t optionalInteger(std::string_view Key,
                                             std::int64_t Default,
                                             std::int64_t Min,
                                             std::int64_t Max);
  /// Takes the number under \p Key in [\p Min, \p Max], or \p Default.
  [[nodiscard]] double optionalDouble(std::string_view Key, double Default,
                                      double Min, double Max);
  /// Takes the address under \p Key; a missing one is a fault.
  [[nodiscard]] socket_address requiredAddress(std::string_view Key);
  /// Takes the address under \p Key; absent means nothing.
  [[nodiscard]] std::optional<socket_address>
  optionalAddress(std::string_view Key);
  /// Takes the addresses in the array under \p Key; absent means none.
  [[nodiscard]] std::vector<socket_address>
  optionalAddresses(std::string_view Key);

  /// \returns every fault so far, an unknown field left over being one.
  [[nodiscard]] std::vector<error> finish();

private:
  const json::value *take(std::string_view Key);
  void addError(error_code Code, std::string_view Key,
                std::string_view Message);

  json::object Fields;
  std::vector<std::string> KnownKeys;
  std::vector<error> Errors;
};

/// Reads the settings object in the file at \p Path.
[[nodiscard]] result<settings_reader> readSettings(const std::string &Path);

} // namespace coriandertray
