#ifndef QUETZALLINE_ADAPTERS_HTTP_CLIENT_H_
#define QUETZALLINE_ADAPTERS_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/http_request.h"
#include "messages/call_result.h"

namespace quetzalline {

class HttpCall;

/// An HTTP/1.1 client of a single server. Connections are reused, except those
/// whose call was abandoned or failed.
class HttpClient {
 public:
  using OnEnd = std::function<void(const CallResult&)>;

  HttpClient(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& server);
  ~HttpClient();

  /// Sends a request and returns the id of the call. The result is reported
  /// once, unless the call is abandoned first.
  std::uint64_t Call(const HttpRequest& request, OnEnd on_end);
  /// Cancels a call and closes its connection. No result is reported.
  void Abandon(std::uint64_t call);
  /// Closes all idle connections.
  void CloseIdleConnections() { idle_.clear(); }

 private:
  friend class HttpCall;
  using Socket = boost::asio::ip::tcp::socket;

  static constexpr std::size_t kMaxIdleConnections = 64;

  /// Removes and returns an idle connection that is still usable, if any.
  std::optional<Socket> TakeIdleConnection();
  /// Adds a connection to the idle ones, or closes it if there are too many.
  void ReturnConnection(Socket socket);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::vector<Socket> idle_;
  std::map<std::uint64_t, std::shared_ptr<HttpCall>> calls_;
  std::uint64_t last_call_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_CLIENT_H_
