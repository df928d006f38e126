#include <charconv>
#include <persimmonpoint/postgres/sql_text.hpp>
#include <persimmonpoint/traffic/session_parameters.hpp>

namespace persimmonpoint::traffic {

namespace {

constexpr std::size_t max_request_id_bytes = 200;

error bad_value(std::string_view name, std::string_view expected) {
    return error{
        "22023",
        "parameter \"" + std::string(name) + "\" takes " + std::string(expected)};
}

std::string format_ms(duration value) {
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(value);
    return std::to_string(ms.count()) + "ms";
}

error unrecognized(std::string_view name) {
    return error{"42704", "unrecognized parameter \"" + std::string(name) + "\""};
}

bool is_true(std::string_view text) {
    return text == "on" || text == "true" || text == "yes" || text == "1";
}

bool is_false(std::string_view text) {
    return text == "off" || text == "false" || text == "no" || text == "0";
}

} // namespace

result<void> session_parameters::set(std::string_view name, std::string_view value) {
    if (!postgres::is_parameter_name(name)) {
        return unrecognized(name);
    }
    if (!name.starts_with(own_prefix)) {
        this->others[std::string(name)] = value;
        return boost::outcome_v2::success();
    }
    if (name == "persimmonpoint.max_staleness") {
        auto const age = parse_duration(value);
        if (!age) {
            return bad_value(name, "a duration such as '5s'");
        }
        this->staleness = age;
        return boost::outcome_v2::success();
    }
    if (name == "persimmonpoint.request_id") {
        if (value.size() > max_request_id_bytes) {
            return bad_value(name, "at most 200 bytes");
        }
        this->id = value;
        return boost::outcome_v2::success();
    }
    if (name == "persimmonpoint.repeatable") {
        if (!is_true(value) && !is_false(value)) {
            return bad_value(name, "on or off");
        }
        this->may_repeat = is_true(value);
        return boost::outcome_v2::success();
    }
    return unrecognized(name);
}

void session_parameters::reset(std::string_view name) {
    bool const all = name == "all";
    if (all || name == "persimmonpoint.max_staleness") {
        this->staleness.reset();
    }
    if (all || name == "persimmonpoint.request_id") {
        this->id.clear();
    }
    if (all || name == "persimmonpoint.repeatable") {
        this->may_repeat = true;
    }
    if (all) {
        this->others.clear();
    } else {
        this->others.erase(std::string(name));
    }
}

std::optional<std::string> session_parameters::show(std::string_view name) const {
    if (name == "persimmonpoint.max_staleness") {
        return this->staleness ? format_ms(*this->staleness) : "";
    }
    if (name == "persimmonpoint.request_id") {
        return this->id;
    }
    if (name == "persimmonpoint.repeatable") {
        return this->may_repeat ? "on" : "off";
    }
    return std::nullopt;
}

std::optional<duration> parse_duration(std::string_view text) {
    std::int64_t number = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    constexpr std::int64_t most_hours = 24 * 365;
    if (failure != std::errc() || number < 0) {
        return std::nullopt;
    }
    std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
    while (unit.starts_with(' ')) {
        unit.remove_prefix(1);
    }
    duration per_unit = std::chrono::milliseconds(1);
    if (unit == "s") {
        per_unit = std::chrono::seconds(1);
    } else if (unit == "min") {
        per_unit = std::chrono::minutes(1);
    } else if (unit == "h") {
        per_unit = std::chrono::hours(1);
    } else if (!unit.empty() && unit != "ms") {
        return std::nullopt;
    }
    if (number > most_hours * (std::chrono::hours(1) / per_unit)) {
        return std::nullopt;
    }
    return number * per_unit;
}

std::vector<std::pair<std::string, std::string>> parse_options(std::string_view options) {
    std::vector<std::string> words(1);
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (options[i] == '\\' && i + 1 < options.size()) {
            words.back().push_back(options[++i]);
        } else if (options[i] == ' ') {
            words.emplace_back();
        } else {
            words.back().push_back(options[i]);
        }
    }
    std::vector<std::pair<std::string, std::string>> out;
    bool expects_pair = false;
    for (std::string const& word : words) {
        std::string pair = word;
        if (word == "-c") {
            expects_pair = true;
            continue;
        }
        if (!expects_pair && !word.starts_with("--") && !word.starts_with("-c")) {
            continue;
        }
        if (!expects_pair) {
            pair = word.substr(2);
        }
        expects_pair = false;
        std::size_t const equals = pair.find('=');
        if (equals != std::string::npos) {
            out.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
        }
    }
    return out;
}

} // namespace persimmonpoint::traffic
