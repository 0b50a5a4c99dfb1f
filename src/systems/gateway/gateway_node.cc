#include "systems/gateway/gateway_node.h"

#include "core/overloaded.h"
#include "systems/cell/log_fields.h"
#include "systems/cell/registration.h"
#include "systems/gateway/handle_job_calls.h"
#include "systems/gateway/read_configuration.h"

namespace quetzalline {
namespace {

// After a stall, what has waited is read within this time.
constexpr Duration kStaleSubmissionTime = std::chrono::milliseconds(100);

// Detects that the process has handled nothing for longer than any caller
// waits. The callers of submissions that are read now have left, and may have
// cancelled their jobs elsewhere, so long ago that the cell has forgotten it.
void DetectStall(GatewayTables& tables, GatewayTick& tick) {
  if (!tables.next_tick_) return;
  const Duration late = tick.now() - *tables.next_tick_;
  if (late <= tables.policy_.longest_call()) return;
  LogLine(tick, "stall-detected", 0, {FieldMs("late_ms", late)});
  tables.submissions_stale_until_ = tick.now() + kStaleSubmissionTime;
}

}  // namespace

GatewayNode::GatewayNode(const GatewayPolicy& policy, std::uint64_t seed)
    : random_(seed) {
  tables_.policy_ = policy;
}

bool GatewayNode::IsReady() const {
  return !tables_.stopping_ && tables_.configuration_.version() > 0;
}

std::vector<GatewayEffect> GatewayNode::RunTick(
    Instant now, std::span<const GatewayInput> inputs) {
  GatewayTick tick(now, random_, tables_.counters_);
  DetectStall(tables_, tick);
  for (const GatewayInput& input : inputs) {
    std::visit(
        Overloaded{
            [](const ConnectionOpened&) {},
            [&](const ConnectionClosed& i) {
              HandleHolderConnectionClosed(i, tables_, tick);
            },
            [&](const GatewayMessageReceived& i) {
              HandleGatewayMessage(i.connection(), i.message(), tables_, tick);
            },
            [&](const JobCall& i) { HandleJobCall(i, tables_, tick); },
            [&](const KvsAnswer& i) {
              if (HandleRegistrationAnswer(i.ticket(), i.result(),
                                           tables_.registration_, tick)) {
                return;
              }
              HandleConfigurationAnswer(i, tables_, tick);
            },
            [&](const StopRequested&) { tables_.stopping_ = true; },
        },
        input);
  }
  const MemberRecord record = MemberRecord::Builder()
                                  .role(MemberRole::kEntry)
                                  .address(tables_.policy_.address())
                                  .incarnation(tables_.policy_.incarnation())
                                  .Build();
  Register(tables_.policy_.member(), record, tables_.last_ticket_,
           tables_.registration_, tick);
  ReadConfiguration(tables_, tick);
  ExpireHoldersAndCalls(tables_, tick);
  wake_at_ = tick.wake_at();
  tables_.next_tick_ = wake_at_;
  return tick.TakeEffects();
}

}  // namespace quetzalline
