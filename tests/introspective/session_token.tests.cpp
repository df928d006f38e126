#include <catch2/catch.hpp>
#include <persimmonpoint/core/routing/session_token.hpp>

using namespace persimmonpoint;

TEST_CASE("A token opens for its own team and group only", "[token]") {
    session_position const value{"passcount-db", "hatchery", log_position{3, 42}};
    std::string const token = sign_token("secret", value);

    SECTION("as it was sealed") {
        auto const opened = verify_token("secret", token, "passcount-db", "hatchery");
        REQUIRE(opened);
        CHECK(opened.value() == value.position);
    }
    SECTION("not with another secret, team or group") {
        CHECK_FALSE(verify_token("other", token, "passcount-db", "hatchery"));
        CHECK_FALSE(verify_token("secret", token, "passcount-db", "audit"));
        CHECK_FALSE(verify_token("secret", token, "koyomi-db", "hatchery"));
    }
    SECTION("not where team and group only share their letters") {
        CHECK_FALSE(verify_token("secret", token, "passcount-dbh", "atchery"));
    }
    SECTION("not after any change of a byte") {
        for (std::size_t i = 0; i < token.size(); ++i) {
            std::string changed = token;
            changed[i] = changed[i] == '1' ? '2' : '1';
            INFO(changed);
            CHECK_FALSE(verify_token("secret", changed, "passcount-db", "hatchery"));
        }
    }
    SECTION("not if it is cut short") {
        for (std::size_t length = 0; length < token.size(); ++length) {
            CHECK_FALSE(verify_token(
                "secret", std::string_view(token).substr(0, length), "passcount-db",
                "hatchery"));
        }
    }
}

TEST_CASE("A position covers a floor in its own or a later term", "[token]") {
    CHECK(covers({2, 10}, {2, 10}));
    CHECK(covers({3, 10}, {2, 10}));
    CHECK_FALSE(covers({2, 9}, {2, 10}));
    // An old primary that ran on by itself is ahead by offset and must not qualify.
    CHECK_FALSE(covers({1, 99}, {2, 10}));
}
