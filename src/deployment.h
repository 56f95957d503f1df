#pragma once

// The configuration that operators put in force (queues and services), the instances that the machines API lists, and
// maintenance waves.
//
// Index
// [1] Configuration
// [2] Instances and waves

#include "job.h"

#include <boost/json/fwd.hpp>

#include <algorithm>
#include <set>
#include <unordered_map>

namespace briarvane
{

// [1] Configuration ---------------------------------------------------------------------------------------------------

/// A queue of jobs. A request belongs to the queue with its host and the longest prefix of its path.
struct Queue
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    Duration timeout{0};  // timeout of one call to an executor
    int priority = 0;     // 0 is the highest
    int maxAttempts = 1;
    double stretch = 1;  // latency objective: stretch x duration of the longest chain of steps + targetLatency
    Duration targetLatency{0};
    AdvicePolicy advice;
    bool isPublic = false;  // callers need no access key, and the jobs belong to no workspace
};

/// A workspace shares the queues and pools of the deployment with others.
struct Workspace
{
    std::string name;
    std::vector<std::string> accessKeys;  // secrets: never logged and in no metric or error message
    /// Share of the room, relative to the other workspaces, while a pool is full. Also the rate of jobs, per second,
    /// up to which the workspace is owed service.
    int weight = 1;
    Resources quota;  // limit of what its tasks use on all executors together; 0 in a field: that field has no limit

    bool operator==(const Workspace &) const = default;
};

struct PooledService
{
    std::string name;
    int connections = 1;            // maximum number of open connections to one executor
    bool enforcesCapacity = false;  // the service's executors refuse tasks that exceed their capacity
    bool spare = false;             // a spare pool: its instances are off and cost nothing
};

struct DeploymentConfig
{
    std::int64_t version = -1;
    std::vector<Queue> queues;
    std::vector<PooledService> services;
    std::vector<Workspace> workspaces;  // empty: no queue requires an access key
    std::size_t bodyLimit = 262'144;    // bytes
    std::size_t headerLimit = 16'384;   // bytes
    Duration idleTimeout{15'000'000};
    Duration headerTimeout{3'000'000};

    /// Null when no queue matches. Takes the same time however many queues there are.
    const Queue *queueFor(std::string_view host, std::string_view path) const;
    /// Null when no workspace has the key. Takes the same time however many keys there are.
    const Workspace *workspaceWithKey(const std::string &accessKey) const;
    /// Prepares queueFor(). Called once after `queues` is filled in.
    void indexQueues();
    /// Prepares workspaceWithKey(). Called once after `workspaces` is filled in.
    void indexAccessKeys();

private:
    struct QueuesOfHost
    {
        std::vector<std::size_t> lengths;                       // distinct lengths of the prefixes, longest first
        std::unordered_map<std::string, std::size_t> byPrefix;  // index into `queues`
    };

    std::unordered_map<std::string, QueuesOfHost> m_queuesByHost;
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;  // index into `workspaces`
};

// [2] Instances and waves ---------------------------------------------------------------------------------------------

enum class InstanceAvailability { Up, Moving, Maintenance, Down };

struct PooledInstance
{
    std::string id;
    std::string pool;
    InstanceAvailability state = InstanceAvailability::Down;
    std::string dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    std::string executor;  // present incarnation; empty while no executor runs on the instance

    bool hasLabel(const std::string &label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

/// Report of the owner of a partition: which executors on the list of vacating executors are vacated.
struct VacatedReport
{
    std::uint64_t listRevision = 0;   // revision of the list of vacating executors that the report refers to
    std::set<std::string> executors;  // executors without runs; they get no new runs while the list names them
    /// Executors that cannot be vacated now, since they have long-running tasks that may not be stopped. They get new
    /// runs although the list names them.
    std::set<std::string> blocked;
};

/// Reads a JSON array of strings as a set. Returns an error if the value is missing or is anything else.
Result<std::set<std::string>> parseIds(const boost::json::value *list);
std::string encodeVacatedReport(const VacatedReport &report);
Result<VacatedReport> parseVacatedReport(std::string_view text);

/// Instances whose maintenance must begin within a given time, with a limited number of them down at once.
struct MaintenanceWave
{
    std::int64_t id = 0;
    std::vector<std::string> instances;
    Duration dueWithin{0};  // time within which the maintenance of all instances must begin
    int maxConcurrent = 1;  // maximum number of instances that are down at once
};

/// Status of a wave as stored for operators.
struct WaveStatus
{
    std::int64_t wave = 0;
    bool completed = false;  // the maintenance of every instance has begun; otherwise the wave is running
};

}
