#include "support/fleet_fixtures.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

constexpr std::int64_t kInstanceMillicores = 8000;
constexpr std::int64_t kInstanceMemoryMib = 16000;

Location MakeLocation(const std::string& region, const std::string& zone) {
  return Location::Builder()
      .region(Region(region))
      .zone(AvailabilityZone(zone))
      .Build();
}

}  // namespace

TaskTemplate BatchTask(const std::string& name, Duration run_time) {
  return TaskTemplate::Builder()
      .name(name)
      .workload(BatchWorkload::Builder()
                    .run_time(run_time)
                    .checkpoint_interval(std::chrono::seconds(1))
                    .Build())
      .needs(Resources::Builder().milli_cores(2000).memory_mib(1000).Build())
      .Build();
}

ServiceFile QuoteService() {
  const TaskTemplate watcher =
      TaskTemplate::Builder()
          .name("watch")
          .workload(WatcherWorkload::Builder().subject("lots/1").Build())
          .needs(Resources::Builder().milli_cores(100).Build())
          .Build();
  const TaskTemplate huge =
      TaskTemplate::Builder(BatchTask("huge", std::chrono::seconds(1)))
          .needs(Resources::Builder().milli_cores(1000000).Build())
          .Build();
  return ServiceFile::Builder()
      .name(ServiceName("quotes"))
      .team(TeamName("team"))
      .route(Route::Builder()
                 .prefix("/quotes")
                 .deadline(std::chrono::seconds(1))
                 .idempotent_methods({"GET"})
                 .Build())
      .tasks({BatchTask("rebuild", std::chrono::seconds(10)),
              BatchTask("long", std::chrono::minutes(10)), watcher, huge})
      .Build();
}

EntryPolicy EntryIn(const std::string& name, const std::string& region,
                    const std::string& zone) {
  return EntryPolicy::Builder()
      .entry(EntryId(name))
      .operator_url("http://" + name)
      .location(MakeLocation(region, zone))
      .Build();
}

AgentPolicy AgentIn(const std::string& name, const std::string& region,
                    const std::string& zone) {
  return AgentPolicy::Builder()
      .endpoint(EndpointId(name))
      .service(ServiceName("quotes"))
      .location(MakeLocation(region, zone))
      .capacity(Resources::Builder()
                    .milli_cores(kInstanceMillicores)
                    .memory_mib(kInstanceMemoryMib)
                    .Build())
      .Build();
}

SmallFleet::SmallFleet(std::uint64_t seed, int entries, int agents,
                       const EndpointBehaviour& behaviour)
    : fleet_(seed) {
  fleet_.PutService(QuoteService());
  for (int i = 1; i <= entries; ++i) {
    fleet_.AddEntry(EntryIn("entry-" + std::to_string(i), "r", "z"));
  }
  for (int i = 1; i <= agents; ++i) {
    fleet_.AddAgent(AgentIn("executor-" + std::to_string(i), "r", "z"),
                    behaviour);
  }
  fleet_.RunFor(std::chrono::seconds(7));
}

Reason ReasonOf(const AttemptOutcome& outcome) {
  return std::visit(
      Overloaded{[](const Done&) { return Reason::kNone; },
                 [](const NotRun& not_run) { return not_run.reason(); },
                 [](const Unknown& unknown) { return unknown.reason(); }},
      outcome);
}

}  // namespace quetzalline
