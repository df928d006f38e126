#include <catch2/catch.hpp>
#include <cmath>
#include <persimmonpoint/core/catalog/entry_rules.hpp>
#include <persimmonpoint/engine/message_check.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <persimmonpoint/platform/store_answers.hpp>
#include <rapidcheck.h>

using namespace persimmonpoint;
using namespace persimmonpoint::platform;

namespace {

struct replacement {
    std::string from;
    std::string to;
};

std::string replaced(std::string text, replacement const& change) {
    std::size_t const at = text.find(change.from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, change.from.size(), change.to);
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string const good_database =
    R"({"service":"h","address":"1.2.3.4:5","zone":"a","slots":2,"state":"ready",)"
    R"("database_role":"replica","born":5})";

std::string const good_configuration =
    R"({"version":7,"routes":[{"name":"r","host":"lepu","kind":"primary",)"
    R"("timeout_ms":1500,"priority":2,"service":"huvo"},)"
    R"({"name":"s","host":"kept","kind":"primary","timeout_ms":10,"service":"huvo"}],)"
    R"("services":[{"name":"huvo","max_connections":16,"sync_replicas":1}],)"
    R"("limits":{"transaction_idle_ms":3000},)"
    R"("tenants":[{"name":"nypu","api_keys":["k1"],"rate_per_s":124,"burst":60}]})";

std::string const good_page = R"({"row_version":9,"now_ms":5,"has_more":false,)"
                              R"("rows":[{"key":"i-1","value":"aGk=","row_version":3}]})";

http_reply answer(std::string body) {
    return http_reply{200, std::move(body), {{"Store-Era", "4"}}};
}

/// Any change of a few bytes.
std::string mutated(std::string text) {
    auto const changes = *rc::gen::inRange<int>(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
        auto const byte = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange<int>(0, 4)) {
        case 0:
            text[at] = byte;
            break;
        case 1:
            text.insert(at, 1, byte);
            break;
        case 2:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
            break;
        default:
            text.insert(
                at, *rc::gen::element<std::string>(
                        "-1", "1e400", "18446744073709551616", "null", "[[", "{", "\"",
                        "0.5", "99999999999"));
        }
    }
    return text;
}

} // namespace

TEST_CASE("An entry of a database outside its bounds is refused", "[decoder][odd]") {
    REQUIRE(decode_database("i-1", good_database));
    auto const change = GENERATE(
        replacement{"\"slots\":2", "\"slots\":4294967296"},
        replacement{"\"slots\":2", "\"slots\":8589934599"},
        replacement{"\"slots\":2", "\"slots\":10001"},
        replacement{"\"slots\":2", "\"slots\":-1"},
        replacement{"\"slots\":2", "\"slots\":1e30"},
        replacement{"\"slots\":2", "\"slots\":2.5"},
        replacement{"\"slots\":2", "\"slots\":18446744073709551616"},
        replacement{"1.2.3.4:5", "1.2.3.4:70000"}, replacement{"1.2.3.4:5", "1.2.3.4:0"},
        replacement{"1.2.3.4:5", "1.2.3.4:-5"}, replacement{"1.2.3.4:5", "1.2.3.4"},
        replacement{"1.2.3.4:5", "0.0.0.0:5"}, replacement{"1.2.3.4:5", "somewhere:5"},
        replacement{"1.2.3.4:5", "1.2.3.4:5\\r\\n"},
        replacement{"\"h\"", "\"h\\u0000h\""}, replacement{"\"h\"", "\"h\\th\""},
        replacement{"\"born\":5", "\"born\":-5"},
        replacement{"\"born\":5", "\"born\":5.5"},
        replacement{"\"zone\":\"a\"", "\"zone\":" + nested(100'000)},
        replacement{"\"zone\":\"a\"", "\"zone\":\"" + std::string(300, 'a') + "\""});
    CAPTURE(change.to.substr(0, 60));
    CHECK_FALSE(decode_database("i-1", replaced(good_database, change)));
}

TEST_CASE("What is wrong with an entry is named with its bound", "[decoder][odd]") {
    auto const read = decode_database(
        "i-1", replaced(good_database, {"\"slots\":2", "\"slots\":4294967296"}));
    REQUIRE_FALSE(read);
    CHECK(read.error().message == "field slots is not from 0 to 10000");
}

TEST_CASE("A part of a configuration that is odd is left out alone", "[decoder][odd]") {
    struct odd_part {
        replacement change;
        std::string list;
        std::string field;
    };
    auto const odd = GENERATE(
        odd_part{{"\"timeout_ms\":1500", "\"timeout_ms\":1e300"}, "routes", "timeout_ms"},
        odd_part{{"\"timeout_ms\":1500", "\"timeout_ms\":1e999"}, "routes", "timeout_ms"},
        odd_part{{"\"timeout_ms\":1500", "\"timeout_ms\":-5"}, "routes", "timeout_ms"},
        odd_part{{"\"priority\":2", "\"priority\":4294967296"}, "routes", "priority"},
        odd_part{{"\"host\":\"lepu\"", "\"host\":\"le pu\""}, "routes", "host"},
        odd_part{
            {"\"max_connections\":16", "\"max_connections\":4294967296"},
            "services",
            "max_connections"},
        odd_part{
            {"\"sync_replicas\":1", "\"sync_replicas\":4294967297"},
            "services",
            "sync_replicas"},
        odd_part{{"\"rate_per_s\":124", "\"rate_per_s\":-5"}, "tenants", "rate_per_s"},
        odd_part{{"\"rate_per_s\":124", "\"rate_per_s\":1e999"}, "tenants", "rate_per_s"},
        odd_part{{"\"burst\":60", "\"burst\":1e10"}, "tenants", "burst"},
        odd_part{{"[\"k1\"]", "\"k1\""}, "tenants", "api_keys"},
        odd_part{
            {"\"transaction_idle_ms\":3000", "\"transaction_idle_ms\":-1"},
            "limits",
            "transaction_idle_ms"});
    CAPTURE(odd.change.to);
    auto const read = decode_configuration(replaced(good_configuration, odd.change));
    REQUIRE(read);
    REQUIRE(read.value().left_out.size() == 1);
    CHECK(read.value().left_out[0].list == odd.list);
    CHECK(read.value().left_out[0].fault.field == odd.field);
    CHECK(read.value().configuration.find_route("kept") != nullptr);
    CHECK(read.value().configuration.version == 7);
}

TEST_CASE("An odd answer of the store is an error of its call", "[decoder][odd]") {
    REQUIRE(read_page("rows-get", answer(good_page)));
    CHECK(read_page("rows-get", answer(good_page)).value().rows[0].value == "hi");
    auto const change = GENERATE(
        replacement{"\"row_version\":9", "\"row_version\":9.5"},
        replacement{"\"row_version\":9", "\"row_version\":-9"},
        replacement{"\"row_version\":9", "\"row_version\":18446744073709551616"},
        replacement{"\"row_version\":9", "\"row_version\":1e300"},
        replacement{"\"row_version\":9", "\"other\":9"},
        replacement{"\"now_ms\":5", "\"now_ms\":0.5"},
        replacement{"\"row_version\":3", "\"row_version\":-3"},
        replacement{"\"key\":\"i-1\"", "\"key\":7"},
        replacement{"\"value\":\"aGk=\"", "\"value\":7"}, replacement{"[{", "[7,{"},
        replacement{"\"rows\":[", "\"rows\":7,\"x\":["},
        replacement{"\"now_ms\":5", "\"now_ms\":" + nested(100'000)});
    CAPTURE(change.to.substr(0, 60));
    CHECK_FALSE(read_page("rows-get", answer(replaced(good_page, change))));
}

TEST_CASE("An era that is no number is an error of the call", "[decoder][odd]") {
    http_reply reply = answer(good_page);
    CHECK(read_page("rows-get", reply).value().version == store_version{4, 9});
    reply.headers[0].value = "18446744073709551616";
    CHECK_FALSE(read_page("rows-get", reply));
    reply.headers[0].value = "4x";
    CHECK_FALSE(read_page("rows-get", reply));
    reply.headers.clear();
    CHECK(read_page("rows-get", reply).value().version == store_version{0, 9});
}

TEST_CASE("Bytes that are no base64 make an unusable value, not an odd answer", "[odd]") {
    auto const page =
        read_page("rows-get", answer(replaced(good_page, {"\"aGk=\"", "\"a*=\""})));
    REQUIRE(page);
    CHECK(page.value().rows[0].value.empty());
    CHECK_FALSE(decode_database("i-1", page.value().rows[0].value));
}

TEST_CASE(
    "No change of an entry throws or gives a value out of bounds",
    "[decoder][odd][rapidcheck]") {
    CHECK(rc::check("databases", [] {
        auto const read = decode_database("i-1", mutated(good_database));
        // RC_ASSERT evaluates both sides of an operator ||.
        bool const usable = !read || !find_fault(read.value());
        RC_ASSERT(usable);
    }));
    CHECK(rc::check("configurations", [] {
        auto const read = decode_configuration(mutated(good_configuration));
        if (!read) {
            return;
        }
        for (auto const& each : read.value().configuration.teams) {
            RC_ASSERT(std::isfinite(each.second.rate) && each.second.rate >= 0);
            RC_ASSERT(std::isfinite(each.second.burst) && each.second.burst >= 0);
        }
        for (auto const& each : read.value().configuration.routes) {
            RC_ASSERT(each.second.statement_timeout >= duration(0));
            RC_ASSERT(each.second.statement_timeout <= max_route_time);
        }
    }));
    CHECK(rc::check("answers of the store", [] {
        (void)read_page("rows-get", answer(mutated(good_page)));
    }));
    CHECK(rc::check("lines", [] {
        (void)parse_statement("1", mutated("EXECUTE s1 item data"));
        (void)parse_report(mutated("replica 3 3.1209 4 12 2 17"));
        (void)parse_position(mutated("3.1207"));
    }));
}

TEST_CASE(
    "Lengths, enumerators and truth values of messages are checked", "[peers][odd]") {
    engine::answer_message message{1, {}};
    message.answer.rows = {"a", "b"};
    std::string const good = engine::encode(message);
    auto const reads = [](std::string const& bytes) {
        engine::peer_decoder decoder;
        decoder.add(bytes);
        bool const read = decoder.next().has_value();
        CHECK(decoder.broken() == !read);
        return read;
    };
    REQUIRE(reads(good));
    // Length in front, byte order, kind of message, number; then the answer's fields.
    constexpr std::size_t outcome_at = 4 + 1 + 4 + 8;
    constexpr std::size_t row_count_at = outcome_at + 3 * 4 + 8;
    SECTION("an unknown outcome") {
        std::string bad = good;
        bad[outcome_at] = 3;
        CHECK_FALSE(reads(bad));
        bad[outcome_at] = '\xff';
        CHECK_FALSE(reads(bad));
    }
    SECTION("more rows than bytes") {
        std::string bad = good;
        bad[row_count_at + 5] = 1;
        CHECK_FALSE(reads(bad));
    }
    SECTION("a row longer than the message") {
        std::string bad = good;
        bad[row_count_at + 8 + 4] = 1;
        CHECK_FALSE(reads(bad));
    }
    SECTION("another byte order") {
        std::string bad = good;
        bad[4] = 0;
        CHECK_FALSE(reads(bad));
    }
    SECTION("bytes behind the message") {
        std::string bad = good + "x";
        bad[0] = static_cast<char>(bad[0] + 1);
        CHECK_FALSE(reads(bad));
    }
    SECTION("a truth value of neither 0 nor 1") {
        std::string bad = engine::encode(engine::reach_answer_message{1, true});
        bad.back() = 2;
        CHECK_FALSE(reads(bad));
    }
    SECTION("a negative time to wait") {
        CHECK_FALSE(reads(engine::encode(engine::loan_message{1, -1})));
        CHECK_FALSE(reads(engine::encode(
            engine::loan_message{1, std::numeric_limits<std::int64_t>::max()})));
    }
    SECTION("an order whose text holds a second line") {
        upstream_request order;
        order.text = "READ a\r\nQUERY 2 WRITE b 1";
        CHECK_FALSE(reads(engine::encode(engine::order_message{1, order})));
    }
    SECTION("an order whose id is two fields") {
        upstream_request order;
        order.id = "1 AFTER";
        order.text = "READ a";
        CHECK_FALSE(reads(engine::encode(engine::order_message{1, order})));
    }
    SECTION("an order with a session value whose name is two fields") {
        upstream_request order;
        order.text = "READ a";
        order.values["zone north"] = "x";
        CHECK_FALSE(reads(engine::encode(engine::order_message{1, order})));
    }
    SECTION("an answer whose row holds a second line") {
        upstream_response answer;
        answer.rows = {"a\r\nCOMPLETE s"};
        CHECK_FALSE(reads(engine::encode(engine::answer_message{1, answer})));
    }
    SECTION("a host without a name") {
        CHECK_FALSE(reads(engine::encode(engine::hello_message{})));
    }
}

TEST_CASE("No change of a message between hosts throws", "[peers][odd][rapidcheck]") {
    upstream_request order;
    order.database = "i-1";
    order.values["zone"] = "north";
    order.prepared = prepared_shape{"q", true};
    database_directory directory;
    directory.databases["i-1"] = registered_database{"i-1", "h", "1.2.3.4:5", "a", 2};
    std::vector<std::string> const good = {
        engine::encode(engine::order_message{42, order}),
        engine::encode(engine::directory_message{directory}),
        engine::encode(engine::hosts_message{{1, 2}, {{"h", "1.2.3.4:5", "a"}}}),
        engine::encode(engine::endorsement_message{3, false, 450})};
    CHECK(rc::check([&] {
        std::string bytes = mutated(*rc::gen::elementOf(good));
        engine::peer_decoder decoder;
        decoder.add(bytes);
        while (auto const message = decoder.next()) {
            RC_ASSERT(engine::is_well_formed(*message));
        }
    }));
}

TEST_CASE("Unusable entries that another host passes on are left out", "[peers][odd]") {
    registered_database const good{"i-1", "h", "1.2.3.4:5", "a", 2};
    database_directory directory;
    directory.databases["i-1"] = good;
    directory.databases["i-2"] = {"i-2", "h", "1.2.3.4:0", "a", 2};
    directory.databases["i-3"] = {"i-3", "h", "1.2.3.4:5", "a", 0};
    directory.databases["i-4"] = {"i-5", "h", "1.2.3.4:5", "a", 2};
    engine::remove_unusable(directory);
    CHECK(directory.databases.size() == 1);
    CHECK(directory.databases.at("i-1") == good);
    host_directory hosts = {
        {"a", "1.2.3.4:5", "z"}, {"b", "1.2.3.4", "z"}, {"", "1.2.3.4:5", "z"}};
    engine::remove_unusable(hosts);
    REQUIRE(hosts.size() == 1);
    CHECK(hosts[0].name == "a");
}
