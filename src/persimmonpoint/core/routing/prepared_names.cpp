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
    this->names.insert_or_assign(std::move(shape), this->next());
    ++this->last_number;
}

void prepared_names::clear() {
    this->names.clear();
}

} // namespace persimmonpoint
