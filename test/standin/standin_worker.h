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
    bool waits_;
  };

  void Take(const HttpExchange& exchange);
  void TakeRead(const HttpExchange& exchange);
  void TakeChange(const HttpExchange& exchange);
  bool Apply(const std::string& target, const std::string& body);
  void Advance();
  void AnswerPolls();

  MemoryWorker worker_;
  std::vector<WorkerNews> news_;
  std::vector<Poll> polls_;
  boost::asio::steady_timer timer_;
  HttpServer server_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_STANDIN_STANDIN_WORKER_H_
