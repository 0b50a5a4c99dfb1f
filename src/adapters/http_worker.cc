#include "adapters/http_worker.h"

#include <glog/logging.h>

#include "adapters/lenient_json.h"
#include "adapters/node_loop.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{500};

HttpRequest MakeRequest(const std::string& method, const std::string& target,
                        const std::string& body) {
  return HttpRequest::Builder()
      .method(method)
      .target(target)
      .headers({Header::Builder().name("Host").value("worker").Build()})
      .body(Body(body))
      .Build();
}

// Returns the body of a response with status 200, or null.
const std::string* ResponseBody(const CallResult& result) {
  const auto* completed = std::get_if<CallCompleted>(&result);
  if (completed == nullptr) return nullptr;
  const bool succeeded = completed->response()->status() == 200;
  return succeeded ? &completed->response()->body().bytes() : nullptr;
}

// Returns an array member of an object, or null if there is none.
const boost::json::array* ArrayMember(const boost::json::value& value,
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
  ListTasks();
}

void HttpWorker::Perform(const StartWork& start) {
  const StartWork translated =
      StartWork::Builder(start)
          .lease_until(start.lease_until() + clock_offset_)
          .Build();
  SendWithRetries("/v1/starts",
                  boost::json::serialize(JsonEncoder::Encode(translated)));
}

// The worker read its clock before this process received the response, so the
// converted time is never later than the intended time.
void HttpWorker::Perform(const RenewWork& renew) {
  const Duration until = renew.until().time_since_epoch() + clock_offset_;
  const boost::json::object body{{"until_us", until.count()}};
  client_->Call(MakeRequest("POST", "/v1/lease", boost::json::serialize(body)),
                [](const CallResult&) {});
}

void HttpWorker::Perform(const StopWork& stop) {
  SendWithRetries("/v1/stops",
                  boost::json::serialize(JsonEncoder::Encode(stop)));
}

void HttpWorker::ListTasks() {
  client_->Call(MakeRequest("GET", "/v1/tasks", ""),
                [this](const CallResult& result) {
                  const std::string* body = ResponseBody(result);
                  if (body == nullptr || !HandleTaskList(*body)) {
                    return Retry([this] { ListTasks(); });
                  }
                  PollNews();
                });
}

void HttpWorker::PollNews() {
  // The first poll returns immediately; later ones wait for news (long poll).
  const std::string target =
      "/v1/news?after=" + std::to_string(received_news_) +
      (listed_ ? "&wait=true" : "");
  client_->Call(MakeRequest("GET", target, ""),
                [this](const CallResult& result) {
                  const std::string* body = ResponseBody(result);
                  if (body == nullptr || !HandleNews(*body)) {
                    return Retry([this] { PollNews(); });
                  }
                  PollNews();
                });
}

bool HttpWorker::HandleTaskList(const std::string& body) {
  const auto value = ParseLenientJson(body).value_or(nullptr);
  const boost::json::array* tasks = ArrayMember(value, "tasks");
  if (tasks == nullptr) return false;
  UpdateClockOffset(value.get_object());
  for (const boost::json::value& task : *tasks) {
    const auto found = JsonDecoder().Decode<WorkerTaskFound>(task);
    if (found) on_found_(*found);
  }
  return true;
}

void HttpWorker::UpdateClockOffset(const boost::json::object& answer) {
  const boost::json::value* clock = answer.if_contains("clock_us");
  if (clock == nullptr || !clock->is_int64()) return;
  clock_offset_ = Duration(clock->get_int64()) - ReadClock().time_since_epoch();
}

bool HttpWorker::HandleNews(const std::string& body) {
  const auto value = ParseLenientJson(body).value_or(nullptr);
  const boost::json::array* news = ArrayMember(value, "news");
  if (news == nullptr) return false;
  UpdateClockOffset(value.get_object());
  for (const boost::json::value& item : *news) {
    const auto decoded = JsonDecoder().Decode<WorkerTaskEvent>(item);
    if (decoded) on_news_(*decoded);
    ++received_news_;
  }
  if (!std::exchange(listed_, true)) on_listed_();
  return true;
}

void HttpWorker::SendWithRetries(const std::string& target,
                                 const std::string& body) {
  client_->Call(
      MakeRequest("POST", target, body),
      [this, target, body](const CallResult& result) {
        if (ResponseBody(result) != nullptr) return;
        Retry([this, target, body] { SendWithRetries(target, body); });
      });
}

void HttpWorker::Retry(std::function<void()> work) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRetryDelay);
  timer->async_wait(
      [timer, work = std::move(work)](const boost::system::error_code& error) {
        if (!error) work();
      });
}

}  // namespace quetzalline
