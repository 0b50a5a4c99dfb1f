#ifndef QUETZALLINE_TEST_STANDIN_STANDIN_STORE_H_
#define QUETZALLINE_TEST_STANDIN_STANDIN_STORE_H_

#include <boost/asio/io_context.hpp>

#include "adapters/http_server.h"
#include "adapters/shared_store.h"

namespace quetzalline {

/// Serves the in-memory store over the HTTP protocol that ConsulStore speaks. A
/// POST to /faults with the JSON of StoreFaults sets the faults to inject.
class StandinStore {
 public:
  explicit StandinStore(boost::asio::io_context& io);

  /// Starts to listen; returns false if the address cannot be bound.
  bool Start(const boost::asio::ip::tcp::endpoint& address) {
    return server_.Listen(address);
  }
  std::uint16_t port() const { return server_.port(); }

 private:
  void HandleRequest(const HttpExchange& exchange);
  void HandleWrite(const HttpExchange& exchange);
  void HandleRead(const HttpExchange& exchange);
  void HandleFaults(const HttpExchange& exchange);

  SharedStore store_;
  HttpServer server_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_STANDIN_STANDIN_STORE_H_
