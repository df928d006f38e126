#include <algorithm>
#include <charconv>
#include <persimmonpoint/standin/tables.hpp>

namespace persimmonpoint::standin {

namespace {

std::optional<std::int64_t> as_number(std::string_view text) {
    std::int64_t number = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// Carries an SQL error out of nested evaluation.
struct sql_failure {
    error what;
};

struct lock_wait {};

[[noreturn]] void fail(std::string sqlstate, std::string message) {
    throw sql_failure{error{std::move(sqlstate), std::move(message)}};
}

value truth(bool condition) {
    return value(condition ? "t" : "f");
}

std::int64_t number_of(value const& operand) {
    auto const number = operand ? as_number(*operand) : std::nullopt;
    if (!number) {
        fail(
            "22P02",
            "invalid input syntax for type bigint: \"" + operand.value_or("") + "\"");
    }
    return *number;
}

int compare(std::string const& left, std::string const& right) {
    auto const a = as_number(left);
    auto const b = as_number(right);
    if (a && b) {
        return *a < *b ? -1 : (*a > *b ? 1 : 0);
    }
    if (a || b) {
        return a ? -1 : 1; // Numbers sort before texts, so that the order is total.
    }
    return left.compare(right);
}

value compute(std::string const& op, value const& left, value const& right) {
    if (op == "is") {
        return truth(!left.has_value());
    }
    if (op == "is not") {
        return truth(left.has_value());
    }
    if (op == "and" || op == "or") {
        bool const a = left == "t";
        bool const b = right == "t";
        return truth(op == "and" ? a && b : a || b);
    }
    if (!left || !right) {
        return std::nullopt;
    }
    if (op == "||") {
        return *left + *right;
    }
    if (op == "+") {
        return std::to_string(number_of(left) + number_of(right));
    }
    if (op == "-") {
        return std::to_string(number_of(left) - number_of(right));
    }
    if (op == "*") {
        return std::to_string(number_of(left) * number_of(right));
    }
    if (op == "/") {
        if (number_of(right) == 0) {
            fail("22012", "division by zero");
        }
        return std::to_string(number_of(left) / number_of(right));
    }
    int const order = compare(*left, *right);
    if (op == "=") {
        return truth(order == 0);
    }
    if (op == "<>" || op == "!=") {
        return truth(order != 0);
    }
    if (op == "<") {
        return truth(order < 0);
    }
    if (op == ">") {
        return truth(order > 0);
    }
    return truth(op == "<=" ? order <= 0 : order >= 0);
}

bool is_aggregate(expression const& each) {
    return each.kind == expression_kind::call &&
           (each.text == "count" || each.text == "sum" || each.text == "max" ||
            each.text == "min");
}

class executor {
public:
    executor(
        sql_statement const& statement,
        std::span<value const> parameters,
        data_access access)
        : statement(statement), parameters(parameters), access(access) {}

    answer run() {
        switch (this->statement.kind) {
        case sql_kind::select:
            return this->select();
        case sql_kind::insert:
            return this->insert();
        case sql_kind::update:
            return this->update();
        case sql_kind::remove:
            return this->remove();
        case sql_kind::create_table:
            return this->create();
        default:
            fail("0A000", "statement is not in the stand-in's subset");
        }
    }

    std::vector<output_column> output_columns() {
        if (!this->statement.table.empty()) {
            this->open_table();
        }
        std::vector<output_column> columns;
        for (expression const& each : this->statement.outputs) {
            if (each.kind == expression_kind::star && this->source != nullptr) {
                for (column_definition const& column : this->source->columns) {
                    columns.push_back(output_column{column.name, column.type});
                }
                continue;
            }
            columns.push_back(
                output_column{this->output_name(each), this->output_type(each)});
        }
        return columns;
    }

private:
    void open_table() {
        std::string const& name = this->statement.table;
        this->system_source = this->access.system.system_table(name);
        if (this->system_source) {
            this->source = this->system_source.get();
            return;
        }
        auto const created = this->access.own.created.find(name);
        this->source = created != this->access.own.created.end()
                           ? created->second.get()
                           : this->access.committed.find(name);
        if (this->source == nullptr) {
            fail("42P01", "relation \"" + name + "\" does not exist");
        }
    }

    std::size_t column_index(std::string const& name) const {
        if (this->source != nullptr) {
            auto const& columns = this->source->columns;
            auto const found = std::ranges::find(columns, name, &column_definition::name);
            if (found != columns.end()) {
                return static_cast<std::size_t>(found - columns.begin());
            }
        }
        fail("42703", "column \"" + name + "\" does not exist");
    }

    std::string output_name(expression const& each) const {
        if (!each.alias.empty()) {
            return each.alias;
        }
        bool const named =
            each.kind == expression_kind::column || each.kind == expression_kind::call;
        return named ? each.text : "?column?";
    }

    std::uint32_t output_type(expression const& each) const {
        if (each.type != 0) {
            return each.type;
        }
        if (each.kind == expression_kind::column) {
            return this->source->columns[this->column_index(each.text)].type;
        }
        if (each.kind == expression_kind::call) {
            return each.text == "count" || each.text == "sum" ? int8_oid : text_oid;
        }
        if (each.kind == expression_kind::binary) {
            if (each.text == "||") {
                return text_oid;
            }
            bool const arithmetic =
                std::string_view("+-*/").find(each.text[0]) != std::string_view::npos;
            return arithmetic ? this->output_type(each.arguments[0]) : bool_oid;
        }
        return text_oid;
    }

    value evaluate(expression const& each, row const* current) {
        switch (each.kind) {
        case expression_kind::literal:
            return each.text;
        case expression_kind::null:
        case expression_kind::star:
            return std::nullopt;
        case expression_kind::parameter:
            if (each.parameter == 0 || each.parameter > this->parameters.size()) {
                fail(
                    "08P01",
                    "parameter $" + std::to_string(each.parameter) + " was not bound");
            }
            return this->parameters[each.parameter - 1];
        case expression_kind::column: {
            std::size_t const index = this->column_index(each.text);
            return current == nullptr ? std::nullopt : (*current)[index];
        }
        case expression_kind::binary: {
            value const left = this->evaluate(each.arguments[0], current);
            return compute(each.text, left, this->evaluate(each.arguments[1], current));
        }
        case expression_kind::call:
            return this->call(each, current);
        }
        return std::nullopt;
    }

    value call(expression const& each, row const* current) {
        std::vector<value> arguments;
        for (expression const& argument : each.arguments) {
            arguments.push_back(this->evaluate(argument, current));
        }
        if (each.text == "repeat" && arguments.size() == 2 && arguments[0]) {
            std::string out;
            for (std::int64_t i = number_of(arguments[1]); i > 0; --i) {
                out += *arguments[0];
            }
            return out;
        }
        if (each.text == "length" && arguments.size() == 1 && arguments[0]) {
            return std::to_string(arguments[0]->size());
        }
        auto called = this->access.system.call(each.text, arguments);
        if (!called) {
            fail("42883", "function " + each.text + " does not exist");
        }
        if (!*called) {
            throw sql_failure{called->error()};
        }
        return called->value();
    }

    /// The key that the condition pins the primary key to, if it does.
    std::optional<std::string> pinned_key(expression const& condition) {
        if (condition.kind != expression_kind::binary) {
            return std::nullopt;
        }
        if (condition.text == "and") {
            auto const left = this->pinned_key(condition.arguments[0]);
            return left ? left : this->pinned_key(condition.arguments[1]);
        }
        expression const& column = condition.arguments[0];
        bool const pins = condition.text == "=" &&
                          column.kind == expression_kind::column &&
                          this->column_index(column.text) == this->source->primary_key;
        if (!pins) {
            return std::nullopt;
        }
        return this->evaluate(condition.arguments[1], nullptr);
    }

    std::optional<row> visible(std::string const& key) const {
        auto const overlay = this->access.own.rows.find(this->statement.table);
        if (overlay != this->access.own.rows.end()) {
            auto const own = overlay->second.find(key);
            if (own != overlay->second.end()) {
                return own->second;
            }
        }
        auto const found = this->source->rows.find(key);
        return found == this->source->rows.end() ? std::nullopt
                                                 : std::optional<row>(found->second);
    }

    std::vector<std::string> candidate_keys() {
        std::vector<std::string> keys;
        if (this->statement.where) {
            if (auto const pinned = this->pinned_key(*this->statement.where)) {
                keys.push_back(*pinned);
                return keys;
            }
        }
        for (auto const& each : this->source->rows) {
            keys.push_back(each.first);
        }
        auto const overlay = this->access.own.rows.find(this->statement.table);
        if (overlay != this->access.own.rows.end()) {
            for (auto const& each : overlay->second) {
                if (!this->source->rows.contains(each.first)) {
                    keys.push_back(each.first);
                }
            }
        }
        return keys;
    }

    bool matches(row const& each) {
        return !this->statement.where ||
               this->evaluate(*this->statement.where, &each) == "t";
    }

    std::vector<std::pair<std::string, row>> matching_rows() {
        std::vector<std::pair<std::string, row>> out;
        for (std::string const& key : this->candidate_keys()) {
            auto current = this->visible(key);
            if (current && this->matches(*current)) {
                out.emplace_back(key, std::move(*current));
            }
        }
        return out;
    }

    void lock(std::string const& key) {
        if (!this->access.locks.acquire(this->statement.table, key, this->access.owner)) {
            throw lock_wait{};
        }
    }

    /// The rows a change is about, locked, and read after the lock.
    std::vector<std::pair<std::string, row>> locked_rows() {
        auto const found = this->matching_rows();
        for (auto const& each : found) {
            this->lock(each.first);
        }
        return this->matching_rows();
    }

    void record(std::string const& key, std::optional<row> after) {
        this->access.own.rows[this->statement.table][key] = after;
        this->access.own.steps.push_back(
            change{this->statement.table, key, std::move(after), nullptr});
    }

    row project(row const& current) {
        row out;
        for (expression const& each : this->statement.outputs) {
            if (each.kind == expression_kind::star) {
                out.insert(out.end(), current.begin(), current.end());
            } else {
                out.push_back(this->evaluate(each, &current));
            }
        }
        return out;
    }

    answer started() {
        answer out;
        out.returns_rows = !this->statement.outputs.empty();
        if (out.returns_rows) {
            out.columns = this->output_columns();
        }
        return out;
    }

    answer select() {
        answer out = this->started();
        if (this->statement.table.empty()) {
            out.rows.push_back(this->project(row{}));
            out.tag = "SELECT 1";
            return out;
        }
        auto found =
            this->statement.for_update ? this->locked_rows() : this->matching_rows();
        if (is_aggregate(this->statement.outputs[0])) {
            out.rows.push_back(this->aggregate(found));
        } else {
            this->sort(found);
            for (auto const& each : found) {
                out.rows.push_back(this->project(each.second));
            }
        }
        out.tag = "SELECT " + std::to_string(out.rows.size());
        return out;
    }

    void sort(std::vector<std::pair<std::string, row>>& found) {
        if (!this->statement.order_by.empty()) {
            std::size_t const index = this->column_index(this->statement.order_by);
            std::ranges::stable_sort(found, [&](auto const& a, auto const& b) {
                return compare(
                           a.second[index].value_or(""), b.second[index].value_or("")) <
                       0;
            });
            if (this->statement.descending) {
                std::ranges::reverse(found);
            }
        }
        if (this->statement.limit && found.size() > *this->statement.limit) {
            found.resize(*this->statement.limit);
        }
    }

    row aggregate(std::vector<std::pair<std::string, row>> const& found) {
        row out;
        for (expression const& each : this->statement.outputs) {
            out.push_back(this->aggregate_one(each, found));
        }
        return out;
    }

    value aggregate_one(
        expression const& each, std::vector<std::pair<std::string, row>> const& found) {
        if (each.text == "count") {
            return std::to_string(found.size());
        }
        value total;
        for (auto const& entry : found) {
            value const item = this->evaluate(each.arguments.at(0), &entry.second);
            if (!item) {
                continue;
            }
            if (!total) {
                total = item;
            } else if (each.text == "sum") {
                total = std::to_string(number_of(total) + number_of(item));
            } else if ((compare(*item, *total) > 0) == (each.text == "max")) {
                total = item;
            }
        }
        return total;
    }

    row new_row(std::vector<expression> const& values) {
        row out(this->source->columns.size());
        for (std::size_t i = 0; i < values.size(); ++i) {
            bool const named = !this->statement.columns.empty();
            if (i >= (named ? this->statement.columns.size() : out.size())) {
                fail("42601", "INSERT has more expressions than target columns");
            }
            std::size_t const index =
                named ? this->column_index(this->statement.columns[i]) : i;
            out[index] = this->evaluate(values[i], nullptr);
        }
        if (!out[this->source->primary_key]) {
            fail(
                "23502", "null value in column \"" +
                             this->source->columns[this->source->primary_key].name +
                             "\" violates not-null constraint");
        }
        return out;
    }

    row assigned(row current) {
        row out = current;
        for (assignment const& each : this->statement.assignments) {
            out[this->column_index(each.column)] = this->evaluate(each.value, &current);
        }
        return out;
    }

    answer insert() {
        this->open_table();
        answer out = this->started();
        std::size_t count = 0;
        for (auto const& values : this->statement.values) {
            row fresh = this->new_row(values);
            std::string const key = *fresh[this->source->primary_key];
            this->lock(key);
            auto current = this->visible(key);
            if (current && this->statement.conflict == on_conflict::fail) {
                fail(
                    "23505", "duplicate key value violates unique constraint \"" +
                                 this->statement.table + "_pkey\"");
            }
            if (current && this->statement.conflict == on_conflict::nothing) {
                continue;
            }
            if (current) {
                fresh = this->assigned(*current);
            }
            ++count;
            if (out.returns_rows) {
                out.rows.push_back(this->project(fresh));
            }
            this->record(key, std::move(fresh));
        }
        out.tag = "INSERT 0 " + std::to_string(count);
        return out;
    }

    answer update() {
        this->open_table();
        answer out = this->started();
        auto found = this->locked_rows();
        for (auto& each : found) {
            row fresh = this->assigned(std::move(each.second));
            if (out.returns_rows) {
                out.rows.push_back(this->project(fresh));
            }
            this->record(each.first, std::move(fresh));
        }
        out.tag = "UPDATE " + std::to_string(found.size());
        return out;
    }

    answer remove() {
        this->open_table();
        answer out = this->started();
        auto const found = this->locked_rows();
        for (auto const& each : found) {
            if (out.returns_rows) {
                out.rows.push_back(this->project(each.second));
            }
            this->record(each.first, std::nullopt);
        }
        out.tag = "DELETE " + std::to_string(found.size());
        return out;
    }

    answer create() {
        answer out;
        out.tag = "CREATE TABLE";
        std::string const& name = this->statement.table;
        bool const exists = this->access.committed.find(name) != nullptr ||
                            this->access.own.created.contains(name);
        if (exists && !this->statement.if_not_exists) {
            fail("42P07", "relation \"" + name + "\" already exists");
        }
        if (exists) {
            return out;
        }
        table fresh;
        fresh.columns = this->statement.definitions;
        fresh.primary_key = this->statement.primary_key;
        auto const shared = std::make_shared<table const>(std::move(fresh));
        this->access.own.created[name] = shared;
        this->access.own.steps.push_back(change{name, "", std::nullopt, shared});
        return out;
    }

    sql_statement const& statement;
    std::span<value const> parameters;
    data_access access;
    std::shared_ptr<table const> system_source;
    table const* source = nullptr;
};

} // namespace

bool key_less::operator()(std::string const& left, std::string const& right) const {
    return compare(left, right) < 0;
}

table const* table_set::find(std::string const& name) const {
    auto const found = this->tables.find(name);
    return found == this->tables.end() ? nullptr : &found->second;
}

void table_set::apply(change const& step) {
    if (step.created_table) {
        this->tables.try_emplace(step.table_name, *step.created_table);
        return;
    }
    auto& rows = this->tables[step.table_name].rows;
    if (step.after) {
        rows[step.key] = *step.after;
    } else {
        rows.erase(step.key);
    }
}

void table_set::clear() {
    this->tables.clear();
}

bool row_locks::acquire(
    std::string const& table_name, std::string const& key, std::uint64_t owner) {
    auto const [entry, fresh] = this->owners.try_emplace({table_name, key}, owner);
    return fresh || entry->second == owner;
}

void row_locks::release_all(std::uint64_t owner) {
    std::erase_if(
        this->owners, [owner](auto const& each) { return each.second == owner; });
}

execution execute(
    sql_statement const& statement,
    std::span<value const> parameters,
    data_access access) {
    try {
        return executor(statement, parameters, access).run();
    } catch (sql_failure const& failure) {
        return failure.what;
    } catch (lock_wait const&) {
        return blocked{};
    }
}

result<std::vector<output_column>>
describe(sql_statement const& statement, data_access access) {
    try {
        return executor(statement, {}, access).output_columns();
    } catch (sql_failure const& failure) {
        return failure.what;
    }
}

} // namespace persimmonpoint::standin
