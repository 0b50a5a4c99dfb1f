#include "tables/service_table.h"

#include <algorithm>
#include <string>

namespace quetzalline {
namespace {

// Matches whole path segments only: /quotes matches /quotes/7 but not /quotesX.
bool PrefixMatches(std::string_view prefix, std::string_view target) {
  if (!target.starts_with(prefix)) return false;
  if (prefix.ends_with('/') || target.size() == prefix.size()) return true;
  const char next = target[prefix.size()];
  return next == '/' || next == '?';
}

bool RouteMatches(const Route& route, std::string_view host,
                  std::string_view target) {
  if (!route.host().empty() && route.host() != host) return false;
  return PrefixMatches(route.prefix(), target);
}

}  // namespace

bool ServiceTable::Apply(const PublishedService& row) {
  const PublishedService* old = rows_.Find(row.file().name());
  if (old != nullptr && old->revision() >= row.revision()) return false;
  rows_.Put(row.file().name(), row);
  return true;
}

const PublishedService* ServiceTable::Match(std::string_view host,
                                            std::string_view target) const {
  const PublishedService* best = nullptr;
  for (const auto& [name, service] : rows_) {
    const Route& route = service.file().route();
    if (route.prefix().empty() || !RouteMatches(route, host, target)) continue;
    if (best == nullptr ||
        route.prefix().size() > best->file().route().prefix().size()) {
      best = &service;
    }
  }
  return best;
}

void ServiceTable::RaiseRevision(std::int64_t revision) {
  revision_ = std::max(revision_, revision);
}

std::vector<PublishedService> ServiceTable::ChangedAfter(
    std::int64_t revision) const {
  std::vector<PublishedService> changed;
  for (const auto& [name, service] : rows_) {
    if (service.revision() > revision) changed.push_back(service);
  }
  return changed;
}

}  // namespace quetzalline
