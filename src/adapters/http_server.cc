#include "adapters/http_server.h"

#include <boost/beast/core/string.hpp>

#include "adapters/http_session.h"
#include "adapters/listen.h"

namespace quetzalline {
std::string HttpExchange::Header(std::string_view name) const {
  for (const quetzalline::Header& header : request_.headers()) {
    if (boost::beast::iequals(header.name(), name)) return header.value();
  }
  return {};
}

void HttpExchange::Respond(const HttpResponse& response) const {
  session_->Respond(number_, response);
}

void HttpExchange::OnDisconnect(std::function<void()> on_disconnect) const {
  session_->SetOnDisconnect(number_, std::move(on_disconnect));
}

HttpServer::HttpServer(boost::asio::io_context& io, HttpLimits limits,
                       Handler handler, OnBadInput on_bad_input)
    : acceptor_(io),
      limits_(limits),
      handler_(std::move(handler)),
      on_bad_input_(std::move(on_bad_input)) {}

HttpServer::~HttpServer() {
  // A copy, because a session that closes removes itself from the set.
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->Close();
}

bool HttpServer::Listen(const boost::asio::ip::tcp::endpoint& address) {
  if (!ListenOn(acceptor_, address)) return false;
  Accept();
  return true;
}

void HttpServer::StopListening() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->CloseWhenIdle();
}

void HttpServer::Accept() {
  acceptor_.async_accept([this, self = std::weak_ptr<HttpServer*>(self_)](
                             const boost::system::error_code& error,
                             boost::asio::ip::tcp::socket socket) {
    if (self.expired() || !acceptor_.is_open()) return;
    if (!error && sessions_.size() < limits_.connections_) {
      auto session = std::make_shared<HttpSession>(std::move(socket), *this);
      sessions_.insert(session);
      session->Start();
    }
    Accept();
  });
}

}  // namespace quetzalline
