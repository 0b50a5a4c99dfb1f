#include "adapters/frame_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "wire/frame_header.h"

namespace quetzalline {
FrameConnection::FrameConnection(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void FrameConnection::Start(OnPayload on_payload, OnClosed on_closed) {
  on_payload_ = std::move(on_payload);
  on_closed_ = std::move(on_closed);
  Read();
}

void FrameConnection::Send(std::string_view payload) {
  if (closed_) return;
  unsent_.push_back(MakeFrame(payload));
  unsent_bytes_ += unsent_.back().size();
  if (unsent_bytes_ > kMaxUnsentBytes) return Close();
  if (sending_.empty()) Write();
}

void FrameConnection::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (on_closed_) on_closed_();
}

void FrameConnection::Read() {
  const auto on_read = [self = shared_from_this()](
                           const boost::system::error_code& error,
                           std::size_t bytes) {
    if (self->closed_) return;
    if (error) return self->Close();
    self->received_.append(self->read_buffer_.data(), bytes);
    if (!self->DeliverFrames()) return self->Close();
    if (!self->closed_) self->Read();
  };
  socket_.async_read_some(boost::asio::buffer(read_buffer_), on_read);
}

bool FrameConnection::DeliverFrames() {
  std::size_t position = 0;
  while (received_.size() - position >= kFrameHeaderBytes) {
    const std::string_view received = received_;
    const std::string_view remaining = received.substr(position);
    const std::optional<std::size_t> length = ParseFrameHeader(remaining);
    if (!length) return false;
    if (remaining.size() < kFrameHeaderBytes + *length) break;
    on_payload_(remaining.substr(kFrameHeaderBytes, *length));
    if (closed_) return true;
    position += kFrameHeaderBytes + *length;
  }
  received_.erase(0, position);
  return true;
}

void FrameConnection::Write() {
  sending_ = std::exchange(unsent_, {});
  unsent_bytes_ = 0;
  std::vector<boost::asio::const_buffer> buffers;
  for (const std::string& frame : sending_) {
    buffers.push_back(boost::asio::buffer(frame));
  }
  const auto on_written = [self = shared_from_this()](
                              const boost::system::error_code& error,
                              std::size_t /*bytes*/) {
    self->sending_.clear();
    if (self->closed_) return;
    if (error) return self->Close();
    if (!self->unsent_.empty()) self->Write();
  };
  boost::asio::async_write(socket_, buffers, on_written);
}

}  // namespace quetzalline
