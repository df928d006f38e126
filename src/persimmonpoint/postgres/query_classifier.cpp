#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <list>
#include <persimmonpoint/postgres/query_classifier.hpp>
#include <pg_query.h>
#include <unordered_map>

namespace persimmonpoint::postgres {

namespace json = boost::json;

namespace {

/// Longer texts are classified each time, so that the cache stays small (bytes).
constexpr std::size_t max_cached_text = 4096;

/// Functions known to write nothing and to leave nothing on the connection.
constexpr std::array<std::string_view, 47> read_only_functions = {
    "abs",       "age",         "array_agg",  "avg",        "bool_and",   "bool_or",
    "ceil",      "char_length", "chr",        "coalesce",   "concat",     "concat_ws",
    "count",     "date_part",   "date_trunc", "dense_rank", "extract",    "first_value",
    "floor",     "format",      "greatest",   "json_agg",   "lag",        "last_value",
    "lead",      "least",       "left",       "length",     "lower",      "max",
    "md5",       "min",         "mod",        "now",        "nullif",     "rank",
    "repeat",    "replace",     "right",      "round",      "row_number", "string_agg",
    "substring", "sum",         "to_char",    "trim",       "upper"};

bool is_read_only_function(std::string_view name) {
    return std::ranges::find(read_only_functions, name) != read_only_functions.end();
}

std::string_view string_at(json::object const& object, std::string_view key) {
    json::value const* value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string_view(value->get_string())
                                                  : std::string_view();
}

bool flag_at(json::object const& object, std::string_view key) {
    json::value const* value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

/// What a walk over a statement's tree found.
struct tree_facts {
    bool writes = false;
    bool calls_unknown_function = false;
};

std::string_view function_name(json::object const& call) {
    json::value const* names = call.if_contains("funcname");
    if (names == nullptr || !names->is_array() || names->get_array().empty()) {
        return {};
    }
    json::value const& last = names->get_array().back();
    json::value const* text =
        last.is_object() ? last.get_object().if_contains("String") : nullptr;
    return text != nullptr && text->is_object() ? string_at(text->get_object(), "sval")
                                                : std::string_view();
}

bool is_writing_node(std::string_view name) {
    return name == "InsertStmt" || name == "UpdateStmt" || name == "DeleteStmt" ||
           name == "MergeStmt" || name == "intoClause" || name == "lockingClause";
}

void inspect(json::value const& node, tree_facts& facts) {
    if (node.is_array()) {
        for (json::value const& each : node.get_array()) {
            inspect(each, facts);
        }
        return;
    }
    if (!node.is_object()) {
        return;
    }
    for (auto const& [key, value] : node.get_object()) {
        facts.writes = facts.writes || is_writing_node(key);
        if (key == "FuncCall" && value.is_object() &&
            !is_read_only_function(function_name(value.get_object()))) {
            facts.calls_unknown_function = true;
        }
        inspect(value, facts);
    }
}

/// The text of a constant, as SET takes it.
std::string constant_text(json::value const& node) {
    json::value const* constant =
        node.is_object() ? node.get_object().if_contains("A_Const") : nullptr;
    if (constant == nullptr || !constant->is_object()) {
        return {};
    }
    json::object const& fields = constant->get_object();
    if (json::value const* text = fields.if_contains("sval")) {
        return std::string(string_at(text->as_object(), "sval"));
    }
    if (json::value const* decimal = fields.if_contains("fval")) {
        return std::string(string_at(decimal->as_object(), "fval"));
    }
    if (json::value const* boolean = fields.if_contains("boolval")) {
        return flag_at(boolean->as_object(), "boolval") ? "on" : "off";
    }
    json::value const* integer = fields.if_contains("ival");
    if (integer == nullptr) {
        return {};
    }
    json::value const* value = integer->as_object().if_contains("ival");
    return value == nullptr ? "0"
                            : json::serialize(*value); // Zero is left out of the tree.
}

void classify_set(json::object const& node, classified_statement& statement) {
    std::string_view const kind = string_at(node, "kind");
    statement.parameter = string_at(node, "name");
    statement.local = flag_at(node, "is_local");
    statement.changes_session = !statement.local;
    if (kind == "VAR_RESET_ALL") {
        statement.kind = statement_kind::reset;
        statement.parameter = "all";
        return;
    }
    if (kind == "VAR_RESET" || kind == "VAR_SET_DEFAULT") {
        statement.kind = statement_kind::reset;
        return;
    }
    statement.kind = statement_kind::set;
    if (kind != "VAR_SET_VALUE") {
        // SET TRANSACTION is for the open transaction; the rest would outlive it.
        statement.kind = statement_kind::write;
        statement.unsupported = statement.parameter == "SESSION CHARACTERISTICS";
        return;
    }
    json::value const* values = node.if_contains("args");
    if (values == nullptr || !values->is_array()) {
        return;
    }
    for (json::value const& each : values->get_array()) {
        statement.value += statement.value.empty() ? "" : ", ";
        statement.value += constant_text(each);
    }
}

bool is_read_only_transaction(json::object const& node) {
    json::value const* options = node.if_contains("options");
    if (options == nullptr || !options->is_array()) {
        return false;
    }
    std::string const text = json::serialize(*options);
    return text.find(
               R"("defname":"transaction_read_only","arg":{"A_Const":{"ival":{"ival":1})") !=
           std::string::npos;
}

void classify_transaction(json::object const& node, classified_statement& statement) {
    std::string_view const kind = string_at(node, "kind");
    bool const chained = flag_at(node, "chain");
    if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
        statement.kind = statement_kind::begin;
        statement.read_only = is_read_only_transaction(node);
    } else if (kind == "TRANS_STMT_COMMIT") {
        statement.kind = statement_kind::commit;
    } else if (kind == "TRANS_STMT_ROLLBACK") {
        statement.kind = statement_kind::rollback;
    } else {
        // Savepoints run as they are; two-phase commit would outlive the connection.
        statement.kind = statement_kind::write;
        statement.unsupported = kind.find("PREPARED") != std::string_view::npos ||
                                kind == "TRANS_STMT_PREPARE";
    }
    statement.unsupported = statement.unsupported || chained;
}

/// Statements whose effect is bound to one connection for longer than a transaction.
bool is_connection_bound(std::string_view type) {
    return type == "ListenStmt" || type == "UnlistenStmt" || type == "CopyStmt" ||
           type == "PrepareStmt" || type == "ExecuteStmt" || type == "DeallocateStmt" ||
           type == "DeclareCursorStmt" || type == "FetchStmt" ||
           type == "ClosePortalStmt" || type == "LoadStmt";
}

bool is_plain_change(std::string_view type) {
    return type == "InsertStmt" || type == "UpdateStmt" || type == "DeleteStmt" ||
           type == "MergeStmt";
}

void classify_node(
    std::string_view type, json::object const& node, classified_statement& out) {
    if (type == "TransactionStmt") {
        classify_transaction(node, out);
    } else if (type == "VariableSetStmt") {
        classify_set(node, out);
    } else if (type == "VariableShowStmt") {
        out.kind = statement_kind::show;
        out.parameter = string_at(node, "name");
    } else if (type == "DiscardStmt") {
        out.kind = statement_kind::reset;
        out.parameter = "all";
    } else if (type == "SelectStmt") {
        tree_facts facts;
        inspect(json::value(node), facts);
        bool const read = !facts.writes && !facts.calls_unknown_function;
        out.kind = read ? statement_kind::read : statement_kind::write;
        out.changes_session = facts.calls_unknown_function;
    } else if (is_plain_change(type)) {
        tree_facts facts;
        inspect(json::value(node), facts);
        out.changes_session = facts.calls_unknown_function;
    } else {
        out.changes_session = true;
        out.unsupported = is_connection_bound(type);
    }
}

std::string_view statement_text(json::object const& entry, std::string_view text) {
    auto const number = [&](char const* key) -> std::size_t {
        json::value const* value = entry.if_contains(key);
        return value == nullptr ? 0 : value->to_number<std::size_t>();
    };
    std::size_t const begin = std::min(number("stmt_location"), text.size());
    std::size_t const length = number("stmt_len");
    return text.substr(begin, length == 0 ? std::string_view::npos : length);
}

classified_query classify_tree(std::string_view tree, std::string_view text) {
    classified_query query;
    json::value const root = json::parse(tree);
    for (json::value const& entry : root.at("stmts").as_array()) {
        json::object const& fields = entry.as_object();
        classified_statement statement;
        statement.text = statement_text(fields, text);
        auto const& node = *fields.at("stmt").as_object().begin();
        classify_node(node.key(), node.value().as_object(), statement);
        query.push_back(std::move(statement));
    }
    return query;
}

/// Frees a parse result at the end of its scope.
class parse_result {
public:
    explicit parse_result(std::string const& text)
        : value(pg_query_parse(text.c_str())) {}
    parse_result(parse_result const&) = delete;
    parse_result& operator=(parse_result const&) = delete;
    ~parse_result() { pg_query_free_parse_result(this->value); }
    PgQueryParseResult const& get() const { return this->value; }

private:
    PgQueryParseResult value;
};

result<classified_query> parse(std::string_view text) {
    parse_result const parsed{std::string(text)};
    if (parsed.get().error != nullptr) {
        return error{"42601", parsed.get().error->message};
    }
    try {
        return classify_tree(parsed.get().parse_tree, text);
    } catch (std::exception const& failure) {
        return error{
            "42601", std::string("statement is nested too deeply: ") + failure.what()};
    }
}

} // namespace

struct query_classifier::implementation {
    struct entry {
        std::string text;
        std::shared_ptr<classified_query const> query;
    };

    std::size_t capacity = 0;
    std::list<entry> newest_first;
    std::unordered_map<std::string_view, std::list<entry>::iterator> by_text;

    std::shared_ptr<classified_query const> find(std::string_view text) {
        auto const found = this->by_text.find(text);
        if (found == this->by_text.end()) {
            return nullptr;
        }
        this->newest_first.splice(
            this->newest_first.begin(), this->newest_first, found->second);
        return found->second->query;
    }

    void keep(std::string_view text, std::shared_ptr<classified_query const> query) {
        if (text.size() > max_cached_text) {
            return;
        }
        this->newest_first.push_front(entry{std::string(text), std::move(query)});
        this->by_text.emplace(
            this->newest_first.front().text, this->newest_first.begin());
        if (this->newest_first.size() > this->capacity) {
            this->by_text.erase(this->newest_first.back().text);
            this->newest_first.pop_back();
        }
    }
};

query_classifier::query_classifier(std::size_t capacity)
    : impl(std::make_unique<implementation>()) {
    this->impl->capacity = capacity;
}

query_classifier::~query_classifier() = default;

result<std::shared_ptr<classified_query const>>
query_classifier::classify(std::string_view text) {
    if (auto known = this->impl->find(text)) {
        return known;
    }
    auto parsed = parse(text);
    if (!parsed) {
        return parsed.error();
    }
    auto query = std::make_shared<classified_query const>(std::move(parsed.value()));
    this->impl->keep(text, query);
    return std::shared_ptr<classified_query const>(std::move(query));
}

} // namespace persimmonpoint::postgres
