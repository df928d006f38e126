#include <persimmonpoint/core/placement/evacuation_tracker.hpp>
#include <utility>

namespace persimmonpoint {

bool evacuation_tracker::take(evacuation_list newer) {
    bool const differs = newer.zones != this->list.zones;
    this->list = std::move(newer);
    this->ever_evacuated = this->ever_evacuated || !this->list.zones.empty();
    return differs;
}

bool evacuation_tracker::read(evacuation_list stored) {
    return stored.version >= this->list.version && this->take(std::move(stored));
}

bool evacuation_tracker::received(evacuation_list const& told, bool reaches_store) {
    // A host that reads the store itself hears of each change as soon as the other does.
    bool const knows_better = reaches_store && this->list.version.is_known();
    return !knows_better && told.version > this->list.version && this->take(told);
}

std::optional<evacuation_list> evacuation_tracker::to_tell() const {
    return this->ever_evacuated ? std::optional(this->list) : std::nullopt;
}

} // namespace persimmonpoint
