#include "adapters/consul_codec.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <memory>

#include "adapters/base64_text.h"

namespace quetzalline {
namespace json = boost::json;

namespace {

std::optional<json::value> ParseJson(const std::string& body) {
  json::error_code error;
  json::value value = json::parse(body, error);
  if (error) return std::nullopt;
  return value;
}

// Returns a member that is an object, or null if there is none.
const json::object* ObjectMember(const json::value* value,
                                 std::string_view key) {
  if (value == nullptr || !value->is_object()) return nullptr;
  const json::value* member = value->get_object().if_contains(key);
  return member == nullptr ? nullptr : member->if_object();
}

// Returns the first element of an array member, or null if there is none.
const json::value* FirstElement(const json::value& value,
                                std::string_view key) {
  const json::object* object = value.if_object();
  const json::value* member =
      object == nullptr ? nullptr : object->if_contains(key);
  const json::array* array = member == nullptr ? nullptr : member->if_array();
  return array == nullptr || array->empty() ? nullptr : &array->front();
}

// Returns a string member, or an empty string if there is none.
std::string StringMember(const json::object& object, std::string_view key) {
  const json::value* member = object.if_contains(key);
  if (member == nullptr || !member->is_string()) return {};
  return std::string(member->get_string());
}

// Returns an integer member, or zero if there is none.
std::int64_t IntegerMember(const json::object& object, std::string_view key) {
  const json::value* member = object.if_contains(key);
  json::error_code error;
  if (member == nullptr || !member->is_number()) return 0;
  return member->to_number<std::int64_t>(error);
}

}  // namespace

std::string EncodeConsulTransaction(const std::string& key,
                                    const std::string& value,
                                    std::int64_t expected) {
  const json::object operation{{"Verb", "cas"},
                               {"Key", key},
                               {"Value", EncodeBase64(value)},
                               {"Index", expected}};
  return json::serialize(json::array{json::object{{"KV", operation}}});
}

std::optional<ConsulWrite> ParseConsulTransaction(const std::string& body) {
  const std::optional<json::value> parsed = ParseJson(body);
  if (!parsed || !parsed->is_array() || parsed->get_array().size() != 1) {
    return std::nullopt;
  }
  const json::object* operation =
      ObjectMember(&parsed->get_array().front(), "KV");
  if (operation == nullptr || StringMember(*operation, "Verb") != "cas") {
    return std::nullopt;
  }
  return ConsulWrite{
      StringMember(*operation, "Key"),
      DecodeBase64(StringMember(*operation, "Value")).value_or(""),
      IntegerMember(*operation, "Index")};
}

std::string EncodeConsulTransactionAnswer(const std::string& key,
                                          std::int64_t index) {
  const json::object written{{"Key", key}, {"ModifyIndex", index}};
  const json::object answer{
      {"Results", json::array{json::object{{"KV", written}}}},
      {"Errors", nullptr}};
  return json::serialize(answer);
}

std::optional<std::int64_t> ParseConsulWrittenIndex(const std::string& body) {
  const std::optional<json::value> parsed = ParseJson(body);
  if (!parsed) return std::nullopt;
  const json::object* written =
      ObjectMember(FirstElement(*parsed, "Results"), "KV");
  if (written == nullptr) return std::nullopt;
  const std::int64_t index = IntegerMember(*written, "ModifyIndex");
  if (index <= 0) return std::nullopt;
  return index;
}

std::string EncodeConsulValues(const std::vector<StoredValue>& values) {
  json::array array;
  for (const StoredValue& value : values) {
    array.push_back(json::object{{"Key", value.key()},
                                 {"Value", EncodeBase64(value.value())},
                                 {"ModifyIndex", value.index()}});
  }
  return json::serialize(array);
}

std::optional<std::vector<StoredValue>> ParseConsulValues(
    const std::string& body) {
  const std::optional<json::value> parsed = ParseJson(body);
  if (!parsed || !parsed->is_array()) return std::nullopt;
  std::vector<StoredValue> values;
  for (const json::value& element : parsed->get_array()) {
    const json::object* object = element.if_object();
    if (object == nullptr) return std::nullopt;
    values.push_back(
        StoredValue::Builder()
            .key(StringMember(*object, "Key"))
            .value(DecodeBase64(StringMember(*object, "Value")).value_or(""))
            .index(IntegerMember(*object, "ModifyIndex"))
            .Build());
  }
  return values;
}

std::optional<std::int64_t> ParseConsulIndex(const HttpResponse& response) {
  for (const Header& header : response.headers()) {
    if (!boost::beast::iequals(header.name(), "X-Consul-Index")) continue;
    std::int64_t index = 0;
    const std::string& text = header.value();
    const char* end = text.data() + text.size();
    if (std::from_chars(text.data(), end, index).ptr == end) return index;
  }
  return std::nullopt;
}

}  // namespace quetzalline
