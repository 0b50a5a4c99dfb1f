#include "adapters/frame_dialer.h"

namespace quetzalline {
namespace {

constexpr std::chrono::milliseconds kMinReconnectDelay{50};
constexpr std::chrono::milliseconds kMaxReconnectDelay{400};

}  // namespace

FrameDialer::FrameDialer(boost::asio::io_context& io, FramePeers& peers,
                         const boost::asio::ip::tcp::endpoint& address,
                         std::uint64_t seed)
    : socket_(io),
      timer_(io),
      peers_(peers),
      address_(address),
      random_(seed) {}

void FrameDialer::Stop() {
  stopped_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void FrameDialer::Connect() {
  if (stopped_) return;
  socket_.async_connect(
      address_, [this](const boost::system::error_code& error) {
        if (stopped_) return;
        if (error) {
          boost::system::error_code ignored;
          socket_.close(ignored);
          return ScheduleReconnect();
        }
        peers_.Add(std::move(socket_), [this] { ScheduleReconnect(); });
      });
}

void FrameDialer::ScheduleReconnect() {
  if (stopped_) return;
  const auto spread = (kMaxReconnectDelay - kMinReconnectDelay).count();
  timer_.expires_after(kMinReconnectDelay +
                       std::chrono::milliseconds(UniformInt(random_, spread)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Connect();
  });
}

}  // namespace quetzalline
