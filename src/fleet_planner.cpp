#include "fleet_planner.h"

namespace briarvane
{

FleetPlanner::FleetPlanner(const FleetPlannerSettings &settings, bool hadOwner, TimePoint acquiredAt)
    : m_settings(settings)
    , m_waves(settings.waveSettings)
    , m_pools(settings.poolSettings)
    , m_orders(settings.orderSettings)
    , m_ordersAllowedFrom(hadOwner ? acquiredAt + settings.takeoverDelay : acquiredAt)
    , m_predecessorSendsUntil(hadOwner ? acquiredAt + settings.maxProofAge : acquiredAt)
    , m_inheritedUntil(
          std::max(m_ordersAllowedFrom, m_predecessorSendsUntil + settings.orderTimeout + settings.orderMargin))
{
}

void FleetPlanner::inheritVacating(std::set<std::string> executors, std::uint64_t revision)
{
    m_inherited = executors;
    published(std::move(executors), revision);
}

void FleetPlanner::setSparePools(std::set<std::string> pools)
{
    m_sparePools = std::move(pools);
}

void FleetPlanner::setInstances(const std::vector<PooledInstance> &instances, TimePoint askedAt, TimePoint now)
{
    m_listedAt = askedAt;
    m_orders.setInstances(instances);
    m_waves.setInstances(instances, m_sparePools, askedAt);
    m_pools.setInstances(instances, m_sparePools, now);
}

void FleetPlanner::setVacated(const std::map<std::string, std::uint64_t> &executors)
{
    m_waves.setVacated(executors);
    m_pools.setVacated(executors);
}

void FleetPlanner::setBlocked(const std::map<std::string, std::uint64_t> &executors)
{
    m_waves.setBlocked(executors);
    m_pools.setBlocked(executors);
}

void FleetPlanner::setLoad(const std::string &pool, PoolLoad load)
{
    m_waves.setDemand(pool, load.demandMilliCores);
    m_pools.setLoad(pool, std::move(load));
}

void FleetPlanner::confirmed(TimePoint provenAt)
{
    m_provenAt = std::max(m_provenAt, provenAt);
}

bool FleetPlanner::mayOrder(TimePoint now) const
{
    // A list from before the predecessor's last order may show an instance in the pool that the order took it from.
    return now >= m_ordersAllowedFrom && now - m_provenAt < m_settings.maxProofAge
        && now - m_listedAt < m_settings.maxListAge && m_listedAt >= m_predecessorSendsUntil;
}

void FleetPlanner::plan(TimePoint now)
{
    if (!mayOrder(now)) {
        return;
    }
    if (!m_isPublishing) {
        m_waves.setPublishedVacating(m_published, m_publishedRevision);
        m_pools.setPublishedVacating(m_published, m_publishedRevision);
    }
    m_waves.setMoving(m_pools.movingInstances());
    for (MaintenanceRequest &request : m_waves.tick(now, m_orders.room())) {
        m_orders.add({std::move(request)});
    }
    m_pools.setInMaintenance(m_waves.instancesInMaintenance());
    for (MoveRequest &request : m_pools.tick(now, m_orders.room())) {
        m_orders.add({std::move(request)});
    }
}

std::vector<FleetOrder> FleetPlanner::takeOrders(TimePoint now)
{
    return mayOrder(now) ? m_orders.takeDue() : std::vector<FleetOrder>();
}

void FleetPlanner::answered(const FleetOrder &order, OrderResult result, TimePoint now)
{
    const OrderResult outcome = m_orders.answered(order, result);
    const bool refused = outcome == OrderResult::Refused || outcome == OrderResult::Impossible;
    const bool isPermanent = outcome == OrderResult::Impossible;
    if (const auto *maintenance = std::get_if<MaintenanceRequest>(&order.request)) {
        if (outcome == OrderResult::Begun) {
            m_waves.maintenanceBegun(maintenance->wave, maintenance->instance, now);
        } else if (refused) {
            m_waves.maintenanceRefused(maintenance->wave, maintenance->instance, isPermanent, now);
        }
        return;
    }
    if (outcome == OrderResult::Begun) {
        m_pools.moveAccepted(order.instance(), now);
    } else if (refused) {
        m_pools.moveRefused(order.instance(), isPermanent, now);
    }
    // The planners repeat an order of unknown outcome; a repeated order has no second effect.
}

std::set<std::string> FleetPlanner::vacating(TimePoint now) const
{
    std::set<std::string> executors = m_waves.vacating();
    executors.merge(m_pools.vacating());
    executors.merge(m_orders.executors());
    if (now < m_inheritedUntil) {
        executors.insert(m_inherited.begin(), m_inherited.end());
    }
    return executors;
}

void FleetPlanner::publishing()
{
    m_isPublishing = true;
}

void FleetPlanner::published(std::set<std::string> executors, std::uint64_t revision)
{
    m_isPublishing = false;
    m_published = std::move(executors);
    m_publishedRevision = revision;
}

bool FleetPlanner::inProgress() const
{
    return !m_waves.allWavesCompleted() || m_pools.hasMoves();
}

}
