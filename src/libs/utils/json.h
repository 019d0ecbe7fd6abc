/// \file
/// Small helpers over Boost.JSON.
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

/// \returns \p Value indented by two spaces a level, with a closing newline.
[[nodiscard]] std::string toPrettyJson(const json::value &Value);

/// \returns the text under \p Key, or \p Default if absent or no string.
[[nodiscard]] std::string stringAt(const json::object &Object,
                                   std::string_view Key,
                                   std::string_view Default = {});

/// \returns the number under \p Key, or \p Default if absent or no number.
[[nodiscard]] double numberAt(const json::object &Object, std::string_view Key,
                              double Default = 0);

/// \returns the truth value under \p Key, or \p Default if absent.
[[nodiscard]] bool boolAt(const json::object &Object, std::string_view Key,
                          bool Default = false);

} // namespace coriandertray
