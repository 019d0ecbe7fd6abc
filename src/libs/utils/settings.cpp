#include "utils/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace coriandertray {

result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return fail(error_code::FileUnreadable, Path + " cannot be opened");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

const json::value *settings_reader::take(std::string_view Key) {
  KnownKeys.emplace_back(Key);
  return Fields.if_contains({Key.data(), Key.size()});
}

void settings_reader::addError(error_code Code, std::string_view Key,
                               std::string_view Message) {
  Errors.push_back(
      {Code, "/" + std::string(Key) + ": " + std::string(Message)});
}

std::string settings_reader::requiredString(std::string_view Key) {
  const json::value *Value = take(Key);
  if (!Value) {
    addError(error_code::FieldMissing, Key,
             "the field is required but missing");
    return {};
  }
  if (!Value->is_string()) {
    addError(error_code::FieldOfWrongType, Key, "expected a string");
    return {};
  }
  return std::string(Value->get_string());
}

std::string settings_reader::optionalString(std::string_view Key,
                                            std::string_view Default) {
  if (!Fields.contains({Key.data(), Key.size()})) {
    KnownKeys.emplace_back(Key);
    return std::string(Default);
  }
  return requiredString(Key);
}

std::int64_t settings_reader::optionalInteger(std::string_view Key,
                                              std::int64_t Default,
                                              std::int64_t Min,
                                              std::int64_t Max) {
  const json::value *Value = take(Key);
  if (!Value)
    return Default;
  if (!Value->is_int64()) {
    addError(error_code::FieldOfWrongType, Key, "expected an integer");
    return Default;
  }
  const std::int64_t Number = Value->get_int64();
  if (Number < Min || Number > Max) {
    addError(error_code::ValueOutOfRange, Key,
             "the value must be in the range [" + std::to_string(Min) + ", " +
                 std::to_string(Max) + "]");
    return Default;
  }
  return Number;
}

double settings_reader::optionalDouble(std::string_view Key, double Default,
                                       double Min, double Max) {
  const json::value *Value = take(Key);
  if (!Value)
    return Default;
  boost::system::error_code Failure;
  const auto Number = Value->to_number<double>(Failure);
  if (Failure) {
    addError(error_code::FieldOfWrongType, Key, "expected a number");
    return Default;
  }
  if (Number < Min || Number > Max) {
    addError(error_code::ValueOutOfRange, Key, "the value is out of range");
    return Default;
  }
  return Number;
}

socket_address settings_reader::requiredAddress(std::string_view Key) {
  const std::string Text = requiredString(Key);
  if (Text.empty())
    return {};
  const result<socket_address> Address = parseAddress(Text);
  if (Address)
    return *Address;
  addError(Address.error().Code, Key, Address.error().Detail);
  return {};
}

std::optional<socket_address>
settings_reader::optionalAddress(std::string_view Key) {
  const std::string Text = optionalString(Key, "");
  if (Text.empty())
    return std::nullopt;
  const result<socket_address> Address = parseAddress(Text);
  if (!Address) {
    addError(error_code::AddressMalformed, Key, Text);
    return std::nullopt;
  }
  return *Address;
}

std::vector<socket_address>
settings_reader::optionalAddresses(std::string_view Key) {
  const json::value *Value = take(Key);
  if (!Value)
    return {};
  if (!Value->is_array()) {
    addError(error_code::FieldOfWrongType, Key, "expected an array");
    return {};
  }
  std::vector<socket_address> Addresses;
  for (const json::value &Element : Value->get_array()) {
    const auto Address = parseAddress(
        Element.is_string() ? std::string(Element.get_string()) : "");
    if (Address)
      Addresses.push_back(*Address);
    else
      addError(Address.error().Code, Key, Address.error().Detail);
  }
  return Addresses;
}

std::vector<error> settings_reader::finish() {
  for (const auto &Field : Fields)
    if (std::ranges::find(KnownKeys, std::string(Field.key())) ==
        KnownKeys.end())
      addError(error_code::FieldUnknown, std::string(Field.key()),
               "unknown field");
  return Errors;
}

result<json::object> readJsonObject(const std::string &Path) {
  const result<std::string> Text = readFile(Path);
  if (!Text)
    return tl::unexpected(Text.error());
  result<json::value> Value = parseJson(*Text);
  if (!Value)
    return tl::unexpected(Value.error());
  if (!Value->is_object())
    return fail(error_code::FieldOfWrongType,
                Path + " does not contain a JSON object");
  return std::move(Value->get_object());
}

result<settings_reader> readSettings(const std::string &Path) {
  result<json::object> Object = readJsonObject(Path);
  if (!Object)
    return tl::unexpected(Object.error());
  return settings_reader(std::move(*Object));
}

} // namespace coriandertray
