#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <persimmonpoint/platform/line_codec.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::platform {

namespace {

constexpr std::string_view end_of_line = "\r\n";
/// Id of a statement that no caller sent.
constexpr std::string_view no_id = "-";
/// Room in a message for an ERROR's words and the blanks around them.
constexpr std::size_t error_words_bytes = 32;
constexpr std::size_t most_error_text_bytes = most_message_bytes - error_words_bytes;
/// A client's statement needs at most so many bytes more in a message to a database.
constexpr std::size_t most_growth_bytes = 128;
constexpr std::uint64_t largest_number = std::numeric_limits<std::uint64_t>::max();
constexpr prepared_name longest_name{largest_number};
constexpr log_position longest_position{largest_number, largest_number};

struct error_name {
    statement_error error;
    std::string_view word;
};

constexpr std::array<error_name, 14> error_names = {{
    {statement_error::busy, "BUSY"},
    {statement_error::lagging, "LAGGING"},
    {statement_error::read_only, "READONLY"},
    {statement_error::wrong_database, "MISROUTED"},
    {statement_error::too_many_connections, "OVERLOADED"},
    {statement_error::failed, "FAILED"},
    {statement_error::unknown_statement, "UNKNOWN"},
    {statement_error::timeout, "TIMEOUT"},
    {statement_error::denied, "DENIED"},
    {statement_error::no_database, "NODATABASE"},
    {statement_error::too_large, "TOOLARGE"},
    {statement_error::malformed, "MALFORMED"},
    {statement_error::aborted, "ABORTED"},
    {statement_error::in_doubt, "INDOUBT"},
}};

std::optional<std::uint64_t> parse_number(std::string_view word) {
    std::uint64_t value = 0;
    auto const [end, failure] =
        std::from_chars(word.data(), word.data() + word.size(), value);
    if (failure != std::errc() || end != word.data() + word.size()) {
        return std::nullopt;
    }
    return value;
}

std::string_view state_word(transaction_state state) {
    switch (state) {
    case transaction_state::idle:
        return "I";
    case transaction_state::open:
        return "T";
    default:
        return "E";
    }
}

statement make(std::string_view id, std::string_view text, statement_verb verb) {
    return statement{std::string(id), std::string(text), verb, {}, {}};
}

std::optional<statement> parse_named(
    std::string_view id,
    std::string_view text,
    std::string_view word,
    std::string_view rest) {
    statement parsed = make(id, text, statement_verb::set);
    parsed.name = take_word(rest);
    if (parsed.name.empty()) {
        return std::nullopt;
    }
    if (word == "DEALLOCATE") {
        if (!rest.empty()) {
            return std::nullopt;
        }
        parsed.verb = statement_verb::deallocate;
        return parsed;
    }
    if (word == "PREPARE") {
        std::string_view const access = take_word(rest);
        if ((access != "READ" && access != "WRITE") || rest.empty()) {
            return std::nullopt;
        }
        parsed.verb = access == "READ" ? statement_verb::prepare_read
                                       : statement_verb::prepare_write;
    } else if (word == "EXECUTE") {
        if (rest.empty()) {
            return std::nullopt;
        }
        parsed.verb = statement_verb::execute;
    }
    parsed.argument = rest;
    return parsed;
}

std::string format_name(prepared_name name) {
    return "p" + std::to_string(name.number);
}

std::string command_text(upstream_command const& command) {
    switch (command.action) {
    case upstream_action::forward:
        return command.text;
    case upstream_action::execute_prepared:
        return "EXECUTE " + format_name(command.statement) + " " + command.text;
    case upstream_action::begin:
        return "BEGIN";
    case upstream_action::begin_read:
        return "BEGIN READ";
    case upstream_action::rollback:
        return "ROLLBACK";
    case upstream_action::set:
        return "SET " + command.name + " " + command.text;
    case upstream_action::prepare:
        return "PREPARE " + format_name(command.statement) +
               (command.prepared.writes ? " WRITE " : " READ ") + command.prepared.shape;
    case upstream_action::reset:
        return "RESET";
    case upstream_action::report_state:
        return "STATUS";
    case upstream_action::hold:
        return "PAUSE " + std::to_string(command.term);
    case upstream_action::stop_primary:
        return "DEMOTE " + std::to_string(command.term);
    default:
        return "RESUME";
    }
}

/// The longest command, but for its floor, that a database may have to be sent for the
/// statement.
upstream_command longest_command(statement const& parsed) {
    upstream_command command;
    command.statement = longest_name;
    command.id = parsed.id;
    command.text = parsed.text;
    switch (parsed.verb) {
    case statement_verb::execute:
        command.action = upstream_action::execute_prepared;
        command.text = parsed.argument;
        return command;
    case statement_verb::set:
        command.action = upstream_action::set;
        command.id.clear();
        command.name = parsed.name;
        command.text = parsed.argument;
        return command;
    case statement_verb::prepare_read:
    case statement_verb::prepare_write:
        command.action = upstream_action::prepare;
        command.id.clear();
        command.prepared = {
            parsed.argument, parsed.verb == statement_verb::prepare_write};
        return command;
    default:
        return command;
    }
}

bool fits_message(upstream_command const& command) {
    return format_command(command).size() - end_of_line.size() <= most_message_bytes;
}

upstream_fit fit_of(statement const& parsed) {
    // Nearly all statements: nothing needs to be written to know it.
    if (parsed.id.size() + parsed.text.size() + most_growth_bytes <= most_message_bytes) {
        return upstream_fit::always;
    }
    upstream_command command = longest_command(parsed);
    if (!fits_message(command)) {
        return upstream_fit::never;
    }
    bool const may_have_floor =
        parsed.verb == statement_verb::read || parsed.verb == statement_verb::execute;
    if (!may_have_floor) {
        return upstream_fit::always;
    }
    command.floor = longest_position;
    return fits_message(command) ? upstream_fit::always : upstream_fit::without_floor;
}

std::optional<statement> parse_text(std::string_view id, std::string_view text) {
    std::string_view rest = text;
    std::string_view const word = take_word(rest);
    if (word == "BEGIN") {
        if (rest.empty()) {
            return make(id, text, statement_verb::begin);
        }
        return rest == "READ" ? std::optional(make(id, text, statement_verb::begin_read))
                              : std::nullopt;
    }
    if (word == "COMMIT" && rest.empty()) {
        return make(id, text, statement_verb::commit);
    }
    if (word == "ROLLBACK" && rest.empty()) {
        return make(id, text, statement_verb::rollback);
    }
    if (word == "READ" && !rest.empty()) {
        return make(id, text, statement_verb::read);
    }
    if (word == "WRITE" && !rest.empty()) {
        return make(id, text, statement_verb::write);
    }
    if (word == "SET" || word == "PREPARE" || word == "EXECUTE" || word == "DEALLOCATE") {
        return parse_named(id, text, word, rest);
    }
    return std::nullopt;
}

} // namespace

std::string_view take_word(std::string_view& line) {
    std::size_t const end = std::min(line.find(' '), line.size());
    std::string_view const word = line.substr(0, end);
    line.remove_prefix(std::min(end + 1, line.size()));
    return word;
}

std::optional<statement> parse_statement(std::string_view id, std::string_view text) {
    auto parsed = parse_text(id, text);
    if (parsed) {
        parsed->fit = fit_of(*parsed);
    }
    return parsed;
}

statement_error parse_error(std::string_view word) {
    for (error_name const& each : error_names) {
        if (each.word == word) {
            return each.error;
        }
    }
    // A code that isn't known promises nothing.
    return statement_error::failed;
}

std::string_view error_word(statement_error error) {
    for (error_name const& each : error_names) {
        if (each.error == error) {
            return each.word;
        }
    }
    return "FAILED";
}

std::optional<log_position> parse_position(std::string_view word) {
    std::size_t const dot = word.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    auto const term = parse_number(word.substr(0, dot));
    auto const number = parse_number(word.substr(dot + 1));
    if (!term || !number) {
        return std::nullopt;
    }
    return log_position{*term, *number};
}

std::string format_position(std::optional<log_position> position) {
    if (!position) {
        return "-";
    }
    return std::to_string(position->term) + "." + std::to_string(position->offset);
}

transaction_state parse_state(std::string_view word) {
    if (word == "I") {
        return transaction_state::idle;
    }
    return word == "T" ? transaction_state::open : transaction_state::failed;
}

std::optional<database_state> parse_report(std::string_view row) {
    std::string_view const role = take_word(row);
    auto const term = parse_number(take_word(row));
    auto const received = parse_position(take_word(row));
    auto const held = parse_number(take_word(row));
    if (!term || !received || !held || (role != "primary" && role != "replica")) {
        return std::nullopt;
    }
    return database_state{role == "primary", *term, *received, *held};
}

std::string format_ready(transaction_state state, std::optional<log_position> position) {
    std::string line = "READY ";
    line += state_word(state);
    line += ' ';
    line += format_position(position);
    line += end_of_line;
    return line;
}

std::string format_answer(caller_answer const& answer) {
    std::string lines;
    if (answer.error == statement_error::none) {
        for (std::string const& row : answer.rows) {
            lines.append("ROW ").append(row).append(end_of_line);
        }
        lines.append("COMPLETE ");
        lines.append(answer.signature.empty() ? "-" : answer.signature);
    } else {
        lines.append("ERROR ").append(error_word(answer.error)).append(" ");
        lines.append(
            answer.error_text.empty() ? "-" : answer.error_text, 0,
            most_error_text_bytes);
    }
    lines.append(end_of_line);
    lines.append(format_ready(answer.state, answer.position));
    return lines;
}

std::string format_start(upstream_target const& target) {
    std::string line =
        "START " + target.group + " " + target.team + " " + target.database;
    line += end_of_line;
    return line;
}

std::string format_command(upstream_command const& command) {
    std::string line = "QUERY ";
    line.append(command.id.empty() ? no_id : command.id).append(" ");
    if (command.floor) {
        line.append("AFTER ").append(format_position(command.floor)).append(" ");
    }
    line.append(command_text(command)).append(end_of_line);
    return line;
}

} // namespace persimmonpoint::platform
