#ifndef QUETZALLINE_ADAPTERS_FRAME_CONNECTION_H_
#define QUETZALLINE_ADAPTERS_FRAME_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzalline {

/// A connection to a peer process that carries frames in both directions. It is
/// closed if the peer sends malformed frames, or reads so slowly that the send
/// queue exceeds its limit.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  using OnPayload = std::function<void(std::string_view)>;
  using OnClosed = std::function<void()>;

  explicit FrameConnection(boost::asio::ip::tcp::socket socket);

  /// Starts reading. Payloads are delivered in order, and the end of the
  /// connection is reported once.
  void Start(OnPayload on_payload, OnClosed on_closed);

  /// Queues a frame with this payload. Closes the connection if the queue is
  /// full; does nothing if it is closed.
  void Send(std::string_view payload);
  void Close();

 private:
  static constexpr std::size_t kReadBytes = 65536;
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{64} << 20;

  void Read();
  /// Delivers all complete frames. Returns false if a frame is malformed.
  bool DeliverFrames();
  void Write();

  boost::asio::ip::tcp::socket socket_;
  OnPayload on_payload_;
  OnClosed on_closed_;
  std::array<char, kReadBytes> read_buffer_;
  std::string received_;
  std::vector<std::string> unsent_;
  std::vector<std::string> sending_;
  std::size_t unsent_bytes_ = 0;
  bool closed_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_FRAME_CONNECTION_H_
