#include "utils/soft_assert.h"

#include "utils/log.h"

namespace coriandertray {

bool softAssert(bool Condition, std::string_view Message,
                std::source_location Location) {
  if (!Condition)
    logEvent(log_level::Error, "soft-assert-failed",
             {{"what", json::string(Message.data(), Message.size())},
              {"function", Location.function_name()},
              {"line", Location.line()}});
  return Condition;
}

} // namespace coriandertray
