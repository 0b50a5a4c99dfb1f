#ifndef QUETZALLINE_ADAPTERS_SOCKET_ADDRESS_H_
#define QUETZALLINE_ADAPTERS_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace quetzalline {

/// Parses a TCP address such as 127.0.0.1:7000 or [::1]:7000. Returns nothing
/// if the text is malformed. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    const std::string& text);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_SOCKET_ADDRESS_H_
