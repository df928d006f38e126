#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <support/fleet_stage.hpp>
#include <support/odd_text.hpp>
#include <support/statement_record.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

/// Starts a session on the route whose statements all run at the primary.
void start(line_caller& caller) {
    REQUIRE(caller.start("alerts", "key-1").error.empty());
}

std::string data_of(line_caller& caller, std::string const& item) {
    auto const reply = caller.query("READ " + item);
    return reply.rows.empty() ? reply.error : reply.rows.front();
}

/// One host, whose callers are recorded and held against what databases ran.
class recorded_stage {
public:
    std::unique_ptr<recorded_caller> caller(std::string const& prefix) {
        auto made = std::make_unique<recorded_caller>(
            this->stage.caller_port(0), prefix + ".", this->record);
        REQUIRE(made->start("alerts", "key-1").error.empty());
        return made;
    }

    /// Compares what ran with what was sent; returns how many statements ran.
    std::size_t check() {
        std::vector<standin::line_group::ran_statement> ran;
        this->stage.with_standins([&] { ran = this->stage.group->ran(); });
        for (std::string const& each : check_runs(this->record.all(), ran)) {
            FAIL_CHECK(each);
        }
        return ran.size();
    }

private:
    fleet_stage stage{1};
    statement_record record;
};

void succeed(recorded_caller& caller, std::string const& text) {
    INFO(text);
    auto const reply = caller.query(text);
    REQUIRE_FALSE(reply.closed);
    CHECK(reply.error == "");
}

/// All bytes that a line may hold but the blank.
std::string all_bytes() {
    std::string text;
    for (int each = 1; each < 256; ++each) {
        if (each != '\r' && each != '\n' && each != ' ') {
            text += static_cast<char>(each);
        }
    }
    return text;
}

std::vector<std::string> odd_shapes() {
    return {
        "q1",
        " q1",
        "q1 ",
        " ",
        "a  b   c",
        "q1 WRITE xjyas",
        "AFTER 3.1 READ x",
        "EXECUTE p1 x",
        "QUERY 1 WRITE a b",
        "PREPARE p1 READ q1",
        "p1",
        "p2 ",
        "w_q1",
        "r_q1 WRITE",
        "\tq\t1\v",
        all_bytes()};
}

std::vector<std::string> odd_arguments() {
    return {
        "item data",
        "item ",
        "item  data of  blanks  ",
        " item behind a blank",
        "WRITE xjyas item data",
        "AFTER 3.1 READ x",
        "EXECUTE p1 x",
        "p1 p2 w_q1 r_q1",
        "\t \t",
        all_bytes() + " " + all_bytes()};
}

} // namespace

TEST_CASE(
    "A write prepared with a shape of several words changes only the item that its "
    "caller names",
    "[front][prepared]") {
    fleet_stage stage(1);
    line_caller caller(stage.caller_port(0));
    start(caller);
    REQUIRE(caller.query("PREPARE s WRITE q1 WRITE xjyas").error.empty());

    REQUIRE(caller.query("EXECUTE s item some data").error.empty());

    CHECK(data_of(caller, "item") == "some data");
    CHECK(data_of(caller, "WRITE") == "-");
}

TEST_CASE(
    "A prepared read runs as its session prepared it after another session has prepared "
    "a shape that begins alike",
    "[front][prepared]") {
    fleet_stage stage(1);
    line_caller first(stage.caller_port(0));
    line_caller second(stage.caller_port(0));
    start(first);
    start(second);
    REQUIRE(first.query("WRITE item data").error.empty());
    REQUIRE(first.query("PREPARE s READ q1").error.empty());
    REQUIRE(first.query("EXECUTE s item").rows.size() == 2);
    REQUIRE(second.query("PREPARE s READ q1 WRITE other").error.empty());
    REQUIRE(second.query("EXECUTE s item").error.empty());

    auto const read = first.query("EXECUTE s item");

    CHECK(read.error.empty());
    REQUIRE(read.rows.size() == 2);
    CHECK(read.rows.front() == "data");
}

TEST_CASE(
    "A database runs each prepared statement with the text and the shape of its caller, "
    "whatever these hold",
    "[front][prepared]") {
    recorded_stage stage;
    auto const caller = stage.caller("a");
    std::string const access = GENERATE("READ", "WRITE");
    std::size_t sent = 0;
    for (std::string const& shape : odd_shapes()) {
        succeed(*caller, "PREPARE s " + access + " " + shape);
        for (std::string const& arguments : odd_arguments()) {
            succeed(*caller, "EXECUTE s " + arguments);
            ++sent;
        }
    }
    CHECK(stage.check() == sent);
}

TEST_CASE(
    "A database runs reads and writes with the text of their caller, whatever it holds",
    "[front][prepared]") {
    recorded_stage stage;
    auto const caller = stage.caller("a");
    for (std::string const& arguments : odd_arguments()) {
        succeed(*caller, "WRITE " + arguments);
        succeed(*caller, "READ " + arguments);
    }
    CHECK(stage.check() == 2 * odd_arguments().size());
}

TEST_CASE(
    "Sessions that prepare other shapes under one name each run their own in turn and "
    "in transactions",
    "[front][prepared]") {
    recorded_stage stage;
    std::vector<std::unique_ptr<recorded_caller>> callers;
    for (std::string const& shape : odd_shapes()) {
        callers.push_back(stage.caller("c" + std::to_string(callers.size())));
        succeed(*callers.back(), "PREPARE p1 WRITE " + shape);
        succeed(*callers.back(), "PREPARE p2 READ " + shape);
    }
    bool const in_transactions = GENERATE(false, true);
    for (int round = 0; round < 3; ++round) {
        for (auto const& each : callers) {
            if (in_transactions) {
                succeed(*each, "BEGIN");
            }
            succeed(*each, "EXECUTE p1 p2  data ");
            succeed(*each, "EXECUTE p2 p2");
            if (in_transactions) {
                succeed(*each, "COMMIT");
            }
        }
    }
    std::size_t const statements = in_transactions ? 3 : 2;
    CHECK(stage.check() == 3 * statements * callers.size());
}

TEST_CASE(
    "A name that is prepared again, or dropped and prepared again, runs its new shape",
    "[front][prepared]") {
    recorded_stage stage;
    auto const caller = stage.caller("a");
    bool const drops = GENERATE(false, true);
    std::string access = "READ";
    for (std::string const& shape : odd_shapes()) {
        succeed(*caller, "PREPARE s " + access + " " + shape);
        succeed(*caller, "EXECUTE s item data");
        if (drops) {
            succeed(*caller, "DEALLOCATE s");
            CHECK(caller->query("EXECUTE s item data").error == "UNKNOWN");
        }
        access = access == "READ" ? "WRITE" : "READ";
    }
    CHECK(stage.check() == odd_shapes().size());
}

TEST_CASE(
    "A shape that is prepared inside of a transaction runs in it with the values that "
    "are set there",
    "[front][prepared]") {
    recorded_stage stage;
    auto const caller = stage.caller("a");
    succeed(*caller, "BEGIN");
    succeed(*caller, "WRITE item data");
    succeed(*caller, "PREPARE s READ  q1 ");
    succeed(*caller, "EXECUTE s item");
    succeed(*caller, "SET lang  a  b ");
    succeed(*caller, "EXECUTE s item");
    succeed(*caller, "PREPARE s WRITE q1");
    succeed(*caller, "EXECUTE s item other");
    succeed(*caller, "COMMIT");
    CHECK(stage.check() == 5);
}

TEST_CASE(
    "Values of one session that others don't have change neither the shapes nor the "
    "values that these run with",
    "[front][prepared]") {
    recorded_stage stage;
    auto const first = stage.caller("a");
    auto const second = stage.caller("b");
    succeed(*first, "PREPARE s WRITE q1 WRITE xjyas");
    succeed(*second, "PREPARE s READ q1");
    for (std::string const& value : odd_arguments()) {
        succeed(*first, "SET lang " + value);
        succeed(*first, "EXECUTE s item data");
        succeed(*second, "EXECUTE s item");
        succeed(*second, "SET zone " + value);
        succeed(*second, "EXECUTE s item");
    }
    CHECK(stage.check() == 3 * odd_arguments().size());
}

TEST_CASE(
    "A session that prepares more shapes than a connection keeps runs each of them",
    "[front][prepared]") {
    recorded_stage stage;
    auto const caller = stage.caller("a");
    constexpr int shapes = 230;
    for (int each = 0; each < shapes; ++each) {
        std::string const number = std::to_string(each);
        succeed(*caller, "PREPARE s" + number + " WRITE q " + number);
    }
    for (int round = 0; round < 2; ++round) {
        for (int each = 0; each < shapes; ++each) {
            succeed(*caller, "EXECUTE s" + std::to_string(each) + " item data");
        }
    }
    CHECK(stage.check() == 2 * shapes);
}

TEST_CASE(
    "What sessions draw at random runs as each of them sent it", "[front][prepared]") {
    recorded_stage stage;
    std::mt19937_64 random(GENERATE(1U, 2U, 3U));
    std::vector<std::unique_ptr<recorded_caller>> callers;
    for (char const* const prefix : {"a", "b", "c"}) {
        callers.push_back(stage.caller(prefix));
    }
    std::size_t ran = 0;
    for (int each = 0; each < 600; ++each) {
        recorded_caller& caller = *callers[random() % callers.size()];
        std::string const name = "s" + std::to_string(random() % 3);
        auto const choice = random() % 10;
        if (choice < 2) {
            std::string const access = random() % 2 == 0 ? "READ " : "WRITE ";
            succeed(caller, "PREPARE " + name + " " + access + odd_text(random));
        } else if (choice == 2) {
            succeed(caller, "SET lang " + odd_text(random));
        } else if (choice == 3 && caller.prepared().count(name) > 0) {
            succeed(caller, "DEALLOCATE " + name);
        } else if (caller.prepared().count(name) > 0) {
            succeed(caller, "EXECUTE " + name + " " + odd_text(random));
            ++ran;
        }
    }
    CHECK(stage.check() == ran);
}

TEST_CASE(
    "An EXECUTE without an item is refused and reaches no database",
    "[front][prepared]") {
    recorded_stage stage;
    std::string const text = GENERATE("EXECUTE s", "EXECUTE s ");
    auto const caller = stage.caller("a");
    succeed(*caller, "PREPARE s READ q1");
    CHECK(caller->query(text).error == "MALFORMED");
    CHECK(stage.check() == 0);
}
