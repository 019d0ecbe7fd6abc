/// \file
/// Reads the JSON settings file of a process and reports all errors in it at
/// once.
#pragma once

#include "utils/address.h"
#include "utils/error.h"
#include "utils/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// \returns the contents of the file at \p Path. Fails with FileUnreadable.
[[nodiscard]] result<std::string> readFile(const std::string &Path);

/// Reads the JSON object in the file at \p Path. Fails with FileUnreadable,
/// JsonMalformed or FieldOfWrongType.
[[nodiscard]] result<json::object> readJsonObject(const std::string &Path);

/// Reads the fields of a settings object by key and collects the errors. A
/// number with an error reads as its default, any other field with an error as
/// an empty value. Not thread-safe.
class settings_reader {
public:
  explicit settings_reader(json::object Object) : Fields(std::move(Object)) {}

  /// \returns the string at \p Key; it is an error if there is none.
  [[nodiscard]] std::string requiredString(std::string_view Key);
  /// \returns the string at \p Key, or \p Default if the field is absent.
  [[nodiscard]] std::string optionalString(std::string_view Key,
                                           std::string_view Default);
  /// \returns the integer at \p Key, or \p Default if the field is absent. It
  /// is an error if the integer is not in [\p Min, \p Max].
  [[nodiscard]] std::int64_t optionalInteger(std::string_view Key,
                                             std::int64_t Default,
                                             std::int64_t Min,
                                             std::int64_t Max);
  /// Like optionalInteger(), for a floating-point number.
  [[nodiscard]] double optionalDouble(std::string_view Key, double Default,
                                      double Min, double Max);
  /// \returns the address at \p Key; it is an error if there is none.
  [[nodiscard]] socket_address requiredAddress(std::string_view Key);
  /// \returns the address at \p Key, or nothing if the field is absent.
  [[nodiscard]] std::optional<socket_address>
  optionalAddress(std::string_view Key);
  /// \returns the addresses in the array at \p Key, or none if the field is
  /// absent.
  [[nodiscard]] std::vector<socket_address>
  optionalAddresses(std::string_view Key);

  /// Ends the reading. \returns all errors, including one for each field of the
  /// settings object that was not read.
  [[nodiscard]] std::vector<error> finish();

private:
  const json::value *take(std::string_view Key);
  void addError(error_code Code, std::string_view Key,
                std::string_view Message);

  json::object Fields;
  std::vector<std::string> KnownKeys;
  std::vector<error> Errors;
};

/// \returns a reader for the JSON object in the file at \p Path. Fails like
/// readJsonObject().
[[nodiscard]] result<settings_reader> readSettings(const std::string &Path);

} // namespace coriandertray
