#include "utils/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace coriandertray {

result<socket_address> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(error_code::AddressMalformed,
                std::string(Text) + " is not an address of the form IP:PORT");
  const std::string Ip(Text.substr(0, Colon));
  const std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Failure] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  boost::system::error_code IpFailure;
  boost::asio::ip::make_address(Ip, IpFailure);
  const bool PortInvalid =
      Failure != std::errc() || End != Digits.data() + Digits.size();
  if (IpFailure || PortInvalid || Port == 0)
    return fail(error_code::AddressMalformed,
                std::string(Text) + " is not an address of the form IP:PORT");
  return socket_address{Ip, Port};
}

std::string toString(const socket_address &Address) {
  return Address.Ip + ":" + std::to_string(Address.Port);
}

} // namespace coriandertray
