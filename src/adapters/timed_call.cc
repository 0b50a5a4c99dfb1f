#include "adapters/timed_call.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace quetzalline {

void CallWithin(boost::asio::io_context& io, HttpClient& client,
                const HttpRequest& request, Duration time,
                HttpClient::OnEnd on_end) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, time);
  const auto told = std::make_shared<HttpClient::OnEnd>(std::move(on_end));
  const std::uint64_t call =
      client.Call(request, [timer, told](const CallResult& result) {
        timer->cancel();
        if (*told) std::exchange(*told, nullptr)(result);
      });
  timer->async_wait(
      [&client, timer, call, told](const boost::system::error_code& error) {
        if (error || !*told) return;
        client.Abandon(call);
        client.DropIdle();
        std::exchange(*told, nullptr)(
            CallBroken::Builder().reason(Reason::kEndpointSilent).Build());
      });
}

const HttpResponse* ResponseOf(const CallResult& result) {
  const auto* completed = std::get_if<CallCompleted>(&result);
  return completed == nullptr ? nullptr : &*completed->response();
}

}  // namespace quetzalline
