#ifndef QUETZALLINE_MESSAGES_KV_COMMIT_H_
#define QUETZALLINE_MESSAGES_KV_COMMIT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/kv_expectation.h"
#include "messages/kv_put.h"

namespace quetzalline {

/// Changes several keys at once if every expectation holds.
class KvCommit {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-commit";

  std::uint64_t ticket() const { return ticket_; }
  const std::vector<KvExpectation>& expectations() const {
    return expectations_;
  }
  const std::vector<KvPut>& puts() const { return puts_; }
  const std::vector<std::string>& removals() const { return removals_; }

  friend auto operator<=>(const KvCommit&, const KvCommit&) = default;

 private:
  QUETZALLINE_VALUE(KvCommit, ticket_, expectations_, puts_, removals_)

  std::uint64_t ticket_ = 0;
  std::vector<KvExpectation> expectations_;
  std::vector<KvPut> puts_;
  std::vector<std::string> removals_;
};

/// Builds one KvCommit; what is not set keeps its default.
class KvCommit::Builder : public ValueBuilder<KvCommit, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& expectations(std::vector<KvExpectation> value) {
    return Set(value_.expectations_, std::move(value));
  }
  Builder& puts(std::vector<KvPut> value) {
    return Set(value_.puts_, std::move(value));
  }
  Builder& removals(std::vector<std::string> value) {
    return Set(value_.removals_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_COMMIT_H_
