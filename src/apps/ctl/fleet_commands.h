/// \file
/// Commands on running processes: dump, status, explain and drain.
#pragma once

#include "utils/address.h"
#include "utils/process.h"

#include <string>
#include <vector>

namespace coriandertray {

/// Prints the state dump of the process whose admin endpoint is \p Admin.
exit_code dumpProcess(const socket_address &Admin);

/// Prints one row for each process and, below a proxy, one for each service.
exit_code printStatus(const std::vector<socket_address> &Admins);

/// Prints the verdict changes in the history of an agent, restricted to
/// \p Service unless it is empty.
exit_code explainService(const socket_address &Admin,
                         const std::string &Service);

/// Asks a process to leave the fleet gracefully. \p Token is its admin token.
exit_code leaveProcess(const socket_address &Admin, const std::string &Token);

} // namespace coriandertray
