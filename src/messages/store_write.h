#ifndef QUETZALLINE_MESSAGES_STORE_WRITE_H_
#define QUETZALLINE_MESSAGES_STORE_WRITE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/shared.h"
#include "core/value.h"
#include "records/store_record.h"

namespace quetzalline {

/// Writes one key if it has the expected index.
class StoreWrite {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-write";

  /// Identifies the call; the StoreAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  const std::string& key() const { return key_; }
  const Shared<StoreRecord>& record() const { return record_; }
  /// Store index of the key's last write; zero if the key must not exist.
  std::int64_t expected() const { return expected_; }

  friend auto operator<=>(const StoreWrite&, const StoreWrite&) = default;

 private:
  QUETZALLINE_VALUE(StoreWrite, ticket_, key_, record_, expected_)

  std::uint64_t ticket_ = 0;
  std::string key_;
  Shared<StoreRecord> record_;
  std::int64_t expected_ = 0;
};

/// Builds a StoreWrite; fields that are not set keep their defaults.
class StoreWrite::Builder : public ValueBuilder<StoreWrite, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& record(Shared<StoreRecord> value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& expected(std::int64_t value) { return Set(value_.expected_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_WRITE_H_
