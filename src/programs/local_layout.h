#ifndef QUETZALLINE_PROGRAMS_LOCAL_LAYOUT_H_
#define QUETZALLINE_PROGRAMS_LOCAL_LAYOUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/location.h"

namespace quetzalline {

/// One instance of an embedded system.
struct LocalInstance {
  std::string name_;
  Location location_;
};

/// What an embedded system consists of.
struct LocalLayout {
  std::string example_;
  ServiceName service_;
  std::vector<LocalInstance> entries_;
  std::vector<LocalInstance> instances_;
  /// First port of the listeners; zero takes any free ports.
  std::uint16_t first_port_ = 0;
  std::string token_;
};

/// The layout of a shipped example; one without instances if there is no such
/// example.
LocalLayout ExampleLayout(const std::string& example);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_LOCAL_LAYOUT_H_
