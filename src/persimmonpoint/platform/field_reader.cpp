#include <boost/json/parse.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/platform/field_reader.hpp>
#include <utility>

namespace persimmonpoint::platform {

namespace json = boost::json;

namespace {

constexpr std::string_view wrong_type = "is missing or of another type";

std::optional<std::uint64_t> whole_number(json::value const& value) {
    if (value.is_int64() && value.as_int64() >= 0) {
        return static_cast<std::uint64_t>(value.as_int64());
    }
    if (value.is_uint64()) {
        return value.as_uint64();
    }
    return std::nullopt;
}

/// False for NaN and infinity, too.
bool is_within(double value, double most) {
    return value >= 0 && value <= most;
}

} // namespace

std::optional<json::object> parse_object(std::string_view text) {
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

field_reader::field_reader(json::object const& object) : object(object) {}

std::string field_reader::text(std::string_view name, std::size_t max_bytes) {
    json::value const* const found = this->find(name);
    if (found == nullptr || !found->is_string()) {
        this->fail(name, std::string(wrong_type));
        return {};
    }
    if (found->as_string().size() > max_bytes) {
        this->fail(name, "has more than " + std::to_string(max_bytes) + " bytes");
        return {};
    }
    return std::string(found->as_string());
}

std::string field_reader::word(std::string_view name) {
    std::string read = this->text(name);
    if (!is_plain_word(read)) {
        this->fail(name, "is empty or holds blanks or control characters");
        return {};
    }
    return read;
}

std::uint64_t field_reader::number(std::string_view name, number_range range) {
    json::value const* const found = this->find(name);
    auto const value = found != nullptr ? whole_number(*found) : std::nullopt;
    if (!value) {
        this->fail(name, "is missing or no whole number of 0 or above");
        return 0;
    }
    if (!range.contains(*value)) {
        this->fail(
            name, "is not from " + std::to_string(range.least) + " to " +
                      std::to_string(range.most));
        return 0;
    }
    return *value;
}

std::uint64_t field_reader::optional_number(std::string_view name, number_range range) {
    return this->has(name) ? this->number(name, range) : 0;
}

double field_reader::decimal(std::string_view name, double most) {
    json::value const* const found = this->find(name);
    if (found == nullptr || !found->is_number()) {
        this->fail(name, std::string(wrong_type));
        return 0;
    }
    auto const value = found->to_number<double>();
    if (!is_within(value, most)) {
        this->fail(
            name, "is not from 0 to " + std::to_string(static_cast<std::uint64_t>(most)));
        return 0;
    }
    return value;
}

duration field_reader::milliseconds(std::string_view name, duration most) {
    using fractional = std::chrono::duration<double, std::milli>;
    double const value = this->decimal(name, fractional(most).count());
    return std::chrono::duration_cast<duration>(fractional(value));
}

duration field_reader::optional_milliseconds(std::string_view name, duration most) {
    return this->has(name) ? this->milliseconds(name, most) : duration(0);
}

bool field_reader::optional_flag(std::string_view name) const {
    json::value const* const found = this->find(name);
    return found != nullptr && found->is_bool() && found->as_bool();
}

json::array const& field_reader::list(std::string_view name) {
    static json::array const none;
    json::value const* const found = this->find(name);
    if (found == nullptr || !found->is_array()) {
        this->fail(name, std::string(wrong_type));
        return none;
    }
    return found->as_array();
}

std::string field_reader::address(std::string_view name) {
    std::string read = this->text(name);
    if (!net::parse_remote_endpoint(read)) {
        this->fail(name, "is no IP number and port that can be connected to");
        return {};
    }
    return read;
}

bool field_reader::has(std::string_view name) const {
    json::value const* const found = this->find(name);
    return found != nullptr && !found->is_null();
}

void field_reader::fail(std::string_view name, std::string reason) {
    if (!this->first_fault) {
        this->first_fault = field_fault{std::string(name), std::move(reason)};
    }
}

json::value const* field_reader::find(std::string_view name) const {
    return this->object.if_contains(name);
}

} // namespace persimmonpoint::platform
