// libFuzzer target: the first byte chooses a decoder, the rest is what it is given. A
// decoder may refuse anything, but must not throw, nor give out a value out of bounds.
// What callers send must be run by a database as it was sent.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <persimmonpoint/engine/message_check.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <persimmonpoint/platform/store_answers.hpp>
#include <string_view>
#include <support/command_round_trip.hpp>

using namespace persimmonpoint;

namespace {

enum class decoder {
    configuration,
    database,
    host,
    lease,
    store_page,
    lines,
    peers,
    notice,
    commands,
    count
};

/// Sessions that share connections, so that each can disturb the others.
constexpr std::size_t session_count = 3;

/// Ends the run, which libFuzzer reports with the input.
void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

void decode_configuration(std::string_view bytes) {
    auto const read = platform::decode_configuration(bytes);
    if (!read) {
        return;
    }
    for (auto const& each : read.value().configuration.teams) {
        require(each.second.rate >= 0 && each.second.rate <= max_team_rate);
    }
    for (auto const& each : read.value().configuration.routes) {
        require(each.second.statement_timeout >= duration(0));
        require(each.second.statement_timeout <= max_route_time);
    }
}

void decode_database(std::string_view bytes) {
    auto const read = platform::decode_database("i-1", bytes);
    require(!read || !find_fault(read.value()));
}

void decode_page(std::string_view bytes) {
    platform::http_reply reply{200, std::string(bytes), {}};
    if (auto const page = platform::read_page("rows-get", reply)) {
        row_list list;
        (void)list.add(page.value());
    }
}

void decode_lines(std::string_view bytes) {
    platform::line_reader reader;
    reader.add(bytes);
    while (auto const line = reader.next()) {
        (void)platform::parse_statement("1", *line);
        (void)platform::parse_report(*line);
        (void)platform::parse_position(*line);
    }
}

void decode_peer_messages(std::string_view bytes) {
    engine::peer_decoder reader;
    reader.add(bytes);
    while (auto const message = reader.next()) {
        require(engine::is_well_formed(*message));
        require(!engine::encode(*message).empty());
    }
}

/// A line is a byte, an id and a statement; the byte chooses the session and its route.
tests::caller_statement read_statement(std::string_view line) {
    constexpr unsigned char has_floor = 4;
    constexpr unsigned char reads_at_leader = 8;
    tests::caller_statement from;
    auto const choice = static_cast<unsigned char>(line.front());
    std::string_view rest = line.substr(1);
    from.session = choice % session_count;
    from.id = platform::take_word(rest);
    from.text = rest;
    from.reads_at_leader = (choice & reads_at_leader) != 0;
    if ((choice & has_floor) != 0) {
        from.floor = log_position{choice, from.text.size()};
    }
    return from;
}

void carry_commands(std::string_view bytes) {
    platform::line_reader reader;
    reader.add(bytes);
    tests::command_round_trip path(session_count);
    while (auto const line = reader.next()) {
        if (!line->empty()) {
            require(path.carry(read_statement(*line)).empty());
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    std::string_view const bytes(reinterpret_cast<char const*>(data + 1), size - 1);
    switch (static_cast<decoder>(data[0] % static_cast<int>(decoder::count))) {
    case decoder::configuration:
        decode_configuration(bytes);
        break;
    case decoder::database:
        decode_database(bytes);
        break;
    case decoder::host:
        (void)platform::decode_host("h", bytes);
        break;
    case decoder::lease:
        (void)platform::decode_lease(bytes);
        break;
    case decoder::store_page:
        decode_page(bytes);
        break;
    case decoder::lines:
        decode_lines(bytes);
        break;
    case decoder::notice:
        (void)platform::decode_notice(bytes);
        break;
    case decoder::commands:
        carry_commands(bytes);
        break;
    default:
        decode_peer_messages(bytes);
    }
    return 0;
}
