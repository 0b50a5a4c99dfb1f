#ifndef QUETZALLINE_PROGRAMS_RUN_UNTIL_STOPPED_H_
#define QUETZALLINE_PROGRAMS_RUN_UNTIL_STOPPED_H_

#include <boost/asio/io_context.hpp>
#include <functional>

namespace quetzalline {

/// Runs the loop until it is stopped. SIGTERM and SIGINT call on_signal, which
/// begins a planned stop.
void RunUntilStopped(boost::asio::io_context& io,
                     std::function<void()> on_signal);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_RUN_UNTIL_STOPPED_H_
