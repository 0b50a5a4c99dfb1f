#include "adapters/http_client.h"

#include <algorithm>
#include <boost/asio/socket_base.hpp>

#include "adapters/http_call.h"
#include "core/overloaded.h"

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

std::uint64_t HttpClient::Call(const HttpRequest& request, OnEnd on_end,
                               const ConnectionChoice& choice) {
  const std::uint64_t id = ++last_call_;
  auto call =
      std::make_shared<HttpCall>(*this, id, request, std::move(on_end), choice);
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

void HttpClient::CloseOtherIdleConnections(std::uint64_t call) {
  std::erase_if(idle_,
                [&](const IdleConnection& c) { return c.call_ != call; });
}

void HttpClient::Identify(std::uint64_t call, std::int64_t incarnation) {
  for (IdleConnection& connection : idle_) {
    if (connection.call_ == call) connection.incarnation_ = incarnation;
  }
}

std::size_t HttpClient::CountIdleConnections(std::int64_t incarnation) {
  std::erase_if(idle_,
                [](IdleConnection& c) { return !IsReusable(c.socket_); });
  return static_cast<std::size_t>(std::count_if(
      idle_.begin(), idle_.end(),
      [&](const IdleConnection& c) { return c.incarnation_ == incarnation; }));
}

std::optional<HttpClient::IdleConnection> HttpClient::TakeIdleConnection(
    const ConnectionChoice& choice) {
  const auto fits = [&](const IdleConnection& connection) {
    return std::visit(Overloaded{
                          [](const AnyConnection&) { return true; },
                          [](const NewConnection&) { return false; },
                          [&](const ConnectionTo& to) {
                            return connection.incarnation_ == to.incarnation_;
                          },
                      },
                      choice);
  };
  while (true) {
    const auto found = std::find_if(idle_.rbegin(), idle_.rend(), fits);
    if (found == idle_.rend()) return std::nullopt;
    IdleConnection connection = std::move(*found);
    idle_.erase(std::next(found).base());
    if (IsReusable(connection.socket_)) return connection;
  }
}

void HttpClient::ReturnConnection(IdleConnection connection) {
  if (idle_.size() < kMaxIdleConnections) {
    idle_.push_back(std::move(connection));
  }
}

}  // namespace quetzalline
