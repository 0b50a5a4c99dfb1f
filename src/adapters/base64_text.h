#ifndef QUETZALLINE_ADAPTERS_BASE64_TEXT_H_
#define QUETZALLINE_ADAPTERS_BASE64_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace quetzalline {

/// Encodes bytes as standard base64 with padding.
std::string EncodeBase64(std::string_view bytes);
/// Decodes such a text. Returns nothing if it is malformed.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_BASE64_TEXT_H_
