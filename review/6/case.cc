// An executor leaves while the agent beside it stands still. See claim.txt.
//   case-6 FOLDER
// Exits with 1 if a task ran twice at the same time, with 0 if none did, and
// with 2 if the case couldn't run.
#include <signal.h>

#include <cstdlib>
#include <thread>

#include "fleet.h"

namespace {

using review::Pause;

constexpr int kAgents = 8;
constexpr int kTasks = 24;
constexpr int kWorkMs = 30000;
constexpr int kFreezeMs = 2500;
// Of the freeze, before the executor says that it leaves.
constexpr int kFrozenBeforeMs = 300;

int Run(const std::string& folder) {
  review::Record& record = *new review::Record("review/6/record.txt");
  // Threads of the stand-ins use it until the program ends.
  review::Fleet& fleet = *new review::Fleet(1, kAgents, folder, record);
  if (!fleet.Start()) {
    record.Write("the deployment does not start");
    return 2;
  }
  const std::string job = "00000000000000a6";
  if (fleet.Submit(0, job, review::OneStep(kTasks, kWorkMs, 2000)) != 200) {
    return 2;
  }
  Pause(3000);
  // Not beside the holder, so that only the agent of one machine stands still.
  const int holder = fleet.Holder();
  int leaving = -1;
  for (int i = 0; i < kAgents; ++i) {
    const bool runs = !fleet.executor(i).Running().empty();
    if (i != holder && runs && leaving < 0) leaving = i;
  }
  if (leaving < 0) {
    record.Write("no executor to leave");
    return 2;
  }
  record.Write("holder: side-" + std::to_string(holder) + ", leaving: i-" +
               std::to_string(leaving));
  std::thread wake;
  fleet.executor(leaving).Leave(1000, 4000, [&] {
    if (!review::HasTrouble()) return;
    record.Write("trouble: the agent side-" + std::to_string(leaving) +
                 " is stopped");
    fleet.agent(leaving).Signal(SIGSTOP);
    wake = std::thread([&] {
      Pause(kFreezeMs);
      record.Write("trouble: the agent goes on");
      fleet.agent(leaving).Signal(SIGCONT);
    });
    Pause(kFrozenBeforeMs);
  });
  if (wake.joinable()) wake.join();
  Pause(6000);
  const auto twice = review::Overlaps(fleet.spans().All());
  for (const auto& [first, second] : twice) {
    record.Write("TWICE: " + first.task_ + " run " +
                 std::to_string(first.run_) + " on " + first.executor_ +
                 " and run " + std::to_string(second.run_) + " on " +
                 second.executor_ + " from " + std::to_string(second.from_) +
                 " ms");
  }
  record.Write(std::to_string(twice.size()) + " tasks ran twice at a time");
  return twice.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  // The processes of the system end with this one.
  std::_Exit(Run(argv[1]));
}
