#ifndef QUETZALLINE_WIRE_MESSAGE_CODEC_H_
#define QUETZALLINE_WIRE_MESSAGE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "messages/agent_message.h"
#include "messages/entry_message.h"
#include "messages/gateway_message.h"
#include "messages/holder_message.h"
#include "messages/runner_message.h"

namespace quetzalline {

/// Encodes a message as the payload of a frame.
std::string EncodeMessage(const AgentMessage& message);
std::string EncodeMessage(const EntryMessage& message);
std::string EncodeMessage(const HolderMessage& message);
std::string EncodeMessage(const RunnerMessage& message);
std::string EncodeMessage(const GatewayMessage& message);

/// Decodes the payload of a frame. Returns nothing if it is malformed.
std::optional<AgentMessage> DecodeAgentMessage(std::string_view payload);
std::optional<EntryMessage> DecodeEntryMessage(std::string_view payload);
std::optional<HolderMessage> DecodeHolderMessage(std::string_view payload);
std::optional<RunnerMessage> DecodeRunnerMessage(std::string_view payload);
std::optional<GatewayMessage> DecodeGatewayMessage(std::string_view payload);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_MESSAGE_CODEC_H_
