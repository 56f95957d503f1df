#pragma once

// The process behind `briarvane serve`: accepts jobs from callers, owns partitions through the store and sends commands
// to executors.

#include "settings.h"

namespace briarvane
{

struct JobEntrySettings
{
    std::string name;
    std::string dataCentre;
    Endpoint listen;  // endpoint for callers
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    Endpoint store;
    Endpoint machines;
    std::optional<Endpoint> advice;       // service that decides which executors may run a queue's steps
    double cpuShare = 1;                  // in cores; entries with a larger share own more partitions
    Duration runLeaseTime{6'000'000};     // lease of runs on executors; at most the longest lease that executors accept
    Duration longestLease{6'000'000};     // longest lease that executors accept
    Duration stopTime{400'000};           // time that an executor takes to stop a task
    Duration fleetOwnerPause{3'000'000};  // shortest time between two owners' requests for one instance
    Duration grace{6'000'000};            // time between SIGTERM and SIGKILL
    Duration finalStateRetention{180'000'000};  // time for which callers can read a job's final state
    Duration configApplyTime{3'000'000};        // time within which a new version of the configuration must be in force
    std::string settingsFile;  // changes to this file are only logged; they take effect at the next start
    std::string logLevel = "info";
};

/// Runs the entry until SIGTERM or SIGINT; returns the exit code.
int runJobEntry(const JobEntrySettings &settings);

}
