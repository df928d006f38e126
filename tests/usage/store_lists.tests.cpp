#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <persimmonpoint/engine/boot_clock.hpp>
#include <persimmonpoint/engine/store_watch.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/store_client.hpp>
#include <persimmonpoint/standin/row_store.hpp>

using namespace persimmonpoint;

namespace {

constexpr std::size_t many = 1001;

std::string numbered(std::string const& prefix, std::size_t number) {
    std::string const digits = std::to_string(number);
    return prefix + std::string(5 - digits.size(), '0') + digits;
}

std::string database_entry(std::string const& slots) {
    return R"({"service":"g","address":"127.0.0.1:9","zone":"a","slots":)" + slots +
           R"(,"state":"ready","database_role":"replica","born":1})";
}

/// A host's view of the store, with the stand-in, all on one loop.
class store_stage final : public engine::store_observer {
public:
    explicit store_stage(std::size_t rows = many) {
        this->store.put("op", "config", "{}");
        for (std::size_t i = 0; i < rows; ++i) {
            this->store.put("servers", numbered("i-", i), database_entry("2"));
            this->put_host(numbered("h-", i), "127.0.0.1:9");
        }
    }

    void put_host(std::string const& name, std::string const& address) {
        this->store.put("hosts", name, platform::encode_host({name, address, "a"}));
    }

    void on_stored_configuration(stored_configuration) override {}
    void on_stored_evacuations(evacuation_list) override {}
    void on_stored_databases(database_directory directory) override {
        this->databases = std::move(directory.databases);
    }
    void on_databases_read(bool, instant) override {}
    void on_stored_hosts(stored_hosts read) override {
        this->hosts.clear();
        for (registered_host const& each : read.hosts) {
            this->hosts[each.name] = each;
        }
    }

    /// Runs until the condition holds; false after twenty seconds.
    bool run_until(std::function<bool()> const& condition) {
        auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->loop.run_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    boost::asio::io_context loop;
    standin::row_store store{
        loop, [](std::string const&, std::string const&, std::uint64_t) { return 200U; }};
    engine::boot_clock time;
    platform::store_client client{loop, "127.0.0.1:" + std::to_string(store.port())};
    registered_host self{"h-self", "127.0.0.1:8", "a"};
    engine::store_watch watch{loop, time, client, *this, self};
    std::map<std::string, registered_database, std::less<>> databases;
    std::map<std::string, registered_host> hosts;
};

} // namespace

TEST_CASE("A host knows more databases and hosts than a page holds", "[store][list]") {
    store_stage stage;
    stage.watch.start();
    REQUIRE(stage.run_until([&] {
        return stage.databases.size() == many && stage.hosts.size() == many + 1;
    }));
    std::size_t const reads = stage.store.reads_of("hosts");

    SECTION("and follows changes of the last ones") {
        std::string const last = numbered("i-", many - 1);
        stage.store.put("servers", last, database_entry("7"));
        CHECK(stage.run_until([&] { return stage.databases[last].slots == 7; }));
        std::string const last_host = numbered("h-", many - 1);
        stage.put_host(last_host, "127.0.0.1:10");
        CHECK(stage.run_until(
            [&] { return stage.hosts[last_host].address == "127.0.0.1:10"; }));
        stage.store.remove("hosts", last_host);
        CHECK(stage.run_until([&] { return stage.hosts.count(last_host) == 0; }));
        stage.put_host("z-new", "127.0.0.1:11");
        CHECK(stage.run_until([&] { return stage.hosts.count("z-new") == 1; }));
        // The feed brought all of it.
        CHECK(stage.store.reads_of("hosts") == reads);
    }
    SECTION("also when the store comes back from a copy that lacks the last ones") {
        stage.store.remove("hosts", numbered("h-", many - 1));
        stage.store.keep_copy();
        stage.put_host("z-new", "127.0.0.1:11");
        REQUIRE(stage.run_until([&] { return stage.hosts.count("z-new") == 1; }));
        stage.store.restore();
        CHECK(stage.run_until([&] { return stage.hosts.count("z-new") == 0; }));
        CHECK(stage.hosts.size() == many);
    }
}

TEST_CASE("Rows that change between two pages are not missed", "[store][list]") {
    store_stage stage;
    bool changed = false;
    stage.store.set_page_hook([&] {
        if (!std::exchange(changed, true)) {
            stage.put_host("a-first", "127.0.0.1:12");
            stage.put_host(numbered("h-", 0), "127.0.0.1:13");
            stage.store.remove("hosts", numbered("h-", 1));
            stage.store.remove("hosts", numbered("h-", many - 1));
            stage.put_host("z-last", "127.0.0.1:14");
        }
    });
    stage.watch.start();
    CHECK(stage.run_until([&] {
        return stage.hosts.count("a-first") == 1 && stage.hosts.count("z-last") == 1 &&
               stage.hosts.count(numbered("h-", 1)) == 0 &&
               stage.hosts.count(numbered("h-", many - 1)) == 0 &&
               stage.hosts[numbered("h-", 0)].address == "127.0.0.1:13";
    }));
}

TEST_CASE("An era that begins between two pages is read anew", "[store][list]") {
    store_stage stage;
    stage.store.keep_copy();
    stage.store.put("servers", "z-lost", database_entry("2"));
    bool restored = false;
    stage.store.set_page_hook([&] {
        if (!std::exchange(restored, true)) {
            stage.store.restore();
        }
    });
    stage.watch.start();
    CHECK(stage.run_until([&] {
        return stage.databases.size() == many && stage.hosts.size() == many + 1;
    }));
    CHECK(stage.databases.count("z-lost") == 0);
}

TEST_CASE("A host registers itself once, however often others do", "[store][list]") {
    store_stage stage(2);
    stage.store.hold_transactions();
    stage.watch.start();
    for (std::size_t i = 0; i < 5; ++i) {
        std::string const name = numbered("new-", i);
        stage.put_host(name, "127.0.0.1:12");
        REQUIRE(stage.run_until([&] { return stage.hosts.count(name) == 1; }));
    }
    stage.store.release_transactions();
    REQUIRE(stage.run_until([&] { return stage.hosts.count("h-self") == 1; }));
    CHECK(stage.store.transactions() == 1);
}

TEST_CASE("Notices of fences go to the store and are read there", "[store][fence]") {
    store_stage stage(0);
    std::optional<std::uint64_t> era;
    auto const write = [&](std::string const& host, fence_notice const& notice) {
        era.reset();
        stage.client.write_notice(
            {host, notice}, [&](result<std::uint64_t> seen) { era = seen.value(); });
        REQUIRE(stage.run_until([&] { return era.has_value(); }));
    };
    std::vector<stored_notice> read;
    auto const read_all = [&] {
        bool done = false;
        stage.client.read_notices([&](result<std::vector<stored_notice>> found) {
            read = std::move(found.value());
            done = true;
        });
        REQUIRE(stage.run_until([&] { return done; }));
    };
    write("h-1", {7, {{"g", "p"}, {"g2", ""}}});
    write("h-2", {3, {}});
    std::uint64_t const first_era = *era;
    read_all();
    REQUIRE(read.size() == 2);
    CHECK(read[0].host == "h-1");
    CHECK(read[0].notice.number == 7);
    CHECK(read[0].notice.fenced == std::vector<fenced_primary>{{"g", "p"}, {"g2", ""}});
    CHECK(read[1].notice.fenced.empty());

    SECTION("the next one replaces it") {
        write("h-1", {8, {}});
        read_all();
        CHECK(read.size() == 2);
        CHECK(read[0].notice.number == 8);
    }
    SECTION("one that can't be used hides no other") {
        stage.store.put("fences", "h-0", "{");
        read_all();
        CHECK(read.size() == 2);
    }
    SECTION("an older copy of the store shows by its era") {
        stage.store.keep_copy();
        stage.store.restore();
        write("h-1", {9, {}});
        CHECK(*era != first_era);
    }
    SECTION("a store that is out of reach is no empty list") {
        stage.store.set_fault(standin::store_fault::unavailable);
        std::optional<bool> succeeded;
        stage.client.read_notices([&](result<std::vector<stored_notice>> const& found) {
            succeeded = static_cast<bool>(found);
        });
        REQUIRE(stage.run_until([&] { return succeeded.has_value(); }));
        CHECK_FALSE(*succeeded);
    }
}
