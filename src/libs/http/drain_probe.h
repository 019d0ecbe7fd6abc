/// \file
/// Asks a backend server whether it is draining.
#pragma once

#include "utils/address.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>

namespace coriandertray {

namespace asio = boost::asio;

/// Requests the health endpoint of \p Address over a connection of its own, as
/// the response bears no id. \returns whether the response
/// states that the backend server is draining, or nothing if there is no
/// response. The reported health status is ignored because it can be wrong.
asio::awaitable<std::optional<bool>> probeDraining(asio::io_context &Context,
                                                   socket_address Address);

} // namespace coriandertray
