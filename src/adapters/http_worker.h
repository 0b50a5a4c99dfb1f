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

/// Executes task effects on a worker through HTTP with JSON. The protocol is
/// described in docs/reference/worker-protocol.md. Start and stop requests are
/// idempotent and are retried until they are answered with status 200.
class HttpWorker {
 public:
  using OnNews = std::function<void(const WorkerTaskEvent&)>;
  using OnFound = std::function<void(const WorkerTaskFound&)>;
  using OnListed = std::function<void()>;

  HttpWorker(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& worker);

  /// Reports the tasks that the worker already runs, then its news as it
  /// arrives. on_listed is called once, after the first poll for news.
  void Start(OnFound on_found, OnListed on_listed, OnNews on_news);
  void Perform(const StartWork& start);
  void Perform(const RenewWork& renew);
  void Perform(const StopWork& stop);

 private:
  /// Lists the tasks of the worker, then starts polling for news.
  void ListTasks();
  void PollNews();
  /// Return false if the body cannot be read.
  bool HandleTaskList(const std::string& body);
  bool HandleNews(const std::string& body);
  void UpdateClockOffset(const boost::json::object& answer);
  void SendWithRetries(const std::string& target, const std::string& body);
  /// Runs work after the retry delay.
  void Retry(std::function<void()> work);

  boost::asio::io_context& io_;
  std::unique_ptr<HttpClient> client_;
  OnFound on_found_;
  OnListed on_listed_;
  OnNews on_news_;
  /// Number of news items received; the next poll asks for those after it.
  std::int64_t received_news_ = 0;
  bool listed_ = false;
  /// Offset to add to the clock of this process to get the clock of the worker;
  /// never more than the true offset.
  Duration clock_offset_{};
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_HTTP_WORKER_H_
