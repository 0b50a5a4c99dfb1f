#ifndef QUETZALLINE_ADAPTERS_HTTP_SERVER_H_
#define QUETZALLINE_ADAPTERS_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/http_request.h"
#include "core/http_response.h"

namespace quetzalline {

class HttpSession;

/// A completely received request and a handle to respond to it. Only the first
/// response is sent; later ones are discarded.
class HttpExchange {
 public:
  HttpExchange(HttpRequest request, std::string host,
               std::shared_ptr<HttpSession> session, std::uint64_t number)
      : request_(std::move(request)),
        host_(std::move(host)),
        session_(std::move(session)),
        number_(number) {}

  const HttpRequest& request() const { return request_; }
  /// Value of the Host header without the port.
  const std::string& host() const { return host_; }
  /// Returns the value of a header, or an empty string if it is absent. Header
  /// names are case-insensitive.
  std::string Header(std::string_view name) const;

  void Respond(const HttpResponse& response) const;
  /// Sets a callback that runs if the client closes the connection before the
  /// response is sent.
  void OnDisconnect(std::function<void()> on_disconnect) const;

 private:
  HttpRequest request_;
  std::string host_;
  std::shared_ptr<HttpSession> session_;
  std::uint64_t number_;
};

/// Limits on the size of requests, the time that a client may take to send one,
/// and the number of connections of an HTTP listener.
struct HttpLimits {
  std::uint32_t head_bytes_ = 16 * 1024;
  std::uint64_t body_bytes_ = 8 * 1024 * 1024;
  std::chrono::seconds read_timeout_{10};
  std::chrono::seconds idle_timeout_{60};
  std::size_t connections_ = 10000;
};

/// An HTTP/1.1 server. A malformed or oversized request is answered with an
/// error status, and its connection is closed; other connections are not
/// affected.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;
  using OnBadInput = std::function<void()>;

  HttpServer(boost::asio::io_context& io, HttpLimits limits, Handler handler,
             OnBadInput on_bad_input);
  ~HttpServer();

  /// Starts listening. Returns false if the address cannot be bound.
  bool Listen(const boost::asio::ip::tcp::endpoint& address);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  /// Stops accepting connections and closes the idle ones. Open exchanges are
  /// completed first.
  void StopListening();

 private:
  friend class HttpSession;
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  HttpLimits limits_;
  Handler handler_;
  OnBadInput on_bad_input_;
  std::set<std::shared_ptr<HttpSession>> sessions_;
  /// Expires with the server, which a connection that is being accepted may
  /// outlive.
  std::shared_ptr<HttpServer*> self_ = std::make_shared<HttpServer*>(this);
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_SERVER_H_
