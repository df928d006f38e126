#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <persimmonpoint/engine/boot_clock.hpp>
#include <persimmonpoint/engine/store_watch.hpp>
#include <persimmonpoint/platform/store_client.hpp>
#include <persimmonpoint/standin/row_store.hpp>

using namespace persimmonpoint;

namespace {

/// A host's view of what the operator writes, with the stand-in, all on one loop.
class operations_stage final : public engine::store_observer {
public:
    operations_stage() { this->store.put("op", "config", "1"); }

    void on_stored_configuration(stored_configuration read) override {
        this->configuration = std::move(read.body);
    }
    void on_stored_evacuations(evacuation_list read) override {
        this->evacuations = std::move(read);
    }
    void on_stored_databases(database_directory) override {}
    void on_databases_read(bool, instant) override {}
    void on_stored_hosts(stored_hosts) override {}

    /// Runs until the condition holds; false after twenty seconds.
    bool run_until(std::function<bool()> const& condition) {
        auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->loop.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    bool knows(std::string const& body) {
        return this->run_until([this, &body] { return this->configuration == body; });
    }

    boost::asio::io_context loop;
    standin::row_store store{
        loop, [](std::string const&, std::string const&, std::uint64_t) { return 200U; }};
    engine::boot_clock time;
    platform::store_client client{loop, "127.0.0.1:" + std::to_string(store.port())};
    engine::store_watch watch{
        loop, time, client, *this, registered_host{"h-self", "127.0.0.1:8", "a"}};
    std::string configuration;
    evacuation_list evacuations;
};

} // namespace

// Guards against a watch that goes on from the configuration's row: any newer row of its
// table ends it at once, and the fleet calls without end.
TEST_CASE(
    "Another row beside the configuration has nothing read again", "[store][calls]") {
    operations_stage stage;
    stage.watch.start();
    REQUIRE(stage.knows("1"));
    stage.store.put("op", "evacuate/b", "{}");
    stage.store.put("op", "other", "{}");
    stage.store.put("op", "config", "2");
    REQUIRE(stage.knows("2"));
    // Each change ends one watch at the most.
    stage.store.put("op", "other", "{}");
    stage.store.put("op", "config", "3");
    REQUIRE(stage.knows("3"));
    CHECK(stage.store.reads_of("op") == 1);
}

// Guards against readings and watches in turn without end, where the configuration is
// older than the history that the store keeps.
TEST_CASE("A dropped history has the configuration read once more", "[store][calls]") {
    operations_stage stage;
    stage.store.put("op", "other", "{}");
    stage.store.drop_history();
    stage.watch.start();
    REQUIRE(stage.knows("1"));
    stage.store.put("op", "config", "2");
    REQUIRE(stage.knows("2"));
    CHECK(stage.store.reads_of("op") <= 2);
}

TEST_CASE("Calls to the store are counted by kind", "[store][calls]") {
    operations_stage stage;
    stage.watch.start();
    REQUIRE(stage.knows("1"));
    bool found = false;
    for (platform::store_call_count const& each : stage.client.calls()) {
        found =
            found || (each.call == "rows-get" && each.table == "op" && each.count == 1);
    }
    CHECK(found);
}

// Guards against a name that other hosts would take for a malformed message.
TEST_CASE("A row whose key names no zone evacuates none", "[store][evacuation]") {
    operations_stage stage;
    stage.store.put("op", "evacuate/a zone", "{}");
    stage.store.put("op", "evacuate/", "{}");
    stage.store.put("op", "evacuate/b", "{}");
    stage.watch.start();
    REQUIRE(stage.run_until([&] { return stage.evacuations.zones.size() == 1; }));
    CHECK(stage.evacuations.zones.count("b") == 1);
}

TEST_CASE("Evacuations follow the operator's rows", "[store][evacuation]") {
    operations_stage stage;
    stage.store.put("op", "evacuate/a", "{}");
    stage.watch.start();
    auto const has = [&stage](std::size_t zones) {
        return stage.run_until(
            [&stage, zones] { return stage.evacuations.zones.size() == zones; });
    };
    REQUIRE(has(1));
    stage.store.put("op", "evacuate/b", "{}");
    CHECK(has(2));
    stage.store.remove("op", "evacuate/a");
    REQUIRE(has(1));
    CHECK(stage.evacuations.zones.count("b") == 1);
    SECTION("also behind a restore from an older copy") {
        stage.store.keep_copy();
        stage.store.put("op", "evacuate/c", "{}");
        REQUIRE(has(2));
        stage.store.restore();
        CHECK(has(1));
    }
}
