#include "programs/example_endpoint.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace quetzalline {
ExampleEndpoint::ExampleEndpoint(boost::asio::io_context& io,
                                 ExampleBehaviour behaviour)
    : io_(io),
      behaviour_(std::move(behaviour)),
      server_(
          io, HttpLimits(), [this](const HttpExchange& e) { Take(e); }, [] {}) {
}

bool ExampleEndpoint::Start(const boost::asio::ip::tcp::endpoint& address) {
  return server_.Listen(address);
}

void ExampleEndpoint::Take(const HttpExchange& exchange) {
  const boost::json::object answer{{"answered_by", behaviour_.name_},
                                   {"method", exchange.request().method()},
                                   {"target", exchange.request().target()},
                                   {"bytes", exchange.request().body().size()},
                                   {"count", ++answered_}};
  const HttpResponse response =
      HttpResponse::Builder()
          .status(200)
          .headers({Header::Builder()
                        .name("Content-Type")
                        .value("application/json")
                        .Build()})
          .body(Body(boost::json::serialize(answer) + "\n"))
          .Build();
  if (behaviour_.service_time_ == Duration::zero()) {
    return exchange.Respond(response);
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, behaviour_.service_time_);
  timer->async_wait(
      [timer, exchange, response](const boost::system::error_code& error) {
        if (!error) exchange.Respond(response);
      });
}

}  // namespace quetzalline
