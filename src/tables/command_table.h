#ifndef QUETZALLINE_TABLES_COMMAND_TABLE_H_
#define QUETZALLINE_TABLES_COMMAND_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/table.h"
#include "tables/pending_command.h"

namespace quetzalline {

/// Operator commands that wait for the store, indexed by number and by job.
class CommandTable {
 public:
  using Rows = Table<std::uint64_t, PendingCommand>;

  const PendingCommand* Find(std::uint64_t id) const { return rows_.Find(id); }
  void Put(std::uint64_t id, const PendingCommand& row);
  void Erase(std::uint64_t id);

  /// Returns the commands that concern a job.
  std::vector<std::uint64_t> CommandsOfJob(const JobId& job) const;

  std::size_t size() const { return rows_.size(); }
  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  std::map<JobId, std::set<std::uint64_t>> by_job_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_COMMAND_TABLE_H_
