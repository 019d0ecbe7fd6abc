/// \file
/// The error type that all functions of the project return on failure.
#pragma once

#include <tl/expected.hpp>

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace coriandertray {

/// The kind of an error. Each value has a stable name, see errorName().
enum class error_code {
  // Manifests and settings.
  FileUnreadable,
  JsonMalformed,
  FieldMissing,
  FieldUnknown,
  FieldOfWrongType,
  ValueOutOfRange,
  NameDuplicated,
  ReferenceDangling,
  FloorAboveCapacity,
  ValueTooLarge,
  // Platform.
  PlatformUnreachable,
  PlatformRefused,
  ObjectMissing,
  VersionConflict,
  AnswerMalformed,
  // Connections between processes, and HTTP.
  ConnectFailed,
  ConnectionClosed,
  TimedOut,
  FrameMalformed,
  FramingAmbiguous,
  AddressMalformed,
  // Administrative requests and command lines.
  Unauthorized,
  UsageWrong,
};

/// \returns the stable, kebab-case name of \p Code.
[[nodiscard]] std::string_view errorName(error_code Code);

/// An error: its kind, and a message for the person who has to fix it.
struct error {
  error_code Code;
  std::string Detail;
  auto operator<=>(const error &) const = default;
};

/// \returns "name: detail".
[[nodiscard]] std::string toString(const error &Error);

template <typename T> using result = tl::expected<T, error>;

/// \returns an error with \p Code and \p Detail, convertible to any result.
[[nodiscard]] inline tl::unexpected<error> fail(error_code Code,
                                                std::string Detail) {
  return tl::unexpected<error>(error{Code, std::move(Detail)});
}

/// \returns the error of \p Result, or nothing if it holds a value.
template <typename T>
[[nodiscard]] std::optional<error> failureOf(const result<T> &Result) {
  return Result ? std::nullopt : std::optional<error>(Result.error());
}

} // namespace coriandertray
