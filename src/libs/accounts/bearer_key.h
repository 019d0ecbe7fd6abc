/// \file
/// Reads the API key of a request from its headers (RFC 6750, section 2.1).
#pragma once

#include "http/http_message.h"

#include <string>
#include <string_view>

namespace coriandertray {

enum class bearer_status {
  /// There is no Authorization header.
  None,
  /// The header does not consist of the scheme Bearer and one printable token.
  Malformed,
  /// There is more than one Authorization header.
  Doubled,
  Present,
};

/// What the headers of a request say about its key. Holds the key: neither
/// logged nor dumped.
struct bearer_key {
  bearer_status Status = bearer_status::None;
  /// Empty unless Status is Present.
  std::string Key;
  bool operator==(const bearer_key &) const = default;
};

/// Reads the key from \p Headers. The names of headers and of the scheme are
/// case-insensitive, the key is not. Thread-safe.
[[nodiscard]] bearer_key readBearerKey(const http_headers &Headers);

/// \returns whether \p Text may be used as a key: it is not empty and all its
/// characters are printable ASCII ones other than the space.
[[nodiscard]] bool isKeyToken(std::string_view Text);

} // namespace coriandertray
