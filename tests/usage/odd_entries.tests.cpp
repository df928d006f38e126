#include <catch2/catch.hpp>
#include <map>
#include <support/fleet_stage.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

std::string database_entry(std::string const& address, std::string const& slots) {
    return R"({"service":"passcount-db","address":)" + address +
           R"(,"zone":"a","slots":)" + slots +
           R"(,"state":"ready","database_role":"replica","born":1})";
}

std::map<std::string, std::string> odd_databases() {
    std::string const nested = std::string(100'000, '[') + std::string(100'000, ']');
    std::string const address = R"("127.0.0.1:9")";
    return {
        {"a-nested", nested},
        {"a-nested-field", database_entry(nested, "2")},
        {"b-bytes", std::string("\x00\xff\xfe", 3)},
        {"c-list", "[1,2]"},
        {"d-slots-wrap", database_entry(address, "4294967296")},
        {"d-slots-wrap-7", database_entry(address, "8589934599")},
        {"d-slots-real", database_entry(address, "1e30")},
        {"d-slots-huge", database_entry(address, "18446744073709551616")},
        {"e-port-high", database_entry(R"("127.0.0.1:70000")", "2")},
        {"e-port-zero", database_entry(R"("127.0.0.1:0")", "2")},
        {"e-port-none", database_entry(R"("127.0.0.1")", "2")},
        {"f-empty", ""},
    };
}

bool serves(fleet_stage const& stage, std::size_t host, std::string const& database) {
    line_caller caller(stage.caller_port(host));
    return caller.start(database, "key-1").error.empty() &&
           caller.query("READ a").error.empty();
}

} // namespace

TEST_CASE("Odd entries among good ones stop no host", "[front][odd]") {
    fleet_stage stage;
    stage.with_standins([&] {
        for (auto const& [id, entry] : odd_databases()) {
            stage.store->put("servers", id, entry);
            stage.store->put("hosts", id, entry);
        }
        // Another writer overwrote the entry of a good one, which writes itself again.
        stage.store->put("servers", stage.group->ids().back(), "{");
    });
    stage.register_databases();
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    for (std::size_t host : {0U, 1U}) {
        CHECK(stage.readiness(host) == 200);
        CHECK(serves(stage, host, "tallies"));
        CHECK(serves(stage, host, "browse"));
    }
    // The lists are still followed: the primary leaves, and a change is in force.
    std::string old;
    stage.with_standins([&] { old = stage.group->leader(); });
    stage.register_databases({old});
    CHECK(eventually([&] {
        bool moved = false;
        stage.with_standins([&] { moved = stage.group->leader() != old; });
        return moved;
    }));
    stage.configure({"key-1"}, 10000, true);
    for (std::size_t host : {0U, 1U}) {
        CHECK(eventually([&] { return serves(stage, host, "added"); }));
    }
    // A host that starts among them is ready, too.
    stage.add_host();
    CHECK(eventually([&] { return serves(stage, 2, "alerts"); }));
}

TEST_CASE("A withdrawn key stays withdrawn over a restart", "[front][config]") {
    fleet_stage stage(1);
    // It learns all from the other host.
    stage.add_host(false);
    stage.configure({"key-2"});
    auto const denies = [&stage](std::size_t host) {
        return line_caller(stage.caller_port(host)).start("alerts", "key-1").error ==
               "DENIED";
    };
    REQUIRE(eventually([&] { return denies(0) && denies(1); }));
    stage.stop_host(0);
    SECTION("with the store there") {
        stage.add_host();
        CHECK(denies(2));
    }
    SECTION("of a host that the store turns away") {
        stage.add_host(false);
        CHECK(denies(2));
    }
}
