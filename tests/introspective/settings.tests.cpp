#include <catch2/catch.hpp>
#include <persimmonpoint/settings/front_settings.hpp>
#include <persimmonpoint/settings/host_settings.hpp>

using namespace persimmonpoint;

TEST_CASE("The ready settings of both deployments are without findings", "[settings]") {
    auto const [file, connections, slots] =
        GENERATE(table<std::string, std::size_t, std::size_t>(
            {{"/fisheries.toml", 16, 2}, {"/almanac.toml", 36, 3}}));
    auto const loaded = settings::load_file(PERSIMMONPOINT_SETTINGS + file);
    for (finding const& each : loaded.findings) {
        FAIL_CHECK(to_string(each));
    }
    CHECK(loaded.seed.teams.size() == 8);
    REQUIRE(loaded.seed.groups.size() == 3);
    for (upstream_group const& group : loaded.seed.groups) {
        REQUIRE(group.databases.size() == 3);
        CHECK(group.databases[0].connections == connections);
        CHECK(group.databases[0].slots == slots);
    }
}

TEST_CASE("A key of a settings file that doesn't fit is a finding", "[settings]") {
    auto const [text, expected] = GENERATE(table<std::string, std::string>({
        {"[host]\nnmae = \"a\"\n", "s.toml:2:8: host.nmae: is not a known key"},
        {"[hots]\n", "s.toml:1:1: hots: is not a known section"},
        {"[host]\nport = 70000\n", "host.port: takes a whole number from 0 to 65535"},
        {"[host]\nport = \"a\"\n", "host.port: takes a whole number"},
        {"[host]\naddress = \"localhost\"\n", "host.address: takes an IP number"},
        {"[platform]\ntimeout = 5\n", "platform.timeout: takes a duration"},
        {"[platform]\ntimeout = \"5\"\n", "platform.timeout: takes a duration"},
        {"[platform]\ntimeout = \"2h\"\n", "platform.timeout: takes a duration"},
        {"[sessions]\nmax_frame = \"1KiB\"\n", "sessions.max_frame: takes a size"},
        {"[sessions]\ntoken_secret = \"short\"\n", "at least 16 characters"},
        {"[host]\ntls_key_file = \"k\"\n", "goes together with tls_certificate_file"},
        {"[log]\nlevel = \"loud\"\n", "log.level: takes debug, info, warning or error"},
        {"[sessions]\nsilence_probe = \"40s\"\n", "must be shorter than"},
        {"[[catalog.team]]\nname = \"a\"\nburst = 1\n",
         "catalog.team.rate_per_second: is missing"},
        {"[[catalog.team]]\nname = \"a b\"\nburst = 1\nrate_per_second = 1\n",
         "has other characters"},
        {"[[catalog.route]]\nname = \"r\"\ngroup = \"g\"\n",
         "group \"g\" is not defined"},
        {"[[catalog.group]]\nname = \"g\"\n", "group \"g\" has no database"},
        {"[[catalog.group]]\nname = \"g\"\n[[catalog.database]]\ngroup = \"g\"\nname = "
         "\"d\"\nconnections = 8\nslots = 1\n",
         "8 connections for 8 hosts leave fewer than 2 to each"},
        {"host = 1\n", "host: takes a table"},
        {"a = \n", "s.toml:1:"},
    }));
    INFO(text);
    std::string found;
    for (finding const& each : settings::load("s.toml", text).findings) {
        found += to_string(each) + "\n";
    }
    CHECK_THAT(found, Catch::Contains(expected));
}

TEST_CASE("All findings of a file are reported together", "[settings]") {
    auto const loaded = settings::load("s.toml", R"([host]
port = -1
colour = "red"
[log]
level = "loud"
)");
    CHECK(loaded.findings.size() == 3);
}

TEST_CASE("A host's quota rules come from its settings", "[settings]") {
    std::string const rest = "[host]\nname = \"a\"\n[listen]\ncallers = \"127.0.0.1:1\"\n"
                             "readiness = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n"
                             "[platform]\nstore = \"127.0.0.1:4\"\n"
                             "promotion = \"127.0.0.1:5\"\n[limits]\n";
    auto const given = settings::load_front(
        "f.toml", rest + "in_force_within = \"5000ms\"\nquota_window = \"8s\"\n"
                         "quota_overrun = \"0.25\"\nquota_slack = \"0\"\n");
    REQUIRE(given.findings.empty());
    CHECK(given.values.quotas.lower_delay == std::chrono::milliseconds(4500));
    CHECK(given.values.quotas.window == std::chrono::seconds(8));
    CHECK(given.values.quotas.overrun == 0.25);
    CHECK(given.values.quotas.slack == 0);
    // As the platform fills a template in where it has no value.
    auto const absent = settings::load_front(
        "f.toml", rest + "quota_window = \"s\"\nquota_overrun = \"\"\n");
    REQUIRE(absent.findings.empty());
    CHECK(absent.values.quotas.window == std::chrono::seconds(5));
    CHECK(absent.values.quotas.overrun == 0.1);
    CHECK(absent.values.drain == std::chrono::seconds(7));
    auto const drained =
        settings::load_front("f.toml", rest + "[databases]\ndrain = \"9000ms\"\n");
    REQUIRE(drained.findings.empty());
    CHECK(drained.values.drain == std::chrono::seconds(9));
    auto const wrong =
        settings::load_front("f.toml", rest + "quota_overrun = \"much\"\n");
    CHECK(wrong.findings.size() == 1);
}
