#include <persimmonpoint/core/statement/work_order.hpp>

namespace persimmonpoint {

char const* to_string(order_refusal refusal) {
    switch (refusal) {
    case order_refusal::unreachable:
        return "unreachable";
    case order_refusal::queue_full:
        return "queue_full";
    case order_refusal::expired:
        return "expired";
    case order_refusal::lane_lost:
        return "lane_lost";
    default:
        return "none";
    }
}

} // namespace persimmonpoint
