#include "systems/entry/publish_services.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/overloaded.h"
#include "systems/entry/call_store.h"
#include "systems/entry/run_commands.h"
#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

constexpr std::int32_t kMaxTries = 3;
constexpr std::size_t kMaxEarlier = 8;

// Returns the ids of the publications that precede a new one, latest first.
std::vector<std::string> PrecedingPublications(const PublishedService* current,
                                               std::int64_t expected) {
  std::vector<std::string> earlier;
  if (current == nullptr || current->revision() != expected) return earlier;
  earlier.push_back(current->publication());
  for (const std::string& publication : current->earlier()) {
    if (earlier.size() < kMaxEarlier) earlier.push_back(publication);
  }
  return earlier;
}

void WritePublication(const PendingCommand& row, EntryTables& tables,
                      EntryTick& tick) {
  const auto& publish = std::get<PublishService>(row.command());
  const PublishedService* current =
      tables.services_.Find(publish.file().name());
  const StoreRecord record =
      PublishedService::Builder()
          .file(publish.file())
          .author(publish.author())
          .publication(publish.publication())
          .earlier(PrecedingPublications(current, row.expected()))
          .Build();
  WriteStore(ServiceKey(publish.file().name()), record, row.expected(),
             PublicationWrite::Builder().command(row.id()).Build(), tables,
             tick);
}

void ReadBackPublication(const PendingCommand& row, bool lost,
                         EntryTables& tables, EntryTick& tick) {
  const auto& publish = std::get<PublishService>(row.command());
  ReadStore(ServiceKey(publish.file().name()),
            PublicationCheck::Builder().command(row.id()).lost(lost).Build(),
            tables, tick);
}

void AcceptPublication(const PendingCommand& row, std::int64_t revision,
                       EntryTables& tables, EntryTick& tick) {
  const auto& publish = std::get<PublishService>(row.command());
  tick.counters().Add(Counter::kPublicationsAccepted);
  AnswerCommand(row.id(),
                Published::Builder()
                    .service(publish.file().name())
                    .revision(revision)
                    .Build(),
                tables, tick);
}

void ReportUnknown(const PendingCommand& row, EntryTables& tables,
                   EntryTick& tick) {
  AnswerCommand(row.id(),
                CommandUnknown::Builder().reason(Reason::kStoreFailed).Build(),
                tables, tick);
}

void HandleWriteResult(const PendingCommand& row, const StoreResult& result,
                       EntryTables& tables, EntryTick& tick) {
  const Overloaded handle{
      [&](const StoreWritten& written) {
        AcceptPublication(row, written.index(), tables, tick);
      },
      [&](const StoreConflict&) {
        ReadBackPublication(row, false, tables, tick);
      },
      [&](const StoreFailed&) {
        tick.counters().Add(Counter::kStoreFailures);
        ReadBackPublication(row, true, tables, tick);
      },
      [](const StoreValues&) {},
  };
  std::visit(handle, result);
}

struct StoredService {
  std::int64_t index_ = 0;
  std::optional<PublishedService> service_;
};

StoredService FindStored(const StoreValues& values, const std::string& key) {
  for (const StoreItem& item : values.items()) {
    if (item.key() != key) continue;
    const auto* service = std::get_if<PublishedService>(&*item.record());
    if (service == nullptr) continue;
    return {item.index(),
            PublishedService::Builder(*service).revision(item.index()).Build()};
  }
  return {};
}

bool TookEffect(const PublishedService& current,
                const std::string& publication) {
  if (current.publication() == publication) return true;
  const std::vector<std::string>& earlier = current.earlier();
  return std::find(earlier.begin(), earlier.end(), publication) !=
         earlier.end();
}

void RetryWrite(const PendingCommand& row, EntryTables& tables,
                EntryTick& tick) {
  if (row.tries() >= kMaxTries) return ReportUnknown(row, tables, tick);
  const PendingCommand next =
      PendingCommand::Builder(row).tries(row.tries() + 1).Build();
  tables.commands_.Put(row.id(), next);
  WritePublication(next, tables, tick);
}

void ResolvePublication(const PendingCommand& row, bool lost,
                        const StoredService& current, EntryTables& tables,
                        EntryTick& tick) {
  const auto& publish = std::get<PublishService>(row.command());
  if (current.service_ &&
      TookEffect(*current.service_, publish.publication())) {
    return AcceptPublication(row, current.index_, tables, tick);
  }
  // The write whose result was lost can still arrive. Repeating it is safe: the
  // first of the two to arrive changes the index, so the other one fails.
  if (lost && current.index_ == row.expected()) {
    return RetryWrite(row, tables, tick);
  }
  tick.counters().Add(Counter::kPublicationConflicts);
  if (!current.service_) {
    const CommandRefused refused = CommandRefused::Builder()
                                       .reason(Reason::kConflict)
                                       .detail("the service does not exist")
                                       .Build();
    return AnswerCommand(row.id(), refused, tables, tick);
  }
  AnswerCommand(row.id(),
                PublishConflict::Builder().winner(*current.service_).Build(),
                tables, tick);
}

void HandleReadBackResult(const PendingCommand& row, bool lost,
                          const StoreResult& result, EntryTables& tables,
                          EntryTick& tick) {
  const auto& publish = std::get<PublishService>(row.command());
  const std::string key = ServiceKey(publish.file().name());
  const Overloaded handle{
      [&](const StoreValues& values) {
        ResolvePublication(row, lost, FindStored(values, key), tables, tick);
      },
      [&](const StoreFailed&) {
        tick.counters().Add(Counter::kStoreFailures);
        ReportUnknown(row, tables, tick);
      },
      [](const StoreWritten&) {},
      [](const StoreConflict&) {},
  };
  std::visit(handle, result);
}

}  // namespace

void StartPublication(std::uint64_t command, const PublishService& publish,
                      EntryTables& tables, EntryTick& tick) {
  const PublishedService* current =
      tables.services_.Find(publish.file().name());
  const std::int64_t current_revision =
      current == nullptr ? 0 : current->revision();
  const PendingCommand row =
      PendingCommand::Builder()
          .id(command)
          .command(publish)
          .expected(publish.expected().value_or(current_revision))
          .Build();
  tables.commands_.Put(command, row);
  WritePublication(row, tables, tick);
}

void PublishServices(const EntryInbox& inbox, EntryTables& tables,
                     EntryTick& tick) {
  for (const CompletedStoreCall& call : inbox.completed_store_calls_) {
    if (const auto* write = std::get_if<PublicationWrite>(&call.purpose_)) {
      const PendingCommand* row = tables.commands_.Find(write->command());
      if (row == nullptr) continue;
      const PendingCommand pending = *row;
      HandleWriteResult(pending, call.result_, tables, tick);
    }
    if (const auto* check = std::get_if<PublicationCheck>(&call.purpose_)) {
      const PendingCommand* row = tables.commands_.Find(check->command());
      if (row == nullptr) continue;
      const PendingCommand pending = *row;
      HandleReadBackResult(pending, check->lost(), call.result_, tables, tick);
    }
  }
}

}  // namespace quetzalline
