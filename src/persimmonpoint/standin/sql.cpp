#include <algorithm>
#include <cctype>
#include <persimmonpoint/standin/sql.hpp>
#include <stdexcept>

namespace persimmonpoint::standin {

namespace {

enum class token_kind { word, number, text, parameter, symbol, end };

struct token {
    token_kind kind = token_kind::end;
    std::string text; ///< Words in lower case.
};

struct syntax_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

bool is_word_start(char c) {
    return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_';
}
bool is_word(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '.';
}
bool is_digit(char c) {
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

class tokenizer {
public:
    explicit tokenizer(std::string_view text) : text(text) {}

    std::vector<token> run() {
        std::vector<token> tokens;
        do {
            tokens.push_back(this->next());
        } while (tokens.back().kind != token_kind::end);
        return tokens;
    }

private:
    char peek(std::size_t ahead = 0) const {
        return this->at + ahead < this->text.size() ? this->text[this->at + ahead] : '\0';
    }

    void skip_blanks() {
        while (this->at < this->text.size()) {
            if (std::isspace(static_cast<unsigned char>(this->peek())) != 0) {
                ++this->at;
            } else if (this->peek() == '-' && this->peek(1) == '-') {
                this->at = std::min(this->text.find('\n', this->at), this->text.size());
            } else {
                return;
            }
        }
    }

    template <class Predicate>
    std::string take_while(Predicate accept) {
        std::size_t const begin = this->at;
        while (this->at < this->text.size() && accept(this->text[this->at])) {
            ++this->at;
        }
        return std::string(this->text.substr(begin, this->at - begin));
    }

    std::string quoted(char quote) {
        std::string value;
        ++this->at;
        while (true) {
            if (this->at >= this->text.size()) {
                throw syntax_error("unterminated quoted string");
            }
            char const c = this->text[this->at++];
            if (c != quote) {
                value.push_back(c);
            } else if (this->peek() == quote) {
                value.push_back(quote);
                ++this->at;
            } else {
                return value;
            }
        }
    }

    token next() {
        this->skip_blanks();
        char const c = this->peek();
        if (this->at >= this->text.size()) {
            return token{};
        }
        if (is_word_start(c)) {
            std::string word = this->take_while(is_word);
            std::ranges::transform(word, word.begin(), [](unsigned char each) {
                return static_cast<char>(std::tolower(each));
            });
            return token{token_kind::word, std::move(word)};
        }
        if (is_digit(c)) {
            return token{token_kind::number, this->take_while([](char each) {
                             return is_digit(each) || each == '.';
                         })};
        }
        if (c == '$' && is_digit(this->peek(1))) {
            ++this->at;
            return token{token_kind::parameter, this->take_while(is_digit)};
        }
        if (c == '\'') {
            return token{token_kind::text, this->quoted('\'')};
        }
        if (c == '"') {
            return token{token_kind::word, this->quoted('"')};
        }
        for (std::string_view const pair : {"::", "||", "<=", ">=", "<>", "!="}) {
            if (this->text.substr(this->at, 2) == pair) {
                this->at += 2;
                return token{token_kind::symbol, std::string(pair)};
            }
        }
        ++this->at;
        return token{token_kind::symbol, std::string(1, c)};
    }

    std::string_view text;
    std::size_t at = 0;
};

std::uint32_t type_of(std::string_view name) {
    if (name == "int" || name == "integer" || name == "int4" || name == "serial") {
        return int4_oid;
    }
    if (name == "bigint" || name == "int8") {
        return int8_oid;
    }
    if (name == "bool" || name == "boolean") {
        return bool_oid;
    }
    return text_oid;
}

expression star() {
    expression out;
    out.kind = expression_kind::star;
    return out;
}

class parser {
public:
    explicit parser(std::vector<token> tokens) : tokens(std::move(tokens)) {}

    std::vector<sql_statement> run() {
        std::vector<sql_statement> statements;
        while (true) {
            while (this->accept(";")) {}
            if (this->current().kind == token_kind::end) {
                break;
            }
            this->parameter_count = 0;
            sql_statement statement = this->statement();
            statement.parameter_count = this->parameter_count;
            statements.push_back(std::move(statement));
            if (this->current().kind != token_kind::end) {
                this->expect(";");
            }
        }
        return statements;
    }

private:
    token const& current() const { return this->tokens[this->at]; }

    [[noreturn]] void fail() const {
        std::string const near = this->current().kind == token_kind::end
                                     ? "end of input"
                                     : this->current().text;
        throw syntax_error("syntax error at or near \"" + near + "\"");
    }

    bool is(std::string_view text) const {
        token const& each = this->current();
        return (each.kind == token_kind::word || each.kind == token_kind::symbol) &&
               each.text == text;
    }

    bool accept(std::string_view text) {
        if (!this->is(text)) {
            return false;
        }
        ++this->at;
        return true;
    }

    void expect(std::string_view text) {
        if (!this->accept(text)) {
            this->fail();
        }
    }

    std::string word() {
        if (this->current().kind != token_kind::word) {
            this->fail();
        }
        return this->tokens[this->at++].text;
    }

    void skip_to_end() {
        while (this->current().kind != token_kind::end && !this->is(";")) {
            ++this->at;
        }
    }

    sql_statement statement() {
        std::string const verb = this->word();
        if (verb == "select") {
            return this->select();
        }
        if (verb == "insert") {
            return this->insert();
        }
        if (verb == "update") {
            return this->update();
        }
        if (verb == "delete") {
            return this->remove();
        }
        if (verb == "create") {
            return this->create_table();
        }
        return this->utility(verb);
    }

    sql_statement utility(std::string const& verb) {
        sql_statement out;
        if (verb == "begin" || verb == "start") {
            out.kind = sql_kind::begin;
        } else if (verb == "commit" || verb == "end") {
            out.kind = sql_kind::commit;
        } else if (verb == "rollback" || verb == "abort") {
            out.kind = sql_kind::rollback;
        } else if (verb == "set") {
            out.kind = sql_kind::set;
        } else if (verb == "reset" || verb == "discard") {
            out.kind = sql_kind::discard;
        } else if (verb == "show") {
            out.kind = sql_kind::show;
            out.parameter = this->word();
        } else {
            --this->at;
            this->fail();
        }
        this->skip_to_end();
        return out;
    }

    sql_statement select() {
        sql_statement out;
        out.kind = sql_kind::select;
        out.outputs = this->outputs();
        if (this->accept("from")) {
            out.table = this->word();
        }
        this->where(out);
        if (this->accept("order")) {
            this->expect("by");
            out.order_by = this->word();
            out.descending = this->accept("desc");
            this->accept("asc");
        }
        if (this->accept("limit")) {
            out.limit = std::stoull(this->tokens[this->at++].text);
        }
        if (this->accept("for")) {
            this->expect("update");
            out.for_update = true;
        }
        return out;
    }

    std::vector<expression> outputs() {
        std::vector<expression> out;
        do {
            if (this->accept("*")) {
                out.push_back(star());
                continue;
            }
            out.push_back(this->parse_expression());
            if (this->accept("as")) {
                out.back().alias = this->word();
            }
        } while (this->accept(","));
        return out;
    }

    void where(sql_statement& out) {
        if (this->accept("where")) {
            out.where = this->parse_expression();
        }
    }

    void returning(sql_statement& out) {
        if (this->accept("returning")) {
            out.outputs = this->outputs();
        }
    }

    std::vector<std::string> names_in_parentheses() {
        std::vector<std::string> names;
        this->expect("(");
        do {
            names.push_back(this->word());
        } while (this->accept(","));
        this->expect(")");
        return names;
    }

    sql_statement insert() {
        sql_statement out;
        out.kind = sql_kind::insert;
        this->expect("into");
        out.table = this->word();
        if (this->is("(")) {
            out.columns = this->names_in_parentheses();
        }
        this->expect("values");
        do {
            this->expect("(");
            std::vector<expression> row;
            do {
                row.push_back(this->parse_expression());
            } while (this->accept(","));
            this->expect(")");
            out.values.push_back(std::move(row));
        } while (this->accept(","));
        this->conflict(out);
        this->returning(out);
        return out;
    }

    void conflict(sql_statement& out) {
        if (!this->accept("on")) {
            return;
        }
        this->expect("conflict");
        if (this->is("(")) {
            this->names_in_parentheses();
        }
        this->expect("do");
        if (this->accept("nothing")) {
            out.conflict = on_conflict::nothing;
            return;
        }
        this->expect("update");
        this->expect("set");
        out.conflict = on_conflict::update;
        out.assignments = this->assignments();
    }

    std::vector<assignment> assignments() {
        std::vector<assignment> out;
        do {
            assignment each;
            each.column = this->word();
            this->expect("=");
            each.value = this->parse_expression();
            out.push_back(std::move(each));
        } while (this->accept(","));
        return out;
    }

    sql_statement update() {
        sql_statement out;
        out.kind = sql_kind::update;
        out.table = this->word();
        this->expect("set");
        out.assignments = this->assignments();
        this->where(out);
        this->returning(out);
        return out;
    }

    sql_statement remove() {
        sql_statement out;
        out.kind = sql_kind::remove;
        this->expect("from");
        out.table = this->word();
        this->where(out);
        this->returning(out);
        return out;
    }

    sql_statement create_table() {
        sql_statement out;
        out.kind = sql_kind::create_table;
        this->expect("table");
        if (this->accept("if")) {
            this->expect("not");
            this->expect("exists");
            out.if_not_exists = true;
        }
        out.table = this->word();
        this->expect("(");
        do {
            column_definition column;
            column.name = this->word();
            column.type = type_of(this->word());
            if (this->accept("primary")) {
                this->expect("key");
                out.primary_key = out.definitions.size();
            }
            if (this->accept("not")) {
                this->expect("null");
            }
            out.definitions.push_back(std::move(column));
        } while (this->accept(","));
        this->expect(")");
        return out;
    }

    expression binary(std::string op, expression left, expression right) {
        expression out;
        out.kind = expression_kind::binary;
        out.text = std::move(op);
        out.arguments.push_back(std::move(left));
        out.arguments.push_back(std::move(right));
        return out;
    }

    expression parse_expression() {
        expression left = this->comparison();
        while (this->is("and") || this->is("or")) {
            std::string op = this->word();
            left = this->binary(std::move(op), std::move(left), this->comparison());
        }
        return left;
    }

    expression comparison() {
        expression left = this->sum();
        if (this->accept("is")) {
            bool const negated = this->accept("not");
            this->expect("null");
            return this->binary(negated ? "is not" : "is", std::move(left), expression{});
        }
        for (std::string_view const op : {"=", "<>", "!=", "<=", ">=", "<", ">"}) {
            if (this->accept(op)) {
                return this->binary(std::string(op), std::move(left), this->sum());
            }
        }
        return left;
    }

    expression sum() {
        expression left = this->primary();
        while (this->is("+") || this->is("-") || this->is("||") || this->is("*") ||
               this->is("/")) {
            std::string op = this->current().text;
            ++this->at;
            left = this->binary(std::move(op), std::move(left), this->primary());
        }
        return left;
    }

    expression primary() {
        expression out = this->atom();
        while (this->accept("::")) {
            out.type = type_of(this->word());
        }
        return out;
    }

    expression atom() {
        token const next = this->current();
        expression out;
        if (this->accept("(")) {
            out = this->parse_expression();
            this->expect(")");
            return out;
        }
        if (this->accept("-")) {
            out = this->atom();
            out.text.insert(0, "-");
            return out;
        }
        if (next.kind == token_kind::end || next.kind == token_kind::symbol) {
            this->fail();
        }
        ++this->at;
        switch (next.kind) {
        case token_kind::number:
            out.kind = expression_kind::literal;
            out.text = next.text;
            out.type = next.text.size() < 10 ? int4_oid : int8_oid;
            return out;
        case token_kind::text:
            out.kind = expression_kind::literal;
            out.text = next.text;
            out.type = text_oid;
            return out;
        case token_kind::parameter:
            out.kind = expression_kind::parameter;
            out.parameter = std::stoul(next.text);
            this->parameter_count = std::max(this->parameter_count, out.parameter);
            return out;
        default:
            return this->named(next.text);
        }
    }

    expression named(std::string const& name) {
        expression out;
        out.text = name;
        if (name == "null") {
            return expression{};
        }
        if (name == "true" || name == "false") {
            out.kind = expression_kind::literal;
            out.text = name == "true" ? "t" : "f";
            out.type = bool_oid;
            return out;
        }
        if (!this->accept("(")) {
            out.kind = expression_kind::column;
            return out;
        }
        out.kind = expression_kind::call;
        if (this->accept(")")) {
            return out;
        }
        do {
            if (this->accept("*")) {
                out.arguments.push_back(star());
            } else {
                out.arguments.push_back(this->parse_expression());
            }
        } while (this->accept(","));
        this->expect(")");
        return out;
    }

    std::vector<token> tokens;
    std::size_t at = 0;
    std::size_t parameter_count = 0;
};

} // namespace

result<std::vector<sql_statement>> parse_sql(std::string_view text) {
    try {
        return parser(tokenizer(text).run()).run();
    } catch (std::exception const& failure) {
        return error{"42601", failure.what()};
    }
}

} // namespace persimmonpoint::standin
