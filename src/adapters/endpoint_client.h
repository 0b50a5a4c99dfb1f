#ifndef QUETZALLINE_ADAPTERS_ENDPOINT_CLIENT_H_
#define QUETZALLINE_ADAPTERS_ENDPOINT_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>

#include "adapters/http_client.h"
#include "core/attempt_id.h"
#include "messages/abandon_call.h"
#include "messages/call_ended.h"
#include "messages/call_endpoint.h"

namespace quetzalline {

/// Executes an agent's calls to its endpoint.
class EndpointClient {
 public:
  using OnEnded = std::function<void(const CallEnded&)>;

  EndpointClient(boost::asio::io_context& io,
                 const boost::asio::ip::tcp::endpoint& endpoint,
                 OnEnded on_ended)
      : client_(io, endpoint), on_ended_(std::move(on_ended)) {}

  /// Sends the request of an attempt. The result is reported once.
  void Perform(const CallEndpoint& call);
  /// Cancels the call of an attempt without reporting a result.
  void Perform(const AbandonCall& abandon);

 private:
  HttpClient client_;
  OnEnded on_ended_;
  std::map<AttemptId, std::uint64_t> calls_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_ENDPOINT_CLIENT_H_
