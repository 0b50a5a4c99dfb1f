#include "wire/message_codec.h"

#include "wire/flex_encoding.h"

namespace quetzalline {
std::string EncodeMessage(const AgentMessage& message) {
  return FlexEncoder::Encode(message);
}

std::string EncodeMessage(const EntryMessage& message) {
  return FlexEncoder::Encode(message);
}

std::string EncodeMessage(const HolderMessage& message) {
  return FlexEncoder::Encode(message);
}

std::string EncodeMessage(const RunnerMessage& message) {
  return FlexEncoder::Encode(message);
}

std::string EncodeMessage(const GatewayMessage& message) {
  return FlexEncoder::Encode(message);
}

std::optional<AgentMessage> DecodeAgentMessage(std::string_view payload) {
  return FlexDecoder::Decode<AgentMessage>(payload);
}

std::optional<EntryMessage> DecodeEntryMessage(std::string_view payload) {
  return FlexDecoder::Decode<EntryMessage>(payload);
}

std::optional<HolderMessage> DecodeHolderMessage(std::string_view payload) {
  return FlexDecoder::Decode<HolderMessage>(payload);
}

std::optional<RunnerMessage> DecodeRunnerMessage(std::string_view payload) {
  return FlexDecoder::Decode<RunnerMessage>(payload);
}

std::optional<GatewayMessage> DecodeGatewayMessage(std::string_view payload) {
  return FlexDecoder::Decode<GatewayMessage>(payload);
}

}  // namespace quetzalline
