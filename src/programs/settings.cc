#include "programs/settings.h"

#include <filesystem>
#include <fstream>
#include <limits>
#include <map>

#include "adapters/socket_address.h"

namespace quetzalline {
namespace {

constexpr std::int64_t kBytesPerMib = std::int64_t{1} << 20;
constexpr std::int64_t kMost = std::numeric_limits<std::int32_t>::max();

std::int32_t Count(TomlReader& reader, const std::string& key,
                   std::int64_t otherwise, std::int64_t least) {
  return static_cast<std::int32_t>(
      reader.Integer(key, otherwise, least, kMost));
}

Location ReadLocation(TomlReader& reader) {
  return Location::Builder()
      .region(Region(reader.String("region")))
      .zone(AvailabilityZone(reader.String("zone")))
      .rack(RackName(reader.String("rack", "")))
      .Build();
}

void ReadRequestPolicy(TomlReader& reader, EntryPolicy::Builder& policy) {
  const EntryPolicy otherwise;
  policy
      .endpoint_lapse(reader.Time("endpoint_lapse", otherwise.endpoint_lapse()))
      .answer_grace(reader.Time("answer_grace", otherwise.answer_grace()))
      .sample_size(Count(reader, "sample_size", otherwise.sample_size(), 1))
      .zone_cost(reader.Time("zone_round_trip", otherwise.zone_cost()))
      .region_cost(reader.Time("region_round_trip", otherwise.region_cost()))
      .region_bytes_per_second(reader.Bytes(
          "region_bytes_per_second", otherwise.region_bytes_per_second()))
      .slow_start(reader.Time("slow_start", otherwise.slow_start()))
      .max_attempts(Count(reader, "max_attempts", otherwise.max_attempts(), 1))
      .retry_base(reader.Time("retry_base", otherwise.retry_base()))
      .retry_cap(reader.Time("retry_cap", otherwise.retry_cap()))
      .retry_percent(
          Count(reader, "retry_percent", otherwise.retry_percent(), 0))
      .max_requests(Count(reader, "max_requests", otherwise.max_requests(), 1))
      .leave_delay(reader.Time("leave_delay", otherwise.leave_delay()));
  reader.Finish();
}

void ReadCellPolicy(TomlReader& reader, EntryPolicy::Builder& policy) {
  const EntryPolicy otherwise;
  policy.cell(reader.String("name", otherwise.cell()))
      .cell_lease(reader.Time("lease", otherwise.cell_lease()))
      .task_lease(reader.Time("task_lease", otherwise.task_lease()))
      .outage_lease(reader.Time("outage_lease", otherwise.outage_lease()))
      .drift_margin(reader.Time("drift_margin", otherwise.drift_margin()))
      .journal_slots(
          Count(reader, "journal_slots", otherwise.journal_slots(), 4));
  reader.Finish();
}

StoreSettings ReadStore(TomlReader& reader) {
  const std::string kind = reader.String("kind");
  StoreSettings store = NoStore();
  if (kind == "consul") {
    store =
        ConsulSettings::Builder().address(reader.Address("address")).Build();
  } else if (!kind.empty()) {
    reader.Fault("kind", "must be \"consul\"");
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
    reader.Fault("token_file", "names a file that is missing or empty");
  }
  return token;
}

// Reports listeners that have the same address.
void CheckDistinct(
    TomlReader& reader,
    const std::vector<std::pair<std::string, std::string>>& addresses) {
  std::map<std::string, std::string> seen;
  for (const auto& [key, address] : addresses) {
    if (address.empty()) continue;
    const auto [first, added] = seen.emplace(address, key);
    if (!added) {
      reader.Fault(key, "is the same address as " + first->second +
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
  CheckDistinct(
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
    reader.Fault("kind", "must be \"http\" or \"none\"");
  }
  reader.Finish();
  return worker;
}

// Ensures that a connection is not considered unresponsive between two
// heartbeats.
void CheckHeartbeats(TomlReader& reader, const AgentPolicy& policy) {
  if (2 * policy.heartbeat_interval() <= policy.entry_silence()) return;
  reader.Fault("heartbeat_interval",
               "must be at most half of entry_silence; lower it or raise "
               "entry_silence");
}

AgentPolicy ReadAgentPolicy(TomlReader& reader) {
  const AgentPolicy otherwise;
  AgentPolicy::Builder policy;
  policy.endpoint(EndpointId(reader.String("name")))
      .service(ServiceName(reader.String("service")))
      .location(ReadLocation(reader))
      .slots(Count(reader, "slots", otherwise.slots(), 1))
      .connections(Count(reader, "connections", otherwise.connections(), 1))
      .queue_limit(Count(reader, "queue_limit", otherwise.queue_limit(), 0))
      .heartbeat_interval(
          reader.Time("heartbeat_interval", otherwise.heartbeat_interval()))
      .entry_silence(reader.Time("entry_silence", otherwise.entry_silence()))
      .key_retention(reader.Time("key_retention", otherwise.key_retention()));
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
    reader.Fault("entries", "is missing; list the entries' agent addresses");
  }
  for (const std::string& entry : entries) {
    if (!ParseSocketAddress(entry)) {
      reader.Fault("entries", "holds " + entry +
                                  ", which is no numeric address with a port");
    }
  }
  settings.entries(entries);
  reader.Finish();
  return settings.Build();
}

void MissingTable(TomlReader& reader, const std::string& name) {
  reader.Fault(name, "is missing; add the table [" + name + "]");
}

}  // namespace

std::optional<EntrySettings> ReadEntrySettings(const std::string& path,
                                               std::vector<FileFault>& faults) {
  const std::optional<toml::table> table = ParseTomlFile(path, faults);
  if (!table) return std::nullopt;
  TomlReader reader(path, "", *table, faults);
  EntryPolicy::Builder policy;
  EntrySettings::Builder settings;
  if (std::optional<TomlReader> entry = reader.Table("entry")) {
    settings = EntrySettings::Builder(ReadEntry(*entry, policy, path));
  } else {
    MissingTable(reader, "entry");
  }
  if (std::optional<TomlReader> store = reader.Table("store")) {
    settings.store(ReadStore(*store));
  } else {
    MissingTable(reader, "store");
  }
  if (std::optional<TomlReader> requests = reader.Table("requests")) {
    ReadRequestPolicy(*requests, policy);
  }
  if (std::optional<TomlReader> cell = reader.Table("cell")) {
    ReadCellPolicy(*cell, policy);
  }
  reader.Finish();
  if (!faults.empty()) return std::nullopt;
  return settings.policy(policy.Build()).Build();
}

std::optional<AgentSettings> ReadAgentSettings(const std::string& path,
                                               std::vector<FileFault>& faults) {
  const std::optional<toml::table> table = ParseTomlFile(path, faults);
  if (!table) return std::nullopt;
  TomlReader reader(path, "", *table, faults);
  AgentSettings::Builder settings;
  if (std::optional<TomlReader> agent = reader.Table("agent")) {
    settings = AgentSettings::Builder(ReadAgent(*agent));
  } else {
    MissingTable(reader, "agent");
  }
  if (std::optional<TomlReader> worker = reader.Table("worker")) {
    settings.worker(ReadWorker(*worker));
  }
  reader.Finish();
  if (!faults.empty()) return std::nullopt;
  return settings.Build();
}

}  // namespace quetzalline
