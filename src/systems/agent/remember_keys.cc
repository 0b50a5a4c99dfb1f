#include "systems/agent/remember_keys.h"

namespace quetzalline {
namespace {

Reason Remember(const RememberKey& message, const AgentPolicy& policy,
                KeyTable& keys, Instant now) {
  const KeyId id =
      KeyId::Builder().caller(message.caller()).key(message.key()).Build();
  const RememberedKey* known = keys.Find(id);
  if (known != nullptr) {
    return known->request() == message.request() ? Reason::kNone
                                                 : Reason::kKeyConflict;
  }
  if (static_cast<std::int64_t>(keys.size()) >= policy.max_keys()) {
    return Reason::kTableFull;
  }
  keys.Put(
      id,
      RememberedKey::Builder().request(message.request()).seen(now).Build());
  return Reason::kNone;
}

void Forget(const ForgetKey& message, KeyTable& keys) {
  const KeyId id =
      KeyId::Builder().caller(message.caller()).key(message.key()).Build();
  const RememberedKey* known = keys.Find(id);
  if (known == nullptr || known->request() != message.request()) return;
  if (!known->outcome()) keys.Erase(id);
}

}  // namespace

void RememberKeys(const AgentInbox& inbox, AgentTables& tables,
                  AgentTick& tick) {
  for (const Received<ForgetKey>& received : inbox.forget_keys_) {
    Forget(received.message_, tables.keys_);
  }
  for (const Received<RememberKey>& received : inbox.remember_keys_) {
    const Reason reason =
        Remember(received.message_, tables.policy_, tables.keys_, tick.now());
    tick.Emit(SendToEntry::Builder()
                  .connection(received.connection_)
                  .message(KeyRemembered::Builder()
                               .request(received.message_.request())
                               .reason(reason)
                               .Build())
                  .Build());
  }
}

}  // namespace quetzalline
