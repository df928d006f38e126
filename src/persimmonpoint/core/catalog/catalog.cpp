#include <algorithm>
#include <boost/json.hpp>
#include <persimmonpoint/core/catalog/catalog.hpp>
#include <persimmonpoint/core/digest.hpp>

namespace persimmonpoint {

namespace json = boost::json;

namespace {

std::string text_at(json::object const& node, std::string_view key) {
    json::value const* value = node.if_contains(key);
    return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

template <class Number>
Number number_at(json::object const& node, std::string_view key) {
    json::value const* value = node.if_contains(key);
    return value == nullptr ? Number{} : value->to_number<Number>();
}

bool flag_at(json::object const& node, std::string_view key) {
    json::value const* value = node.if_contains(key);
    return value != nullptr && value->as_bool();
}

label_set labels_at(json::object const& node) {
    label_set out;
    if (json::value const* labels = node.if_contains("labels")) {
        for (auto const& [key, value] : labels->as_object()) {
            out.emplace(key, json::value_to<std::string>(value));
        }
    }
    return out;
}

json::object to_json(label_set const& labels) {
    json::object out;
    for (auto const& [key, value] : labels) {
        out.emplace(key, value);
    }
    return out;
}

rate_limit limit_at(json::object const& node) {
    return rate_limit{
        number_at<double>(node, "rate_per_second"), number_at<double>(node, "burst")};
}

std::string row_key(std::string_view kind, std::string_view name) {
    return std::string(catalog_prefix) + std::string(kind) + "/" + std::string(name);
}

/// Adds the rows of a range to a catalogue, one kind each.
class reader {
public:
    explicit reader(catalog& out) : out(out) {}

    void add(table_row const& row) {
        std::string_view const path =
            std::string_view(row.key).substr(catalog_prefix.size());
        std::size_t const slash = path.find('/');
        std::string_view const kind = path.substr(0, slash);
        std::string const name(
            slash == std::string_view::npos ? "" : path.substr(slash + 1));
        json::object const node = json::parse(row.value).as_object();
        if (kind == "team") {
            this->out.teams[name] = team{name, limit_at(node), labels_at(node)};
        } else if (kind == "key") {
            this->out.keys[name] = team_key{
                name, text_at(node, "team"), text_at(node, "salt"),
                text_at(node, "digest"), labels_at(node)};
        } else if (kind == "route") {
            this->out.routes[name] = route{
                name, text_at(node, "group"), flag_at(node, "open"), limit_at(node),
                labels_at(node)};
        } else if (kind == "group") {
            upstream_group& group = this->out.groups[name];
            group.name = name;
            group.leaving = flag_at(node, "leaving");
            group.labels = labels_at(node);
        } else if (kind == "database") {
            this->add_database(name, node);
        } else {
            this->out.problems.push_back("row \"" + row.key + "\" is of no known kind");
        }
    }

private:
    void add_database(std::string const& path, json::object const& node) {
        std::size_t const slash = path.find('/');
        upstream_database database;
        database.name = path.substr(slash + 1);
        database.address = text_at(node, "address");
        database.port = number_at<std::uint16_t>(node, "port");
        database.availability_zone = text_at(node, "availability_zone");
        database.connections = number_at<std::size_t>(node, "connections");
        database.slots = number_at<std::size_t>(node, "slots");
        database.leaving = flag_at(node, "leaving");
        database.labels = labels_at(node);
        this->out.groups[path.substr(0, slash)].databases.push_back(std::move(database));
    }

    catalog& out;
};

template <class Map>
typename Map::mapped_type const* find_in(Map const& objects, std::string_view name) {
    auto const found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

} // namespace

team const* catalog::find_team(std::string_view name) const {
    return find_in(this->teams, name);
}

route const* catalog::find_route(std::string_view name) const {
    return find_in(this->routes, name);
}

upstream_group const* catalog::find_group(std::string_view name) const {
    return find_in(this->groups, name);
}

team_key const*
catalog::match_key(std::string_view team_name, std::string_view presented) const {
    for (auto const& [id, key] : this->keys) {
        bool const matches =
            key.team == team_name &&
            equal_in_constant_time(key.digest, key_digest(key.salt, presented));
        if (matches) {
            return &key;
        }
    }
    return nullptr;
}

bool catalog::is_granted(std::string_view key_id, std::string_view digest) const {
    team_key const* key = find_in(this->keys, key_id);
    return key != nullptr && key->digest == digest &&
           this->find_team(key->team) != nullptr;
}

std::shared_ptr<catalog const> read_catalog(table_range const& range) {
    auto out = std::make_shared<catalog>();
    out->version = range.version;
    reader rows(*out);
    for (table_row const& row : range.rows) {
        try {
            rows.add(row);
        } catch (std::exception const& failure) {
            out->problems.push_back(
                "row \"" + row.key + "\" can't be read: " + failure.what());
        }
    }
    for (auto& [name, group] : out->groups) {
        group.name = name;
        std::ranges::sort(group.databases, {}, &upstream_database::name);
    }
    return out;
}

table_row to_row(team const& object) {
    json::value const value = {
        {"rate_per_second", object.limit.per_second},
        {"burst", object.limit.burst},
        {"labels", to_json(object.labels)}};
    return table_row{row_key("team", object.name), json::serialize(value)};
}

table_row to_row(team_key const& object) {
    json::value const value = {
        {"team", object.team},
        {"salt", object.salt},
        {"digest", object.digest},
        {"labels", to_json(object.labels)}};
    return table_row{row_key("key", object.id), json::serialize(value)};
}

table_row to_row(route const& object) {
    json::value const value = {
        {"group", object.group},
        {"open", object.open},
        {"rate_per_second", object.open_limit.per_second},
        {"burst", object.open_limit.burst},
        {"labels", to_json(object.labels)}};
    return table_row{row_key("route", object.name), json::serialize(value)};
}

table_row to_row(upstream_group const& object) {
    json::value const value = {
        {"leaving", object.leaving}, {"labels", to_json(object.labels)}};
    return table_row{row_key("group", object.name), json::serialize(value)};
}

table_row to_row(upstream_database const& object, std::string_view group) {
    json::value const value = {
        {"address", object.address},
        {"port", object.port},
        {"availability_zone", object.availability_zone},
        {"connections", object.connections},
        {"slots", object.slots},
        {"leaving", object.leaving},
        {"labels", to_json(object.labels)}};
    return table_row{
        row_key("database", std::string(group) + "/" + object.name),
        json::serialize(value)};
}

std::string key_digest(std::string_view salt, std::string_view key) {
    return hmac_sha256(salt, key);
}

} // namespace persimmonpoint
