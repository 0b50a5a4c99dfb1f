#ifndef QUETZALLINE_CORE_IDS_H_
#define QUETZALLINE_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace quetzalline {

/// A name of one kind of thing, which cannot be mistaken for another kind's.
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

/// A connection between two processes, numbered by the adapter that opened
/// it; a number is never used again within a process.
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
