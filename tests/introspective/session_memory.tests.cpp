#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <persimmonpoint/core/limits/memory_budget.hpp>
#include <persimmonpoint/core/session/client_session_state.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

using namespace persimmonpoint;

namespace {

constexpr std::size_t large_bytes = 1'000'000;
/// Whatever it holds, a session's part of an order leaves room in a message of 32 MiB.
constexpr std::size_t most_session_bytes = 4 * 1024 * 1024;

statement holding(statement_verb verb, std::string name, std::size_t bytes) {
    return statement{"id", "TEXT", verb, std::move(name), std::string(bytes, 'x')};
}

std::vector<std::string> const names = {"a", "b", "c"};
std::vector<std::size_t> const sizes = {
    0, 10, 2000, session_allowance_bytes, 500'000, large_bytes};
std::vector<statement_verb> const verbs = {
    statement_verb::set, statement_verb::prepare_read, statement_verb::deallocate};

/// A session, and what it should hold.
struct modelled_session {
    explicit modelled_session(std::shared_ptr<memory_budget> budget)
        : session(std::move(budget)) {}

    void step() {
        auto const name = *rc::gen::elementOf(names);
        auto const bytes = *rc::gen::elementOf(sizes);
        auto const verb = *rc::gen::elementOf(verbs);
        bool const done = this->session.decide(holding(verb, name, bytes)).error ==
                          statement_error::none;
        auto& entries = verb == statement_verb::set ? this->values : this->prepared;
        if (done && verb == statement_verb::deallocate) {
            entries.erase(name);
        } else if (done) {
            entries[name] = bytes;
        }
    }

    std::size_t expected_bytes() const {
        std::size_t sum = 0;
        for (auto const* entries : {&this->values, &this->prepared}) {
            for (auto const& [name, bytes] : *entries) {
                sum += session_entry_bytes + name.size() + bytes;
            }
        }
        return sum;
    }

    std::size_t expected_charge() const {
        std::size_t const bytes = this->expected_bytes();
        return bytes > session_allowance_bytes ? bytes - session_allowance_bytes : 0;
    }

    client_session_state session;
    std::map<std::string, std::size_t> values;
    std::map<std::string, std::size_t> prepared;
};

} // namespace

TEST_CASE(
    "A session holds a bounded number of bytes, whatever it sets and prepares",
    "[bounds][session]") {
    auto const verb = GENERATE(statement_verb::set, statement_verb::prepare_write);
    client_session_state session;
    std::size_t held = 0;
    statement_decision last;
    for (int i = 0; i < 200; ++i) {
        last = session.decide(holding(verb, "n" + std::to_string(i), large_bytes));
        held += last.error == statement_error::none ? large_bytes : 0;
    }
    CHECK(last.error == statement_error::too_large);
    CHECK(held >= large_bytes);
    CHECK(held <= most_session_bytes);
}

TEST_CASE(
    "What is counted for sessions is what they hold, and never above the bounds",
    "[bounds][session][rapidcheck]") {
    CHECK(rc::check([] {
        std::size_t const most = 5'000'000;
        auto const budget = std::make_shared<memory_budget>(most);
        std::vector<std::unique_ptr<modelled_session>> sessions;
        auto const steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            auto const at = *rc::gen::inRange<std::size_t>(0, 4);
            if (at >= sessions.size()) {
                sessions.push_back(std::make_unique<modelled_session>(budget));
            } else if (*rc::gen::inRange(0, 10) == 0) {
                sessions.erase(sessions.begin() + static_cast<std::ptrdiff_t>(at));
            } else {
                sessions[at]->step();
            }
            std::size_t charged = 0;
            for (auto const& each : sessions) {
                RC_ASSERT(each->session.held_bytes() == each->expected_bytes());
                RC_ASSERT(each->session.held_bytes() <= max_session_bytes);
                charged += each->expected_charge();
            }
            RC_ASSERT(budget->used() == charged);
            RC_ASSERT(budget->used() <= most);
        }
        sessions.clear();
        RC_ASSERT(budget->used() == 0);
    }));
}

TEST_CASE(
    "A session is refused as busy for what others hold, but never for a little",
    "[bounds][session]") {
    auto const budget = std::make_shared<memory_budget>(large_bytes + 2000);
    auto other = std::make_unique<client_session_state>(budget);
    REQUIRE(
        other->decide(holding(statement_verb::set, "n", large_bytes)).error ==
        statement_error::none);
    client_session_state session(budget);
    auto const large = holding(statement_verb::prepare_read, "n", large_bytes);
    CHECK(session.decide(large).error == statement_error::busy);
    CHECK(
        session.decide(holding(statement_verb::set, "zone", 2000)).error ==
        statement_error::none);
    SECTION("until the other session ends") {
        other.reset();
    }
    SECTION("until the other session holds less") {
        other->decide(holding(statement_verb::set, "n", 10));
    }
    CHECK(session.decide(large).error == statement_error::none);
}

TEST_CASE("A session may hold as many bytes as its bound, and not one more", "[bounds]") {
    client_session_state session;
    std::size_t const overhead = session_entry_bytes + std::string("n").size();
    CHECK(
        session
            .decide(holding(statement_verb::set, "n", max_session_bytes - overhead + 1))
            .error == statement_error::too_large);
    CHECK(session.held_bytes() == 0);
    CHECK(
        session.decide(holding(statement_verb::set, "n", max_session_bytes - overhead))
            .error == statement_error::none);
    CHECK(session.held_bytes() == max_session_bytes);
}

TEST_CASE("A long line's memory is given back once it was read", "[bounds][line]") {
    platform::line_reader reader;
    std::string line(large_bytes, 'x');
    line += "\r\n";
    reader.add(line);
    REQUIRE(reader.next());
    CHECK_FALSE(reader.next());
    CHECK(reader.held_bytes() < 100'000);
}
