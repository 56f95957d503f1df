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

/// Limit in bytes for the changes of one batch. Together with the head and after base64 encoding, the value stays far
/// below the coordination service's limit of 1 MB.
constexpr std::size_t BatchBytes = std::size_t{256} * 1024;
constexpr int BatchBurst = 4;  // a batch may be sent while the shard is at most this many batches ahead of its pace
/// Shortest time between two removals of expired records, or of expired rejected claims, from memory.
constexpr Duration DropPeriod{1'000'000};
constexpr std::size_t RecordBytes = 64;  // stored size of a record without a body, rounded up
constexpr std::size_t RefBytes = 20;     // stored size of a reference to a segment

/// Size of a head without its references to sealed segments, which a rotation does not remove.
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
    if (handleDuplicate(request, context, effects)) {
        return effects;
    }
    // A verdict that needs no new record is given from a record in memory if the records in memory are recent, or if
    // the verdict is Replay.
    if (m_loaded) {
        const IdempotencyRecord *record = find(request.key, context);
        const Decision decision = decide(request, record, context);
        const bool recent = context.now - m_confirmedAt <= m_settings.maxMemoryAge;
        const bool own = record && isClaim(*record, request.claim);
        if (!decision.record && !own && (decision.verdict == Verdict::Replay || (recent && record))) {
            sendVerdict(request, decision.verdict, decision.answer, effects);
            return effects;
        }
    }
    if (m_queue.size() >= m_settings.queueLimit) {
        sendVerdict(request, Verdict::Busy, nullptr, effects);
        return effects;
    }
    if (m_queue.empty()) {
        m_queuedAt = context.now;
    }
    m_queue.push_back({std::move(request)});
    step(context, effects);
    return effects;
}

bool IdempotencyShard::handleDuplicate(const ClaimRequest &request, const IdempotencyContext &context,
                                       IdempotencyEffects &effects)
{
    if (context.now >= m_pruneRejectedAt) {
        std::erase_if(m_rejectedClaims, [&](const auto &rejected) { return rejected.second <= context.now; });
        m_pruneRejectedAt = context.now + DropPeriod;
    }
    if (m_rejectedClaims.contains(request.claim)) {
        effects.push_back(SendVerdict{request.claim, request.key, Verdict::Busy, nullptr});
        return true;
    }
    const auto same = [&](const Operation &operation) {
        const auto *claim = std::get_if<ClaimRequest>(&operation.request);
        return claim && claim->claim == request.claim;
    };
    return std::any_of(m_queue.begin(), m_queue.end(), same) || std::any_of(m_inFlight.begin(), m_inFlight.end(), same);
}

void IdempotencyShard::sendVerdict(const ClaimRequest &request, Verdict verdict,
                                   std::shared_ptr<const StoredAnswer> answer, IdempotencyEffects &effects)
{
    if (verdict != Verdict::Run) {
        // A rejected claim is kept only until its deadline: a duplicate that arrives later gets Verdict::Busy anyway.
        m_rejectedClaims[request.claim] = request.deadline;
    }
    effects.push_back(SendVerdict{request.claim, request.key, verdict, std::move(answer)});
}

IdempotencyEffects IdempotencyShard::settle(ClaimUpdate request, const IdempotencyContext &context)
{
    IdempotencyEffects effects;
    if (request.state == IdempotencyState::Abandoned) {
        const std::size_t dropped = std::erase_if(m_queue, [&](const Operation &operation) {
            const auto *claim = std::get_if<ClaimRequest>(&operation.request);
            const bool unsent = claim && !operation.maybeStored && claim->claim == request.claim;
            if (unsent) {
                m_rejectedClaims[claim->claim] = claim->deadline;
            }
            return unsent;
        });
        // A claim that was in no swap needs no write, unless it may have been recorded by another owner or as a
        // duplicate that arrived here earlier.
        const bool inFlight = std::any_of(m_inFlight.begin(), m_inFlight.end(), [&](const Operation &operation) {
            const auto *claim = std::get_if<ClaimRequest>(&operation.request);
            return claim && claim->claim == request.claim;
        });
        const IdempotencyRecord *record = find(request.key, context);
        const bool recorded = record && isClaim(*record, request.claim);
        if (dropped > 0 && request.sentOnlyHere && !inFlight && !recorded) {
            effects.push_back(SendVerdict{request.claim, request.key, Verdict::Busy, nullptr});
            effects.push_back(ConfirmClaimUpdate{request.claim});
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
        // A failed read of the head or of a segment is repeated after a delay. After a failed check of a new segment
        // (ReadSeal), sealing is repeated.
        backOff(context);
    } else if (phase == Phase::ReadHead) {
        headRead(result.value(), context, effects);
    } else if (phase == Phase::ReadSegment) {
        segmentRead(result.value(), context);
    } else if (phase == Phase::ReadSeal) {
        if (result.value().version != 0 && result.value().value == m_sealText) {
            m_sealedForVersion = m_version;
            m_sealStoreVersion = result.value().version;
        } else if (result.value().version != 0) {
            // Another writer has sealed other records under this number and may still write a head that refers to them,
            // so the segment must not be removed before a head of this writer is confirmed.
            m_unreferencedSegments[m_sealNumber] = result.value().version;
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
            m_sealedForVersion = m_version;
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
        // The swap may have taken effect, even after a conflict, which also occurs if the coordination service carries
        // out the same swap twice. The head has to be read again to find out.
        m_swapUncertain = true;
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
        m_removedSegments.insert(m_removeNumber);
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
    m_sealedRefs.clear();
    m_loadedSegments.clear();
    m_removedSegments.clear();
    m_unreferencedSegments.clear();
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

const std::string &IdempotencyShard::loadError() const
{
    return m_loadError;
}

void IdempotencyShard::step(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    expireQueue(context, effects);
    if (m_call != 0 || (m_queue.empty() && m_inFlight.empty()) || context.now < m_retryAt) {
        return;
    }
    if (!m_loaded) {
        if (m_segmentToRead != 0) {
            startRead(Phase::ReadSegment, segmentKey(m_segmentToRead), effects);
        } else {
            m_callStarted = context.now;
            for (Operation &operation : m_queue) {
                operation.readSinceQueued = true;
            }
            for (Operation &operation : m_inFlight) {
                operation.readSinceQueued = true;
            }
            startRead(Phase::ReadHead, headKey(), effects);
        }
        return;
    }
    const bool hasClaims = std::any_of(m_queue.begin(), m_queue.end(), [](const Operation &operation) {
        return std::holds_alternative<ClaimRequest>(operation.request);
    });
    m_flushAt = m_pacedUntil - BatchBurst * m_settings.batchInterval;
    if (!hasClaims) {
        m_flushAt = std::max(m_flushAt, m_queuedAt + m_settings.updateBatchDelay);
    }
    if (context.now >= m_flushAt) {
        buildBatch(context, effects);
    }
}

void IdempotencyShard::buildBatch(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    removeExpiredSegment(context, effects);
    // Expired records are ignored, except that they count towards `maxRecords`. They are removed here because a shard
    // that has reached this limit may write no further batch that would remove them.
    if (context.now >= m_dropExpiredAt) {
        dropExpired(context);
        m_dropExpiredAt = context.now + DropPeriod;
    }
    m_batchMs = unixMs(context.wall);
    m_changes.clear();
    bool readFirst = false;
    std::size_t bytes = 0;
    auto end = m_queue.begin();
    for (; end != m_queue.end() && bytes < BatchBytes; ++end) {
        const std::size_t changesBefore = m_changes.size();
        if (const auto *request = std::get_if<ClaimRequest>(&end->request)) {
            const IdempotencyRecord *record = findWithChanges(request->key, context);
            Decision decision = decide(*request, record, context);
            end->verdict = decision.verdict;
            end->answer = std::move(decision.answer);
            if (decision.record) {
                m_changes[request->key] = {request->key,
                                           request->bodyHash,
                                           internOrigin(request->claim.origin),
                                           request->claim.sequence,
                                           m_batchMs,
                                           IdempotencyState::Claimed,
                                           nullptr};
            } else if (end->verdict != Verdict::Replay && end->verdict != Verdict::Busy) {
                readFirst
                    = readFirst || (!end->readSinceQueued && context.now - m_confirmedAt > m_settings.maxMemoryAge);
            }
        } else {
            const auto &update = std::get<ClaimUpdate>(end->request);
            // An update that changes no record in memory may still have to change the stored records, unless they were
            // read after the update had arrived.
            readFirst = (!applyUpdate(update, context) && !end->readSinceQueued) || readFirst;
            bytes += update.answer ? update.answer->body.size() : 0;
        }
        bytes += (m_changes.size() - changesBefore) * RecordBytes;
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
    if (m_rotating && m_sealedForVersion != m_version) {
        seal(context, effects);
        return;
    }
    IdempotencySegment head;
    head.writer = m_writer;
    head.batch = ++m_batch;
    head.next = m_next;
    for (const SealedRef &ref : m_sealedRefs) {
        if (!m_removedSegments.contains(ref.number)) {
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
    m_pacedUntil = std::max(m_pacedUntil, context.now) + m_settings.batchInterval;
    m_phase = Phase::Swap;
    m_call = ++m_lastCall;
    effects.push_back(SwapRecords{m_call, headKey(), m_version, std::move(text)});
}

void IdempotencyShard::seal(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    if (m_sealTextVersion != m_version) {
        // The head has changed since the last attempt to seal it: a new number is chosen, and a segment that was sealed
        // for the old version is treated like one of another writer.
        m_sealTextVersion = m_version;
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
    m_sealedRefs = std::move(m_batchSegment.sealed);
    m_headBytes = m_batchBytes;
    std::erase_if(m_removedSegments, [&](std::uint64_t number) { return !refersTo(number); });
    m_loaded = true;
    m_confirmedAt = context.now;
    if (m_rotating) {
        ++m_rotations;
        m_loadedSegments[m_sealNumber] = m_sealStoreVersion;
        for (auto &[key, record] : m_head) {
            countBodyBytes(record, -1);
            insertRecord(m_sealed, std::move(record));
        }
        m_head.clear();
        m_rotating = false;
    }
    for (auto &[key, record] : m_changes) {
        insertRecord(m_head, std::move(record));
    }
    m_changes.clear();
    for (auto segment = m_unreferencedSegments.begin(); segment != m_unreferencedSegments.end();) {
        if (segment->first < m_next && !refersTo(segment->first)) {
            effects.push_back(RemoveRecords{0, segmentKey(segment->first), segment->second});
        }
        segment = m_unreferencedSegments.erase(segment);
    }
    answerInFlight(effects);
    if (!m_queue.empty()) {
        m_queuedAt = context.now;
    }
    resolveUncertain(context);
}

void IdempotencyShard::answerInFlight(IdempotencyEffects &effects)
{
    for (Operation &operation : m_inFlight) {
        if (const auto *claim = std::get_if<ClaimRequest>(&operation.request)) {
            sendVerdict(*claim, operation.verdict, std::move(operation.answer), effects);
        } else if (const auto &update = std::get<ClaimUpdate>(operation.request);
                   update.state != IdempotencyState::Claimed) {
            effects.push_back(ConfirmClaimUpdate{update.claim});
        }
    }
    m_inFlight.clear();
}

void IdempotencyShard::requeue(bool mayHaveTakenEffect)
{
    for (auto operation = m_inFlight.rbegin(); operation != m_inFlight.rend(); ++operation) {
        operation->maybeStored = operation->maybeStored || mayHaveTakenEffect;
        m_queue.push_front(std::move(*operation));
    }
    m_inFlight.clear();
    m_changes.clear();
}

void IdempotencyShard::headRead(const StoreValue &value, const IdempotencyContext &context, IdempotencyEffects &effects)
{
    Result<IdempotencySegment> parsed = parseIdempotencySegment(value.value);
    if (!parsed || value.version < m_version) {
        // Without the records no key may run. Reading is repeated after a delay, and claims wait until their deadline.
        m_loadError = parsed ? headKey() + ": the coordination service returned an older version than before"
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
    m_sealedRefs = std::move(head.sealed);
    m_removedSegments.clear();
    for (const auto &[key, record] : m_head) {
        countBodyBytes(record, -1);
    }
    m_head.clear();
    for (IdempotencyRecord &record : head.records) {
        record.origin = internOrigin(*record.origin);
        insertRecord(m_head, std::move(record));
    }
    chooseSegmentToRead();
    if (m_segmentToRead == 0) {
        finishLoad(context);
    }
}

void IdempotencyShard::segmentRead(const StoreValue &value, const IdempotencyContext &context)
{
    const std::uint64_t number = std::exchange(m_segmentToRead, 0);
    const auto ref = std::find_if(m_sealedRefs.begin(), m_sealedRefs.end(),
                                  [&](const SealedRef &item) { return item.number == number; });
    if (ref == m_sealedRefs.end()) {
        return;
    }
    const bool segmentExpired = expired(ref->newestMs, context);
    Result<IdempotencySegment> parsed = parseIdempotencySegment(value.value);
    if (value.version == 0 && segmentExpired) {
        m_removedSegments.insert(number);
    } else if (value.version == 0 || !parsed) {
        // Either the head has changed since it was read and the segment was removed as expired, or records are missing
        // and no key may run. Loading is repeated after a delay.
        m_loadError = segmentKey(number) + (parsed ? ": the segment is missing" : ": " + parsed.error().message);
        backOff(context);
        return;
    } else {
        for (IdempotencyRecord &record : parsed.value().records) {
            record.origin = internOrigin(*record.origin);
            insertRecord(m_sealed, std::move(record));
        }
        m_loadedSegments[number] = value.version;
    }
    chooseSegmentToRead();
    if (m_segmentToRead == 0) {
        finishLoad(context);
    }
}

void IdempotencyShard::finishLoad(const IdempotencyContext &context)
{
    m_loaded = true;
    m_confirmedAt = m_callStarted;
    m_loadError.clear();
    resolveUncertain(context);
}

void IdempotencyShard::resolveUncertain(const IdempotencyContext &context)
{
    if (m_swapUncertain && m_version <= m_uncertainVersion) {
        return;
    }
    // Every earlier swap has either failed or is contained in the records in memory.
    m_swapUncertain = false;
    for (Operation &operation : m_queue) {
        const auto *claim = std::get_if<ClaimRequest>(&operation.request);
        const IdempotencyRecord *record = claim ? find(claim->key, context) : nullptr;
        operation.maybeStored = record && isClaim(*record, claim->claim);
    }
}

void IdempotencyShard::chooseSegmentToRead()
{
    m_segmentToRead = 0;
    for (const SealedRef &ref : m_sealedRefs) {
        if (!m_loadedSegments.contains(ref.number) && !m_removedSegments.contains(ref.number)) {
            m_segmentToRead = ref.number;
            return;
        }
    }
}

void IdempotencyShard::expireQueue(const IdempotencyContext &context, IdempotencyEffects &effects)
{
    for (auto operation = m_queue.begin(); operation != m_queue.end();) {
        const auto *claim = std::get_if<ClaimRequest>(&operation->request);
        // A claim that was in a swap of unknown effect stays queued: Verdict::Busy would mean that it is not recorded.
        if (claim && !operation->maybeStored && claim->deadline <= context.now) {
            sendVerdict(*claim, Verdict::Busy, nullptr, effects);
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
    for (const SealedRef &ref : m_sealedRefs) {
        // A segment is removed one clock margin after its records have expired, because an entry whose clock is behind
        // still needs the segment.
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
            const bool isExpired = expired(item.second.changedMs, context);
            if (isExpired) {
                countBodyBytes(item.second, -1);
            }
            return isExpired;
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
    m_retryAt = context.now + m_settings.retryDelay;
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
            return {Verdict::Unknown};  // the record of an earlier run may have expired
        }
        if (!record && records() + m_changes.size() >= m_settings.maxRecords) {
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
        if (record->answer && record->answer->bodyStored) {
            return {Verdict::Replay, record->answer};
        }
        return {Verdict::Unknown};
    case IdempotencyState::Abandoned:
    case IdempotencyState::Unknown:
        break;
    }
    return {Verdict::Unknown};
}

bool IdempotencyShard::applyUpdate(const ClaimUpdate &request, const IdempotencyContext &context)
{
    const IdempotencyRecord *record = findWithChanges(request.key, context);
    const bool own = record && isClaim(*record, request.claim);
    const bool ran = request.state == IdempotencyState::Finished || request.state == IdempotencyState::Unknown;
    if (record && !own && !(ran && record->state == IdempotencyState::Abandoned)) {
        return false;  // another claim has the key now
    }
    switch (request.state) {
    case IdempotencyState::Claimed:
        if (!record || record->state != IdempotencyState::Claimed) {
            return false;
        }
        break;
    case IdempotencyState::Abandoned:
        // If there is no record, one is written: it rejects a duplicate of the claim that is still under way.
        if (record ? record->state != IdempotencyState::Claimed
                   : records() + m_changes.size() >= m_settings.maxRecords) {
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
        request.key,   request.bodyHash, internOrigin(request.claim.origin), request.claim.sequence, m_batchMs,
        request.state, nullptr};
    if (record && own) {
        changed.bodyHash = record->bodyHash;
        changed.changedMs = std::max(changed.changedMs, record->changedMs);
    }
    if (request.state == IdempotencyState::Finished && request.answer) {
        const std::size_t size = request.answer->body.size();
        if (request.answer->bodyStored && size <= m_settings.maxStoredBody
            && m_bodyBytes + size <= m_settings.maxBodyBytes) {
            changed.answer = request.answer;
        } else {
            changed.answer = std::make_shared<const StoredAnswer>(
                StoredAnswer{request.answer->status, request.answer->contentType, {}, false});
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
    return std::any_of(m_sealedRefs.begin(), m_sealedRefs.end(),
                       [&](const SealedRef &ref) { return ref.number == number; });
}

std::shared_ptr<const ClaimOrigin> IdempotencyShard::internOrigin(const ClaimOrigin &origin)
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

void IdempotencyShard::countBodyBytes(const IdempotencyRecord &record, int sign)
{
    const std::size_t bytes = record.answer ? record.answer->body.size() : 0;
    m_bodyBytes = sign > 0 ? m_bodyBytes + bytes : m_bodyBytes - std::min(m_bodyBytes, bytes);
}

void IdempotencyShard::insertRecord(RecordMap &map, IdempotencyRecord record)
{
    countBodyBytes(record, 1);
    const auto [item, added] = map.try_emplace(record.key);
    if (!added) {
        countBodyBytes(item->second, -1);
    }
    item->second = std::move(record);
}

}
