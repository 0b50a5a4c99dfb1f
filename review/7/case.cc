// Jobs are cancelled while one of their executors leaves all orders unanswered.
// See claim.txt.
//   case-7 FOLDER
// Exits with 1 if a task started too late after the acknowledged cancelling,
// with 0 if none did, and with 2 if the case couldn't run.
#include <atomic>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "fleet.h"

namespace {

using review::Now;
using review::Pause;

constexpr int kAgents = 8;
constexpr int kJobs = 10;
constexpr int kTasks = 32;
constexpr int kHangMs = 4300;
constexpr int kCancelMs = 3000;

// Lets the executor stall everything until the given time: the requests that
// arrive before are neither answered nor carried out, and their connections
// stay open until the agent closes them.
void Hang(review::Executor& executor, double until) {
  executor.SetHook(
      [until](const review::Request&) -> std::optional<review::Response> {
        if (Now() >= until) return std::nullopt;
        Pause(kHangMs + 2000);
        review::Response none;
        none.drop_ = true;
        return none;
      });
}

std::string JobId(int number) {
  return "00000000000a7" + std::to_string(100 + number);
}

int Run(const std::string& folder) {
  review::Record& record = *new review::Record("review/7/record.txt");
  review::Fleet& fleet = *new review::Fleet(2, kAgents, folder, record);
  if (!fleet.Start()) {
    record.Write("the deployment does not start");
    return 2;
  }
  const int holder = fleet.Holder();
  const int hanging = holder == 0 ? 1 : 0;
  if (review::HasTrouble()) {
    record.Write("trouble: i-" + std::to_string(hanging) + " hangs for " +
                 std::to_string(kHangMs) + " ms");
    Hang(fleet.executor(hanging), Now() + kHangMs);
  }
  // All are handed in at once, and cancelled at once.
  const auto at_once = [&](const std::function<bool(int)>& call) {
    std::vector<std::thread> threads;
    std::atomic<int> done = 0;
    for (int number = 0; number < kJobs; ++number) {
      threads.emplace_back([&, number] { done += call(number) ? 1 : 0; });
    }
    for (std::thread& thread : threads) thread.join();
    return done == kJobs;
  };
  const std::string steps = review::OneStep(kTasks, 20000, 1000);
  const bool accepted = at_once([&](int number) {
    return fleet.Submit(number % 2, JobId(number), steps) == 200;
  });
  if (!accepted) return 2;
  Pause(200);
  std::mutex mutex;
  std::map<std::string, double> cancelled;
  const bool all_cancelled = at_once([&](int number) {
    const std::string job = JobId(number);
    for (int tries = 0; tries < 5; ++tries) {
      if (fleet.Cancel(number % 2, job) != 200) continue;
      const std::lock_guard lock(mutex);
      cancelled[job] = Now();
      return true;
    }
    return false;
  });
  if (!all_cancelled) return 2;
  Pause(8000);
  int late = 0;
  for (const review::Span& span : fleet.spans().All()) {
    const double started = span.from_ - cancelled.at(span.task_.substr(0, 16));
    if (started <= kCancelMs) continue;
    ++late;
    record.Write("UNASKED: " + span.task_ + " run " +
                 std::to_string(span.run_) + " started on " + span.executor_ +
                 " " + std::to_string(started) +
                 " ms after the acknowledgement of the cancelling");
  }
  record.Write(std::to_string(late) + " tasks started too late");
  return late == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  // The processes of the system end with this one.
  std::_Exit(Run(argv[1]));
}
