#include "adapters/http_session.h"

#include <boost/asio/socket_base.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "adapters/problem_json.h"

namespace quetzalline {
namespace http = boost::beast::http;

namespace {

using StringResponse = http::response<http::string_body>;

constexpr unsigned kHttp11 = 11;

HttpRequest ToRequest(const http::request<http::string_body>& message) {
  std::vector<Header> headers;
  for (const auto& field : message) {
    headers.push_back(Header::Builder()
                          .name(std::string(field.name_string()))
                          .value(std::string(field.value()))
                          .Build());
  }
  return HttpRequest::Builder()
      .method(std::string(message.method_string()))
      .target(std::string(message.target()))
      .headers(std::move(headers))
      .body(Body(message.body()))
      .Build();
}

std::string HostOf(const http::request<http::string_body>& message) {
  const std::string host(message[http::field::host]);
  return host.substr(0, host.rfind(':'));
}

StringResponse ToMessage(const HttpResponse& response, bool keep_alive) {
  StringResponse message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.status()));
  for (const Header& header : response.headers()) {
    message.insert(header.name(), header.value());
  }
  message.body() = response.body().bytes();
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

}  // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket,
                         HttpServer& server)
    : stream_(std::move(socket)), server_(&server) {
  boost::system::error_code ignored;
  stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void HttpSession::Read() {
  parser_.emplace();
  parser_->header_limit(server_->limits_.head_bytes_);
  parser_->body_limit(server_->limits_.body_bytes_);
  const bool idle = buffer_.size() == 0 && number_ > 0;
  stream_.expires_after(idle ? server_->limits_.idle_timeout_
                             : server_->limits_.read_timeout_);
  http::async_read(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t) { self->AfterRead(error); });
}

void HttpSession::AfterRead(const boost::system::error_code& error) {
  if (closed_) return;
  if (error) return RejectInput(error);
  stream_.expires_never();
  DispatchRequest();
}

void HttpSession::RejectInput(const boost::system::error_code& error) {
  const bool ended =
      error == http::error::end_of_stream ||
      error == boost::beast::error::timeout ||
      error.category() != make_error_code(http::error::bad_method).category();
  if (ended) return Close();
  server_->on_bad_input_();
  keep_alive_ = false;
  response_pending_ = true;
  if (error == http::error::body_limit) {
    return Write(ProblemResponse(413, "the request body is too large"));
  }
  if (error == http::error::header_limit) {
    return Write(
        ProblemResponse(431, "the request header section is too large"));
  }
  Write(ProblemResponse(400, "malformed request: " + error.message()));
}

void HttpSession::DispatchRequest() {
  const Message message = parser_->release();
  keep_alive_ = message.keep_alive();
  response_pending_ = true;
  ++number_;
  HttpExchange exchange(ToRequest(message), HostOf(message), shared_from_this(),
                        number_);
  server_->handler_(std::move(exchange));
  if (response_pending_) WatchForClose();
}

// While a response is pending, a connection that the client closed becomes
// readable.
void HttpSession::WatchForClose() {
  stream_.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(),
       number = number_](const boost::system::error_code& error) {
        if (error || self->closed_ || number != self->number_) return;
        if (self->response_pending_) self->CheckForClose();
      });
}

void HttpSession::CheckForClose() {
  char byte = 0;
  boost::system::error_code error;
  stream_.socket().non_blocking(true, error);
  stream_.socket().receive(boost::asio::buffer(&byte, 1),
                           boost::asio::socket_base::message_peek, error);
  // Readable data is a pipelined request; the connection is still open.
  if (!error || error == boost::asio::error::would_block) return;
  if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
  Close();
}

void HttpSession::Respond(std::uint64_t number, const HttpResponse& response) {
  if (closed_ || number != number_ || !response_pending_) return;
  Write(response);
}

void HttpSession::SetOnDisconnect(std::uint64_t number,
                                  std::function<void()> on_disconnect) {
  if (number == number_) on_disconnect_ = std::move(on_disconnect);
}

void HttpSession::Write(const HttpResponse& response) {
  response_pending_ = false;
  on_disconnect_ = nullptr;
  auto message =
      std::make_shared<StringResponse>(ToMessage(response, keep_alive_));
  stream_.expires_after(server_->limits_.read_timeout_);
  http::async_write(stream_, *message,
                    [self = shared_from_this(), message](
                        const boost::system::error_code& error, std::size_t) {
                      self->AfterWrite(error, message->keep_alive());
                    });
}

void HttpSession::AfterWrite(const boost::system::error_code& error,
                             bool keep_alive) {
  if (closed_) return;
  if (error || !keep_alive || !keep_alive_) return Close();
  Read();
}

void HttpSession::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  stream_.socket().shutdown(boost::asio::socket_base::shutdown_both, ignored);
  stream_.socket().close(ignored);
  server_->sessions_.erase(shared_from_this());
}

void HttpSession::CloseWhenIdle() {
  keep_alive_ = false;
  if (!response_pending_) Close();
}

}  // namespace quetzalline
