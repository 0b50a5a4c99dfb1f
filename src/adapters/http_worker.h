#ifndef QUETZALLINE_ADAPTERS_HTTP_WORKER_H_
#define QUETZALLINE_ADAPTERS_HTTP_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "adapters/http_client.h"
#include "core/time.h"
#include "messages/renew_work.h"
#include "messages/start_work.h"
#include "messages/stop_work.h"
#include "messages/worker_task_event.h"
#include "messages/worker_task_found.h"

namespace quetzalline {

/// Carries out task effects at a worker that is reached by HTTP with JSON. The
/// protocol is described in docs/reference/worker-protocol.md. Starts and stops
/// are idempotent and repeated until they are answered.
class HttpWorker {
 public:
  using OnNews = std::function<void(const WorkerTaskEvent&)>;
  using OnFound = std::function<void(const WorkerTaskFound&)>;
  using OnListed = std::function<void()>;

  HttpWorker(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& worker);

  /// Tells of the tasks the worker runs already, and from then on its news.
  void Start(OnFound on_found, OnListed on_listed, OnNews on_news);
  void Perform(const StartWork& start);
  void Perform(const RenewWork& renew);
  void Perform(const StopWork& stop);

 private:
  void List();
  void Poll();
  void TakeTasks(const std::string& body);
  void TakeNews(const std::string& body);
  void TakeClock(const boost::json::object& answer);
  void SendUntilAnswered(const std::string& target, const std::string& body);
  void Later(std::function<void()> work);

  boost::asio::io_context& io_;
  std::unique_ptr<HttpClient> client_;
  OnFound on_found_;
  OnListed on_listed_;
  OnNews on_news_;
  std::int64_t sequence_ = 0;
  bool listed_ = false;
  /// What to add to this process's clock to get the worker's, at most.
  Duration clock_offset_{};
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_WORKER_H_
