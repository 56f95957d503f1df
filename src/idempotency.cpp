#include "idempotency.h"

#include <algorithm>

namespace briarvane
{

// [5] IdempotencyShard ------------------------------------------------------------------------------------------------

namespace
{

std::int64_t unixMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

bool isClaim(const IdempotencyRecord &record, const ClaimId &claim)
{
    return record.sequence == claim.sequence && *record.origin == claim.origin;
}

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr std::size_t BatchBytes = std::size_t{256} * 1024;  // with head and base64 it stays far below the store's 1 MB
constexpr int BatchBurst = 4;                                // batches that a quiet shard may send at once
constexpr Duration DropPeriod{1'000'000};                    // between two passes over all records
constexpr std::size_t RecordBytes = 64;                      // stored size of a record without a body, rounded up
constexpr std::size_t RefBytes = 20;                         // stored size of a reference to a segment

/// Size of a head without its references, which rotation does not shorten.
std::size_t recordBytes(const std::string &text, const IdempotencySegment &head)
{
    return text.size() - std::min(text.size(), head.sealed.size() * RefBytes);
}

}

IdempotencyShard::IdempotencyShard(std::uint32_t shard, ClaimOrigin writer, IdempotencySettings settings)
    : m_shard(shard)
    , m_writer(std::move(writer))
    , m_settings(settings)
{
}

IdempotencyEffects IdempotencyShard::claim(ClaimRequest request, const IdempotencyContext &context)
{
    IdempotencyEffects effects;
    if (answerCopy(request, context, effects)) {
        return effects;
    }
    // Verdicts that need no new record come from memory, if the memory is recent or the record cannot change any more.
    if (m_loaded) {
        const IdempotencyRecord *record = find(request.key, context);
        const Decision decision = decide(request, record, context);
        const bool recent = context.now - m_confirmedAt <= m_settings.staleAfter;
        const bool own = record && isClaim(*record, request.claim);
        if (!decision.record && !own && (decision.verdict == Verdict::Replay || (recent && record))) {
            give(request, decision.verdict, decision.answer, effects);
            return effects;
        }
    }
    if (m_queue.size() >= m_settings.queue) {
        give(request, Verdict::Busy, nullptr, effects);
        return effects;
    }
    if (m_queue.empty()) {
        m_queuedAt = context.now;
    }
    m_queue.push_back({std::move(request)});
    step(context, effects);
    return effects;
}

bool IdempotencyShard::answerCopy(const ClaimRequest &request, const IdempotencyContext &context,
                                  IdempotencyEffects &effects)
{
    if (context.now >= m_forgetAt) {
        std::erase_if(m_refused, [&](const auto &refused) { return refused.second <= context.now; });
        m_forgetAt = context.now + DropPeriod;
    }
    if (m_refused.contains(request.claim)) {
        effects.push_back(GiveVerdict{request.claim, request.key, Verdict::Busy, nullptr});
        return true;
    }
    const auto same = [&](const Operation &operation) {
        const auto *claim = std::get_if<ClaimRequest>(&operation.request);
        return claim && claim->claim == request.claim;
    };
    return std::any_of(m_queue.begin(), m_queue.end(), same) || std::any_of(m_inFlight.begin(), m_inFlight.end(), same);
}

void IdempotencyShard::give(const ClaimRequest &request, Verdict verdict, std::shared_ptr<const KeptAnswer> answer,
                            IdempotencyEffects &effects)
{
    if (verdict != Verdict::Run) {
        m_refused[request.claim] = request.deadline;  // later copies are refused by their deadline
    }
    effects.push_back(GiveVerdict{request.claim, request.key, verdict, std::move(answer)});
}

IdempotencyEffects IdempotencyShard::settle(SettleRequest request, const IdempotencyContext &context)
{
    IdempotencyEffects effects;
    if (request.state == IdempotencyState::Abandoned) {
        const std::size_t dropped = std::erase_if(m_queue, [&](const Operation &operation) {
            const auto *claim = std::get_if<ClaimRequest>(&operation.request);
            const bool unsent = claim && !operation.sent && claim->claim == request.claim;
            if (unsent) {
                m_refused[claim->claim] = claim->deadline;
            }
            return unsent;
        });
        // No write is needed for a claim that no swap carried yet, unless another owner or a copy of it that arrived
        // here earlier may have recorded it.
        const bool inFlight = std::any_of(m_inFlight.begin(), m_inFlight.end(), [&](const Operation &operation) {
            const auto *claim = std::get_if<ClaimRequest>(&operation.request);
            return claim && claim->claim == request.claim;
        });
        const IdempotencyRecord *record = find(request.key, context);
        const bool recorded = record && isClaim(*record, request.claim);
        if (dropped > 0 && request.onlyHere && !inFlight && !recorded) {
            effects.push_back(GiveVerdict{request.claim, request.key, Verdict::Busy, nullptr});
            effects.push_back(ConfirmSettle{request.claim});
            return effects;
        }
    }
    if (m_queue.empty()) {
        m_queuedAt = context.now;
    }
    m_queue.push_back({std::move(request)});
    step(context, effects);
    return effects;
}

IdempotencyEffects IdempotencyShard::tick(const IdempotencyContext &context)
{
    IdempotencyEffects effects;
    step(context, effects);
    return effects;
}

IdempotencyEffects IdempotencyShard::readDone(std::uint64_t call, const Result<StoreValue> &result,
                                              const IdempotencyContext &context)
{
    IdempotencyEffects effects;
    if (call == 0 || call != m_call) {
        return effects;
    }
    m_call = 0;
    const Phase phase = std::exchange(m_phase, Phase::Idle);
    if (!result) {
        // A failed read of the head or of a segment is repeated from the head; of a sealed segment, from the seal.
        backOff(context);
    } else if (phase == Phase::ReadHead) {
        headRead(result.value(), context, effects);
    } else if (phase == Phase::ReadSegment) {
        segmentRead(result.value(), context);
    } else if (phase == Phase::ReadSeal) {
        if (result.value().version != 0 && result.value().value == m_sealText) {
            m_sealedFor = m_version;
            m_sealStoreVersion = result.value().version;
        } else if (result.value().version != 0) {
            // Another writer sealed other records under this number. It may still swap a head that refers to them, so
            // they stay until a head of this writer is confirmed.
            m_strays[m_sealNumber] = result.value().version;
            ++m_sealNumber;
        }
    }
    step(context, effects);
    return effects;
}

IdempotencyEffects IdempotencyShard::swapDone(std::uint64_t call, const Result<std::uint64_t> &result,
                                              const IdempotencyContext &context)
{
    IdempotencyEffects effects;
    if (call == 0 || call != m_call) {
        return effects;
    }
    m_call = 0;
    const Phase phase = std::exchange(m_phase, Phase::Idle);
    if (phase == Phase::Seal) {
        if (result) {
            m_sealedFor = m_version;
            m_sealStoreVersion = result.value();
        } else if (result.error().code == ErrorCode::Conflict || result.error().code == ErrorCode::Unknown) {
            startRead(Phase::ReadSeal, segmentKey(m_sealNumber), effects);
            return effects;
        } else {
            backOff(context);
        }
    } else if (result) {
        finishBatch(result.value(), context, effects);
    } else if (result.error().code == ErrorCode::Conflict || result.error().code == ErrorCode::Unknown) {
        // Only the store knows whether the swap took effect: a conflict may come from the same swap carried out twice.
        m_uncertain = true;
        m_uncertainVersion = m_version;
        m_loaded = false;
        if (result.error().code == ErrorCode::Unknown) {
            backOff(context);
        }
    } else {
        requeue(false);
        backOff(context);
    }
    step(context, effects);
    return effects;
}

IdempotencyEffects IdempotencyShard::removeDone(std::uint64_t call, const Result<bool> &result,
                                                const IdempotencyContext &context)
{
    IdempotencyEffects effects;
    if (call == 0 || call != m_removeCall) {
        return effects;
    }
    m_removeCall = 0;
    if (result || result.error().code == ErrorCode::NotFound) {
        m_removed.insert(m_removeNumber);
        m_loadedSegments.erase(m_removeNumber);
        dropExpired(context);
    }
    return effects;
}

std::optional<TimePoint> IdempotencyShard::nextTick() const
{
    if (m_call != 0 || (m_queue.empty() && m_inFlight.empty())) {
        return std::nullopt;
    }
    return m_loaded ? std::max(m_flushAt, m_retryAt) : m_retryAt;
}

bool IdempotencyShard::idle() const
{
    return m_call == 0 && m_removeCall == 0 && m_queue.empty() && m_inFlight.empty();
}

void IdempotencyShard::unload()
{
    if (!idle()) {
        return;
    }
    m_loaded = false;
    m_head.clear();
    m_sealed.clear();
    m_refs.clear();
    m_loadedSegments.clear();
    m_removed.clear();
    m_strays.clear();
    m_origins.clear();
    m_bodyBytes = 0;
}

std::size_t IdempotencyShard::records() const
{
    return m_head.size() + m_sealed.size();
}

std::uint64_t IdempotencyShard::rotations() const
{
    return m_rotations;
}

const std::string &IdempotencyShard::damage() const
{
    return m_damage;
}

void IdempotencyShard::step(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    expireQueue(context, effects);
    if (m_call != 0 || (m_queue.empty() && m_inFlight.empty()) || context.now < m_retryAt) {
        return;
    }
    if (!m_loaded) {
        if (m_readNumber != 0) {
            startRead(Phase::ReadSegment, segmentKey(m_readNumber), effects);
        } else {
            m_callStarted = context.now;
            for (Operation &operation : m_queue) {
                operation.readAgain = true;
            }
            for (Operation &operation : m_inFlight) {
                operation.readAgain = true;
            }
            startRead(Phase::ReadHead, headKey(), effects);
        }
        return;
    }
    const bool claims = std::any_of(m_queue.begin(), m_queue.end(), [](const Operation &operation) {
        return std::holds_alternative<ClaimRequest>(operation.request);
    });
    m_flushAt = m_paceAt - BatchBurst * m_settings.gather;
    if (!claims) {
        m_flushAt = std::max(m_flushAt, m_queuedAt + m_settings.settleGather);
    }
    if (context.now >= m_flushAt) {
        buildBatch(context, effects);
    }
}

void IdempotencyShard::buildBatch(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    removeExpiredSegment(context, effects);
    // Expired records count for nothing but the cap, and a shard at the cap writes no batch that would drop them.
    if (context.now >= m_dropAt) {
        dropExpired(context);
        m_dropAt = context.now + DropPeriod;
    }
    m_batchMs = unixMs(context.wall);
    m_changes.clear();
    bool readFirst = false;
    std::size_t bytes = 0;
    auto end = m_queue.begin();
    for (; end != m_queue.end() && bytes < BatchBytes; ++end) {
        const std::size_t recorded = m_changes.size();
        if (const auto *request = std::get_if<ClaimRequest>(&end->request)) {
            const IdempotencyRecord *record = findWithChanges(request->key, context);
            Decision decision = decide(*request, record, context);
            end->verdict = decision.verdict;
            end->answer = std::move(decision.answer);
            if (decision.record) {
                m_changes[request->key] = {request->key,
                                           request->bodyHash,
                                           shared(request->claim.origin),
                                           request->claim.sequence,
                                           m_batchMs,
                                           IdempotencyState::Claimed,
                                           nullptr};
            } else if (end->verdict != Verdict::Replay && end->verdict != Verdict::Busy) {
                readFirst = readFirst || (!end->readAgain && context.now - m_confirmedAt > m_settings.staleAfter);
            }
        } else {
            const auto &settle = std::get<SettleRequest>(end->request);
            // Nothing to change by the records in memory: true only if they are newer than the settle.
            readFirst = (!applySettle(settle, context) && !end->readAgain) || readFirst;
            bytes += settle.answer ? settle.answer->body.size() : 0;
        }
        bytes += (m_changes.size() - recorded) * RecordBytes;
    }
    if (m_changes.empty()) {
        if (readFirst) {
            m_loaded = false;
            step(context, effects);
            return;
        }
        m_inFlight.assign(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);
        answerInFlight(effects);
        return;
    }
    m_rotating = m_headBytes >= m_settings.segmentBytes;
    if (m_rotating && m_sealedFor != m_version) {
        seal(context, effects);
        return;
    }
    IdempotencySegment head;
    head.writer = m_writer;
    head.batch = ++m_batch;
    head.next = m_next;
    for (const SealedRef &ref : m_refs) {
        if (!m_removed.contains(ref.number)) {
            head.sealed.push_back(ref);
        }
    }
    if (m_rotating) {
        head.sealed.push_back({m_sealNumber, m_sealNewestMs});
        head.next = m_sealNumber + 1;
    } else {
        for (const auto &[key, record] : m_head) {
            if (!m_changes.contains(key) && !expired(record.changedMs, context)) {
                head.records.push_back(record);
            }
        }
    }
    for (const auto &[key, record] : m_changes) {
        head.records.push_back(record);
    }
    m_inFlight.assign(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
    m_batchSegment = std::move(head);
    std::string text = formatIdempotencySegment(m_batchSegment);
    m_batchBytes = recordBytes(text, m_batchSegment);
    m_paceAt = std::max(m_paceAt, context.now) + m_settings.gather;
    m_phase = Phase::Swap;
    m_call = ++m_lastCall;
    effects.push_back(SwapRecords{m_call, headKey(), m_version, std::move(text)});
}

void IdempotencyShard::seal(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    if (m_sealVersion != m_version) {
        // The records of another head version: the number is chosen anew, and what was sealed for the old version
        // counts as another writer's.
        m_sealVersion = m_version;
        m_sealNumber = m_next;
        m_sealNewestMs = 0;
        IdempotencySegment sealed;
        for (const auto &[key, record] : m_head) {
            if (!expired(record.changedMs, context)) {
                sealed.records.push_back(record);
                m_sealNewestMs = std::max(m_sealNewestMs, record.changedMs);
            }
        }
        m_sealText = formatIdempotencySegment(sealed);
    }
    m_phase = Phase::Seal;
    m_call = ++m_lastCall;
    effects.push_back(SwapRecords{m_call, segmentKey(m_sealNumber), 0, m_sealText});
}

void IdempotencyShard::finishBatch(std::uint64_t version, const IdempotencyContext &context,
                                   IdempotencyEffects &effects)
{
    m_version = version;
    m_next = m_batchSegment.next;
    m_refs = std::move(m_batchSegment.sealed);
    m_headBytes = m_batchBytes;
    std::erase_if(m_removed, [&](std::uint64_t number) { return !refersTo(number); });
    m_loaded = true;
    m_confirmedAt = context.now;
    if (m_rotating) {
        ++m_rotations;
        m_loadedSegments[m_sealNumber] = m_sealStoreVersion;
        for (auto &[key, record] : m_head) {
            addBytes(record, -1);
            put(m_sealed, std::move(record));
        }
        m_head.clear();
        m_rotating = false;
    }
    for (auto &[key, record] : m_changes) {
        put(m_head, std::move(record));
    }
    m_changes.clear();
    for (auto stray = m_strays.begin(); stray != m_strays.end();) {
        if (stray->first < m_next && !refersTo(stray->first)) {
            effects.push_back(RemoveRecords{0, segmentKey(stray->first), stray->second});
        }
        stray = m_strays.erase(stray);
    }
    answerInFlight(effects);
    if (!m_queue.empty()) {
        m_queuedAt = context.now;
    }
    resolveSent(context);
}

void IdempotencyShard::answerInFlight(IdempotencyEffects &effects)
{
    for (Operation &operation : m_inFlight) {
        if (const auto *claim = std::get_if<ClaimRequest>(&operation.request)) {
            give(*claim, operation.verdict, std::move(operation.answer), effects);
        } else if (const auto &settle = std::get<SettleRequest>(operation.request);
                   settle.state != IdempotencyState::Claimed) {
            effects.push_back(ConfirmSettle{settle.claim});
        }
    }
    m_inFlight.clear();
}

void IdempotencyShard::requeue(bool mayHaveTakenEffect)
{
    for (auto operation = m_inFlight.rbegin(); operation != m_inFlight.rend(); ++operation) {
        operation->sent = operation->sent || mayHaveTakenEffect;
        m_queue.push_front(std::move(*operation));
    }
    m_inFlight.clear();
    m_changes.clear();
}

void IdempotencyShard::headRead(const StoreValue &value, const IdempotencyContext &context, IdempotencyEffects &effects)
{
    Result<IdempotencySegment> parsed = parseIdempotencySegment(value.value);
    if (!parsed || value.version < m_version) {
        // Without the records nothing may run.
        m_damage = parsed ? headKey() + ": the store went back to an older version"
                          : headKey() + ": " + parsed.error().message;
        requeue(true);
        backOff(context);
        return;
    }
    IdempotencySegment &head = parsed.value();
    if (!m_inFlight.empty()) {
        if (value.version > m_version && head.writer == m_writer && head.batch == m_batch) {
            finishBatch(value.version, context, effects);
            return;
        }
        requeue(true);
    }
    m_version = value.version;
    m_next = head.next;
    m_headBytes = recordBytes(value.value, head);
    m_refs = std::move(head.sealed);
    m_removed.clear();
    for (const auto &[key, record] : m_head) {
        addBytes(record, -1);
    }
    m_head.clear();
    for (IdempotencyRecord &record : head.records) {
        record.origin = shared(*record.origin);
        put(m_head, std::move(record));
    }
    findMissingSegment();
    if (m_readNumber == 0) {
        finishLoad(context);
    }
}

void IdempotencyShard::segmentRead(const StoreValue &value, const IdempotencyContext &context)
{
    const std::uint64_t number = std::exchange(m_readNumber, 0);
    const auto ref
        = std::find_if(m_refs.begin(), m_refs.end(), [&](const SealedRef &item) { return item.number == number; });
    if (ref == m_refs.end()) {
        return;
    }
    const bool old = expired(ref->newestMs, context);
    Result<IdempotencySegment> parsed = parseIdempotencySegment(value.value);
    if (value.version == 0 && old) {
        m_removed.insert(number);
    } else if (value.version == 0 || !parsed) {
        // The head that was read may be old by now and the segment expired since; if not, records are missing and
        // nothing may run.
        m_damage = segmentKey(number) + (parsed ? ": the segment is missing" : ": " + parsed.error().message);
        backOff(context);
        return;
    } else {
        for (IdempotencyRecord &record : parsed.value().records) {
            record.origin = shared(*record.origin);
            put(m_sealed, std::move(record));
        }
        m_loadedSegments[number] = value.version;
    }
    findMissingSegment();
    if (m_readNumber == 0) {
        finishLoad(context);
    }
}

void IdempotencyShard::finishLoad(const IdempotencyContext &context)
{
    m_loaded = true;
    m_confirmedAt = m_callStarted;
    m_damage.clear();
    resolveSent(context);
}

void IdempotencyShard::resolveSent(const IdempotencyContext &context)
{
    if (m_uncertain && m_version <= m_uncertainVersion) {
        return;
    }
    // Every earlier swap has failed or is part of the records in memory.
    m_uncertain = false;
    for (Operation &operation : m_queue) {
        const auto *claim = std::get_if<ClaimRequest>(&operation.request);
        const IdempotencyRecord *record = claim ? find(claim->key, context) : nullptr;
        operation.sent = record && isClaim(*record, claim->claim);
    }
}

void IdempotencyShard::findMissingSegment()
{
    m_readNumber = 0;
    for (const SealedRef &ref : m_refs) {
        if (!m_loadedSegments.contains(ref.number) && !m_removed.contains(ref.number)) {
            m_readNumber = ref.number;
            return;
        }
    }
}

void IdempotencyShard::expireQueue(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    for (auto operation = m_queue.begin(); operation != m_queue.end();) {
        const auto *claim = std::get_if<ClaimRequest>(&operation->request);
        // A claim that was in a swap of unknown effect stays: Busy would say that it is not recorded.
        if (claim && !operation->sent && claim->deadline <= context.now) {
            give(*claim, Verdict::Busy, nullptr, effects);
            operation = m_queue.erase(operation);
        } else {
            ++operation;
        }
    }
}

void IdempotencyShard::removeExpiredSegment(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    if (m_removeCall != 0) {
        return;
    }
    for (const SealedRef &ref : m_refs) {
        // One margin more than the expiry of records: an entry whose clock is behind must not miss the segment.
        const auto loaded = m_loadedSegments.find(ref.number);
        if (loaded != m_loadedSegments.end() && expired(ref.newestMs + milliseconds(IdempotencyClockMargin), context)) {
            m_removeCall = ++m_lastCall;
            m_removeNumber = ref.number;
            effects.push_back(RemoveRecords{m_removeCall, segmentKey(ref.number), loaded->second});
            return;
        }
    }
}

void IdempotencyShard::dropExpired(const IdempotencyContext &context)
{
    for (RecordMap *map : {&m_head, &m_sealed}) {
        std::erase_if(*map, [&](const auto &item) {
            const bool gone = expired(item.second.changedMs, context);
            if (gone) {
                addBytes(item.second, -1);
            }
            return gone;
        });
    }
}

void IdempotencyShard::startRead(Phase phase, std::string key, IdempotencyEffects &effects)
{
    m_phase = phase;
    m_call = ++m_lastCall;
    effects.push_back(ReadRecords{m_call, std::move(key)});
}

void IdempotencyShard::backOff(const IdempotencyContext &context)
{
    m_retryAt = context.now + m_settings.retry;
}

IdempotencyShard::Decision IdempotencyShard::decide(const ClaimRequest &request, const IdempotencyRecord *record,
                                                    const IdempotencyContext &context) const
{
    if (!record || record->state == IdempotencyState::Abandoned) {
        const bool own = record && isClaim(*record, request.claim);
        if (own) {
            return {Verdict::Busy};
        }
        if (request.issuedMs > 0 && request.issuedMs + milliseconds(m_settings.retention) < unixMs(context.wall)) {
            return {Verdict::Unknown};  // its record may have been dropped
        }
        if (!record && records() + m_changes.size() >= m_settings.shardRecords) {
            return {Verdict::Busy};
        }
        return {Verdict::Run, nullptr, true};
    }
    const bool own = isClaim(*record, request.claim);
    if (own) {
        return {record->state == IdempotencyState::Claimed ? Verdict::Run : Verdict::Unknown};
    }
    if (record->bodyHash != request.bodyHash) {
        return {Verdict::KeyConflict};
    }
    switch (record->state) {
    case IdempotencyState::Claimed:
        return {std::find(context.live.begin(), context.live.end(), *record->origin) != context.live.end()
                    ? Verdict::InProgress
                    : Verdict::Unknown};
    case IdempotencyState::Finished:
        if (record->answer && record->answer->bodyKept) {
            return {Verdict::Replay, record->answer};
        }
        return {Verdict::Unknown};
    case IdempotencyState::Abandoned:
    case IdempotencyState::Unknown:
        break;
    }
    return {Verdict::Unknown};
}

bool IdempotencyShard::applySettle(const SettleRequest &request, const IdempotencyContext &context)
{
    const IdempotencyRecord *record = findWithChanges(request.key, context);
    const bool own = record && isClaim(*record, request.claim);
    const bool ran = request.state == IdempotencyState::Finished || request.state == IdempotencyState::Unknown;
    if (record && !own && !(ran && record->state == IdempotencyState::Abandoned)) {
        return false;  // the key belongs to another claim by now
    }
    switch (request.state) {
    case IdempotencyState::Claimed:
        if (!record || record->state != IdempotencyState::Claimed) {
            return false;
        }
        break;
    case IdempotencyState::Abandoned:
        // Without a record one is written all the same: it stops a copy of the claim that is still under way.
        if (record ? record->state != IdempotencyState::Claimed
                   : records() + m_changes.size() >= m_settings.shardRecords) {
            return false;
        }
        break;
    case IdempotencyState::Finished:
    case IdempotencyState::Unknown:
        if (record && (record->state == IdempotencyState::Finished || record->state == IdempotencyState::Unknown)) {
            return false;
        }
        break;
    }
    IdempotencyRecord changed{
        request.key,   request.bodyHash, shared(request.claim.origin), request.claim.sequence, m_batchMs,
        request.state, nullptr};
    if (record && own) {
        changed.bodyHash = record->bodyHash;
        changed.changedMs = std::max(changed.changedMs, record->changedMs);
    }
    if (request.state == IdempotencyState::Finished && request.answer) {
        const std::size_t size = request.answer->body.size();
        if (request.answer->bodyKept && size <= m_settings.keptBody && m_bodyBytes + size <= m_settings.shardBytes) {
            changed.answer = request.answer;
        } else {
            changed.answer = std::make_shared<const KeptAnswer>(
                KeptAnswer{request.answer->status, request.answer->contentType, {}, false});
        }
    }
    m_changes[request.key] = std::move(changed);
    return true;
}

const IdempotencyRecord *IdempotencyShard::find(const IdempotencyKeyHash &key, const IdempotencyContext &context) const
{
    for (const RecordMap *map : {&m_head, &m_sealed}) {
        const auto found = map->find(key);
        if (found != map->end()) {
            return expired(found->second.changedMs, context) ? nullptr : &found->second;
        }
    }
    return nullptr;
}

const IdempotencyRecord *IdempotencyShard::findWithChanges(const IdempotencyKeyHash &key,
                                                           const IdempotencyContext &context) const
{
    const auto found = m_changes.find(key);
    return found != m_changes.end() ? &found->second : find(key, context);
}

bool IdempotencyShard::expired(std::int64_t changedMs, const IdempotencyContext &context) const
{
    return changedMs + retentionMs() < unixMs(context.wall);
}

std::int64_t IdempotencyShard::retentionMs() const
{
    return milliseconds(m_settings.retention + IdempotencyClockMargin);
}

bool IdempotencyShard::refersTo(std::uint64_t number) const
{
    return std::any_of(m_refs.begin(), m_refs.end(), [&](const SealedRef &ref) { return ref.number == number; });
}

std::shared_ptr<const ClaimOrigin> IdempotencyShard::shared(const ClaimOrigin &origin)
{
    const auto found = std::find_if(m_origins.rbegin(), m_origins.rend(),
                                    [&](const std::shared_ptr<const ClaimOrigin> &item) { return *item == origin; });
    if (found != m_origins.rend()) {
        return *found;
    }
    std::erase_if(m_origins, [](const auto &item) { return item.use_count() == 1; });
    return m_origins.emplace_back(std::make_shared<const ClaimOrigin>(origin));
}

std::string IdempotencyShard::headKey() const
{
    return "orders/" + std::to_string(m_shard);
}

std::string IdempotencyShard::segmentKey(std::uint64_t number) const
{
    return headKey() + "/" + std::to_string(number);
}

void IdempotencyShard::addBytes(const IdempotencyRecord &record, int sign)
{
    const std::size_t bytes = record.answer ? record.answer->body.size() : 0;
    m_bodyBytes = sign > 0 ? m_bodyBytes + bytes : m_bodyBytes - std::min(m_bodyBytes, bytes);
}

void IdempotencyShard::put(RecordMap &map, IdempotencyRecord record)
{
    addBytes(record, 1);
    const auto [at, added] = map.try_emplace(record.key);
    if (!added) {
        addBytes(at->second, -1);
    }
    at->second = std::move(record);
}

}
