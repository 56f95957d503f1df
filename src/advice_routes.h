#pragma once

// Choice of the entry that passes a call on to the advice service. This class makes decisions only; it sends nothing.
//
// The service handles the calls of one entry one after another, and each call takes some tenths of a second. An owner
// that made all its calls itself could serve about three steps per second, so calls are distributed over all entries.

#include "types.h"

#include <map>
#include <set>

namespace briarvane
{

class AdviceRoutes
{
public:
    static constexpr int CallsPerEntry
        = 2;  // one call can wait at the service while the answer to the other is in transit
    // An entry whose call has failed gets no calls for this time, since the entry may be stopping.
    static constexpr Duration FailurePause{2'000'000};

    void setEntries(const std::set<std::string> &names);
    /// Assigns a call to the entry with the fewest pending calls. Returns none if every entry has CallsPerEntry pending
    /// calls or has failed recently.
    std::optional<std::string> pick(TimePoint now);
    /// Ends a call that pick() has assigned to the entry. `answered`: the call did not fail.
    void ended(const std::string &entry, bool answered, TimePoint now);

    /// Maximum number of calls that may be pending at the same time.
    int maxPendingCalls() const
    {
        return CallsPerEntry * static_cast<int>(m_entries.size());
    }

private:
    struct Entry
    {
        int pendingCalls = 0;
        std::uint64_t lastPick = 0;  // value of m_pickCount when the entry was last picked
        TimePoint pausedUntil;
    };

    std::map<std::string, Entry> m_entries;
    std::uint64_t m_pickCount = 0;
};

}
