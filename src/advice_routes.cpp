#include "advice_routes.h"

#include <algorithm>

namespace briarvane
{

void AdviceRoutes::setEntries(const std::set<std::string> &names)
{
    std::erase_if(m_entries, [&names](const auto &entry) { return !names.contains(entry.first); });
    for (const std::string &name : names) {
        m_entries.try_emplace(name);
    }
}

std::optional<std::string> AdviceRoutes::pick(TimePoint now)
{
    auto best = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        if (entry->second.pendingCalls >= CallsPerEntry || now < entry->second.pausedUntil) {
            continue;
        }
        const auto order = [](const Entry &candidate) { return std::pair(candidate.pendingCalls, candidate.lastPick); };
        if (best == m_entries.end() || order(entry->second) < order(best->second)) {
            best = entry;
        }
    }
    if (best == m_entries.end()) {
        return std::nullopt;
    }
    ++best->second.pendingCalls;
    best->second.lastPick = ++m_pickCount;
    return best->first;
}

void AdviceRoutes::ended(const std::string &entry, bool answered, TimePoint now)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end()) {
        return;
    }
    found->second.pendingCalls = std::max(0, found->second.pendingCalls - 1);
    if (!answered) {
        found->second.pausedUntil = now + FailurePause;
    }
}

}
