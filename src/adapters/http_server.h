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

/// A request that arrived whole, with the means to answer it. It is answered
/// exactly once; what comes after is dropped.
class HttpExchange {
 public:
  HttpExchange(HttpRequest request, std::string host,
               std::shared_ptr<HttpSession> session, std::uint64_t number)
      : request_(std::move(request)),
        host_(std::move(host)),
        session_(std::move(session)),
        number_(number) {}

  const HttpRequest& request() const { return request_; }
  /// The Host header without its port.
  const std::string& host() const { return host_; }
  /// The value of a header, or empty. Names are compared without case.
  std::string Header(std::string_view name) const;

  void Respond(const HttpResponse& response) const;
  /// Sets what to do if the caller closes the connection before the answer.
  void OnGone(std::function<void()> on_gone) const;

 private:
  HttpRequest request_;
  std::string host_;
  std::shared_ptr<HttpSession> session_;
  std::uint64_t number_;
};

/// Bounds on what a caller may send, and how slowly.
struct HttpLimits {
  std::uint32_t head_bytes_ = 16 * 1024;
  std::uint64_t body_bytes_ = 8 * 1024 * 1024;
  std::chrono::seconds read_timeout_{10};
  std::chrono::seconds idle_timeout_{60};
  std::size_t connections_ = 10000;
};

/// An HTTP/1.1 listener. Bad input gets a clear answer and a closed connection
/// and disturbs nothing else.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;
  using OnBadInput = std::function<void()>;

  HttpServer(boost::asio::io_context& io, HttpLimits limits, Handler handler,
             OnBadInput on_bad_input);
  ~HttpServer();

  /// Starts to listen; false where the address cannot be had.
  bool Listen(const boost::asio::ip::tcp::endpoint& address);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  /// Takes no new connections; open exchanges go on.
  void StopListening();

 private:
  friend class HttpSession;
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  HttpLimits limits_;
  Handler handler_;
  OnBadInput on_bad_input_;
  std::set<std::shared_ptr<HttpSession>> sessions_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_SERVER_H_
