#include <persimmonpoint/core/catalog/directory_changes.hpp>

namespace persimmonpoint {

namespace {

void add(std::string& text, std::string const& id, char const* what) {
    text += (text.empty() ? "" : ", ") + id + " " + what;
}

} // namespace

std::string
describe_changes(listed_databases const& before, listed_databases const& after) {
    std::string text;
    for (auto const& [id, entry] : before) {
        if (after.count(id) == 0) {
            add(text, id, "gone");
        }
    }
    for (auto const& [id, entry] : after) {
        auto const found = before.find(id);
        if (found == before.end()) {
            add(text, id, "new");
        } else if (found->second.started_ms != entry.started_ms) {
            add(text, id, "started again");
        } else if (found->second.group != entry.group) {
            add(text, id, "in another group");
        } else if (entry.leaving && !found->second.leaving) {
            add(text, id, "leaving");
        } else if (entry.cold_remaining_ms > 0 && found->second.cold_remaining_ms == 0) {
            add(text, id, "cold");
        } else if (entry.cold_remaining_ms == 0 && found->second.cold_remaining_ms > 0) {
            add(text, id, "warm");
        }
    }
    return text;
}

} // namespace persimmonpoint
