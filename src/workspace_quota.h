#pragma once

// Quotas of workspaces over all executors: the division of each quota among the partitions, and what one partition may
// start.
//
// Load that this answers: the owners of several partitions start tasks of one workspace at the same time, and the quota
// limits the sum. It binds in a burst of one workspace, and when a new configuration lowers it below what is running.
//
// The owner of the fleet partition divides each quota into parts and stores them. The owner of a partition starts a
// task only if what its workspace has running there, with the task, stays within the partition's part. A part grows
// only from what the quota has left after all that the partitions may still use.
//
// Index
// [1] Parts and reports
// [2] Division of the quotas
// [3] Use of the quotas in one partition

#include "job.h"

#include <deque>
#include <limits>
#include <set>

namespace briarvane
{

// [1] Parts and reports -----------------------------------------------------------------------------------------------

constexpr int NoLimit = std::numeric_limits<int>::max();  // in a field of a part: the quota does not limit it

using Quotas = std::map<std::string, Resources>;  // by workspace; 0 in a field: no limit; only workspaces with a limit

struct QuotaPart
{
    Resources part;   // limit of what the partition has running, with the next task
    Resources bound;  // at least `part`; limit of what the partition may use until it reports that it applied the parts

    bool operator==(const QuotaPart &) const = default;
};

/// All parts, as stored. Before the first division the quota is divided equally, see equalPart().
struct QuotaParts
{
    std::uint64_t revision = 0;                                          // revision in the store; 0: nothing is stored
    std::map<std::string, std::map<std::string, QuotaPart>> workspaces;  // by workspace and partition
};

struct QuotaUse
{
    /// All runs that may exist, also those that are starting or being stopped.
    Resources running;
    Resources wanted;  // `running` and the tasks that wait only for the quota
    /// Smallest task or gang that waits only for the quota. It starts as a whole or not at all. All zero: none.
    Resources unit;

    bool operator==(const QuotaUse &) const = default;
};

/// Report of the owner of a partition.
struct QuotaReport
{
    std::uint64_t revision = 0;                  // revision of the parts that the partition has applied
    std::map<std::string, QuotaUse> workspaces;  // workspaces without runs and waiting tasks are left out
};

/// Resources of `count` tasks; NoLimit at most in each field.
Resources times(const Resources &each, int count);
/// Part of each partition before the first division. No partition may start anything while their number is not known.
Resources equalPart(const Resources &quota, int partitions);

std::string encodeQuotaParts(const QuotaParts &parts);  // without the revision
Result<QuotaParts> parseQuotaParts(std::string_view text, std::uint64_t revision);
std::string encodeQuotaReport(const QuotaReport &report);
Result<QuotaReport> parseQuotaReport(std::string_view text);

/// Why the job could never run within its workspace's quota: a task, or a gang as a whole, exceeds it. None if it can.
std::optional<std::string> quotaRefusal(const JobSpec &job, const Quotas &quotas);

// [2] Division of the quotas ------------------------------------------------------------------------------------------

class QuotaDivider
{
public:
    /// Sets the quotas in force and all partitions. An empty list of partitions: they are not known yet.
    void setQuotas(Quotas quotas, std::vector<std::string> partitions);
    /// Sets the stored parts, as read or after they were written.
    void setStored(QuotaParts stored);
    /// A report of an older revision than the last one of the partition is ignored.
    void setReport(const std::string &partition, const QuotaReport &report);

    /// Parts to store in place of the stored ones; none if these may stay.
    std::optional<QuotaParts> next(TimePoint now);
    /// Whether a partition waits for its turn, so that next() has to be called again without a new report.
    bool hasClaims() const
    {
        return !m_claims.empty();
    }

private:
    /// A partition whose unit fits into what the quota has left, but not into its part.
    struct Claim
    {
        TimePoint since;
        TimePoint turnBegan;  // default value: the partition waits for its turn
        TimePoint notBefore;  // no turn before this time, since the partition did not use the last one
    };

    std::optional<std::string> turnHolder(const std::string &workspace, const Resources &quota,
                                          const std::map<std::string, QuotaPart> &parts,
                                          const std::map<std::string, QuotaUse> &use, TimePoint now);
    QuotaPart storedPart(const std::string &workspace, const std::string &partition) const;
    /// Largest part of the workspace that the partition may have applied since it reported `revision`; none if the
    /// parts of that time are not known any more.
    std::optional<Resources> largestPartSince(std::uint64_t revision, const std::string &workspace,
                                              const std::string &partition) const;

    Quotas m_quotas;
    std::vector<std::string> m_partitions;
    QuotaParts m_stored;
    /// Parts that were stored one after another, the present ones last. With many partitions a new division comes
    /// before all of them have reported the previous one.
    std::deque<QuotaParts> m_history;
    std::map<std::string, QuotaReport> m_reports;                  // last report by partition
    std::map<std::string, std::map<std::string, Claim>> m_claims;  // by workspace and partition
};

// [3] Use of the quotas in one partition ------------------------------------------------------------------------------

class QuotaLedger
{
public:
    void setQuotas(Quotas quotas, int partitions);
    /// Sets this partition's parts by workspace. Returns false if they are older than those in force. `revision` 0: no
    /// parts are stored. Until the first call no task of a workspace with a quota fits.
    bool setParts(std::uint64_t revision, std::map<std::string, QuotaPart> parts);

    bool limits(const std::string &workspace) const
    {
        return m_quotas.contains(workspace);
    }
    bool empty() const
    {
        return m_quotas.empty();
    }
    void started(const std::string &workspace, const Resources &resources);
    void ended(const std::string &workspace, const Resources &resources);
    /// Sets what a predecessor may have started and no executor has reported yet, by workspace, and the most that runs
    /// of unknown jobs may use, which counts for each workspace.
    void setUnreported(std::map<std::string, Resources> unreported, const Resources &unknown);
    bool fits(const std::string &workspace, const Resources &resources) const;

    // Tasks that wait only for the quota, counted anew in each placement pass
    void beginPass();
    void addWaiting(const std::string &workspace, const Resources &resources);
    /// `unit`: a task or a gang that executors have room for, see QuotaUse.
    void addWaitingUnit(const std::string &workspace, const Resources &unit);
    /// Whether the unit is smaller than those that were added in this pass.
    bool isSmallestUnit(const std::string &workspace, const Resources &unit) const;
    const std::map<std::string, Resources> &waiting() const
    {
        return m_waiting;
    }

    Resources running(const std::string &workspace) const;
    Resources part(const std::string &workspace) const;
    std::uint64_t revision() const
    {
        return m_revision;
    }
    const Quotas &quotas() const
    {
        return m_quotas;
    }
    /// `room`: free resources of the partition's executors, an upper limit of what can start.
    QuotaReport report(const Resources &room) const;
    /// Whether the division may wait for a report: tasks wait for the quota, the part is almost used up, or the last
    /// report does not show yet that a smaller part is applied.
    bool reportNeeded(std::uint64_t reportedRevision) const;

private:
    Quotas m_quotas;
    int m_partitions = 0;
    std::uint64_t m_revision = 0;
    bool m_partsKnown = false;
    std::map<std::string, QuotaPart> m_parts;
    std::map<std::string, Resources> m_running;
    std::map<std::string, Resources> m_unreported;
    Resources m_unknown;
    std::map<std::string, Resources> m_waiting;
    std::map<std::string, Resources> m_units;  // smallest unit that waits
};

/// Whether the reports differ so much that the division could differ.
bool reportsDiffer(const QuotaReport &left, const QuotaReport &right);

}
