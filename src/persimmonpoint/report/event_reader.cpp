#include <boost/json/parse.hpp>
#include <istream>
#include <optional>
#include <persimmonpoint/report/event_reader.hpp>
#include <string>

namespace persimmonpoint::report {

namespace {

namespace json = boost::json;

/// More findings in one file are only counted.
constexpr std::size_t most_findings = 20;

/// Takes an event's fields and remembers the first that is absent or of another type than
/// docs/OPERATIONS.md gives it. What was taken counts only if there was none.
class event_fields {
public:
    explicit event_fields(json::object const& event) : event(event) {}

    std::string text(std::string_view name) {
        json::value const* const found = this->event.if_contains(name);
        if (found == nullptr || !found->is_string()) {
            this->note(name);
            return {};
        }
        return std::string(found->get_string());
    }

    double number(std::string_view name) {
        json::value const* const found = this->event.if_contains(name);
        if (found == nullptr || !found->is_number()) {
            this->note(name);
            return 0;
        }
        return found->to_number<double>();
    }

    bool flag(std::string_view name) {
        json::value const* const found = this->event.if_contains(name);
        if (found == nullptr || !found->is_bool()) {
            this->note(name);
            return false;
        }
        return found->get_bool();
    }

    request_kind kind(std::string_view name) {
        std::string const kind = this->text(name);
        if (kind == "write") {
            return request_kind::write;
        }
        if (kind == "commit") {
            return request_kind::commit;
        }
        if (kind != "read") {
            this->note(name);
        }
        return request_kind::read;
    }

    request_result outcome(std::string_view name) {
        auto const code = parse_statement_error(this->text(name));
        if (!code) {
            this->note(name);
        }
        return to_request_result(code.value_or(statement_error::failed));
    }

    std::optional<std::string> const& unusable() const { return this->first_unusable; }

private:
    void note(std::string_view name) {
        if (!this->first_unusable) {
            this->first_unusable = name;
        }
    }

    json::object const& event;
    std::optional<std::string> first_unusable;
};

request_record read_request(event_fields& fields) {
    request_record out;
    out.answered =
        std::chrono::milliseconds(static_cast<std::int64_t>(fields.number("time_ms")));
    out.team = fields.text("team");
    out.route = fields.text("route");
    return out;
}

request_record read_done(event_fields& fields) {
    request_record out = read_request(fields);
    out.group = fields.text("group");
    out.kind = fields.kind("kind");
    out.on_primary = fields.flag("on_primary");
    out.result = fields.outcome("outcome");
    out.took_ms = fields.number("took_ms");
    return out;
}

request_record read_refused(event_fields& fields) {
    request_record out = read_request(fields);
    bool const over_rate = fields.text("reason") == "over_quota";
    out.result = over_rate ? request_result::over_rate : request_result::refused;
    return out;
}

/// The field that is unusable; empty if none is.
std::optional<std::string>
read_event(json::object const& event, service_level_book& book) {
    event_fields fields(event);
    std::string const name = fields.text("event");
    if (name == "statement_done" || name == "statement_refused") {
        request_record const request =
            name == "statement_done" ? read_done(fields) : read_refused(fields);
        if (!fields.unusable()) {
            book.add(request);
        }
    } else if (name == "log_lines_dropped") {
        double const lines = fields.number("lines");
        book.add_dropped_lines(static_cast<std::uint64_t>(lines));
    }
    return fields.unusable();
}

/// What is wrong with the line; empty if nothing.
std::optional<finding> read_line(std::string const& line, service_level_book& book) {
    finding out;
    boost::system::error_code failure;
    json::value const parsed = json::parse(line, failure);
    if (failure || !parsed.is_object()) {
        out.message = "is no JSON object";
        return out;
    }
    auto const unusable = read_event(parsed.get_object(), book);
    if (unusable) {
        out.key = *unusable;
        out.message = "is absent or of another type";
        return out;
    }
    return std::nullopt;
}

} // namespace

reading
read_events(std::istream& input, std::string_view file, service_level_book& book) {
    reading out;
    std::string line;
    for (std::uint32_t number = 1; std::getline(input, line); ++number) {
        if (line.empty()) {
            continue;
        }
        std::optional<finding> found = read_line(line, book);
        if (!found) {
            continue;
        }
        ++out.unreadable_lines;
        if (out.findings.size() < most_findings) {
            found->file = file;
            found->line = number;
            out.findings.push_back(std::move(*found));
        }
    }
    return out;
}

} // namespace persimmonpoint::report
