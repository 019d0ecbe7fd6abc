/// \file
/// The address of a process: IP address and TCP port.
#pragma once

#include "utils/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace coriandertray {

/// An IP address and port.
struct socket_address {
  std::string Ip;
  std::uint16_t Port = 0;
  auto operator<=>(const socket_address &) const = default;
};

/// Parses "IP:PORT", with a port from 1 to 65535. Fails with AddressMalformed.
[[nodiscard]] result<socket_address> parseAddress(std::string_view Text);

/// \returns "IP:PORT".
[[nodiscard]] std::string toString(const socket_address &Address);

} // namespace coriandertray
