#pragma once

// Slot permits: requests them from the entry responsible for a pool, and grants them where this entry is responsible.
// Runs on the I/O thread. `request`, `cancel`, `release`, `mayRetry` and `inFlight` are in permit_exchange.h.

#include "entry_cluster.h"
#include "fleet.h"
#include "permit_exchange.h"

namespace briarvane
{

/// Quota of each tenant in one pool. A router counts the slots of its own pool only, so a tenant's slots are divided
/// evenly among the pools that have a service. A tenant with at least one slot, but fewer slots than pools, gets
/// one slot in each pool.
inline std::map<TenantId, int> quotasPerPool(const Sheet &sheet)
{
    const auto serving = std::count_if(sheet.pools.begin(), sheet.pools.end(), [&](const PoolSpec &pool) {
        return std::any_of(sheet.services.begin(), sheet.services.end(),
                           [&](const ServiceSpec &service) { return service.pool == pool.id; });
    });
    std::map<TenantId, int> quotas;
    for (const QuotaSpec &quota : sheet.quotas) {
        const int part = quota.slots / std::max(1, static_cast<int>(serving));
        quotas[quota.tenant] = quota.slots > 0 ? std::max(1, part) : 0;
    }
    return quotas;
}

template<CoordinationService S>
class PermitClient : public PermitExchange<Cluster<S>>
{
public:
    explicit PermitClient(Cluster<S> &cluster)
        : PermitExchange<Cluster<S>>(cluster)
        , m_cluster(cluster)
    {
        this->startTimer();
    }

    /// Rebuilds the permit pools. Called on each change of the sheet, the fleet or the instance list.
    void configure(const Sheet &sheet, const Fleet &fleet)
    {
        const std::vector<InstanceRecord> &records = m_cluster.instances();
        const std::map<TenantId, int> quotas = quotasPerPool(sheet);
        std::vector<PermitPool> pools;
        for (const PoolSpec &spec : sheet.pools) {
            PermitPool pool{spec.id, spec.slots, {}, 0, {}, quotas};
            for (const InstanceId &id : admitted(fleet, spec.id, records)) {
                const auto record = std::find_if(records.begin(), records.end(),
                                                 [&](const InstanceRecord &item) { return item.id == id; });
                pool.admitted.push_back({id, record == records.end() ? std::string() : record->rack});
            }
            pool.members = static_cast<std::size_t>(
                std::count_if(fleet.instances.begin(), fleet.instances.end(),
                              [&](const auto &item) { return item.second.pool == spec.id; }));
            std::copy_if(sheet.services.begin(), sheet.services.end(), std::back_inserter(pool.services),
                         [&](const ServiceSpec &service) { return service.pool == spec.id; });
            pools.push_back(std::move(pool));
        }
        this->configurePools(std::move(pools));
    }

private:
    Cluster<S> &m_cluster;
};

}
