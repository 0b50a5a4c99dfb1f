#ifndef QUETZALLINE_PROGRAMS_EXAMPLE_ENDPOINT_H_
#define QUETZALLINE_PROGRAMS_EXAMPLE_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "adapters/http_server.h"
#include "core/time.h"

namespace quetzalline {

/// Configures an example endpoint.
struct ExampleEndpointOptions {
  /// Delay of each response.
  Duration service_time_ = std::chrono::milliseconds(5);
  /// Value of "answered_by" in each response.
  std::string name_;
};

/// A small HTTP service that replaces the quotes service in the embedded
/// system, in the stand-in process of the tests and in benchmarks. It responds
/// to each request after a fixed time.
class ExampleEndpoint {
 public:
  ExampleEndpoint(boost::asio::io_context& io, ExampleEndpointOptions options);

  /// Starts to listen. Returns false if the address cannot be bound.
  bool Start(const boost::asio::ip::tcp::endpoint& address);
  std::uint16_t port() const { return server_.port(); }

 private:
  void Handle(const HttpExchange& exchange);

  boost::asio::io_context& io_;
  ExampleEndpointOptions options_;
  HttpServer server_;
  std::int64_t answered_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_EXAMPLE_ENDPOINT_H_
