#include <boost/json.hpp>
#include <persimmonpoint/platform/table_json.hpp>

namespace persimmonpoint::platform {

namespace json = boost::json;

namespace {

std::string text_of(json::value const& node) {
    return json::value_to<std::string>(node);
}

std::uint64_t number_of(json::value const& node) {
    return node.to_number<std::uint64_t>();
}

/// Runs a reader and turns any surprise in the text into an error.
template <class T, class Reader>
result<T> read(std::string_view text, std::string_view what, Reader reader) {
    try {
        return result<T>(reader(json::parse(text)));
    } catch (std::exception const& failure) {
        return error{
            "58000",
            "platform sent a malformed " + std::string(what) + ": " + failure.what(),
            effect::unknown};
    }
}

} // namespace

std::string to_json(table_range const& range) {
    json::array rows;
    for (table_row const& each : range.rows) {
        rows.push_back(
            {{"key", each.key}, {"value", each.value}, {"version", each.version}});
    }
    return json::serialize(json::value{{"version", range.version}, {"rows", rows}});
}

std::string to_json(table_commit const& commit) {
    json::array conditions;
    for (table_condition const& each : commit.conditions) {
        conditions.push_back({{"key", each.key}, {"version", each.version}});
    }
    json::array writes;
    for (table_write const& each : commit.writes) {
        json::value const content =
            each.value ? json::value(*each.value) : json::value(nullptr);
        writes.push_back({{"key", each.key}, {"value", content}});
    }
    return json::serialize(
        json::value{{"id", commit.id}, {"conditions", conditions}, {"writes", writes}});
}

std::string to_json(commit_result const& outcome) {
    return json::serialize(json::value{
        {"committed", outcome.committed},
        {"version", outcome.version},
        {"conflicting_key", outcome.conflicting_key}});
}

std::string to_json(std::vector<listed_host> const& hosts) {
    json::array out;
    for (listed_host const& each : hosts) {
        out.push_back(
            {{"name", each.name},
             {"address", each.address},
             {"availability_zone", each.availability_zone},
             {"state", each.state == host_state::live ? "live" : "leaving"}});
    }
    return json::serialize(json::value{{"hosts", out}});
}

result<table_range> range_from_json(std::string_view text) {
    return read<table_range>(text, "range", [](json::value const& root) {
        table_range out;
        out.version = number_of(root.at("version"));
        for (json::value const& each : root.at("rows").as_array()) {
            out.rows.push_back(table_row{
                text_of(each.at("key")), text_of(each.at("value")),
                number_of(each.at("version"))});
        }
        return out;
    });
}

result<table_commit> commit_from_json(std::string_view text) {
    return read<table_commit>(text, "commit", [](json::value const& root) {
        table_commit out;
        out.id = text_of(root.at("id"));
        for (json::value const& each : root.at("conditions").as_array()) {
            out.conditions.push_back(
                table_condition{text_of(each.at("key")), number_of(each.at("version"))});
        }
        for (json::value const& each : root.at("writes").as_array()) {
            json::value const& content = each.at("value");
            out.writes.push_back(table_write{
                text_of(each.at("key")),
                content.is_null() ? std::nullopt
                                  : std::optional<std::string>(text_of(content))});
        }
        return out;
    });
}

result<commit_result> commit_result_from_json(std::string_view text) {
    return read<commit_result>(text, "commit result", [](json::value const& root) {
        commit_result out;
        out.committed = root.at("committed").as_bool();
        out.version = number_of(root.at("version"));
        out.conflicting_key = text_of(root.at("conflicting_key"));
        return out;
    });
}

result<std::vector<listed_host>> hosts_from_json(std::string_view text) {
    return read<std::vector<listed_host>>(text, "host list", [](json::value const& root) {
        std::vector<listed_host> out;
        for (json::value const& each : root.at("hosts").as_array()) {
            bool const leaving = text_of(each.at("state")) == "leaving";
            out.push_back(listed_host{
                text_of(each.at("name")), text_of(each.at("address")),
                text_of(each.at("availability_zone")),
                leaving ? host_state::leaving : host_state::live});
        }
        return out;
    });
}

} // namespace persimmonpoint::platform
