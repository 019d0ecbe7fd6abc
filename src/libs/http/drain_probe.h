/// \file
/// Asks a backend server whether it is draining.
#pragma once

#include "http/http_client.h"
#include "utils/address.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace coriandertray {

/// Requests the health endpoint of \p Address. \returns whether the response
/// states that the backend server is draining, or nothing if there is no
/// response. The reported health status is ignored because it can be wrong.
asio::awaitable<std::optional<bool>> probeDraining(http_client &Client,
                                                   socket_address Address);

} // namespace coriandertray
