#pragma once

// Idempotency keys over the peers and the store. Runs on the I/O thread.
//
// Index
// [1] Claims
// [2] IdempotencyClient
// [3] Claims and settles of this entry
// [4] Messages
// [5] Shards that this entry works on

#include "entry_cluster.h"
#include "idempotency.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <list>

namespace briarvane
{

// [1] Claims ----------------------------------------------------------------------------------------------------------

/// A claim that was given `Verdict::Run`. It must be settled exactly once.
struct HeldClaim
{
    std::uint32_t shard = 0;
    IdempotencyKeyHash key;
    std::uint64_t sequence = 0;
};

struct ClaimResult
{
    Verdict verdict = Verdict::Busy;
    HeldClaim claim;    // with Run
    KeptAnswer answer;  // with Replay
};

/// A message to the responsible entry is repeated after this time without an answer, since sends may be dropped.
constexpr Duration IdempotencyResend{200'000};
/// After this time without an answer this entry works on the shard itself. Shorter times let entries contend for a
/// shard whenever the store is slow.
constexpr Duration ShardTakeOver{500'000};
/// A shard that this entry is not responsible for is forgotten after this time without use.
constexpr Duration ShardUnload{60'000'000};
/// Period of the check for messages to repeat, with and without any under way.
constexpr Duration ResendSweep{20'000};
constexpr Duration IdleResendSweep{5'000'000};
/// Answers too large for the store that this entry remembers, in bytes.
constexpr std::size_t LargeAnswerBytes = std::size_t{8} * 1024 * 1024;

// [2] IdempotencyClient -----------------------------------------------------------------------------------------------

/// `C` is the cluster type; tests use a smaller one.
template<CoordinationService S, class C = Cluster<S>>
class IdempotencyClient
{
public:
    IdempotencyClient(C &cluster, IdempotencySettings settings)
        : m_state(std::make_shared<State>(cluster, settings))
    {
    }

    void start()
    {
        m_state->start();
    }
    /// `done` is called once, at the latest at the deadline and never from inside this call; Busy and every other
    /// verdict but Run mean that this attempt must send nothing.
    void claim(const IdempotencyKeyHash &key, std::uint64_t bodyHash, std::int64_t issuedMs, TimePoint deadline,
               std::function<void(ClaimResult)> done)
    {
        m_state->claim(key, bodyHash, issuedMs, deadline, std::move(done));
    }
    /// Finished with the answer (`bodyKept` when the body is whole), Abandoned when no byte was sent, Unknown
    /// otherwise.
    void settle(const HeldClaim &claim, IdempotencyState state, KeptAnswer answer)
    {
        m_state->settle(claim, state, std::move(answer));
    }
    /// Settles that are not in the store yet; a planned stop waits for them.
    std::size_t unsettled() const
    {
        return m_state->settles.size() + m_state->held.size();
    }
    /// Does what is due; called by the client's own timer, and by tests.
    void tick()
    {
        m_state->tick();
    }

private:
    struct Pending
    {
        std::uint32_t shard = 0;
        ClaimRequest request;
        std::function<void(ClaimResult)> done;
        int sends = 0;                  // to this entry's own shard or to another entry
        EntryId target;                 // of the last send
        std::uint64_t targetStart = 0;  // its incarnation at that time
        bool local = false;
        TimePoint started;
        TimePoint resendAt;
    };

    struct Held
    {
        std::uint32_t shard = 0;
        IdempotencyKeyHash key;
        std::uint64_t bodyHash = 0;
        TimePoint renewAt;
    };

    struct Settling
    {
        std::uint32_t shard = 0;
        SettleRequest request;
        EntryId onlyTarget;  // abandoned claim: the one entry that it was sent to; empty: more than one
        bool local = false;
        TimePoint started;
        TimePoint resendAt;
    };

    struct LargeAnswer
    {
        IdempotencyKeyHash key;
        std::uint64_t bodyHash = 0;
        KeptAnswer answer;
    };

    struct Shard
    {
        IdempotencyShard shard;
        TimePoint usedAt;
    };

    struct State : std::enable_shared_from_this<State>
    {
        State(C &clusterUsed, IdempotencySettings settingsUsed);

        void start();
        void claim(const IdempotencyKeyHash &key, std::uint64_t bodyHash, std::int64_t issuedMs, TimePoint deadline,
                   std::function<void(ClaimResult)> &&done);
        void settle(const HeldClaim &claim, IdempotencyState state, KeptAnswer answer);
        void tick();

        void sendClaim(std::uint64_t sequence, Pending &pending, bool forceLocal);
        void sendSettle(Settling &settling, bool forceLocal);
        void abandon(std::uint64_t sequence, const Pending &pending);
        std::uint64_t startOf(const EntryId &entry) const;  // its present incarnation; 0: not known
        void verdict(std::uint64_t sequence, Verdict verdict, const KeptAnswer *answer, const IdempotencyKeyHash *key,
                     std::uint32_t shard);
        void settled(std::uint64_t sequence);
        void renewHeld(TimePoint now);
        void rememberLarge(const Held &claim, KeptAnswer answer);
        const LargeAnswer *findLarge(const ClaimRequest &request) const;

        void receive(const wire::Envelope &message);
        void run(std::uint32_t shard, IdempotencyEffects effects);
        void arm();
        IdempotencyContext context() const;
        EntryId responsible(std::uint32_t shard) const;
        std::uint32_t shardOf(const IdempotencyKeyHash &key) const;
        static std::string keyBytes(const IdempotencyKeyHash &key);
        static std::optional<IdempotencyKeyHash> parseKey(const std::string &bytes);

        C &cluster;
        const IdempotencySettings settings;
        const ClaimOrigin self;
        boost::asio::steady_timer timer;
        std::optional<TimePoint> armedFor;
        std::vector<Shard> shards;
        std::uint64_t lastSequence = 0;
        std::map<std::uint64_t, Pending> pending;
        std::set<std::pair<TimePoint, std::uint64_t>> deadlines;  // of pending
        std::map<std::uint64_t, Held> held;
        std::map<std::uint64_t, Settling> settles;
        std::list<LargeAnswer> large;  // oldest first
        std::size_t largeBytes = 0;
        TimePoint sweepAt;
    };
    std::shared_ptr<State> m_state;
};

// [3] Claims and settles of this entry --------------------------------------------------------------------------------

template<CoordinationService S, class C>
IdempotencyClient<S, C>::State::State(C &clusterUsed, IdempotencySettings settingsUsed)
    : cluster(clusterUsed)
    , settings(settingsUsed)
    , self{clusterUsed.membership().self(), clusterUsed.membership().startId()}
    , timer(clusterUsed.io())
{
    shards.reserve(settings.shards);
    for (std::uint32_t shard = 0; shard < settings.shards; ++shard) {
        shards.push_back({IdempotencyShard(shard, self, settings), cluster.now()});
    }
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::start()
{
    cluster.peers().onMessage([weak = this->weak_from_this()](const wire::Envelope &message) {
        if (const auto state = weak.lock()) {
            state->receive(message);
        }
    });
    arm();
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::claim(const IdempotencyKeyHash &key, std::uint64_t bodyHash, std::int64_t issuedMs,
                                           TimePoint deadline, std::function<void(ClaimResult)> &&done)
{
    const std::uint64_t sequence = ++lastSequence;
    Pending &item = pending[sequence];
    item.shard = shardOf(key);
    item.request = {key, bodyHash, {self, sequence}, issuedMs, deadline};
    item.done = std::move(done);
    item.started = cluster.now();
    deadlines.emplace(deadline, sequence);
    sendClaim(sequence, item, false);
    arm();
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::settle(const HeldClaim &claim, IdempotencyState state, KeptAnswer answer)
{
    const auto found = held.find(claim.sequence);
    if (found == held.end()) {
        return;
    }
    const Held item = found->second;
    held.erase(found);
    Settling &settling = settles[claim.sequence];
    settling.shard = item.shard;
    settling.request = {item.key, item.bodyHash, {self, claim.sequence}, state, nullptr};
    settling.started = cluster.now();
    if (state == IdempotencyState::Finished) {
        if (answer.bodyKept && answer.body.size() > settings.keptBody) {
            KeptAnswer head{answer.status, answer.contentType, {}, false};
            rememberLarge(item, std::move(answer));
            answer = std::move(head);
        }
        settling.request.answer = std::make_shared<const KeptAnswer>(std::move(answer));
    }
    sendSettle(settling, false);
    arm();
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::sendClaim(std::uint64_t sequence, Pending &item, bool forceLocal)
{
    const TimePoint now = cluster.now();
    const EntryId target = responsible(item.shard);
    ++item.sends;
    item.target = target;
    item.targetStart = startOf(target);
    item.resendAt = now + IdempotencyResend;
    if (forceLocal || target.empty() || target == self.entry) {
        item.target = self.entry;
        item.targetStart = self.startId;
        item.local = true;
        const std::uint32_t shard = item.shard;
        shards[shard].usedAt = now;
        // The verdict may come at once and end `item`.
        run(shard, shards[shard].shard.claim(item.request, context()));
        return;
    }
    wire::Envelope message;
    wire::OrderClaim *claim = message.mutable_order_claim();
    claim->set_shard(item.shard);
    claim->set_key_hash(keyBytes(item.request.key));
    claim->set_body_hash(item.request.bodyHash);
    claim->set_claim_sequence(sequence);
    claim->set_remaining_us(static_cast<std::uint64_t>(std::max(Duration{0}, item.request.deadline - now).count()));
    claim->set_issued_ms(static_cast<std::uint64_t>(item.request.issuedMs));
    cluster.peers().send(target, std::move(message));
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::sendSettle(Settling &settling, bool forceLocal)
{
    const TimePoint now = cluster.now();
    const EntryId target = responsible(settling.shard);
    settling.resendAt = now + IdempotencyResend;
    if (forceLocal || target.empty() || target == self.entry) {
        settling.local = true;
        settling.request.onlyHere = settling.onlyTarget == self.entry;
        const std::uint32_t shard = settling.shard;
        shards[shard].usedAt = now;
        run(shard, shards[shard].shard.settle(settling.request, context()));
        return;
    }
    wire::Envelope message;
    wire::OrderSettle *settle = message.mutable_order_settle();
    settle->set_shard(settling.shard);
    settle->set_key_hash(keyBytes(settling.request.key));
    settle->set_body_hash(settling.request.bodyHash);
    settle->set_only_here(settling.onlyTarget == target);
    settle->set_claim_sequence(settling.request.claim.sequence);
    settle->set_state(std::string(toString(settling.request.state)));
    if (const auto &answer = settling.request.answer) {
        settle->set_status(static_cast<std::uint32_t>(answer->status));
        settle->set_content_type(answer->contentType);
        settle->set_body(answer->body);
        settle->set_body_kept(answer->bodyKept);
    }
    cluster.peers().send(target, std::move(message));
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::abandon(std::uint64_t sequence, const Pending &item)
{
    Settling &settling = settles[sequence];
    settling.shard = item.shard;
    settling.request
        = {item.request.key, item.request.bodyHash, {self, sequence}, IdempotencyState::Abandoned, nullptr};
    // An owner that has restarted since does not know what its predecessor has under way.
    settling.onlyTarget = item.sends == 1 && item.targetStart == startOf(item.target) ? item.target : EntryId{};
    settling.started = cluster.now();
    sendSettle(settling, item.local);
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::verdict(std::uint64_t sequence, Verdict verdict, const KeptAnswer *answer,
                                             const IdempotencyKeyHash *key, std::uint32_t shard)
{
    const auto found = pending.find(sequence);
    if (found == pending.end()) {
        // Run for a claim that was given up: the record must not stay. A claim that is held or being settled was
        // given Run before, and this is a copy of the verdict.
        if (verdict == Verdict::Run && key && !held.contains(sequence) && !settles.contains(sequence)) {
            Pending lost;
            lost.shard = shard;
            lost.request.key = *key;
            abandon(sequence, lost);
        }
        return;
    }
    Pending item = std::move(found->second);
    pending.erase(found);
    deadlines.erase({item.request.deadline, sequence});
    if (verdict == Verdict::Run && item.request.deadline <= cluster.now()) {
        verdict = Verdict::Busy;
        abandon(sequence, item);
    } else if (verdict != Verdict::Run && (item.sends > 1 || item.targetStart != startOf(item.target))) {
        // Another entry, or an earlier start of this one, may have recorded the claim, or still do so.
        abandon(sequence, item);
    }
    ClaimResult result;
    result.verdict = verdict;
    if (verdict == Verdict::Run) {
        held[sequence] = {item.shard, item.request.key, item.request.bodyHash, cluster.now() + settings.retention / 4};
        result.claim = {item.shard, item.request.key, sequence};
    } else if (verdict == Verdict::Replay && answer) {
        result.answer = *answer;
    } else if (verdict == Verdict::Unknown) {
        if (const LargeAnswer *remembered = findLarge(item.request)) {
            result.verdict = Verdict::Replay;
            result.answer = remembered->answer;
        }
    }
    boost::asio::post(cluster.io(), [done = std::move(item.done), result = std::move(result)] { done(result); });
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::settled(std::uint64_t sequence)
{
    settles.erase(sequence);
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::renewHeld(TimePoint now)
{
    for (auto &[sequence, item] : held) {
        if (item.renewAt > now) {
            continue;
        }
        item.renewAt = now + settings.retention / 4;
        Settling renewal;
        renewal.shard = item.shard;
        renewal.request = {item.key, item.bodyHash, {self, sequence}, IdempotencyState::Claimed, nullptr};
        sendSettle(renewal, false);
    }
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::rememberLarge(const Held &claim, KeptAnswer answer)
{
    if (answer.body.size() > LargeAnswerBytes / 4) {
        return;
    }
    largeBytes += answer.body.size();
    large.push_back({claim.key, claim.bodyHash, std::move(answer)});
    while (largeBytes > LargeAnswerBytes) {
        largeBytes -= large.front().answer.body.size();
        large.pop_front();
    }
}

template<CoordinationService S, class C>
const typename IdempotencyClient<S, C>::LargeAnswer *
IdempotencyClient<S, C>::State::findLarge(const ClaimRequest &request) const
{
    const auto found = std::find_if(large.rbegin(), large.rend(), [&](const LargeAnswer &item) {
        return item.key == request.key && item.bodyHash == request.bodyHash;
    });
    return found == large.rend() ? nullptr : &*found;
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::tick()
{
    const TimePoint now = cluster.now();
    armedFor.reset();
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const std::uint64_t sequence = deadlines.begin()->second;
        Pending item = std::move(pending.at(sequence));
        pending.erase(sequence);
        deadlines.erase(deadlines.begin());
        abandon(sequence, item);
        boost::asio::post(cluster.io(), [done = std::move(item.done)] { done({}); });
    }
    for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
        const auto next = shards[shard].shard.nextTick();
        if (next && *next <= now) {
            run(shard, shards[shard].shard.tick(context()));
        }
    }
    if (now >= sweepAt) {
        // Each send may end an item and others, so the sequences are collected first.
        std::vector<std::uint64_t> due;
        for (const auto &[sequence, item] : pending) {
            if (!item.local && item.resendAt <= now) {
                due.push_back(sequence);
            }
        }
        for (const std::uint64_t sequence : due) {
            if (const auto item = pending.find(sequence); item != pending.end()) {
                sendClaim(sequence, item->second, now - item->second.started >= ShardTakeOver);
            }
        }
        due.clear();
        for (const auto &[sequence, item] : settles) {
            if (!item.local && item.resendAt <= now) {
                due.push_back(sequence);
            }
        }
        for (const std::uint64_t sequence : due) {
            if (const auto item = settles.find(sequence); item != settles.end()) {
                sendSettle(item->second, now - item->second.started >= ShardTakeOver);
            }
        }
        renewHeld(now);
        for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
            Shard &item = shards[shard];
            if (now - item.usedAt >= ShardUnload && responsible(shard) != self.entry) {
                item.shard.unload();
                item.usedAt = now;
            }
        }
        sweepAt = now + (pending.empty() && settles.empty() ? IdleResendSweep : ResendSweep);
    }
    arm();
}

// [4] Messages --------------------------------------------------------------------------------------------------------

/// Verdict text that confirms an OrderSettle.
constexpr std::string_view SettledVerdict = "settled";

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::receive(const wire::Envelope &message)
{
    const ClaimOrigin sender{{message.sender()}, message.start_id()};
    if (message.has_order_claim()) {
        const wire::OrderClaim &claim = message.order_claim();
        const std::optional<IdempotencyKeyHash> key = parseKey(claim.key_hash());
        if (!key || claim.shard() != shardOf(*key)) {
            return;
        }
        // A remaining time beyond any request's deadline would hold the claim in the queue for ever.
        constexpr std::uint64_t longestUs = 3'600'000'000;
        const Duration remaining{static_cast<std::int64_t>(std::min(claim.remaining_us(), longestUs))};
        shards[claim.shard()].usedAt = cluster.now();
        run(claim.shard(),
            shards[claim.shard()].shard.claim({*key,
                                               claim.body_hash(),
                                               {sender, claim.claim_sequence()},
                                               static_cast<std::int64_t>(claim.issued_ms()),
                                               cluster.now() + remaining},
                                              context()));
    } else if (message.has_order_settle()) {
        const wire::OrderSettle &settle = message.order_settle();
        const std::optional<IdempotencyKeyHash> key = parseKey(settle.key_hash());
        const std::optional<IdempotencyState> state = parseEnum<IdempotencyState>(settle.state());
        if (!key || !state || settle.shard() != shardOf(*key)) {
            return;
        }
        SettleRequest request{*key,    settle.body_hash(), {sender, settle.claim_sequence()}, *state,
                              nullptr, settle.only_here()};
        if (*state == IdempotencyState::Finished) {
            request.answer = std::make_shared<const KeptAnswer>(KeptAnswer{
                static_cast<int>(settle.status()), settle.content_type(), settle.body(), settle.body_kept()});
        }
        shards[settle.shard()].usedAt = cluster.now();
        run(settle.shard(), shards[settle.shard()].shard.settle(std::move(request), context()));
    } else if (message.has_order_verdict()) {
        const wire::OrderVerdict &answer = message.order_verdict();
        if (answer.verdict() == SettledVerdict) {
            settled(answer.claim_sequence());
        } else if (const auto parsed = parseEnum<Verdict>(answer.verdict())) {
            const KeptAnswer kept{static_cast<int>(answer.status()), answer.content_type(), answer.body(), true};
            const std::optional<IdempotencyKeyHash> key = parseKey(answer.key_hash());
            verdict(answer.claim_sequence(), *parsed, &kept, key ? &*key : nullptr, key ? shardOf(*key) : 0);
        }
    } else {
        return;
    }
    arm();
}

template<CoordinationService S, class C>
std::string IdempotencyClient<S, C>::State::keyBytes(const IdempotencyKeyHash &key)
{
    std::string bytes;
    for (const std::uint64_t part : {key.high, key.low}) {
        for (int shift = 56; shift >= 0; shift -= 8) {
            bytes.push_back(static_cast<char>((part >> shift) & 0xffU));
        }
    }
    return bytes;
}

template<CoordinationService S, class C>
std::optional<IdempotencyKeyHash> IdempotencyClient<S, C>::State::parseKey(const std::string &bytes)
{
    constexpr std::size_t keySize = 16;
    if (bytes.size() != keySize) {
        return std::nullopt;
    }
    IdempotencyKeyHash key;
    for (std::size_t i = 0; i < keySize; ++i) {
        std::uint64_t &part = i < keySize / 2 ? key.high : key.low;
        part = (part << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return key;
}

// [5] Shards that this entry works on ---------------------------------------------------------------------------------

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::run(std::uint32_t shard, IdempotencyEffects effects)
{
    const auto weak = this->weak_from_this();
    // Applies a completion to the shard and carries out what follows from it.
    const auto completion = [weak, shard](auto event, std::uint64_t call) {
        return [weak, shard, event, call](const auto &result) {
            if (const auto state = weak.lock()) {
                state->run(shard, (state->shards[shard].shard.*event)(call, result, state->context()));
                state->arm();
            }
        };
    };
    for (IdempotencyEffect &effect : effects) {
        if (const auto *read = std::get_if<ReadRecords>(&effect)) {
            cluster.coordination().read(read->key, completion(&IdempotencyShard::readDone, read->call));
        } else if (const auto *swap = std::get_if<SwapRecords>(&effect)) {
            cluster.coordination().swap({swap->key, swap->expected, swap->value, {}},
                                        completion(&IdempotencyShard::swapDone, swap->call));
        } else if (const auto *remove = std::get_if<RemoveRecords>(&effect)) {
            cluster.coordination().remove(remove->key, remove->expected,
                                          completion(&IdempotencyShard::removeDone, remove->call));
        } else if (const auto *given = std::get_if<GiveVerdict>(&effect)) {
            if (given->claim.origin == self) {
                verdict(given->claim.sequence, given->verdict, given->answer.get(), &given->key, shard);
                continue;
            }
            wire::Envelope message;
            wire::OrderVerdict *answer = message.mutable_order_verdict();
            answer->set_claim_sequence(given->claim.sequence);
            answer->set_key_hash(keyBytes(given->key));
            answer->set_verdict(std::string(toString(given->verdict)));
            if (given->answer) {
                answer->set_status(static_cast<std::uint32_t>(given->answer->status));
                answer->set_content_type(given->answer->contentType);
                answer->set_body(given->answer->body);
            }
            cluster.peers().send(given->claim.origin.entry, std::move(message));
        } else if (const auto *confirmed = std::get_if<ConfirmSettle>(&effect)) {
            if (confirmed->claim.origin == self) {
                settled(confirmed->claim.sequence);
                continue;
            }
            wire::Envelope message;
            wire::OrderVerdict *answer = message.mutable_order_verdict();
            answer->set_claim_sequence(confirmed->claim.sequence);
            answer->set_verdict(std::string(SettledVerdict));
            cluster.peers().send(confirmed->claim.origin.entry, std::move(message));
        }
    }
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::arm()
{
    const TimePoint now = cluster.now();
    std::optional<TimePoint> next = sweepAt;
    if (!pending.empty() || !settles.empty()) {
        next = std::min(*next, now + ResendSweep);
        sweepAt = std::min(sweepAt, *next);
    }
    if (!deadlines.empty()) {
        next = std::min(*next, deadlines.begin()->first);
    }
    for (const Shard &item : shards) {
        if (const auto wanted = item.shard.nextTick()) {
            next = std::min(*next, *wanted);
        }
    }
    if (armedFor && *armedFor <= *next) {
        return;
    }
    armedFor = next;
    timer.expires_after(std::max(Duration{0}, *next - now));
    timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        if (const auto state = weak.lock(); state && !error) {
            state->tick();
        }
    });
}

template<CoordinationService S, class C>
IdempotencyContext IdempotencyClient<S, C>::State::context() const
{
    IdempotencyContext context;
    context.now = cluster.now();
    context.wall = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    context.live.push_back(self);
    for (const EntryId &id : cluster.membership().live(context.now)) {
        const EntryStatus *status = cluster.membership().entry(id);
        if (status && id != self.entry) {
            context.live.push_back({id, status->startId});
        }
    }
    return context;
}

template<CoordinationService S, class C>
std::uint64_t IdempotencyClient<S, C>::State::startOf(const EntryId &entry) const
{
    if (entry == self.entry) {
        return self.startId;
    }
    const EntryStatus *status = cluster.membership().entry(entry);
    return status == nullptr ? 0 : status->startId;
}

template<CoordinationService S, class C>
EntryId IdempotencyClient<S, C>::State::responsible(std::uint32_t shard) const
{
    return cluster.membership().responsible("orders/" + std::to_string(shard), cluster.now());
}

template<CoordinationService S, class C>
std::uint32_t IdempotencyClient<S, C>::State::shardOf(const IdempotencyKeyHash &key) const
{
    return static_cast<std::uint32_t>(key.high % settings.shards);
}

}
