#include "adapters/peer_dialer.h"

#include <utility>

namespace quetzalline {
namespace {

// Ten times the longest round-trip time between two regions.
constexpr std::chrono::milliseconds kConnectTimeout{700};
constexpr std::chrono::milliseconds kMinReconnectDelay{100};
constexpr std::chrono::milliseconds kMaxReconnectDelay{400};

}  // namespace

PeerDialer::PeerDialer(boost::asio::io_context& io, FramePeers& peers,
                       const boost::asio::ip::tcp::endpoint& address,
                       std::uint64_t seed, OnConnected on_connected)
    : socket_(io),
      timer_(io),
      peers_(peers),
      address_(address),
      random_(seed),
      on_connected_(std::move(on_connected)) {}

void PeerDialer::Stop() {
  stopped_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (connection_) peers_.Close(*std::exchange(connection_, std::nullopt));
}

void PeerDialer::Connect() {
  if (stopped_) return;
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        boost::system::error_code ignored;
        if (!error) self->socket_.close(ignored);
      });
  socket_.async_connect(address_, [self = shared_from_this()](
                                      const boost::system::error_code& error) {
    if (self->stopped_) return;
    self->timer_.cancel();
    if (!error && self->socket_.is_open()) return self->HandleConnected();
    boost::system::error_code ignored;
    self->socket_.close(ignored);
    self->ScheduleReconnect();
  });
}

void PeerDialer::HandleConnected() {
  connection_ = peers_.Add(std::move(socket_), [weak = weak_from_this()] {
    const std::shared_ptr<PeerDialer> self = weak.lock();
    if (!self) return;
    self->connection_.reset();
    self->ScheduleReconnect();
  });
  on_connected_(*connection_);
}

void PeerDialer::ScheduleReconnect() {
  if (stopped_) return;
  const auto spread = (kMaxReconnectDelay - kMinReconnectDelay).count();
  timer_.expires_after(kMinReconnectDelay +
                       std::chrono::milliseconds(UniformInt(random_, spread)));
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) self->Connect();
      });
}

}  // namespace quetzalline
