// Measures store writes and added latency of idempotency keys in virtual time, and bytes per idempotency record.
// Usage: idempotency_bench [SEED]

#include "idempotency.h"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>

using namespace briarvane;

namespace
{

constexpr Duration RoundTrip{2'000};  // time of a store call, as the coordination service specifies it
constexpr Duration MeanService{50'000};
constexpr std::size_t AnswerBody = 200;  // body size of a stored answer, bytes
constexpr TimePoint Start{Duration{1'000'000'000}};

struct Event
{
    TimePoint at;
    std::uint64_t sequenceNumber = 0;  // events at the same time run in the order of their creation
    std::function<void()> run;
    bool operator<(const Event &other) const
    {
        return std::pair(other.at, other.sequenceNumber) < std::pair(at, sequenceNumber);
    }
};

/// Simulates the shards of one responsible entry, the store and the upstreams in virtual time.
class Model
{
public:
    Model(std::uint64_t seed, IdempotencySettings settings)
        : m_random(seed)
    {
        for (std::uint32_t shard = 0; shard < settings.shards; ++shard) {
            m_shards.emplace_back(shard, m_self, settings);
        }
        m_wakeAt.resize(settings.shards);
    }

    void generateRequests(double perSecond, Duration time)
    {
        std::exponential_distribution<double> gap(perSecond / 1e6);
        TimePoint at = Start;
        for (std::uint64_t n = 1;; ++n) {
            at += Duration{static_cast<std::int64_t>(gap(m_random))};
            if (at >= Start + time) {
                break;
            }
            const IdempotencyKeyHash key = hashIdempotencyKey({"bench"}, {"tenant"}, std::to_string(n));
            schedule(at, [this, n, key] {
                m_sentAt[n] = m_now;
                const std::uint32_t shard = shardOf(key);
                run(shard, m_shards[shard].claim({key, n, {m_self, n}, 0, m_now + Duration{5'000'000}}, context()));
            });
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    std::vector<std::int64_t> latencies;  // times from a claim to the verdict that its request may run, microseconds
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t writtenBytes = 0;
    std::map<std::string, StoreValue> store;

    std::size_t records() const
    {
        std::size_t sum = 0;
        for (const IdempotencyShard &shard : m_shards) {
            sum += shard.records();
        }
        return sum;
    }
    std::uint64_t rotationCount() const
    {
        std::uint64_t sum = 0;
        for (const IdempotencyShard &shard : m_shards) {
            sum += shard.rotations();
        }
        return sum;
    }

private:
    std::uint32_t shardOf(const IdempotencyKeyHash &key) const
    {
        return static_cast<std::uint32_t>(key.high % m_shards.size());
    }
    IdempotencyContext context() const
    {
        return {m_now, WallTime{m_now.time_since_epoch() + Duration{1'700'000'000'000'000}}, {m_self}};
    }
    void schedule(TimePoint at, std::function<void()> action)
    {
        m_events.push({at, ++m_lastEvent, std::move(action)});
    }

    void run(std::uint32_t shard, IdempotencyEffects effects)
    {
        for (IdempotencyEffect &effect : effects) {
            if (auto *read = std::get_if<ReadRecords>(&effect)) {
                ++reads;
                schedule(m_now + RoundTrip, [this, shard, request = std::move(*read)] {
                    const auto found = store.find(request.key);
                    const StoreValue value = found == store.end() ? StoreValue{request.key, {}, 0} : found->second;
                    run(shard, m_shards[shard].readDone(request.call, value, context()));
                });
            } else if (auto *swap = std::get_if<SwapRecords>(&effect)) {
                ++writes;
                writtenBytes += swap->value.size();
                schedule(m_now + RoundTrip, [this, shard, request = std::move(*swap)] {
                    store[request.key] = {request.key, request.value, ++m_version};
                    run(shard, m_shards[shard].swapDone(request.call, m_version, context()));
                });
            } else if (auto *reply = std::get_if<SendVerdict>(&effect)) {
                verdictReceived(shard, *reply);
            }
        }
        const auto next = m_shards[shard].nextTick();
        if (next && m_wakeAt[shard] != *next) {
            m_wakeAt[shard] = *next;
            schedule(std::max(*next, m_now), [this, shard] {
                m_wakeAt[shard] = TimePoint{};
                run(shard, m_shards[shard].tick(context()));
            });
        }
    }

    void verdictReceived(std::uint32_t shard, const SendVerdict &reply)
    {
        if (reply.verdict != Verdict::Run) {
            return;
        }
        const auto sent = m_sentAt.find(reply.claim.sequence);
        latencies.push_back((m_now - sent->second).count());
        m_sentAt.erase(sent);
        std::exponential_distribution<double> service(1.0 / static_cast<double>(MeanService.count()));
        schedule(m_now + Duration{static_cast<std::int64_t>(service(m_random))}, [this, shard, reply] {
            const auto answer = std::make_shared<const StoredAnswer>(
                StoredAnswer{201, "application/json", std::string(AnswerBody, 'x'), true});
            run(shard,
                m_shards[shard].settle(
                    {reply.key, reply.claim.sequence, reply.claim, IdempotencyState::Finished, answer}, context()));
        });
    }

    std::mt19937_64 m_random;
    const ClaimOrigin m_self{{"entry-1"}, 4711};
    std::deque<IdempotencyShard> m_shards;
    std::vector<TimePoint> m_wakeAt;
    std::priority_queue<Event> m_events;
    std::unordered_map<std::uint64_t, TimePoint> m_sentAt;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_version = 0;
    TimePoint m_now = Start;
};

std::int64_t quantile(std::vector<std::int64_t> &values, double share)
{
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void measureRate(std::uint64_t seed, double perSecond, Duration time)
{
    Model model(seed, IdempotencySettings{});
    model.generateRequests(perSecond, time);
    const double seconds = static_cast<double>(time.count()) / 1e6;
    const auto count = static_cast<double>(model.latencies.size());
    std::printf("claims/s %5.0f: runs %7.0f, writes/s %7.1f, writes/claim %.2f, KB written/s %8.1f, rotations %llu, "
                "added latency p50 %lld us, p99 %lld us, max %lld us\n",
                perSecond, count, static_cast<double>(model.writes) / seconds,
                static_cast<double>(model.writes) / count, static_cast<double>(model.writtenBytes) / seconds / 1024,
                static_cast<unsigned long long>(model.rotationCount()),
                static_cast<long long>(quantile(model.latencies, 0.5)),
                static_cast<long long>(quantile(model.latencies, 0.99)),
                static_cast<long long>(quantile(model.latencies, 1.0)));
}

/// Prints the bytes per record of a segment of 1,000 records, as text in the store and as parsed records in memory.
void measureBytes(std::size_t body)
{
    constexpr std::size_t records = 1000;
    const auto origin = std::make_shared<const ClaimOrigin>(ClaimOrigin{{"entry-1"}, 4711});
    IdempotencySegment segment;
    for (std::uint64_t n = 0; n < records; ++n) {
        IdempotencyRecord record{
            hashIdempotencyKey({"s"}, {"t"}, std::to_string(n)), n * 0x9e3779b97f4a7c15U,   origin, n,
            1'700'000'000'000 + static_cast<std::int64_t>(n),    IdempotencyState::Claimed, nullptr};
        if (body > 0) {
            record.state = IdempotencyState::Finished;
            record.answer = std::make_shared<const StoredAnswer>(
                StoredAnswer{201, "application/json", std::string(body, 'x'), true});
        }
        segment.records.push_back(record);
    }
    const std::string text = formatIdempotencySegment(segment);
    segment.records.clear();
    segment.records.shrink_to_fit();
    const std::size_t before = mallinfo2().uordblks;
    std::unordered_map<IdempotencyKeyHash, IdempotencyRecord, IdempotencyKeyHasher> loaded;
    {
        Result<IdempotencySegment> parsed = parseIdempotencySegment(text);
        for (IdempotencyRecord &record : parsed.value().records) {
            loaded.emplace(record.key, std::move(record));
        }
    }
    const std::size_t after = mallinfo2().uordblks;
    std::printf("record with %3zu bytes of body: %5.1f bytes in the store, %5.1f bytes in memory\n", body,
                static_cast<double>(text.size()) / records, static_cast<double>(after - before) / records);
}

}

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    constexpr Duration time{120'000'000};
    std::printf("seed %llu, 16 shards, store round trip 2 ms, service 50 ms mean, 200-byte answers, 120 s virtual\n",
                static_cast<unsigned long long>(seed));
    for (const double rate : {10.0, 100.0, 1000.0}) {
        measureRate(seed, rate, time);
    }
    for (const std::size_t body : {std::size_t{0}, AnswerBody}) {
        measureBytes(body);
    }
    return 0;
}
