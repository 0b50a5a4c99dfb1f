#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "adapters/frame_peers.h"
#include "wire/frame_header.h"

namespace quetzalline {
namespace {

using boost::asio::ip::tcp;

// Returns two connected sockets on the loopback interface.
std::pair<tcp::socket, tcp::socket> Connect(boost::asio::io_context& io) {
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket client(io);
  client.connect(acceptor.local_endpoint());
  return {acceptor.accept(), std::move(client)};
}

struct RecordedEvents {
  FrameEvents Events() {
    return {[](ConnectionId) {}, [this](ConnectionId) { ++closed_; },
            [this](ConnectionId, std::string_view payload) {
              payloads_.emplace_back(payload);
              return payload != "malformed";
            }};
  }
  std::vector<std::string> payloads_;
  int closed_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(frames)

BOOST_AUTO_TEST_CASE(frames_are_reassembled_from_any_fragments) {
  boost::asio::io_context io;
  auto [server, client] = Connect(io);
  RecordedEvents recorded;
  FramePeers peers(recorded.Events());
  peers.Add(std::move(server), {});
  const std::string bytes =
      MakeFrame("one") + MakeFrame("") + MakeFrame(std::string(100000, 'x'));
  for (std::size_t i = 0; i < bytes.size(); i += 7) {
    boost::asio::write(client, boost::asio::buffer(bytes.substr(i, 7)));
    io.poll();
  }
  while (recorded.payloads_.size() < 3) io.run_one();
  BOOST_TEST(recorded.payloads_[0] == "one");
  BOOST_TEST(recorded.payloads_[1].empty());
  BOOST_TEST(recorded.payloads_[2].size() == 100000U);
}

BOOST_AUTO_TEST_CASE(a_peer_with_another_protocol_is_disconnected) {
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), MakeFrame("malformed")}) {
    boost::asio::io_context io;
    auto [server, client] = Connect(io);
    RecordedEvents recorded;
    FramePeers peers(recorded.Events());
    peers.Add(std::move(server), {});
    boost::asio::write(client, boost::asio::buffer(bytes));
    io.run();
    BOOST_TEST(recorded.closed_ == 1);
    BOOST_TEST(peers.size() == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
