#pragma once

// Which partitions of a service can run a job. Partitions have executors of their own, so a label, a size or the width
// of a gang may be met by one partition and not by another one.
//
// Load that this answers: a few executors of a large service have a label that some jobs require. Their partitions
// follow from a hash of their ids, and so do those of the jobs.
//
// Index
// [1] One step
// [2] The partitions of a service

#include "executor.h"
#include "partitions.h"

namespace briarvane
{

// [1] One step --------------------------------------------------------------------------------------------------------

/// Whether the executors could run the step if they were empty: a gang, or a long-running step with a limit per
/// executor, as a whole, and one task of any other step. Draining executors do not count.
bool canHost(const StepSpec &step, const std::vector<const ExecutorRecord *> &executors);

// [2] The partitions of a service -------------------------------------------------------------------------------------

/// Steps of a job that are not done.
struct OpenSteps
{
    std::vector<const StepSpec *> all;
    std::vector<const StepSpec *> ready;  // those that wait for no other step
};
OpenSteps openSteps(const JobSpec &spec);  // of a job that has not started

class PartitionFit
{
public:
    /// `executors`: all registered ones. Those of the service are referred to, and must outlive this object.
    PartitionFit(const std::vector<ExecutorRecord> &executors, const std::string &service, int count);

    /// Index of a partition that can host all open steps, else of one that can host a ready step; none if there is no
    /// such partition. `preferred` comes first among equals.
    std::optional<int> choose(const OpenSteps &steps, int preferred) const;

private:
    std::vector<std::vector<const ExecutorRecord *>> m_executors;  // by partition
};

}
