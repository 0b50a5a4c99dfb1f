// Simulates the holder of a cell's leader lease with many workers in virtual
// time. Prints the processor time of the whole simulation for each task start.
// Usage:
//   holder_load [AGENTS] [SECONDS]

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <iostream>

#include "support/virtual_cell.h"

namespace quetzalline {
namespace {

constexpr std::size_t kEntries = 4;
// Submitted jobs per second and worker; each job has two steps.
constexpr double kJobsPerWorkerSecond = 0.2;

JobStep Step(std::int32_t count, std::int64_t cpu, Duration time) {
  return JobStep::Builder()
      .count(count)
      .cpu(cpu)
      .memory_mb(500)
      .estimate(time)
      .Build();
}

JobDefinition DrawJob(Random& random) {
  const auto count = static_cast<std::int32_t>(4 + UniformInt(random, 16));
  const JobStep first = Step(count, 300, std::chrono::milliseconds(800));
  const JobStep second =
      JobStep::Builder(Step(count, 1500, std::chrono::milliseconds(2500)))
          .after({0})
          .fills(true)
          .image("image-" + std::to_string(UniformInt(random, 17)))
          .Build();
  return JobDefinition::Builder().spec("spec").steps({first, second}).Build();
}

JobDefinition LongRunningService(std::int64_t image) {
  return JobDefinition::Builder()
      .spec("spec")
      .steps({JobStep::Builder(Step(10, 3000, std::chrono::seconds(60)))
                  .long_running(true)
                  .target(std::chrono::milliseconds(100))
                  .image("serving-" + std::to_string(image))
                  .Build()})
      .Build();
}

int RunLoad(std::size_t agents, std::int64_t seconds) {
  Random random(1);
  VirtualCell cell(agents, kEntries, 1);
  cell.RunFor(std::chrono::seconds(3));
  for (std::size_t i = 0; i < agents / 10; ++i) {
    cell.Submit(LongRunningService(static_cast<std::int64_t>(i % 10)));
  }
  cell.RunFor(std::chrono::seconds(2));
  const std::clock_t start = std::clock();
  const double jobs_a_second =
      kJobsPerWorkerSecond * static_cast<double>(agents);
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / jobs_a_second));
  const Instant end = cell.now() + std::chrono::seconds(seconds);
  std::int64_t starts = 0;
  std::vector<std::uint64_t> jobs;
  while (cell.now() < end) {
    jobs.push_back(cell.Submit(DrawJob(random)));
    cell.RunFor(interval);
  }
  for (const std::uint64_t job : jobs) starts += cell.log().StartsOf(job);
  const double cpu_seconds =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  std::cout << agents << " agents, " << jobs.size() << " jobs, " << starts
            << " starts: " << cpu_seconds * 1e6 / static_cast<double>(starts)
            << " us a start, " << cpu_seconds / static_cast<double>(seconds)
            << " cores\n";
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace quetzalline

int main(int argc, char** argv) {
  constexpr std::size_t kAgents = 75;
  constexpr std::int64_t kSeconds = 30;
  return quetzalline::RunLoad(argc > 1 ? std::stoul(argv[1]) : kAgents,
                              argc > 2 ? std::stoll(argv[2]) : kSeconds);
}
