#ifndef QUETZALLINE_ADAPTERS_HTTP_CALL_H_
#define QUETZALLINE_ADAPTERS_HTTP_CALL_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

#include "adapters/http_client.h"

namespace quetzalline {

/// A single request of an HttpClient and its response.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(HttpClient& client, std::uint64_t id, const HttpRequest& request,
           HttpClient::OnEnd on_end, const ConnectionChoice& choice);

  void Start();
  /// Closes the connection without reporting a result.
  void Abandon();

 private:
  static constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{16} << 20;

  void Connect();
  void Write();
  void Read();
  void AfterRead(const boost::system::error_code& error);
  void Complete(const CallResult& result);

  HttpClient* client_;
  std::uint64_t id_;
  boost::beast::http::request<boost::beast::http::string_body> message_;
  HttpClient::OnEnd on_end_;
  ConnectionChoice choice_;
  /// The incarnation of the server that the connection leads to; 0 if unknown.
  std::int64_t incarnation_ = 0;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  bool completed_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_CALL_H_
