#include "programs/service_files.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <map>

namespace quetzalline {
namespace {

constexpr std::int64_t kBytesPerMib = std::int64_t{1} << 20;
constexpr std::int64_t kMaxBodyBytes = std::int64_t{8} << 20;
constexpr std::int64_t kMaxReplicas = 1000;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::int64_t kMaxAccelerators = 64;

Route ReadRoute(TomlReader& reader) {
  Route::Builder route;
  const std::string prefix = reader.String("prefix");
  if (!prefix.empty() && prefix.front() != '/') {
    reader.AddError("prefix", "must begin with a slash");
  }
  const std::int64_t limit = reader.Bytes("body_limit", Route().body_limit());
  if (limit > kMaxBodyBytes) {
    reader.AddError("body_limit", "must be at most 8MB");
  }
  route.prefix(prefix)
      .host(reader.String("host", ""))
      .deadline(reader.RequiredTime("deadline"))
      .urgent(reader.Bool("urgent", false))
      .idempotent_methods(reader.Strings("idempotent_methods"))
      .body_limit(limit);
  reader.Finish();
  return route.Build();
}

Resources ReadResources(TomlReader& reader) {
  const std::int64_t memory = reader.Bytes("memory", 0);
  const std::int64_t accelerators =
      reader.Integer("accelerators", 0, 0, kMaxAccelerators);
  return Resources::Builder()
      .milli_cores(reader.MilliCores("cores", 0))
      .memory_mib((memory + kBytesPerMib - 1) / kBytesPerMib)
      .accelerators(static_cast<std::int32_t>(accelerators))
      .Build();
}

Workload ReadWorkload(TomlReader& reader) {
  const std::string kind = reader.String("kind");
  if (kind == "service") {
    const std::int64_t replicas =
        reader.Integer("replicas", 1, 1, kMaxReplicas);
    return ServiceWorkload::Builder()
        .replicas(static_cast<std::int32_t>(replicas))
        .Build();
  }
  if (kind == "watcher") {
    return WatcherWorkload::Builder().subject(reader.String("subject")).Build();
  }
  if (kind == "batch") {
    return BatchWorkload::Builder()
        .run_time(reader.RequiredTime("run_time"))
        .checkpoint_interval(reader.Time("checkpoint", Duration::zero()))
        .Build();
  }
  if (!kind.empty()) {
    reader.AddError("kind", "must be \"service\", \"batch\" or \"watcher\"");
  }
  return BatchWorkload();
}

TaskTemplate ReadTask(TomlReader& reader) {
  TaskTemplate::Builder task;
  const std::int64_t attempts = reader.Integer(
      "max_attempts", TaskTemplate().max_attempts(), 1, kMaxAttempts);
  task.name(reader.String("name"))
      .workload(ReadWorkload(reader))
      .needs(ReadResources(reader))
      .urgent(reader.Bool("urgent", false))
      .max_attempts(static_cast<std::int32_t>(attempts));
  reader.Finish();
  return task.Build();
}

ServiceFile ReadFile(TomlReader& reader) {
  ServiceFile::Builder file;
  file.name(ServiceName(reader.String("name")))
      .team(TeamName(reader.String("team")));
  if (std::optional<TomlReader> route = reader.Table("route")) {
    file.route(ReadRoute(*route));
  }
  std::vector<TaskTemplate> tasks;
  for (TomlReader& task : reader.Tables("task")) {
    tasks.push_back(ReadTask(task));
    const auto same = std::count_if(
        tasks.begin(), tasks.end(), [&](const TaskTemplate& other) {
          return other.name() == tasks.back().name();
        });
    if (same > 1) task.AddError("name", "is used by another task of this file");
  }
  file.tasks(std::move(tasks));
  reader.Finish();
  return file.Build();
}

}  // namespace

LoadedServiceFile ReadServiceFile(const std::string& path,
                                  std::vector<FileError>& errors) {
  LoadedServiceFile loaded{path, {}};
  const std::optional<toml::table> table = ParseTomlFile(path, errors);
  if (!table) return loaded;
  TomlReader reader(path, "", *table, errors);
  loaded.file_ = ReadFile(reader);
  return loaded;
}

std::vector<LoadedServiceFile> CollectServiceFiles(
    const std::string& directory, std::vector<FileError>& errors) {
  std::vector<std::string> paths;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(directory, error)) {
    if (entry.path().filename() == kServiceFileName) {
      paths.push_back(entry.path().string());
    }
  }
  if (error || paths.empty()) {
    errors.push_back({directory, 0, "",
                      std::string("holds no ") + kServiceFileName +
                          "; pass a directory that contains service files"});
  }
  std::sort(paths.begin(), paths.end());
  std::vector<LoadedServiceFile> files;
  std::map<ServiceName, std::string> seen;
  for (const std::string& path : paths) {
    files.push_back(ReadServiceFile(path, errors));
    const auto [first, added] = seen.emplace(files.back().file_.name(), path);
    if (!added) {
      errors.push_back({path, 0, "name", "is used by " + first->second});
    }
  }
  return files;
}

}  // namespace quetzalline
