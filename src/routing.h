#pragma once

// Decisions on slots and queues of one pool: class queues, learned sizes, permits, ejection, retry budget.
//
// Index
// [1] How an attempt ended
// [2] Requests, decisions, held permits
// [3] Settings
// [4] Learned service times
// [5] Ejection of failing instances
// [6] Retry budget
// [7] The router of one pool
// [8] Comparing policies

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
    Completed,      // whole answer, any status below 500
    ServerError,    // whole answer with status 500 or above
    ConnectFailed,  // no byte was sent
    Reset,          // the connection broke after a byte was sent
    Truncated,      // the answer ended early
    TimedOut,       // no whole answer before the deadline
    Cancelled,      // the caller went away; says nothing about the instance
    NotSent,        // the permit was given back unused
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

// [2] Requests, decisions, held permits -------------------------------------------------------------------------------

/// One process start of an entry. Request ids are unique only within it.
struct Requester
{
    EntryId entry;
    std::uint64_t startId = 0;
    auto operator<=>(const Requester &) const = default;  // NOLINT(modernize-use-nullptr): false report on <=>
};

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
    Deadline,    // cannot start in time
    Quota,       // the tenant's slots cannot come free in time
    NoInstance,  // the pool has no instance that could ever run it
    QueueFull,
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

/// The one answer to a permit request: a grant, or a refusal with `permit` 0.
struct PermitDecision
{
    RequestKey key;
    std::uint64_t permit = 0;
    InstanceId instance;
    Duration validity{0};   // the permit may start work within this time
    bool reusable = false;  // may be used again for the same service, tenant and class within `validity`
    Refusal refusal = Refusal::None;
};

/// A permit as its holder reports it to a new responsible entry.
struct HeldPermit
{
    std::uint64_t permit = 0;
    std::uint64_t request = 0;
    InstanceId instance;
    RequestClass requestClass = RequestClass::Short;
    Duration running{0};
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
    int slots = 8;                      // in service per instance
    double longShare = 0.95;            // most of the pool's slots that long work may hold
    double longReserve = 0.1;           // slots that aged long work gets ahead of short work
    double shortFactor = 10;            // short bound as a multiple of the median of short work
    Duration shortBoundMin{20'000};     // the bound is never below; typical jitter of a quick answer
    double shortMargin = 1.28;          // slots kept for short work, as a multiple of its present demand (wait_bench)
    Duration demandTime{150'000};       // averages the demand; longer misses the begin of a burst (wait_bench)
    Duration longAging{2'000'000};      // long work that waited this long goes ahead of short work
    Duration starvation{20'000'000};    // work of any class that waited this long goes ahead of urgent work
    Duration validity{1'000'000};       // of a permit that is used once
    Duration reuseValidity{200'000};    // of a reusable permit; an idle one keeps its slot from other entries
    Duration confirmAfter{2'000'000};   // permits not confirmed for this long are asked after
    Duration orphanHold{30'000'000};    // most that a lost entry's permit keeps its slot
    Duration gatherTimeout{1'000'000};  // a new responsible entry waits this long for the others' permits
    Duration sizeHalfLife{60'000'000};  // decay of learned service times
    std::size_t queueLimit = 20'000;    // requests; memory bound of a 64 GB worker shared with others
    std::uint64_t permitBase = 1;       // first permit id; distinct per responsible process
};

// [4] Learned service times -------------------------------------------------------------------------------------------

/// Histogram of service times with logarithmic buckets (half octaves from 64 us) and exponential decay.
class SizeEstimate
{
public:
    explicit SizeEstimate(Duration declared = Duration{50'000}, Duration halfLife = Duration{60'000'000});

    void add(Duration time, TimePoint now);
    double weight(TimePoint now) const;  // decayed number of samples, without the declared one
    Duration quantile(double share) const;
    Duration mean() const;
    Duration meanUpTo(Duration bound) const;  // of the smaller of time and bound
    /// Mean rest of work that has already run for `elapsed`.
    Duration remaining(Duration elapsed) const;

    static constexpr std::size_t BucketCount = 64;

private:
    static std::size_t bucketOf(Duration time);
    static double bucketTime(std::size_t bucket);

    std::array<double, BucketCount> m_weights{};
    double m_total = 0;  // sum of the weights, scaled by the decay since m_base
    double m_prior = 0;  // scaled weight of the declared time
    TimePoint m_base;
    bool m_started = false;
    Duration m_halfLife;
};

// [5] Ejection of failing instances -----------------------------------------------------------------------------------

struct EjectionSettings
{
    double minFailures = 4;         // decayed count below which nothing is concluded
    Duration halfLife{5'000'000};   // of outcomes
    Duration firstTime{1'000'000};  // doubles with each repetition
    Duration longestTime{60'000'000};
    Duration forgive{60'000'000};  // a healthy period of this length takes back one doubling
};

/// Which instances of a pool are out of use because their recent outcomes are mostly failures.
class Ejection
{
public:
    enum class Use { Normal, Suspect, Probe, Ejected };  // Suspect: would be ejected, but a third of the pool is

    explicit Ejection(EjectionSettings settings = {});

    void setInstances(const std::set<InstanceId> &instances);
    void outcome(const InstanceId &instance, UpstreamResult result, TimePoint now);
    Use use(const InstanceId &instance, TimePoint now) const;
    int ejected() const;  // includes instances on probe
    /// The earliest time at which an ejected instance may be probed.
    std::optional<TimePoint> nextProbe(TimePoint now) const;

private:
    struct Record
    {
        double good = 0;
        double bad = 0;
        TimePoint updated;
        bool out = false;
        TimePoint until;
        int level = 0;  // doublings so far
        TimePoint healthySince;
    };
    void eject(Record &record, TimePoint now);

    EjectionSettings m_settings;
    std::map<InstanceId, Record> m_records;
};

// [6] Retry budget ----------------------------------------------------------------------------------------------------

/// Retries of one service: a tenth of its recent requests, or a floor.
class RetryBudget
{
public:
    explicit RetryBudget(double floorPerSecond = 10, double share = 0.1);

    void request(TimePoint now);
    bool take(TimePoint now);  // false: the budget is spent
    void setFloor(double perSecond);

private:
    void refill(TimePoint now);

    double m_floor;
    double m_share;
    double m_floorTokens = 0;
    double m_shareTokens = 0;
    TimePoint m_refilled;
    bool m_started = false;
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
    /// Instances admitted to new work. One that leaves gets nothing more from this moment. `members` counts all
    /// instances of the pool, also those that come back after a reboot.
    Decisions setInstances(const std::vector<PoolInstance> &admitted, std::size_t members, TimePoint now);
    Decisions setSlots(int slots, TimePoint now);
    void setDeclared(const ServiceId &service, Duration declared);
    void setQuotas(std::map<TenantId, int> slots);

    // Events
    /// Sent again, a queued request is left as it is and a granted one gets the same decision again.
    Decisions enqueue(const PermitRequest &request, TimePoint now);
    Decisions cancel(const RequestKey &key, TimePoint now);
    /// `permit` 0 only reports a result, of a reused permit.
    /// The class is only used for permits that this router did not grant.
    Decisions release(const Requester &requester, std::uint64_t permit, const InstanceId &instance,
                      const ServiceId &service, const std::string &route, RequestClass requestClass,
                      UpstreamResult result, Duration serviceTime, TimePoint now);
    /// The entry's queued requests are dropped. Its running work keeps the slots for a time, because the entry may be
    /// alive behind a cut link and an upstream may finish work whose caller is gone.
    Decisions entryLost(const EntryId &entry, TimePoint now);
    void entryFound(const EntryId &entry);  // it is asked for its permits at the next query
    Decisions tick(TimePoint now);

    // Permits after a change of responsibility, lost releases
    void gather(const std::set<EntryId> &entries, TimePoint now);  // grants nothing before these have reported
    Decisions adopt(const Requester &requester, const std::vector<HeldPermit> &held, TimePoint now);
    /// Entries to be asked for their permits now: old permits, queued requests, unanswered gathering.
    std::vector<EntryId> queries(TimePoint now);

    // State
    std::size_t queued() const;
    std::size_t inService() const;
    int longInService() const;  // on admitted instances
    int inService(const InstanceId &instance) const;
    int inService(const TenantId &tenant) const;
    int ejected() const;
    bool gathering() const;
    int longLimit() const;
    Duration shortBound() const;

private:
    using SizeKey = std::tuple<ServiceId, std::string, RequestClass>;
    using GroupKey = std::tuple<TenantId, SizeKey, RequestKey>;  // request key only for requests with `avoid`
    using PermitKey = std::pair<Requester, std::uint64_t>;
    static constexpr std::size_t Ranks = 5;

    struct Sizes
    {
        SizeEstimate estimate;
        RequestClass declaredClass = RequestClass::Short;
    };
    struct Waiting
    {
        PermitRequest request;
        TimePoint since;
        double work = 0;  // expected service time in microseconds
    };
    struct Group
    {
        std::list<Waiting> queue;
        const Sizes *sizes = nullptr;
    };
    struct Place
    {
        std::map<GroupKey, Group>::iterator group;
        std::list<Waiting>::iterator item;
    };
    struct Tenant
    {
        std::array<double, Ranks> attained{};  // expected work granted so far at each rank
        int queued = 0;
        int inService = 0;
        double queuedWork = 0;
    };
    struct Instance
    {
        std::string rack;
        bool admitted = false;
        int inService = 0;
        int longInService = 0;        // with work that outlived the short bound
        int grantedLong = 0;          // without
        std::uint64_t lastGrant = 0;  // permit id
    };
    struct Permit
    {
        RequestKey key;
        InstanceId instance;
        TenantId tenant;
        SizeKey size;
        TimePoint granted;
        TimePoint confirmed;
        TimePoint deadline;
        bool adopted = false;
        bool countsLong = false;
        bool grantedLong = false;
        bool reusable = false;
        bool orphan = false;  // its entry is lost
        TimePoint orphanUntil;
        Duration validity{0};
    };
    struct Choice
    {
        std::map<GroupKey, Group>::iterator group;
        InstanceId instance;
        bool isLong = false;
        std::size_t rank = 0;
    };

    Sizes &sizesOf(const SizeKey &key);
    bool isLong(const Sizes &sizes, TimePoint now) const;
    Tenant &tenantOf(const TenantId &id);
    void forgetIdle(const TenantId &id);
    Refusal admission(const PermitRequest &request, const Sizes &sizes, TimePoint now) const;
    void removeWaiting(const RequestKey &key);
    void addPermit(std::uint64_t id, const Permit &permit);
    void removePermit(std::map<PermitKey, Permit>::iterator position);
    void supersede(const Requester &requester, TimePoint now);
    template<class Predicate>
    void orphan(TimePoint now, Predicate isLost);
    void promote(TimePoint now);
    void expire(TimePoint now, Decisions &out);
    void dispatch(TimePoint now, Decisions &out);
    std::optional<Choice> choose(TimePoint now);
    bool usable(const InstanceId &id, const Instance &instance, TimePoint now) const;
    std::optional<InstanceId> chooseInstance(const PermitRequest &request, TimePoint now) const;
    int totalSlots() const;
    double shortDemand(TimePoint now) const;
    int longCap(TimePoint now) const;
    int longReserved() const;

    RouterSettings m_settings;
    std::map<SizeKey, Sizes> m_sizes;
    std::map<ServiceId, Duration> m_declared;
    SizeEstimate m_shortSizes;  // of all work that is not of class Long
    std::map<GroupKey, Group> m_groups;
    std::map<RequestKey, Place> m_waiting;
    std::multimap<TimePoint, RequestKey> m_deadlines;  // of queued requests; lines of others are skipped
    std::map<TenantId, Tenant> m_tenants;
    std::map<TenantId, int> m_quotas;
    std::map<InstanceId, Instance> m_instances;
    std::map<PermitKey, Permit> m_permits;
    std::map<RequestKey, std::uint64_t> m_granted;
    std::multimap<TimePoint, PermitKey> m_promotions;  // when running short work begins to count as long
    double m_shortArrived = 0;                         // decayed work of short arrivals, in microseconds
    TimePoint m_shortArrivedAt;
    std::array<double, 3> m_queuedWork{};     // by class
    std::array<double, Ranks> m_fairFloor{};  // work of the tenant that was served last
    std::size_t m_admitted = 0;
    std::size_t m_members = 0;
    std::uint64_t m_nextPermit = 1;
    Ejection m_ejection;
    std::set<EntryId> m_awaited;  // entries that have not reported since gather()
    TimePoint m_gatherUntil;
    std::map<EntryId, std::uint64_t> m_starts;
    std::set<EntryId> m_known;             // entries that are asked now and then
    std::map<EntryId, TimePoint> m_asked;  // the oldest query without an answer
    std::map<EntryId, TimePoint> m_lastQuery;
};

// [8] Comparing policies ----------------------------------------------------------------------------------------------

/// What the measurements need of a policy.
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
