#ifndef QUETZALLINE_ADAPTERS_HTTP_CLIENT_H_
#define QUETZALLINE_ADAPTERS_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/http_request.h"
#include "messages/call_result.h"

namespace quetzalline {

class HttpCall;

/// Any idle connection, or a new one if none is idle.
struct AnyConnection {
  friend auto operator<=>(const AnyConnection&, const AnyConnection&) = default;
};

/// A new connection.
struct NewConnection {
  friend auto operator<=>(const NewConnection&, const NewConnection&) = default;
};

/// An idle connection to this incarnation of the server. Without one the call
/// is not sent.
struct ConnectionTo {
  std::int64_t incarnation_ = 0;

  friend auto operator<=>(const ConnectionTo&, const ConnectionTo&) = default;
};

/// The connection that a call uses.
using ConnectionChoice =
    std::variant<AnyConnection, NewConnection, ConnectionTo>;

/// An HTTP/1.1 client of a single server. Connections are reused, except those
/// whose call was abandoned or failed.
///
/// A connection ends with the process that accepted it, so a call on one that
/// is known to lead to an incarnation of the server reaches that incarnation or
/// none.
class HttpClient {
 public:
  using OnEnd = std::function<void(const CallResult&)>;

  HttpClient(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& server);
  ~HttpClient();

  /// Sends a request and returns the id of the call. The result is reported
  /// once, unless the call is abandoned first.
  std::uint64_t Call(const HttpRequest& request, OnEnd on_end,
                     const ConnectionChoice& choice = AnyConnection());
  /// Cancels a call and closes its connection. No result is reported.
  void Abandon(std::uint64_t call);
  /// Closes all idle connections.
  void CloseIdleConnections() { idle_.clear(); }
  /// Closes all idle connections but the one whose last call is given.
  void CloseOtherIdleConnections(std::uint64_t call);
  /// Records which incarnation of the server answered a call, whose connection
  /// has to be idle since. Does nothing if the connection has been closed.
  void Identify(std::uint64_t call, std::int64_t incarnation);
  /// Returns the number of usable idle connections to an incarnation.
  std::size_t CountIdleConnections(std::int64_t incarnation);

 private:
  friend class HttpCall;
  using Socket = boost::asio::ip::tcp::socket;

  struct IdleConnection {
    Socket socket_;
    /// The last call on the connection.
    std::uint64_t call_ = 0;
    /// The incarnation of the server that it leads to; 0 if unknown.
    std::int64_t incarnation_ = 0;
  };

  static constexpr std::size_t kMaxIdleConnections = 64;

  /// Removes and returns the idle connection that a call is to use, if there is
  /// one.
  std::optional<IdleConnection> TakeIdleConnection(
      const ConnectionChoice& choice);
  /// Adds a connection to the idle ones, or closes it if there are too many.
  void ReturnConnection(IdleConnection connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::vector<IdleConnection> idle_;
  std::map<std::uint64_t, std::shared_ptr<HttpCall>> calls_;
  std::uint64_t last_call_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_CLIENT_H_
