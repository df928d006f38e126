#include <persimmonpoint/engine/peer_exchanges.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::engine {

namespace {

upstream_response link_lost() {
    upstream_response answer;
    answer.outcome = upstream_outcome::unknown;
    answer.refusal = upstream_refusal::unreachable;
    return answer;
}

} // namespace

upstream_response no_link() {
    upstream_response answer;
    answer.refusal = upstream_refusal::unreachable;
    return answer;
}

void peer_exchanges::add_order(std::uint64_t number, response_handler done) {
    this->orders.emplace(number, std::move(done));
}

void peer_exchanges::add_reach(
    std::uint64_t number, instant deadline, reach_handler done) {
    this->reach.emplace(number, reach_waiter{std::move(done), deadline});
}

void peer_exchanges::take(answer_message message) {
    auto const found = this->orders.find(message.number);
    if (found == this->orders.end()) {
        return;
    }
    response_handler const done = std::move(found->second);
    this->orders.erase(found);
    done(std::move(message.answer));
}

void peer_exchanges::take(reach_answer_message const& message) {
    auto const found = this->reach.find(message.number);
    if (found == this->reach.end()) {
        return;
    }
    reach_handler const done = std::move(found->second.done);
    this->reach.erase(found);
    done(message.reached ? reach_answer::reached : reach_answer::not_reached);
}

void peer_exchanges::expire(instant now) {
    std::vector<reach_handler> expired;
    for (auto each = this->reach.begin(); each != this->reach.end();) {
        if (each->second.deadline <= now) {
            expired.push_back(std::move(each->second.done));
            each = this->reach.erase(each);
        } else {
            ++each;
        }
    }
    for (reach_handler const& each : expired) {
        each(reach_answer::none);
    }
}

void peer_exchanges::drop(bool were_sent) {
    auto const open_orders = std::exchange(this->orders, {});
    auto const open_reach = std::exchange(this->reach, {});
    for (auto const& each : open_orders) {
        each.second(were_sent ? link_lost() : no_link());
    }
    for (auto const& each : open_reach) {
        each.second.done(reach_answer::none);
    }
}

bool peer_exchanges::empty() const {
    return this->orders.empty() && this->reach.empty();
}

std::size_t peer_exchanges::open_orders() const {
    return this->orders.size();
}

} // namespace persimmonpoint::engine
