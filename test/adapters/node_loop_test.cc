#include "adapters/node_loop.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <span>
#include <thread>
#include <vector>

namespace quetzalline {
namespace {

using Socket = boost::asio::local::stream_protocol::socket;
using std::chrono::milliseconds;

// More sockets than the event loop handles at a time.
constexpr std::size_t kSockets = 300;

// Records the number of inputs of each tick. Its first tick takes long, and
// carries out what happens in the meantime.
class BusyNode {
 public:
  using Input = std::size_t;
  using Effect = int;

  BusyNode(std::vector<std::size_t>& ticks, std::function<void()> meanwhile)
      : ticks_(ticks), meanwhile_(std::move(meanwhile)) {}

  std::vector<Effect> RunTick(Instant now, std::span<const Input> inputs) {
    if (ticks_.empty()) {
      meanwhile_();
      std::this_thread::sleep_for(milliseconds(50));
    }
    ticks_.push_back(inputs.size());
    wake_at_ = now + milliseconds(1);
    return {};
  }
  std::optional<Instant> wake_at() const { return wake_at_; }

 private:
  std::vector<std::size_t>& ticks_;
  std::function<void()> meanwhile_;
  std::optional<Instant> wake_at_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(node_loops)

// A tick that followed a long one saw only some of the messages that had
// arrived, and took the senders of the others for silent.
BOOST_AUTO_TEST_CASE(a_tick_after_a_long_one_has_all_that_has_arrived) {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<Socket>> near;
  std::vector<std::unique_ptr<Socket>> far;
  std::vector<char> bytes(kSockets);
  for (std::size_t i = 0; i < kSockets; ++i) {
    near.push_back(std::make_unique<Socket>(io));
    far.push_back(std::make_unique<Socket>(io));
    boost::asio::local::connect_pair(*near.back(), *far.back());
  }
  std::vector<std::size_t> ticks;
  NodeLoop<BusyNode> loop(
      io,
      BusyNode(ticks,
               [&] {
                 for (const auto& socket : far) {
                   boost::asio::write(*socket, boost::asio::buffer("x", 1));
                 }
               }),
      [](int) {});
  for (std::size_t i = 0; i < kSockets; ++i) {
    boost::asio::async_read(
        *near[i], boost::asio::buffer(&bytes[i], 1),
        [&loop, i](const boost::system::error_code& error, std::size_t) {
          if (!error) loop.Post(i);
        });
  }
  loop.Schedule();
  while (ticks.size() < 2) io.run_one();
  BOOST_TEST(ticks[0] == 0U);
  BOOST_TEST(ticks[1] == kSockets);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
