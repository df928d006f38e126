#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <persimmonpoint/standin/line_group.hpp>
#include <set>
#include <support/line_caller.hpp>
#include <thread>

using namespace persimmonpoint;
using tests::line_caller;

namespace {

/// A group on a thread of its own, and a caller for each of its databases.
class group_stage {
public:
    group_stage() {
        this->group = std::make_unique<standin::line_group>(this->loop, "db", 3);
        this->thread = std::thread([this] {
            auto const keep = boost::asio::make_work_guard(this->loop);
            this->loop.run();
        });
        for (std::size_t i = 0; i < 3; ++i) {
            this->callers.push_back(std::make_unique<line_caller>(this->port(i)));
            std::string const id = "db-" + std::to_string(i);
            REQUIRE(this->callers.back()->start("db", "team " + id).error.empty());
        }
    }

    std::uint16_t port(std::size_t database) const {
        std::string const address =
            this->group->address("db-" + std::to_string(database));
        return static_cast<std::uint16_t>(
            std::stoul(address.substr(address.find(':') + 1)));
    }

    ~group_stage() {
        this->on_loop([this] { this->group.reset(); });
        this->loop.stop();
        this->thread.join();
    }

    void with_group(std::function<void(standin::line_group&)> const& action) {
        this->on_loop([&] { action(*this->group); });
    }

    std::vector<standin::line_group::lossy_promotion> lossy_promotions() {
        std::vector<standin::line_group::lossy_promotion> found;
        this->with_group([&](auto& group) { found = group.lossy_promotions(); });
        return found;
    }

    std::vector<standin::line_group::dropped_write> dropped_writes() {
        std::vector<standin::line_group::dropped_write> found;
        this->with_group([&](auto& group) { found = group.dropped_writes(); });
        return found;
    }

    std::vector<standin::line_group::ran_statement> ran() {
        std::vector<standin::line_group::ran_statement> found;
        this->with_group([&](auto& group) { found = group.ran(); });
        return found;
    }

    /// On a connection of its own, with little patience.
    line_caller::reply ask_briefly(std::size_t database, std::string const& text) const {
        line_caller caller(this->port(database), std::chrono::milliseconds(200));
        std::string const id = "db-" + std::to_string(database);
        REQUIRE(caller.start("db", "team " + id).error.empty());
        return caller.query(text);
    }

    line_caller::reply ask(std::size_t database, std::string const& text) {
        return this->callers[database]->query(text);
    }

private:
    void on_loop(std::function<void()> const& action) {
        std::promise<void> done;
        boost::asio::post(this->loop, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context loop{1};
    std::unique_ptr<standin::line_group> group;
    std::thread thread;
    std::vector<std::unique_ptr<line_caller>> callers;
};

} // namespace

TEST_CASE("The stand-in records a promotion that drops acknowledged commits", "[soak]") {
    group_stage stage;
    stage.with_group([](auto& group) { group.set_deaf("db-2", true); });
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    REQUIRE(stage.ask(0, "WRITE a 2").error.empty());
    stage.with_group([](auto& group) {
        group.kill("db-0");
        group.promote("db-2");
    });
    auto const found = stage.lossy_promotions();
    REQUIRE(found.size() == 1);
    CHECK(found.front().database == "db-2");
    CHECK(found.front().term == 2);
    CHECK(found.front().missing == 2);
    REQUIRE(found.front().holders.size() == 2);
    CHECK(found.front().holders[0].id == "db-0");
    CHECK_FALSE(found.front().holders[0].alive);
    CHECK(found.front().holders[1].id == "db-1");
    CHECK(found.front().holders[1].alive);
}

TEST_CASE(
    "The stand-in records no promotion that keeps what was acknowledged", "[soak]") {
    group_stage stage;
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    stage.with_group([](auto& group) { group.lose_next_answer("db-0", true); });
    // It may be lost: nobody was told of it.
    CHECK(stage.ask(0, "WRITE a 2").closed);
    stage.with_group([](auto& group) { group.promote("db-1"); });
    CHECK(stage.lossy_promotions().empty());
}

TEST_CASE(
    "The stand-in records each write that a promotion drops, acknowledged or not",
    "[soak]") {
    group_stage stage;
    stage.with_group([](auto& group) { group.set_deaf("db-2", true); });
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    stage.with_group([](auto& group) {
        group.set_deaf("db-0", true);
        group.promote("db-1");
    });
    CHECK(stage.dropped_writes().empty());
    CHECK(stage.ask_briefly(1, "WRITE a 2").closed);
    // The second one drops the first write as well, which its log lacks.
    stage.with_group([](auto& group) { group.promote("db-2"); });
    stage.with_group([](auto& group) { group.promote("db-0"); });
    auto const found = stage.dropped_writes();
    REQUIRE(found.size() == 2);
    std::set<std::string> data;
    for (auto const& each : found) {
        CHECK(each.item == "a");
        CHECK(each.database == "db-2");
        CHECK(each.term == 3);
        data.insert(each.data);
    }
    CHECK(data == std::set<std::string>{"1", "2"});
}

TEST_CASE("PAUSE holds a replica of the stand-in and nothing at its primary", "[soak]") {
    group_stage stage;
    CHECK(stage.ask(0, "PAUSE 1048576").rows.front() == "primary 1 1.0 0 0 0 1");
    CHECK(stage.ask(1, "PAUSE 1048576").rows.front() == "replica 1 1.0 1048576 0 0 1");
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    CHECK(stage.ask(1, "STATUS").rows.front() == "replica 1 1.0 1048576 0 0 1");
    CHECK(stage.ask(1, "RESUME").rows.front() == "replica 1 1.1 0 0 0 1");
}

TEST_CASE("A copy of another history acknowledges no commit of the stand-in", "[soak]") {
    group_stage stage;
    stage.with_group([](auto& group) { group.set_deaf("db-2", true); });
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    REQUIRE(stage.ask(1, "PAUSE 1048576").error.empty());
    // Both copies of the next primary have an entry that it lacks, and receive nothing.
    stage.with_group([](auto& group) {
        group.set_isolated("db-0", true);
        group.promote("db-2");
    });
    REQUIRE(stage.lossy_promotions().size() == 1);
    bool closed = false;
    std::thread writer([&] { closed = stage.ask(2, "WRITE a 2").closed; });
    std::size_t written = 0;
    while (written == 0) {
        stage.with_group([&](auto& group) { written = group.times_written("a", "2"); });
    }
    stage.with_group([](auto& group) {
        group.promote("db-1");
        group.kill("db-2");
    });
    writer.join();
    CHECK(closed);
    CHECK(stage.lossy_promotions().size() == 1);
}

TEST_CASE("An order that comes late to the stand-in is carried out later", "[soak]") {
    group_stage stage;
    stage.with_group([](auto& group) {
        group.set_order_delay("db-1", std::chrono::milliseconds(50));
    });
    CHECK(stage.ask_briefly(1, "PAUSE 1048576").closed);
    // Of the orders that follow, every second one is late, too.
    std::string state;
    while (state.find("1048576") == std::string::npos) {
        auto const answer = stage.ask_briefly(1, "STATUS");
        state = answer.closed ? std::string() : answer.rows.front();
    }
}

TEST_CASE(
    "A cut primary of the stand-in commits with a copy that joins later", "[soak]") {
    group_stage stage;
    stage.with_group([](auto& group) {
        group.set_cut("db-0", true);
        group.add_copy_of("db-0");
    });
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    CHECK(stage.ask(1, "STATUS").rows.front() == "replica 1 1.0 0 0 0 1");
    SECTION("and a copy that was cut off lacks the commit when it is promoted") {
        stage.with_group([](auto& group) { group.promote("db-1"); });
        auto const found = stage.lossy_promotions();
        REQUIRE(found.size() == 1);
        CHECK(found.front().missing == 1);
        REQUIRE(found.front().holders.size() == 2);
        CHECK(found.front().holders[1].id == "db-3");
    }
    SECTION("and the others receive it when the cut heals") {
        stage.with_group([](auto& group) { group.set_cut("db-0", false); });
        CHECK(stage.ask(1, "STATUS").rows.front() == "replica 1 1.1 0 0 0 1");
    }
}

TEST_CASE(
    "The stand-in runs a name under the whole shape and access that it was prepared with",
    "[prepared]") {
    group_stage stage;
    REQUIRE(stage.ask(0, "PREPARE p1 WRITE  q1 WRITE AFTER 1.1\t ").error.empty());
    REQUIRE(stage.ask(0, "PREPARE p2 READ q1").error.empty());
    REQUIRE(stage.ask(0, "EXECUTE p1 WRITE  data of \xff blanks ").error.empty());
    auto const read = stage.ask(0, "EXECUTE p2 WRITE");
    REQUIRE(read.rows.size() == 2);
    CHECK(read.rows.front() == " data of \xff blanks ");

    auto const ran = stage.ran();
    REQUIRE(ran.size() == 2);
    CHECK(ran[0].id == "q3");
    CHECK(ran[0].text == "EXECUTE p1 WRITE  data of \xff blanks ");
    CHECK(ran[0].arguments == "WRITE  data of \xff blanks ");
    CHECK(ran[0].database == "db-0");
    CHECK(ran[0].team == "team");
    REQUIRE(ran[0].prepared.has_value());
    CHECK(ran[0].prepared->writes);
    CHECK(ran[0].prepared->shape == " q1 WRITE AFTER 1.1\t ");
    REQUIRE(ran[1].prepared.has_value());
    CHECK_FALSE(ran[1].prepared->writes);
    CHECK(ran[1].prepared->shape == "q1");
}

TEST_CASE(
    "The stand-in answers UNKNOWN to a name that isn't prepared any longer and runs "
    "nothing",
    "[prepared]") {
    group_stage stage;
    REQUIRE(stage.ask(0, "PREPARE p1 READ q1").error.empty());
    SECTION("as it never was") {
        CHECK(stage.ask(0, "EXECUTE p2 a").error == "UNKNOWN");
    }
    SECTION("as it was deallocated") {
        REQUIRE(stage.ask(0, "DEALLOCATE p1").error.empty());
        CHECK(stage.ask(0, "EXECUTE p1 a").error == "UNKNOWN");
        CHECK(stage.ask(0, "DEALLOCATE p1").error == "UNKNOWN");
    }
    SECTION("as the connection was reset") {
        REQUIRE(stage.ask(0, "RESET").error.empty());
        CHECK(stage.ask(0, "EXECUTE p1 a").error == "UNKNOWN");
    }
    SECTION("as another connection prepared it") {
        CHECK(stage.ask_briefly(0, "EXECUTE p1 a").error == "UNKNOWN");
    }
    CHECK(stage.ran().empty());
}

TEST_CASE("The stand-in refuses what is no statement, and runs nothing", "[prepared]") {
    group_stage stage;
    CHECK(stage.ask(0, "PREPARE p1 EITHER q1").error == "MALFORMED");
    CHECK(stage.ask(0, "EXECUTE p1 a").error == "UNKNOWN");
    CHECK(stage.ask(0, "REMOVE a b").error == "MALFORMED");
    CHECK(stage.ran().empty());
    stage.with_group([](auto& group) { CHECK(group.writes().empty()); });
}

TEST_CASE(
    "The stand-in records what ran with its id and the values that were in force",
    "[prepared]") {
    group_stage stage;
    REQUIRE(stage.ask(0, "SET lang a b ").error.empty());
    REQUIRE(stage.ask(0, "BEGIN").error.empty());
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    REQUIRE(stage.ask(0, "SET lang c").error.empty());
    REQUIRE(stage.ask(0, "AFTER 1.0 READ a").error.empty());
    REQUIRE(stage.ask(0, "COMMIT").error.empty());
    REQUIRE(stage.ask(0, "RESET").error.empty());
    REQUIRE(stage.ask(0, "READ a").error.empty());
    CHECK(stage.ask(1, "WRITE a 2").error == "READONLY");
    CHECK(stage.ask(0, "AFTER 9.9 READ a").error == "LAGGING");

    using values = standin::line_group::session_values;
    auto const ran = stage.ran();
    REQUIRE(ran.size() == 4);
    CHECK(ran[0].id == "q3");
    CHECK(ran[0].text == "WRITE a 1");
    CHECK(*ran[0].values == values{{"lang", "a b "}});
    CHECK(ran[1].id == "q5");
    CHECK(ran[1].text == "READ a");
    CHECK(*ran[1].values == values{{"lang", "c"}});
    CHECK(ran[2].id == "q6");
    CHECK(ran[2].text == "COMMIT");
    CHECK(*ran[2].values == values{{"lang", "c"}});
    CHECK(ran[3].text == "READ a");
    CHECK(ran[3].values->empty());
    CHECK_FALSE(ran[3].prepared.has_value());
}

TEST_CASE("The stand-in records no COMMIT that a replica refuses", "[prepared]") {
    group_stage stage;
    REQUIRE(stage.ask(0, "BEGIN").error.empty());
    REQUIRE(stage.ask(0, "WRITE a 1").error.empty());
    stage.with_group([](auto& group) { group.promote("db-1"); });
    CHECK(stage.ask(0, "COMMIT").error == "READONLY");
    CHECK(stage.ran().size() == 1);
}
