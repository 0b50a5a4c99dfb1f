#include "tables/execution_table.h"

#include "core/answer_bytes.h"
#include "core/overloaded.h"

namespace quetzalline {
void ExecutionTable::Put(const Execution& row) {
  const Execution* old = rows_.Find(row.id());
  if (old != nullptr) Unindex(*old);
  Index(row);
  rows_.Put(row.id(), row);
}

void ExecutionTable::Erase(const AttemptId& id) {
  const Execution* row = rows_.Find(id);
  if (row == nullptr) return;
  Unindex(*row);
  rows_.Erase(id);
}

std::int32_t ExecutionTable::SlotsUsedBy(const CallerName& caller) const {
  const auto found = running_of_.find(caller);
  return found == running_of_.end() ? 0 : found->second;
}

void ExecutionTable::ReleaseSlot(const CallerName& caller) {
  --running_;
  const auto count = running_of_.find(caller);
  if (--count->second == 0) running_of_.erase(count);
}

void ExecutionTable::Index(const Execution& row) {
  std::visit(Overloaded{[&](const Queued& queued) {
                          queues_[row.urgent() ? 1 : 0][row.caller()].insert(
                              {queued.since(), row.id()});
                          ++queued_;
                          leases_.Set(row.id(), row.lease_end());
                        },
                        [&](const Running&) {
                          ++running_;
                          ++running_of_[row.caller()];
                          leases_.Set(row.id(), row.lease_end());
                        },
                        [&](const Abandoned& abandoned) {
                          ++running_;
                          ++running_of_[row.caller()];
                          holds_.Set(row.id(), abandoned.until());
                        },
                        [&](const Answered& answered) {
                          answer_bytes_ += AnswerBytes(answered.outcome());
                          answers_.Set(row.id(), answered.at());
                        }},
             row.state());
}

void ExecutionTable::Unindex(const Execution& row) {
  leases_.Clear(row.id());
  holds_.Clear(row.id());
  answers_.Clear(row.id());
  std::visit(Overloaded{[&](const Queued& queued) {
                          Queues& queues = queues_[row.urgent() ? 1 : 0];
                          const auto queue = queues.find(row.caller());
                          queue->second.erase({queued.since(), row.id()});
                          if (queue->second.empty()) queues.erase(queue);
                          --queued_;
                        },
                        [&](const Running&) { ReleaseSlot(row.caller()); },
                        [&](const Abandoned&) { ReleaseSlot(row.caller()); },
                        [&](const Answered& answered) {
                          answer_bytes_ -= AnswerBytes(answered.outcome());
                        }},
             row.state());
}

}  // namespace quetzalline
