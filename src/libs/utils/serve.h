/// \file
/// The life of a serving process after its start: signals until the end.
#pragma once

#include "utils/json.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace coriandertray {

/// What signals do to a serving process.
struct signal_handlers {
  /// On SIGTERM and SIGINT; must stop the io_context in the end.
  std::function<void()> ShutDown;
  /// On SIGUSR1, for the state that is then logged; may be empty.
  std::function<json::object()> Dump;
};

/// Runs \p Context until it is stopped.
void serveUntilStopped(boost::asio::io_context &Context,
                       const signal_handlers &Handlers);

} // namespace coriandertray
