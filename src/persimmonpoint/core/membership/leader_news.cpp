#include <persimmonpoint/core/membership/leader_news.hpp>

namespace persimmonpoint {

bool leader_news::worth_telling(
    std::string_view group, std::uint64_t term, std::uint64_t known_term) {
    if (term < known_term) {
        return false;
    }
    auto found = this->told.find(group);
    if (found == this->told.end()) {
        found = this->told.emplace(std::string(group), 0).first;
    }
    if (term <= found->second) {
        return false;
    }
    found->second = term;
    return true;
}

} // namespace persimmonpoint
