/// \file
/// Helper functions for Boost.JSON.
#pragma once

#include "utils/error.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace coriandertray {

namespace json = boost::json;

/// Parses \p Text. Fails with JsonMalformed.
[[nodiscard]] result<json::value> parseJson(std::string_view Text);

/// \returns \p Value as text, indented by two spaces per level, with a newline
/// at the end.
[[nodiscard]] std::string toPrettyJson(const json::value &Value);

/// \returns the string at \p Key, or \p Default if there is no string.
[[nodiscard]] std::string stringAt(const json::object &Object,
                                   std::string_view Key,
                                   std::string_view Default = {});

/// \returns the number at \p Key, or \p Default if there is no number.
[[nodiscard]] double numberAt(const json::object &Object, std::string_view Key,
                              double Default = 0);

/// \returns the Boolean at \p Key, or \p Default if there is no Boolean.
[[nodiscard]] bool boolAt(const json::object &Object, std::string_view Key,
                          bool Default = false);

} // namespace coriandertray
