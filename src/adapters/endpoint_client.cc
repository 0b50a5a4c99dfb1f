#include "adapters/endpoint_client.h"

namespace quetzalline {
void EndpointClient::Perform(const CallEndpoint& call) {
  const AttemptId attempt = call.attempt();
  calls_[attempt] =
      client_.Call(*call.request(), [this, attempt](const CallResult& result) {
        calls_.erase(attempt);
        on_ended_(CallEnded::Builder().attempt(attempt).result(result).Build());
      });
}

void EndpointClient::Perform(const AbandonCall& abandon) {
  const auto found = calls_.find(abandon.attempt());
  if (found == calls_.end()) return;
  client_.Abandon(found->second);
  calls_.erase(found);
}

}  // namespace quetzalline
