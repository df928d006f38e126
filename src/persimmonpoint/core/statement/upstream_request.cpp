#include <persimmonpoint/core/statement/upstream_request.hpp>

namespace persimmonpoint {

char const* to_string(upstream_refusal refusal) {
    switch (refusal) {
    case upstream_refusal::unreachable:
        return "unreachable";
    case upstream_refusal::queue_full:
        return "queue_full";
    case upstream_refusal::expired:
        return "expired";
    case upstream_refusal::transaction_lost:
        return "transaction_lost";
    case upstream_refusal::unconfirmed:
        return "unconfirmed";
    case upstream_refusal::fenced:
        return "fenced";
    case upstream_refusal::overloaded:
        return "overloaded";
    default:
        return "none";
    }
}

} // namespace persimmonpoint
