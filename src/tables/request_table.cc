#include "tables/request_table.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

std::int64_t BytesOf(const Request& row) {
  return static_cast<std::int64_t>(row.arrival()->request()->body().size());
}

}  // namespace

void RequestTable::Put(const Request& row) {
  const RequestId& id = row.arrival()->id();
  if (rows_.Find(id) == nullptr) bytes_ += BytesOf(row);
  tries_.Clear(id);
  deadlines_.Clear(id);
  const Overloaded index{
      [&](const AwaitingAttempt& state) {
        tries_.Set(id, state.not_before());
        deadlines_.Set(id, row.deadline());
      },
      [&](const RegisteringKey&) { deadlines_.Set(id, row.deadline()); },
      [](const AttemptInFlight&) {},
  };
  std::visit(index, row.state());
  rows_.Put(id, row);
}

void RequestTable::Erase(const RequestId& id) {
  const Request* row = rows_.Find(id);
  if (row == nullptr) return;
  bytes_ -= BytesOf(*row);
  deadlines_.Clear(id);
  tries_.Clear(id);
  rows_.Erase(id);
}

}  // namespace quetzalline
