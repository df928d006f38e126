#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <openssl/evp.h>
#include <persimmonpoint/platform/field_reader.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <utility>

namespace persimmonpoint::platform {

namespace json = boost::json;

namespace {

error unreadable(std::string message) {
    return error{"22023", std::move(message), effect::not_run};
}

error unreadable(field_fault const& fault) {
    return unreadable("field " + fault.field + " " + fault.reason);
}

/// What was decoded, if each of its fields could be read.
template <class Decoded>
result<Decoded> checked(field_reader const& fields, Decoded decoded) {
    if (fields.fault()) {
        return unreadable(*fields.fault());
    }
    return decoded;
}

std::uint32_t narrowed(std::uint64_t value) {
    return static_cast<std::uint32_t>(value);
}

/// Rounded up.
std::uint64_t to_whole_milliseconds(duration time) {
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(time).count());
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

/// Reads the lists of a configuration. An entry that can't be used is left out.
class configuration_reader {
public:
    void read_routes(json::array const& list) {
        this->read_list("routes", list, [this](json::object const& entry) {
            return this->read_route(entry);
        });
    }

    void read_groups(json::array const& list) {
        this->read_list("services", list, [this](json::object const& entry) {
            return this->read_group(entry);
        });
    }

    void read_teams(json::array const& list) {
        this->read_list("tenants", list, [this](json::object const& entry) {
            return this->read_team(entry);
        });
    }

    void leave_out(std::string_view list, std::string entry, field_fault fault) {
        this->listed.left_out.push_back(
            entry_fault{std::string(list), std::move(entry), std::move(fault)});
    }

    listed_configuration listed;

private:
    using entry_reader =
        std::function<std::optional<field_fault>(json::object const& entry)>;

    void
    read_list(std::string_view name, json::array const& list, entry_reader const& read) {
        for (json::value const& each : list) {
            if (!each.is_object()) {
                this->leave_out(name, {}, field_fault{"entry", "is not a JSON object"});
                continue;
            }
            if (auto fault = read(each.as_object())) {
                this->leave_out(name, name_of(each.as_object()), std::move(*fault));
            }
        }
    }

    /// Nothing for a service whose databases are never cold.
    static std::optional<double> read_cold_rate(field_reader& fields) {
        auto const read = [&fields](std::string_view name, double most) {
            return fields.has(name) ? fields.decimal(name, most) : 0;
        };
        double const rate = read("cold_per_s", max_cold_rate);
        double const cold_for = read("cold_start_s", max_cold_seconds);
        return rate > 0 || cold_for > 0 ? std::optional(rate) : std::nullopt;
    }

    /// An entry whose regions can't be read is left out: it may not be seen everywhere.
    static region_set read_regions(field_reader& fields) {
        region_set regions;
        if (!fields.has("allowed_regions")) {
            return regions;
        }
        for (json::value const& each : fields.list("allowed_regions")) {
            if (each.is_string()) {
                regions.emplace(each.as_string());
            } else {
                fields.fail("allowed_regions", "holds what is no text");
            }
        }
        return regions;
    }

    static std::string name_of(json::object const& entry) {
        return field_reader(entry).text("name");
    }

    std::optional<field_fault> read_route(json::object const& entry) {
        field_reader fields(entry);
        served_route route;
        route.name = fields.text("name");
        route.database = fields.word("host");
        route.group = fields.word("service");
        auto const kind = parse_kind(fields.text("kind"));
        if (!kind) {
            fields.fail("kind", "is not known");
        }
        route.kind = kind.value_or(route_kind::primary);
        route.statement_timeout = fields.milliseconds("timeout_ms", max_route_time);
        route.target_latency =
            fields.optional_milliseconds("target_latency_ms", max_route_time);
        route.max_staleness =
            fields.optional_milliseconds("max_staleness_ms", max_route_time);
        route.priority = narrowed(fields.optional_number("priority", priority_range));
        route.allow_anonymous = fields.optional_flag("allow_anonymous");
        route.allowed_regions = read_regions(fields);
        if (!fields.fault()) {
            this->listed.routes.push_back(std::move(route));
        }
        return fields.fault();
    }

    std::optional<field_fault> read_group(json::object const& entry) {
        field_reader fields(entry);
        served_group group;
        group.name = fields.word("name");
        group.max_connections =
            narrowed(fields.number("max_connections", connections_range));
        group.sync_replicas =
            narrowed(fields.optional_number("sync_replicas", sync_replicas_range));
        group.cold_rate = read_cold_rate(fields);
        if (!fields.fault()) {
            this->listed.groups.push_back(std::move(group));
        }
        return fields.fault();
    }

    std::optional<field_fault> read_team(json::object const& entry) {
        field_reader fields(entry);
        listed_team entry_read;
        served_team& team = entry_read.team;
        team.name = fields.word("name");
        team.rate = fields.decimal("rate_per_s", max_team_rate);
        team.burst = fields.decimal("burst", max_team_rate);
        team.allowed_regions = read_regions(fields);
        json::array const& keys = fields.list("api_keys");
        if (fields.fault()) {
            return fields.fault();
        }
        for (json::value const& each : keys) {
            if (each.is_string()) {
                entry_read.keys.emplace_back(each.as_string());
            }
        }
        this->listed.teams.push_back(std::move(entry_read));
        return std::nullopt;
    }
};

} // namespace

result<decoded_configuration> decode_configuration(std::string_view body) {
    auto listed = decode_listed_configuration(body);
    if (!listed) {
        return listed.error();
    }
    decoded_configuration decoded;
    decoded.left_out = std::move(listed.value().left_out);
    decoded.configuration = index_configuration(std::move(listed.value()));
    return decoded;
}

result<listed_configuration> decode_listed_configuration(std::string_view body) {
    auto const object = parse_object(body);
    if (!object) {
        return unreadable("configuration is not a JSON object");
    }
    field_reader fields(*object);
    configuration_reader lists;
    listed_configuration& configuration = lists.listed;
    configuration.version = fields.number("version");
    lists.read_routes(fields.list("routes"));
    lists.read_groups(fields.list("services"));
    lists.read_teams(fields.list("tenants"));
    if (json::value const* const limits = object->if_contains("limits");
        limits != nullptr && limits->is_object()) {
        field_reader limit(limits->as_object());
        configuration.transaction_idle =
            limit.optional_milliseconds("transaction_idle_ms", max_route_time);
        if (limit.fault()) {
            lists.leave_out("limits", {}, *limit.fault());
        }
    }
    return checked(fields, std::move(lists.listed));
}

result<registered_database> decode_database(std::string_view id, std::string_view body) {
    auto const object = parse_object(body);
    if (!object) {
        return unreadable("entry is not a JSON object");
    }
    field_reader fields(*object);
    registered_database out;
    out.id = id;
    out.group = fields.word("service");
    out.address = fields.address("address");
    out.availability_zone = fields.text("zone");
    out.slots = std::max<std::uint32_t>(narrowed(fields.number("slots", slots_range)), 1);
    std::string const state = fields.text("state");
    out.leaving = state == "draining";
    if (state != "ready" && state != "draining") {
        fields.fail("state", "is not known");
    }
    std::string const role = fields.text("database_role");
    out.claims_primary = role == "primary";
    if (role != "primary" && role != "replica") {
        fields.fail("database_role", "is not known");
    }
    out.started_ms = fields.optional_number("born");
    out.cold_remaining_ms = to_whole_milliseconds(fields.optional_milliseconds(
        "cold_remaining_ms", std::chrono::milliseconds(cold_time_range.most)));
    if (auto const fault = find_fault(out); fault && !fields.fault()) {
        fields.fail(fault->field, fault->reason);
    }
    return checked(fields, std::move(out));
}

std::string encode_host(registered_host const& host) {
    json::object object;
    object["address"] = host.address;
    object["availability_zone"] = host.availability_zone;
    if (host.processor_millicores > 0) {
        object["processor_millicores"] = host.processor_millicores;
    }
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
    out.address = fields.address("address");
    out.availability_zone = fields.text("availability_zone");
    out.processor_millicores =
        narrowed(fields.optional_number("processor_millicores", processor_range));
    if (auto const fault = find_fault(out); fault && !fields.fault()) {
        fields.fail(fault->field, fault->reason);
    }
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

std::string encode_notice(fence_notice const& notice) {
    json::array fenced;
    for (fenced_primary const& each : notice.fenced) {
        json::object entry;
        entry["group"] = each.group;
        entry["primary"] = each.primary;
        fenced.push_back(std::move(entry));
    }
    json::object object;
    object["number"] = notice.number;
    object["fenced"] = std::move(fenced);
    return json::serialize(object);
}

result<fence_notice> decode_notice(std::string_view body) {
    auto const object = parse_object(body);
    if (!object) {
        return unreadable("notice is not a JSON object");
    }
    field_reader fields(*object);
    fence_notice out;
    out.number = fields.number("number");
    for (json::value const& each : fields.list("fenced")) {
        if (!each.is_object()) {
            return unreadable("field fenced holds what is no object");
        }
        field_reader entry(each.as_object());
        out.fenced.push_back({entry.word("group"), entry.text("primary")});
        if (entry.fault()) {
            return unreadable(*entry.fault());
        }
    }
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
