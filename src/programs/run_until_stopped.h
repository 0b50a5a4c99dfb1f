#ifndef QUETZALLINE_PROGRAMS_RUN_UNTIL_STOPPED_H_
#define QUETZALLINE_PROGRAMS_RUN_UNTIL_STOPPED_H_

#include <boost/asio/io_context.hpp>
#include <functional>

namespace quetzalline {

/// Runs the event loop until it is stopped. The first SIGTERM or SIGINT calls
/// on_signal, which begins a graceful shutdown.
void RunUntilStopped(boost::asio::io_context& io,
                     std::function<void()> on_signal);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_RUN_UNTIL_STOPPED_H_
