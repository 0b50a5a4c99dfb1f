// A job is cancelled while the entry that has its request stands still. See
// claim.txt.
//   case-6 FOLDER
// Exits with 1 if a task started or ran too late after the acknowledged
// cancelling, with 0 if none did, and with 2 if the case couldn't run.
#include <signal.h>

#include <cstdlib>
#include <thread>

#include "fleet.h"

namespace {

using review::Now;
using review::Pause;

constexpr int kAgents = 4;
constexpr int kFreezeMs = 600;
// Half the objective of the shortest kind of request.
constexpr int kLeavesAfterMs = 300;
constexpr int kCancelMs = 3000;
// Where the platform's bound for a stop is exceeded by less, it is the test.
constexpr int kSlackMs = 200;

// Three steps, one after the other, of two tasks each.
std::string Steps() {
  review::json::array steps;
  for (int number = 0; number < 3; ++number) {
    review::json::object step{
        {"count", 2}, {"cpu", 1000}, {"mem_mb", 1000}, {"estimate_ms", 2000}};
    if (number > 0) step["after"] = review::json::array{number - 1};
    steps.push_back(step);
  }
  return review::json::serialize(
      review::json::object{{"spec", "ms=2000"}, {"steps", steps}});
}

int Run(const std::string& folder) {
  review::Record& record = *new review::Record("review/6/record.txt");
  review::Fleet& fleet = *new review::Fleet(2, kAgents, folder, record);
  if (!fleet.Start()) {
    record.Write("the deployment does not start");
    return 2;
  }
  const std::string job = "00000000000000a6";
  std::thread wake;
  if (review::HasTrouble()) {
    record.Write("trouble: front-0 is stopped");
    fleet.entry(0).Signal(SIGSTOP);
    wake = std::thread([&] {
      Pause(kFreezeMs);
      record.Write("trouble: front-0 goes on");
      fleet.entry(0).Signal(SIGCONT);
    });
    Pause(20);
  }
  // The client waits for as long as its deadline says, and leaves.
  fleet.Submit(0, job, Steps(), kLeavesAfterMs);
  // Then it cancels what it may have handed in, at the other entry.
  int status = 0;
  for (int tries = 0; tries < 5 && status != 200 && status != 410; ++tries) {
    status = fleet.Cancel(1, job);
  }
  const double cancelled = Now();
  if (status != 200 && status != 410) return 2;
  if (wake.joinable()) wake.join();
  Pause(12000);
  fleet.State(1, job);
  int late = 0;
  for (const review::Span& span : fleet.spans().All()) {
    const double started = span.from_ - cancelled;
    const double ended = (span.to_ < 0 ? Now() : span.to_) - cancelled;
    const bool too_late = started > kCancelMs ||
                          ended > kCancelMs + review::kStopGraceMs + kSlackMs;
    if (!too_late) continue;
    ++late;
    record.Write("UNASKED: " + span.task_ + " started " +
                 std::to_string(started) +
                 " ms after the acknowledgement of "
                 "the cancelling, and ran until " +
                 std::to_string(ended) + " ms after it");
  }
  record.Write(std::to_string(late) + " tasks started or ran too late");
  return late == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  // The processes of the system end with this one.
  std::_Exit(Run(argv[1]));
}
