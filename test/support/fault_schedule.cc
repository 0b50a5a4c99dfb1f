#include "support/fault_schedule.h"

#include <functional>
#include <optional>

#include "support/fleet_parts.h"
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
  explicit Schedule(std::uint64_t seed) : random_(seed), fleet_(seed + 1) {
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
          Behaviour());
    }
    fleet_.RunFor(seconds(8));
  }

  ScheduleResult Run() {
    for (int step = 0; step < kSteps; ++step) {
      Work(step);
      if (Chance(kFaultPercent)) Strike();
      if (Chance(kHealPercent)) HealOne();
      fleet_.RunFor(milliseconds(Draw(random_, 1500)));
      CheckRevisions();
    }
    HealAll();
    fleet_.RunFor(minutes(10));
    CheckSettled();
    return Result();
  }

 private:
  bool Chance(int percent) { return Draw(random_, kPercent - 1) < percent; }
  std::size_t AnyEntry() {
    return static_cast<std::size_t>(Draw(random_, kEntries - 1));
  }
  std::size_t AnyAgent() {
    return static_cast<std::size_t>(Draw(random_, kAgents - 1));
  }

  EndpointBehaviour Behaviour() {
    EndpointBehaviour behaviour;
    behaviour.service_time_ = milliseconds(1 + Draw(random_, 150));
    behaviour.broken_percent_ = static_cast<int>(Draw(random_, 5));
    return behaviour;
  }

  void Work(int step) {
    for (std::int64_t i = Draw(random_, 6); i > 0; --i) AskSomething();
    if (Chance(25)) HandIn(step);
    if (Chance(8) && last_job_ > 0) CancelSomething();
    if (Chance(5)) PublishSomething(step);
  }

  void AskSomething() {
    const std::size_t entry = AnyEntry();
    if (!fleet_.EntryAlive(entry)) return;
    Question question;
    question.caller_ = "caller-" + std::to_string(Draw(random_, 3));
    if (Chance(50)) question.method_ = "POST";
    if (Chance(20)) {
      question.key_ =
          question.caller_ + "-key-" + std::to_string(Draw(random_, 10));
    }
    if (Chance(30)) question.deadline_ = milliseconds(20 + Draw(random_, 900));
    const RequestId id = fleet_.Ask(entry, question);
    asked_at_[entry].push_back(id);
    if (Chance(3)) fleet_.HangUp(entry, id);
  }

  void HandIn(int step) {
    const std::size_t entry = fleet_.Holder().value_or(AnyEntry());
    if (!fleet_.EntryAlive(entry)) return;
    const JobId job("job-" + std::to_string(++last_job_));
    const std::uint64_t command =
        fleet_.Command(entry, SubmitJob::Builder()
                                  .job(job)
                                  .service(ServiceName("quotes"))
                                  .task(step % 3 == 0 ? "watch" : "rebuild")
                                  .Build());
    hand_ins_.push_back({job, command});
  }

  void CancelSomething() {
    const std::size_t entry = fleet_.Holder().value_or(AnyEntry());
    if (!fleet_.EntryAlive(entry)) return;
    const JobId job("job-" + std::to_string(1 + Draw(random_, last_job_ - 1)));
    fleet_.Command(entry, CancelJob::Builder().job(job).Build());
  }

  void PublishSomething(int step) {
    const std::size_t entry = AnyEntry();
    if (!fleet_.EntryAlive(entry)) return;
    fleet_.Command(entry, PublishService::Builder()
                              .file(QuoteService())
                              .author("operator")
                              .publication("p" + std::to_string(step))
                              .Build());
  }

  void Strike() {
    const std::size_t entry = AnyEntry();
    const std::size_t agent = AnyAgent();
    switch (Draw(random_, 11)) {
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
        fleet_.PauseEntry(entry, milliseconds(Draw(random_, 30000)));
        break;
      case 4:
        fleet_.PauseAgent(agent, milliseconds(Draw(random_, 30000)));
        break;
      case 5:
        fleet_.Silence(entry, agent);
        break;
      case 6:
        fleet_.Cut(entry, agent, true);
        break;
      case 7:
        CutRegions(true);
        break;
      case 8:
        fleet_.store().SetDown(true);
        break;
      case 9:
        fleet_.store().SetLostPercent(30);
        break;
      case 10:
        fleet_.store().SetDelay(milliseconds(Draw(random_, 3000)));
        break;
      default:
        if (fleet_.AgentAlive(agent)) fleet_.StopAgent(agent);
        break;
    }
  }

  void CutRegions(bool cut) {
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      for (std::size_t agent = 0; agent < kAgents; ++agent) {
        const bool crosses = (entry < 2) != (agent < 3);
        if (crosses) fleet_.Cut(entry, agent, cut);
      }
    }
  }

  void HealOne() {
    const std::size_t entry = AnyEntry();
    const std::size_t agent = AnyAgent();
    switch (Draw(random_, 4)) {
      case 0:
        if (!fleet_.EntryAlive(entry)) fleet_.StartEntry(entry);
        break;
      case 1:
        if (!fleet_.AgentAlive(agent)) fleet_.StartInstance(agent);
        break;
      case 2:
        fleet_.Cut(entry, agent, false);
        break;
      case 3:
        CutRegions(false);
        break;
      default:
        HealStore();
        break;
    }
  }

  void HealStore() {
    fleet_.store().SetDown(false);
    fleet_.store().SetLostPercent(0);
    fleet_.store().SetDelay(milliseconds(3));
  }

  void HealAll() {
    HealStore();
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      fleet_.PauseEntry(entry, milliseconds(0));
      if (!fleet_.EntryAlive(entry)) fleet_.StartEntry(entry);
      for (std::size_t agent = 0; agent < kAgents; ++agent) {
        fleet_.Cut(entry, agent, false);
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
        fleet_.log().Breach("agent " + std::to_string(i) +
                            " applied an older revision");
      }
      incarnation = tables.policy_.incarnation();
      highest = revision;
    }
  }

  // After recovery, the holder of the cell's leader lease knows every accepted
  // job, no entry has open requests, and every batch task is finished.
  void CheckSettled() {
    const std::optional<std::size_t> holder = fleet_.Holder();
    if (!holder) return fleet_.log().Breach("no entry holds the cell");
    const TaskTable& tasks = fleet_.entry(*holder).tasks_;
    for (const auto& [job, command] : hand_ins_) {
      const CommandResult* result = fleet_.Result(command);
      if (result == nullptr) continue;
      if (!std::holds_alternative<JobAccepted>(*result)) continue;
      if (tasks.OfJob(job).empty()) {
        fleet_.log().Breach("accepted job " + job.value() + " is lost");
      }
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (fleet_.entry(i).requests_.size() > 0) {
        fleet_.log().Breach("entry " + std::to_string(i) +
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
    if (std::holds_alternative<Finished>(task.state())) ++finished_;
    if (batch && (waits || assigned)) {
      fleet_.log().Breach("task " + id.value() + " is not finished: " +
                          boost::json::serialize(JsonEncoder::Encode(task)));
    }
  }

  ScheduleResult Result() {
    return {fleet_.log().breaches(), fleet_.log().answered_done(), finished_};
  }

  Random random_;
  VirtualFleet fleet_;
  std::map<std::size_t, std::vector<RequestId>> asked_at_;
  std::vector<std::pair<JobId, std::uint64_t>> hand_ins_;
  std::map<std::size_t, std::pair<std::uint64_t, std::int64_t>> revisions_;
  std::int64_t last_job_ = 0;
  std::int64_t finished_ = 0;
};

}  // namespace

ScheduleResult RunFaultSchedule(std::uint64_t seed) {
  return Schedule(seed).Run();
}

}  // namespace quetzalline
