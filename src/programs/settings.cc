#include "programs/settings.h"

#include <filesystem>
#include <fstream>
#include <limits>
#include <map>

#include "adapters/socket_address.h"

namespace quetzalline {
namespace {

constexpr std::int64_t kBytesPerMib = std::int64_t{1} << 20;
constexpr std::int64_t kMaxInt32 = std::numeric_limits<std::int32_t>::max();

std::int32_t ReadCount(TomlReader& reader, const std::string& key,
                       std::int64_t default_value, std::int64_t min_value) {
  return static_cast<std::int32_t>(
      reader.Integer(key, default_value, min_value, kMaxInt32));
}

Location ReadLocation(TomlReader& reader) {
  return Location::Builder()
      .region(Region(reader.String("region")))
      .zone(AvailabilityZone(reader.String("zone")))
      .rack(RackName(reader.String("rack", "")))
      .Build();
}

void ReadRequestPolicy(TomlReader& reader, EntryPolicy::Builder& policy) {
  const EntryPolicy defaults;
  policy
      .endpoint_lapse(reader.Time("endpoint_lapse", defaults.endpoint_lapse()))
      .answer_grace(reader.Time("answer_grace", defaults.answer_grace()))
      .sample_size(ReadCount(reader, "sample_size", defaults.sample_size(), 1))
      .zone_cost(reader.Time("zone_round_trip", defaults.zone_cost()))
      .region_cost(reader.Time("region_round_trip", defaults.region_cost()))
      .region_bytes_per_second(reader.Bytes("region_bytes_per_second",
                                            defaults.region_bytes_per_second()))
      .slow_start(reader.Time("slow_start", defaults.slow_start()))
      .max_attempts(
          ReadCount(reader, "max_attempts", defaults.max_attempts(), 1))
      .retry_base(reader.Time("retry_base", defaults.retry_base()))
      .retry_cap(reader.Time("retry_cap", defaults.retry_cap()))
      .retry_percent(
          ReadCount(reader, "retry_percent", defaults.retry_percent(), 0))
      .max_requests(
          ReadCount(reader, "max_requests", defaults.max_requests(), 1))
      .leave_delay(reader.Time("leave_delay", defaults.leave_delay()));
  reader.Finish();
}

void ReadCellPolicy(TomlReader& reader, EntryPolicy::Builder& policy) {
  const EntryPolicy defaults;
  policy.cell(reader.String("name", defaults.cell()))
      .cell_lease(reader.Time("lease", defaults.cell_lease()))
      .task_lease(reader.Time("task_lease", defaults.task_lease()))
      .outage_lease(reader.Time("outage_lease", defaults.outage_lease()))
      .drift_margin(reader.Time("drift_margin", defaults.drift_margin()))
      .journal_slots(
          ReadCount(reader, "journal_slots", defaults.journal_slots(), 4));
  reader.Finish();
}

StoreSettings ReadStore(TomlReader& reader) {
  const std::string kind = reader.String("kind");
  StoreSettings store = NoStore();
  if (kind == "consul") {
    store =
        ConsulSettings::Builder().address(reader.Address("address")).Build();
  } else if (!kind.empty()) {
    reader.AddError("kind", "must be \"consul\"");
  }
  reader.Finish();
  return store;
}

// Reads the first line of the token file. A relative path is resolved against
// the directory of the settings file.
std::string ReadToken(TomlReader& reader, const std::string& settings_path) {
  const std::string name = reader.String("token_file");
  if (name.empty()) return {};
  const std::filesystem::path path =
      std::filesystem::path(settings_path).parent_path() / name;
  std::ifstream in(path);
  std::string token;
  std::getline(in, token);
  if (token.empty()) {
    reader.AddError("token_file", "names a file that is missing or empty");
  }
  return token;
}

// Reports listeners that have the same address.
void CheckDistinctListeners(
    TomlReader& reader,
    const std::vector<std::pair<std::string, std::string>>& addresses) {
  std::map<std::string, std::string> seen;
  for (const auto& [key, address] : addresses) {
    if (address.empty()) continue;
    const auto [first, added] = seen.emplace(address, key);
    if (!added) {
      reader.AddError(key, "is the same address as " + first->second +
                               "; each listener needs its own");
    }
  }
}

EntrySettings ReadEntry(TomlReader& reader, EntryPolicy::Builder& policy,
                        const std::string& path) {
  EntrySettings::Builder settings;
  const std::string callers = reader.Address("callers");
  const std::string operators = reader.Address("operators");
  const std::string agents = reader.Address("agents");
  CheckDistinctListeners(
      reader,
      {{"callers", callers}, {"operators", operators}, {"agents", agents}});
  policy.entry(EntryId(reader.String("name")))
      .location(ReadLocation(reader))
      .operator_url(reader.String("operator_url", ""));
  settings.callers(callers).operators(operators).agents(agents).token(
      ReadToken(reader, path));
  reader.Finish();
  return settings.Build();
}

Resources ReadCapacity(TomlReader& reader) {
  constexpr std::int64_t kMaxAccelerators = 64;
  const std::int64_t accelerators =
      reader.Integer("accelerators", 0, 0, kMaxAccelerators);
  const Resources capacity =
      Resources::Builder()
          .milli_cores(reader.MilliCores("cores", 0))
          .memory_mib(reader.Bytes("memory", 0) / kBytesPerMib)
          .accelerators(static_cast<std::int32_t>(accelerators))
          .Build();
  reader.Finish();
  return capacity;
}

WorkerSettings ReadWorker(TomlReader& reader) {
  const std::string kind = reader.String("kind");
  WorkerSettings worker = NoWorker();
  if (kind == "http") {
    worker = HttpWorkerSettings::Builder()
                 .address(reader.Address("address"))
                 .Build();
  } else if (!kind.empty() && kind != "none") {
    reader.AddError("kind", "must be \"http\" or \"none\"");
  }
  reader.Finish();
  return worker;
}

// Ensures that a connection is not considered unresponsive between two
// heartbeats.
void CheckHeartbeats(TomlReader& reader, const AgentPolicy& policy) {
  if (2 * policy.heartbeat_interval() <= policy.entry_silence()) return;
  reader.AddError("heartbeat_interval",
                  "must be at most half of entry_silence; lower it or raise "
                  "entry_silence");
}

AgentPolicy ReadAgentPolicy(TomlReader& reader) {
  const AgentPolicy defaults;
  AgentPolicy::Builder policy;
  policy.endpoint(EndpointId(reader.String("name")))
      .service(ServiceName(reader.String("service")))
      .location(ReadLocation(reader))
      .slots(ReadCount(reader, "slots", defaults.slots(), 1))
      .connections(ReadCount(reader, "connections", defaults.connections(), 1))
      .queue_limit(ReadCount(reader, "queue_limit", defaults.queue_limit(), 0))
      .heartbeat_interval(
          reader.Time("heartbeat_interval", defaults.heartbeat_interval()))
      .entry_silence(reader.Time("entry_silence", defaults.entry_silence()))
      .key_retention(reader.Time("key_retention", defaults.key_retention()));
  CheckHeartbeats(reader, policy.Build());
  if (std::optional<TomlReader> capacity = reader.Table("capacity")) {
    policy.capacity(ReadCapacity(*capacity));
  }
  return policy.Build();
}

AgentSettings ReadAgent(TomlReader& reader) {
  AgentSettings::Builder settings;
  settings.policy(ReadAgentPolicy(reader))
      .endpoint(reader.Address("endpoint"))
      .operators(reader.Address("operators"));
  const std::vector<std::string> entries = reader.Strings("entries");
  if (entries.empty()) {
    reader.AddError("entries", "is missing; list the entries' agent addresses");
  }
  for (const std::string& entry : entries) {
    if (!ParseSocketAddress(entry)) {
      reader.AddError(
          "entries",
          "holds " + entry + ", which is no numeric address with a port");
    }
  }
  settings.entries(entries);
  reader.Finish();
  return settings.Build();
}

void AddMissingTable(TomlReader& reader, const std::string& name) {
  reader.AddError(name, "is missing; add the table [" + name + "]");
}

}  // namespace

std::optional<EntrySettings> ReadEntrySettings(const std::string& path,
                                               std::vector<FileError>& errors) {
  const std::optional<toml::table> table = ParseTomlFile(path, errors);
  if (!table) return std::nullopt;
  TomlReader reader(path, "", *table, errors);
  EntryPolicy::Builder policy;
  EntrySettings::Builder settings;
  if (std::optional<TomlReader> entry = reader.Table("entry")) {
    settings = EntrySettings::Builder(ReadEntry(*entry, policy, path));
  } else {
    AddMissingTable(reader, "entry");
  }
  if (std::optional<TomlReader> store = reader.Table("store")) {
    settings.store(ReadStore(*store));
  } else {
    AddMissingTable(reader, "store");
  }
  if (std::optional<TomlReader> requests = reader.Table("requests")) {
    ReadRequestPolicy(*requests, policy);
  }
  if (std::optional<TomlReader> cell = reader.Table("cell")) {
    ReadCellPolicy(*cell, policy);
  }
  reader.Finish();
  if (!errors.empty()) return std::nullopt;
  return settings.policy(policy.Build()).Build();
}

std::optional<AgentSettings> ReadAgentSettings(const std::string& path,
                                               std::vector<FileError>& errors) {
  const std::optional<toml::table> table = ParseTomlFile(path, errors);
  if (!table) return std::nullopt;
  TomlReader reader(path, "", *table, errors);
  AgentSettings::Builder settings;
  if (std::optional<TomlReader> agent = reader.Table("agent")) {
    settings = AgentSettings::Builder(ReadAgent(*agent));
  } else {
    AddMissingTable(reader, "agent");
  }
  if (std::optional<TomlReader> worker = reader.Table("worker")) {
    settings.worker(ReadWorker(*worker));
  }
  reader.Finish();
  if (!errors.empty()) return std::nullopt;
  return settings.Build();
}

}  // namespace quetzalline
