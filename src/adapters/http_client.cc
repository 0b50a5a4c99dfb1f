#include "adapters/http_client.h"

#include <boost/asio/socket_base.hpp>

#include "adapters/http_call.h"

namespace quetzalline {
namespace {

// Returns true if the connection can be reused: the server has neither closed
// it nor sent unsolicited data on it.
bool IsReusable(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(boost::asio::buffer(&byte, 1),
                 boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& io,
                       const boost::asio::ip::tcp::endpoint& server)
    : io_(io), server_(server) {}

HttpClient::~HttpClient() {
  const auto open_calls = calls_;
  for (const auto& [id, call] : open_calls) call->Abandon();
}

std::uint64_t HttpClient::Call(const HttpRequest& request, OnEnd on_end) {
  const std::uint64_t id = ++last_call_;
  auto call = std::make_shared<HttpCall>(*this, id, request, std::move(on_end));
  calls_[id] = call;
  call->Start();
  return id;
}

void HttpClient::Abandon(std::uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const std::shared_ptr<HttpCall> target = found->second;
  calls_.erase(found);
  target->Abandon();
}

std::optional<boost::asio::ip::tcp::socket> HttpClient::TakeIdleConnection() {
  while (!idle_.empty()) {
    Socket socket = std::move(idle_.back());
    idle_.pop_back();
    if (IsReusable(socket)) return socket;
  }
  return std::nullopt;
}

void HttpClient::ReturnConnection(Socket socket) {
  if (idle_.size() < kMaxIdleConnections) idle_.push_back(std::move(socket));
}

}  // namespace quetzalline
