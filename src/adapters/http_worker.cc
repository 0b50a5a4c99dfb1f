#include "adapters/http_worker.h"

#include <glog/logging.h>

#include "adapters/node_loop.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

constexpr std::chrono::milliseconds kRetryPause{500};

HttpRequest MakeRequest(const std::string& method, const std::string& target,
                        const std::string& body) {
  return HttpRequest::Builder()
      .method(method)
      .target(target)
      .headers({Header::Builder().name("Host").value("worker").Build()})
      .body(Body(body))
      .Build();
}

const std::string* BodyOf(const CallResult& result) {
  const auto* completed = std::get_if<CallCompleted>(&result);
  if (completed == nullptr) return nullptr;
  const bool good = completed->response()->status() == 200;
  return good ? &completed->response()->body().bytes() : nullptr;
}

boost::json::value ParseOrNull(const std::string& body) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(body, error);
  return error ? boost::json::value() : value;
}

const boost::json::array* ArrayOf(const boost::json::value& value,
                                  std::string_view key) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) return nullptr;
  const boost::json::value* member = object->if_contains(key);
  return member == nullptr ? nullptr : member->if_array();
}

}  // namespace

HttpWorker::HttpWorker(boost::asio::io_context& io,
                       const boost::asio::ip::tcp::endpoint& worker)
    : io_(io), client_(std::make_unique<HttpClient>(io, worker)) {}

void HttpWorker::Start(OnFound on_found, OnListed on_listed, OnNews on_news) {
  on_found_ = std::move(on_found);
  on_listed_ = std::move(on_listed);
  on_news_ = std::move(on_news);
  List();
}

void HttpWorker::Perform(const StartWork& start) {
  const StartWork translated =
      StartWork::Builder(start)
          .lease_until(start.lease_until() + clock_offset_)
          .Build();
  SendUntilAnswered("/v1/starts",
                    boost::json::serialize(JsonEncoder::Encode(translated)));
}

// The worker's clock was read before its answer came, so that the time told is
// never later than the time meant.
void HttpWorker::Perform(const RenewWork& renew) {
  const Duration until = renew.until().time_since_epoch() + clock_offset_;
  const boost::json::object body{{"until_us", until.count()}};
  client_->Call(MakeRequest("POST", "/v1/lease", boost::json::serialize(body)),
                [](const CallResult&) {});
}

void HttpWorker::Perform(const StopWork& stop) {
  SendUntilAnswered("/v1/stops",
                    boost::json::serialize(JsonEncoder::Encode(stop)));
}

void HttpWorker::List() {
  client_->Call(MakeRequest("GET", "/v1/tasks", ""),
                [this](const CallResult& result) {
                  const std::string* body = BodyOf(result);
                  if (body == nullptr) return Later([this] { List(); });
                  TakeTasks(*body);
                  Poll();
                });
}

void HttpWorker::Poll() {
  // The first poll is answered at once; later ones wait for news.
  const std::string target = "/v1/news?after=" + std::to_string(sequence_) +
                             (listed_ ? "&wait=true" : "");
  client_->Call(MakeRequest("GET", target, ""),
                [this](const CallResult& result) {
                  const std::string* body = BodyOf(result);
                  if (body == nullptr) return Later([this] { Poll(); });
                  TakeNews(*body);
                  Poll();
                });
}

void HttpWorker::TakeTasks(const std::string& body) {
  const boost::json::value value = ParseOrNull(body);
  const boost::json::array* tasks = ArrayOf(value, "tasks");
  if (tasks == nullptr) return;
  TakeClock(value.get_object());
  for (const boost::json::value& task : *tasks) {
    const auto found = JsonDecoder().Decode<WorkerTaskFound>(task);
    if (found) on_found_(*found);
  }
}

void HttpWorker::TakeClock(const boost::json::object& answer) {
  const boost::json::value* clock = answer.if_contains("clock_us");
  if (clock == nullptr || !clock->is_int64()) return;
  clock_offset_ = Duration(clock->get_int64()) - ReadClock().time_since_epoch();
}

void HttpWorker::TakeNews(const std::string& body) {
  const boost::json::value value = ParseOrNull(body);
  const boost::json::array* news = ArrayOf(value, "news");
  if (news == nullptr) return;
  TakeClock(value.get_object());
  for (const boost::json::value& item : *news) {
    const auto decoded = JsonDecoder().Decode<WorkerTaskEvent>(item);
    if (decoded) on_news_(*decoded);
    ++sequence_;
  }
  if (!std::exchange(listed_, true)) on_listed_();
}

void HttpWorker::SendUntilAnswered(const std::string& target,
                                   const std::string& body) {
  client_->Call(
      MakeRequest("POST", target, body),
      [this, target, body](const CallResult& result) {
        if (BodyOf(result) != nullptr) return;
        Later([this, target, body] { SendUntilAnswered(target, body); });
      });
}

void HttpWorker::Later(std::function<void()> work) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRetryPause);
  timer->async_wait(
      [timer, work = std::move(work)](const boost::system::error_code& error) {
        if (!error) work();
      });
}

}  // namespace quetzalline
