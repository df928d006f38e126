#ifndef PERSIMMONPOINT_CORE_LIMITS_WAITING_LINE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_WAITING_LINE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <persimmonpoint/core/time.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace persimmonpoint {

/// Where a waiting item stands.
struct line_place {
    bool urgent = false;       ///< Goes before all that is not.
    std::int64_t priority = 0; ///< A smaller number goes first.
    instant start_by{};        ///< Of no use any more from then on.
};

/// Items that wait to be started: urgent ones first, then by priority, then by arrival.
template <class Item>
class waiting_line {
public:
    /// `most`: items that may wait. `most_bytes`: their sizes together.
    explicit waiting_line(
        std::size_t most,
        std::size_t most_bytes = std::numeric_limits<std::size_t>::max())
        : most(most), most_bytes(most_bytes) {}

    bool full() const { return this->entries.size() >= this->most; }
    /// True if one more item of so many bytes may wait.
    bool has_room(std::size_t bytes) const {
        return !this->full() && bytes <= this->most_bytes - this->waiting_bytes;
    }
    bool empty() const { return this->entries.empty(); }
    std::size_t size() const { return this->entries.size(); }

    /// The line has room for the bytes.
    void push(line_place const& place, Item item, std::size_t bytes = 0) {
        this->entries.emplace(
            key(!place.urgent, place.priority, ++this->arrivals),
            entry{std::move(item), place.start_by, bytes});
        this->waiting_bytes += bytes;
    }

    /// Offers each item in turn. `choose` returns where it can be started, or nothing
    /// that tests true; `start` gets that and the item, which waits no more.
    template <class Choose, class Start>
    void start_what_can(Choose choose, Start start) {
        for (auto each = this->entries.begin(); each != this->entries.end();) {
            auto const place = choose(std::as_const(each->second.item));
            if (!place) {
                ++each;
                continue;
            }
            Item item = std::move(each->second.item);
            this->waiting_bytes -= each->second.bytes;
            each = this->entries.erase(each);
            start(place, std::move(item));
        }
    }

    /// Takes out what was to start by `now`.
    std::vector<Item> take_expired(instant now) {
        return this->take([now](entry const& each) { return each.start_by <= now; });
    }

    /// Takes out every item that the predicate holds for.
    template <class Predicate>
    std::vector<Item> take_if(Predicate predicate) {
        return this->take(
            [&predicate](entry const& each) { return predicate(each.item); });
    }

    std::vector<Item> take_all() {
        return this->take([](entry const&) { return true; });
    }

private:
    using key = std::tuple<bool, std::int64_t, std::uint64_t>;

    struct entry {
        Item item;
        instant start_by;
        std::size_t bytes;
    };

    template <class Predicate>
    std::vector<Item> take(Predicate predicate) {
        std::vector<Item> out;
        for (auto each = this->entries.begin(); each != this->entries.end();) {
            if (predicate(each->second)) {
                out.push_back(std::move(each->second.item));
                this->waiting_bytes -= each->second.bytes;
                each = this->entries.erase(each);
            } else {
                ++each;
            }
        }
        return out;
    }

    std::size_t most;
    std::size_t most_bytes;
    std::size_t waiting_bytes = 0;
    std::uint64_t arrivals = 0;
    std::map<key, entry> entries;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_WAITING_LINE_HPP_INCLUDED
