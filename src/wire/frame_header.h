#ifndef QUETZALLINE_WIRE_FRAME_HEADER_H_
#define QUETZALLINE_WIRE_FRAME_HEADER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalline {

/// Length in bytes of the header before each frame: two bytes of magic, one of
/// version, one reserved, four of payload length, lowest byte first.
inline constexpr std::size_t kFrameHeaderBytes = 8;

/// Largest payload of a frame in bytes.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{32} << 20;

/// A frame with its header.
std::string MakeFrame(std::string_view payload);

/// The payload length that a header announces; empty where the bytes are no
/// header of this protocol or the length is above the bound.
std::optional<std::size_t> ParseFrameHeader(std::string_view header);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_FRAME_HEADER_H_
