#include <algorithm>
#include <array>
#include <map>
#include <soak/soak_caller.hpp>
#include <soak/soak_stage.hpp>
#include <support/odd_text.hpp>
#include <thread>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;

/// Longer than the routes' timeout: a host answers before.
constexpr milliseconds patience(4000);
constexpr milliseconds pause_after_failure(40);
constexpr milliseconds flood_pause(5);
/// Ends of the names of each caller's items. The first one is read by others, too.
constexpr std::array<char const*, 4> item_ends = {{"", ".WRITE", "\t\x01'", "\x80\xff"}};
/// Callers' own names of prepared statements: alike for all of them.
constexpr std::array<char const*, 4> prepared_names = {{"s1", "p1", "w_q1", "WRITE"}};
/// Of ten statements that the session has prepared a shape for.
constexpr std::int64_t most_prepared = 4;

struct kind {
    char const* database;
    soak_freshness freshness;
};
constexpr std::array<kind, 3> kinds = {
    {{"alerts", soak_freshness::all},
     {"browse", soak_freshness::of_an_age},
     {"tallies", soak_freshness::own}}};

std::string item_name(std::size_t caller, std::size_t item) {
    return "c" + std::to_string(caller) + "-" + std::to_string(item) + item_ends[item];
}

bool promises_not_run(std::string const& code) {
    return code == "BUSY" || code == "ABORTED" || code == "LAGGING" ||
           code == "READONLY" || code == "MISROUTED" || code == "OVERLOADED";
}

soak_outcome
outcome_of(line_caller::reply const& reply, soak_operation const& operation) {
    if (reply.closed) {
        bool const in_time = operation.ended - operation.begun < patience;
        return in_time ? soak_outcome::cut : soak_outcome::unknown;
    }
    if (reply.error.empty()) {
        return soak_outcome::succeeded;
    }
    return promises_not_run(reply.error) ? soak_outcome::not_run : soak_outcome::unknown;
}

} // namespace

struct soak_caller::session {
    std::unique_ptr<recorded_caller> line;
    soak_freshness freshness = soak_freshness::all;
    std::string key;
    std::size_t number = 0;
    std::size_t host = 0;
    std::int64_t operations_left = 0;
};

soak_caller::soak_caller(soak_field given, std::size_t number, std::uint64_t seed)
    : field(std::move(given)), number(number), random(seed) {}

std::int64_t soak_caller::draw(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(this->random);
}

std::string soak_caller::own_item() {
    return item_name(
        this->number, static_cast<std::size_t>(this->draw(0, item_ends.size() - 1)));
}

/// Its only part that no other has stands between blanks, or at an end.
std::string soak_caller::unique_data(std::string const& item) {
    std::string data = item + "." + std::to_string(++this->writes);
    if (this->draw(0, 1) == 0) {
        data = odd_text(this->random) + " " + data;
    }
    return this->draw(0, 1) == 0 ? data + " " + odd_text(this->random) : data;
}

line_caller::reply soak_caller::ask(session& on, std::string const& text) {
    auto reply = on.line->query(text);
    if (reply.error == "UNKNOWN") {
        this->field.record.report(
            "session " + std::to_string(on.number) +
            " heard UNKNOWN of a name that was acknowledged: " + text);
    }
    return reply;
}

std::string
soak_caller::text_of(session const& on, bool writes, std::string const& arguments) {
    bool const prepared = this->draw(0, 9) < most_prepared;
    auto const& names = on.line->prepared();
    auto const found = std::find_if(names.begin(), names.end(), [&](auto const& each) {
        return each.second.writes == writes;
    });
    if (prepared && found != names.end()) {
        return "EXECUTE " + found->first + " " + arguments;
    }
    return (writes ? "WRITE " : "READ ") + arguments;
}

std::unique_ptr<soak_caller::session> soak_caller::open() {
    auto made = std::make_unique<session>();
    made->host = static_cast<std::size_t>(
        this->draw(0, static_cast<std::int64_t>(this->field.hosts.size()) - 1));
    kind const& chosen = kinds[static_cast<std::size_t>(this->draw(0, kinds.size() - 1))];
    made->freshness = chosen.freshness;
    made->key = this->draw(0, 3) == 0 ? passing_key : lasting_key;
    made->number = ++this->field.last_session;
    made->operations_left = this->draw(0, 2) == 0 ? 1 : this->draw(5, 60);
    made->line = std::make_unique<recorded_caller>(
        this->field.hosts[made->host], "s" + std::to_string(made->number) + ".",
        this->field.record.statements(), patience);
    auto const reply = made->line->start(chosen.database, made->key);
    return reply.closed || !reply.error.empty() ? nullptr : std::move(made);
}

void soak_caller::run() {
    while (!this->field.over) {
        std::unique_ptr<session> const on = this->open();
        if (!on) {
            std::this_thread::sleep_for(pause_after_failure);
            continue;
        }
        while (!this->field.over && on->operations_left-- > 0 && this->act(*on)) {
            std::this_thread::sleep_for(milliseconds(this->draw(0, 12)));
        }
    }
}

bool soak_caller::act(session& on) {
    std::int64_t const choice = this->draw(0, 99);
    if (choice < 4) {
        return this->set_value(on);
    }
    if (choice < 25) {
        return this->write(on);
    }
    if (choice < 35) {
        return this->write_transaction(on);
    }
    if (choice < 41) {
        return this->prepare(on);
    }
    if (choice < 43) {
        return this->deallocate(on);
    }
    return this->read(on);
}

soak_operation soak_caller::make(session const& on, bool writes) {
    soak_operation operation;
    operation.writes = writes;
    operation.freshness = on.freshness;
    operation.key = on.key;
    operation.session = on.number;
    operation.host = on.host;
    if (writes) {
        operation.item = this->own_item();
        operation.data = this->unique_data(operation.item);
    }
    operation.begun = std::chrono::steady_clock::now();
    return operation;
}

void soak_caller::finish(soak_operation operation, line_caller::reply const& reply) {
    operation.ended = std::chrono::steady_clock::now();
    operation.outcome = outcome_of(reply, operation);
    this->field.record.add(std::move(operation));
}

bool soak_caller::read(session& on) {
    soak_operation operation = this->make(on, false);
    auto const caller = static_cast<std::size_t>(
        this->draw(0, static_cast<std::int64_t>(this->field.callers) - 1));
    operation.item =
        item_name(caller, static_cast<std::size_t>(this->draw(0, item_ends.size() - 1)));
    auto const reply = this->ask(on, this->text_of(on, false, operation.item));
    bool const good = !reply.closed && reply.error.empty();
    if (good && reply.rows.size() == 2) {
        operation.data = reply.rows[0];
        std::string expected = "values";
        for (auto const& [name, value] : on.line->values()) {
            expected.append(" ").append(name).append("=").append(value);
        }
        if (reply.rows[1] != expected) {
            this->field.record.report(
                "session " + std::to_string(on.number) + " ran with \"" + reply.rows[1] +
                "\" in place of \"" + expected + "\"");
        }
    } else if (good) {
        this->field.record.report("an answer of other rows in " + operation.item);
    }
    this->finish(operation, reply);
    return good;
}

bool soak_caller::write(session& on) {
    soak_operation const operation = this->make(on, true);
    auto const reply =
        this->ask(on, this->text_of(on, true, operation.item + " " + operation.data));
    this->finish(operation, reply);
    return !reply.closed && reply.error.empty();
}

/// Some end with a rollback, and some callers leave in the middle.
bool soak_caller::write_transaction(session& on) {
    if (!on.line->query("BEGIN").error.empty()) {
        return false;
    }
    soak_operation operation = this->make(on, true);
    auto reply =
        this->ask(on, this->text_of(on, true, operation.item + " " + operation.data));
    if (reply.closed || !reply.error.empty()) {
        // Its COMMIT was never sent, so nothing may be kept.
        this->finish(operation, reply);
        return false;
    }
    std::this_thread::sleep_for(milliseconds(this->draw(0, 20)));
    std::int64_t const course = this->draw(0, 9);
    if (course == 0) {
        operation.ended = std::chrono::steady_clock::now();
        operation.outcome = soak_outcome::not_run;
        this->field.record.add(operation);
        return false;
    }
    auto const inside = this->ask(on, this->text_of(on, false, operation.item));
    bool const seen = inside.closed || !inside.error.empty() ||
                      (!inside.rows.empty() && inside.rows[0] == operation.data);
    if (!seen) {
        this->field.record.report(
            "a transaction did not see its own write " + operation.data);
    }
    if (inside.closed || !inside.error.empty()) {
        operation.ended = std::chrono::steady_clock::now();
        operation.outcome = soak_outcome::not_run;
        this->field.record.add(operation);
        return false;
    }
    operation.begun = std::chrono::steady_clock::now();
    reply = on.line->query(course == 1 ? "ROLLBACK" : "COMMIT");
    if (course == 1) {
        operation.ended = std::chrono::steady_clock::now();
        operation.outcome = soak_outcome::not_run;
        this->field.record.add(operation);
    } else {
        this->finish(operation, reply);
    }
    return !reply.closed && reply.error.empty() && reply.state == "I";
}

bool soak_caller::set_value(session& on) {
    std::string const name = this->draw(0, 1) == 0 ? "lang" : "zone";
    std::string const value = std::to_string(on.number) + "." + odd_text(this->random);
    auto const reply = on.line->query("SET " + name + " " + value);
    return !reply.closed && reply.error.empty();
}

/// Under a name that may stand for another shape of the session.
bool soak_caller::prepare(session& on) {
    std::string const name = prepared_names[static_cast<std::size_t>(
        this->draw(0, prepared_names.size() - 1))];
    std::string const access = this->draw(0, 1) == 0 ? "READ" : "WRITE";
    auto const reply =
        on.line->query("PREPARE " + name + " " + access + " " + odd_text(this->random));
    return !reply.closed && reply.error.empty();
}

bool soak_caller::deallocate(session& on) {
    auto const& names = on.line->prepared();
    if (names.empty()) {
        return true;
    }
    auto const reply = this->ask(on, "DEALLOCATE " + names.begin()->first);
    return !reply.closed && reply.error.empty();
}

void flood(soak_field field, std::string const& key) {
    std::size_t host = 0;
    while (!field.over) {
        recorded_caller caller(
            field.hosts[++host % field.hosts.size()],
            "s" + std::to_string(++field.last_session) + ".", field.record.statements(),
            patience);
        auto reply = caller.start("browse", key);
        while (!field.over && !reply.closed && reply.error != "DENIED") {
            reply = caller.query("READ c0-0");
            std::this_thread::sleep_for(flood_pause);
        }
        std::this_thread::sleep_for(pause_after_failure);
    }
}

} // namespace persimmonpoint::tests
