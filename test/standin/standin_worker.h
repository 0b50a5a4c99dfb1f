#ifndef QUETZALLINE_TEST_STANDIN_STANDIN_WORKER_H_
#define QUETZALLINE_TEST_STANDIN_STANDIN_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "adapters/http_server.h"
#include "standin/memory_worker.h"

namespace quetzalline {

/// Serves the in-memory worker over the HTTP protocol that HttpWorker speaks. A
/// POST to /faults with the JSON of WorkerFaults sets the faults to inject.
class StandinWorker {
 public:
  explicit StandinWorker(boost::asio::io_context& io);

  /// Starts to listen; returns false if the address cannot be bound.
  bool Start(const boost::asio::ip::tcp::endpoint& address) {
    return server_.Listen(address);
  }
  std::uint16_t port() const { return server_.port(); }

 private:
  struct Poll {
    HttpExchange exchange_;
    std::size_t after_;
    bool long_poll_;
  };

  void HandleRequest(const HttpExchange& exchange);
  void HandleRead(const HttpExchange& exchange);
  void HandleChange(const HttpExchange& exchange);
  bool ApplyChange(const std::string& target, const std::string& body);
  void AdvanceWorker();
  void RespondToPolls();

  MemoryWorker worker_;
  std::vector<WorkerTaskEvent> events_;
  std::vector<Poll> polls_;
  boost::asio::steady_timer timer_;
  HttpServer server_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_STANDIN_STANDIN_WORKER_H_
