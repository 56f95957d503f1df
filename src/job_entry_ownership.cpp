// Membership of the entry, ownership of partitions, routes to the advice service and hooks of the owners.

#include "job_entry_parts.h"

#include <charconv>

namespace briarvane
{

// Membership and ownership --------------------------------------------------------------------------------------------

void JobEntry::requestLease()
{
    m_store.grantLease(LeaseTtl, [this](const StoreReply &granted) {
        m_jobApi.recordStoreReply(granted);
        if (granted.outcome != StoreOutcome::Done || granted.lease == 0) {
            later(LeaseRenewal / 2, [this] { requestLease(); });
            return;
        }
        m_lease = granted.lease;
        enterMembership();
    });
}

void JobEntry::enterMembership()
{
    StoreTxn txn;
    txn.writes.push_back({keys::entry(m_settings.name), m_stopping ? "stopping" : servingState(), m_lease});
    m_store.commit(txn, StoreTimeout, [this](const StoreReply &entered) {
        m_jobApi.recordStoreReply(entered);
        if (entered.outcome == StoreOutcome::NotFound) {  // the lease lapsed before the write
            requestLease();
            return;
        }
        if (entered.outcome != StoreOutcome::Done) {
            later(LeaseRenewal / 2, [this] { enterMembership(); });
            return;
        }
        if (!m_entered) {
            m_enteredAt = steadyNow();
            m_entered = true;
            logEvent(LogLevel::Info, "store-reached", {{"lease", std::to_string(m_lease)}});
        }
        later(LeaseRenewal, [this] { renewMembershipLease(); });
    });
}

/// Value that a serving entry publishes: its CPU share, its capability, and the endpoint for calls of other entries if
/// this entry can pass such calls on to the advice service.
std::string JobEntry::servingState() const
{
    std::string state = std::string(ServingState) + std::to_string(m_settings.cpuShare);
    state += PartitionsCapability;
    state += TransfersCapability;
    state += WaveStatusCapability;
    if (m_settings.metrics && m_advice) {
        state += ' ' + formatEndpoint(*m_settings.metrics);
    }
    return state;
}

void JobEntry::renewMembershipLease()
{
    m_store.renewLease(m_lease, [this](const StoreReply &renewed) {
        m_jobApi.recordStoreReply(renewed);
        if (renewed.outcome == StoreOutcome::NotFound) {
            logEvent(LogLevel::Warn, "lease-lapsed", {{"lease", std::to_string(m_lease)}});
            m_entered = false;
            requestLease();
            return;
        }
        later(renewed.outcome == StoreOutcome::Done ? LeaseRenewal : LeaseRenewal / 3,
              [this] { renewMembershipLease(); });
    });
}

void JobEntry::membershipItemChanged(const StoreItem &item)
{
    if (item.key.starts_with(keys::Entries)) {
        const std::string name = item.key.substr(keys::Entries.size());
        if (item.removed) {
            m_entries.erase(name);
        } else {
            m_entries[name] = item.value;
        }
        updateAdviceRoutes();
        updateCapabilities();
        return;
    }
    if (item.key.starts_with(keys::PartitionCounts)) {
        const std::string service = item.key.substr(keys::PartitionCounts.size());
        const std::optional<int> count = parsePartitionCount(item.value);
        if (item.removed || !count) {
            logEvent(LogLevel::Error, "partition-count-unreadable", {{"service", service}, {"value", item.value}});
            return;
        }
        m_partitionCounts.try_emplace(service, *count);
        updateQuotas();
        logEvent(LogLevel::Info, "partition-count", {{"service", service}, {"partitions", item.value}});
        return;
    }
    if (item.key.starts_with(keys::Backlogs)) {
        const std::string partition = item.key.substr(keys::Backlogs.size());
        m_backlogs.erase(partition);
        auto backlog = item.removed ? Result<Backlog>(Backlog()) : parseBacklog(item.value);
        if (!backlog) {
            logRepeated(LogLevel::Error, "backlog-unreadable", partition, {{"why", backlog.error().message}});
        } else if (!item.removed) {
            m_backlogs[partition] = {std::move(backlog.value()), bootNow(), 0};
        }
        return;
    }
    if (!item.key.starts_with(keys::Owners)) {
        return;
    }
    m_ownership.keyChanged(item.key.substr(keys::Owners.size()), item, steadyNow());
}

/// Lets the owners of this entry do what every serving entry must know: move jobs to other partitions, and drop the
/// records of completed waves.
void JobEntry::updateCapabilities()
{
    if (m_fleet) {
        m_fleet->setStatusTrusted(allServingEntriesHave(WaveStatusCapability));
    }
    for (const auto &[partition, owner] : m_partitions) {
        owner->setTransfersAllowed(allServingEntriesHave(TransfersCapability));
    }
}

/// Updates the entries that can pass calls to the advice service: this entry and all other serving entries that
/// publish an endpoint.
void JobEntry::updateAdviceRoutes()
{
    if (!m_advice) {
        return;
    }
    std::set<std::string> names{m_settings.name};
    for (const auto &[name, state] : m_entries) {
        const auto endpoint = parseEndpoint(state.substr(state.rfind(' ') + 1));
        if (name != m_settings.name && state.starts_with(ServingState) && endpoint) {
            names.insert(name);
            m_advice->setEntry(name, endpoint->address, endpoint->port);
        }
    }
    m_adviceRoutes.setEntries(names);
    for (const auto &[partition, owner] : m_partitions) {
        owner->setMaxAdviceCalls(m_adviceRoutes.maxPendingCalls());
    }
}

void JobEntry::requestAdvice(const AdviceRequest &request, PartitionOwnerHooks::AdviceDone done)
{
    if (!m_advice) {
        logRepeated(LogLevel::Error, "advice-service-unknown", request.job, {{"set", "--advice"}});
        later(AdvicePause, [done = std::move(done)] { done(nullptr); });
        return;
    }
    const std::optional<std::string> entry = m_adviceRoutes.pick(steadyNow());
    if (!entry) {
        later(AdvicePause, [done = std::move(done)] { done(nullptr); });
        return;
    }
    m_advice->request(request, *entry == m_settings.name ? std::string() : *entry,
                      [this, entry = *entry, done = std::move(done)](const Advice *advice) {
                          m_adviceRoutes.ended(entry, advice != nullptr, steadyNow());
                          if (advice == nullptr) {
                              logRepeated(LogLevel::Warn, "advice-call-failed", entry, {{"through", entry}});
                          }
                          done(advice);
                      });
}

std::vector<std::string> JobEntry::neededPartitions() const
{
    std::vector<std::string> partitions{keys::FleetPartition};
    for (const PooledService &service : m_config.services) {
        const auto found = m_partitionCounts.find(service.name);
        const int count = found == m_partitionCounts.end() ? 0 : found->second;
        for (int index = 0; index < count; ++index) {
            partitions.push_back(Partition{service.name, index, count}.name());
        }
    }
    return partitions;
}

/// Name of the partition that stores a new job: that of its id, or one whose executors can run it. `partition` is the
/// name of the former.
std::string JobEntry::partitionForNewJob(const JobSpec &spec, const std::string &partition)
{
    const auto count = m_partitionCounts.find(spec.service);
    if (count == m_partitionCounts.end() || count->second <= 1 || !m_executorListComplete) {
        return partition;
    }
    auto fit = m_partitionFits.find(spec.service);
    if (fit == m_partitionFits.end()) {
        fit = m_partitionFits.emplace(spec.service, PartitionFit(m_executorList, spec.service, count->second)).first;
    }
    const int own = partitionIndex(spec.id, count->second);
    const int index = fit->second.choose(openSteps(spec), own).value_or(own);
    return Partition{spec.service, index, count->second}.name();
}

/// Name of the partition of a job; none until the number of partitions of its service is stored.
std::optional<std::string> JobEntry::partitionOfJob(const std::string &service, const std::string &id) const
{
    const auto count = m_partitionCounts.find(service);
    return count == m_partitionCounts.end() ? std::nullopt
                                            : std::optional(partitionOf(service, count->second, id).name());
}

/// Stores the number of partitions of each service that has none yet. The owner of the fleet decides by the size of the
/// pool. A service that has an owner already is served by an earlier build as one partition; any entry stores this,
/// since the fleet may be owned by that build too.
void JobEntry::decidePartitionCounts()
{
    std::vector<PooledService> undecided;
    for (const PooledService &service : m_config.services) {
        if (m_partitionCounts.contains(service.name)) {
            continue;
        }
        if (m_openCountDecisions == 0 && m_ownership.hasOwner(service.name)) {
            storePartitionCount(service.name, 1);
        }
        undecided.push_back(service);
    }
    if (undecided.empty()) {
        m_countsWantedSince = {};
        return;
    }
    if (!m_fleet || m_openCountDecisions > 0) {
        return;
    }
    const TimePoint now = steadyNow();
    if (m_countsWantedSince == TimePoint{}) {
        m_countsWantedSince = now;
    }
    m_openCountDecisions = 1;
    m_machines.list([this, undecided](const Result<std::vector<PooledInstance>> &listed) {
        m_openCountDecisions = 0;
        const bool timedOut = steadyNow() - m_countsWantedSince > PartitionDecisionTimeout;
        if (!listed && !timedOut) {
            logRepeated(LogLevel::Warn, "machines-not-listed", "partitions", {{"why", listed.error().message}});
            return;
        }
        const bool allCapable = allServingEntriesHave(PartitionsCapability);
        std::map<std::string, int> instances;
        if (listed && allCapable) {
            for (const PooledInstance &instance : listed.value()) {
                ++instances[instance.pool];
            }
        }
        for (const PooledService &service : undecided) {
            storePartitionCount(service.name, service.spare ? 1 : partitionsForPool(instances[service.name]));
        }
    });
}

bool JobEntry::allServingEntriesHave(std::string_view capability) const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [capability](const auto &entry) {
        return !entry.second.starts_with(ServingState) || entry.second.find(capability) != std::string::npos;
    });
}

/// The number is written once. A service that had an owner before it had a number was served as one partition.
void JobEntry::storePartitionCount(const std::string &service, int count)
{
    ++m_openCountDecisions;
    StoreTxn txn;
    txn.expected.emplace_back(keys::partitionCount(service), 0);
    if (count > 1) {
        txn.expected.emplace_back(keys::ownershipMarker(service), 0);
    }
    txn.writes.push_back({keys::partitionCount(service), std::to_string(count), 0});
    m_store.commit(txn, StoreTimeout, [this, service, count](const StoreReply &reply) {
        --m_openCountDecisions;
        m_jobApi.recordStoreReply(reply);
        const bool hadOwner = reply.outcome == StoreOutcome::Conflict
            && std::any_of(reply.items.begin(), reply.items.end(), [&service](const StoreItem &item) {
                                  return item.key == keys::ownershipMarker(service) && item.revision != 0;
                              });
        if (hadOwner && count > 1) {
            storePartitionCount(service, 1);
        }
    });
}

int JobEntry::ownedCount() const
{
    return static_cast<int>(m_partitions.size()) + (m_fleet ? 1 : 0);
}

/// Serving entries with their CPU share and the number of partitions that they own.
std::map<std::string, JobEntry::Candidate> JobEntry::candidates() const
{
    std::map<std::string, Candidate> serving;
    for (const auto &[name, state] : m_entries) {
        if (state.starts_with(ServingState)) {
            Candidate &candidate = serving[name];
            const std::string_view cpuShareText = std::string_view(state).substr(ServingState.size());
            std::from_chars(cpuShareText.data(), cpuShareText.data() + cpuShareText.size(), candidate.cpuShare);
            candidate.cpuShare = std::clamp(candidate.cpuShare, SmallestCpuShare, 64.0);
        }
    }
    for (const auto &[name, owned] : m_ownership.ownedByEntry()) {
        if (const auto found = serving.find(name); found != serving.end()) {
            found->second.owned = owned;
        }
    }
    if (const auto self = serving.find(m_settings.name); self != serving.end()) {
        self->second.owned = ownedCount();  // the watch reports this entry's own changes with a delay
    }
    return serving;
}

/// Rank of this entry among the candidates for the partition, 0 for the best one: by the load per CPU share that a
/// candidate would have with the partition, then by hash. -1: this entry is not serving.
int JobEntry::rankFor(const std::string &partition) const
{
    const auto serving = candidates();
    if (!serving.contains(m_settings.name)) {
        return -1;
    }
    const auto key = [&](const std::string &name) {
        const Candidate &candidate = serving.at(name);
        return std::pair((candidate.owned + 1) / candidate.cpuShare, std::hash<std::string>{}(name + '/' + partition));
    };
    const auto ownKey = key(m_settings.name);
    int rank = 0;
    for (const auto &[name, candidate] : serving) {
        rank += key(name) < ownKey ? 1 : 0;
    }
    return rank;
}

void JobEntry::assignPartitions()
{
    const TimePoint now = steadyNow();
    if (m_entered && !m_stopping && m_membershipView.complete() && m_config.version >= 0
        && now - m_enteredAt > StartupSettlePause) {
        for (const std::string &partition : neededPartitions()) {
            const std::optional<Vacancy> vacant = vacancy(partition);
            if (!vacant || m_acquiring.contains(partition)) {
                continue;
            }
            // No other entry can take a partition whose key names this process.
            const int rank = vacant->namesThisProcess ? 0 : rankFor(partition);
            if (rank >= 0 && m_ownership.vacantFor(partition, now) >= rank * RankDelay) {
                acquireOwnership(partition);
                break;  // one partition per round: the next rank includes it, so that partitions spread evenly
            }
        }
        decidePartitionCounts();
        rebalance();
    }
    later(AssignPeriod / 4, [this] { assignPartitions(); });
}

bool JobEntry::runsOwner(const std::string &partition) const
{
    return partition == keys::FleetPartition ? m_fleet != nullptr : m_partitions.contains(partition);
}

/// Nothing while another entry or this process has the partition.
std::optional<Vacancy> JobEntry::vacancy(const std::string &partition) const
{
    return runsOwner(partition) ? std::nullopt : m_ownership.vacancy(partition);
}

void JobEntry::acquireOwnership(const std::string &partition)
{
    m_acquiring.insert(partition);
    acquirePartition(
        m_store,
        AcquisitionRequest{partition, m_ownership.holder(), m_lease, m_ownership.unknownPredecessor(partition)},
        [this, partition]() -> std::optional<std::uint64_t> {
            const std::optional<Vacancy> vacant = vacancy(partition);
            return vacant ? std::optional(vacant->revision) : std::nullopt;
        },
        [this, partition](AcquisitionOutcome outcome, const Acquisition &acquisition) {
            if (outcome == AcquisitionOutcome::Acquired && m_stopping) {
                // The owners of this entry were released before this write was answered.
                m_ownership.ownerEnded(partition, acquisition.fencingToken);
                releasePartition(m_store, m_timers, partition, acquisition.fencingToken,
                                 acquisition.predecessor != keys::Predecessor::Lost);
            } else if (outcome == AcquisitionOutcome::Acquired) {
                startOwner(partition, acquisition.fencingToken, acquisition.predecessor, acquisition.confirmedAt);
            } else if (outcome == AcquisitionOutcome::Unknown) {
                m_ownership.acquisitionUnknown(partition, acquisition.predecessor);
                logEvent(LogLevel::Warn, "share-acquisition-unknown",
                         {{"share", partition}, {"predecessor", std::string(toString(acquisition.predecessor))}});
            }
            m_acquiring.erase(partition);
        });
}

void JobEntry::startOwner(const std::string &partition, std::uint64_t fencingToken, keys::Predecessor predecessor,
                          TimePoint confirmedAt)
{
    m_rebalancedAt = steadyNow();  // a partition that was just acquired must not trigger a handover
    m_ownership.ownerStarted(partition);
    logEvent(LogLevel::Info, "share-acquired",
             {{"share", partition},
              {"token", std::to_string(fencingToken)},
              {"predecessor", std::string(toString(predecessor))}});
    startFleetViews();
    const TimePoint now = bootNow();
    if (partition == keys::FleetPartition) {
        FleetOwnerSettings settings;
        settings.takeoverDelay = m_settings.fleetOwnerPause + std::chrono::milliseconds(300);
        settings.orderTimeout = platform::MachineClient::Timeout;
        settings.orderSettings.maxOpen = platform::MachineClient::OrderConnections;
        m_fleet = std::make_unique<FleetOwner<Client>>(
            m_store, m_timers, fencingToken, predecessor != keys::Predecessor::None, settings, fleetHooks(), now);
        std::set<std::string> spare;
        for (const PooledService &service : m_config.services) {
            if (service.spare) {
                spare.insert(service.name);
            }
        }
        m_fleet->setSparePools(std::move(spare));
        m_fleet->setStatusTrusted(allServingEntriesHave(WaveStatusCapability));
        for (const auto &[id, wave] : m_waves) {
            m_fleet->addWave(wave);
        }
        m_fleet->start();
        m_quotaOwner = std::make_unique<QuotaOwner<Client>>(
            m_store, m_timers, fencingToken, QuotaOwnerSettings(),
            [this](std::string_view why) { dropOwner(keys::FleetPartition, why); });
        updateQuotas();
        startFleetViews();
        updateVacating();
        return;
    }
    Partition identity = parsePartitionName(partition);
    identity.count = m_partitionCounts.at(identity.service);
    PartitionOwnerSettings settings;
    settings.scheduler.lease = m_settings.runLeaseTime;
    settings.scheduler.longestLease = m_settings.longestLease;
    settings.scheduler.stopTime = m_settings.stopTime;
    settings.finalStateRetention = m_settings.finalStateRetention;
    auto owner = std::make_unique<PartitionOwner<Client>>(m_store, m_timers, identity, fencingToken, predecessor,
                                                          settings, partitionHooks(), now, confirmedAt);
    owner->setVacating(m_vacating, m_vacatingRevision);
    if (m_executorListComplete) {
        owner->setExecutors(m_executorList);
    }
    owner->setMaxAdviceCalls(m_adviceRoutes.maxPendingCalls());
    owner->setTransfersAllowed(allServingEntriesHave(TransfersCapability));
    owner->setQuotas(quotas(), static_cast<int>(quotaPartitions().size()));
    owner->setWorkspaces(m_config.workspaces);
    owner->start();
    m_partitions[partition] = std::move(owner);
}

/// Ends an ownership that its owner reported as lost. The key may still name this process, for example after an
/// unexpected exception, and is removed then.
void JobEntry::dropOwner(std::string partition, std::string_view why)
{
    logEvent(LogLevel::Warn, "share-lost", {{"share", partition}, {"why", std::string(why)}});
    // Deferred, because the owner that reports the loss is still on the stack.
    later(Duration{0}, [this, partition] {
        if (runsOwner(partition)) {
            releaseOwnership(partition);
        }
    });
}

/// Stops the owner of a partition and releases the partition, so that another entry can take it at once.
void JobEntry::releaseOwnership(std::string partition)
{
    const std::uint64_t token
        = partition == keys::FleetPartition ? m_fleet->fencingToken() : m_partitions.at(partition)->fencingToken();
    bool earlierOwnersStopped = true;  // the owner of the fleet waits after any predecessor
    if (partition == keys::FleetPartition) {
        m_fleet.reset();
        m_quotaOwner.reset();
        m_reportsView.reset();
    } else {
        earlierOwnersStopped = !m_partitions.at(partition)->scheduler().earlierOwnersMayCommand(bootNow());
        m_partitions.erase(partition);
    }
    m_ownership.ownerEnded(partition, token);
    logEvent(LogLevel::Info, "share-released",
             {{"share", partition},
              {"token", std::to_string(token)},
              {"earlier_owners_stopped", earlierOwnersStopped ? "yes" : "no"}});
    releasePartition(m_store, m_timers, partition, token, earlierOwnersStopped);
}

/// Releases a partition when another entry's load with the partition, times RebalanceGain, is below this entry's load.
/// The load of an entry is the number of partitions that it owns, divided by its CPU share. At most one partition is
/// released in this way per RebalancePause.
void JobEntry::rebalance()
{
    const TimePoint now = steadyNow();
    if (ownedCount() == 0 || now - m_rebalancedAt < RebalancePause || now - m_enteredAt < RebalancePause) {
        return;
    }
    const auto serving = candidates();
    const auto self = serving.find(m_settings.name);
    if (self == serving.end()) {
        return;
    }
    const double load = self->second.owned / self->second.cpuShare;
    const bool betterExists = std::any_of(serving.begin(), serving.end(), [load](const auto &entry) {
        return (entry.second.owned + 1) / entry.second.cpuShare * RebalanceGain < load;
    });
    if (betterExists) {
        m_rebalancedAt = now;
        releaseOwnership(m_partitions.empty() ? keys::FleetPartition : m_partitions.rbegin()->first);
    }
}

// Fleet ---------------------------------------------------------------------------------------------------------------

void JobEntry::startFleetViews()
{
    const auto watch = [this](std::optional<StoreView<Client>> &view, const std::string &prefix, Duration pause) {
        if (!view) {
            view.emplace(
                m_store, m_timers, prefix, StoreViewSettings{.watchPause = pause},
                [this](const StoreItem &item) { fleetItemChanged(item); }, [this] { updateVacating(); });
            view->start();
        }
    };
    watch(m_vacatingView, keys::FleetPrefix, Duration{0});
    if (m_fleet) {
        watch(m_reportsView, keys::FleetReports, FleetReportPause);
    }
}

void JobEntry::fleetItemChanged(const StoreItem &item)
{
    boost::system::error_code error;
    if (item.key == keys::FleetMaintenanceBegun) {
        return;
    }
    if (item.key.starts_with(keys::FleetLoads)) {
        const auto load = parsePoolLoad(item.value, bootNow());
        if (load) {
            const std::string partition = item.key.substr(keys::FleetLoads.size());
            m_loads[partition] = load.value();
            m_changedLoads.insert(parsePartitionName(partition).service);
        } else if (!item.removed) {
            logEvent(LogLevel::Error, "load-unreadable", {{"key", item.key}});
        }
        return;
    }
    if (item.key == keys::FleetQuotaParts) {
        auto parts = parseQuotaParts(item.value, item.revision);
        if (parts) {
            m_quotaParts = std::move(parts.value());
        } else {
            logEvent(LogLevel::Error, "quota-parts-unreadable", {{"why", parts.error().message}});
        }
        return;
    }
    if (item.key.starts_with(keys::FleetQuotaReports)) {
        auto report = parseQuotaReport(item.value);
        if (report) {
            m_quotaReports[item.key.substr(keys::FleetQuotaReports.size())] = std::move(report.value());
        } else if (!item.removed) {
            logEvent(LogLevel::Error, "quota-report-unreadable", {{"key", item.key}});
        }
        return;
    }
    if (item.key.starts_with(keys::FleetVacated)) {
        const auto report = item.removed ? Result<VacatedReport>(VacatedReport()) : parseVacatedReport(item.value);
        if (report) {
            m_vacated[item.key.substr(keys::FleetVacated.size())] = report.value();
        } else {
            logEvent(LogLevel::Error, "cleared-unreadable", {{"key", item.key}});
        }
        return;
    }
    const boost::json::value value
        = item.removed ? boost::json::value(boost::json::array()) : boost::json::parse(item.value, error);
    const auto ids = parseIds(error ? nullptr : &value);
    if (!ids) {
        logEvent(LogLevel::Error, "fleet-item-unreadable", {{"key", item.key}});
        return;
    }
    if (item.key == keys::FleetVacating) {
        m_vacating = {ids.value().begin(), ids.value().end()};
        m_vacatingRevision = item.revision;
    }
}

void JobEntry::updateVacating()
{
    for (const auto &[partition, owner] : m_partitions) {
        owner->setVacating(m_vacating, m_vacatingRevision);
        owner->setQuotaParts(m_quotaParts);
    }
    if (m_quotaOwner) {
        for (const auto &[partition, report] : m_quotaReports) {
            m_quotaOwner->setReport(partition, report);
        }
    }
    if (m_fleet) {
        std::map<std::string, std::uint64_t> vacated;
        std::map<std::string, std::uint64_t> blocked;
        for (const auto &[partition, report] : m_vacated) {
            for (const std::string &id : report.executors) {
                vacated[id] = report.listRevision;
            }
            for (const std::string &id : report.blocked) {
                blocked[id] = report.listRevision;
            }
        }
        m_fleet->setVacated(vacated, blocked);
        for (const std::string &service : std::exchange(m_changedLoads, {})) {
            const auto found = m_partitionCounts.find(service);
            const int count = found == m_partitionCounts.end() ? 1 : found->second;
            std::vector<PoolLoad> loads;
            for (int index = 0; index < count; ++index) {
                const auto load = m_loads.find(Partition{service, index, count}.name());
                if (load != m_loads.end()) {
                    loads.push_back(load->second);
                }
            }
            if (static_cast<int>(loads.size()) == count) {
                m_fleet->setLoad(service, combineLoads(loads));
            }
        }
    }
}

/// Quotas of the configuration in force.
Quotas JobEntry::quotas() const
{
    Quotas quotas;
    for (const Workspace &workspace : m_config.workspaces) {
        if (!(workspace.quota == Resources{})) {
            quotas[workspace.name] = workspace.quota;
        }
    }
    return quotas;
}

/// All partitions that start tasks; empty until the number of partitions of each service is stored.
std::vector<std::string> JobEntry::quotaPartitions() const
{
    const bool known
        = std::all_of(m_config.services.begin(), m_config.services.end(),
                      [this](const PooledService &service) { return m_partitionCounts.contains(service.name); });
    std::vector<std::string> partitions = known ? neededPartitions() : std::vector<std::string>();
    std::erase(partitions, keys::FleetPartition);
    return partitions;
}

/// Passes the quotas and the partitions on after a change of the configuration or of the numbers of partitions.
void JobEntry::updateQuotas()
{
    const Quotas inForce = quotas();
    const std::vector<std::string> partitions = quotaPartitions();
    for (const auto &[name, owner] : m_partitions) {
        owner->setQuotas(inForce, static_cast<int>(partitions.size()));
    }
    if (m_quotaOwner) {
        m_quotaOwner->setQuotas(inForce, partitions);
    }
}

OrderResult JobEntry::toOrderResult(const std::string &instance, platform::InstanceRequestResult result)
{
    using Outcome = platform::InstanceRequestResult;
    if (result != Outcome::Done) {
        logEvent(LogLevel::Warn, "instance-order-refused",
                 {{"instance", instance}, {"result", std::string(toString(result))}});
    }
    switch (result) {
    case Outcome::Done:
        return OrderResult::Begun;
    case Outcome::Fenced:
        return OrderResult::Fenced;
    case Outcome::WrongWave:
    case Outcome::Invalid:
        return OrderResult::Impossible;
    case Outcome::Busy:
    case Outcome::Refused:
        return OrderResult::Refused;
    case Outcome::Unknown:
        break;
    }
    return OrderResult::Unknown;
}

FleetOwnerHooks JobEntry::fleetHooks()
{
    FleetOwnerHooks hooks;
    hooks.list = [this](FleetOwnerHooks::Listed done) { m_machines.list(std::move(done)); };
    hooks.maintain
        = [this](const MaintenanceRequest &request, std::uint64_t fencingToken, std::function<void(OrderResult)> done) {
              m_machines.maintain(request.instance, request.wave, fencingToken,
                                  [request, done = std::move(done)](platform::InstanceRequestResult result) {
                                      done(toOrderResult(request.instance, result));
                                  });
          };
    hooks.move = [this](const MoveRequest &request, std::uint64_t fencingToken, std::function<void(OrderResult)> done) {
        m_machines.move(
            request.instance, request.pool, fencingToken,
            [this, request, done = std::move(done)](platform::InstanceRequestResult result) {
                const OrderResult outcome = toOrderResult(request.instance, result);
                if (outcome == OrderResult::Begun) {
                    m_metrics.add("briarvane_moves_total", {}, {{"reason", std::string(toString(request.reason))}});
                }
                done(outcome);
            });
    };
    hooks.statusPrefix = platform::WaveStatusPrefix;
    hooks.parseStatus = [](const StoreItem &item) { return platform::decodeWaveStatus(item.key, item.value); };
    hooks.status = [](std::int64_t wave, bool completed) {
        return StoreWrite{std::string(platform::WaveStatusPrefix) + std::to_string(wave),
                          platform::encodeWaveStatus(completed), 0};
    };
    hooks.ownershipLost = [this](std::string_view why) { dropOwner(keys::FleetPartition, why); };
    return hooks;
}

/// Limit of connections to one executor of the service while calls wait. Half of the configured number is left to
/// another entry that takes the partition over, or was its owner before.
int JobEntry::maxConnectionsTo(const std::string &service) const
{
    const auto found = std::find_if(m_config.services.begin(), m_config.services.end(),
                                    [&service](const PooledService &candidate) { return candidate.name == service; });
    const int configured = found == m_config.services.end() ? 0 : found->connections;
    return std::clamp(configured / 2, ExecutorConnections, MaxExecutorConnections);
}

PartitionOwnerHooks JobEntry::partitionHooks()
{
    PartitionOwnerHooks hooks;
    hooks.sendCommand = [this](const ExecutorCommand &command, PartitionOwnerHooks::CommandDone done) {
        m_executors.send(command, std::move(done));
    };
    hooks.requestAdvice = [this](const AdviceRequest &request, PartitionOwnerHooks::AdviceDone done) {
        requestAdvice(request, std::move(done));
    };
    hooks.registerExecutor = [this](const ExecutorRecord &record) {
        m_registeredExecutors.insert(record.id);
        m_executors.setExecutor(record.id,
                                {record.address, record.port, ExecutorConnections, maxConnectionsTo(record.service)});
    };
    hooks.listInstances = [this](auto done) { m_machines.list(std::move(done)); };
    hooks.jobFinished = [this](const Scheduler::Finished &finished) {
        const MetricKey key{ServiceId{finished.queue}, {}, RequestClass::Short};
        m_metrics.add("briarvane_jobs_ended_total", key, {{"in_time", finished.inTime ? "yes" : "no"}});
        m_metrics.observe(metric::Response, key, finished.total);
    };
    hooks.lease = [this] { return m_entered ? m_lease : 0; };
    hooks.ownershipLost = [this](const std::string &partition, std::string_view why) { dropOwner(partition, why); };
    return hooks;
}

}
