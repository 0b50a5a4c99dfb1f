#include "wire/dump_tables.h"

#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

template <typename Rows>
boost::json::array EncodeRows(const Rows& rows) {
  boost::json::array array;
  for (const auto& [key, row] : rows) array.push_back(JsonEncoder::Encode(row));
  return array;
}

// Includes the keys, for rows that do not contain their own key.
template <typename Rows>
boost::json::array EncodePairs(const Rows& rows) {
  boost::json::array array;
  for (const auto& [key, row] : rows) {
    array.push_back(boost::json::object{{"key", JsonEncoder::Encode(key)},
                                        {"row", JsonEncoder::Encode(row)}});
  }
  return array;
}

boost::json::object EncodeServices(const ServiceTable& services) {
  return {{"revision", services.revision()},
          {"rows", EncodeRows(services.rows())}};
}

}  // namespace

std::string DumpTables(const EntryTables& tables, Instant now) {
  const boost::json::object dump{
      {"now_us", JsonEncoder::Encode(now)},
      {"policy", JsonEncoder::Encode(tables.policy_)},
      {"stage", JsonEncoder::Encode(tables.stage_)},
      {"endpoints", EncodeRows(tables.endpoints_.rows().Sorted())},
      {"requests", EncodeRows(tables.requests_.rows())},
      {"attempts", EncodeRows(tables.attempts_.rows())},
      {"retry_budget", JsonEncoder::Encode(tables.retry_budget_)},
      {"link_budget", JsonEncoder::Encode(tables.link_budget_)},
      {"key_buckets", EncodePairs(tables.key_buckets_.rows())},
      {"services", EncodeServices(tables.services_)},
      {"commands", EncodeRows(tables.commands_.rows())},
      {"store_calls", EncodeRows(tables.store_calls_)},
      {"cell", JsonEncoder::Encode(tables.cell_)},
      {"journal_in_flight", JsonEncoder::Encode(tables.journal_.in_flight())},
      {"journal_waiting", tables.journal_.waiting()},
      {"tasks", EncodeRows(tables.tasks_.rows())},
      {"worker_health", EncodePairs(tables.worker_health_)},
  };
  return boost::json::serialize(dump);
}

std::string DumpTables(const AgentTables& tables, Instant now) {
  const boost::json::object dump{
      {"now_us", JsonEncoder::Encode(now)},
      {"policy", JsonEncoder::Encode(tables.policy_)},
      {"stage", JsonEncoder::Encode(tables.stage_)},
      {"limit", JsonEncoder::Encode(tables.limit_)},
      {"links", EncodeRows(tables.links_)},
      {"executions", EncodeRows(tables.executions_.rows())},
      {"keys", EncodePairs(tables.keys_.rows())},
      {"tasks", EncodeRows(tables.tasks_)},
      {"services", EncodeServices(tables.services_)},
  };
  return boost::json::serialize(dump);
}

}  // namespace quetzalline
