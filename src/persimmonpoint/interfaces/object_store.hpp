#ifndef PERSIMMONPOINT_INTERFACES_OBJECT_STORE_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_OBJECT_STORE_HPP_INCLUDED

#include <functional>
#include <persimmonpoint/core/error.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// The platform's object store: whole objects by name.
class object_store {
public:
    using get_handler = std::function<void(result<std::string>)>;
    using put_handler = std::function<void(result<void>)>;

    virtual ~object_store() = default;
    virtual void get(std::string_view name, get_handler handler) = 0;
    virtual void
    put(std::string_view name, std::string_view body, put_handler handler) = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_OBJECT_STORE_HPP_INCLUDED
