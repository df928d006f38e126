#include <persimmonpoint/core/routing/prepared_names.hpp>
#include <utility>

namespace persimmonpoint {

std::optional<prepared_name> prepared_names::find(prepared_shape const& shape) const {
    auto const found = this->names.find(shape);
    if (found == this->names.end()) {
        return std::nullopt;
    }
    return found->second;
}

void prepared_names::add_next(prepared_shape shape) {
    std::size_t const bytes = shape.shape.size();
    bool const is_new =
        this->names.insert_or_assign(std::move(shape), this->next()).second;
    this->shape_bytes += is_new ? bytes : 0;
    ++this->last_number;
}

void prepared_names::clear() {
    this->names.clear();
    this->shape_bytes = 0;
}

} // namespace persimmonpoint
