#include "systems/gateway/gateway_node.h"

#include "core/overloaded.h"
#include "systems/cell/registration.h"
#include "systems/gateway/handle_job_calls.h"
#include "systems/gateway/read_configuration.h"

namespace quetzalline {

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
  return tick.TakeEffects();
}

}  // namespace quetzalline
