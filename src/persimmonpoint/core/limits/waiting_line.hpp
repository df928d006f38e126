#ifndef PERSIMMONPOINT_CORE_LIMITS_WAITING_LINE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_WAITING_LINE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace persimmonpoint {

/// Where a waiting item stands.
struct line_place {
    bool urgent = false;       ///< Goes before all that is not.
    std::int64_t priority = 0; ///< A smaller number goes first.
    instant start_by{};        ///< Of no use any more from then on.
    std::string team{};        ///< Teams take turns within a priority.
};

/// Items that wait to be started: urgent ones first, then by priority. Within a priority
/// teams take turns, and the items of one team go by arrival.
///
/// Load it answers: a database that is given more than it can run. A team that floods it
/// delays its own items only, and a long burst of one priority leaves a part of the room
/// to those below it.
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
        if (this->entries.empty()) {
            this->turns.clear();
        }
        std::uint64_t const turn = this->next_turn(place);
        this->turns[place.priority].last_by_team[place.team] = turn;
        this->entries.emplace(
            key(!place.urgent, place.priority, turn, ++this->arrivals),
            entry{std::move(item), place.start_by, bytes});
        this->waiting_bytes += bytes;
    }

    /// Items that would be started before one that is pushed now.
    std::size_t ahead_of(line_place const& place) const {
        key const last(
            !place.urgent, place.priority, this->next_turn(place),
            std::numeric_limits<std::uint64_t>::max());
        return static_cast<std::size_t>(
            std::distance(this->entries.begin(), this->entries.upper_bound(last)));
    }

    /// Offers each item in turn. `choose` returns where it can be started, or nothing
    /// that tests true; `start` gets that and the item, which waits no more.
    template <class Choose, class Start>
    void start_what_can(Choose choose, Start start) {
        if (this->passed_over >= most_passed_over) {
            this->try_start(this->first_passed_over(), choose, start);
        }
        for (auto each = this->entries.begin(); each != this->entries.end();) {
            each = this->try_start(each, choose, start);
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
    /// Not urgent, priority, turn, arrival.
    using key = std::tuple<bool, std::int64_t, std::uint64_t, std::uint64_t>;

    /// Starts in a row that go before an item of a lower priority.
    static constexpr unsigned most_passed_over = 7;

    struct team_turns {
        std::uint64_t present = 0; ///< Of the item that was started last.
        std::map<std::string, std::uint64_t> last_by_team;
    };

    struct entry {
        Item item;
        instant start_by;
        std::size_t bytes;
    };

    using entry_map = std::map<key, entry>;

    std::uint64_t next_turn(line_place const& place) const {
        auto const turns_of = this->turns.find(place.priority);
        if (turns_of == this->turns.end()) {
            return 0;
        }
        team_turns const& known = turns_of->second;
        auto const last = known.last_by_team.find(place.team);
        return last == known.last_by_team.end()
                   ? known.present
                   : std::max(known.present, last->second + 1);
    }

    static std::int64_t priority_of(key const& place) { return std::get<1>(place); }

    /// The first item of the priority that follows the first one's; the end if there is
    /// only one priority.
    typename entry_map::iterator first_passed_over() {
        auto const begin = this->entries.begin();
        return begin == this->entries.end()
                   ? begin
                   : this->entries.upper_bound(
                         key(std::get<0>(begin->first), priority_of(begin->first),
                             std::numeric_limits<std::uint64_t>::max(),
                             std::numeric_limits<std::uint64_t>::max()));
    }

    /// Starts the item if it can be, and returns the one behind it.
    template <class Choose, class Start>
    typename entry_map::iterator
    try_start(typename entry_map::iterator each, Choose& choose, Start& start) {
        if (each == this->entries.end()) {
            return each;
        }
        auto const place = choose(std::as_const(each->second.item));
        if (!place) {
            return std::next(each);
        }
        this->note_start(each->first);
        Item item = std::move(each->second.item);
        this->waiting_bytes -= each->second.bytes;
        each = this->entries.erase(each);
        start(place, std::move(item));
        return each;
    }

    void note_start(key const& started) {
        auto const turns_of = this->turns.find(priority_of(started));
        if (turns_of != this->turns.end()) {
            turns_of->second.present =
                std::max(turns_of->second.present, std::get<2>(started));
        }
        bool const passes_over =
            priority_of(started) < priority_of(this->entries.rbegin()->first);
        this->passed_over = passes_over ? this->passed_over + 1 : 0;
    }

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
    unsigned passed_over = 0;
    std::map<std::int64_t, team_turns> turns; ///< By priority.
    entry_map entries;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_WAITING_LINE_HPP_INCLUDED
