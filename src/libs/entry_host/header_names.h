/// \file
/// The names of the headers that hosts, callers and backend servers exchange.
#pragma once

#include <string>

namespace coriandertray {

struct header_names {
  /// Names one attempt of a caller; backend servers repeat it.
  std::string RequestId;
  /// How many milliseconds the sender still waits.
  std::string DeadlineMs;
  /// Marks a backend server's own answer.
  std::string Signature;
  /// The only backend server that may run the request.
  std::string TargetBackend;
  /// Running requests, waiting requests and slots of the answering server.
  std::string Load;
  /// Present on an answer to a request that was not run.
  std::string NotRun;
  bool operator==(const header_names &) const = default;
};

} // namespace coriandertray
