#ifndef QUETZALLINE_CORE_IDS_H_
#define QUETZALLINE_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace quetzalline {

/// A string identifier of one kind of entity. Each kind has its own tag, so
/// that the compiler rejects an identifier of another kind.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;

 private:
  std::string value_;
};

using ServiceName = Name<struct ServiceTag>;
using EndpointId = Name<struct EndpointTag>;
using EntryId = Name<struct EntryTag>;
using CallerName = Name<struct CallerTag>;
using TeamName = Name<struct TeamTag>;
using Region = Name<struct RegionTag>;
using AvailabilityZone = Name<struct AvailabilityZoneTag>;
using RackName = Name<struct RackTag>;
using TaskId = Name<struct TaskTag>;
using JobId = Name<struct JobTag>;
using MemberName = Name<struct MemberTag>;

/// Identifies a connection between two processes. The adapter that opens the
/// connection assigns the number; numbers are never reused within a process.
class ConnectionId {
 public:
  ConnectionId() = default;
  explicit ConnectionId(std::uint64_t value) : value_(value) {}

  std::uint64_t value() const { return value_; }

  friend auto operator<=>(const ConnectionId&, const ConnectionId&) = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_IDS_H_
