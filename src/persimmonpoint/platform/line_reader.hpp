#ifndef PERSIMMONPOINT_PLATFORM_LINE_READER_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_LINE_READER_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <persimmonpoint/core/statement/field_rules.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::platform {

/// Cuts received bytes into lines.
class line_reader {
public:
    void add(std::string_view bytes) { this->buffer.append(bytes); }

    /// The next whole line without its end; valid until the next call. Nothing if none is
    /// whole yet, or if it is longer than a message may be.
    std::optional<std::string_view> next() {
        this->buffer.erase(0, this->used);
        this->used = 0;
        if (this->buffer.empty() && this->buffer.capacity() > most_kept_bytes) {
            this->buffer.shrink_to_fit();
        }
        std::size_t const end = this->buffer.find("\r\n", this->searched);
        if (end == std::string::npos) {
            this->searched = this->buffer.empty() ? 0 : this->buffer.size() - 1;
            return std::nullopt;
        }
        if (end > most_message_bytes) {
            this->searched = end;
            return std::nullopt;
        }
        this->searched = 0;
        this->used = end + 2;
        return std::string_view(this->buffer).substr(0, end);
    }

    /// Gives all memory back; what was received is lost.
    void drop() {
        std::string().swap(this->buffer);
        this->used = 0;
        this->searched = 0;
    }

    /// Of what next() gave no line for: true if no message can be so long. The first byte
    /// of its end may be there.
    bool is_over_long() const {
        return this->buffer.size() - this->used > most_message_bytes + 1;
    }

    /// True if a part of a message has arrived that isn't whole yet, or was not given
    /// out.
    bool has_pending() const { return this->buffer.size() > this->used; }

    /// Memory that the reader holds.
    std::size_t held_bytes() const { return this->buffer.capacity(); }

private:
    /// After a long line, the memory for the next one is given back beyond this.
    static constexpr std::size_t most_kept_bytes = 16 * 1024;

    std::string buffer;
    std::size_t used = 0;     ///< Bytes of the line that was given out last.
    std::size_t searched = 0; ///< No end of line begins before this place.
};

/// True if a line holds a character that could end or start another message.
inline bool has_stray_control(std::string_view line) {
    return !is_last_field(line);
}

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_LINE_READER_HPP_INCLUDED
