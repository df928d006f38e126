#ifndef PERSIMMONPOINT_TESTS_SOAK_FAULT_PROXY_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SOAK_FAULT_PROXY_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace persimmonpoint::tests {

enum class link_fault {
    none,
    delayed, ///< Each piece is forwarded a while later.
    cut,     ///< Nothing passes in either direction until it heals; new connections hang.
    one_way, ///< Nothing passes towards the target until it heals.
    refusing ///< Open connections are reset, and so are new ones.
};

/// Forwards TCP connections to a port on loopback and disturbs them. Used from its loop's
/// thread.
class fault_proxy {
public:
    /// Number of whoever opened a connection, by the ports at its end and at the proxy's.
    using caller_lookup =
        std::function<std::size_t(std::uint16_t near, std::uint16_t far)>;

    fault_proxy(
        boost::asio::io_context& loop,
        std::uint16_t target,
        caller_lookup caller_at = nullptr);
    ~fault_proxy();

    std::uint16_t port() const;
    /// For open connections and new ones, until it is set again.
    void set_fault(link_fault fault);
    /// Nothing passes between these callers and the target, whatever the fault is. For
    /// open connections and new ones, until it is set again.
    void cut_callers(std::set<std::size_t> callers);
    /// Open connections carry nothing any more, for good; new ones work.
    void silence();
    void reset();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SOAK_FAULT_PROXY_HPP_INCLUDED
