#pragma once

// Scheduling of requests on the instances of one pool: queues by class, estimated service times, permits for slots,
// ejection of failing instances, retry budget.
//
// Index
// [1] How an attempt ended
// [2] Permit requests, decisions, reported permits
// [3] Settings
// [4] Estimated service times
// [5] Ejection of failing instances
// [6] Retry budget
// [7] The router of one pool
// [8] Concept of a routing policy

#include "sheet.h"

#include <concepts>
#include <list>
#include <map>
#include <set>

namespace briarvane
{

// [1] How an attempt ended --------------------------------------------------------------------------------------------

/// How an attempt at an upstream ended.
enum class UpstreamResult {
    Completed,      // complete response, any status below 500
    ServerError,    // complete response with status 500 or above
    ConnectFailed,  // no byte was sent
    Reset,          // the connection broke after a byte was sent
    Truncated,      // the response ended early
    TimedOut,       // no complete response before the deadline
    Cancelled,      // the caller closed the connection; neither a success nor a failure of the instance
    NotSent,        // the permit was released without a request being sent
};

template<>
struct EnumNames<UpstreamResult>
{
    static constexpr std::array<EnumName<UpstreamResult>, 8> names
        = {{{UpstreamResult::Completed, "completed"},
            {UpstreamResult::ServerError, "server-error"},
            {UpstreamResult::ConnectFailed, "connect-failed"},
            {UpstreamResult::Reset, "reset"},
            {UpstreamResult::Truncated, "truncated"},
            {UpstreamResult::TimedOut, "timed-out"},
            {UpstreamResult::Cancelled, "cancelled"},
            {UpstreamResult::NotSent, "not-sent"}}};
};

/// True for results that count against the instance.
bool isFailure(UpstreamResult result);

// [2] Permit requests, decisions, reported permits --------------------------------------------------------------------

/// Identifies a process of an entry, from one start to its end. Request ids are unique only within one process.
struct Requester
{
    EntryId entry;
    std::uint64_t startId = 0;
    auto operator<=>(const Requester &) const = default;  // NOLINT(modernize-use-nullptr): false report on <=>
};

/// Identifies a request among those of all entries.
struct RequestKey
{
    Requester requester;
    std::uint64_t request = 0;
    auto operator<=>(const RequestKey &) const = default;  // NOLINT(modernize-use-nullptr): false report on <=>
};

struct PermitRequest
{
    Requester requester;
    RequestInfo info;
    std::vector<InstanceId> avoid;  // instances that already failed this request
};

enum class Refusal {
    None,
    Deadline,    // no slot is expected before the request's deadline, or the deadline has passed
    Quota,       // the slots that the tenant's quota allows are not expected to become free before the deadline
    NoInstance,  // the pool has no instances, or no slots per instance
    QueueFull,   // RouterSettings::queueLimit is reached
};

template<>
struct EnumNames<Refusal>
{
    static constexpr std::array<EnumName<Refusal>, 5> names = {{{Refusal::None, "none"},
                                                                {Refusal::Deadline, "deadline"},
                                                                {Refusal::Quota, "quota"},
                                                                {Refusal::NoInstance, "no-instance"},
                                                                {Refusal::QueueFull, "queue-full"}}};
};

/// The only answer to a permit request: a grant, or a refusal with `permit` 0.
struct PermitDecision
{
    RequestKey key;
    std::uint64_t permit = 0;
    InstanceId instance;
    Duration validity{0};  // a request may be started with the permit for this long after the grant is received
    /// Further requests of the same service, tenant and class may use the permit within `validity`.
    bool reusable = false;
    Refusal refusal = Refusal::None;
};

/// A permit as the entry that holds it reports it to the entry that is responsible for the pool.
struct HeldPermit
{
    std::uint64_t permit = 0;
    std::uint64_t request = 0;
    InstanceId instance;
    RequestClass requestClass = RequestClass::Short;
    Duration running{0};  // time since the holder received the grant
};

struct PoolInstance
{
    InstanceId id;
    std::string rack;
    bool operator==(const PoolInstance &) const = default;
};

// [3] Settings --------------------------------------------------------------------------------------------------------

struct RouterSettings
{
    int slots = 8;             // requests that one instance may serve at the same time
    double longShare = 0.95;   // largest share of the pool's slots that long work may occupy
    double longReserve = 0.1;  // share of the pool's slots that long work gets ahead of short work after `longAging`
    double shortFactor = 10;   // shortBound() as a multiple of the median service time of short work
    Duration shortBoundMin{20'000};  // lower bound of shortBound(); covers the typical jitter of a quick response
    /// Slots kept free of long work, as a multiple of the present demand of short work. The benchmark wait_bench shows
    /// the effect of this setting and of demandTimeConstant.
    double shortMargin = 1.28;
    /// Time constant of the average demand of short work. With a longer one the beginning of a burst would be missed.
    Duration demandTimeConstant{150'000};
    /// Long work that waited this long goes ahead of short work, up to the slots given by longReserve.
    Duration longAging{2'000'000};
    /// Work that waited this long goes ahead of urgent work; long work only up to the slots given by longReserve.
    Duration starvation{20'000'000};
    Duration validity{1'000'000};  // validity of a permit that can be used only once
    /// Validity of a reusable permit. It is short because an idle permit occupies a slot that other entries need.
    Duration reuseValidity{200'000};
    Duration confirmAfter{2'000'000};  // the holder of a permit is queried this long after it last reported the permit
    Duration orphanRetention{30'000'000};  // longest time that a permit occupies its slot after its entry was lost
    /// Longest time that a newly responsible entry waits for the other entries to report their permits.
    Duration reportTimeout{1'000'000};
    Duration serviceTimeHalfLife{60'000'000};  // half-life of the samples from which service times are estimated
    /// Largest number of queued requests. Bounds the memory use on a 64 GB worker that is shared with other processes.
    std::size_t queueLimit = 20'000;
    std::uint64_t permitBase = 1;  // first permit id; differs between processes and between routers of one process
};

// [4] Estimated service times -----------------------------------------------------------------------------------------

/// Histogram of service times with logarithmic buckets (half octaves from 64 us) and exponential decay.
class ServiceTimeEstimate
{
public:
    explicit ServiceTimeEstimate(Duration declared = Duration{50'000}, Duration halfLife = Duration{60'000'000});

    void add(Duration time, TimePoint now);
    double weight(TimePoint now) const;  // decayed number of samples, without the declared time
    Duration quantile(double probability) const;
    Duration mean() const;
    Duration meanUpTo(Duration bound) const;  // mean of min(service time, bound)
    /// Expected remaining service time of work that has already run for `elapsed`.
    Duration remaining(Duration elapsed) const;

    static constexpr std::size_t BucketCount = 64;

private:
    static std::size_t bucketOf(Duration time);
    static double bucketTime(std::size_t bucket);

    std::array<double, BucketCount> m_weights{};
    double m_total = 0;      // sum of m_weights
    double m_prior = 0;      // the part of m_total that stands for the declared time
    TimePoint m_base;        // a sample has weight 1 at this time, and more if it is taken later
    bool m_started = false;  // m_base is set
    Duration m_halfLife;
};

// [5] Ejection of failing instances -----------------------------------------------------------------------------------

struct EjectionSettings
{
    double minFailures = 4;             // decayed number of failures below which no instance is ejected
    Duration halfLife{5'000'000};       // half-life of the counts of successes and failures
    Duration firstEjection{1'000'000};  // duration of the first ejection; each further ejection lasts twice as long
    Duration longestEjection{60'000'000};
    Duration recoveryPeriod{60'000'000};  // each such period without failures halves the duration of the next ejection
};

/// Tracks the results of the instances of a pool and ejects those whose recent results are mostly failures. At most a
/// third of the pool is ejected at the same time. After an ejection one request probes the instance.
class Ejection
{
public:
    enum class InstanceState {
        Normal,
        Suspect,  // failing, but its ejection would leave more than a third of the pool ejected
        Probe,    // the ejection time has passed and no probe has succeeded yet
        Ejected,
    };

    explicit Ejection(EjectionSettings settings = {});

    void setInstances(const std::set<InstanceId> &instances);
    void recordOutcome(const InstanceId &instance, UpstreamResult result, TimePoint now);
    InstanceState instanceState(const InstanceId &instance, TimePoint now) const;
    int ejected() const;  // number of instances in state Ejected or Probe
    /// Earliest time at which an instance that is ejected now may be probed; none: no instance is in state Ejected.
    std::optional<TimePoint> nextProbe(TimePoint now) const;

private:
    struct Record
    {
        double successes = 0;  // decayed to `decayedAt`, as are the failures
        double failures = 0;
        TimePoint decayedAt;
        bool ejected = false;  // stays set until a probe succeeds or a smaller pool ends the ejection
        TimePoint ejectedUntil;
        int doublings = 0;  // number of times that the duration of the next ejection is doubled
        TimePoint healthySince;
    };
    void eject(Record &record, TimePoint now);

    EjectionSettings m_settings;
    std::map<InstanceId, Record> m_records;
};

// [6] Retry budget ----------------------------------------------------------------------------------------------------

/// Limits the retries of one service to a share of its recent requests (a tenth by default), with a floor per second so
/// that a service with little traffic can still retry.
class RetryBudget
{
public:
    explicit RetryBudget(double floorPerSecond = 10, double share = 0.1);

    void recordRequest(TimePoint now);
    bool tryTake(TimePoint now);  // takes one retry; false: the budget is exhausted
    void setFloor(double perSecond);

private:
    void refill(TimePoint now);

    double m_floor;
    double m_share;
    double m_floorTokens = 0;
    double m_shareTokens = 0;
    TimePoint m_refilled;
    bool m_started = false;  // m_refilled is set
};

// [7] The router of one pool ------------------------------------------------------------------------------------------

/// Queues of one pool and the permits for its slots, as held by the entry that is responsible for the pool.
/// Every event returns the decisions that follow from it.
class PoolRouter
{
public:
    using Decisions = std::vector<PermitDecision>;

    explicit PoolRouter(RouterSettings settings = {});

    // Configuration
    /// Sets the instances that are admitted to new work; an instance that is no longer among them gets no further
    /// permits. `members` is the number of all instances of the pool, including those that are being rebooted.
    Decisions setInstances(const std::vector<PoolInstance> &admitted, std::size_t members, TimePoint now);
    Decisions setSlots(int slots, TimePoint now);
    void setDeclared(const ServiceId &service, Duration declared);
    void setQuotas(std::map<TenantId, int> slots);

    // Events
    /// May be called again with the same request: a queued one is left unchanged, and a granted one gets the same
    /// decision again.
    Decisions enqueue(const PermitRequest &request, TimePoint now);
    Decisions cancel(const RequestKey &key, TimePoint now);
    /// Releases a permit and records the result of its request. With `permit` 0 only the result is recorded, because
    /// the holder keeps the permit for reuse. Service, route and class are only used if `permit` is 0 or was not
    /// granted by this router.
    Decisions release(const Requester &requester, std::uint64_t permit, const InstanceId &instance,
                      const ServiceId &service, const std::string &route, RequestClass requestClass,
                      UpstreamResult result, Duration serviceTime, TimePoint now);
    /// Drops the queued requests of an entry that is no longer live. Its permits occupy their slots for a limited time,
    /// because the entry may only be unreachable, and an upstream may go on with work whose caller is gone.
    Decisions entryLost(const EntryId &entry, TimePoint now);
    void entryRecovered(const EntryId &entry);  // entriesToQuery() includes the entry at its next call
    Decisions tick(TimePoint now);

    // Reports of held permits. They are needed after a change of responsibility and to find lost releases.
    /// Grants nothing until all `entries` have reported their permits, or `reportTimeout` has passed.
    void awaitReports(const std::set<EntryId> &entries, TimePoint now);
    /// Takes over the permits that `requester` holds, and frees those that it no longer holds.
    Decisions applyReport(const Requester &requester, const std::vector<HeldPermit> &held, TimePoint now);
    /// Entries that are to be queried for their permits now: those with permits that were not confirmed for
    /// `confirmAfter`, those with queued requests, those whose report is awaited, and from time to time all others.
    std::vector<EntryId> entriesToQuery(TimePoint now);

    // State
    std::size_t queued() const;
    std::size_t inService() const;
    int longInService() const;  // permits of long work and stragglers on admitted instances
    int inService(const InstanceId &instance) const;
    int inService(const TenantId &tenant) const;
    int ejected() const;
    bool awaitingReports() const;
    int longLimit() const;
    Duration shortBound() const;

private:
    using EstimateKey = std::tuple<ServiceId, std::string, RequestClass>;  // service, route, class
    /// Requests with the same key are served in order of arrival. The request key is only set for requests with
    /// a non-empty `avoid` list, each of which has a group of its own.
    using GroupKey = std::tuple<TenantId, EstimateKey, RequestKey>;
    using PermitKey = std::pair<Requester, std::uint64_t>;
    /// Dispatch order: 0 starving, 1 urgent, 2 long after `longAging`, 3 short, 4 long.
    static constexpr std::size_t Ranks = 5;

    /// Estimate for one service, route and class.
    struct WorkEstimate
    {
        ServiceTimeEstimate serviceTime;
        RequestClass declaredClass = RequestClass::Short;
    };
    struct QueuedRequest
    {
        PermitRequest request;
        TimePoint queuedAt;
        double work = 0;  // expected service time in microseconds
    };
    struct Group  // see GroupKey
    {
        std::list<QueuedRequest> queue;
        const WorkEstimate *estimate = nullptr;
    };
    struct QueuePosition
    {
        std::map<GroupKey, Group>::iterator group;
        std::list<QueuedRequest>::iterator item;
    };
    struct Tenant
    {
        std::array<double, Ranks> attained{};  // expected service time granted so far at each rank, in microseconds
        int queued = 0;
        int inService = 0;
        double queuedWork = 0;
    };
    struct Instance
    {
        std::string rack;
        bool admitted = false;
        int inService = 0;
        int longInService = 0;        // includes stragglers: short work that runs for longer than shortBound()
        int grantedLong = 0;          // without stragglers
        std::uint64_t lastGrant = 0;  // id of the newest permit
    };
    struct Permit
    {
        RequestKey key;
        InstanceId instance;
        TenantId tenant;
        EstimateKey estimateKey;
        TimePoint granted;
        /// Time of the holder's last report of the permit, or of the grant if there was none. Reset when the holder is
        /// lost, so that the holder is queried at once.
        TimePoint confirmed;
        TimePoint deadline;
        bool adopted = false;      // granted by another router and taken over from the holder's report
        bool countsLong = false;   // the work is long or a straggler
        bool grantedLong = false;  // the work was estimated to be long at the grant
        bool reusable = false;
        bool orphan = false;    // the holder is lost or has restarted
        TimePoint orphanUntil;  // the slot is freed at this time
        Duration validity{0};
    };
    /// The next request to be granted a permit, and the instance for it.
    struct Choice
    {
        std::map<GroupKey, Group>::iterator group;
        InstanceId instance;
        bool isLong = false;
        std::size_t rank = 0;
    };

    WorkEstimate &estimateFor(const EstimateKey &key);
    bool isLong(const WorkEstimate &estimate, TimePoint now) const;
    Tenant &tenantOf(const TenantId &id);
    void eraseIfIdle(const TenantId &id);
    Refusal admissionRefusal(const PermitRequest &request, const WorkEstimate &estimate, TimePoint now) const;
    void removeQueued(const RequestKey &key);
    void addPermit(std::uint64_t id, const Permit &permit);
    void removePermit(std::map<PermitKey, Permit>::iterator position);
    void orphanEarlierStarts(const Requester &requester, TimePoint now);
    template<class Predicate>
    void orphanRequesters(TimePoint now, Predicate isLost);
    void markStragglers(TimePoint now);
    void expire(TimePoint now, Decisions &out);
    void dispatch(TimePoint now, Decisions &out);
    std::optional<Choice> chooseNext(TimePoint now);
    bool usable(const InstanceId &id, const Instance &instance, TimePoint now) const;
    std::optional<InstanceId> chooseInstance(const PermitRequest &request, TimePoint now) const;
    int totalSlots() const;
    double shortDemand(TimePoint now) const;
    int currentLongLimit(TimePoint now) const;
    int reservedLongSlots() const;

    RouterSettings m_settings;
    std::map<EstimateKey, WorkEstimate> m_estimates;
    std::map<ServiceId, Duration> m_declared;
    ServiceTimeEstimate m_shortTimes;  // of all work whose class is not Long
    std::map<GroupKey, Group> m_groups;
    std::map<RequestKey, QueuePosition> m_queuedRequests;
    /// Deadlines of the queued requests. May contain requests that are no longer queued.
    std::multimap<TimePoint, RequestKey> m_deadlines;
    std::map<TenantId, Tenant> m_tenants;
    std::map<TenantId, int> m_quotas;
    std::map<InstanceId, Instance> m_instances;
    std::map<PermitKey, Permit> m_permits;
    std::map<RequestKey, std::uint64_t> m_granted;         // permit id of each granted request
    std::multimap<TimePoint, PermitKey> m_stragglerTimes;  // when running short work begins to count as long
    double m_shortArrived = 0;  // decayed sum of the service times of the short work that arrived, in microseconds
    TimePoint m_shortArrivedUpdated;
    std::array<double, 3> m_queuedWork{};  // expected service time of the queued requests by class, in microseconds
    /// By rank: largest `attained` that any tenant had before one of its grants.
    std::array<double, Ranks> m_fairFloor{};
    std::size_t m_admitted = 0;  // number of admitted instances
    std::size_t m_members = 0;   // number of all instances of the pool
    std::uint64_t m_nextPermit = 1;
    Ejection m_ejection;
    std::set<EntryId> m_unreported;                    // entries that have not reported since awaitReports()
    TimePoint m_reportDeadline;                        // no report is awaited after this time
    std::map<EntryId, std::uint64_t> m_currentStarts;  // newest start id received from each entry
    std::set<EntryId> m_requesterEntries;              // live entries; all are queried at regular intervals
    std::map<EntryId, TimePoint> m_openQueries;        // by entry: time of the oldest unanswered query
    std::map<EntryId, TimePoint> m_lastQuery;
};

// [8] Concept of a routing policy -------------------------------------------------------------------------------------

/// Interface of a routing policy, for benchmarks that compare PoolRouter with simpler policies.
template<class R>
concept RouterPolicy
    = requires(R router, const PermitRequest &request, const Requester &requester, std::uint64_t permit,
               const InstanceId &instance, const std::string &route, const ServiceId &service,
               RequestClass requestClass, UpstreamResult result, Duration time, TimePoint now,
               const std::vector<PoolInstance> &instances, std::size_t members, const RequestKey &key)
{
    {
        router.setInstances(instances, members, now)
        } -> std::same_as<std::vector<PermitDecision>>;
    {
        router.enqueue(request, now)
        } -> std::same_as<std::vector<PermitDecision>>;
    {
        router.cancel(key, now)
        } -> std::same_as<std::vector<PermitDecision>>;
    {
        router.release(requester, permit, instance, service, route, requestClass, result, time, now)
        } -> std::same_as<std::vector<PermitDecision>>;
    {
        router.tick(now)
        } -> std::same_as<std::vector<PermitDecision>>;
};

static_assert(RouterPolicy<PoolRouter>);

}
