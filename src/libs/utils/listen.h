/// \file
/// Opens listening sockets.
#pragma once

#include "utils/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace coriandertray {

using acceptor_pointer = std::shared_ptr<boost::asio::ip::tcp::acceptor>;

/// Opens a socket that listens on \p Address. Fails with AddressMalformed if
/// that is not possible, for example because the port is in use.
[[nodiscard]] result<acceptor_pointer>
openAcceptor(boost::asio::io_context &Context, const socket_address &Address);

} // namespace coriandertray
