#pragma once

// Divides the quotas of the workspaces among the partitions while this entry owns the fleet partition. Reads and writes
// nothing while no workspace has a quota.

#include "boot_clock.h"
#include "job_keys.h"
#include "log.h"
#include "ownership_guard.h"
#include "partition_ownership.h"
#include "workspace_quota.h"

namespace briarvane
{

struct QuotaOwnerSettings
{
    Duration writePause{300'000};  // shortest time between two divisions; reports of several partitions are joined
    Duration storeTimeout{700'000};
    Duration retryPause{150'000};  // pause after a failed call to the store
    /// Time between two divisions while a partition waits for its turn.
    Duration claimPeriod{300'000};
};

template<Store S>
class QuotaOwner : private OwnershipGuard
{
public:
    /// `ownershipLost` is called at most once. The caller must destroy the owner after the function has returned.
    QuotaOwner(S &store, Timers &timers, std::uint64_t fencingToken, QuotaOwnerSettings settings,
               std::function<void(std::string_view why)> ownershipLost)
        : OwnershipGuard(timers, fencingToken, [this] { reportOwnershipLost("unexpected-error"); })
        , m_store(store)
        , m_writer(store, keys::owner(keys::FleetPartition), fencingToken)
        , m_settings(settings)
        , m_reportLoss(std::move(ownershipLost))
    {
    }

    void setQuotas(const Quotas &quotas, const std::vector<std::string> &partitions)
    {
        m_hasQuotas = m_hasQuotas || !quotas.empty();
        m_divider.setQuotas(quotas, partitions);
        schedule();
    }
    void setReport(const std::string &partition, const QuotaReport &report)
    {
        m_divider.setReport(partition, report);
        schedule();
    }

private:
    enum class State { NotRead, Reading, Idle, Writing };

    void reportOwnershipLost(std::string_view why)
    {
        if (!std::exchange(m_ownershipLost, true)) {
            m_reportLoss(why);
        }
    }

    void schedule()
    {
        if (!m_hasQuotas || m_ownershipLost || std::exchange(m_scheduled, true)) {
            return;
        }
        const Duration pause = std::max(Duration{0}, m_writtenAt + m_settings.writePause - steadyNow());
        later(pause, [this] {
            m_scheduled = false;
            run();
        });
    }

    void run()
    {
        if (m_state == State::NotRead) {
            read();
        } else if (m_state == State::Idle) {
            divide();
        }
    }

    /// Reads the stored parts: at the start, and after a write that may have been done or has failed. A write that
    /// comes late after the next one fails on the revision that it expects.
    void read()
    {
        m_state = State::Reading;
        m_store.read(keys::FleetQuotaParts, m_settings.storeTimeout, guarded([this](const StoreReply &reply) {
                         const bool exists = reply.outcome == StoreOutcome::Done && !reply.items.empty();
                         QuotaParts stored;
                         if (exists) {
                             const StoreItem &item = reply.items.front();
                             auto parts = parseQuotaParts(item.value, item.revision);
                             if (!parts) {
                                 logRepeated(LogLevel::Error, "quota-parts-unreadable", "quota",
                                             {{"why", parts.error().message}});
                             } else {
                                 stored = std::move(parts.value());
                             }
                             m_writer.recordRevision(keys::FleetQuotaParts, item.revision);
                         }
                         if ((exists && stored.revision == 0) || (!exists && reply.outcome != StoreOutcome::NotFound)) {
                             m_state = State::NotRead;
                             later(m_settings.retryPause, [this] { run(); });
                             return;
                         }
                         m_divider.setStored(std::move(stored));
                         m_state = State::Idle;
                         divide();
                     }));
    }

    void divide()
    {
        auto next = m_divider.next(bootNow());
        if (m_divider.hasClaims() && !std::exchange(m_claimsScheduled, true)) {
            later(m_settings.claimPeriod, [this] {
                m_claimsScheduled = false;
                schedule();
            });
        }
        if (!next) {
            return;
        }
        m_state = State::Writing;
        m_writtenAt = steadyNow();
        StoreTxn txn;
        txn.writes.push_back({keys::FleetQuotaParts, encodeQuotaParts(*next), 0});
        m_writer.commit(std::move(txn), m_settings.storeTimeout,
                        guarded([this, parts = std::move(*next)](const StoreReply &reply, bool deposed) {
                            if (deposed) {
                                reportOwnershipLost("precondition");
                                return;
                            }
                            if (reply.outcome != StoreOutcome::Done) {
                                m_state = State::NotRead;
                                later(m_settings.retryPause, [this] { run(); });
                                return;
                            }
                            QuotaParts stored = parts;
                            stored.revision = reply.revision;
                            logEvent(LogLevel::Info, "quotas-divided", {{"revision", std::to_string(reply.revision)}});
                            m_divider.setStored(std::move(stored));
                            m_state = State::Idle;
                            schedule();
                        }));
    }

    S &m_store;
    FencedWriter<S> m_writer;
    QuotaOwnerSettings m_settings;
    std::function<void(std::string_view why)> m_reportLoss;
    QuotaDivider m_divider;
    State m_state = State::NotRead;
    TimePoint m_writtenAt;
    bool m_hasQuotas = false;
    bool m_scheduled = false;
    bool m_claimsScheduled = false;
    bool m_ownershipLost = false;
};

}
