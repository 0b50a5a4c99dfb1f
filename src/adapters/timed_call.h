#ifndef QUETZALLINE_ADAPTERS_TIMED_CALL_H_
#define QUETZALLINE_ADAPTERS_TIMED_CALL_H_

#include <boost/asio/io_context.hpp>
#include <string>

#include "adapters/http_client.h"
#include "core/time.h"

namespace quetzalline {

/// Calls a server and gives up after this time. An exchange that was given up
/// ends as broken, and no idle connection of the client is used again: they may
/// have gone silent together.
void CallWithin(boost::asio::io_context& io, HttpClient& client,
                const HttpRequest& request, Duration time,
                HttpClient::OnEnd on_end);

/// The answer, if a whole one came; null otherwise.
const HttpResponse* ResponseOf(const CallResult& result);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_TIMED_CALL_H_
