#include <catch2/catch.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <rapidcheck.h>
#include <string>
#include <support/command_round_trip.hpp>

using namespace persimmonpoint;
using persimmonpoint::tests::caller_statement;
using persimmonpoint::tests::command_round_trip;

namespace {

/// Words that mean something in the protocol, and names that connections give.
rc::Gen<std::string> telling_word() {
    return rc::gen::element<std::string>(
        "READ", "WRITE", "AFTER", "3.1", "EXECUTE", "QUERY", "PREPARE", "RESET", "SET",
        "BEGIN", "COMMIT", "ROLLBACK", "-", "p1", "p2", "p3", "w_q1", "r_q1", "q1",
        "item", "s1");
}

/// Any byte that a line may hold.
rc::Gen<std::string> any_bytes() {
    auto const byte = rc::gen::suchThat(rc::gen::arbitrary<char>(), [](char each) {
        return each != '\r' && each != '\n' && each != '\0';
    });
    return rc::gen::container<std::string>(byte);
}

rc::Gen<std::string> blanks() {
    return rc::gen::container<std::string>(rc::gen::just(' '));
}

/// A field that ends at the next blank.
rc::Gen<std::string> word() {
    auto const without_blanks = rc::gen::map(any_bytes(), [](std::string text) {
        std::erase(text, ' ');
        return text.empty() ? std::string("x") : text;
    });
    return rc::gen::weightedOneOf<std::string>(
        {{3, telling_word()}, {1, without_blanks}});
}

/// A last field: words with any number of blanks around them.
rc::Gen<std::string> last_field() {
    auto const piece = rc::gen::weightedOneOf<std::string>(
        {{4, telling_word()},
         {2, rc::gen::just(std::string(" "))},
         {1, any_bytes()},
         {1, blanks()}});
    return rc::gen::map(
        rc::gen::container<std::vector<std::string>>(piece),
        [](std::vector<std::string> const& pieces) {
            std::string text;
            for (std::string const& each : pieces) {
                text += each;
            }
            return text;
        });
}

/// Few names, so that they are prepared anew and used.
rc::Gen<std::string> statement_name() {
    return rc::gen::weightedOneOf<std::string>(
        {{9, rc::gen::element<std::string>("s1", "p1")}, {1, word()}});
}

/// Few shapes that begin or end alike, so that sessions share some of them.
rc::Gen<std::string> shape() {
    return rc::gen::weightedOneOf<std::string>(
        {{4, rc::gen::element<std::string>(
                 "q1", "q1 WRITE xjyas", " q1", "q1 ", "q1  q1", "READ q1", " ")},
         {2, rc::gen::nonEmpty(last_field())}});
}

rc::Gen<std::string> item_and_data() {
    return rc::gen::map(
        rc::gen::tuple(word(), rc::gen::arbitrary<bool>(), last_field()),
        [](std::tuple<std::string, bool, std::string> const& drawn) {
            auto const& [item, has_data, data] = drawn;
            return has_data ? item + " " + data : item;
        });
}

rc::Gen<std::string> prefixed(std::string prefix, rc::Gen<std::string> rest) {
    return rc::gen::map(
        std::move(rest), [prefix](std::string const& text) { return prefix + text; });
}

rc::Gen<std::string> joined(rc::Gen<std::string> left, rc::Gen<std::string> right) {
    return rc::gen::map(
        rc::gen::pair(std::move(left), std::move(right)),
        [](std::pair<std::string, std::string> const& drawn) {
            return drawn.first + " " + drawn.second;
        });
}

/// Any statement that a caller may send.
rc::Gen<std::string> statement_text() {
    auto const access = rc::gen::element<std::string>("READ", "WRITE");
    return rc::gen::weightedOneOf<std::string>(
        {{2, prefixed("READ ", rc::gen::nonEmpty(last_field()))},
         {2, prefixed("WRITE ", item_and_data())},
         {2, prefixed("SET ", joined(word(), last_field()))},
         {1, prefixed("SET ", word())},
         {5, prefixed("PREPARE ", joined(statement_name(), joined(access, shape())))},
         {8, prefixed("EXECUTE ", joined(statement_name(), item_and_data()))},
         {1, prefixed("DEALLOCATE ", statement_name())},
         {1, rc::gen::element<std::string>("BEGIN", "BEGIN READ")},
         {2, rc::gen::element<std::string>("COMMIT", "ROLLBACK")}});
}

constexpr std::size_t session_count = 3;
constexpr std::size_t most_statements = 60;

caller_statement drawn_statement() {
    caller_statement drawn;
    drawn.session = *rc::gen::element<std::size_t>(0, 1, 2);
    drawn.id =
        *rc::gen::suchThat(word(), [](std::string const& id) { return id != "-"; });
    drawn.text = *statement_text();
    if (*rc::gen::arbitrary<bool>()) {
        drawn.floor = log_position{
            *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
    }
    drawn.reads_at_leader = *rc::gen::arbitrary<bool>();
    return drawn;
}

/// Nothing may go wrong.
void carry(command_round_trip& path, std::size_t session, std::string text) {
    caller_statement from;
    from.session = session;
    from.id = "id";
    from.text = std::move(text);
    CAPTURE(from.text);
    CHECK(path.carry(from) == "");
}

} // namespace

TEST_CASE(
    "Whatever callers send, a database runs exactly that, in each caller's own session",
    "[command_round_trip]") {
    CHECK(rc::check("statements of several sessions on shared connections", [] {
        command_round_trip path(session_count);
        auto const count = *rc::gen::resize(
            rc::kNominalSize, rc::gen::inRange<std::size_t>(1, most_statements));
        for (std::size_t i = 0; i < count; ++i) {
            caller_statement const sent = drawn_statement();
            RC_ASSERT(platform::parse_statement(sent.id, sent.text).has_value());
            std::string const fault = path.carry(sent);
            if (!fault.empty()) {
                RC_FAIL("<" + sent.text + ">: " + fault);
            }
        }
        RC_CLASSIFY(path.executed() > 10, "more than 10 statements ran");
    }));
}

TEST_CASE(
    "Sessions keep their prepared statements beyond what a connection holds",
    "[command_round_trip]") {
    constexpr int shape_count = 450;
    command_round_trip path(2);
    for (int i = 0; i < shape_count; ++i) {
        std::string const name = std::to_string(i);
        carry(path, 0, "PREPARE s" + name + " READ q" + name + " WRITE q");
        carry(path, 1, "PREPARE s" + name + " WRITE q" + name + " WRITE q");
        carry(path, 0, "EXECUTE s" + name + " item");
        carry(path, 1, "EXECUTE s" + name + " item data");
        carry(path, 0, "EXECUTE s" + std::to_string(i / 2) + " item");
    }
    CHECK(path.executed() == 3 * shape_count);
}

TEST_CASE(
    "A session's value never serves another session's statement",
    "[command_round_trip]") {
    command_round_trip path(2);
    carry(path, 0, "SET zone  far north ");
    carry(path, 0, "PREPARE s1 READ q1 WRITE xjyas");
    carry(path, 0, "EXECUTE s1 item");
    carry(path, 1, "READ item");
    carry(path, 1, "PREPARE s1 WRITE q1");
    carry(path, 1, "EXECUTE s1 item data");
    carry(path, 0, "EXECUTE s1 item");
    CHECK(path.executed() == 4);
}
