#include <algorithm>
#include <persimmonpoint/traffic/prepared_statements.hpp>

namespace persimmonpoint::traffic {

namespace {

/// A caller may keep this many statements, and portals, so that its memory is bounded.
constexpr std::size_t max_kept = 1000;

error no_statement(std::string_view name) {
    return error{
        "26000", "prepared statement \"" + std::string(name) + "\" does not exist"};
}

error too_many(std::string_view what) {
    return error{
        "54000", "a session may keep at most " + std::to_string(max_kept) + " " +
                     std::string(what)};
}

/// The one format of all result columns; libpq can't ask for several.
result<std::int16_t> common_format(std::vector<std::int16_t> const& formats) {
    if (formats.empty()) {
        return std::int16_t{0};
    }
    if (std::ranges::adjacent_find(formats, std::ranges::not_equal_to()) !=
        formats.end()) {
        return error{"0A000", "result columns must all be text or all binary"};
    }
    return formats.front();
}

bool is_text(postgres::bind_message const& message, std::size_t index) {
    auto const& formats = message.parameter_formats;
    if (formats.empty()) {
        return true;
    }
    return formats[formats.size() == 1 ? 0 : index] == 0;
}

/// libpq would end a text at its first NUL, and the database would run a part of it.
bool has_cut_text(postgres::bind_message const& message) {
    for (std::size_t i = 0; i < message.parameters.size(); ++i) {
        auto const& value = message.parameters[i];
        if (value && is_text(message, i) && value->find('\0') != std::string_view::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

result<void> prepared_statements::parse(
    postgres::parse_message const& message, statement_classifier& classifier) {
    auto const query = classifier.classify(message.text);
    if (!query) {
        return query.error();
    }
    if (query.value()->size() > 1) {
        return error{
            "42601", "cannot insert multiple commands into a prepared statement"};
    }
    bool const replaces = message.statement.empty();
    if (!replaces && this->find_statement(message.statement) != nullptr) {
        return error{
            "42P05", "prepared statement \"" + std::string(message.statement) +
                         "\" already exists"};
    }
    if (this->statements.size() >= max_kept && !replaces) {
        return too_many("prepared statements");
    }
    prepared_statement entry;
    entry.types = message.parameter_types;
    entry.statement.kind = statement_kind::empty;
    if (!query.value()->empty()) {
        entry.statement = query.value()->front();
    }
    this->statements[std::string(message.statement)] = std::move(entry);
    return boost::outcome_v2::success();
}

result<void> prepared_statements::bind(postgres::bind_message const& message) {
    prepared_statement const* source = this->find_statement(message.statement);
    if (source == nullptr) {
        return no_statement(message.statement);
    }
    auto const format = common_format(message.result_formats);
    if (!format) {
        return format.error();
    }
    if (has_cut_text(message)) {
        return error{"22021", "a text parameter holds a byte 0x00"};
    }
    if (this->portals.size() >= max_kept && !message.portal.empty()) {
        return too_many("portals");
    }
    portal fresh;
    fresh.request.statement = source->statement;
    fresh.request.query.sql = source->statement.text;
    fresh.request.query.parameter_types = source->types;
    fresh.request.query.parameter_formats = message.parameter_formats;
    fresh.request.query.result_format = format.value();
    for (auto const& each : message.parameters) {
        fresh.request.query.parameters.push_back(
            each ? std::optional<std::string>(*each) : std::nullopt);
    }
    this->portals[std::string(message.portal)] = std::move(fresh);
    return boost::outcome_v2::success();
}

void prepared_statements::close(postgres::close_message const& message) {
    if (message.kind == postgres::target_kind::statement) {
        auto const found = this->statements.find(message.name);
        if (found != this->statements.end()) {
            this->statements.erase(found);
        }
        return;
    }
    auto const found = this->portals.find(message.name);
    if (found != this->portals.end()) {
        this->portals.erase(found);
    }
}

prepared_statement const*
prepared_statements::find_statement(std::string_view name) const {
    auto const found = this->statements.find(name);
    return found == this->statements.end() ? nullptr : &found->second;
}

portal* prepared_statements::find_portal(std::string_view name) {
    auto const found = this->portals.find(name);
    return found == this->portals.end() ? nullptr : &found->second;
}

} // namespace persimmonpoint::traffic
