#include "utils/listen.h"

namespace coriandertray {

namespace asio = boost::asio;

result<acceptor_pointer> openAcceptor(asio::io_context &Context,
                                      const socket_address &Address) {
  auto Acceptor = std::make_shared<asio::ip::tcp::acceptor>(Context);
  const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address(Address.Ip),
                                         Address.Port);
  boost::system::error_code Failure;
  Acceptor->open(Endpoint.protocol(), Failure);
  Acceptor->set_option(asio::socket_base::reuse_address(true), Failure);
  Acceptor->bind(Endpoint, Failure);
  if (!Failure)
    Acceptor->listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return fail(error_code::AddressMalformed, "cannot listen on " +
                                                  toString(Address) + ": " +
                                                  Failure.message());
  return Acceptor;
}

} // namespace coriandertray
