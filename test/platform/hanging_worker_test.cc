#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "adapters/node_loop.h"
#include "core/overloaded.h"
#include "systems/runner/runner_node.h"
#include "worker_client.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kBornMs = 1000;
constexpr std::uint64_t kRuns = 30;
const ConnectionId kHolder(1);

RunKey FirstRunOf(std::uint64_t job) {
  return RunKey::Builder()
      .task(TaskKey::Builder().job(job).Build())
      .run(1)
      .Build();
}

// A runner and its client, with a worker that may hang: it reads no request and
// answers none.
class RunnerOfHangingWorker {
 public:
  RunnerOfHangingWorker()
      : server_(
            io_, HttpLimits(),
            [this](const HttpExchange& exchange) { Answer(exchange); }, [] {}) {
    const auto address = boost::asio::ip::make_address("127.0.0.1");
    BOOST_REQUIRE(server_.Listen({address, 0}));
    client_ = std::make_unique<WorkerClient>(
        io_, boost::asio::ip::tcp::endpoint(address, server_.port()),
        [this](const WorkerAnswer& answer) { loop_->Post(answer); });
    loop_ = std::make_unique<NodeLoop<RunnerNode>>(
        io_,
        RunnerNode(RunnerPolicy::Builder().member(MemberName("agent")).Build(),
                   1),
        [this](const RunnerEffect& effect) { Perform(effect); });
    loop_->Post(WorkerAnnounced::Builder()
                    .facts(WorkerDescription::Builder()
                               .worker("worker")
                               .born_ms(kBornMs)
                               .cpu(64'000)
                               .memory_mb(64'000)
                               .Build())
                    .sequence(1)
                    .Build());
    Receive(AttachRunner::Builder().epoch(1).session(1).Build());
    while (!listed_) io_.run_one();
    RunFor(milliseconds(300));
  }

  void Receive(const RunnerMessage& message) {
    loop_->Post(RunnerMessageReceived::Builder()
                    .connection(kHolder)
                    .message(message)
                    .Build());
  }

  void Start(std::uint64_t job) {
    Receive(StartRun::Builder()
                .run(FirstRunOf(job))
                .spec(std::string("spec"))
                .born_ms(kBornMs)
                .cpu(1000)
                .memory_mb(1000)
                .Build());
  }

  void RunFor(Duration time) {
    const Instant end = ReadClock() + time;
    while (ReadClock() < end) io_.run_for(milliseconds(1));
  }

  void SetHung(bool hung) {
    hung_ = hung;
    if (!hung) held_.clear();
  }

  // Returns the number of starts that the worker has received since a time.
  std::ptrdiff_t StartsSince(Instant time) const {
    return std::count_if(starts_.begin(), starts_.end(),
                         [&](Instant start) { return start >= time; });
  }

 private:
  void Perform(const RunnerEffect& effect) {
    std::visit(
        Overloaded{
            [&](const WorkerPoll& e) { client_->Perform(e); },
            [&](const WorkerStart& e) { client_->Perform(e); },
            [&](const WorkerStop& e) { client_->Perform(e); },
            [&](const WorkerThrottle& e) { client_->Perform(e); },
            [&](const SendToHolder& e) {
              const auto* report = std::get_if<WorkerReport>(&e.message());
              if (report == nullptr) return;
              listed_ = listed_ || report->whole();
              Receive(GrantLease::Builder().report(report->number()).Build());
            },
            [](const auto&) {},
        },
        effect);
  }

  void Answer(const HttpExchange& exchange) {
    const std::string& target = exchange.request().target();
    if (target == "/-/run-start") starts_.push_back(ReadClock());
    if (hung_) {
      held_.push_back(exchange);
      return;
    }
    boost::json::object answer{{"clock_ms", 100}, {"born", kBornMs}};
    if (target == "/-/hold") {
      answer["running"] = boost::json::array();
      answer["finished"] = boost::json::array();
    }
    exchange.Respond(HttpResponse::Builder()
                         .status(200)
                         .body(Body(boost::json::serialize(answer)))
                         .Build());
  }

  boost::asio::io_context io_{1};
  bool hung_ = false;
  std::vector<HttpExchange> held_;
  std::vector<Instant> starts_;
  // True once the holder has got the list of runs.
  bool listed_ = false;
  HttpServer server_;
  std::unique_ptr<WorkerClient> client_;
  std::unique_ptr<NodeLoop<RunnerNode>> loop_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(hanging_workers)

// Starts that wait for a worker which does not answer must not be sent after
// the holder has stopped their runs: their jobs were cancelled (UNASKED), or
// the worker drains.
BOOST_AUTO_TEST_CASE(a_start_that_waits_is_not_sent_after_its_stop) {
  // A start may be on its way at the time of the stop, while the client finds
  // out who answers.
  constexpr Duration kOnTheWay = milliseconds(600);
  RunnerOfHangingWorker runner;
  runner.SetHung(true);
  for (std::uint64_t job = 1; job <= kRuns; ++job) runner.Start(job);
  runner.RunFor(milliseconds(200));
  const Instant stopped_at = ReadClock();
  for (std::uint64_t job = 1; job <= kRuns; ++job) {
    runner.Receive(StopRun::Builder().run(FirstRunOf(job)).Build());
  }
  runner.RunFor(milliseconds(1500));
  runner.SetHung(false);
  runner.RunFor(milliseconds(1000));
  BOOST_TEST(runner.StartsSince(stopped_at + kOnTheWay) == 0);
  runner.Start(kRuns + 1);
  runner.RunFor(milliseconds(300));
  BOOST_TEST(runner.StartsSince(stopped_at + kOnTheWay) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
