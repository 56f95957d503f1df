// Tests of the forecast of recurring demand peaks, with time passed in as a value.

#include "demand_forecast.h"

#include <catch2/catch.hpp>

#include <array>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

const std::array<std::string, 4> Pools{"orders", "bills", "audits", "letters"};
constexpr Duration Turn{8'000'000};
constexpr int SmallestPeak = 1'000'000;  // milli-cores
constexpr int PeakDemand = 6'000'000;
constexpr int QuietDemand = 300'000;
constexpr Duration Step{250'000};

/// Feeds a forecast with pools that have their peaks one after another.
class Turns
{
public:
    /// Advances to `end`. `extra`: pool that has a peak out of its turn meanwhile. `silent`: pool whose peaks do not
    /// come.
    void runUntil(Duration end, const std::string &extra = {}, const std::string &silent = {})
    {
        for (; m_elapsed < end; m_elapsed += Step) {
            for (std::size_t i = 0; i < Pools.size(); ++i) {
                const bool hasTurn
                    = m_elapsed >= Duration{0} && static_cast<std::size_t>(m_elapsed / Turn) % Pools.size() == i;
                const bool isPeaking = (hasTurn && Pools[i] != silent) || Pools[i] == extra;
                forecast.observe(Pools[i], isPeaking ? PeakDemand : QuietDemand, SmallestPeak, now());
            }
        }
    }
    TimePoint now() const
    {
        return m_start + m_elapsed;
    }
    /// Begin of the pool's expected peak, in seconds from the start; -1: none is expected.
    double expected(const std::string &pool) const
    {
        const auto peak = forecast.nextPeak(pool, now());
        return peak ? std::chrono::duration<double>(peak->begin - m_start).count() : -1;
    }

    DemandForecast forecast;

private:
    TimePoint m_start{1h};
    Duration m_elapsed{-1'000'000};  // the pools are quiet for a second before the first peak
};

}

TEST_CASE("Peaks that recur are expected ahead")
{
    Turns turns;
    turns.runUntil(24s);
    SECTION("nothing is expected before each pool has had a peak")
    {
        for (const std::string &pool : Pools) {
            CHECK(turns.expected(pool) == -1);
        }
    }
    turns.runUntil(31s);
    SECTION("after one round, each peak is expected one round after the last one")
    {
        CHECK(turns.expected("orders") == Approx(32).margin(0.5));
        CHECK(turns.expected("bills") == Approx(40).margin(0.5));
        const auto peak = turns.forecast.nextPeak("orders", turns.now());
        REQUIRE(peak);
        CHECK(peak->milliCores == Approx(PeakDemand).epsilon(0.1));
        CHECK(turns.expected("letters") == -1);  // in its peak
    }
    SECTION("a peak that has begun is not expected any more, and the next one is a round later")
    {
        turns.runUntil(34s);
        CHECK(turns.expected("orders") == -1);
        turns.runUntil(42s);
        CHECK(turns.expected("orders") == Approx(64).margin(1));
    }
    SECTION("an extra peak of one pool moves neither its own next peak nor those of the others")
    {
        turns.runUntil(50s);
        turns.runUntil(54s, "orders");
        turns.runUntil(60s);
        CHECK(turns.expected("orders") == Approx(64).margin(1));
        CHECK(turns.expected("bills") == Approx(72).margin(1));
    }
    SECTION("a pool whose peak did not come is expected to have none, until one has come at its time again")
    {
        turns.runUntil(47s, {}, "bills");
        CHECK(turns.expected("bills") == -1);
        CHECK(turns.expected("audits") == Approx(48).margin(1));
        turns.runUntil(49s, {}, "bills");
        turns.runUntil(90s);
        CHECK(turns.expected("bills") == -1);
        turns.runUntil(122s);
        CHECK(turns.expected("bills") == Approx(136).margin(1));
    }
}

TEST_CASE("Demand without recurring peaks is not forecast")
{
    SECTION("an extra peak in the first round is not taken for a round")
    {
        Turns turns;
        turns.runUntil(12s);
        turns.runUntil(14s, "orders");
        turns.runUntil(20s);
        for (const std::string &pool : Pools) {
            CHECK(turns.expected(pool) == -1);
        }
    }
    SECTION("peaks in an order that keeps changing are hardly ever expected")
    {
        DemandForecast forecast;
        TimePoint now{1h};
        int samples = 0;
        int expectations = 0;
        for (const std::size_t peaking : {0, 1, 2, 3, 1, 0, 2, 1, 3, 0, 3, 2, 0, 2, 3, 1, 2, 0, 1, 3}) {
            for (const TimePoint end = now + 10s; now < end; now += Step) {
                for (std::size_t i = 0; i < Pools.size(); ++i) {
                    forecast.observe(Pools[i], i == peaking ? PeakDemand : QuietDemand, SmallestPeak, now);
                    const auto peak = forecast.nextPeak(Pools[i], now);
                    ++samples;
                    expectations += peak && peak->begin - now < 3s ? 1 : 0;
                }
            }
        }
        CHECK(expectations < samples / 20);
    }
    SECTION("constant demand, however high, is no peak")
    {
        DemandForecast forecast;
        TimePoint now{1h};
        for (int i = 0; i < 400; ++i, now += Step) {
            forecast.observe("orders", PeakDemand, SmallestPeak, now);
            forecast.observe("bills", QuietDemand, SmallestPeak, now);
        }
        CHECK_FALSE(forecast.nextPeak("orders", now));
        CHECK_FALSE(forecast.nextPeak("bills", now));
    }
}
