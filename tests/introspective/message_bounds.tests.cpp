#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <limits>
#include <persimmonpoint/core/session/client_session_state.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <rapidcheck.h>
#include <sstream>
#include <string>

using namespace persimmonpoint;
using namespace persimmonpoint::platform;

namespace {

constexpr std::size_t end_of_line_bytes = 2;
constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
/// Of an answer or a line of the log that quotes what a caller sent.
constexpr std::size_t most_quoting_bytes = 8192;

struct statement_form {
    statement_verb verb;
    std::string start; ///< Of the statement's text.
    upstream_action action;
    bool may_have_floor = false;
};

std::vector<statement_form> const forms = {
    {statement_verb::read, "READ ", upstream_action::forward, true},
    {statement_verb::write, "WRITE ", upstream_action::forward},
    {statement_verb::set, "SET n ", upstream_action::set},
    {statement_verb::prepare_read, "PREPARE s READ ", upstream_action::prepare},
    {statement_verb::prepare_write, "PREPARE s WRITE ", upstream_action::prepare},
    {statement_verb::execute, "EXECUTE s ", upstream_action::execute_prepared, true}};

/// Bytes of the longest message that a database may have to be sent for the statement.
std::size_t longest_bytes(statement const& from, statement_form const& form, bool floor) {
    upstream_command command;
    command.action = form.action;
    bool const is_forwarded = form.action == upstream_action::forward;
    bool const has_id = is_forwarded || form.action == upstream_action::execute_prepared;
    command.id = has_id ? from.id : std::string();
    command.text = is_forwarded ? from.text : from.argument;
    command.name = from.name;
    command.prepared = {from.argument, from.verb == statement_verb::prepare_write};
    command.statement = {largest};
    if (floor) {
        command.floor = log_position{largest, largest};
    }
    return format_command(command).size() - end_of_line_bytes;
}

upstream_fit expected_fit(statement const& from, statement_form const& form) {
    if (longest_bytes(from, form, false) > most_message_bytes) {
        return upstream_fit::never;
    }
    bool const fits_with_floor =
        !form.may_have_floor || longest_bytes(from, form, true) <= most_message_bytes;
    return fits_with_floor ? upstream_fit::always : upstream_fit::without_floor;
}

statement_form form_of(statement_verb verb) {
    return *std::find_if(forms.begin(), forms.end(), [verb](auto const& each) {
        return each.verb == verb;
    });
}

/// A statement of which the caller's message has so many bytes.
statement of_bytes(statement_form const& form, std::size_t bytes) {
    std::size_t const start = std::string("QUERY 1 ").size() + form.start.size();
    return *parse_statement("1", form.start + std::string(bytes - start, 'x'));
}

statement with_fit(statement_verb verb, upstream_fit fit) {
    statement what{"id", "TEXT", verb, "s", "x"};
    what.fit = fit;
    return what;
}

} // namespace

TEST_CASE(
    "A statement that doesn't fit into a message to a database is known as it is read",
    "[bounds][line]") {
    for (statement_form const& form : forms) {
        CAPTURE(form.start);
        for (std::size_t bytes = most_message_bytes - 100; bytes <= most_message_bytes;
             ++bytes) {
            statement const from = of_bytes(form, bytes);
            if (from.fit != expected_fit(from, form)) {
                FAIL("wrong at a caller's message of " << bytes << " bytes");
            }
        }
    }
}

TEST_CASE(
    "Whatever fits is sent within the limit of a message", "[bounds][line][rapidcheck]") {
    CHECK(rc::check([] {
        auto const form = *rc::gen::elementOf(forms);
        auto const below = *rc::gen::inRange<std::size_t>(0, 100);
        statement const from = of_bytes(form, most_message_bytes - below);
        if (from.fit != upstream_fit::never) {
            bool const floor = form.may_have_floor && from.fit == upstream_fit::always;
            RC_ASSERT(longest_bytes(from, form, floor) <= most_message_bytes);
        }
    }));
}

TEST_CASE("A write of as many bytes as a message may have is served", "[bounds][line]") {
    statement const write = of_bytes(form_of(statement_verb::write), most_message_bytes);
    CHECK(write.fit == upstream_fit::always);
    client_session_state session;
    CHECK(session.decide(write).step == statement_action::execute_single);
}

TEST_CASE(
    "A statement that fits into no message is refused, and its transaction goes on",
    "[bounds][session]") {
    client_session_state session;
    session.decide(with_fit(statement_verb::prepare_write, upstream_fit::always));
    session.decide(with_fit(statement_verb::begin, upstream_fit::always));
    session.opened("db", transaction_id{{1, 2}, 7});
    auto const verb = GENERATE(
        statement_verb::execute, statement_verb::prepare_read, statement_verb::set,
        statement_verb::read);
    auto const refused = session.decide(with_fit(verb, upstream_fit::never));
    CHECK(refused.step == statement_action::reply_error);
    CHECK(refused.error == statement_error::too_large);
    CHECK(session.state() == transaction_state::open);
    CHECK(session.transaction().is_set());
    CHECK(session.values().empty());
    session.failed();
    CHECK(
        session.decide(with_fit(verb, upstream_fit::never)).error ==
        statement_error::malformed);
}

TEST_CASE(
    "A read that doesn't fit together with a position is refused only outside a "
    "transaction",
    "[bounds][session]") {
    client_session_state session;
    auto const verb = GENERATE(statement_verb::execute, statement_verb::read);
    session.decide(with_fit(statement_verb::prepare_read, upstream_fit::always));
    statement const read = with_fit(verb, upstream_fit::without_floor);
    CHECK(session.decide(read).error == statement_error::too_large);
    session.decide(with_fit(statement_verb::begin, upstream_fit::always));
    CHECK(session.decide(read).step == statement_action::open);
}

TEST_CASE(
    "A prepared write needs no room for a position in its message", "[bounds][session]") {
    client_session_state session;
    session.decide(with_fit(statement_verb::prepare_write, upstream_fit::always));
    auto const decision =
        session.decide(with_fit(statement_verb::execute, upstream_fit::without_floor));
    CHECK(decision.step == statement_action::execute_single);
}

TEST_CASE(
    "An error tells only the start of a long name that a caller sent",
    "[bounds][session]") {
    client_session_state session;
    auto const verb = GENERATE(statement_verb::execute, statement_verb::deallocate);
    statement what = with_fit(verb, upstream_fit::always);
    what.name = std::string(most_message_bytes - 20, 'n');
    auto const refused = session.decide(what);
    CHECK(refused.error == statement_error::unknown_statement);
    CHECK(refused.error_text.size() < most_quoting_bytes);
    CHECK(refused.error_text.find("nnn") != std::string::npos);
}

TEST_CASE("A long error text of a database fits into the answer", "[bounds][line]") {
    caller_answer answer;
    answer.error = statement_error::failed;
    answer.error_text = std::string(most_message_bytes, 't');
    std::string const lines = format_answer(answer);
    CHECK(lines.find("\r\n") <= most_message_bytes);
}

TEST_CASE(
    "A message may have as many bytes as the limit, and not one more", "[bounds][line]") {
    std::size_t const bytes = GENERATE(
        most_message_bytes - 1, most_message_bytes, most_message_bytes + 1,
        most_message_bytes + 1000);
    // With its end whole, after each byte of it, and before it.
    std::size_t const ahead = GENERATE(0, 1, 2, 3);
    std::string const message = std::string(bytes, 'x') + "\r\n";
    std::size_t const first = message.size() - ahead;
    bool const is_allowed = bytes <= most_message_bytes;
    line_reader reader;
    reader.add(std::string_view(message).substr(0, first));
    auto line = reader.next();
    if (!line && !reader.is_over_long()) {
        reader.add(std::string_view(message).substr(first));
        line = reader.next();
    }
    CHECK(line.has_value() == is_allowed);
    CHECK(reader.is_over_long() != is_allowed);
}

TEST_CASE("A line of the log holds only the start of a long text", "[bounds][log]") {
    std::ostringstream written;
    std::streambuf* const before = std::cout.rdbuf(written.rdbuf());
    observe::start_event_log("host");
    std::string const id(most_message_bytes, 'i');
    observe::log_event(observe::log_level::warning, "event", {{"id", id}, {"last", 7}});
    observe::stop_event_log();
    std::cout.rdbuf(before);
    CHECK(written.str().size() < most_quoting_bytes);
    CHECK(written.str().find("\"id\":\"iii") != std::string::npos);
    CHECK(written.str().find("\"last\":7}") != std::string::npos);
}
