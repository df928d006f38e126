#include <persimmonpoint/postgres/byte_reader.hpp>
#include <persimmonpoint/postgres/frontend_decoder.hpp>

namespace persimmonpoint::postgres {

namespace {

constexpr std::uint32_t cancel_code = 80877102;
constexpr std::uint32_t ssl_code = 80877103;
constexpr std::uint32_t gss_code = 80877104;
constexpr std::size_t length_bytes = 4;

error malformed(std::string_view what) {
    return error{"08P01", "malformed " + std::string(what) + " message"};
}

error oversized(std::size_t length, std::size_t limit) {
    return error{
        "54000", "frame of " + std::to_string(length) + " bytes exceeds the limit of " +
                     std::to_string(limit) + " bytes"};
}

std::optional<target_kind> read_target(byte_reader& reader) {
    char const kind = static_cast<char>(reader.integer<std::uint8_t>());
    if (kind == 'S') {
        return target_kind::statement;
    }
    if (kind == 'P') {
        return target_kind::portal;
    }
    return std::nullopt;
}

/// Reads a counted list of integers; a count that can't fit the frame fails the reader.
template <class Int>
std::vector<Int> read_integers(byte_reader& reader) {
    std::size_t const count = reader.integer<std::uint16_t>();
    std::vector<Int> values;
    if (count * sizeof(Int) > reader.remaining()) {
        reader.bytes(reader.remaining() + 1);
        return values;
    }
    values.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        values.push_back(reader.integer<Int>());
    }
    return values;
}

std::vector<std::optional<std::string_view>> read_parameters(byte_reader& reader) {
    std::size_t const count = reader.integer<std::uint16_t>();
    std::vector<std::optional<std::string_view>> values;
    for (std::size_t i = 0; i < count && reader.ok(); ++i) {
        auto const length = reader.integer<std::int32_t>();
        if (length == -1) {
            values.emplace_back(std::nullopt);
        } else {
            values.emplace_back(reader.bytes(static_cast<std::uint32_t>(length)));
        }
    }
    return values;
}

bool is_format_list_valid(std::vector<std::int16_t> const& formats) {
    for (std::int16_t const format : formats) {
        if (format != 0 && format != 1) {
            return false;
        }
    }
    return true;
}

result<frontend_message> decode_startup(std::string_view body) {
    byte_reader reader(body);
    auto const code = reader.integer<std::uint32_t>();
    if (code == ssl_code || code == gss_code) {
        if (!reader.at_end()) {
            return malformed("encryption request");
        }
        return code == ssl_code ? frontend_message(ssl_request{})
                                : frontend_message(gss_request{});
    }
    if (code == cancel_code) {
        cancel_request request;
        request.process_id = reader.integer<std::uint32_t>();
        request.secret = reader.integer<std::uint32_t>();
        if (!reader.ok() || !reader.at_end()) {
            return malformed("cancel request");
        }
        return frontend_message(request);
    }
    startup_message startup;
    startup.major = static_cast<std::uint16_t>(code >> 16);
    startup.minor = static_cast<std::uint16_t>(code & 0xffff);
    if (startup.major != 3) {
        return error{
            "08P01", "unsupported protocol " + std::to_string(startup.major) + "." +
                         std::to_string(startup.minor)};
    }
    while (true) {
        std::string_view const name = reader.c_string();
        if (name.empty()) {
            break;
        }
        startup.parameters.emplace_back(name, reader.c_string());
    }
    if (!reader.ok() || !reader.at_end()) {
        return malformed("startup");
    }
    return frontend_message(std::move(startup));
}

result<frontend_message> decode_parse(byte_reader& reader) {
    parse_message parse;
    parse.statement = reader.c_string();
    parse.text = reader.c_string();
    parse.parameter_types = read_integers<std::uint32_t>(reader);
    if (!reader.ok() || !reader.at_end()) {
        return malformed("parse");
    }
    return frontend_message(std::move(parse));
}

result<frontend_message> decode_bind(byte_reader& reader) {
    bind_message bind;
    bind.portal = reader.c_string();
    bind.statement = reader.c_string();
    bind.parameter_formats = read_integers<std::int16_t>(reader);
    bind.parameters = read_parameters(reader);
    bind.result_formats = read_integers<std::int16_t>(reader);
    std::size_t const formats = bind.parameter_formats.size();
    bool const count_fits = formats <= 1 || formats == bind.parameters.size();
    bool const valid = is_format_list_valid(bind.parameter_formats) &&
                       is_format_list_valid(bind.result_formats);
    if (!reader.ok() || !reader.at_end() || !count_fits || !valid) {
        return malformed("bind");
    }
    return frontend_message(std::move(bind));
}

template <class Message>
result<frontend_message> decode_target(byte_reader& reader, std::string_view what) {
    auto const kind = read_target(reader);
    std::string_view const name = reader.c_string();
    if (!kind || !reader.ok() || !reader.at_end()) {
        return malformed(what);
    }
    return frontend_message(Message{*kind, name});
}

result<frontend_message> decode_execute(byte_reader& reader) {
    execute_message execute;
    execute.portal = reader.c_string();
    execute.row_limit = reader.integer<std::int32_t>();
    if (!reader.ok() || !reader.at_end()) {
        return malformed("execute");
    }
    return frontend_message(execute);
}

template <class Message>
result<frontend_message> decode_text(byte_reader& reader, std::string_view what) {
    std::string_view const text = reader.c_string();
    if (!reader.ok() || !reader.at_end()) {
        return malformed(what);
    }
    return frontend_message(Message{text});
}

template <class Message>
result<frontend_message> decode_empty(byte_reader& reader, std::string_view what) {
    if (!reader.at_end()) {
        return malformed(what);
    }
    return frontend_message(Message{});
}

result<frontend_message> decode_regular(char type, std::string_view body) {
    byte_reader reader(body);
    switch (type) {
    case 'Q':
        return decode_text<query_message>(reader, "query");
    case 'P':
        return decode_parse(reader);
    case 'B':
        return decode_bind(reader);
    case 'D':
        return decode_target<describe_message>(reader, "describe");
    case 'E':
        return decode_execute(reader);
    case 'C':
        return decode_target<close_message>(reader, "close");
    case 'S':
        return decode_empty<sync_message>(reader, "sync");
    case 'H':
        return decode_empty<flush_message>(reader, "flush");
    case 'X':
        return decode_empty<terminate_message>(reader, "terminate");
    case 'p':
        return decode_text<password_message>(reader, "password");
    case 'F':
    case 'd':
    case 'c':
    case 'f':
        return frontend_message(unsupported_message{type});
    default:
        return error{
            "08P01", "unknown message type " + std::to_string(static_cast<int>(
                                                   static_cast<unsigned char>(type)))};
    }
}

} // namespace

std::string_view startup_message::parameter(std::string_view name) const {
    for (auto const& [key, value] : this->parameters) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

result<std::optional<decoded_frame>>
decode_frontend(std::string_view input, decoder_phase phase, std::size_t max_frame) {
    bool const startup = phase == decoder_phase::startup;
    std::size_t const type_bytes = startup ? 0 : 1;
    std::size_t const header = type_bytes + length_bytes;
    if (input.size() < header) {
        return std::optional<decoded_frame>();
    }
    byte_reader reader(input.substr(type_bytes));
    std::size_t const length = reader.integer<std::uint32_t>();
    std::size_t const limit = startup ? max_startup_bytes : max_frame;
    std::size_t const least = startup ? 2 * length_bytes : length_bytes;
    if (length < least) {
        return malformed("frame header of a");
    }
    if (length > limit) {
        return oversized(length, limit);
    }
    std::size_t const size = type_bytes + length;
    if (input.size() < size) {
        return std::optional<decoded_frame>();
    }
    std::string_view const body = input.substr(header, size - header);
    auto message = startup ? decode_startup(body) : decode_regular(input.front(), body);
    if (!message) {
        return message.error();
    }
    return std::optional<decoded_frame>(decoded_frame{std::move(message.value()), size});
}

} // namespace persimmonpoint::postgres
