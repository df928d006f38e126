#include <catch2/catch.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <persimmonpoint/settings/front_settings.hpp>
#include <rapidcheck.h>

using namespace persimmonpoint;
using namespace persimmonpoint::platform;

namespace {

char const* const configuration = R"({"version":7,
"routes":[{"name":"r","host":"lepu","prefix":"/","kind":"bounded_staleness","timeout_ms":1500,
 "target_latency_ms":400,"priority":2,"service":"huvo","max_staleness_ms":1500},
 {"name":"odd","host":"x","kind":"neither","timeout_ms":1,"service":"huvo"}],
"services":[{"name":"huvo","max_connections":16,"sync_replicas":1}],
"limits":{"transaction_idle_ms":3000},
"tenants":[{"name":"nypu","api_keys":["k1","k2"],"rate_per_s":124,"burst":60},
 {"name":"two words","api_keys":["k3"],"rate_per_s":1,"burst":1}]})";

} // namespace

TEST_CASE("Statements are decoded from their text", "[line]") {
    CHECK(parse_statement("1", "BEGIN")->verb == statement_verb::begin);
    CHECK(parse_statement("1", "BEGIN READ")->verb == statement_verb::begin_read);
    CHECK(parse_statement("1", "READ 1a4")->text == "READ 1a4");
    auto const set = parse_statement("1", "SET zone far north");
    CHECK(set->name == "zone");
    CHECK(set->argument == "far north");
    auto const prepare = parse_statement("1", "PREPARE s1 WRITE q2c");
    CHECK(prepare->verb == statement_verb::prepare_write);
    CHECK(prepare->argument == "q2c");
}

TEST_CASE("What is no statement is not taken for one", "[line]") {
    for (char const* text :
         {"", "BEGIN WRITE", "COMMIT now", "READ", "PREPARE s1 BOTH q", "PREPARE s1 READ",
          "AFTER 3.1 READ a", "STATUS", "PAUSE 4", "RESET", "SET", "read a", "EXECUTE s1",
          "EXECUTE s1 ", "DEALLOCATE s1 more"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_statement("1", text));
    }
}

TEST_CASE("Positions and reports are decoded, and nothing else", "[line]") {
    CHECK(parse_position("3.1207") == log_position{3, 1207});
    CHECK_FALSE(parse_position("-"));
    CHECK_FALSE(parse_position("3.x"));
    auto const report = parse_report("replica 3 3.1209 4 12 2 17");
    REQUIRE(report);
    CHECK_FALSE(report->leads);
    CHECK(report->received == log_position{3, 1209});
    CHECK(report->held_term == 4);
    CHECK_FALSE(parse_report("qhzkwmtrbelo"));
    CHECK_FALSE(parse_report("replica 3"));
}

TEST_CASE("Commands are written as the platform's pages show them", "[line]") {
    upstream_command read;
    read.id = "5c0e";
    read.text = "READ 1a4";
    read.floor = log_position{3, 1207};
    CHECK(format_command(read) == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    upstream_command execute;
    execute.id = "5c0e";
    execute.action = upstream_action::execute_prepared;
    execute.prepared = {"q2c", true};
    execute.statement = {7};
    execute.text = "1a4 xk";
    CHECK(format_command(execute) == "QUERY 5c0e EXECUTE p7 1a4 xk\r\n");
    upstream_command hold;
    hold.action = upstream_action::hold;
    hold.term = 9;
    CHECK(format_command(hold) == "QUERY - PAUSE 9\r\n");
    CHECK(
        format_start({"", "huvo11a", "i-7f", "tenant"}) ==
        "START huvo11a tenant i-7f\r\n");
}

TEST_CASE("Answers are written whole, and errors without rows", "[line]") {
    caller_answer answer;
    answer.rows = {"a", "b"};
    answer.signature = "sig";
    answer.position = log_position{3, 7};
    CHECK(format_answer(answer) == "ROW a\r\nROW b\r\nCOMPLETE sig\r\nREADY I 3.7\r\n");
    answer.error = statement_error::in_doubt;
    answer.error_text = "lost";
    answer.state = transaction_state::failed;
    CHECK(format_answer(answer) == "ERROR INDOUBT lost\r\nREADY E 3.7\r\n");
}

TEST_CASE("Lines are cut at their ends however the bytes come", "[line][rapidcheck]") {
    CHECK(rc::check([] {
        std::string const bytes = "START a b\r\nQUERY 1 READ x\r\n\r\nTERMINATE\r\n";
        line_reader reader;
        std::vector<std::string> lines;
        std::size_t at = 0;
        while (at < bytes.size()) {
            auto const size = *rc::gen::inRange<std::size_t>(1, 8);
            reader.add(std::string_view(bytes).substr(at, size));
            at += size;
            while (auto const line = reader.next()) {
                lines.emplace_back(*line);
            }
        }
        RC_ASSERT(
            lines ==
            (std::vector<std::string>{"START a b", "QUERY 1 READ x", "", "TERMINATE"}));
    }));
}

TEST_CASE("A control character inside a line is noticed", "[line]") {
    CHECK(has_stray_control("READ a\nQUERY 2 WRITE b"));
    CHECK(has_stray_control("READ a\rb"));
    CHECK_FALSE(has_stray_control("READ a b"));
}

TEST_CASE(
    "A configuration is decoded; what can't be used in it is left out", "[decoder]") {
    auto const decoded = decode_configuration(configuration);
    REQUIRE(decoded);
    fleet_configuration const& value = decoded.value().configuration;
    CHECK(value.version == 7);
    CHECK(value.routes.size() == 1);
    CHECK(value.find_route("lepu")->kind == route_kind::bounded_staleness);
    CHECK(value.team_of("k2") == "nypu");
    CHECK(value.team_of("k9").empty());
    CHECK(value.find_team("nypu")->burst == 60);
    CHECK(value.find_team("two words") == nullptr);
    CHECK(value.transaction_idle == std::chrono::seconds(3));
    CHECK_FALSE(decode_configuration("[]"));
    CHECK_FALSE(decode_configuration("{\"version\":7}"));
}

TEST_CASE("A registry entry with a bad field names no database", "[decoder]") {
    std::string const good =
        R"({"service":"h","address":"1.2.3.4:5","zone":"a","slots":2,"state":"ready","database_role":"replica","born":5})";
    CHECK(decode_database("i-1", good));
    for (auto const& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"ready\"", "\"resting\""},
             {"\"service\":\"h\"", "\"service\":7"},
             {"\"slots\":2", "\"slots\":\"2\""},
             {"\"replica\"", "\"observer\""},
             {"\"address\"", "\"adress\""}}) {
        std::string bad = good;
        bad.replace(bad.find(from), from.size(), to);
        CAPTURE(bad);
        CHECK_FALSE(decode_database("i-1", bad));
    }
    CHECK_FALSE(decode_database("i-1", "\x01\x02"));
}

TEST_CASE("Base64 goes there and back", "[decoder][rapidcheck]") {
    CHECK(rc::check([](std::string const& bytes) {
        RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
    }));
    CHECK_FALSE(decode_base64("abc"));
    CHECK_FALSE(decode_base64("a*=="));
}

TEST_CASE("Messages between hosts go there and back", "[peers]") {
    upstream_request order;
    order.database = "i-1";
    order.values["zone"] = "north";
    order.floor = log_position{3, 9};
    order.prepared = prepared_shape{"q", true};
    order.wait_ms = 120;
    engine::peer_decoder decoder;
    std::string const bytes = engine::encode(engine::order_message{42, order}) +
                              engine::encode(engine::loan_message{7, 1500});
    for (char const each : bytes) {
        decoder.add(std::string_view(&each, 1));
    }
    auto const first = decoder.next();
    REQUIRE(first);
    auto const& read = std::get<engine::order_message>(*first);
    CHECK(read.number == 42);
    CHECK(read.order.values == order.values);
    CHECK(read.order.floor == order.floor);
    CHECK(read.order.prepared == order.prepared);
    CHECK(read.order.wait_ms == 120);
    auto const second = decoder.next();
    REQUIRE(second);
    CHECK(std::get<engine::loan_message>(*second).wait_us == 1500);
    CHECK_FALSE(decoder.next());
}

TEST_CASE("A notice of fences goes there and back, over a link and by a row", "[fence]") {
    fence_notice const notice{1'800'000'000'000'001, {{"g", "p"}, {"g2", ""}}};
    engine::peer_decoder decoder;
    decoder.add(engine::encode(engine::fence_message{notice.number, notice.fenced}));
    decoder.add(engine::encode(
        engine::fence_answer_message{notice.number, {{"g", "p", {3, 41}}}}));
    auto const told = decoder.next();
    REQUIRE(told);
    CHECK(std::get<engine::fence_message>(*told).number == notice.number);
    CHECK(std::get<engine::fence_message>(*told).fenced == notice.fenced);
    auto const answer = decoder.next();
    REQUIRE(answer);
    CHECK(std::get<engine::fence_answer_message>(*answer).number == notice.number);
    auto const& commits = std::get<engine::fence_answer_message>(*answer).acknowledged;
    REQUIRE(commits.size() == 1);
    CHECK(commits[0].position == log_position{3, 41});
    auto const read = platform::decode_notice(platform::encode_notice(notice));
    REQUIRE(read);
    CHECK(read.value().number == notice.number);
    CHECK(read.value().fenced == notice.fenced);
}

TEST_CASE("A notice of fences with a fault is refused", "[fence]") {
    CHECK_FALSE(platform::decode_notice("[]"));
    CHECK_FALSE(platform::decode_notice(R"({"number":1})"));
    CHECK_FALSE(platform::decode_notice(R"({"number":1,"fenced":["g"]})"));
    CHECK_FALSE(platform::decode_notice(R"({"number":1,"fenced":[{"group":"g"}]})"));
    CHECK_FALSE(platform::decode_notice(R"({"number":-1,"fenced":[]})"));
    engine::peer_decoder decoder;
    decoder.add(engine::encode(engine::fence_message{1, {{"g g", "p"}}}));
    CHECK_FALSE(decoder.next());
    CHECK(decoder.broken());
}

TEST_CASE("Bytes that are no message break the link", "[peers]") {
    engine::peer_decoder huge;
    huge.add("\xff\xff\xff\xff");
    CHECK_FALSE(huge.next());
    CHECK(huge.broken());
    engine::peer_decoder cut;
    cut.add(std::string_view("\x02\x00\x00\x00\x63\x63", 6));
    CHECK_FALSE(cut.next());
    CHECK(cut.broken());
}

TEST_CASE("Settings of a host are checked, and unknown ones ignored", "[settings]") {
    auto const good = settings::load_front("f", R"(
[host]
name = "front-1"
new_key = 1
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
store = "127.0.0.1:4"
promotion = "127.0.0.1:5"
[peers]
seeds = "127.0.0.1:3,127.0.0.2:3"
[zones]
zone-a = "north"
[databases]
cold_overrun = "1.5"
[stop]
grace = "6s"
)");
    CHECK(good.findings.empty());
    CHECK(good.values.regions == zone_regions{{"zone-a", "north"}});
    CHECK(good.values.cold_overrun == 1.5);
    CHECK(good.values.seeds.size() == 2);
    CHECK(good.values.grace == std::chrono::seconds(6));
    auto const bad = settings::load_front("f", "[listen]\ncallers = \"somewhere\"\n");
    CHECK(bad.findings.size() >= 5);
    CHECK_FALSE(settings::load_front("f", "[listen").findings.empty());
}
