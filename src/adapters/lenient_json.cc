#include "adapters/lenient_json.h"

#include <algorithm>
#include <string>

namespace quetzalline {
namespace {

// Longest exponent of a number that the parser is given, in digits.
constexpr std::size_t kMaxExponentDigits = 4;

// Returns the position after the string that begins at `start`.
std::size_t EndOfString(std::string_view text, std::size_t start) {
  std::size_t position = start + 1;
  while (position < text.size() && text[position] != '"') {
    position += text[position] == '\\' ? 2 : 1;
  }
  return std::min(position + 1, text.size());
}

// Returns the position after the array or object that begins at `start`.
std::size_t EndOfNested(std::string_view text, std::size_t start) {
  std::size_t depth = 0;
  std::size_t position = start;
  while (position < text.size()) {
    const char letter = text[position];
    if (letter == '"') {
      position = EndOfString(text, position);
      continue;
    }
    ++position;
    if (letter == '[' || letter == '{') ++depth;
    if ((letter == ']' || letter == '}') && --depth == 0) break;
  }
  return position;
}

bool HasLongExponent(std::string_view number) {
  const std::size_t exponent = number.find_first_of("eE");
  return exponent != std::string_view::npos &&
         number.size() - exponent > kMaxExponentDigits + 2;
}

// Replaces the values that the parser does not accept by null.
std::string ReplaceUnparsable(std::string_view text) {
  const std::size_t max_depth = boost::json::parse_options().max_depth;
  std::string replaced;
  std::size_t depth = 0;
  std::size_t position = 0;
  while (position < text.size()) {
    const char letter = text[position];
    const bool opens = letter == '[' || letter == '{';
    std::size_t end = position + 1;
    bool good = true;
    if (letter == '"') {
      end = EndOfString(text, position);
    } else if (opens && depth == max_depth) {
      end = EndOfNested(text, position);
      good = false;
    } else if (opens) {
      ++depth;
    } else if ((letter == ']' || letter == '}') && depth > 0) {
      --depth;
    } else if (letter == '-' || (letter >= '0' && letter <= '9')) {
      end = std::min(text.find_first_not_of("0123456789+-.eE", position),
                     text.size());
      good = !HasLongExponent(text.substr(position, end - position));
    }
    replaced += good ? text.substr(position, end - position) : "null";
    position = end;
  }
  return replaced;
}

}  // namespace

std::optional<boost::json::value> ParseLenientJson(std::string_view text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (!error) return value;
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  value = boost::json::parse(ReplaceUnparsable(text), error, {}, options);
  if (error) return std::nullopt;
  return value;
}

}  // namespace quetzalline
