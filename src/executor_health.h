#pragma once

// Decides how many tasks an executor may get, by the outcomes of its starts and runs. Answers the load of large
// executors of which some go down and up, refuse a part of their starts or fail what they start: one bad outcome among
// many good ones costs nothing, and an executor that returns gets one task before it gets its full load.

#include "types.h"

#include <limits>
#include <set>

namespace briarvane
{

struct HealthSettings
{
    Duration ejection{4'000'000};  // after repeated failures; doubles with each further ejection
    Duration maxEjection{32'000'000};
    Duration ejectionMemory{30'000'000};  // the time does not double if the last ejection ended longer ago than this
    Duration refusalPause{250'000};       // after a refused start; doubles with each refusal in a row
    Duration connectPause{1'000'000};     // after a failed connection; doubles with each failure in a row
    Duration maxPause{2'000'000};
};

/// Health of the executor under one id, over all its incarnations.
class ExecutorHealth
{
public:
    static constexpr int Unlimited = std::numeric_limits<int>::max();

    explicit ExecutorHealth(HealthSettings settings = {})
        : m_settings(settings)
    {
    }

    // Outcomes
    void succeeded(TimePoint now);
    /// Returns true if the failures have reached the limit. The caller then decides whether to call eject().
    bool failed(const std::string &job, TimePoint now);
    /// The executor has ended with runs on it. Returns true if that happened before, a short time ago.
    bool lostRuns(TimePoint now);
    void eject(TimePoint now);
    /// A start that was sent at `sentAt` was refused, or no connection to the executor could be established.
    /// Refusals of starts that were sent together count as one.
    void refused(TimePoint sentAt, bool connectFailed, TimePoint now);
    void accepted();                   // the executor has accepted a start
    void requireProbe(TimePoint now);  // the executor may be gone: it gets one start until it has accepted one
    void pauseUntil(TimePoint time);

    // State
    /// Number of tasks that the executor may have besides those that were started before startsCountedFrom().
    int allowedStarts(TimePoint now) const;
    TimePoint startsCountedFrom() const;
    bool ejected(TimePoint now) const;
    bool probing(TimePoint now) const;  // gets tasks again, but not its full load
    double failureScore() const;        // decaying mean of the outcomes: 0 all good, 1 all failed
    Duration lastEjection() const;

private:
    HealthSettings m_settings;
    double m_score = 0;
    std::set<std::string> m_failedJobs;  // jobs that failed since the last success
    int m_ejections = 0;                 // in a row, that is without a full recovery between them
    Duration m_lastEjection{0};
    TimePoint m_lostRunsAt;  // default value: never
    TimePoint m_ejectedUntil;
    TimePoint m_probingUntil;  // default value: the executor may get its full load
    int m_probeStarts = 0;
    int m_refusals = 0;  // in a row
    TimePoint m_refusedAt;
    TimePoint m_pausedUntil;
};

}
