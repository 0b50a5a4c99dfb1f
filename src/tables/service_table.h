#ifndef QUETZALLINE_TABLES_SERVICE_TABLE_H_
#define QUETZALLINE_TABLES_SERVICE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/published_service.h"
#include "core/table.h"

namespace quetzalline {

/// The service files in force at this process. A row never gives way to one
/// with a lower revision.
class ServiceTable {
 public:
  using Rows = Table<ServiceName, PublishedService>;

  const PublishedService* Find(const ServiceName& name) const {
    return rows_.Find(name);
  }
  /// Puts the row unless a revision at least as high is in force; says whether
  /// it did.
  bool Apply(const PublishedService& row);

  /// The service with the longest matching path prefix for this host, or null.
  const PublishedService* Match(std::string_view host,
                                std::string_view target) const;

  /// Everything in force is known up to this revision.
  std::int64_t revision() const { return revision_; }
  void RaiseRevision(std::int64_t revision);

  std::vector<PublishedService> ChangedAfter(std::int64_t revision) const;

  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  std::int64_t revision_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SERVICE_TABLE_H_
