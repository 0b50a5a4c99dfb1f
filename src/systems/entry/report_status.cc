#include "systems/entry/report_status.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

EndpointStatus StatusOf(const Endpoint& row, const EntryTables& tables,
                        Instant now) {
  const Announce& announced = *row.announced();
  const auto tasks = tables.tasks_.AssignedTo(announced.endpoint()).size();
  return EndpointStatus::Builder()
      .endpoint(announced.endpoint())
      .service(announced.service())
      .zone(announced.location().zone())
      .state(announced.state())
      .reachable(row.reachable())
      .load(row.load())
      .configuration(announced.configuration())
      .silent_for(now - row.last_seen())
      .tasks(static_cast<std::int32_t>(tasks))
      .Build();
}

EndpointId EndpointOf(const Task& task) {
  return std::visit(
      Overloaded{[](const Waiting&) { return EndpointId(); },
                 [](const Assigning& state) { return state.endpoint(); },
                 [](const Assigned& state) { return state.endpoint(); },
                 [](const Finished&) { return EndpointId(); },
                 [](const GivenUp&) { return EndpointId(); },
                 [](const Cancelled&) { return EndpointId(); }},
      task.state());
}

JobStatus StatusOf(const Task& task) {
  return JobStatus::Builder()
      .job(task.job())
      .service(task.service())
      .task(task.id().value())
      .state(StateName(task))
      .endpoint(EndpointOf(task).value())
      .attempts(task.attempts())
      .reason(task.last_reason())
      .Build();
}

ServiceStatus StatusOf(const PublishedService& service) {
  return ServiceStatus::Builder()
      .service(service.file().name())
      .revision(service.revision())
      .author(service.author())
      .Build();
}

}  // namespace

std::string StateName(const Task& task) {
  return std::visit(
      Overloaded{[](const Waiting&) -> std::string { return "waiting"; },
                 [](const Assigning&) -> std::string { return "assigned"; },
                 [](const Assigned& state) -> std::string {
                   if (state.stopping() != Reason::kNone) return "stopping";
                   return state.running() ? "running" : "assigned";
                 },
                 [](const Finished&) -> std::string { return "finished"; },
                 [](const GivenUp&) -> std::string { return "given-up"; },
                 [](const Cancelled&) -> std::string { return "cancelled"; }},
      task.state());
}

StatusReport ReportStatus(const EntryTables& tables, Instant now) {
  std::vector<EndpointStatus> endpoints;
  for (const auto& [id, row] : tables.endpoints_.rows().Sorted()) {
    endpoints.push_back(StatusOf(row, tables, now));
  }
  std::vector<ServiceStatus> services;
  for (const auto& [name, service] : tables.services_.rows()) {
    services.push_back(StatusOf(service));
  }
  std::vector<JobStatus> jobs;
  for (const auto& [id, task] : tables.tasks_.rows()) {
    jobs.push_back(StatusOf(task));
  }
  const bool is_holder = std::holds_alternative<Holding>(tables.cell_.stage());
  const std::optional<CellLease>& lease = tables.cell_.lease();
  return StatusReport::Builder()
      .entry(tables.policy_.entry())
      .epoch(is_holder ? tables.cell_.epoch() : 0)
      .holder(lease ? lease->holder() : EntryId())
      .holder_address(lease ? lease->address() : std::string())
      .configuration(tables.services_.revision())
      .endpoints(std::move(endpoints))
      .services(std::move(services))
      .jobs(std::move(jobs))
      .Build();
}

}  // namespace quetzalline
