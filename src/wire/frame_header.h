#ifndef QUETZALLINE_WIRE_FRAME_HEADER_H_
#define QUETZALLINE_WIRE_FRAME_HEADER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalline {

/// Size of a frame header in bytes: two magic bytes, one byte of version, one
/// reserved byte, and four bytes of payload length in little-endian order.
inline constexpr std::size_t kFrameHeaderBytes = 8;

/// Maximum payload size of a frame in bytes.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{32} << 20;

/// Returns a frame: the header and the payload.
std::string MakeFrame(std::string_view payload);

/// Returns the payload length from a header, or nothing if the bytes are not a
/// header of this protocol version or the length exceeds kMaxFrameBytes.
std::optional<std::size_t> ParseFrameHeader(std::string_view header);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_FRAME_HEADER_H_
