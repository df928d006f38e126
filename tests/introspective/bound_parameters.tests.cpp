#include <catch2/catch.hpp>
#include <persimmonpoint/postgres/query_classifier.hpp>
#include <persimmonpoint/traffic/prepared_statements.hpp>
#include <string>

using namespace persimmonpoint;
using namespace std::string_literals;

namespace {

/// Empty if the session takes the parameters.
std::string
refusal(traffic::prepared_statements& session, postgres::bind_message const& bind) {
    auto const outcome = session.bind(bind);
    return outcome ? "" : outcome.error().sqlstate;
}

} // namespace

TEST_CASE("A text parameter that would be cut at a NUL is refused", "[bind]") {
    postgres::query_classifier classifier(1);
    traffic::prepared_statements session;
    postgres::parse_message parse;
    parse.text = "INSERT INTO t VALUES ($1, $2)";
    REQUIRE(session.parse(parse, classifier));
    std::string const with_nul = "before\0behind"s;
    postgres::bind_message bind;
    bind.parameters = {"1", with_nul};

    SECTION("without formats") {
        CHECK(refusal(session, bind) == "22021");
    }
    SECTION("with one format for all") {
        bind.parameter_formats = {0};
        CHECK(refusal(session, bind) == "22021");
    }
    SECTION("with a format for each") {
        bind.parameter_formats = {1, 0};
        CHECK(refusal(session, bind) == "22021");
    }
    SECTION("but a binary parameter may hold any byte") {
        bind.parameter_formats = {0, 1};
        REQUIRE(refusal(session, bind).empty());
        auto const& bound = session.find_portal("")->request.query.parameters;
        CHECK(bound[1] == with_nul);
    }
}
