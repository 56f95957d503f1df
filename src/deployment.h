#pragma once

// What operators put in force and what the machines API lists: queues, services, instances, waves.
//
// Index
// [1] Configuration
// [2] Instances and waves

#include "job.h"

#include <boost/json/fwd.hpp>

#include <algorithm>
#include <set>

namespace briarvane
{

// [1] Configuration ---------------------------------------------------------------------------------------------------

/// A queue of jobs. Host and the longest prefix of the path select it.
struct Queue
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    Duration timeout{0};  // of one call
    int priority = 0;     // 0 first
    int maxAttempts = 1;
    double stretch = 1;
    Duration targetLatency{0};
    AdvicePolicy advice;
};

struct PooledService
{
    std::string name;
    int connections = 1;          // most open connections to one executor
    bool guardsCapacity = false;  // its executors refuse what does not fit
    bool spare = false;           // its instances are off and cost nothing
};

struct DeploymentConfig
{
    std::int64_t version = -1;
    std::vector<Queue> queues;
    std::vector<PooledService> services;
    std::size_t bodyLimit = 262'144;   // bytes
    std::size_t headerLimit = 16'384;  // bytes
    Duration idleTimeout{15'000'000};
    Duration headerTimeout{3'000'000};

    /// Null when there is none.
    const Queue *queueFor(std::string_view host, std::string_view path) const;
};

// [2] Instances and waves ---------------------------------------------------------------------------------------------

enum class InstanceAvailability { Up, Moving, Upkeep, Down };

struct PooledInstance
{
    std::string id;
    std::string pool;
    InstanceAvailability state = InstanceAvailability::Down;
    std::string dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    std::string executor;  // its present incarnation; empty while there is none

    bool hasLabel(const std::string &label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

/// What the owner of a partition tells of the executors that must become empty.
struct VacatedReport
{
    std::uint64_t listRevision = 0;   // of the list of those executors that this answers
    std::set<std::string> executors;  // without runs, and without new ones while they stay in the list
};

/// A list of texts as a set; an error when it is anything else.
Result<std::set<std::string>> parseIds(const boost::json::value *list);
std::string encodeVacatedReport(const VacatedReport &report);
Result<VacatedReport> parseVacatedReport(std::string_view text);

/// Instances that are due for maintenance within a time, a few at once.
struct MaintenanceWave
{
    std::int64_t id = 0;
    std::vector<std::string> instances;
    Duration within{0};
    int atOnce = 1;
};

}
