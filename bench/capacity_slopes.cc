// Measures the unit costs from which docs/CAPACITY.md is calculated: bytes and
// processor time for each endpoint, heartbeat, task and assignment, at several
// sizes.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "systems/agent/agent_node.h"
#include "systems/entry/entry_node.h"
#include "systems/entry/place_tasks.h"
#include "wire/frame_header.h"
#include "wire/message_codec.h"
#include "wire/record_codec.h"

namespace quetzalline {
namespace {

using Clock = std::chrono::steady_clock;

std::size_t HeapBytes() { return mallinfo2().uordblks; }

double NanosSince(Clock::time_point start) {
  return std::chrono::duration<double, std::nano>(Clock::now() - start).count();
}

Location LocalZone() {
  return Location::Builder()
      .region(Region("fukuoka"))
      .zone(AvailabilityZone("hakata"))
      .rack(RackName("rack-12"))
      .Build();
}

Announce MakeAnnounce(int number, std::uint64_t sequence, int tasks) {
  std::vector<TaskAttemptId> held;
  for (int i = 0; i < tasks; ++i) {
    held.push_back(TaskAttemptId::Builder()
                       .task(TaskId("rebuild-2026-49-" + std::to_string(i)))
                       .number(1)
                       .Build());
  }
  Announce::Builder announce;
  announce.endpoint(EndpointId("executor-" + std::to_string(number)))
      .service(ServiceName("listings"))
      .incarnation(7198023411974144ULL)
      .sequence(sequence)
      .location(LocalZone())
      .slots(8)
      .capacity(
          Resources::Builder().milli_cores(64000).memory_mib(250000).Build())
      .load(LoadReport::Builder()
                .running(3)
                .limit(8)
                .service_time(std::chrono::microseconds(5432))
                .Build())
      .configuration(123456);
  if (tasks > 0) announce.tasks(std::move(held));
  return announce.Build();
}

void PrintSizes() {
  const auto frame = [](const std::string& payload) {
    return MakeFrame(payload).size();
  };
  const EntryMessage reply = HeartbeatReply::Builder()
                                 .entry(EntryId("entry-1"))
                                 .incarnation(7198023411974144ULL)
                                 .echo(123456)
                                 .epoch(12)
                                 .task_lease(std::chrono::seconds(15))
                                 .Build();
  std::printf("heartbeat %zu bytes, with 15 tasks %zu bytes, reply %zu bytes\n",
              frame(EncodeMessage(AgentMessage(MakeAnnounce(1, 1, 0)))),
              frame(EncodeMessage(AgentMessage(MakeAnnounce(1, 1, 15)))),
              frame(EncodeMessage(reply)));
}

EntryInput Received(int number, const Announce& announce) {
  return AgentMessageReceived::Builder()
      .connection(ConnectionId(static_cast<std::uint64_t>(number + 1)))
      .message(announce)
      .Build();
}

void MeasureHeartbeats(int endpoints) {
  constexpr int kHeartbeats = 20000;
  const std::size_t before = HeapBytes();
  EntryNode node(EntryPolicy::Builder()
                     .entry(EntryId("entry"))
                     .location(LocalZone())
                     .cell("")
                     .Build(),
                 1);
  Instant now{};
  node.RunTick(now, {});
  for (int i = 0; i < endpoints; ++i) {
    const std::vector<EntryInput> inputs{Received(i, MakeAnnounce(i, 1, 0))};
    node.RunTick(now, inputs);
  }
  const std::size_t bytes = HeapBytes() - before;
  std::vector<std::string> payloads;
  for (int i = 0; i < kHeartbeats; ++i) {
    const auto sequence = static_cast<std::uint64_t>(2 + i / endpoints);
    payloads.push_back(
        EncodeMessage(AgentMessage(MakeAnnounce(i % endpoints, sequence, 0))));
  }
  const auto start = Clock::now();
  for (int i = 0; i < kHeartbeats; ++i) {
    now += std::chrono::microseconds(10);
    const auto message = DecodeAgentMessage(payloads[i]);
    const std::vector<EntryInput> inputs{
        AgentMessageReceived::Builder()
            .connection(
                ConnectionId(static_cast<std::uint64_t>(i % endpoints + 1)))
            .message(*message)
            .Build()};
    for (const EntryEffect& effect : node.RunTick(now, inputs)) {
      if (const auto* sent = std::get_if<SendToAgent>(&effect)) {
        EncodeMessage(sent->message());
      }
    }
  }
  std::printf(
      "entry: endpoints %5d  heap %6.0f bytes an endpoint  heartbeat %6.0f ns "
      "decoded, decided and answered\n",
      endpoints, static_cast<double>(bytes) / endpoints,
      NanosSince(start) / kHeartbeats);
}

void MeasureAgent(int entries) {
  constexpr int kSeconds = 2000;
  AgentNode node(AgentPolicy::Builder()
                     .endpoint(EndpointId("executor"))
                     .service(ServiceName("listings"))
                     .incarnation(1)
                     .location(LocalZone())
                     .Build(),
                 1);
  Instant now{};
  std::vector<AgentInput> opened;
  for (int i = 0; i < entries; ++i) {
    opened.push_back(
        ConnectionOpened::Builder()
            .connection(ConnectionId(static_cast<std::uint64_t>(i + 1)))
            .Build());
  }
  node.RunTick(now, opened);
  std::size_t bytes = 0;
  const auto start = Clock::now();
  for (int tick = 0; tick < 2 * kSeconds; ++tick) {
    now += std::chrono::milliseconds(500);
    std::vector<AgentInput> replies;
    for (int i = 0; i < entries; ++i) {
      replies.push_back(
          EntryMessageReceived::Builder()
              .connection(ConnectionId(static_cast<std::uint64_t>(i + 1)))
              .message(HeartbeatReply::Builder().entry(EntryId("e")).Build())
              .Build());
    }
    for (const AgentEffect& effect : node.RunTick(now, replies)) {
      if (const auto* sent = std::get_if<SendToEntry>(&effect)) {
        bytes += MakeFrame(EncodeMessage(sent->message())).size();
      }
    }
  }
  std::printf(
      "agent: entries %3d  idle %6.1f us of decisions a second  %6.0f bytes "
      "sent a second\n",
      entries, NanosSince(start) / 1000.0 / kSeconds,
      static_cast<double>(bytes) / kSeconds);
}

Task MakeTask(int number) {
  const std::string name = "rebuild-2026-49-" + std::to_string(number);
  return Task::Builder()
      .id(TaskId(name + "/1"))
      .job(JobId(name))
      .service(ServiceName("listings"))
      .team(TeamName("kitchen-reuse"))
      .work(TaskTemplate::Builder()
                .name("weekly-catalogue")
                .workload(BatchWorkload::Builder()
                              .run_time(std::chrono::minutes(90))
                              .Build())
                .needs(Resources::Builder()
                           .milli_cores(1000)
                           .memory_mib(2000)
                           .Build())
                .Build())
      .Build();
}

void MeasurePlacement(int workers) {
  constexpr int kTasks = 2000;
  EntryTables tables;
  for (int i = 0; i < workers; ++i) {
    tables.endpoints_.Put(
        Endpoint::Builder()
            .announced(MakeAnnounce(i, 1, 0))
            .connection(ConnectionId(static_cast<std::uint64_t>(i + 1)))
            .reachable(true)
            .Build());
  }
  tables.cell_ = CellHolding::Builder().stage(Holding()).Build();
  const std::size_t before = HeapBytes();
  for (int i = 0; i < kTasks; ++i) tables.tasks_.Put(MakeTask(i));
  const std::size_t bytes = HeapBytes() - before;
  Random random(1);
  Instant now{};
  double nanos = 0.0;
  int passes = 0;
  while (!tables.tasks_.ready().empty() && passes < 1000) {
    now += std::chrono::milliseconds(20);
    EntryTick tick(now, random, tables.counters_);
    const auto start = Clock::now();
    PlaceTasks(tables, tick);
    nanos += NanosSince(start);
    ++passes;
  }
  std::printf(
      "placement: workers %5d  tasks placed %zu  %6.0f ns a task  heap %5.0f "
      "bytes a task\n",
      workers, tables.journal_.waiting(),
      nanos / static_cast<double>(tables.journal_.waiting()),
      static_cast<double>(bytes) / kTasks);
}

void PrintRecords() {
  std::vector<Task> tasks;
  for (int i = 0; i < 1000; ++i) tasks.push_back(MakeTask(i));
  const StoreRecord snapshot =
      CellSnapshot::Builder().sequence(1).tasks(tasks).Build();
  std::vector<JournalRecord> records;
  for (int i = 0; i < 512; ++i) {
    records.push_back(
        TaskAssigned::Builder()
            .task(
                TaskAttemptId::Builder().task(tasks[i].id()).number(1).Build())
            .endpoint(EndpointId("executor-1234"))
            .Build());
  }
  const StoreRecord entry = JournalEntry::Builder().records(records).Build();
  std::printf(
      "store: %.0f bytes a task in a snapshot, %.0f bytes an assignment "
      "in the journal\n",
      static_cast<double>(EncodeRecord(snapshot).size()) / 1000.0,
      static_cast<double>(EncodeRecord(entry).size()) / 512.0);
}

}  // namespace
}  // namespace quetzalline

int main() {
  quetzalline::PrintSizes();
  for (const int endpoints : {11, 110, 1100, 2600}) {
    quetzalline::MeasureHeartbeats(endpoints);
  }
  for (const int entries : {2, 6, 12}) quetzalline::MeasureAgent(entries);
  for (const int workers : {11, 110, 1100, 2600}) {
    quetzalline::MeasurePlacement(workers);
  }
  quetzalline::PrintRecords();
  return 0;
}
