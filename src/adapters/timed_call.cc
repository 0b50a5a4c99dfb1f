#include "adapters/timed_call.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace quetzalline {

std::uint64_t CallWithTimeout(boost::asio::io_context& io, HttpClient& client,
                              const HttpRequest& request, Duration timeout,
                              HttpClient::OnEnd on_end,
                              const ConnectionChoice& choice) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, timeout);
  const auto pending_on_end =
      std::make_shared<HttpClient::OnEnd>(std::move(on_end));
  const std::uint64_t call = client.Call(
      request,
      [timer, pending_on_end](const CallResult& result) {
        timer->cancel();
        if (*pending_on_end) std::exchange(*pending_on_end, nullptr)(result);
      },
      choice);
  timer->async_wait([&client, timer, call,
                     pending_on_end](const boost::system::error_code& error) {
    if (error || !*pending_on_end) return;
    client.Abandon(call);
    std::exchange(*pending_on_end, nullptr)(
        CallBroken::Builder().reason(Reason::kEndpointSilent).Build());
  });
  return call;
}

bool HasTimedOut(const CallResult& result) {
  const auto* broken = std::get_if<CallBroken>(&result);
  return broken != nullptr && broken->reason() == Reason::kEndpointSilent;
}

const HttpResponse* ResponseOf(const CallResult& result) {
  const auto* completed = std::get_if<CallCompleted>(&result);
  return completed == nullptr ? nullptr : &*completed->response();
}

}  // namespace quetzalline
