#include "utils/serve.h"

#include "utils/log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace coriandertray {

namespace {

void waitForDumpSignal(boost::asio::signal_set &Signals,
                       const std::function<json::object()> &Dump) {
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (Failure)
      return;
    logEvent(log_level::Info, "state", Dump());
    flushLog();
    waitForDumpSignal(Signals, Dump);
  });
}

} // namespace

void serveUntilStopped(boost::asio::io_context &Context,
                       const signal_handlers &Handlers) {
  boost::asio::signal_set ShutdownSignals(Context, SIGTERM, SIGINT);
  ShutdownSignals.async_wait(
      [&Handlers](boost::system::error_code Failure, int) {
        if (!Failure)
          Handlers.ShutDown();
      });
  boost::asio::signal_set DumpSignals(Context);
  if (Handlers.Dump) {
    DumpSignals.add(SIGUSR1);
    waitForDumpSignal(DumpSignals, Handlers.Dump);
  }
  Context.run();
  flushLog();
}

} // namespace coriandertray
