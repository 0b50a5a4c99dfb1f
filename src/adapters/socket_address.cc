#include "adapters/socket_address.h"

#include <charconv>
#include <cstdint>

namespace quetzalline {
std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  std::string host = text.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(host, address_error);
  if (address_error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace quetzalline
