#include <algorithm>
#include <persimmonpoint/core/catalog/entry_rules.hpp>
#include <persimmonpoint/engine/message_check.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>

namespace persimmonpoint::engine {

namespace {

/// Longest time that a lender may tell a borrower to wait.
constexpr std::int64_t max_loan_wait_us = 3'600'000'000;

/// Ends of lines would make further messages of a statement's text.
bool is_one_line(std::string_view text) {
    constexpr std::string_view line_ends("\r\n\0", 3);
    return text.find_first_of(line_ends) == std::string_view::npos;
}

bool is_empty_or_word(std::string_view text) {
    return text.empty() || is_plain_word(text);
}

bool are_values(session_values const& values) {
    return std::all_of(values.begin(), values.end(), [](auto const& each) {
        return is_one_line(each.first) && is_one_line(each.second);
    });
}

bool is_order(upstream_request const& order) {
    return is_empty_or_word(order.group) && is_empty_or_word(order.database) &&
           is_empty_or_word(order.team) && is_one_line(order.id) &&
           is_one_line(order.text) && are_values(order.values) &&
           (!order.prepared || is_one_line(order.prepared->shape));
}

/// One overload for each kind of message whose fields are bounded.
struct field_check {
    bool operator()(hello_message const& message) const {
        return is_plain_word(message.host);
    }
    bool operator()(order_message const& message) const {
        return is_order(message.order);
    }
    bool operator()(loan_message const& message) const {
        return message.wait_us >= 0 && message.wait_us <= max_loan_wait_us;
    }
    bool operator()(leader_message const& message) const {
        return is_plain_word(message.group) && is_plain_word(message.database);
    }
    bool operator()(fence_message const& message) const {
        return std::all_of(
            message.fenced.begin(), message.fenced.end(), [](auto const& each) {
                return is_plain_word(each.group) && is_empty_or_word(each.primary);
            });
    }
    bool operator()(fence_answer_message const& message) const {
        return std::all_of(
            message.acknowledged.begin(), message.acknowledged.end(),
            [](auto const& each) {
                return is_plain_word(each.group) && is_plain_word(each.database);
            });
    }
    template <class Other>
    bool operator()(Other const&) const {
        return true;
    }
};

template <class Entry>
bool is_usable(Entry const& entry, std::string_view name) {
    auto fault = find_fault(entry);
    if (!fault && !net::parse_remote_endpoint(entry.address)) {
        fault = field_fault{"address", "is no IP number and port to connect to"};
    }
    if (fault) {
        observe::log_event(
            observe::log_level::warning, "entry_unusable",
            {{"from", "another host"},
             {"entry", name},
             {"reason", "field " + fault->field + " " + fault->reason}});
    }
    return !fault;
}

} // namespace

bool is_well_formed(peer_message const& message) {
    return std::visit(field_check(), message);
}

void remove_unusable(database_directory& directory) {
    std::erase_if(directory.databases, [](auto const& each) {
        return each.first != each.second.id || !is_usable(each.second, each.first);
    });
}

void remove_unusable(host_directory& hosts) {
    std::erase_if(
        hosts, [](registered_host const& each) { return !is_usable(each, each.name); });
}

} // namespace persimmonpoint::engine
