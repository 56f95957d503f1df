#pragma once

// The class behind runJobEntry(): components, state and wiring of the process behind `briarvane serve`.
//
// Index
// [1] Times and limits
// [2] The process of `briarvane serve`

#include "job_entry.h"

#include "admission.h"
#include "advice_routes.h"
#include "caller_access.h"
#include "clients.h"
#include "fleet_owner.h"
#include "http.h"
#include "job_api.h"
#include "metrics.h"
#include "ownership_records.h"
#include "partition_owner.h"
#include "quota_owner.h"
#include "settings_file.h"
#include "standstill.h"

#include <boost/asio/signal_set.hpp>

namespace briarvane
{

// [1] Times and limits ------------------------------------------------------------------------------------------------

/// Time to live of the lease on which the membership of an entry and its ownership of partitions depend. The partitions
/// of a crashed entry become vacant after this time.
constexpr Duration LeaseTtl{2'000'000};
constexpr Duration LeaseRenewal{550'000};  // time between renewals; three attempts fit into the lease
/// Pause before the first acquisition of a partition. Entries of a deployment start within 0.3 s of each other, and the
/// first one must not take every partition.
constexpr Duration StartupSettlePause{450'000};
constexpr Duration AssignPeriod{200'000};  // vacant partitions are checked four times in this period
constexpr Duration RankDelay{500'000};     // time that an entry leaves to each better candidate for a vacant partition
/// Time between two lists of executors. A draining executor must get no new work after 2 s.
constexpr Duration ListPeriod{700'000};
constexpr Duration RebalancePause{4'000'000};  // shortest time between two handovers
/// Factor by which the load must exceed that of the other entry before a partition is handed over. Each handover delays
/// starts by a fraction of a second.
constexpr double RebalanceGain = 1.5;
constexpr double SmallestCpuShare = 0.01;
/// Start of the published state of a serving entry. The CPU share follows, and then the endpoint for calls of other
/// entries if the entry can forward such calls to the advice service.
constexpr std::string_view ServingState = "serving ";
/// Word in the published state of an entry whose build knows several partitions of a service. A service gets more than
/// one only if all serving entries publish it: an older build would take the first partition for the whole service.
constexpr std::string_view PartitionsCapability = " partitions";
/// Word in the published state of an entry whose build knows jobs that came from another partition. Such a job has
/// progress that an older build would not read.
constexpr std::string_view TransfersCapability = " transfers";
/// Word in the published state of an entry whose build reads the status of the waves when it takes the fleet. An older
/// build repeats a wave that the record of begun instances leaves out.
constexpr std::string_view WaveStatusCapability = " wave-status";
/// A service gets one partition if the instances of its pool could not be listed within this time.
constexpr Duration PartitionDecisionTimeout{3'000'000};
constexpr Duration StoreTimeout{700'000};
/// Pause between two watches of the reports, so that reports of several partitions are joined into one watch reply.
constexpr Duration FleetReportPause{120'000};
/// Pause before a call to the advice service is reported as failed because no address of the service is set or no
/// entry can forward the call.
constexpr Duration AdvicePause{300'000};
/// Delay of a timer from which on the log says that the event loop is late. Leases of 2 s are renewed every 0.55 s.
constexpr Duration LateLoop{500'000};
constexpr Duration SummaryPeriod{5'000'000};  // time between log lines with the counters of calls to the store
/// Time between checks of the settings file, which may change without a signal.
constexpr Duration SettingsPeriod{2'000'000};
/// Longest wait of a watch of the operators' configuration. A dead connection must be detected before a new
/// configuration must be in force.
constexpr Duration ConfigWatchWait{1'500'000};
/// The same where callers need access keys: an entry then serves only while it knows that its configuration may still
/// be in force, so two watches must end within that time. The watch after one that failed is short.
constexpr Duration KeysWatchWait{1'400'000};
constexpr Duration KeysRecheckWait{50'000};
constexpr std::size_t MaxEntryConnections = 256;  // connections from other entries and from readers of the metrics
constexpr int ExecutorConnections = 3;            // per executor: one for the report poll, two for starts and stops
constexpr int MaxExecutorConnections = 16;        // per executor while calls wait for a connection
/// Time for which callers are served after the entry reports that it is not ready. The load balancer stops
/// sending requests after two failed readiness checks, which are a second apart.
constexpr Duration StopLead{2'600'000};
constexpr Duration StopSlack{700'000};  // the process exits this long before SIGKILL would be sent

/// Standstill of the process after which requests that it reads may be older than the ids of cancelled jobs are kept.
/// It is far below `finalStateRetention`, and far above the pauses of a busy machine.
constexpr Duration StandstillLimit{30'000'000};
/// Time after a standstill within which the requests that waited are read or their connections have timed out.
constexpr Duration StandstillDrain{10'000'000};

// [2] The process of `briarvane serve` --------------------------------------------------------------------------------

/// The process behind `briarvane serve`. All its functions run on the I/O thread.
class JobEntry
{
public:
    JobEntry(boost::asio::io_context &io, const JobEntrySettings &settings);
    int run();

    static std::string newStartId();

private:
    using Client = platform::StoreClient;

    // Operators' configuration and waves
    void operatorItemChanged(const StoreItem &item);

    // Membership and ownership
    void renewMembershipLease();
    void requestLease();
    void enterMembership();
    std::string servingState() const;
    void updateAdviceRoutes();
    void requestAdvice(const AdviceRequest &request, PartitionOwnerHooks::AdviceDone done);
    void membershipItemChanged(const StoreItem &item);
    std::vector<std::string> neededPartitions() const;
    void decidePartitionCounts();
    void storePartitionCount(const std::string &service, int count);
    std::optional<std::string> partitionOfJob(const std::string &service, const std::string &id) const;
    std::string partitionForNewJob(const JobSpec &spec, const std::string &partition);
    bool allServingEntriesHave(std::string_view capability) const;
    void updateCapabilities();
    struct Candidate
    {
        double cpuShare = 1;
        int owned = 0;
    };
    std::map<std::string, Candidate> candidates() const;
    int rankFor(const std::string &partition) const;
    void assignPartitions();
    bool runsOwner(const std::string &partition) const;
    std::optional<Vacancy> vacancy(const std::string &partition) const;
    void acquireOwnership(const std::string &partition);
    void startOwner(const std::string &partition, std::uint64_t fencingToken, keys::Predecessor predecessor,
                    TimePoint confirmedAt);
    void dropOwner(std::string partition, std::string_view why);
    void releaseOwnership(std::string partition);
    void rebalance();
    int ownedCount() const;

    // Fleet
    void startFleetViews();
    void fleetItemChanged(const StoreItem &item);
    void updateVacating();
    Quotas quotas() const;
    std::vector<std::string> quotaPartitions() const;
    void updateQuotas();
    static OrderResult toOrderResult(const std::string &instance, platform::InstanceRequestResult result);
    FleetOwnerHooks fleetHooks();
    PartitionOwnerHooks partitionHooks();
    int maxConnectionsTo(const std::string &service) const;

    // Executors
    void listExecutors(const std::string &after);
    void readExecutorEntry(const StoreItem &item);
    void applyExecutorList();

    // Callers
    void handleCaller(const std::shared_ptr<HttpExchange> &exchange);
    void refuseUnprocessed(const std::shared_ptr<HttpExchange> &exchange, const std::string &queue,
                           std::string_view why);
    void refuseCaller(const std::shared_ptr<HttpExchange> &exchange, const Queue &queue, AccessOutcome outcome);
    void serveCaller(const std::shared_ptr<HttpExchange> &exchange, const Queue &queue, const CallerScope &scope);
    void submit(const std::shared_ptr<HttpExchange> &exchange, const Queue &queue, const CallerScope &scope,
                const std::string &id, const std::string &partitionOfId);
    void store(const std::shared_ptr<HttpExchange> &exchange, JobSpec spec, const CallerScope &scope,
               const std::string &partition, TimePoint arrived);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const JobSpec &spec, const AdmissionDecision &decision);
    void reply(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &body);
    void replyWithError(const std::shared_ptr<HttpExchange> &exchange, const JobApiReply &result);
    bool canAcceptJobs();
    void handleReadiness(const std::shared_ptr<HttpExchange> &exchange);
    void handleMetricsPort(const std::shared_ptr<HttpExchange> &exchange);
    platform::StoreCounts storeCounts() const;
    std::string exposition();
    void logSummary();
    void recordDelay(Duration delay);

    // Stop
    void waitSignal();
    void scheduleSettingsCheck();
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
    Client m_callerStore;  // for callers' requests, which must not delay proofs of ownership
    platform::ExecutorClient m_executors;
    platform::MachineClient m_machines;
    std::optional<platform::AdviceClient> m_advice;
    AdviceRoutes m_adviceRoutes;
    JobApi<Client> m_jobApi;
    StoreView<Client> m_operatorView;
    StoreView<Client> m_membershipView;
    std::optional<StoreView<Client>> m_vacatingView;  // set once this entry has acquired a partition
    std::optional<StoreView<Client>> m_reportsView;   // set while this entry owns the fleet partition
    HttpServer m_callers;
    HttpServer m_readiness;
    std::optional<HttpServer> m_metricsServer;
    boost::asio::signal_set m_signals;
    SettingsFile m_settingsFile;
    StandstillDetector m_standstill{StandstillLimit, StandstillDrain};
    Metrics m_metrics;
    Duration m_longestDelay{0};  // longest delay of a timer since the last log line with the counters

    DeploymentConfig m_config;
    std::map<std::int64_t, MaintenanceWave> m_waves;
    std::uint64_t m_lease = 0;
    TimePoint m_enteredAt;
    bool m_entered = false;
    bool m_acceptedBefore = false;  // canAcceptJobs() has been true
    bool m_reportedReady = false;   // last answer to a readiness check
    bool m_stopping = false;
    std::map<std::string, KnownBacklog> m_backlogs;  // by partition
    std::map<std::string, std::string> m_entries;    // state by entry name
    OwnershipRecords m_ownership;
    std::map<std::string, int> m_partitionCounts;  // stored number of partitions by service
    int m_openCountDecisions = 0;                  // calls for partition counts without an answer yet
    TimePoint m_countsWantedSince;                 // default-constructed: all services have a count
    std::set<std::string> m_acquiring;
    std::map<std::string, std::unique_ptr<PartitionOwner<Client>>> m_partitions;
    std::unique_ptr<FleetOwner<Client>> m_fleet;
    std::unique_ptr<QuotaOwner<Client>> m_quotaOwner;  // set while this entry owns the fleet partition
    TimePoint m_rebalancedAt;
    std::vector<ExecutorRecord> m_pendingExecutorList;    // pages read so far of the list in progress
    std::vector<ExecutorRecord> m_executorList;           // last complete list
    std::map<std::string, PartitionFit> m_partitionFits;  // by service; refer to m_executorList
    bool m_executorListComplete = false;
    std::set<std::string> m_registeredExecutors;  // executors that m_executors has an endpoint for
    std::unordered_set<std::string> m_vacating;
    std::uint64_t m_vacatingRevision = 0;               // revision of the list of vacating executors in the store
    std::map<std::string, VacatedReport> m_vacated;     // last report by partition
    std::map<std::string, PoolLoad> m_loads;            // last load by partition
    QuotaParts m_quotaParts;                            // last parts of the quotas that a watch has delivered
    std::map<std::string, QuotaReport> m_quotaReports;  // last report by partition
    std::set<std::string> m_changedLoads;               // services with a load that m_fleet has not received yet
};

}
