#ifndef QUETZALLINE_ADAPTERS_TIMED_CALL_H_
#define QUETZALLINE_ADAPTERS_TIMED_CALL_H_

#include <boost/asio/io_context.hpp>
#include <string>

#include "adapters/http_client.h"
#include "core/time.h"

namespace quetzalline {

/// Sends a request with a timeout. A call that exceeds it ends as broken, and
/// all idle connections of the client are closed, because they may have become
/// unresponsive together.
void CallWithTimeout(boost::asio::io_context& io, HttpClient& client,
                     const HttpRequest& request, Duration timeout,
                     HttpClient::OnEnd on_end);

/// Returns the response if it was received completely, or null.
const HttpResponse* ResponseOf(const CallResult& result);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_TIMED_CALL_H_
