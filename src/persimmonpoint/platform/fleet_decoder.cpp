#include <boost/json.hpp>
#include <openssl/evp.h>
#include <persimmonpoint/platform/fleet_decoder.hpp>

namespace persimmonpoint::platform {

namespace json = boost::json;

namespace {

error unreadable(std::string message) {
    return error{"22023", std::move(message), effect::not_run};
}

/// Reads the fields of one object and remembers the first that doesn't fit.
class field_reader {
public:
    explicit field_reader(json::object const& object) : object(object) {}

    std::string text(std::string_view name) {
        json::value const* const found = this->find(name);
        if (found == nullptr || !found->is_string()) {
            this->fail(name);
            return {};
        }
        return std::string(found->as_string());
    }

    std::uint64_t number(std::string_view name) {
        json::value const* const found = this->find(name);
        if (found != nullptr && found->is_int64() && found->as_int64() >= 0) {
            return static_cast<std::uint64_t>(found->as_int64());
        }
        if (found != nullptr && found->is_uint64()) {
            return found->as_uint64();
        }
        this->fail(name);
        return 0;
    }

    double decimal(std::string_view name) {
        json::value const* const found = this->find(name);
        if (found == nullptr || !found->is_number()) {
            this->fail(name);
            return 0;
        }
        return found->to_number<double>();
    }

    duration milliseconds(std::string_view name) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(this->decimal(name)));
    }

    /// Absent fields give the value's default.
    duration optional_milliseconds(std::string_view name) {
        return this->has(name) ? this->milliseconds(name) : duration(0);
    }

    std::uint64_t optional_number(std::string_view name) {
        return this->has(name) ? this->number(name) : 0;
    }

    bool optional_flag(std::string_view name) {
        json::value const* const found = this->find(name);
        return found != nullptr && found->is_bool() && found->as_bool();
    }

    json::array const& list(std::string_view name) {
        static json::array const none;
        json::value const* const found = this->find(name);
        if (found == nullptr || !found->is_array()) {
            this->fail(name);
            return none;
        }
        return found->as_array();
    }

    bool has(std::string_view name) const {
        json::value const* const found = this->find(name);
        return found != nullptr && !found->is_null();
    }

    void fail(std::string_view name) {
        if (this->problem.empty()) {
            this->problem =
                "field " + std::string(name) + " is missing or of another type";
        }
    }

    std::string problem;

private:
    json::value const* find(std::string_view name) const {
        return this->object.if_contains(name);
    }

    json::object const& object;
};

/// What was decoded, if each of its fields could be read.
template <class Decoded>
result<Decoded> checked(field_reader const& fields, Decoded decoded) {
    if (!fields.problem.empty()) {
        return unreadable(fields.problem);
    }
    return decoded;
}

std::optional<json::object> parse_object(std::string_view body) {
    boost::system::error_code failure;
    json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

std::optional<route_kind> parse_kind(std::string_view word) {
    if (word == "primary") {
        return route_kind::primary;
    }
    if (word == "bounded_staleness") {
        return route_kind::bounded_staleness;
    }
    if (word == "read_own_writes") {
        return route_kind::read_own_writes;
    }
    return std::nullopt;
}

void read_route(json::object const& object, fleet_configuration& out) {
    field_reader fields(object);
    served_route route;
    route.name = fields.text("name");
    route.database = fields.text("host");
    route.group = fields.text("service");
    auto const kind = parse_kind(fields.text("kind"));
    route.kind = kind.value_or(route_kind::primary);
    route.statement_timeout = fields.milliseconds("timeout_ms");
    route.target_latency = fields.optional_milliseconds("target_latency_ms");
    route.max_staleness = fields.optional_milliseconds("max_staleness_ms");
    route.priority = static_cast<std::uint32_t>(fields.optional_number("priority"));
    route.allow_anonymous = fields.optional_flag("allow_anonymous");
    if (fields.problem.empty() && kind) {
        out.routes[route.database] = std::move(route);
    }
}

/// Blanks and control characters would break the line protocol.
bool is_plain_word(std::string_view word) {
    return !word.empty() && word.find_first_of(" \r\n") == std::string_view::npos;
}

void read_team(json::object const& object, fleet_configuration& out) {
    field_reader fields(object);
    served_team team;
    team.name = fields.text("name");
    team.rate = fields.decimal("rate_per_s");
    team.burst = fields.decimal("burst");
    if (!fields.problem.empty() || !is_plain_word(team.name)) {
        return;
    }
    for (json::value const& key : fields.list("api_keys")) {
        if (key.is_string()) {
            out.keys[std::string(key.as_string())] = team.name;
        }
    }
    out.teams[team.name] = std::move(team);
}

void read_group(json::object const& object, fleet_configuration& out) {
    field_reader fields(object);
    served_group group;
    group.name = fields.text("name");
    group.max_connections = static_cast<std::uint32_t>(fields.number("max_connections"));
    group.sync_replicas =
        static_cast<std::uint32_t>(fields.optional_number("sync_replicas"));
    if (fields.problem.empty() && is_plain_word(group.name)) {
        out.groups[group.name] = std::move(group);
    }
}

template <class Read>
void read_list(json::array const& list, fleet_configuration& out, Read read) {
    for (json::value const& each : list) {
        if (each.is_object()) {
            read(each.as_object(), out);
        }
    }
}

} // namespace

result<fleet_configuration> decode_configuration(std::string_view body) {
    auto const object = parse_object(body);
    if (!object) {
        return unreadable("configuration is not a JSON object");
    }
    field_reader fields(*object);
    fleet_configuration out;
    out.version = fields.number("version");
    read_list(fields.list("routes"), out, read_route);
    read_list(fields.list("services"), out, read_group);
    read_list(fields.list("tenants"), out, read_team);
    if (json::value const* const limits = object->if_contains("limits");
        limits != nullptr && limits->is_object()) {
        field_reader limit_fields(limits->as_object());
        out.transaction_idle = limit_fields.optional_milliseconds("transaction_idle_ms");
    }
    return checked(fields, std::move(out));
}

result<registered_database> decode_database(std::string_view id, std::string_view body) {
    auto const object = parse_object(body);
    if (!object) {
        return unreadable("entry is not a JSON object");
    }
    field_reader fields(*object);
    registered_database out;
    out.id = id;
    out.group = fields.text("service");
    out.address = fields.text("address");
    out.availability_zone = fields.text("zone");
    out.slots =
        static_cast<std::uint32_t>(std::max<std::uint64_t>(fields.number("slots"), 1));
    std::string const state = fields.text("state");
    out.leaving = state == "draining";
    if (state != "ready" && state != "draining") {
        fields.fail("state");
    }
    std::string const role = fields.text("database_role");
    out.claims_primary = role == "primary";
    if (role != "primary" && role != "replica") {
        fields.fail("database_role");
    }
    out.started_ms = fields.optional_number("born");
    if (!is_plain_word(out.id) || !is_plain_word(out.group)) {
        fields.fail("service");
    }
    return checked(fields, std::move(out));
}

std::string encode_host(registered_host const& host) {
    json::object object;
    object["address"] = host.address;
    object["availability_zone"] = host.availability_zone;
    return json::serialize(object);
}

result<registered_host> decode_host(std::string_view name, std::string_view body) {
    auto const object = parse_object(body);
    if (!object) {
        return unreadable("host entry is not a JSON object");
    }
    field_reader fields(*object);
    registered_host out;
    out.name = name;
    out.address = fields.text("address");
    out.availability_zone = fields.text("availability_zone");
    return checked(fields, std::move(out));
}

std::string encode_lease(leadership_lease const& lease) {
    json::object object;
    object["holder"] = lease.holder;
    object["token"] = lease.token;
    object["taken_at_ms"] = lease.taken_at_ms;
    return json::serialize(object);
}

result<leadership_lease> decode_lease(std::string_view body) {
    auto const object = parse_object(body);
    if (!object) {
        return unreadable("lease is not a JSON object");
    }
    field_reader fields(*object);
    leadership_lease out;
    out.holder = fields.text("holder");
    out.token = fields.number("token");
    out.taken_at_ms = fields.number("taken_at_ms");
    return checked(fields, std::move(out));
}

std::string encode_base64(std::string_view bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int const size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<unsigned char const*>(bytes.data()),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    int const size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<unsigned char const*>(text.data()),
        static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace persimmonpoint::platform
