#include <boost/json/object.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <persimmonpoint/platform/field_reader.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/store_answers.hpp>
#include <utility>

namespace persimmonpoint::platform {

namespace json = boost::json;
namespace urls = boost::urls;

namespace {

constexpr unsigned status_ok = 200;
constexpr std::string_view era_header = "Store-Era";
/// Bytes of a row's value in base64, with room for larger rows than the published ones.
constexpr std::size_t max_value_bytes = 16 * 1024 * 1024;

error malformed(std::string_view call, field_fault const& fault) {
    return error{
        "58030",
        std::string(call) + " answered with a field " + fault.field + " that " +
            fault.reason,
        effect::not_run};
}

std::string encoded(std::string_view text) {
    return urls::encode(text, urls::unreserved_chars);
}

stored_row read_row(field_reader& fields) {
    stored_row row;
    row.key = fields.text("key");
    row.version = fields.number("row_version");
    row.removed = fields.optional_flag("tombstone");
    if (fields.has("value")) {
        row.value =
            decode_base64(fields.text("value", max_value_bytes)).value_or(std::string());
    }
    return row;
}

} // namespace

error unexpected_status(std::string_view call, unsigned status) {
    return error{
        "58030", std::string(call) + " answered status " + std::to_string(status),
        effect::not_run};
}

result<std::uint64_t> read_era(http_reply const& reply) {
    std::string_view const text = reply.header(era_header);
    std::uint64_t era = 0;
    if (text.empty()) {
        return era;
    }
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), era);
    if (failure != std::errc() || end != text.data() + text.size()) {
        return error{
            "58030", "the store's era is no number: " + std::string(text),
            effect::unknown};
    }
    return era;
}

result<row_page> read_page(std::string_view call, http_reply const& reply) {
    if (reply.status != status_ok) {
        return unexpected_status(call, reply.status);
    }
    auto const object = parse_object(reply.body);
    if (!object) {
        return error{
            "58030", std::string(call) + " answered no JSON object", effect::not_run};
    }
    auto const era = read_era(reply);
    if (!era) {
        return era.error();
    }
    field_reader fields(*object);
    row_page page;
    page.version = store_version{era.value(), fields.number("row_version")};
    page.now_ms = fields.optional_number("now_ms");
    page.has_more = fields.optional_flag("has_more");
    for (json::value const& each : fields.list("rows")) {
        if (!each.is_object()) {
            fields.fail("rows", "holds another value than an object");
            break;
        }
        field_reader row(each.as_object());
        page.rows.push_back(read_row(row));
        if (row.fault()) {
            return malformed(call, *row.fault());
        }
    }
    if (fields.fault()) {
        return malformed(call, *fields.fault());
    }
    return page;
}

std::string
list_target(std::string_view table, std::string_view part, std::string_view from) {
    std::string target =
        "/api/rows-get?table=" + encoded(table) + "&part=" + encoded(part) + "&limit=500";
    if (!from.empty()) {
        target += "&from=" + encoded(from);
    }
    return target;
}

} // namespace persimmonpoint::platform
