#pragma once

// The daemon's class: parts, state and wiring. Everything runs on the I/O thread.
//
// Index
// [1] Times and limits
// [2] The daemon

#include "job_entry.h"

#include "advice_routes.h"
#include "clients.h"
#include "fleet_owner.h"
#include "http.h"
#include "job_api.h"
#include "metrics.h"
#include "partition_owner.h"
#include "settings_file.h"

#include <boost/asio/signal_set.hpp>

namespace briarvane
{

// [1] Times and limits ------------------------------------------------------------------------------------------------

constexpr Duration LeaseTtl{2'000'000};    // of membership and ownership; a takeover begins this late
constexpr Duration LeaseRenewal{550'000};  // three tries within the lease
constexpr Duration SettlePause{450'000};   // all entries start within 0.3 s; the first must not take every partition
constexpr Duration AssignPeriod{200'000};
constexpr Duration RankDelay{500'000};         // the next entry tries when the one before it did not
constexpr Duration ListPeriod{700'000};        // of executors; a leaving one gets no new work after 2 s
constexpr Duration RebalancePause{4'000'000};  // between two partitions that are handed over
constexpr double RebalanceGain = 1.5;          // a handover costs a fraction of a second of starts
constexpr double SmallestCpuShare = 0.01;
constexpr std::string_view ServingState = "serving ";  // followed by the processor share and the port for entries
constexpr Duration StoreTimeout{700'000};
constexpr Duration FleetReportPause{120'000};  // joins the reports of several partitions into one call
constexpr Duration AdvicePause{300'000};       // when no entry can pass a call to the advice service
constexpr Duration StatePeriod{5'000'000};     // of the line with the counters of the store
constexpr Duration SettingsPeriod{2'000'000};  // of looking at the settings file, which may change without a signal
constexpr Duration ConfigWatch{1'500'000};     // a silent connection is noticed before a change must be in force
constexpr std::size_t EntryConnections = 256;  // of other entries and of readers of the metrics
constexpr int ExecutorConnections = 3;         // one waits for ends, two carry starts and stops
constexpr Duration StopLead{2'600'000};        // the balancer needs two looks, a second apart, to turn away
constexpr Duration StopSlack{700'000};         // the process is gone this long before it would be killed

// [2] The daemon ------------------------------------------------------------------------------------------------------

struct OwnershipRecord
{
    std::string holder;  // entry name and start id
    std::uint64_t revision = 0;
    TimePoint vacantSince;  // default: owned
};

/// Parts of the daemon and their wiring; everything runs on the I/O thread.
class JobEntry
{
public:
    JobEntry(boost::asio::io_context &io, const JobEntrySettings &settings);
    int run();

    static std::string newStartId();

private:
    using Client = platform::StoreClient;

    // Settings of the operators
    void operatorItem(const StoreItem &item);

    // Membership and ownership
    void renew();
    void grant();
    void enterMembership();
    std::string servingState() const;
    void updateAdviceRoutes();
    void askAdvice(const AdviceRequest &request, PartitionOwnerHooks::Advised done);
    void memberItem(const StoreItem &item);
    std::vector<std::string> neededPartitions() const;
    struct Candidate
    {
        double cpuShare = 1;
        int owned = 0;
    };
    std::map<std::string, Candidate> candidates() const;
    int rankFor(const std::string &partition) const;
    void assign();
    std::optional<std::uint64_t> vacantRevision(const std::string &partition) const;
    void acquire(const std::string &partition);
    void own(const std::string &partition, std::uint64_t fencingToken, keys::Predecessor predecessor,
             TimePoint provenAt);
    void dropOwner(std::string partition, std::string_view why);
    void release(std::string partition);
    void rebalance();
    int ownedCount() const;

    // Fleet
    void watchFleet();
    void fleetItem(const StoreItem &item);
    void updateVacating();
    static MaintenanceResult meaningOf(const std::string &instance, platform::InstanceRequestResult result);
    FleetOwnerHooks fleetHooks();
    PartitionOwnerHooks partitionHooks();

    // Executors
    void listExecutors(const std::string &after);

    // Callers
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void submit(const std::shared_ptr<HttpExchange> &exchange, const Queue &queue, const std::string &id);
    void reply(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &body);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const JobApiReply &result);
    void handleReadiness(const std::shared_ptr<HttpExchange> &exchange);
    void handleEntries(const std::shared_ptr<HttpExchange> &exchange);
    std::string exposition();
    void summarize();

    // Stop
    void waitSignal();
    void watchSettings();
    void checkSettings(std::string_view cause);
    void beginStop();

    void later(Duration pause, std::function<void()> function)
    {
        m_timers.at(steadyNow() + pause, std::move(function));
    }

    boost::asio::io_context &m_io;
    JobEntrySettings m_settings;
    std::string m_startId = newStartId();
    Timers m_timers;
    Client m_store;
    platform::ExecutorClient m_executors;
    platform::MachineClient m_machines;
    std::optional<platform::AdviceClient> m_advice;
    AdviceRoutes m_adviceRoutes;
    JobApi<Client> m_jobApi;
    StoreView<Client> m_operator;
    StoreView<Client> m_membership;
    std::optional<StoreView<Client>> m_vacateView;   // while this entry owns a partition
    std::optional<StoreView<Client>> m_reportsView;  // while it owns the fleet
    HttpServer m_callers;
    HttpServer m_readiness;
    std::optional<HttpServer> m_metricsServer;
    boost::asio::signal_set m_signals;
    SettingsFile m_settingsFile;
    Metrics m_metrics;

    DeploymentConfig m_config;
    std::map<std::int64_t, MaintenanceWave> m_waves;
    std::uint64_t m_lease = 0;
    TimePoint m_enteredAt;
    bool m_entered = false;
    bool m_stopping = false;
    std::map<std::string, std::string> m_entries;     // name to state
    std::map<std::string, OwnershipRecord> m_owners;  // by partition
    std::set<std::string> m_acquiring;
    std::map<std::string, std::unique_ptr<PartitionOwner<Client>>> m_partitions;
    std::unique_ptr<FleetOwner<Client>> m_fleet;
    TimePoint m_rebalancedAt;
    std::vector<ExecutorRecord> m_listed;  // being read
    std::vector<ExecutorRecord> m_executorList;
    bool m_haveExecutors = false;
    std::set<std::string> m_known;  // executors with an endpoint
    std::unordered_set<std::string> m_vacating;
    std::uint64_t m_vacatingRevision = 0;            // of the list above in the store
    std::map<std::string, VacatedReport> m_vacated;  // by partition
    std::map<std::string, PoolLoad> m_loads;         // latest reports by partition
};

}
