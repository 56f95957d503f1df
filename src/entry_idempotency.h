#pragma once

// Claims idempotency keys and records how the claims end. The entry responsible for a shard keeps its records in the
// coordination service; the other entries send it messages. Runs on the I/O thread.
//
// Index
// [1] Claims
// [2] IdempotencyClient
// [3] Claims of this entry
// [4] Messages
// [5] Effects of shards and timers

#include "entry_cluster.h"
#include "idempotency.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <list>

namespace briarvane
{

// [1] Claims ----------------------------------------------------------------------------------------------------------

/// A claim that received `Verdict::Run`. Its end must be recorded exactly once.
struct HeldClaim
{
    std::uint32_t shard = 0;
    IdempotencyKeyHash key;
    std::uint64_t sequence = 0;
};

struct ClaimResult
{
    Verdict verdict = Verdict::Busy;
    HeldClaim claim;      // only set if `verdict` is Run
    StoredAnswer answer;  // only set if `verdict` is Replay
};

/// A message to the responsible entry is sent again after this time without an answer, because messages may be dropped.
constexpr Duration IdempotencyResendDelay{200'000};
/// After this time without an answer, this entry processes the claim or update in its own copy of the shard. With a
/// shorter time, several entries would contend for a shard whenever the coordination service is slow.
constexpr Duration ShardTakeoverDelay{500'000};
/// A shard that this entry is not responsible for is unloaded after this time without use.
constexpr Duration ShardUnloadDelay{60'000'000};
/// Period of the check for messages that must be sent again, while there are unanswered messages.
constexpr Duration ResendSweepPeriod{20'000};
/// Period of the same check while there are no unanswered messages.
constexpr Duration IdleResendSweepPeriod{5'000'000};
/// Total size of the cache of answers that are too large for the coordination service, in bytes.
constexpr std::size_t LargeAnswerCacheBytes = std::size_t{8} * 1024 * 1024;

// [2] IdempotencyClient -----------------------------------------------------------------------------------------------

/// `C` is the cluster type, which tests replace by a smaller one.
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
    /// Calls `done` once, at the deadline at the latest and never from inside this call. The caller may send the
    /// request to an upstream only after the verdict Run.
    void claim(const IdempotencyKeyHash &key, std::uint64_t bodyHash, std::int64_t issuedMs, TimePoint deadline,
               std::function<void(ClaimResult)> done)
    {
        m_state->claim(key, bodyHash, issuedMs, deadline, std::move(done));
    }
    /// Records the end of a claim. `state` is Finished if the upstream answered (`answer.bodyStored` if the body is
    /// complete), Abandoned if no byte was sent to an upstream, and Unknown otherwise.
    void settle(const HeldClaim &claim, IdempotencyState state, StoredAnswer answer)
    {
        m_state->settle(claim, state, std::move(answer));
    }
    /// Number of claims whose end is not recorded yet. A planned stop waits until there are none.
    std::size_t unconfirmedUpdates() const
    {
        return m_state->pendingUpdates.size() + m_state->runningClaims.size();
    }
    /// Handles deadlines and sends unanswered messages again. Called by the client's own timer and by tests.
    void tick()
    {
        m_state->tick();
    }

private:
    /// A claim of this entry that has no verdict yet.
    struct PendingClaim
    {
        std::uint32_t shard = 0;
        ClaimRequest request;
        std::function<void(ClaimResult)> done;
        int sends = 0;                    // attempts to deliver the claim, to the local shard or to another entry
        EntryId target;                   // entry that the last send went to
        std::uint64_t targetStartId = 0;  // start id of `target` at the last send
        bool local = false;               // processed by this entry's copy of the shard, so not sent again
        TimePoint startedAt;
        TimePoint resendAt;
    };

    /// A claim with the verdict Run that has not ended. Its record is renewed before the retention ends.
    struct RunningClaim
    {
        std::uint32_t shard = 0;
        IdempotencyKeyHash key;
        std::uint64_t bodyHash = 0;
        TimePoint renewAt;
    };

    /// An update that ends or renews a claim. One that ends a claim is kept until it is confirmed.
    struct PendingUpdate
    {
        std::uint32_t shard = 0;
        ClaimUpdate request;
        /// For an abandoned claim: the only entry to which the claim was sent; empty: several may have received it.
        EntryId onlyTarget;
        bool local = false;
        TimePoint startedAt;
        TimePoint resendAt;
    };

    struct LargeAnswer
    {
        IdempotencyKeyHash key;
        std::uint64_t bodyHash = 0;
        StoredAnswer answer;
    };

    /// This entry's copy of a shard, used while this entry is responsible for the shard or takes it over.
    struct Shard
    {
        IdempotencyShard shard;
        TimePoint usedAt;
    };

    struct State : std::enable_shared_from_this<State>
    {
        State(C &entryCluster, IdempotencySettings idempotencySettings);

        void start();
        void claim(const IdempotencyKeyHash &key, std::uint64_t bodyHash, std::int64_t issuedMs, TimePoint deadline,
                   std::function<void(ClaimResult)> &&done);
        void settle(const HeldClaim &claim, IdempotencyState state, StoredAnswer answer);
        void tick();

        void sendClaim(std::uint64_t sequence, PendingClaim &item, bool processLocally);
        void sendUpdate(PendingUpdate &update, bool processLocally);
        void abandon(std::uint64_t sequence, const PendingClaim &item);
        std::uint64_t startIdOf(const EntryId &entry) const;  // 0: no heartbeat of the entry was received
        void onVerdict(std::uint64_t sequence, Verdict verdict, const StoredAnswer *answer,
                       const IdempotencyKeyHash *key, std::uint32_t shard);
        void onUpdateConfirmed(std::uint64_t sequence);
        void renewRunningClaims(TimePoint now);
        void cacheLargeAnswer(const RunningClaim &claim, StoredAnswer answer);
        const LargeAnswer *findLargeAnswer(const ClaimRequest &request) const;

        void receive(const wire::Envelope &message);
        void applyEffects(std::uint32_t shard, IdempotencyEffects effects);
        void armTimer();
        IdempotencyContext context() const;
        EntryId responsible(std::uint32_t shard) const;
        std::uint32_t shardOf(const IdempotencyKeyHash &key) const;
        static std::string keyBytes(const IdempotencyKeyHash &key);
        static std::optional<IdempotencyKeyHash> parseKey(const std::string &bytes);

        C &cluster;
        const IdempotencySettings settings;
        const ClaimOrigin self;
        boost::asio::steady_timer timer;
        std::optional<TimePoint> timerExpiry;
        std::vector<Shard> shards;
        std::uint64_t lastSequence = 0;
        std::map<std::uint64_t, PendingClaim> pendingClaims;
        std::set<std::pair<TimePoint, std::uint64_t>> deadlines;  // deadline and sequence number of each pending claim
        std::map<std::uint64_t, RunningClaim> runningClaims;
        std::map<std::uint64_t, PendingUpdate> pendingUpdates;
        std::list<LargeAnswer> largeAnswers;  // cache of answers too large to be stored, oldest first
        std::size_t largeAnswerBytes = 0;
        TimePoint sweepAt;
    };
    std::shared_ptr<State> m_state;
};

// [3] Claims of this entry --------------------------------------------------------------------------------------------

template<CoordinationService S, class C>
IdempotencyClient<S, C>::State::State(C &entryCluster, IdempotencySettings idempotencySettings)
    : cluster(entryCluster)
    , settings(idempotencySettings)
    , self{entryCluster.membership().self(), entryCluster.membership().startId()}
    , timer(entryCluster.io())
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
    armTimer();
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::claim(const IdempotencyKeyHash &key, std::uint64_t bodyHash, std::int64_t issuedMs,
                                           TimePoint deadline, std::function<void(ClaimResult)> &&done)
{
    const std::uint64_t sequence = ++lastSequence;
    PendingClaim &item = pendingClaims[sequence];
    item.shard = shardOf(key);
    item.request = {key, bodyHash, {self, sequence}, issuedMs, deadline};
    item.done = std::move(done);
    item.startedAt = cluster.now();
    deadlines.emplace(deadline, sequence);
    sendClaim(sequence, item, false);
    armTimer();
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::settle(const HeldClaim &claim, IdempotencyState state, StoredAnswer answer)
{
    const auto found = runningClaims.find(claim.sequence);
    if (found == runningClaims.end()) {
        return;
    }
    const RunningClaim item = found->second;
    runningClaims.erase(found);
    PendingUpdate &update = pendingUpdates[claim.sequence];
    update.shard = item.shard;
    update.request = {item.key, item.bodyHash, {self, claim.sequence}, state, nullptr};
    update.startedAt = cluster.now();
    if (state == IdempotencyState::Finished) {
        if (answer.bodyStored && answer.body.size() > settings.maxStoredBody) {
            StoredAnswer head{answer.status, answer.contentType, {}, false};
            cacheLargeAnswer(item, std::move(answer));
            answer = std::move(head);
        }
        update.request.answer = std::make_shared<const StoredAnswer>(std::move(answer));
    }
    sendUpdate(update, false);
    armTimer();
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::sendClaim(std::uint64_t sequence, PendingClaim &item, bool processLocally)
{
    const TimePoint now = cluster.now();
    const EntryId target = responsible(item.shard);
    ++item.sends;
    item.target = target;
    item.targetStartId = startIdOf(target);
    item.resendAt = now + IdempotencyResendDelay;
    if (processLocally || target.empty() || target == self.entry) {
        item.target = self.entry;
        item.targetStartId = self.startId;
        item.local = true;
        const std::uint32_t shard = item.shard;
        shards[shard].usedAt = now;
        // The verdict may arrive during this call, which removes `item`.
        applyEffects(shard, shards[shard].shard.claim(item.request, context()));
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
void IdempotencyClient<S, C>::State::sendUpdate(PendingUpdate &update, bool processLocally)
{
    const TimePoint now = cluster.now();
    const EntryId target = responsible(update.shard);
    update.resendAt = now + IdempotencyResendDelay;
    if (processLocally || target.empty() || target == self.entry) {
        update.local = true;
        update.request.sentOnlyHere = update.onlyTarget == self.entry;
        const std::uint32_t shard = update.shard;
        shards[shard].usedAt = now;
        applyEffects(shard, shards[shard].shard.settle(update.request, context()));
        return;
    }
    wire::Envelope message;
    wire::OrderSettle *settle = message.mutable_order_settle();
    settle->set_shard(update.shard);
    settle->set_key_hash(keyBytes(update.request.key));
    settle->set_body_hash(update.request.bodyHash);
    settle->set_only_here(update.onlyTarget == target);
    settle->set_claim_sequence(update.request.claim.sequence);
    settle->set_state(std::string(toString(update.request.state)));
    if (const auto &answer = update.request.answer) {
        settle->set_status(static_cast<std::uint32_t>(answer->status));
        settle->set_content_type(answer->contentType);
        settle->set_body(answer->body);
        settle->set_body_kept(answer->bodyStored);
    }
    cluster.peers().send(target, std::move(message));
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::abandon(std::uint64_t sequence, const PendingClaim &item)
{
    PendingUpdate &update = pendingUpdates[sequence];
    update.shard = item.shard;
    update.request = {item.request.key, item.request.bodyHash, {self, sequence}, IdempotencyState::Abandoned, nullptr};
    // If the target has restarted since, its previous incarnation may still have a write of this claim under way.
    update.onlyTarget = item.sends == 1 && item.targetStartId == startIdOf(item.target) ? item.target : EntryId{};
    update.startedAt = cluster.now();
    sendUpdate(update, item.local);
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::onVerdict(std::uint64_t sequence, Verdict verdict, const StoredAnswer *answer,
                                               const IdempotencyKeyHash *key, std::uint32_t shard)
{
    const auto found = pendingClaims.find(sequence);
    if (found == pendingClaims.end()) {
        // A claim whose caller has given up must be abandoned if it gets the verdict Run, since its record would block
        // the key. If the claim is running or its end is being recorded, this message is a duplicate of its verdict.
        if (verdict == Verdict::Run && key && !runningClaims.contains(sequence) && !pendingUpdates.contains(sequence)) {
            PendingClaim dropped;
            dropped.shard = shard;
            dropped.request.key = *key;
            abandon(sequence, dropped);
        }
        return;
    }
    PendingClaim item = std::move(found->second);
    pendingClaims.erase(found);
    deadlines.erase({item.request.deadline, sequence});
    if (verdict == Verdict::Run && item.request.deadline <= cluster.now()) {
        verdict = Verdict::Busy;
        abandon(sequence, item);
    } else if (verdict != Verdict::Run && (item.sends > 1 || item.targetStartId != startIdOf(item.target))) {
        // Another entry, or a previous incarnation of the target, may have recorded the claim or may still do so.
        abandon(sequence, item);
    }
    ClaimResult result;
    result.verdict = verdict;
    if (verdict == Verdict::Run) {
        runningClaims[sequence]
            = {item.shard, item.request.key, item.request.bodyHash, cluster.now() + settings.retention / 4};
        result.claim = {item.shard, item.request.key, sequence};
    } else if (verdict == Verdict::Replay && answer) {
        result.answer = *answer;
    } else if (verdict == Verdict::Unknown) {
        if (const LargeAnswer *cached = findLargeAnswer(item.request)) {
            result.verdict = Verdict::Replay;
            result.answer = cached->answer;
        }
    }
    boost::asio::post(cluster.io(), [done = std::move(item.done), result = std::move(result)] { done(result); });
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::onUpdateConfirmed(std::uint64_t sequence)
{
    pendingUpdates.erase(sequence);
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::renewRunningClaims(TimePoint now)
{
    for (auto &[sequence, item] : runningClaims) {
        if (item.renewAt > now) {
            continue;
        }
        item.renewAt = now + settings.retention / 4;
        PendingUpdate renewal;
        renewal.shard = item.shard;
        renewal.request = {item.key, item.bodyHash, {self, sequence}, IdempotencyState::Claimed, nullptr};
        sendUpdate(renewal, false);
    }
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::cacheLargeAnswer(const RunningClaim &claim, StoredAnswer answer)
{
    if (answer.body.size() > LargeAnswerCacheBytes / 4) {
        return;
    }
    largeAnswerBytes += answer.body.size();
    largeAnswers.push_back({claim.key, claim.bodyHash, std::move(answer)});
    while (largeAnswerBytes > LargeAnswerCacheBytes) {
        largeAnswerBytes -= largeAnswers.front().answer.body.size();
        largeAnswers.pop_front();
    }
}

template<CoordinationService S, class C>
const typename IdempotencyClient<S, C>::LargeAnswer *
IdempotencyClient<S, C>::State::findLargeAnswer(const ClaimRequest &request) const
{
    const auto found = std::find_if(largeAnswers.rbegin(), largeAnswers.rend(), [&](const LargeAnswer &item) {
        return item.key == request.key && item.bodyHash == request.bodyHash;
    });
    return found == largeAnswers.rend() ? nullptr : &*found;
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::tick()
{
    const TimePoint now = cluster.now();
    timerExpiry.reset();
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const std::uint64_t sequence = deadlines.begin()->second;
        PendingClaim item = std::move(pendingClaims.at(sequence));
        pendingClaims.erase(sequence);
        deadlines.erase(deadlines.begin());
        abandon(sequence, item);
        boost::asio::post(cluster.io(), [done = std::move(item.done)] { done({}); });
    }
    for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
        const auto next = shards[shard].shard.nextTick();
        if (next && *next <= now) {
            applyEffects(shard, shards[shard].shard.tick(context()));
        }
    }
    if (now >= sweepAt) {
        // A send may remove any element of the map, so the sequences are collected first.
        std::vector<std::uint64_t> dueSequences;
        for (const auto &[sequence, item] : pendingClaims) {
            if (!item.local && item.resendAt <= now) {
                dueSequences.push_back(sequence);
            }
        }
        for (const std::uint64_t sequence : dueSequences) {
            if (const auto item = pendingClaims.find(sequence); item != pendingClaims.end()) {
                sendClaim(sequence, item->second, now - item->second.startedAt >= ShardTakeoverDelay);
            }
        }
        dueSequences.clear();
        for (const auto &[sequence, item] : pendingUpdates) {
            if (!item.local && item.resendAt <= now) {
                dueSequences.push_back(sequence);
            }
        }
        for (const std::uint64_t sequence : dueSequences) {
            if (const auto item = pendingUpdates.find(sequence); item != pendingUpdates.end()) {
                sendUpdate(item->second, now - item->second.startedAt >= ShardTakeoverDelay);
            }
        }
        renewRunningClaims(now);
        for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
            Shard &item = shards[shard];
            if (now - item.usedAt >= ShardUnloadDelay && responsible(shard) != self.entry) {
                item.shard.unload();
                item.usedAt = now;
            }
        }
        sweepAt = now + (pendingClaims.empty() && pendingUpdates.empty() ? IdleResendSweepPeriod : ResendSweepPeriod);
    }
    armTimer();
}

// [4] Messages --------------------------------------------------------------------------------------------------------

/// Value of OrderVerdict.verdict that confirms an OrderSettle.
constexpr std::string_view UpdateConfirmedVerdict = "settled";

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
        // Without this limit, the remaining time in a malformed message could keep the claim in the queue for ever.
        constexpr std::uint64_t longestUs = 3'600'000'000;
        const Duration remaining{static_cast<std::int64_t>(std::min(claim.remaining_us(), longestUs))};
        shards[claim.shard()].usedAt = cluster.now();
        applyEffects(claim.shard(),
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
        ClaimUpdate request{*key,    settle.body_hash(), {sender, settle.claim_sequence()}, *state,
                            nullptr, settle.only_here()};
        if (*state == IdempotencyState::Finished) {
            request.answer = std::make_shared<const StoredAnswer>(StoredAnswer{
                static_cast<int>(settle.status()), settle.content_type(), settle.body(), settle.body_kept()});
        }
        shards[settle.shard()].usedAt = cluster.now();
        applyEffects(settle.shard(), shards[settle.shard()].shard.settle(std::move(request), context()));
    } else if (message.has_order_verdict()) {
        const wire::OrderVerdict &answer = message.order_verdict();
        if (answer.verdict() == UpdateConfirmedVerdict) {
            onUpdateConfirmed(answer.claim_sequence());
        } else if (const auto parsed = parseEnum<Verdict>(answer.verdict())) {
            const StoredAnswer storedAnswer{static_cast<int>(answer.status()), answer.content_type(), answer.body(),
                                            true};
            const std::optional<IdempotencyKeyHash> key = parseKey(answer.key_hash());
            onVerdict(answer.claim_sequence(), *parsed, &storedAnswer, key ? &*key : nullptr, key ? shardOf(*key) : 0);
        }
    } else {
        return;
    }
    armTimer();
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

// [5] Effects of shards and timers ------------------------------------------------------------------------------------

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::applyEffects(std::uint32_t shard, IdempotencyEffects effects)
{
    const auto weak = this->weak_from_this();
    // Passes the result of a call to the shard and applies the effects that the shard returns.
    const auto completion = [weak, shard](auto event, std::uint64_t call) {
        return [weak, shard, event, call](const auto &result) {
            if (const auto state = weak.lock()) {
                state->applyEffects(shard, (state->shards[shard].shard.*event)(call, result, state->context()));
                state->armTimer();
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
        } else if (const auto *reply = std::get_if<SendVerdict>(&effect)) {
            if (reply->claim.origin == self) {
                onVerdict(reply->claim.sequence, reply->verdict, reply->answer.get(), &reply->key, shard);
                continue;
            }
            wire::Envelope message;
            wire::OrderVerdict *answer = message.mutable_order_verdict();
            answer->set_claim_sequence(reply->claim.sequence);
            answer->set_key_hash(keyBytes(reply->key));
            answer->set_verdict(std::string(toString(reply->verdict)));
            if (reply->answer) {
                answer->set_status(static_cast<std::uint32_t>(reply->answer->status));
                answer->set_content_type(reply->answer->contentType);
                answer->set_body(reply->answer->body);
            }
            cluster.peers().send(reply->claim.origin.entry, std::move(message));
        } else if (const auto *confirmed = std::get_if<ConfirmClaimUpdate>(&effect)) {
            if (confirmed->claim.origin == self) {
                onUpdateConfirmed(confirmed->claim.sequence);
                continue;
            }
            wire::Envelope message;
            wire::OrderVerdict *answer = message.mutable_order_verdict();
            answer->set_claim_sequence(confirmed->claim.sequence);
            answer->set_verdict(std::string(UpdateConfirmedVerdict));
            cluster.peers().send(confirmed->claim.origin.entry, std::move(message));
        }
    }
}

template<CoordinationService S, class C>
void IdempotencyClient<S, C>::State::armTimer()
{
    const TimePoint now = cluster.now();
    std::optional<TimePoint> next = sweepAt;
    if (!pendingClaims.empty() || !pendingUpdates.empty()) {
        next = std::min(*next, now + ResendSweepPeriod);
        sweepAt = std::min(sweepAt, *next);
    }
    if (!deadlines.empty()) {
        next = std::min(*next, deadlines.begin()->first);
    }
    for (const Shard &item : shards) {
        if (const auto shardNext = item.shard.nextTick()) {
            next = std::min(*next, *shardNext);
        }
    }
    if (timerExpiry && *timerExpiry <= *next) {
        return;
    }
    timerExpiry = next;
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
std::uint64_t IdempotencyClient<S, C>::State::startIdOf(const EntryId &entry) const
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
