#ifndef QUETZALLINE_PROGRAMS_LOCAL_LAYOUT_H_
#define QUETZALLINE_PROGRAMS_LOCAL_LAYOUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/location.h"

namespace quetzalline {

/// Describes one instance of an embedded system.
struct LocalInstance {
  std::string name_;
  Location location_;
};

/// Describes the instances, addresses and token of an embedded system.
struct LocalLayout {
  std::string example_;
  ServiceName service_;
  std::vector<LocalInstance> entries_;
  /// Instances that run an endpoint with its agent and worker.
  std::vector<LocalInstance> instances_;
  /// First port of the entries' and agents' listeners, which use consecutive
  /// ports; 0 selects free ports.
  std::uint16_t first_port_ = 0;
  /// Bearer token of the operators' API.
  std::string token_;
};

/// Returns the layout of a shipped example, or a layout without instances if
/// there is no example of that name.
LocalLayout ExampleLayout(const std::string& example);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_LOCAL_LAYOUT_H_
