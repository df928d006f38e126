#include <catch2/catch.hpp>
#include <map>
#include <persimmonpoint/core/membership/directory_tracker.hpp>
#include <persimmonpoint/core/membership/host_tracker.hpp>
#include <persimmonpoint/core/membership/leader_news.hpp>
#include <persimmonpoint/core/membership/news_desk.hpp>
#include <persimmonpoint/core/membership/peer_health.hpp>
#include <set>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

database_directory directory(std::uint64_t version, std::vector<std::string> const& ids) {
    database_directory out;
    out.version = {1, version};
    for (std::string const& each : ids) {
        out.databases[each].id = each;
    }
    return out;
}

std::set<std::string> names_of(host_tracker const& tracker) {
    std::set<std::string> names;
    for (registered_host const& each : tracker.current()) {
        names.insert(each.name);
    }
    return names;
}

} // namespace

TEST_CASE("An entry that vanishes for a moment is kept", "[directory]") {
    directory_tracker tracker;
    CHECK(tracker.read(directory(1, {"a", "b"}), start, true));
    CHECK_FALSE(tracker.read(directory(2, {"a"}), start + seconds(1), true));
    CHECK(tracker.current().databases.count("b") == 1);
    CHECK_FALSE(tracker.read(directory(3, {"a", "b"}), start + seconds(2), true));
    CHECK_FALSE(tracker.read(directory(4, {"a"}), start + seconds(3), true));
    CHECK(tracker.read(directory(5, {"a"}), start + seconds(6), true));
    CHECK(tracker.current().databases.count("b") == 0);
}

TEST_CASE("An entry that was leaving is gone when it vanishes", "[directory]") {
    directory_tracker tracker;
    database_directory first = directory(1, {"a", "b"});
    first.databases["b"].leaving = true;
    tracker.read(first, start, true);
    CHECK(tracker.read(directory(2, {"a"}), start + milliseconds(10), true));
    CHECK(tracker.current().databases.size() == 1);
}

TEST_CASE(
    "A primary that was leaving is kept for a while when its entry vanishes as the store "
    "is "
    "back",
    "[directory]") {
    directory_tracker tracker;
    database_directory first = directory(1, {"a", "b"});
    first.databases["b"].leaving = true;
    first.databases["b"].claims_primary = true;
    tracker.read(first, start, true);
    CHECK_FALSE(tracker.read(directory(2, {"a"}), start + seconds(5), false));
    CHECK(tracker.current().databases.count("b") == 1);
    SECTION("and is gone if it stays away") {
        CHECK(tracker.read(directory(3, {"a"}), start + seconds(8), false));
        CHECK(tracker.current().databases.count("b") == 0);
    }
    SECTION("or once the store has been in reach for long enough") {
        CHECK(tracker.read(directory(3, {"a"}), start + seconds(6), true));
    }
}

TEST_CASE(
    "A replica that was leaving is gone when its entry vanishes as the store is back",
    "[directory]") {
    directory_tracker tracker;
    database_directory first = directory(1, {"a", "b"});
    first.databases["b"].leaving = true;
    tracker.read(first, start, true);
    CHECK(tracker.read(directory(2, {"a"}), start + seconds(5), false));
    CHECK(tracker.current().databases.count("b") == 0);
}

TEST_CASE(
    "The time that an entry may be missing begins anew when the store was away",
    "[directory]") {
    directory_tracker tracker;
    tracker.read(directory(1, {"a", "b"}), start, true);
    CHECK_FALSE(tracker.read(directory(2, {"a"}), start + seconds(1), true));
    tracker.reading_failed();
    CHECK_FALSE(tracker.read(directory(3, {"a"}), start + seconds(5), false));
    CHECK(tracker.current().databases.count("b") == 1);
    CHECK(tracker.read(directory(4, {"a"}), start + seconds(8), false));
}

TEST_CASE(
    "News from a host that keeps a missing entry make it last no longer", "[directory]") {
    directory_tracker tracker;
    tracker.read(directory(1, {"a", "b"}), start, true);
    CHECK_FALSE(tracker.read(directory(2, {"a"}), start + seconds(1), true));
    CHECK(tracker.received(directory(3, {"a", "b", "c"})));
    CHECK(tracker.read(directory(3, {"a", "c"}), start + milliseconds(3500), true));
    CHECK(tracker.current().databases.count("b") == 0);
}

TEST_CASE("An older reading or an older message changes nothing", "[directory]") {
    directory_tracker tracker;
    tracker.read(directory(9, {"a"}), start, true);
    CHECK_FALSE(tracker.read(directory(8, {"b"}), start + seconds(9), true));
    CHECK_FALSE(tracker.received(directory(9, {"b"})));
    CHECK(tracker.received(directory(10, {"b"})));
    CHECK(tracker.current().databases.count("b") == 1);
}

TEST_CASE("A host that was not tried yet may be given work", "[peers]") {
    peer_health health;
    CHECK(health.usable());
    CHECK(health.may_connect(start));
    health.connecting(start);
    CHECK(health.usable());
    CHECK_FALSE(health.may_connect(start));
    CHECK(health.overdue(pace_for(8), start + milliseconds(121)));
}

TEST_CASE("A host that was lost counts again once it has answered", "[peers]") {
    peer_health health;
    health.connecting(start);
    health.heard(start);
    CHECK_FALSE(health.overdue(pace_for(8), start + milliseconds(400)));
    CHECK(health.overdue(pace_for(8), start + milliseconds(500)));
    health.lost(start + milliseconds(500));
    CHECK_FALSE(health.usable());
    CHECK_FALSE(health.may_connect(start + milliseconds(600)));
    CHECK(health.may_connect(start + milliseconds(800)));
    health.connecting(start + milliseconds(800));
    CHECK_FALSE(health.usable());
    health.heard(start + milliseconds(801));
    CHECK(health.usable());
}

TEST_CASE(
    "A host has ended for certain only if its port refuses or it said so", "[peers]") {
    peer_health health;
    health.heard(start);
    health.lost(start);
    CHECK_FALSE(health.has_ended());
    health.ended();
    CHECK(health.has_ended());
    health.heard(start);
    CHECK_FALSE(health.has_ended());
    health.leaving(true);
    CHECK(health.has_ended());
    CHECK_FALSE(health.usable());
}

TEST_CASE(
    "A large fleet's link is watched closely only while an answer is awaited",
    "[peers]") {
    fleet_pace const pace = pace_for(79);
    peer_health health;
    health.connecting(start);
    health.heard(start);
    CHECK_FALSE(health.overdue(pace, start + milliseconds(1700)));
    CHECK(health.overdue(pace, start + milliseconds(1900)));
    health.asked(start + milliseconds(1000));
    CHECK_FALSE(health.overdue(pace, start + milliseconds(1590)));
    CHECK(health.overdue(pace, start + milliseconds(1610)));
    health.heard(start + milliseconds(1300));
    health.answered();
    CHECK_FALSE(health.overdue(pace, start + milliseconds(2500)));
}

TEST_CASE("Endorsements that reach one lender don't grow with the fleet", "[peers]") {
    for (std::size_t const hosts : {30U, 79U, 300U, 690U}) {
        fleet_pace const pace = pace_for(hosts);
        double const arrivals =
            static_cast<double>(hosts) / to_seconds(pace.endorse_interval);
        CHECK(arrivals <= 201);
        CHECK(pace.endorsement_life > 2 * pace.endorse_interval);
    }
}

TEST_CASE("News reach every host over neighbours in few steps", "[peers]") {
    for (std::size_t const size : {2U, 3U, 17U, 79U, 690U}) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < size; ++i) {
            names.push_back("host-" + std::to_string(1000 + i));
        }
        std::set<std::string> reached = {names.front()};
        std::size_t steps = 0;
        while (reached.size() < size && steps <= size) {
            ++steps;
            std::set<std::string> next = reached;
            for (std::string const& each : reached) {
                std::vector<std::string> others = names;
                std::erase(others, each);
                auto const chosen = choose_neighbours(each, others);
                CHECK(chosen.size() <= 10);
                next.insert(chosen.begin(), chosen.end());
            }
            reached = std::move(next);
        }
        CHECK(reached.size() == size);
        CHECK(steps <= 10);
    }
}

TEST_CASE("A new leader is known to every host, at one message a link", "[peers]") {
    // Without passing the news on, only the neighbours of the host that promoted learned
    // of it: 33 of 62 hosts went on asking the dead primary for seconds.
    for (std::size_t const size : {17U, 62U, 690U}) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < size; ++i) {
            names.push_back("host-" + std::to_string(1000 + i));
        }
        std::map<std::string, leader_news> hosts;
        std::vector<std::string> to_pass_on = {names.front()};
        std::set<std::string> reached = {names.front()};
        std::size_t messages = 0;
        while (!to_pass_on.empty()) {
            std::string const from = to_pass_on.back();
            to_pass_on.pop_back();
            std::vector<std::string> others = names;
            std::erase(others, from);
            for (std::string const& each : choose_neighbours(from, others)) {
                ++messages;
                reached.insert(each);
                if (hosts[each].worth_telling("g", 7, 7)) {
                    to_pass_on.push_back(each);
                }
            }
        }
        CHECK(reached.size() == size);
        CHECK(messages <= 10 * (size + 1));
    }
}

TEST_CASE("Old news of a leader are not passed on", "[peers]") {
    leader_news news;
    CHECK(news.worth_telling("g", 2, 2));
    CHECK_FALSE(news.worth_telling("g", 2, 2));
    CHECK_FALSE(news.worth_telling("g", 1, 2));
    CHECK_FALSE(news.worth_telling("g", 3, 4));
    CHECK(news.worth_telling("g", 4, 4));
    CHECK(news.worth_telling("h", 1, 0));
}

TEST_CASE("News are asked from one host at a time", "[peers]") {
    news_desk desk;
    news_versions const mine{5, {1, 5}, {1, 5}};
    news_versions const theirs{6, {1, 5}, {1, 5}};
    CHECK(desk.ask(mine, theirs, {}, start) == mine);
    CHECK_FALSE(desk.ask(mine, theirs, {}, start + milliseconds(10)));
    CHECK_FALSE(desk.ask(mine, mine, {}, start + milliseconds(20)));
    CHECK(desk.ask(mine, theirs, {}, start + milliseconds(401)) == mine);
    // Something came: the next may be asked at once.
    CHECK(desk.ask(theirs, {7, {1, 5}, {1, 5}}, {}, start + milliseconds(410)) == theirs);
}

TEST_CASE(
    "The store is given time to bring a configuration, but not databases", "[peers]") {
    news_desk desk;
    news_versions const mine{5, {1, 5}, {1, 5}};
    news_desk::patience const patience{milliseconds(700), milliseconds(0)};
    CHECK_FALSE(desk.ask(mine, {6, {1, 5}, {1, 5}}, patience, start));
    auto const wanted =
        desk.ask(mine, {6, {1, 6}, {1, 5}}, patience, start + milliseconds(10));
    REQUIRE(wanted);
    CHECK(wanted->configuration == 6);
    CHECK(wanted->databases == store_version{1, 5});
    CHECK(desk.ask(
        {5, {1, 6}, {1, 5}}, {6, {1, 6}, {1, 5}}, patience, start + milliseconds(701)));
    // Out of its reach, a host does not wait for it.
    news_desk cut_off;
    CHECK(cut_off.ask(mine, {6, {1, 5}, {1, 5}}, {}, start));
}

TEST_CASE("A link that carries a large message is not taken for silent", "[peers]") {
    fleet_pace const pace = pace_for(79);
    peer_health health;
    health.connecting(start);
    health.heard(start);
    health.asked(start);
    health.receiving(start + milliseconds(500));
    CHECK_FALSE(health.overdue(pace, start + milliseconds(900)));
    CHECK(health.overdue(pace, start + milliseconds(1200)));
    health.lost(start + milliseconds(1200));
    health.receiving(start + milliseconds(1300));
    CHECK_FALSE(health.usable());
}

TEST_CASE("News that are still arriving are not asked of a second host", "[peers]") {
    news_desk desk;
    news_versions const mine{7, {1, 1}, {1, 1}};
    news_versions const theirs{8, {1, 1}, {1, 1}};
    news_desk::patience const none;
    CHECK(desk.ask(mine, theirs, none, start));
    desk.receiving(100000, start + milliseconds(300));
    desk.receiving(200000, start + milliseconds(600));
    CHECK_FALSE(desk.ask(mine, theirs, none, start + milliseconds(900)));
    CHECK(desk.ask(mine, theirs, none, start + milliseconds(1100)));
    desk.receiving(100, start + milliseconds(1400));
    CHECK(desk.ask(mine, theirs, none, start + milliseconds(1600)));
}

TEST_CASE(
    "No host is asked for a configuration that is arriving from the store", "[peers]") {
    fleet_pace const pace = pace_for(22);
    news_desk desk;
    news_versions const mine{7, {1, 1}, {1, 1}};
    news_versions const theirs{8, {1, 1}, {1, 1}};
    auto const arriving = news_desk::patience_with_store(pace, true, true);
    CHECK_FALSE(desk.ask(mine, theirs, arriving, start));
    CHECK_FALSE(desk.ask(mine, theirs, arriving, start + seconds(4)));
    auto const lost = news_desk::patience_with_store(pace, false, true);
    CHECK(desk.ask(mine, theirs, lost, start + seconds(5)));
    auto const silent = news_desk::patience_with_store(pace, true, false);
    CHECK(silent.configuration == pace.store_patience);
}

TEST_CASE("Versions of an era of the store are newer than all before it", "[peers]") {
    CHECK(store_version{2, 3} > store_version{1, 900});
    news_desk desk;
    news_versions const mine{5, {2, 3}, {2, 3}};
    CHECK_FALSE(desk.ask(mine, {5, {1, 900}, {1, 900}}, {}, start));
    CHECK(desk.ask({5, {1, 900}, {1, 900}}, mine, {}, start));
}

TEST_CASE(
    "A directory of the store's new era is taken, an old one is not", "[directory]") {
    directory_tracker tracker;
    tracker.read(directory(900, {"a", "b"}), start, true);
    database_directory restored = directory(3, {"a", "c"});
    restored.version = {2, 3};
    CHECK(tracker.read(restored, start + seconds(1), true));
    CHECK(tracker.current().databases.count("c") == 1);
    CHECK(tracker.current().databases.count("b") == 1);
    CHECK_FALSE(tracker.read(directory(901, {"a"}), start + seconds(9), true));
    CHECK_FALSE(tracker.received(directory(901, {"a"})));
}

TEST_CASE("A leaving database is not ready again by an older copy", "[directory]") {
    directory_tracker tracker;
    database_directory before = directory(9, {"a"});
    before.databases["a"].leaving = true;
    before.databases["a"].started_ms = 100;
    tracker.read(before, start, true);
    database_directory restored = directory(3, {"a"});
    restored.version = {2, 3};
    restored.databases["a"].started_ms = 100;
    tracker.read(restored, start + seconds(1), true);
    CHECK(tracker.current().databases.at("a").leaving);
    for (std::string const added : {"b", "c"}) {
        ++restored.version.number;
        restored.databases[added];
        tracker.read(restored, start + seconds(1), true);
        CHECK(tracker.current().databases.at("a").leaving);
    }
    ++restored.version.number;
    restored.databases["a"].started_ms = 200;
    tracker.read(restored, start + seconds(2), true);
    CHECK_FALSE(tracker.current().databases.at("a").leaving);
}

TEST_CASE(
    "A leaving database is not ready again by what another host read from a copy",
    "[directory]") {
    directory_tracker tracker;
    database_directory before = directory(9, {"a"});
    before.databases["a"].leaving = true;
    tracker.read(before, start, true);
    database_directory restored = directory(3, {"a"});
    restored.version = {2, 3};
    CHECK(tracker.received(restored));
    CHECK(tracker.current().databases.at("a").leaving);
}

TEST_CASE("Live hosts that an older copy lacks are kept, others are not", "[peers]") {
    host_tracker tracker;
    auto const all_but_c = [](std::string const& name) { return name != "c"; };
    tracker.take({1, 9}, {{"a", "1", "z"}, {"b", "2", "z"}, {"c", "3", "z"}}, all_but_c);
    CHECK(tracker.take({2, 3}, {{"a", "1", "z"}, {"d", "4", "z"}}, all_but_c));
    CHECK(names_of(tracker) == std::set<std::string>{"a", "b", "d"});
    CHECK_FALSE(tracker.take({1, 10}, {{"a", "1", "z"}}, all_but_c));
}

TEST_CASE(
    "A live host is kept while others register themselves again after a restore",
    "[peers]") {
    host_tracker tracker;
    auto const all = [](std::string const&) { return true; };
    tracker.take({1, 9}, {{"a", "1", "z"}, {"b", "2", "z"}}, all);
    tracker.take({2, 3}, {}, all);
    tracker.take({2, 4}, {{"a", "1", "z"}}, all);
    CHECK(names_of(tracker) == std::set<std::string>{"a", "b"});
    tracker.take({2, 5}, {{"a", "1", "z"}, {"b", "2", "z"}}, all);
    tracker.take({2, 6}, {{"a", "1", "z"}}, all);
    CHECK(names_of(tracker) == std::set<std::string>{"a"});
}

TEST_CASE(
    "A host whose address was refused is not known to have stopped once it is silent",
    "[peer_health]") {
    peer_health health;
    health.lost(start);
    health.ended();
    CHECK(health.has_stopped());
    health.connecting(start + seconds(1));
    health.lost(start + seconds(2));
    CHECK_FALSE(health.has_stopped());
}
