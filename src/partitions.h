#pragma once

// How a service is divided into partitions, and which partition a job or an executor belongs to.
//
// Load that this answers: the owner of a partition sends, records and acknowledges every run of its jobs, so its
// processor time grows with the service. With 266 executors and 83 jobs of 13 tasks a second, one owner needs more than
// the 0.5 core of the largest instances as soon as the queue's burst begins.
//
// The number of partitions of a service is decided once, before its first job, and stored. Jobs and executors are
// assigned by a hash of their ids, so that all entries agree without messages and nothing ever changes its partition.
//
// Index
// [1] Names
// [2] Decisions

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarvane
{

// [1] Names -----------------------------------------------------------------------------------------------------------

/// One partition of a service. The first has the name of the service, so that a service with one partition has the same
/// keys in the store as one that was never divided.
struct Partition
{
    std::string service;
    int index = 0;
    int count = 1;  // partitions of the service

    std::string name() const;  // SERVICE, or SERVICE!2 for index 1 and so on
};

/// Service and index of the partition with this name; `count` stays 1. A service name may contain '!', but not end with
/// '!' and a number.
Partition parsePartitionName(std::string_view name);

// [2] Decisions -------------------------------------------------------------------------------------------------------

constexpr int MaxPartitions = 64;  // per service

/// Number of partitions for a service with a pool of this size when its first owner starts: about one for 64 instances.
/// An owner with 85 executors keeps up with its queue's burst on the present deployments.
int partitionsForPool(int instances);
/// Reads the stored number of partitions; none if the text is not a number from 1 to MaxPartitions.
std::optional<int> parsePartitionCount(std::string_view text);

/// Index of the partition that a job or an executor belongs to.
int partitionIndex(std::string_view id, int count);
Partition partitionOf(const std::string &service, int count, std::string_view id);

}
