#include "executor_health.h"

#include <algorithm>

namespace briarvane
{

namespace
{

constexpr double FailureDecay = 0.8;   // per outcome, so that about the last five outcomes determine the score
constexpr double FailureLimit = 0.58;  // reached by failures of four jobs in a row from a clean record
constexpr int MaxProbeStarts = 8;      // with more, the executor gets its full load
constexpr int MaxDoublings = 5;        // keeps the shifts small; the limits of the times apply first
constexpr std::size_t MaxFailedJobs = 16;

Duration doubled(Duration first, int times, Duration longest)
{
    return std::min(first * (1 << std::min(times, MaxDoublings)), longest);
}

}

void ExecutorHealth::succeeded(TimePoint now)
{
    m_score *= FailureDecay;
    m_failedJobs.clear();
    if (probing(now)) {
        m_probeStarts *= 2;
        if (m_probeStarts > MaxProbeStarts) {
            m_probingUntil = {};
        }
    }
}

bool ExecutorHealth::failed(const std::string &job, TimePoint now)
{
    // All tasks of a job that can never be done fail alike, and they are often packed on one executor.
    if (m_failedJobs.size() >= MaxFailedJobs) {
        m_failedJobs.clear();
    }
    if (!m_failedJobs.insert(job).second) {
        return false;
    }
    m_score = m_score * FailureDecay + (1 - FailureDecay);
    return m_score > FailureLimit || probing(now);
}

bool ExecutorHealth::lostRuns(TimePoint now)
{
    const bool again = m_lostRunsAt != TimePoint{} && now - m_lostRunsAt < m_settings.ejectionMemory;
    m_lostRunsAt = now;
    return again;
}

void ExecutorHealth::eject(TimePoint now)
{
    if (ejected(now)) {
        return;
    }
    if (now > m_ejectedUntil + m_settings.ejectionMemory) {
        m_ejections = 0;
    }
    m_lastEjection = doubled(m_settings.ejection, m_ejections++, m_settings.maxEjection);
    m_ejectedUntil = now + m_lastEjection;
    m_probeStarts = 1;
    // Long-running tasks do not end in success, so a probe without a failure also ends after some time.
    m_probingUntil = m_ejectedUntil + m_lastEjection;
    m_score = FailureLimit * FailureDecay;
    m_failedJobs.clear();
}

void ExecutorHealth::refused(TimePoint sentAt, bool connectFailed, TimePoint now)
{
    if (sentAt < m_refusedAt) {
        return;
    }
    const Duration first = connectFailed ? m_settings.connectPause : m_settings.refusalPause;
    pauseUntil(now + doubled(first, m_refusals++, m_settings.maxPause));
    m_refusedAt = now;
}

void ExecutorHealth::accepted()
{
    m_refusals = 0;
}

void ExecutorHealth::requireProbe(TimePoint now)
{
    m_refusals = std::max(1, m_refusals);
    m_refusedAt = now;
}

void ExecutorHealth::pauseUntil(TimePoint time)
{
    m_pausedUntil = std::max(m_pausedUntil, time);
}

int ExecutorHealth::allowedStarts(TimePoint now) const
{
    if (ejected(now)) {
        return 0;
    }
    if (m_refusals > 0) {
        return 1;
    }
    return probing(now) ? m_probeStarts : Unlimited;
}

TimePoint ExecutorHealth::startsCountedFrom() const
{
    return std::max(m_ejectedUntil, m_refusedAt);
}

bool ExecutorHealth::ejected(TimePoint now) const
{
    return now < m_ejectedUntil || now < m_pausedUntil;
}

bool ExecutorHealth::probing(TimePoint now) const
{
    return now >= m_ejectedUntil && now < m_probingUntil;
}

double ExecutorHealth::failureScore() const
{
    return m_score;
}

Duration ExecutorHealth::lastEjection() const
{
    return m_lastEjection;
}

}
