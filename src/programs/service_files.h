#ifndef QUETZALLINE_PROGRAMS_SERVICE_FILES_H_
#define QUETZALLINE_PROGRAMS_SERVICE_FILES_H_

#include <string>
#include <vector>

#include "core/service_file.h"
#include "programs/toml_reader.h"

namespace quetzalline {

/// The service file of this name beside a service's code.
inline constexpr char kServiceFileName[] = "quetzalline.toml";

/// A service file together with where it was found.
struct FoundServiceFile {
  std::string path_;
  ServiceFile file_;
};

/// Reads one service file; faults are added.
FoundServiceFile ReadServiceFile(const std::string& path,
                                 std::vector<FileFault>& faults);

/// Collects and reads every service file below a directory, in the order of
/// their paths. Two files that name the same service are a fault.
std::vector<FoundServiceFile> CollectServiceFiles(
    const std::string& directory, std::vector<FileFault>& faults);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_SERVICE_FILES_H_
