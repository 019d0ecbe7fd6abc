/// \file
/// The main loop of a server process, with its signal handling.
#pragma once

#include "utils/json.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace coriandertray {

/// Handlers for the signals to a server process.
struct signal_handlers {
  /// Called once, on the first SIGTERM or SIGINT. Must eventually stop the
  /// io_context.
  std::function<void()> ShutDown;
  /// Called on SIGUSR1. The returned object is logged as the "state" event. May
  /// be empty, then SIGUSR1 is not handled.
  std::function<json::object()> Dump;
};

/// Runs \p Context until it is stopped, calling \p Handlers on signals.
void serveUntilStopped(boost::asio::io_context &Context,
                       const signal_handlers &Handlers);

} // namespace coriandertray
