#include <charconv>
#include <persimmonpoint/postgres/group_state_query.hpp>

namespace persimmonpoint::postgres {

namespace {

bool read_number(field const& text, std::uint64_t& number) {
    if (!text) {
        return false;
    }
    char const* const last = text->data() + text->size();
    auto const [end, failure] = std::from_chars(text->data(), last, number);
    return failure == std::errc() && end == last;
}

} // namespace

std::optional<database_report> parse_group_state(std::span<field const> fields) {
    constexpr std::size_t column_count = 5;
    if (fields.size() != column_count || !fields[1]) {
        return std::nullopt;
    }
    database_report report;
    std::uint64_t heard_ms = 0;
    bool const complete = read_number(fields[0], report.term) &&
                          read_number(fields[2], report.end_of_log.term) &&
                          read_number(fields[3], report.end_of_log.offset) &&
                          read_number(fields[4], heard_ms);
    if (!complete) {
        return std::nullopt;
    }
    report.is_primary = *fields[1] == "primary";
    report.since_primary_contact = std::chrono::milliseconds(heard_ms);
    return report;
}

} // namespace persimmonpoint::postgres
