#ifndef QUETZALLINE_ADAPTERS_LENIENT_JSON_H_
#define QUETZALLINE_ADAPTERS_LENIENT_JSON_H_

#include <boost/json.hpp>
#include <optional>
#include <string_view>

namespace quetzalline {

/// Parses a list whose elements may have been written by others: a value that
/// the parser does not accept, because it is nested too deeply or its exponent
/// is too long, reads as null, and strings need not be valid UTF-8. One such
/// element thus hides no other. Returns nothing if the text is malformed.
std::optional<boost::json::value> ParseLenientJson(std::string_view text);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_LENIENT_JSON_H_
