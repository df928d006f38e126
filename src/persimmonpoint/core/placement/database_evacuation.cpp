#include <memory>
#include <persimmonpoint/core/placement/database_evacuation.hpp>

namespace persimmonpoint {

namespace {

// Parts of the limit, in percent. What is left is for news of the request to arrive.
constexpr int new_work_percent = 40;
constexpr int transactions_percent = 60;

std::shared_ptr<chart::chart const> loaded_chart() {
    static auto const loaded =
        chart::require("evacuation", evacuation_states, evacuation_events);
    return loaded;
}

} // namespace

database_evacuation::database_evacuation(duration limit)
    : machine(loaded_chart()), limit(limit) {}

bool database_evacuation::update(bool requested, bool leads, instant now) {
    evacuation_state const before = this->machine.state();
    if (!requested) {
        this->machine.fire(evacuation_event::taken_back);
        return this->machine.state() != before;
    }
    if (this->machine.fire(evacuation_event::requested)) {
        this->requested_at = now;
    }
    duration const passed = now - this->requested_at;
    if (!leads) {
        this->machine.fire(evacuation_event::lead_gone);
    }
    if (passed >= this->limit * new_work_percent / 100) {
        this->machine.fire(evacuation_event::work_time_over);
    }
    if (passed >= this->limit * transactions_percent / 100) {
        this->machine.fire(evacuation_event::transactions_time_over);
    }
    return this->machine.state() != before;
}

bool database_evacuation::takes_new_work() const {
    return this->machine.is(evacuation_state::in_service) ||
           this->machine.is(evacuation_state::moving_lead);
}

bool database_evacuation::takes_transactions() const {
    return !this->machine.is(evacuation_state::evacuated);
}

} // namespace persimmonpoint
