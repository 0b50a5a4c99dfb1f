#ifndef QUETZALLINE_TEST_SUPPORT_TASK_LOG_H_
#define QUETZALLINE_TEST_SUPPORT_TASK_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/job_definition.h"
#include "core/run_end.h"
#include "core/time.h"

namespace quetzalline {

/// What callers and workers saw of the jobs, and which promises that breaks.
class TaskLog {
 public:
  void Submitted(std::uint64_t job, const JobDefinition& definition) {
    submitted_[job] = definition;
  }
  /// The caller was told that its job runs, or that it never will.
  void Accepted(std::uint64_t job) { accepted_.insert(job); }
  void Refused(std::uint64_t job) { refused_.insert(job); }
  void Undecided(std::uint64_t job) { undecided_.insert(job); }
  void Cancelled(std::uint64_t job, Instant now) { cancelled_[job] = now; }
  void Completed(std::uint64_t job);

  /// A start that the worker carried out late may come after a cancellation.
  void Started(const RunKey& run, const std::string& worker, bool late,
               Instant now);
  void Ended(const RunKey& run, const std::string& worker, RunOutcome outcome,
             Instant now);
  /// The worker was told that it may forget the end; whether its lease ran out
  /// between the two.
  void Noted(const RunEnd& end, bool lapsed_since);
  /// The worker has more work than it holds.
  void Overfilled(const std::string& worker, Instant now);

  /// To be asked once no caller waits any more.
  void CheckRefused();

  const std::vector<std::string>& broken() const { return broken_; }
  bool IsDone(const TaskKey& task) const { return done_.count(task) > 0; }
  std::int64_t starts() const { return starts_; }
  std::int64_t StartsOf(std::uint64_t job) const;

 private:
  void Break(const std::string& what) { broken_.push_back(what); }
  void CheckOrder(const TaskKey& task, const JobDefinition& definition,
                  const std::string& text);

  std::map<std::uint64_t, JobDefinition> submitted_;
  std::set<std::uint64_t> accepted_;
  std::set<std::uint64_t> refused_;
  std::set<std::uint64_t> undecided_;
  std::map<std::uint64_t, Instant> cancelled_;
  std::map<TaskKey, std::set<std::string>> running_;
  std::set<TaskKey> done_;
  std::set<TaskKey> noted_;
  /// Runs of tasks that were started after an end that nobody had noted.
  std::map<TaskKey, std::int64_t> started_after_done_;
  std::map<std::uint64_t, std::int64_t> job_starts_;
  std::int64_t starts_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_TASK_LOG_H_
