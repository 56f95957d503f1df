#pragma once

// Whether an entry accepts a job, from the backlog that the partition's owner publishes. Decides without a network.
//
// Load that this answers: a queue has so much work ahead that a new job would end too late to be of any use. Its caller
// learns that at once instead of after its deadline.
//
// Index
// [1] The backlog of a partition
// [2] The decision

#include "job.h"
#include "queue_order.h"

namespace briarvane
{

// [1] The backlog of a partition --------------------------------------------------------------------------------------

/// Work that waits in one partition and that its owner would place before new work of a higher cost. Leaves out jobs
/// that are late and jobs beyond their workspace's weight, since these come after a new job.
struct Backlog
{
    struct Row
    {
        int priority = 0;
        int costClass = 0;  // see costClassOf()
        double work = 0;    // core-seconds
    };
    struct WorkspaceRow
    {
        double weight = 1;
        double work = 0;  // core-seconds
    };
    double room = 0;  // cores of the executors that take work, without those that long-running tasks occupy
    std::vector<Row> rows;
    std::map<std::string, WorkspaceRow> workspaces;
    std::map<std::string, double> meanWork;  // core-seconds of a job, by queue

    double work() const;  // core-seconds of all rows
};

/// Classes of cost (core-seconds per value) by powers of two.
int costClassOf(double cost);
std::string encodeBacklog(const Backlog &backlog);  // rounds work and room to two digits, so that it changes rarely
Result<Backlog> parseBacklog(std::string_view text);

// [2] The decision ----------------------------------------------------------------------------------------------------

/// A backlog as an entry knows it.
struct KnownBacklog
{
    Backlog backlog;
    TimePoint receivedAt;
    double acceptedWork = 0;  // core-seconds of the jobs that this entry has accepted since
};

struct AdmissionDecision
{
    bool accepted = true;
    Duration wait{0};        // estimated time until the job gets room
    Duration end{0};         // estimated time until it ends
    Duration worthUntil{0};  // a job that ends later is of no use to its caller
    Duration retryAfter{0};  // if refused: time after which a place is likely
    Duration backlogAge{0};
};

/// A backlog that is older than this accepts every job: its owner may have ended, or the pool may have grown.
constexpr Duration MaxBacklogAge{3'500'000};

/// `known` may be null. The decision depends on the job's specification only, so jobs without an end (long-running and
/// scheduled ones) are always accepted.
AdmissionDecision admit(const JobSpec &spec, const KnownBacklog *known, TimePoint now);

/// Declared core-seconds of one execution of the job.
double declaredWorkOf(const JobSpec &spec);

}
