#include <algorithm>
#include <persimmonpoint/core/catalog/entry_rules.hpp>

namespace persimmonpoint {

namespace {

constexpr unsigned char first_printable = 0x21;
constexpr unsigned char delete_character = 0x7f;

/// Blanks and control characters end a word or a line of the protocol.
bool ends_word(char each) {
    auto const code = static_cast<unsigned char>(each);
    return code < first_printable || code == delete_character;
}

field_fault not_a_word(std::string_view field) {
    return field_fault{
        std::string(field),
        "is not a word of 1 to " + std::to_string(max_name_bytes) + " bytes"};
}

std::optional<field_fault> find_address_fault(std::string const& address) {
    if (is_plain_word(address)) {
        return std::nullopt;
    }
    return not_a_word("address");
}

} // namespace

bool is_plain_word(std::string_view name) {
    return !name.empty() && name.size() <= max_name_bytes &&
           std::none_of(name.begin(), name.end(), ends_word);
}

std::optional<field_fault> find_fault(registered_database const& entry) {
    if (!is_plain_word(entry.id)) {
        return not_a_word("id");
    }
    if (!is_plain_word(entry.group)) {
        return not_a_word("group");
    }
    if (entry.slots == 0 || !slots_range.contains(entry.slots)) {
        return field_fault{
            "slots", "is not from 1 to " + std::to_string(slots_range.most)};
    }
    if (!cold_time_range.contains(entry.cold_remaining_ms)) {
        return field_fault{
            "cold_remaining_ms",
            "is not from 0 to " + std::to_string(cold_time_range.most)};
    }
    return find_address_fault(entry.address);
}

std::optional<field_fault> find_fault(registered_host const& entry) {
    if (!is_plain_word(entry.name)) {
        return not_a_word("name");
    }
    return find_address_fault(entry.address);
}

} // namespace persimmonpoint
