#pragma once

// Which entry passes a call to the advice service. Decisions only.
//
// Load that this answers: the service handles the calls of one entry one after another, each for some tenths of a
// second, so an owner that made all calls itself could serve about three steps a second. Calls go through all entries.

#include "types.h"

#include <map>
#include <set>

namespace briarvane
{

class AdviceRoutes
{
public:
    static constexpr int CallsPerEntry = 2;  // the second waits at the service while the first one's answer travels
    static constexpr Duration FailurePause{2'000'000};  // an entry whose call failed is left alone; it may be stopping

    void setEntries(const std::set<std::string> &names);
    /// The entry with the fewest calls under way; none when all are busy or have failed lately.
    std::optional<std::string> pick(TimePoint now);
    void ended(const std::string &entry, bool answered, TimePoint now);

    /// Calls that may be under way at the same time.
    int room() const
    {
        return CallsPerEntry * static_cast<int>(m_entries.size());
    }

private:
    struct Entry
    {
        int calls = 0;
        std::uint64_t lastPick = 0;
        TimePoint pausedUntil;
    };

    std::map<std::string, Entry> m_entries;
    std::uint64_t m_picks = 0;
};

}
