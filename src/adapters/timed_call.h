#ifndef QUETZALLINE_ADAPTERS_TIMED_CALL_H_
#define QUETZALLINE_ADAPTERS_TIMED_CALL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>

#include "adapters/http_client.h"
#include "core/time.h"

namespace quetzalline {

/// Sends a request with a timeout and returns the id of the call. A call that
/// exceeds the timeout ends as broken, with the reason kEndpointSilent.
std::uint64_t CallWithTimeout(boost::asio::io_context& io, HttpClient& client,
                              const HttpRequest& request, Duration timeout,
                              HttpClient::OnEnd on_end,
                              const ConnectionChoice& choice = AnyConnection());

/// Returns true if the call exceeded its timeout. The idle connections of the
/// client may have become unresponsive as well.
bool HasTimedOut(const CallResult& result);

/// Returns the response if it was received completely, or null.
const HttpResponse* ResponseOf(const CallResult& result);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_TIMED_CALL_H_
