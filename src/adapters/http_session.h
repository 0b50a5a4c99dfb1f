#ifndef QUETZALLINE_ADAPTERS_HTTP_SESSION_H_
#define QUETZALLINE_ADAPTERS_HTTP_SESSION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "adapters/http_server.h"

namespace quetzalline {

/// A connection of an HttpServer, which handles one exchange at a time.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket, HttpServer& server);

  void Start() { Read(); }
  /// Sends the response of the exchange with this number. Does nothing if that
  /// exchange has ended.
  void Respond(std::uint64_t number, const HttpResponse& response);
  /// Sets a callback that runs if the client disconnects during the exchange
  /// with this number.
  void SetOnDisconnect(std::uint64_t number,
                       std::function<void()> on_disconnect);
  void Close();
  /// Closes the connection at once if it is idle, otherwise after the response
  /// of the current exchange.
  void CloseWhenIdle();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  void Read();
  void AfterRead(const boost::system::error_code& error);
  void RejectInput(const boost::system::error_code& error);
  void DispatchRequest();
  void WatchForClose();
  void CheckForClose();
  void Write(const HttpResponse& response);
  void AfterWrite(const boost::system::error_code& error, bool keep_alive);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  HttpServer* server_;
  std::optional<Parser> parser_;
  std::function<void()> on_disconnect_;
  std::uint64_t number_ = 0;
  bool response_pending_ = false;
  bool keep_alive_ = true;
  bool closed_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_SESSION_H_
