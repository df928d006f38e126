#include <persimmonpoint/platform/line_codec.hpp>
#include <support/statement_record.hpp>

namespace persimmonpoint::tests {

namespace {

using platform::take_word;
using standin::line_group;

constexpr std::string_view own_id = "-";

/// What follows the name of an EXECUTE, with the blank before it; nothing if the text is
/// no EXECUTE.
std::optional<std::string_view> behind_name(std::string_view text) {
    std::string_view rest = text;
    if (take_word(rest) != "EXECUTE") {
        return std::nullopt;
    }
    std::size_t const end = std::min(rest.find(' '), rest.size());
    return rest.substr(end);
}

bool is_same_text(std::string_view sent, std::string_view ran) {
    auto const arguments = behind_name(sent);
    return arguments ? arguments == behind_name(ran) : sent == ran;
}

bool is_same_shape(
    std::optional<line_group::prepared_statement> const& sent,
    std::optional<line_group::prepared_statement> const& ran) {
    if (!sent || !ran) {
        return !sent && !ran;
    }
    return sent->writes == ran->writes && sent->shape == ran->shape;
}

std::string describe(std::optional<line_group::prepared_statement> const& prepared) {
    if (!prepared) {
        return "nothing";
    }
    return (prepared->writes ? "WRITE \"" : "READ \"") + prepared->shape + "\"";
}

std::string describe(line_group::session_values const& values) {
    std::string text;
    for (auto const& [name, value] : values) {
        text.append(" ").append(name).append("=\"").append(value).append("\"");
    }
    return text.empty() ? " none" : text;
}

std::string place(line_group::ran_statement const& ran) {
    return ": " + ran.id + " on " + ran.database + " ran \"" + ran.text + "\"";
}

/// What is wrong with a run of a statement that was sent; empty if nothing is.
std::string compare(sent_statement const& sent, line_group::ran_statement const& ran) {
    if (!is_same_text(sent.text, ran.text)) {
        return "a database ran what nobody sent" + place(ran) + ", sent as \"" +
               sent.text + "\"";
    }
    if (!is_same_shape(sent.prepared, ran.prepared)) {
        return "ran another shape than its caller prepared" + place(ran) + " as " +
               describe(ran.prepared) + ", prepared as " + describe(sent.prepared);
    }
    if (sent.values != *ran.values) {
        return "ran with other session values" + place(ran) + " with" +
               describe(*ran.values) + ", acknowledged:" + describe(sent.values);
    }
    return {};
}

/// Reads may be asked for by the system itself; it has nothing to write or to commit.
bool is_systems_own(line_group::ran_statement const& ran) {
    return ran.id == own_id && ran.text.rfind("READ ", 0) == 0;
}

} // namespace

void statement_record::add(sent_statement statement) {
    std::scoped_lock const lock(this->guard);
    this->statements.push_back(std::move(statement));
}

std::vector<sent_statement> statement_record::all() const {
    std::scoped_lock const lock(this->guard);
    return this->statements;
}

std::vector<std::string> check_runs(
    std::vector<sent_statement> const& sent,
    std::vector<line_group::ran_statement> const& ran) {
    std::vector<std::string> found;
    std::map<std::string_view, sent_statement const*> by_id;
    for (sent_statement const& each : sent) {
        if (!by_id.emplace(each.id, &each).second) {
            found.push_back("callers sent two statements with the id " + each.id);
        }
    }
    for (line_group::ran_statement const& each : ran) {
        auto const known = by_id.find(each.id);
        std::string wrong;
        if (known != by_id.end()) {
            wrong = compare(*known->second, each);
        } else if (!is_systems_own(each)) {
            wrong = "a database ran what nobody sent" + place(each);
        }
        if (!wrong.empty()) {
            found.push_back(std::move(wrong));
        }
    }
    return found;
}

recorded_caller::recorded_caller(
    std::uint16_t port,
    std::string const& id_prefix,
    statement_record& record,
    std::chrono::milliseconds patience)
    : line(port, patience, id_prefix), record(record) {}

line_caller::reply
recorded_caller::start(std::string const& database, std::string const& key) {
    return this->line.start(database, key);
}

line_caller::reply recorded_caller::query(std::string const& text) {
    this->note(text);
    auto const reply = this->line.query(text);
    if (!reply.closed && reply.error.empty()) {
        this->learn(text);
    }
    return reply;
}

void recorded_caller::note(std::string const& text) {
    sent_statement statement{this->line.next_id(), text, std::nullopt, this->set};
    std::string_view rest = text;
    if (take_word(rest) == "EXECUTE") {
        auto const found = this->names.find(std::string(take_word(rest)));
        if (found != this->names.end()) {
            statement.prepared = found->second;
        }
    }
    this->record.add(std::move(statement));
}

void recorded_caller::learn(std::string_view text) {
    std::string_view const word = take_word(text);
    if (word == "SET") {
        std::string const name(take_word(text));
        this->set[name] = text;
    } else if (word == "PREPARE") {
        std::string const name(take_word(text));
        bool const writes = take_word(text) == "WRITE";
        this->names[name] = {writes, std::string(text)};
    } else if (word == "DEALLOCATE") {
        this->names.erase(std::string(take_word(text)));
    }
}

} // namespace persimmonpoint::tests
