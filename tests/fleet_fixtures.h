#pragma once

// Instances and waves for tests of the fleet's owner and of its planners.

#include "deployment.h"

namespace briarvane
{

inline const std::set<std::string> SparePools{"spare"};

/// An instance that is up, with the executor "i-" + id.
inline PooledInstance makeInstance(const std::string &id, const std::string &pool)
{
    PooledInstance instance;
    instance.id = id;
    instance.pool = pool;
    instance.state = InstanceAvailability::Up;
    instance.executor = "i-" + id;
    instance.capacity = {16'000, 32'768, 0};
    return instance;
}

/// Wave 7 of the instances m0, m1, and so on.
inline MaintenanceWave makeWave(int instances, int maxConcurrent)
{
    MaintenanceWave wave;
    wave.instances.reserve(static_cast<std::size_t>(instances));
    wave.id = 7;
    wave.maxConcurrent = maxConcurrent;
    wave.dueWithin = std::chrono::seconds(24);
    for (int i = 0; i < instances; ++i) {
        wave.instances.push_back("m" + std::to_string(i));
    }
    return wave;
}

}
