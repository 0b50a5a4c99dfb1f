#include "adapters/frame_peers.h"

#include <glog/logging.h>

#include <vector>

namespace quetzalline {
ConnectionId FramePeers::Add(boost::asio::ip::tcp::socket socket,
                             std::function<void()> after_closed) {
  const ConnectionId id(++last_id_);
  auto connection = std::make_shared<FrameConnection>(std::move(socket));
  connections_[id] = connection;
  events_.opened_(id);
  connection->Start(
      [this, id](std::string_view payload) { HandlePayload(id, payload); },
      [this, id, after = std::move(after_closed)] {
        connections_.erase(id);
        events_.closed_(id);
        if (after) after();
      });
  return id;
}

void FramePeers::Send(ConnectionId connection, std::string_view payload) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  // A copy, because Send may close the connection and remove its entry.
  const std::shared_ptr<FrameConnection> target = found->second;
  target->Send(payload);
}

void FramePeers::Close(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  // A copy, because Close removes the entry.
  const std::shared_ptr<FrameConnection> target = found->second;
  target->Close();
}

void FramePeers::CloseAll() {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  for (const ConnectionId id : ids) Close(id);
}

void FramePeers::HandlePayload(ConnectionId id, std::string_view payload) {
  if (events_.payload_(id, payload)) return;
  LOG(WARNING) << "event=malformed-frame connection=" << id.value()
               << " bytes=" << payload.size();
  Close(id);
}

}  // namespace quetzalline
