#ifndef QUETZALLINE_ADAPTERS_LISTEN_H_
#define QUETZALLINE_ADAPTERS_LISTEN_H_

#include <boost/asio/ip/tcp.hpp>

namespace quetzalline {

/// Opens the acceptor, binds it to the address and starts listening. Logs the
/// error and returns false if this fails.
bool ListenOn(boost::asio::ip::tcp::acceptor& acceptor,
              const boost::asio::ip::tcp::endpoint& address);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_LISTEN_H_
