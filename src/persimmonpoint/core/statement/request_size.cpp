#include <persimmonpoint/core/statement/request_size.hpp>

namespace persimmonpoint {

std::size_t size_in_bytes(upstream_request const& order) {
    std::size_t bytes = order.id.size() + order.text.size();
    bytes += order.prepared ? order.prepared->shape.size() : 0;
    for (auto const& [name, value] : order.values) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace persimmonpoint
