#include "programs/run_until_stopped.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace quetzalline {
void RunUntilStopped(boost::asio::io_context& io,
                     std::function<void()> on_signal) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) on_signal();
  });
  io.run();
}

}  // namespace quetzalline
