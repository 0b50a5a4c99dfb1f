#include "worker_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "worker_codec.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;

const boost::asio::ip::tcp::endpoint kAnyPort(
    boost::asio::ip::make_address("127.0.0.1"), 0);
const std::string kWorker = "worker";
constexpr std::int64_t kFirstLife = 1000;
constexpr std::int64_t kSecondLife = 2000;
// Ends of leases by the clocks of the two lives.
constexpr std::int64_t kFirstLease = 900'000;
constexpr std::int64_t kSecondLease = 6'000;

// A worker in a process of its own, which may start again under its id.
class RestartingWorker {
 public:
  struct Received {
    std::int64_t born_ms_ = 0;
    std::string target_;
    std::int64_t lease_end_ms_ = 0;
  };

  RestartingWorker() {
    Listen(kAnyPort);
    client_ = std::make_unique<WorkerClient>(
        io_,
        boost::asio::ip::tcp::endpoint(kAnyPort.address(), server_->port()),
        [this](const WorkerAnswer& answer) {
          answers_[answer.call()] = answer;
        });
  }

  // The process ends with its connections, and another one takes its place.
  void Restart() {
    const boost::asio::ip::tcp::endpoint address(kAnyPort.address(),
                                                 server_->port());
    server_.reset();
    born_ms_ = kSecondLife;
    Listen(address);
  }

  // Executes calls, and loses the answers.
  void SetMute(bool mute) { mute_ = mute; }

  // Sends a poll and returns its answer.
  WorkerAnswer Poll(std::int64_t born_ms, std::int64_t lease_end_ms) {
    const std::uint64_t call = ++last_call_;
    client_->Perform(WorkerPoll::Builder()
                         .call(call)
                         .worker(kWorker)
                         .born_ms(born_ms)
                         .lease_end_ms(lease_end_ms)
                         .Build());
    return AnswerOf(call);
  }

  WorkerAnswer Start(std::int64_t born_ms, std::int64_t lease_end_ms) {
    const std::uint64_t call = ++last_call_;
    client_->Perform(WorkerStart::Builder()
                         .call(call)
                         .worker(kWorker)
                         .born_ms(born_ms)
                         .run(RunKey::Builder().run(1).Build())
                         .spec(std::string("spec"))
                         .lease_end_ms(lease_end_ms)
                         .Build());
    return AnswerOf(call);
  }

  // Lets the client open its spare connections: runs until nothing has happened
  // for twenty turns.
  void Settle() {
    constexpr int kQuietTurns = 20;
    for (int quiet = 0; quiet < kQuietTurns;) {
      quiet = io_.run_one_for(milliseconds(5)) == 0 ? quiet + 1 : 0;
    }
  }

  // Returns the calls that a life received with a lease.
  std::vector<Received> Leased(std::int64_t born_ms) const {
    std::vector<Received> leased;
    for (const Received& received : received_) {
      const bool with_lease = received.lease_end_ms_ > 0;
      if (received.born_ms_ == born_ms && with_lease)
        leased.push_back(received);
    }
    return leased;
  }

 private:
  void Listen(const boost::asio::ip::tcp::endpoint& address) {
    server_ = std::make_unique<HttpServer>(
        io_, HttpLimits(),
        [this](const HttpExchange& exchange) { Answer(exchange); }, [] {});
    BOOST_REQUIRE(server_->Listen(address));
  }

  void Answer(const HttpExchange& exchange) {
    const auto body =
        boost::json::parse(exchange.request().body().bytes()).as_object();
    const auto* lease = body.if_contains("until_ms");
    received_.push_back({born_ms_, exchange.request().target(),
                         lease == nullptr ? 0 : lease->as_int64()});
    if (mute_) {
      unanswered_.push_back(exchange);
      return;
    }
    // As on the platform, only lists name the incarnation.
    boost::json::object answer{{"clock_ms", 100}};
    if (exchange.request().target() == "/-/hold") answer["born"] = born_ms_;
    exchange.Respond(HttpResponse::Builder()
                         .status(200)
                         .body(Body(boost::json::serialize(answer)))
                         .Build());
  }

  WorkerAnswer AnswerOf(std::uint64_t call) {
    while (answers_.count(call) == 0) io_.run_one();
    return answers_.at(call);
  }

  boost::asio::io_context io_{1};
  std::int64_t born_ms_ = kFirstLife;
  bool mute_ = false;
  std::vector<Received> received_;
  std::vector<HttpExchange> unanswered_;
  std::map<std::uint64_t, WorkerAnswer> answers_;
  std::uint64_t last_call_ = 0;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<WorkerClient> client_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_clients)

// A lease by the clock of an earlier incarnation is longer than any that the
// holder counts, so a task would run on two workers (TWICE).
BOOST_AUTO_TEST_CASE(a_restarted_worker_gets_no_lease_by_its_earlier_clock) {
  for (const bool mute : {true, false}) {
    RestartingWorker worker;
    worker.Poll(kFirstLife, 0);
    worker.Poll(kFirstLife, kFirstLease);
    worker.Start(kFirstLife, kFirstLease);
    worker.Settle();
    BOOST_TEST(worker.Leased(kFirstLife).size() == 2);
    worker.Restart();
    worker.SetMute(mute);
    const WorkerAnswer start = worker.Start(kFirstLife, kFirstLease);
    const WorkerAnswer poll = worker.Poll(kFirstLife, kFirstLease);
    BOOST_TEST(worker.Leased(kSecondLife).empty());
    BOOST_TEST((start.verdict() == WorkerCallOutcome::kNotSent));
    if (mute) continue;
    BOOST_TEST(start.born_ms() == kSecondLife);
    BOOST_TEST(poll.born_ms() == kSecondLife);
    worker.Start(kSecondLife, kSecondLease);
    BOOST_TEST(worker.Leased(kSecondLife).size() == 1);
  }
}

// A worker whose answers are lost for some seconds must not lose its tasks: the
// leases that the holder still grants reach it.
BOOST_AUTO_TEST_CASE(a_lease_reaches_a_worker_whose_answers_are_lost) {
  RestartingWorker worker;
  worker.Poll(kFirstLife, kFirstLease);
  for (int i = 0; i < 3; ++i) {
    worker.Poll(kFirstLife, kFirstLease);
    worker.Settle();
  }
  worker.SetMute(true);
  worker.Poll(kFirstLife, kFirstLease + 1);
  worker.Poll(kFirstLife, kFirstLease + 2);
  BOOST_TEST(worker.Leased(kFirstLife).back().lease_end_ms_ == kFirstLease + 2);
  worker.SetMute(false);
  const WorkerAnswer answer = worker.Poll(kFirstLife, kFirstLease + 3);
  BOOST_TEST((answer.verdict() == WorkerCallOutcome::kDone));
  BOOST_TEST(worker.Leased(kFirstLife).back().lease_end_ms_ == kFirstLease + 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
