#pragma once

// The daemon on the users' platform: callers' jobs in, commands to executors out, ownership of partitions through the
// store.

#include "settings.h"

namespace briarvane
{

struct JobEntrySettings
{
    std::string name;
    std::string dataCentre;
    Endpoint listen;  // callers
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    Endpoint store;
    Endpoint machines;
    std::optional<Endpoint> advice;   // the service that knows which executors may run a queue's steps
    double cpuShare = 1;              // of a core; stronger entries own more partitions
    Duration runLease{6'000'000};     // of runs on executors; at most what executors allow
    Duration stopTime{400'000};       // an executor takes this long to stop a task
    Duration holderTurn{3'000'000};   // two holders' requests for one instance are this far apart
    Duration grace{6'000'000};        // between SIGTERM and SIGKILL
    Duration keepFinal{180'000'000};  // final states stay readable this long
    std::string settingsFile;         // of the platform; its changes are logged
    std::string logLevel = "info";
};

/// Runs the daemon until it is told to stop; returns the exit code.
int runJobEntry(const JobEntrySettings &settings);

}
