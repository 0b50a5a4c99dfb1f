#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "adapters/http_worker.h"
#include "adapters/socket_address.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

const boost::asio::ip::tcp::endpoint kAnyPort(
    boost::asio::ip::make_address("127.0.0.1"), 0);

std::string DeepArray() {
  constexpr int kLevels = 100'000;
  return std::string(kLevels, '[') + std::string(kLevels, ']');
}

std::string TaskJson(const std::string& id) {
  return boost::json::serialize(JsonEncoder::Encode(
      WorkerTaskFound::Builder()
          .task(TaskAttemptId::Builder().task(TaskId(id)).Build())
          .Build()));
}

// A worker that answers with the given bodies, and the client of it.
struct ScriptedWorker {
  ScriptedWorker()
      : server_(
            io_, HttpLimits(),
            [this](const HttpExchange& exchange) { Answer(exchange); }, [] {}) {
    BOOST_REQUIRE(server_.Listen(kAnyPort));
  }

  // Runs the client for this long.
  void RunFor(std::chrono::milliseconds time) {
    HttpWorker worker(io_, {kAnyPort.address(), server_.port()});
    worker.Start([this](const WorkerTaskFound&) { ++found_; },
                 [this] { ++listed_; }, [](const WorkerTaskEvent&) {});
    io_.run_for(time);
  }

  void Answer(const HttpExchange& exchange) {
    const bool list = exchange.request().target() == "/v1/tasks";
    ++(list ? lists_ : polls_);
    // Only the first poll for news is answered at once.
    if (!list && polls_ > 1 && news_ == R"({"news":[]})") {
      waiting_.push_back(exchange);
      return;
    }
    exchange.Respond(HttpResponse::Builder()
                         .status(200)
                         .body(Body(list ? tasks_ : news_))
                         .Build());
  }

  boost::asio::io_context io_{1};
  std::string tasks_ = R"({"tasks":[]})";
  std::string news_ = R"({"news":[]})";
  std::vector<HttpExchange> waiting_;
  int lists_ = 0;
  int polls_ = 0;
  int found_ = 0;
  int listed_ = 0;
  HttpServer server_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_answers)

BOOST_AUTO_TEST_CASE(an_odd_task_of_a_worker_hides_no_other) {
  for (const std::string& odd :
       {DeepArray(), std::string("1e99999999999999999999"), std::string("7")}) {
    ScriptedWorker worker;
    worker.tasks_ = R"({"tasks":[)" + odd + "," + TaskJson("a") + "," +
                    TaskJson("b") + "]}";
    worker.RunFor(std::chrono::milliseconds(300));
    BOOST_TEST(worker.found_ == 2);
    BOOST_TEST(worker.listed_ == 1);
  }
}

// An unreadable list is no empty list, and is not requested in a loop.
BOOST_AUTO_TEST_CASE(an_unreadable_answer_of_a_worker_is_requested_later) {
  ScriptedWorker tasks;
  tasks.tasks_ = "{";
  tasks.RunFor(std::chrono::milliseconds(800));
  BOOST_TEST(tasks.listed_ == 0);
  BOOST_TEST(tasks.lists_ == 2);
  ScriptedWorker news;
  news.news_ = R"({"news":7})";
  news.RunFor(std::chrono::milliseconds(800));
  BOOST_TEST(news.listed_ == 0);
  BOOST_TEST(news.polls_ == 2);
}

// Addresses come from the store and from settings.
BOOST_AUTO_TEST_CASE(odd_addresses_are_refused) {
  for (const char* good :
       {"127.0.0.1:7000", "[::1]:7000", "0.0.0.0:65535", "127.0.0.1:0"}) {
    BOOST_TEST_CONTEXT(good) {
      BOOST_TEST(ParseSocketAddress(good).has_value());
    }
  }
  for (const std::string odd : {"",
                                ":",
                                ":80",
                                "127.0.0.1",
                                "127.0.0.1:",
                                "127.0.0.1:65536",
                                "127.0.0.1:99999",
                                "127.0.0.1:-1",
                                "127.0.0.1:+1",
                                "127.0.0.1: 1",
                                "127.0.0.1:0x50",
                                "127.0.0.1:99999999999999999999",
                                "127.0.0.1:80:",
                                "256.0.0.1:80",
                                "host:80",
                                "[]:80",
                                "[:80",
                                "]:80",
                                "[::1]",
                                "::1",
                                "[::1]:80x",
                                "\xff\xfe:80"}) {
    BOOST_TEST_CONTEXT(odd) {
      BOOST_TEST(!ParseSocketAddress(odd).has_value());
    }
  }
  BOOST_TEST(!ParseSocketAddress(DeepArray() + ":80").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
