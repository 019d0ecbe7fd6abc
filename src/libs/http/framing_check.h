/// \file
/// Rejects requests whose body length two HTTP parsers could read differently,
/// which would allow request smuggling.
#pragma once

#include "http/http_message.h"
#include "utils/error.h"

namespace coriandertray {

/// Checks the framing headers of a request (RFC 9112, section 6.3). Fails with
/// FramingAmbiguous if there is more than one Content-Length or
/// Transfer-Encoding header, or one of each; if Content-Length is not a decimal
/// number; if Transfer-Encoding is anything other than "chunked"; or if a
/// header name is empty or a name or value contains a control character.
[[nodiscard]] result<void> checkFraming(const http_headers &Headers);

} // namespace coriandertray
