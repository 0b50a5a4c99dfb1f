#include "programs/example_endpoint.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace quetzalline {
ExampleEndpoint::ExampleEndpoint(boost::asio::io_context& io,
                                 ExampleEndpointOptions options)
    : io_(io),
      options_(std::move(options)),
      server_(
          io, HttpLimits(), [this](const HttpExchange& e) { Handle(e); },
          [] {}) {}

bool ExampleEndpoint::Start(const boost::asio::ip::tcp::endpoint& address) {
  return server_.Listen(address);
}

void ExampleEndpoint::Handle(const HttpExchange& exchange) {
  const boost::json::object answer{{"answered_by", options_.name_},
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
  if (options_.service_time_ == Duration::zero()) {
    return exchange.Respond(response);
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, options_.service_time_);
  timer->async_wait(
      [timer, exchange, response](const boost::system::error_code& error) {
        if (!error) exchange.Respond(response);
      });
}

}  // namespace quetzalline
