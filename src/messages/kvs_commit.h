#ifndef QUETZALLINE_MESSAGES_KVS_COMMIT_H_
#define QUETZALLINE_MESSAGES_KVS_COMMIT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/kvs_precondition.h"
#include "messages/kvs_put.h"

namespace quetzalline {

/// Changes several keys atomically if every precondition holds.
class KvsCommit {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-commit";

  /// Identifies the call; the KvsAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  const std::vector<KvsPrecondition>& expectations() const {
    return expectations_;
  }
  const std::vector<KvsPut>& puts() const { return puts_; }
  /// Keys to delete.
  const std::vector<std::string>& removals() const { return removals_; }

  friend auto operator<=>(const KvsCommit&, const KvsCommit&) = default;

 private:
  QUETZALLINE_VALUE(KvsCommit, ticket_, expectations_, puts_, removals_)

  std::uint64_t ticket_ = 0;
  std::vector<KvsPrecondition> expectations_;
  std::vector<KvsPut> puts_;
  std::vector<std::string> removals_;
};

/// Builds a KvsCommit; fields that are not set keep their defaults.
class KvsCommit::Builder : public ValueBuilder<KvsCommit, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& expectations(std::vector<KvsPrecondition> value) {
    return Set(value_.expectations_, std::move(value));
  }
  Builder& puts(std::vector<KvsPut> value) {
    return Set(value_.puts_, std::move(value));
  }
  Builder& removals(std::vector<std::string> value) {
    return Set(value_.removals_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_COMMIT_H_
