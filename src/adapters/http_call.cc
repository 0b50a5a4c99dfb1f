#include "adapters/http_call.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace quetzalline {
namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr std::chrono::seconds kConnectTimeout{2};

http::request<http::string_body> ToMessage(const HttpRequest& request) {
  http::request<http::string_body> message;
  message.version(kHttp11);
  message.method_string(request.method());
  message.target(request.target());
  for (const Header& header : request.headers()) {
    message.insert(header.name(), header.value());
  }
  message.body() = request.body().bytes();
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

HttpResponse ToResponse(http::response<http::string_body> message) {
  std::vector<Header> headers;
  for (const auto& field : message) {
    headers.push_back(Header::Builder()
                          .name(std::string(field.name_string()))
                          .value(std::string(field.value()))
                          .Build());
  }
  return HttpResponse::Builder()
      .status(static_cast<std::int32_t>(message.result_int()))
      .headers(std::move(headers))
      .body(Body(std::move(message.body())))
      .Build();
}

CallBroken BrokenCall(Reason reason) {
  return CallBroken::Builder().reason(reason).Build();
}

}  // namespace

HttpCall::HttpCall(HttpClient& client, std::uint64_t id,
                   const HttpRequest& request, HttpClient::OnEnd on_end,
                   const ConnectionChoice& choice)
    : client_(&client),
      id_(id),
      message_(ToMessage(request)),
      on_end_(std::move(on_end)),
      choice_(choice),
      stream_(client.io_) {
  parser_.body_limit(kMaxResponseBytes);
  parser_.skip(message_.method() == http::verb::head);
}

void HttpCall::Start() {
  if (auto idle = client_->TakeIdleConnection(choice_)) {
    stream_.socket() = std::move(idle->socket_);
    incarnation_ = idle->incarnation_;
    return Write();
  }
  if (!std::holds_alternative<ConnectionTo>(choice_)) return Connect();
  boost::asio::post(client_->io_, [self = shared_from_this()] {
    if (!self->completed_) self->Complete(CallNotSent());
  });
}

void HttpCall::Connect() {
  stream_.expires_after(kConnectTimeout);
  stream_.async_connect(
      client_->server_,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->completed_) return;
        if (error) return self->Complete(CallNotSent());
        self->stream_.expires_never();
        boost::system::error_code ignored;
        self->stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                          ignored);
        self->Write();
      });
}

void HttpCall::Abandon() {
  completed_ = true;
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

// A write that failed before its first byte leaves nothing for the server to
// execute, so the request counts as not sent.
void HttpCall::Write() {
  http::async_write(
      stream_, message_,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t bytes) {
        if (self->completed_) return;
        if (error && bytes == 0) return self->Complete(CallNotSent());
        if (error) return self->Complete(BrokenCall(Reason::kEndpointBroke));
        self->Read();
      });
}

void HttpCall::Read() {
  http::async_read(stream_, buffer_, parser_,
                   [self = shared_from_this()](
                       const boost::system::error_code& error, std::size_t) {
                     if (!self->completed_) self->AfterRead(error);
                   });
}

// A response that is delimited only by the end of the connection counts as
// broken, because a truncated one cannot be detected.
void HttpCall::AfterRead(const boost::system::error_code& error) {
  if (error) return Complete(BrokenCall(Reason::kEndpointBroke));
  if (parser_.need_eof()) return Complete(BrokenCall(Reason::kEndpointBroke));
  const bool reusable = parser_.keep_alive() && buffer_.size() == 0;
  if (reusable) {
    client_->ReturnConnection({stream_.release_socket(), id_, incarnation_});
  }
  Complete(
      CallCompleted::Builder().response(ToResponse(parser_.release())).Build());
}

void HttpCall::Complete(const CallResult& result) {
  completed_ = true;
  // Prevents the destruction of this call when it is removed from the client.
  const std::shared_ptr<HttpCall> self = shared_from_this();
  const HttpClient::OnEnd on_end = std::move(on_end_);
  client_->calls_.erase(id_);
  on_end(result);
}

}  // namespace quetzalline
