#ifndef PERSIMMONPOINT_POSTGRES_CANCELLER_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_CANCELLER_HPP_INCLUDED

struct pg_cancel;

namespace persimmonpoint::postgres {

/// Sends a cancel request from a thread of its own, because libpq 15 blocks while it
/// does. Takes ownership. Requests beyond a fixed backlog are dropped: a cancel is best
/// effort.
void cancel_in_background(pg_cancel* request);

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_CANCELLER_HPP_INCLUDED
