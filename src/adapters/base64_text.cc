#include "adapters/base64_text.h"

#include <boost/beast/core/detail/base64.hpp>

namespace quetzalline {

namespace base64 = boost::beast::detail::base64;

std::string EncodeBase64(std::string_view bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  // The buffer is large enough for whole groups only.
  constexpr std::size_t kGroup = 4;
  constexpr std::size_t kMaxPadding = 2;
  if (text.size() % kGroup != 0) return std::nullopt;
  std::size_t letters = text.size();
  while (letters > 0 && text.size() - letters < kMaxPadding &&
         text[letters - 1] == '=') {
    --letters;
  }
  std::string bytes(base64::decoded_size(text.size()), '\0');
  const auto [written, read] =
      base64::decode(bytes.data(), text.data(), text.size());
  if (read != letters) return std::nullopt;
  bytes.resize(written);
  return bytes;
}

}  // namespace quetzalline
