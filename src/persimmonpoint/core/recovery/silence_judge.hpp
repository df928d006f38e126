#ifndef PERSIMMONPOINT_CORE_RECOVERY_SILENCE_JUDGE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_SILENCE_JUDGE_HPP_INCLUDED

#include <cstdint>
#include <optional>

namespace persimmonpoint {

enum class silence_verdict {
    heard,   ///< Something came meanwhile: the question is settled.
    wait,    ///< Ask again later.
    give_up, ///< The answer was lost; none will come.
};

/// Judges a connection that says nothing by what the database says elsewhere of the
/// statement that runs on it.
///
/// The database may have sent the answer just before it calls the connection idle, and
/// the host may see the two in either order. So only the second such word counts, and
/// none that was asked for before something came.
class silence_judge {
public:
    /// A statement was sent; or its answer has begun to come.
    void reset();
    /// Number of a question to the database about the connection.
    std::uint64_t ask() const { return this->round; }
    /// `active`: whether the statement runs; empty if the database did not say.
    silence_verdict answered(std::uint64_t question, std::optional<bool> active);

private:
    std::uint64_t round = 0;
    bool was_idle = false;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_SILENCE_JUDGE_HPP_INCLUDED
