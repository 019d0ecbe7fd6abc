/// \file
/// Parses JSON texts that contain values of other writers, some of which may be
/// unreadable.
#pragma once

#include "utils/error.h"
#include "utils/json.h"

#include <string_view>

namespace coriandertray {

/// Parses \p Text as parseJson() does, but replaces values that can't be parsed
/// by null if they are at most \p MaxDepth levels below the top. The values
/// beside them are kept. Fails with JsonMalformed if the braces, brackets or
/// quotes of \p Text are not balanced.
///
/// A value can't be parsed if it is nested too deeply, contains a number out of
/// range or an invalid escape, or is no JSON. Strings need not be valid UTF-8.
[[nodiscard]] result<json::value> parseJsonLeniently(std::string_view Text,
                                                     int MaxDepth);

} // namespace coriandertray
