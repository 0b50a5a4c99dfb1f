#ifndef QUETZALLINE_CORE_MEMBER_ROLE_H_
#define QUETZALLINE_CORE_MEMBER_ROLE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// Role of a process that is a member of a cell.
enum class MemberRole : std::uint8_t { kEntry, kRunner };

BOOST_DESCRIBE_ENUM(MemberRole, kEntry, kRunner)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_MEMBER_ROLE_H_
