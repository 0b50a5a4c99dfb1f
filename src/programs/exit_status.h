#ifndef QUETZALLINE_PROGRAMS_EXIT_STATUS_H_
#define QUETZALLINE_PROGRAMS_EXIT_STATUS_H_

namespace quetzalline {

/// The exit statuses of all subcommands.
enum class ExitStatus : int {
  kDone = 0,
  kRefused = 1,
  kWrongUsage = 2,
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_EXIT_STATUS_H_
