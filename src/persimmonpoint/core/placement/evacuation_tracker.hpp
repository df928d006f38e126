#ifndef PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_TRACKER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_TRACKER_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/placement/evacuation_list.hpp>
#include <string_view>

namespace persimmonpoint {

/// The evacuations that this host goes by: the store's word, or, while the store is out
/// of reach, that of another host which has read it later.
class evacuation_tracker {
public:
    /// Takes what the store says. True if other zones are evacuated than before.
    bool read(evacuation_list stored);
    /// Takes what another host says, if that is newer. True if other zones are evacuated.
    bool received(evacuation_list const& told, bool reaches_store);
    bool is_evacuated(std::string_view availability_zone) const {
        return this->list.zones.find(availability_zone) != this->list.zones.end();
    }
    evacuation_list const& current() const { return this->list; }
    /// What other hosts have to be told; nothing while no evacuation was ever seen.
    std::optional<evacuation_list> to_tell() const;

private:
    bool take(evacuation_list newer);

    evacuation_list list;
    bool ever_evacuated = false;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_PLACEMENT_EVACUATION_TRACKER_HPP_INCLUDED
