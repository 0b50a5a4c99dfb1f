#include "support/fault_schedule.h"

#include <functional>
#include <optional>

#include "support/fleet_fixtures.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kEntries = 3;
constexpr int kAgents = 5;
constexpr int kSteps = 120;
constexpr int kPercent = 100;
constexpr int kFaultPercent = 30;
constexpr int kHealPercent = 25;

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : rng_(seed), fleet_(seed + 1) {
    fleet_.PutService(QuoteService());
    for (int i = 0; i < kEntries; ++i) {
      fleet_.AddEntry(EntryIn("entry-" + std::to_string(i),
                              i < 2 ? "north" : "south",
                              "zone-" + std::to_string(i)));
    }
    for (int i = 0; i < kAgents; ++i) {
      fleet_.AddAgent(
          AgentIn("executor-" + std::to_string(i), i < 3 ? "north" : "south",
                  "zone-" + std::to_string(i % 3)),
          RandomBehaviour());
    }
    fleet_.RunFor(seconds(8));
  }

  ScheduleResult Run() {
    for (int step = 0; step < kSteps; ++step) {
      IssueWorkload(step);
      if (Chance(kFaultPercent)) InjectFault();
      if (Chance(kHealPercent)) RepairOneFault();
      fleet_.RunFor(milliseconds(UniformInt(rng_, 1500)));
      CheckRevisions();
    }
    RepairAllFaults();
    fleet_.RunFor(minutes(10));
    CheckFinalState();
    return Result();
  }

 private:
  bool Chance(int percent) { return UniformInt(rng_, kPercent - 1) < percent; }
  std::size_t RandomEntry() {
    return static_cast<std::size_t>(UniformInt(rng_, kEntries - 1));
  }
  std::size_t RandomAgent() {
    return static_cast<std::size_t>(UniformInt(rng_, kAgents - 1));
  }

  EndpointBehaviour RandomBehaviour() {
    EndpointBehaviour behaviour;
    behaviour.service_time_ = milliseconds(1 + UniformInt(rng_, 150));
    behaviour.broken_percent_ = static_cast<int>(UniformInt(rng_, 5));
    return behaviour;
  }

  void IssueWorkload(int step) {
    for (std::int64_t i = UniformInt(rng_, 6); i > 0; --i) SendRandomRequest();
    if (Chance(25)) SubmitRandomJob(step);
    if (Chance(8) && last_job_ > 0) CancelRandomJob();
    if (Chance(5)) PublishServiceFile(step);
  }

  void SendRandomRequest() {
    const std::size_t entry = RandomEntry();
    if (!fleet_.EntryAlive(entry)) return;
    RequestSpec spec;
    spec.caller_ = "caller-" + std::to_string(UniformInt(rng_, 3));
    if (Chance(50)) spec.method_ = "POST";
    if (Chance(20)) {
      spec.key_ = spec.caller_ + "-key-" + std::to_string(UniformInt(rng_, 10));
    }
    if (Chance(30)) spec.deadline_ = milliseconds(20 + UniformInt(rng_, 900));
    const RequestId id = fleet_.SendRequest(entry, spec);
    sent_requests_[entry].push_back(id);
    if (Chance(3)) fleet_.DisconnectCaller(entry, id);
  }

  void SubmitRandomJob(int step) {
    const std::size_t entry = fleet_.Holder().value_or(RandomEntry());
    if (!fleet_.EntryAlive(entry)) return;
    const JobId job("job-" + std::to_string(++last_job_));
    const std::uint64_t command =
        fleet_.Command(entry, SubmitJob::Builder()
                                  .job(job)
                                  .service(ServiceName("quotes"))
                                  .task(step % 3 == 0 ? "watch" : "rebuild")
                                  .Build());
    submissions_.push_back({job, command});
  }

  void CancelRandomJob() {
    const std::size_t entry = fleet_.Holder().value_or(RandomEntry());
    if (!fleet_.EntryAlive(entry)) return;
    const JobId job("job-" +
                    std::to_string(1 + UniformInt(rng_, last_job_ - 1)));
    fleet_.Command(entry, CancelJob::Builder().job(job).Build());
  }

  void PublishServiceFile(int step) {
    const std::size_t entry = RandomEntry();
    if (!fleet_.EntryAlive(entry)) return;
    fleet_.Command(entry, PublishService::Builder()
                              .file(QuoteService())
                              .author("operator")
                              .publication("p" + std::to_string(step))
                              .Build());
  }

  void InjectFault() {
    const std::size_t entry = RandomEntry();
    const std::size_t agent = RandomAgent();
    switch (UniformInt(rng_, 11)) {
      case 0:
        if (fleet_.EntryAlive(entry)) fleet_.KillEntry(entry);
        break;
      case 1:
        if (fleet_.AgentAlive(agent)) fleet_.KillAgent(agent);
        break;
      case 2:
        if (fleet_.AgentAlive(agent)) fleet_.KillInstance(agent);
        break;
      case 3:
        fleet_.StallEntry(entry, milliseconds(UniformInt(rng_, 30000)));
        break;
      case 4:
        fleet_.StallAgent(agent, milliseconds(UniformInt(rng_, 30000)));
        break;
      case 5:
        fleet_.StallConnection(entry, agent);
        break;
      case 6:
        fleet_.SetPartitioned(entry, agent, true);
        break;
      case 7:
        PartitionRegions(true);
        break;
      case 8:
        fleet_.store().SetDown(true);
        break;
      case 9:
        fleet_.store().SetLostPercent(30);
        break;
      case 10:
        fleet_.store().SetDelay(milliseconds(UniformInt(rng_, 3000)));
        break;
      default:
        if (fleet_.AgentAlive(agent)) fleet_.StopAgent(agent);
        break;
    }
  }

  void PartitionRegions(bool partitioned) {
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      for (std::size_t agent = 0; agent < kAgents; ++agent) {
        const bool crosses_regions = (entry < 2) != (agent < 3);
        if (crosses_regions) fleet_.SetPartitioned(entry, agent, partitioned);
      }
    }
  }

  void RepairOneFault() {
    const std::size_t entry = RandomEntry();
    const std::size_t agent = RandomAgent();
    switch (UniformInt(rng_, 4)) {
      case 0:
        if (!fleet_.EntryAlive(entry)) fleet_.StartEntry(entry);
        break;
      case 1:
        if (!fleet_.AgentAlive(agent)) fleet_.StartInstance(agent);
        break;
      case 2:
        fleet_.SetPartitioned(entry, agent, false);
        break;
      case 3:
        PartitionRegions(false);
        break;
      default:
        RepairStore();
        break;
    }
  }

  void RepairStore() {
    fleet_.store().SetDown(false);
    fleet_.store().SetLostPercent(0);
    fleet_.store().SetDelay(milliseconds(3));
  }

  void RepairAllFaults() {
    RepairStore();
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      fleet_.StallEntry(entry, milliseconds(0));
      if (!fleet_.EntryAlive(entry)) fleet_.StartEntry(entry);
      for (std::size_t agent = 0; agent < kAgents; ++agent) {
        fleet_.SetPartitioned(entry, agent, false);
      }
    }
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      if (!fleet_.AgentAlive(agent)) fleet_.StartInstance(agent);
    }
  }

  // The revision that an agent applies must not decrease within one incarnation
  // of its process.
  void CheckRevisions() {
    for (std::size_t i = 0; i < kAgents; ++i) {
      if (!fleet_.AgentAlive(i)) continue;
      const AgentTables& tables = fleet_.agent(i);
      auto& [incarnation, highest] = revisions_[i];
      const std::int64_t revision = tables.services_.revision();
      if (incarnation == tables.policy_.incarnation() && revision < highest) {
        fleet_.log().Fail("agent " + std::to_string(i) +
                          " applied an older revision");
      }
      incarnation = tables.policy_.incarnation();
      highest = revision;
    }
  }

  // After recovery, the holder of the cell's leader lease knows every accepted
  // job, no entry has open requests, and every batch task is finished.
  void CheckFinalState() {
    const std::optional<std::size_t> holder = fleet_.Holder();
    if (!holder) return fleet_.log().Fail("no entry holds the cell");
    const TaskTable& tasks = fleet_.entry(*holder).tasks_;
    for (const auto& [job, command] : submissions_) {
      const CommandResult* result = fleet_.Result(command);
      if (result == nullptr) continue;
      if (!std::holds_alternative<JobAccepted>(*result)) continue;
      if (tasks.TasksOfJob(job).empty()) {
        fleet_.log().Fail("accepted job " + job.value() + " is lost");
      }
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (fleet_.entry(i).requests_.size() > 0) {
        fleet_.log().Fail("entry " + std::to_string(i) +
                          " still has open requests");
      }
    }
    for (const auto& [id, task] : tasks.rows()) CheckTask(id, task);
  }

  void CheckTask(const TaskId& id, const Task& task) {
    const bool batch =
        std::holds_alternative<BatchWorkload>(task.work()->workload());
    const bool waits = std::holds_alternative<Waiting>(task.state()) ||
                       std::holds_alternative<Assigning>(task.state());
    const bool assigned = std::holds_alternative<Assigned>(task.state());
    if (std::holds_alternative<Finished>(task.state())) ++finished_tasks_;
    if (batch && (waits || assigned)) {
      fleet_.log().Fail("task " + id.value() + " is not finished: " +
                        boost::json::serialize(JsonEncoder::Encode(task)));
    }
  }

  ScheduleResult Result() {
    return {fleet_.log().violations(), fleet_.log().answered_done(),
            finished_tasks_};
  }

  Random rng_;
  VirtualFleet fleet_;
  std::map<std::size_t, std::vector<RequestId>> sent_requests_;
  std::vector<std::pair<JobId, std::uint64_t>> submissions_;
  std::map<std::size_t, std::pair<std::uint64_t, std::int64_t>> revisions_;
  std::int64_t last_job_ = 0;
  std::int64_t finished_tasks_ = 0;
};

}  // namespace

ScheduleResult RunFaultSchedule(std::uint64_t seed) {
  return Schedule(seed).Run();
}

}  // namespace quetzalline
