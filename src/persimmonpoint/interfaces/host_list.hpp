#ifndef PERSIMMONPOINT_INTERFACES_HOST_LIST_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_HOST_LIST_HPP_INCLUDED

#include <functional>
#include <persimmonpoint/core/error.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

enum class host_state { live, leaving };

struct listed_host {
    std::string name;
    std::string address;
    std::string availability_zone;
    host_state state = host_state::live;
};

/// The platform's list of hosts. It lags: a listed host may be dead, a live one missing.
class host_list {
public:
    using handler = std::function<void(result<std::vector<listed_host>>)>;

    virtual ~host_list() = default;
    virtual void list(handler handler) = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_HOST_LIST_HPP_INCLUDED
