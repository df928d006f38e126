#include <catch2/catch.hpp>
#include <persimmonpoint/core/routing/connection_budget.hpp>
#include <persimmonpoint/core/routing/connection_choice.hpp>
#include <persimmonpoint/core/routing/group_routing.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/core/routing/position_history.hpp>
#include <set>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

registered_database database(std::string id, std::string zone, bool primary = false) {
    registered_database entry;
    entry.id = std::move(id);
    entry.group = "passcount-db";
    entry.availability_zone = std::move(zone);
    entry.slots = 2;
    entry.claims_primary = primary;
    return entry;
}

group_routing three_databases() {
    group_routing group;
    group.set_databases(
        {database("p", "a", true), database("r1", "b"), database("r2", "c")});
    return group;
}

pooled_connection
lane(std::uint64_t id, std::string team, pooled_connection_state state) {
    pooled_connection view;
    view.id = id;
    view.team = std::move(team);
    view.state = state;
    view.last_used = start + milliseconds(id);
    return view;
}

upstream_request order_of(std::string team) {
    upstream_request order;
    order.team = std::move(team);
    return order;
}

} // namespace

TEST_CASE("A floor covers all that was acknowledged before it was asked for", "[floor]") {
    position_history book;
    CHECK_FALSE(book.min_position_for(seconds(2), start));
    book.observe(start, {3, 10});
    book.observe(start + milliseconds(500), {3, 20});
    book.observe(start + milliseconds(1000), {3, 30});
    instant const now = start + milliseconds(1600);
    CHECK(book.min_position_for(milliseconds(1500), now) == log_position{3, 20});
    CHECK(book.min_position_for(milliseconds(1600), now) == log_position{3, 10});
    CHECK(book.min_position_for(milliseconds(700), now) == log_position{3, 30});
    CHECK_FALSE(book.min_position_for(milliseconds(500), now));
}

TEST_CASE("A floor never goes back, whatever order answers come in", "[floor]") {
    position_history book;
    book.observe(start, {3, 50});
    book.observe(start + milliseconds(100), {3, 40});
    CHECK(
        book.min_position_for(seconds(1), start + milliseconds(1050)) ==
        log_position{3, 50});
    book.observe(start + milliseconds(50), {3, 99});
    CHECK(
        book.min_position_for(seconds(1), start + milliseconds(1050)) ==
        log_position{3, 50});
}

TEST_CASE("A later term is above every position of the terms before", "[floor]") {
    position_history book;
    book.observe(start, {3, 500});
    book.observe(start + milliseconds(100), {4, 10});
    CHECK(
        book.min_position_for(seconds(1), start + milliseconds(1100)) ==
        log_position{4, 10});
}

TEST_CASE("Reads leave the primary to the work that must go there", "[routing]") {
    group_routing group = three_databases();
    REQUIRE(group.leader());
    CHECK(group.leader()->database == "p");
    CHECK(group.choose_for_read({}, "a", {}, start) != "p");
}

TEST_CASE("Reads go to the primary once the replicas are busier", "[routing]") {
    group_routing group = three_databases();
    for (int i = 0; i < 4; ++i) {
        group.sent("r1");
        group.sent("r2");
    }
    CHECK(group.choose_for_read({}, "a", {}, start) == "p");
}

TEST_CASE("Reads avoid a replica that lacked the floor just now", "[routing]") {
    group_routing group = three_databases();
    group.sent("r1");
    group.answered("r1", log_position{1, 5}, 0, start);
    CHECK(group.choose_for_read(log_position{1, 6}, "b", {}, start) == "r2");
    CHECK(group.choose_for_read(log_position{1, 5}, "b", {}, start) == "r1");
}

TEST_CASE(
    "No read goes to a database that is leaving, was tried or can't be reached",
    "[routing]") {
    group_routing group = three_databases();
    registered_database leaving = database("r1", "b");
    leaving.leaving = true;
    group.set_databases({database("p", "a", true), leaving, database("r2", "c")});
    std::vector<std::string> const tried = {"r2"};
    CHECK(group.choose_for_read({}, "b", tried, start) == "p");
    group.unreachable("p", start);
    CHECK_FALSE(group.choose_for_read({}, "b", tried, start));
    CHECK(group.choose_for_read({}, "b", tried, start + seconds(1)) == "p");
}

TEST_CASE(
    "A proof of a later term replaces what the registry says of the leader",
    "[routing]") {
    group_routing group = three_databases();
    CHECK(group.confirm_leader("r1", 4));
    CHECK(group.leader()->database == "r1");
    CHECK_FALSE(group.confirm_leader("p", 3));
    CHECK(group.leader()->database == "r1");
    group.set_databases(
        {database("p", "a", true), database("r1", "b"), database("r2", "c")});
    CHECK(group.leader()->database == "r1");
    group.clear_leader("r1");
    REQUIRE(group.leader());
    CHECK(group.leader()->database == "p");
}

TEST_CASE("A leader that left the directory is no leader", "[routing]") {
    group_routing group = three_databases();
    group.confirm_leader("p", 4);
    group.set_databases({database("r1", "b"), database("r2", "c")});
    CHECK_FALSE(group.leader());
}

TEST_CASE("Owners of the database's zone come first, the same on each host", "[owners]") {
    std::vector<registered_host> const hosts = {
        {"h1", "", "a"}, {"h2", "", "b"}, {"h3", "", "b"}, {"h4", "", "c"}};
    std::vector<registered_host> const reversed(hosts.rbegin(), hosts.rend());
    auto const ranked = rank_owners("db", "b", hosts);
    CHECK(ranked == rank_owners("db", "b", reversed));
    CHECK((ranked[0] == "h2" || ranked[0] == "h3"));
    CHECK((ranked[1] == "h2" || ranked[1] == "h3"));
}

TEST_CASE("The loss of a host moves only what it owned", "[owners]") {
    std::vector<registered_host> hosts;
    for (int i = 0; i < 20; ++i) {
        hosts.push_back({"host-" + std::to_string(i), "", ""});
    }
    std::vector<registered_host> const fewer(hosts.begin() + 1, hosts.end());
    for (int i = 0; i < 200; ++i) {
        std::string const subject = "db-" + std::to_string(i);
        auto const before = rank_owners(subject, "", hosts);
        auto const after = rank_owners(subject, "", fewer);
        CHECK(after[0] == (before[0] == "host-0" ? before[1] : before[0]));
    }
}

TEST_CASE("The budgets of all owners stay within a database's connections", "[owners]") {
    for (std::uint32_t const most : {16U, 36U, 56U, 250U}) {
        std::uint32_t sum = 0;
        for (std::size_t rank = 0; rank < 3; ++rank) {
            sum += owner_limits(rank, most, 2).connections;
        }
        CHECK(sum <= most);
    }
}

TEST_CASE(
    "An order takes an idle connection of its team that has its values", "[lanes]") {
    pooled_connection const foreign = lane(1, "other", pooled_connection_state::idle);
    pooled_connection plain = lane(2, "team", pooled_connection_state::idle);
    pooled_connection fitting = lane(3, "team", pooled_connection_state::idle);
    fitting.values["zone"] = "north";
    std::vector<pooled_connection const*> const lanes = {&foreign, &plain, &fitting};
    upstream_request order = order_of("team");
    order.values["zone"] = "north";
    auto const decision = choose_connection(order, lanes, {8, 2, 2, {}});
    CHECK(decision.next == connection_choice::step::use);
    CHECK(decision.lane == 3);
}

TEST_CASE("A connection of another team is never used", "[lanes]") {
    pooled_connection const foreign = lane(1, "other", pooled_connection_state::idle);
    std::vector<pooled_connection const*> const lanes = {&foreign};
    CHECK(
        choose_connection(order_of("team"), lanes, {8, 2, 2, {}}).next ==
        connection_choice::step::open);
    auto const full = choose_connection(order_of("team"), lanes, {1, 2, 2, {}});
    CHECK(full.next == connection_choice::step::evict);
    CHECK(full.lane == 1);
}

TEST_CASE(
    "A team waits for its own connection rather than open one after the other",
    "[lanes]") {
    pooled_connection const opening = lane(1, "team", pooled_connection_state::opening);
    std::vector<pooled_connection const*> const lanes = {&opening};
    CHECK(
        choose_connection(order_of("team"), lanes, {8, 2, 2, {}}).next ==
        connection_choice::step::wait);
    pooled_connection const busy = lane(2, "team", pooled_connection_state::busy);
    std::vector<pooled_connection const*> const one_busy = {&busy};
    CHECK(
        choose_connection(order_of("team"), one_busy, {8, 2, 1, {}}).next ==
        connection_choice::step::wait);
    pooled_connection const pinned =
        lane(3, "team", pooled_connection_state::in_transaction);
    std::vector<pooled_connection const*> const in_use = {&pinned};
    CHECK(
        choose_connection(order_of("team"), in_use, {8, 2, 1, {}}).next ==
        connection_choice::step::open);
}

TEST_CASE(
    "Connections over the limit are closed, the one longest idle first", "[lanes]") {
    pooled_connection const oldest = lane(1, "a", pooled_connection_state::idle);
    pooled_connection const pinned =
        lane(2, "b", pooled_connection_state::in_transaction);
    pooled_connection const newest = lane(3, "c", pooled_connection_state::idle);
    std::vector<pooled_connection const*> const lanes = {&newest, &pinned, &oldest};
    CHECK(
        surplus_connections(lanes, {2, 2, 2, {}}, start) ==
        std::vector<std::uint64_t>{1});
    CHECK(surplus_connections(lanes, {8, 2, 2, {}}, start + seconds(90)).empty());
    CHECK(
        surplus_connections(lanes, {8, 2, 2, seconds(2)}, start + seconds(90)).size() ==
        2);
}

TEST_CASE("Lasting connections stay, those beyond them only while in use", "[lanes]") {
    pooled_connection const oldest = lane(1, "a", pooled_connection_state::idle);
    pooled_connection const old = lane(2, "b", pooled_connection_state::idle);
    pooled_connection const newest = lane(3, "c", pooled_connection_state::idle);
    std::vector<pooled_connection const*> const lanes = {&newest, &oldest, &old};
    connection_limits const limits{8, 2, 2, seconds(2), 2};
    CHECK(surplus_connections(lanes, limits, start + seconds(1)).empty());
    CHECK(surplus_connections(lanes, limits, start + seconds(90)).size() == 1);
}

TEST_CASE(
    "Whoever steps in for a host without power finds connections free", "[owners]") {
    for (std::uint32_t const most : {16U, 36U, 56U, 250U}) {
        // Those of the dark host linger; the next owner is the first by now.
        connection_limits const owner = owner_limits(0, most, 2);
        CHECK(owner.min_retained + owner.min_retained <= most);
        CHECK(owner.min_retained >= most / 4);
    }
}

TEST_CASE(
    "A connection is reset before a session that lacks one of its values", "[lanes]") {
    pooled_connection used = lane(1, "team", pooled_connection_state::idle);
    used.values["zone"] = "north";
    used.prepared.add_next({"q1", false});
    upstream_request order = order_of("team");
    order.values["lang"] = "en";
    order.prepared = prepared_shape{"q1", false};
    auto const steps = plan_setup(order, used);
    REQUIRE(steps.size() == 3);
    CHECK(steps[0].kind == setup_kind::reset);
    CHECK(steps[1].kind == setup_kind::set);
    CHECK(steps[1].name == "lang");
    CHECK(steps[2].kind == setup_kind::prepare);
}

TEST_CASE("A connection that fits needs no preparation", "[lanes]") {
    pooled_connection used = lane(1, "team", pooled_connection_state::idle);
    used.values["zone"] = "north";
    used.prepared.add_next({"q1", true});
    upstream_request order = order_of("team");
    order.values["zone"] = "north";
    order.prepared = prepared_shape{"q1", true};
    CHECK(plan_setup(order, used).empty());
    order.prepared = prepared_shape{"q1", false};
    CHECK(plan_setup(order, used).size() == 1);
}

TEST_CASE("Where teams outnumber connections, each keeps to one replica", "[routing]") {
    group_routing group = three_databases();
    group.set_team_affinity(true);
    std::set<std::string> chosen;
    for (char const* const team : {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"}) {
        auto const first = group.choose_for_read({}, "a", {}, start, team);
        CHECK(first == group.choose_for_read({}, "c", {}, start, team));
        chosen.insert(*first);
    }
    CHECK(chosen == std::set<std::string>{"r1", "r2"});
    SECTION("unless it is much busier than the other") {
        std::string const first = *group.choose_for_read({}, "a", {}, start, "t1");
        group.sent(first);
        CHECK(group.choose_for_read({}, "a", {}, start, "t1") != first);
    }
}

TEST_CASE(
    "A replica that lacked the floor again and again is asked more and more rarely",
    "[routing]") {
    group_routing group = three_databases();
    log_position const floor{1, 100};
    instant now = start;
    std::size_t asked = 0;
    for (int step = 0; step < 400; ++step) {
        now += milliseconds(10);
        auto const chosen = group.choose_for_read(floor, "b", {}, now);
        if (chosen != "p") {
            ++asked;
            group.answered(*chosen, log_position{1, 5}, 0U, now);
            group.lagged(*chosen, now);
        }
    }
    // Two replicas, each with a pause that grows to a second.
    CHECK(asked <= 24);
    SECTION("and takes part again once it has caught up") {
        group.answered("r1", log_position{1, 100}, 0U, now);
        CHECK(group.choose_for_read(floor, "b", {}, now) == "r1");
    }
}

TEST_CASE("Large hosts of its zone own a database's connections", "[owners]") {
    std::vector<registered_host> hosts;
    for (int i = 0; i < 20; ++i) {
        hosts.push_back({"small-" + std::to_string(i), "", "a", 120});
    }
    hosts.push_back({"large-1", "", "a", 500});
    hosts.push_back({"large-2", "", "a", 400});
    hosts.push_back({"large-3", "", "b", 500});
    auto const ranked = rank_database_owners(database("db", "a"), hosts);
    CHECK(
        std::set<std::string>{ranked[0], ranked[1]} ==
        std::set<std::string>{"large-1", "large-2"});
    CHECK(ranked.back() == "large-3");
    SECTION("hosts of one size are ranked as any others") {
        for (registered_host& each : hosts) {
            each.processor_millicores = 250;
        }
        CHECK(
            rank_database_owners(database("db", "a"), hosts) ==
            rank_owners("db", "a", hosts));
    }
}
