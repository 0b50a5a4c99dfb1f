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

/// An HTTP/1.1 client of one server. Connections are kept for reuse, except
/// those whose exchange was given up or did not end cleanly.
class HttpClient {
 public:
  using OnEnd = std::function<void(const CallResult&)>;

  HttpClient(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& server);
  ~HttpClient();

  /// Sends a request. How it ended is told once, unless it is abandoned first.
  std::uint64_t Call(const HttpRequest& request, OnEnd on_end);
  /// Gives up a call and closes its connection.
  void Abandon(std::uint64_t call);
  /// Closes the connections that no exchange uses.
  void DropIdle() { idle_.clear(); }

 private:
  friend class HttpCall;
  using Socket = boost::asio::ip::tcp::socket;

  static constexpr std::size_t kMaxIdle = 64;

  /// An idle connection that still stands, if there is one.
  std::optional<Socket> TakeIdle();
  void Keep(Socket socket);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::vector<Socket> idle_;
  std::map<std::uint64_t, std::shared_ptr<HttpCall>> calls_;
  std::uint64_t last_call_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_CLIENT_H_
