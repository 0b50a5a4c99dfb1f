// Measures the complete request path on loopback (caller, entry, agent,
// endpoint and back) and compares it with direct calls to the same endpoint.
// The entry and the agent share one thread, whose processor time is measured;
// the endpoint and the callers run on separate threads. Usage:
//   path_load [REQUESTS]
#include <time.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <thread>

#include "adapters/http_client.h"
#include "adapters/node_loop.h"
#include "adapters/socket_address.h"
#include "programs/agent_process.h"
#include "programs/entry_process.h"
#include "programs/example_endpoint.h"
#include "systems/entry/store_keys.h"
#include "wire/record_codec.h"

namespace quetzalline {
namespace {

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

double ThreadSeconds() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) +
         static_cast<double>(spent.tv_nsec) / 1e9;
}

// Runs an event loop on a dedicated thread and measures its processor time.
class LoopThread {
 public:
  LoopThread()
      : work_guard_(boost::asio::make_work_guard(io_)),
        thread_([this] { io_.run(); }) {}
  ~LoopThread() {
    io_.stop();
    thread_.join();
  }

  boost::asio::io_context& io() { return io_; }

  template <typename Work>
  auto Run(Work work) {
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto result = task.get_future();
    boost::asio::post(io_, std::ref(task));
    return result.get();
  }

  double CpuSeconds() {
    return Run([] { return ThreadSeconds(); });
  }

 private:
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::thread thread_;
};

struct LoadResult {
  std::vector<Duration> latencies_;
  double seconds_ = 0.0;
};

// Runs concurrent callers, each of which sends its next request after the
// answer to the previous one.
LoadResult RunLoad(std::uint16_t port, int callers, int requests) {
  boost::asio::io_context io(1);
  HttpClient client(io, *ParseSocketAddress(Loopback(port)));
  const HttpRequest request =
      HttpRequest::Builder()
          .method("GET")
          .target("/q/1")
          .headers({Header::Builder().name("Host").value("bench").Build()})
          .Build();
  LoadResult load;
  int left = requests;
  std::function<void()> next = [&] {
    if (left-- <= 0) return;
    const Instant start = ReadClock();
    client.Call(request, [&, start](const CallResult& result) {
      if (std::holds_alternative<CallCompleted>(result)) {
        load.latencies_.push_back(ReadClock() - start);
      }
      next();
    });
  };
  const Instant start = ReadClock();
  for (int i = 0; i < callers; ++i) next();
  io.run();
  load.seconds_ = std::chrono::duration<double>(ReadClock() - start).count();
  std::sort(load.latencies_.begin(), load.latencies_.end());
  return load;
}

double Percentile(const LoadResult& result, double share) {
  const auto& sorted = result.latencies_;
  if (sorted.empty()) return 0.0;
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index].count()) / 1000.0;
}

void Print(const char* name, int callers, const LoadResult& result,
           double cpu_seconds) {
  const auto answered = static_cast<double>(result.latencies_.size());
  std::printf(
      "%-8s callers %3d  answered %6.0f  p50 %.3f  p99 %.3f ms  %6.0f/s", name,
      callers, answered, Percentile(result, 0.5), Percentile(result, 0.99),
      answered / result.seconds_);
  if (cpu_seconds > 0.0) {
    std::printf("  %6.0f requests a core second of the pair",
                answered / cpu_seconds);
  }
  std::printf("\n");
}

void PutService(SharedStore& store) {
  const ServiceFile file = ServiceFile::Builder()
                               .name(ServiceName("quotes"))
                               .route(Route::Builder()
                                          .prefix("/q")
                                          .deadline(std::chrono::seconds(5))
                                          .Build())
                               .Build();
  const StoreRecord record = PublishedService::Builder().file(file).Build();
  store.Write(
      ServiceKey(file.name()), EncodeRecord(record), 0,
      [](std::optional<std::int64_t>) {}, [] {});
}

int Run(int requests) {
  LoopThread endpoint_thread;
  LoopThread pair_thread;
  ExampleEndpoint endpoint(endpoint_thread.io(),
                           {Duration::zero(), "executor"});
  endpoint_thread.Run(
      [&] { return endpoint.Start(*ParseSocketAddress("127.0.0.1:0")); });
  auto store = std::make_shared<SharedStore>(pair_thread.io());
  const EntrySettings entry_settings =
      EntrySettings::Builder()
          .policy(EntryPolicy::Builder()
                      .entry(EntryId("entry"))
                      .incarnation(1)
                      .slow_start(Duration::zero())
                      .Build())
          .callers("127.0.0.1:0")
          .operators("127.0.0.1:0")
          .agents("127.0.0.1:0")
          .Build();
  EntryProcess entry(pair_thread.io(), entry_settings,
                     StoreAdapter(LocalStore(store)), 1);
  pair_thread.Run([&] {
    PutService(*store);
    return entry.Start();
  });
  const AgentSettings agent_settings =
      AgentSettings::Builder()
          .policy(AgentPolicy::Builder()
                      .endpoint(EndpointId("executor"))
                      .service(ServiceName("quotes"))
                      .incarnation(1)
                      .Build())
          .entries({Loopback(entry.agent_port())})
          .endpoint(Loopback(endpoint.port()))
          .operators("127.0.0.1:0")
          .Build();
  AgentProcess agent(pair_thread.io(), agent_settings,
                     WorkerAdapter(NullWorker()), 2);
  pair_thread.Run([&] { return agent.Start(); });
  RunLoad(entry.caller_port(), 4, 2000);
  for (const int callers : {1, 4, 8, 32}) {
    Print("direct", callers, RunLoad(endpoint.port(), callers, requests), 0.0);
    const double before = pair_thread.CpuSeconds();
    const LoadResult result = RunLoad(entry.caller_port(), callers, requests);
    Print("path", callers, result, pair_thread.CpuSeconds() - before);
  }
  std::fflush(stdout);
  std::_Exit(0);
}

}  // namespace
}  // namespace quetzalline

int main(int argc, char** argv) {
  return quetzalline::Run(argc > 1 ? std::atoi(argv[1]) : 20000);
}
