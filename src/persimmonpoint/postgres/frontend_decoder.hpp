#ifndef PERSIMMONPOINT_POSTGRES_FRONTEND_DECODER_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_FRONTEND_DECODER_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/postgres/frontend_message.hpp>
#include <string_view>

namespace persimmonpoint::postgres {

/// A startup packet is never larger (bytes). Source: PostgreSQL's
/// MAX_STARTUP_PACKET_LENGTH.
inline constexpr std::size_t max_startup_bytes = 10'000;

struct decoded_frame {
    frontend_message message;
    std::size_t size = 0; ///< Bytes of the frame, header included.
};

/// Before the startup message frames carry no type byte.
enum class decoder_phase { startup, regular };

/// Decodes the first frame of `input`. Nothing if the frame is not complete yet.
/// Fails with 08P01 on a malformed frame and 54000 on one over `max_frame` bytes.
result<std::optional<decoded_frame>>
decode_frontend(std::string_view input, decoder_phase phase, std::size_t max_frame);

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_FRONTEND_DECODER_HPP_INCLUDED
