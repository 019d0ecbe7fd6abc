#include "utils/error.h"

namespace coriandertray {

std::string_view errorName(error_code Code) {
  switch (Code) {
  case error_code::FileUnreadable:
    return "file-unreadable";
  case error_code::JsonMalformed:
    return "json-malformed";
  case error_code::FieldMissing:
    return "field-missing";
  case error_code::FieldUnknown:
    return "field-unknown";
  case error_code::FieldOfWrongType:
    return "field-of-wrong-type";
  case error_code::ValueOutOfRange:
    return "value-out-of-range";
  case error_code::NameDuplicated:
    return "name-duplicated";
  case error_code::ReferenceDangling:
    return "reference-dangling";
  case error_code::FloorAboveCapacity:
    return "floor-above-capacity";
  case error_code::ValueTooLarge:
    return "value-too-large";
  case error_code::PlatformUnreachable:
    return "platform-unreachable";
  case error_code::PlatformRefused:
    return "platform-refused";
  case error_code::ObjectMissing:
    return "object-missing";
  case error_code::VersionConflict:
    return "version-conflict";
  case error_code::AnswerMalformed:
    return "answer-malformed";
  case error_code::ConnectFailed:
    return "connect-failed";
  case error_code::ConnectionClosed:
    return "connection-closed";
  case error_code::TimedOut:
    return "timed-out";
  case error_code::FrameMalformed:
    return "frame-malformed";
  case error_code::FramingAmbiguous:
    return "framing-ambiguous";
  case error_code::AddressMalformed:
    return "address-malformed";
  case error_code::Unauthorized:
    return "unauthorized";
  case error_code::UsageWrong:
    return "usage-wrong";
  }
  return "unknown";
}

std::string toString(const error &Error) {
  return std::string(errorName(Error.Code)) + ": " + Error.Detail;
}

} // namespace coriandertray
