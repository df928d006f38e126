#ifndef PERSIMMONPOINT_CORE_LIMITS_FAIR_QUEUE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_FAIR_QUEUE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonpoint {

/// Waiting requests by team: the teams take turns, and within a team the first to come is
/// the first served. A team that floods the queue delays its own requests only.
template <class Item>
class fair_queue {
public:
    void push(std::string_view team, Item item, instant deadline) {
        auto found = this->teams.find(team);
        if (found == this->teams.end()) {
            found = this->teams.emplace(std::string(team), waiting()).first;
        }
        if (found->second.empty()) {
            this->turns.push_back(found->first);
        }
        found->second.push_back(entry{std::move(item), deadline});
        ++this->count;
    }

    /// The next request in turn; nothing if none waits.
    std::optional<Item> pop() {
        if (this->turns.empty()) {
            return std::nullopt;
        }
        std::string const team = std::move(this->turns.front());
        this->turns.pop_front();
        auto const found = this->teams.find(team);
        Item item = std::move(found->second.front().item);
        found->second.pop_front();
        --this->count;
        if (found->second.empty()) {
            this->teams.erase(found);
        } else {
            this->turns.push_back(team);
        }
        return item;
    }

    /// Takes out every request whose deadline has passed.
    std::vector<Item> expire(instant now) {
        return this->remove_if([now](entry const& each) { return each.deadline <= now; });
    }

    /// Takes out every request that the predicate holds for.
    template <class Predicate>
    std::vector<Item> remove_items(Predicate predicate) {
        return this->remove_if([&](entry const& each) { return predicate(each.item); });
    }

    std::optional<instant> next_deadline() const {
        std::optional<instant> earliest;
        for (auto const& each : this->teams) {
            for (entry const& request : each.second) {
                earliest =
                    std::min(earliest.value_or(request.deadline), request.deadline);
            }
        }
        return earliest;
    }

    std::size_t size() const { return this->count; }
    bool empty() const { return this->count == 0; }

    std::size_t size_of(std::string_view team) const {
        auto const found = this->teams.find(team);
        return found == this->teams.end() ? 0 : found->second.size();
    }

private:
    struct entry {
        Item item;
        instant deadline;
    };
    using waiting = std::deque<entry>;

    template <class Predicate>
    std::vector<Item> remove_if(Predicate predicate) {
        std::vector<Item> removed;
        for (auto team = this->teams.begin(); team != this->teams.end();) {
            waiting kept;
            for (entry& each : team->second) {
                if (predicate(each)) {
                    removed.push_back(std::move(each.item));
                } else {
                    kept.push_back(std::move(each));
                }
            }
            team->second = std::move(kept);
            if (team->second.empty()) {
                std::erase(this->turns, team->first);
                team = this->teams.erase(team);
            } else {
                ++team;
            }
        }
        this->count -= removed.size();
        return removed;
    }

    std::map<std::string, waiting, std::less<>> teams;
    std::deque<std::string> turns;
    std::size_t count = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_FAIR_QUEUE_HPP_INCLUDED
