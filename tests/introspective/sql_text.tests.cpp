#include <catch2/catch.hpp>
#include <optional>
#include <persimmonpoint/postgres/query_classifier.hpp>
#include <persimmonpoint/postgres/sql_text.hpp>
#include <persimmonpoint/traffic/session_parameters.hpp>
#include <rapidcheck.h>
#include <string>

using namespace persimmonpoint;
using namespace persimmonpoint::postgres;

namespace {

constexpr std::size_t octal_digits = 3;

/// Reads a constant as a database does. Nothing if the constant ends before the text
/// does.
std::optional<std::string> read_literal(std::string_view text, bool standard_strings) {
    bool const has_mark = text.starts_with("E");
    bool const escapes = has_mark || !standard_strings;
    text.remove_prefix(has_mark ? 2 : 1);
    std::string value;
    while (!text.empty()) {
        if (text == "'") {
            return value;
        }
        if (text.front() == '\'' && !text.starts_with("''")) {
            return std::nullopt;
        }
        bool const octal = escapes && text.starts_with("\\1");
        bool const pair = text.front() == '\'' || (escapes && text.front() == '\\');
        std::size_t const used = octal ? 1 + octal_digits : (pair ? 2 : 1);
        if (used > text.size()) {
            return std::nullopt;
        }
        value.push_back(
            octal ? static_cast<char>(
                        std::stoi(std::string(text.substr(1, octal_digits)), nullptr, 8))
                  : text[used - 1]);
        text.remove_prefix(used);
    }
    return std::nullopt;
}

/// Texts full of what ends a constant.
rc::Gen<std::string> hostile_text() {
    return rc::gen::container<std::string>(rc::gen::weightedElement<char>(
        {{3, '\''},
         {3, '\\'},
         {1, ';'},
         {1, '-'},
         {1, ' '},
         {1, 'a'},
         {1, '1'},
         {1, '$'},
         {1, '\n'},
         {1, 'E'},
         {1, '"'}}));
}

} // namespace

TEST_CASE("Only names that SQL reads as one parameter are taken for one", "[sql_text]") {
    for (char const* name : {"zone", "DateStyle", "_a1", "app.user_1", "a.b.c"}) {
        CAPTURE(name);
        CHECK(is_parameter_name(name));
    }
    for (char const* name :
         {"", ".", "a.", ".a", "a..b", "1a", "a b", "x = 1; DROP TABLE t; --", "a;", "a'",
          "a\"", "a\\", "a-b", "SESSION AUTHORIZATION postgres --", "a\n", "\xc3\xa9"}) {
        CAPTURE(name);
        CHECK_FALSE(is_parameter_name(name));
    }
}

TEST_CASE("A session refuses a parameter that would be part of SQL", "[sql_text]") {
    traffic::session_parameters parameters;
    auto const outcome = parameters.set("ROLE postgres --", "on");
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().sqlstate == "42704");
    CHECK(parameters.upstream().empty());
    CHECK(parameters.set("app.user", "on"));
    CHECK(parameters.upstream().size() == 1);
}

TEST_CASE("A constant ends where its text ends", "[sql_text]") {
    CHECK(sql_literal("far north") == "'far north'");
    CHECK(sql_literal("it's") == "'it''s'");
    CHECK(sql_literal(R"(\'; DROP TABLE t; --)") == R"(E'\134''; DROP TABLE t; --')");
    CHECK(rc::check("for both kinds of strings", [] {
        std::string const text = *hostile_text();
        std::string const literal = sql_literal(text);
        RC_ASSERT(read_literal(literal, true) == text);
        RC_ASSERT(read_literal(literal, false) == text);
    }));
}

TEST_CASE("PostgreSQL's own parser reads a SET as it was meant", "[sql_text]") {
    CHECK(rc::check("as one command with the name and the value", [] {
        query_classifier classifier(1);
        std::string const name = *rc::gen::element<std::string>(
            "zone", "DateStyle", "all", "user", "app.user", "local", "a.b.select");
        std::string const value = *hostile_text();
        auto const query = classifier.classify(set_command(name, value));
        RC_ASSERT(query.has_value());
        RC_ASSERT(query.value()->size() == 1);
        RC_ASSERT(query.value()->front().kind == statement_kind::set);
        RC_ASSERT(query.value()->front().parameter == name);
        RC_ASSERT(query.value()->front().value == value);
    }));
}

TEST_CASE("No byte of a value escapes what stands behind a constant", "[sql_text]") {
    // A backslash may be the second byte of a character in SJIS.
    std::string const literal = sql_literal("\x95\\");
    CHECK(literal == "E'\x95\\134'");
}
