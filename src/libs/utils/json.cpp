#include "utils/json.h"

namespace coriandertray {

namespace {

void appendPretty(const json::value &Value, std::string &Out,
                  std::size_t Depth) {
  const std::string Indent((Depth + 1) * 2, ' ');
  const std::string CloseIndent(Depth * 2, ' ');
  if (Value.is_object() && !Value.get_object().empty()) {
    const char *Separator = "{\n";
    for (const auto &[Key, Member] : Value.get_object()) {
      Out += Separator + Indent + json::serialize(json::value(Key)) + ": ";
      appendPretty(Member, Out, Depth + 1);
      Separator = ",\n";
    }
    Out += "\n" + CloseIndent + "}";
    return;
  }
  if (Value.is_array() && !Value.get_array().empty()) {
    const char *Separator = "[\n";
    for (const json::value &Element : Value.get_array()) {
      Out += Separator + Indent;
      appendPretty(Element, Out, Depth + 1);
      Separator = ",\n";
    }
    Out += "\n" + CloseIndent + "]";
    return;
  }
  Out += json::serialize(Value);
}

} // namespace

result<json::value> parseJson(std::string_view Text) {
  boost::system::error_code Failure;
  json::value Value = json::parse({Text.data(), Text.size()}, Failure);
  if (Failure)
    return fail(error_code::JsonMalformed, Failure.message());
  return Value;
}

std::string toPrettyJson(const json::value &Value) {
  std::string Out;
  appendPretty(Value, Out, 0);
  return Out + "\n";
}

std::string stringAt(const json::object &Object, std::string_view Key,
                     std::string_view Default) {
  const json::value *Value = Object.if_contains({Key.data(), Key.size()});
  if (!Value || !Value->is_string())
    return std::string(Default);
  const json::string &Text = Value->get_string();
  return {Text.data(), Text.size()};
}

double numberAt(const json::object &Object, std::string_view Key,
                double Default) {
  const json::value *Value = Object.if_contains({Key.data(), Key.size()});
  if (!Value || !Value->is_number())
    return Default;
  return Value->to_number<double>();
}

bool boolAt(const json::object &Object, std::string_view Key, bool Default) {
  const json::value *Value = Object.if_contains({Key.data(), Key.size()});
  if (!Value || !Value->is_bool())
    return Default;
  return Value->get_bool();
}

} // namespace coriandertray
