#include "wire/frame_header.h"

namespace quetzalline {
namespace {

constexpr char kMagic0 = 'Q';
constexpr char kMagic1 = 'Z';
constexpr char kVersion = 1;
constexpr int kBitsPerByte = 8;

}  // namespace

std::string MakeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  frame += {kMagic0, kMagic1, kVersion, '\0'};
  for (int byte = 0; byte < 4; ++byte) {
    frame += static_cast<char>(payload.size() >> (kBitsPerByte * byte));
  }
  frame += payload;
  return frame;
}

std::optional<std::size_t> ParseFrameHeader(std::string_view header) {
  if (header.size() < kFrameHeaderBytes) return std::nullopt;
  if (header[0] != kMagic0 || header[1] != kMagic1) return std::nullopt;
  if (header[2] != kVersion) return std::nullopt;
  std::size_t length = 0;
  for (int byte = 3; byte >= 0; --byte) {
    const auto value = static_cast<unsigned char>(header[4 + byte]);
    length = (length << kBitsPerByte) | value;
  }
  if (length > kMaxFrameBytes) return std::nullopt;
  return length;
}

}  // namespace quetzalline
