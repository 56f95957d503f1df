#include "idempotency.h"

#include <algorithm>

namespace briarvane
{

// [5] OrderShard ------------------------------------------------------------------------------------------------------

namespace
{

std::int64_t unixMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

bool isClaim(const OrderRecord &record, const ClaimId &claim)
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
std::size_t recordBytes(const std::string &text, const OrderSegment &head)
{
    return text.size() - std::min(text.size(), head.sealed.size() * RefBytes);
}

}

OrderShard::OrderShard(std::uint32_t shard, ClaimOrigin writer, OrderSettings settings)
    : m_shard(shard)
    , m_writer(std::move(writer))
    , m_settings(settings)
{
}

OrderCommands OrderShard::claim(ClaimOrder order, const OrderView &view)
{
    OrderCommands commands;
    if (answerCopy(order, view, commands)) {
        return commands;
    }
    // Verdicts that need no new record come from memory, if the memory is recent or the record cannot change any more.
    if (m_loaded) {
        const OrderRecord *record = find(order.key, view);
        const Decision decision = decide(order, record, view);
        const bool recent = view.now - m_confirmedAt <= m_settings.staleAfter;
        const bool own = record && isClaim(*record, order.claim);
        if (!decision.record && !own && (decision.verdict == Verdict::Replay || (recent && record))) {
            give(order, decision.verdict, decision.answer, commands);
            return commands;
        }
    }
    if (m_queue.size() >= m_settings.queue) {
        give(order, Verdict::Busy, nullptr, commands);
        return commands;
    }
    if (m_queue.empty()) {
        m_queuedAt = view.now;
    }
    m_queue.push_back({std::move(order)});
    step(view, commands);
    return commands;
}

bool OrderShard::answerCopy(const ClaimOrder &order, const OrderView &view, OrderCommands &commands)
{
    if (view.now >= m_forgetAt) {
        std::erase_if(m_refused, [&](const auto &refused) { return refused.second <= view.now; });
        m_forgetAt = view.now + DropPeriod;
    }
    if (m_refused.contains(order.claim)) {
        commands.push_back(GiveVerdict{order.claim, order.key, Verdict::Busy, nullptr});
        return true;
    }
    const auto same = [&](const Operation &operation) {
        const auto *claim = std::get_if<ClaimOrder>(&operation.order);
        return claim && claim->claim == order.claim;
    };
    return std::any_of(m_queue.begin(), m_queue.end(), same) || std::any_of(m_inFlight.begin(), m_inFlight.end(), same);
}

void OrderShard::give(const ClaimOrder &order, Verdict verdict, std::shared_ptr<const KeptAnswer> answer,
                      OrderCommands &commands)
{
    if (verdict != Verdict::Run) {
        m_refused[order.claim] = order.deadline;  // later copies are refused by their deadline
    }
    commands.push_back(GiveVerdict{order.claim, order.key, verdict, std::move(answer)});
}

OrderCommands OrderShard::settle(SettleOrder order, const OrderView &view)
{
    OrderCommands commands;
    if (order.state == OrderState::Abandoned) {
        const std::size_t dropped = std::erase_if(m_queue, [&](const Operation &operation) {
            const auto *claim = std::get_if<ClaimOrder>(&operation.order);
            const bool unsent = claim && !operation.sent && claim->claim == order.claim;
            if (unsent) {
                m_refused[claim->claim] = claim->deadline;
            }
            return unsent;
        });
        // No write is needed for a claim that no swap carried yet, unless another owner or a copy of it that arrived
        // here earlier may have recorded it.
        const bool inFlight = std::any_of(m_inFlight.begin(), m_inFlight.end(), [&](const Operation &operation) {
            const auto *claim = std::get_if<ClaimOrder>(&operation.order);
            return claim && claim->claim == order.claim;
        });
        const OrderRecord *record = find(order.key, view);
        const bool recorded = record && isClaim(*record, order.claim);
        if (dropped > 0 && order.onlyHere && !inFlight && !recorded) {
            commands.push_back(GiveVerdict{order.claim, order.key, Verdict::Busy, nullptr});
            commands.push_back(ConfirmSettle{order.claim});
            return commands;
        }
    }
    if (m_queue.empty()) {
        m_queuedAt = view.now;
    }
    m_queue.push_back({std::move(order)});
    step(view, commands);
    return commands;
}

OrderCommands OrderShard::tick(const OrderView &view)
{
    OrderCommands commands;
    step(view, commands);
    return commands;
}

OrderCommands OrderShard::readDone(std::uint64_t call, const Result<StoreValue> &result, const OrderView &view)
{
    OrderCommands commands;
    if (call == 0 || call != m_call) {
        return commands;
    }
    m_call = 0;
    const Phase phase = std::exchange(m_phase, Phase::Idle);
    if (!result) {
        // A failed read of the head or of a segment is repeated from the head; of a sealed segment, from the seal.
        backOff(view);
    } else if (phase == Phase::ReadHead) {
        headRead(result.value(), view, commands);
    } else if (phase == Phase::ReadSegment) {
        segmentRead(result.value(), view);
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
    step(view, commands);
    return commands;
}

OrderCommands OrderShard::swapDone(std::uint64_t call, const Result<std::uint64_t> &result, const OrderView &view)
{
    OrderCommands commands;
    if (call == 0 || call != m_call) {
        return commands;
    }
    m_call = 0;
    const Phase phase = std::exchange(m_phase, Phase::Idle);
    if (phase == Phase::Seal) {
        if (result) {
            m_sealedFor = m_version;
            m_sealStoreVersion = result.value();
        } else if (result.error().code == ErrorCode::Conflict || result.error().code == ErrorCode::Unknown) {
            startRead(Phase::ReadSeal, segmentKey(m_sealNumber), commands);
            return commands;
        } else {
            backOff(view);
        }
    } else if (result) {
        finishBatch(result.value(), view, commands);
    } else if (result.error().code == ErrorCode::Conflict || result.error().code == ErrorCode::Unknown) {
        // Only the store knows whether the swap took effect: a conflict may come from the same swap carried out twice.
        m_uncertain = true;
        m_uncertainVersion = m_version;
        m_loaded = false;
        if (result.error().code == ErrorCode::Unknown) {
            backOff(view);
        }
    } else {
        requeue(false);
        backOff(view);
    }
    step(view, commands);
    return commands;
}

OrderCommands OrderShard::removeDone(std::uint64_t call, const Result<bool> &result, const OrderView &view)
{
    OrderCommands commands;
    if (call == 0 || call != m_removeCall) {
        return commands;
    }
    m_removeCall = 0;
    if (result || result.error().code == ErrorCode::NotFound) {
        m_removed.insert(m_removeNumber);
        m_loadedSegments.erase(m_removeNumber);
        dropExpired(view);
    }
    return commands;
}

std::optional<TimePoint> OrderShard::nextTick() const
{
    if (m_call != 0 || (m_queue.empty() && m_inFlight.empty())) {
        return std::nullopt;
    }
    return m_loaded ? std::max(m_flushAt, m_retryAt) : m_retryAt;
}

bool OrderShard::idle() const
{
    return m_call == 0 && m_removeCall == 0 && m_queue.empty() && m_inFlight.empty();
}

void OrderShard::unload()
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

std::size_t OrderShard::records() const
{
    return m_head.size() + m_sealed.size();
}

std::uint64_t OrderShard::rotations() const
{
    return m_rotations;
}

const std::string &OrderShard::damage() const
{
    return m_damage;
}

void OrderShard::step(const OrderView &view, OrderCommands &commands)
{
    expireQueue(view, commands);
    if (m_call != 0 || (m_queue.empty() && m_inFlight.empty()) || view.now < m_retryAt) {
        return;
    }
    if (!m_loaded) {
        if (m_readNumber != 0) {
            startRead(Phase::ReadSegment, segmentKey(m_readNumber), commands);
        } else {
            m_callStarted = view.now;
            for (Operation &operation : m_queue) {
                operation.readAgain = true;
            }
            for (Operation &operation : m_inFlight) {
                operation.readAgain = true;
            }
            startRead(Phase::ReadHead, headKey(), commands);
        }
        return;
    }
    const bool claims = std::any_of(m_queue.begin(), m_queue.end(), [](const Operation &operation) {
        return std::holds_alternative<ClaimOrder>(operation.order);
    });
    m_flushAt = m_paceAt - BatchBurst * m_settings.gather;
    if (!claims) {
        m_flushAt = std::max(m_flushAt, m_queuedAt + m_settings.settleGather);
    }
    if (view.now >= m_flushAt) {
        buildBatch(view, commands);
    }
}

void OrderShard::buildBatch(const OrderView &view, OrderCommands &commands)
{
    removeExpiredSegment(view, commands);
    // Expired records count for nothing but the cap, and a shard at the cap writes no batch that would drop them.
    if (view.now >= m_dropAt) {
        dropExpired(view);
        m_dropAt = view.now + DropPeriod;
    }
    m_batchMs = unixMs(view.wall);
    m_changes.clear();
    bool readFirst = false;
    std::size_t bytes = 0;
    auto end = m_queue.begin();
    for (; end != m_queue.end() && bytes < BatchBytes; ++end) {
        const std::size_t recorded = m_changes.size();
        if (const auto *order = std::get_if<ClaimOrder>(&end->order)) {
            const OrderRecord *record = findWithChanges(order->key, view);
            Decision decision = decide(*order, record, view);
            end->verdict = decision.verdict;
            end->answer = std::move(decision.answer);
            if (decision.record) {
                m_changes[order->key] = {
                    order->key,          order->bodyHash, shared(order->claim.origin), order->claim.sequence, m_batchMs,
                    OrderState::Claimed, nullptr};
            } else if (end->verdict != Verdict::Replay && end->verdict != Verdict::Busy) {
                readFirst = readFirst || (!end->readAgain && view.now - m_confirmedAt > m_settings.staleAfter);
            }
        } else {
            const auto &settle = std::get<SettleOrder>(end->order);
            // Nothing to change by the records in memory: true only if they are newer than the settle.
            readFirst = (!applySettle(settle, view) && !end->readAgain) || readFirst;
            bytes += settle.answer ? settle.answer->body.size() : 0;
        }
        bytes += (m_changes.size() - recorded) * RecordBytes;
    }
    if (m_changes.empty()) {
        if (readFirst) {
            m_loaded = false;
            step(view, commands);
            return;
        }
        m_inFlight.assign(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);
        answerInFlight(commands);
        return;
    }
    m_rotating = m_headBytes >= m_settings.segmentBytes;
    if (m_rotating && m_sealedFor != m_version) {
        seal(view, commands);
        return;
    }
    OrderSegment head;
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
            if (!m_changes.contains(key) && !expired(record.changedMs, view)) {
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
    std::string text = formatOrderSegment(m_batchSegment);
    m_batchBytes = recordBytes(text, m_batchSegment);
    m_paceAt = std::max(m_paceAt, view.now) + m_settings.gather;
    m_phase = Phase::Swap;
    m_call = ++m_lastCall;
    commands.push_back(SwapOrders{m_call, headKey(), m_version, std::move(text)});
}

void OrderShard::seal(const OrderView &view, OrderCommands &commands)
{
    if (m_sealVersion != m_version) {
        // The records of another head version: the number is chosen anew, and what was sealed for the old version
        // counts as another writer's.
        m_sealVersion = m_version;
        m_sealNumber = m_next;
        m_sealNewestMs = 0;
        OrderSegment sealed;
        for (const auto &[key, record] : m_head) {
            if (!expired(record.changedMs, view)) {
                sealed.records.push_back(record);
                m_sealNewestMs = std::max(m_sealNewestMs, record.changedMs);
            }
        }
        m_sealText = formatOrderSegment(sealed);
    }
    m_phase = Phase::Seal;
    m_call = ++m_lastCall;
    commands.push_back(SwapOrders{m_call, segmentKey(m_sealNumber), 0, m_sealText});
}

void OrderShard::finishBatch(std::uint64_t version, const OrderView &view, OrderCommands &commands)
{
    m_version = version;
    m_next = m_batchSegment.next;
    m_refs = std::move(m_batchSegment.sealed);
    m_headBytes = m_batchBytes;
    std::erase_if(m_removed, [&](std::uint64_t number) { return !refersTo(number); });
    m_loaded = true;
    m_confirmedAt = view.now;
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
            commands.push_back(RemoveOrders{0, segmentKey(stray->first), stray->second});
        }
        stray = m_strays.erase(stray);
    }
    answerInFlight(commands);
    if (!m_queue.empty()) {
        m_queuedAt = view.now;
    }
    resolveSent(view);
}

void OrderShard::answerInFlight(OrderCommands &commands)
{
    for (Operation &operation : m_inFlight) {
        if (const auto *claim = std::get_if<ClaimOrder>(&operation.order)) {
            give(*claim, operation.verdict, std::move(operation.answer), commands);
        } else if (const auto &settle = std::get<SettleOrder>(operation.order); settle.state != OrderState::Claimed) {
            commands.push_back(ConfirmSettle{settle.claim});
        }
    }
    m_inFlight.clear();
}

void OrderShard::requeue(bool mayHaveTakenEffect)
{
    for (auto operation = m_inFlight.rbegin(); operation != m_inFlight.rend(); ++operation) {
        operation->sent = operation->sent || mayHaveTakenEffect;
        m_queue.push_front(std::move(*operation));
    }
    m_inFlight.clear();
    m_changes.clear();
}

void OrderShard::headRead(const StoreValue &value, const OrderView &view, OrderCommands &commands)
{
    Result<OrderSegment> parsed = parseOrderSegment(value.value);
    if (!parsed || value.version < m_version) {
        // Without the records nothing may run.
        m_damage = parsed ? headKey() + ": the store went back to an older version"
                          : headKey() + ": " + parsed.error().message;
        requeue(true);
        backOff(view);
        return;
    }
    OrderSegment &head = parsed.value();
    if (!m_inFlight.empty()) {
        if (value.version > m_version && head.writer == m_writer && head.batch == m_batch) {
            finishBatch(value.version, view, commands);
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
    for (OrderRecord &record : head.records) {
        record.origin = shared(*record.origin);
        put(m_head, std::move(record));
    }
    findMissingSegment();
    if (m_readNumber == 0) {
        finishLoad(view);
    }
}

void OrderShard::segmentRead(const StoreValue &value, const OrderView &view)
{
    const std::uint64_t number = std::exchange(m_readNumber, 0);
    const auto ref
        = std::find_if(m_refs.begin(), m_refs.end(), [&](const SealedRef &item) { return item.number == number; });
    if (ref == m_refs.end()) {
        return;
    }
    const bool old = expired(ref->newestMs, view);
    Result<OrderSegment> parsed = parseOrderSegment(value.value);
    if (value.version == 0 && old) {
        m_removed.insert(number);
    } else if (value.version == 0 || !parsed) {
        // The head that was read may be old by now and the segment expired since; if not, records are missing and
        // nothing may run.
        m_damage = segmentKey(number) + (parsed ? ": the segment is missing" : ": " + parsed.error().message);
        backOff(view);
        return;
    } else {
        for (OrderRecord &record : parsed.value().records) {
            record.origin = shared(*record.origin);
            put(m_sealed, std::move(record));
        }
        m_loadedSegments[number] = value.version;
    }
    findMissingSegment();
    if (m_readNumber == 0) {
        finishLoad(view);
    }
}

void OrderShard::finishLoad(const OrderView &view)
{
    m_loaded = true;
    m_confirmedAt = m_callStarted;
    m_damage.clear();
    resolveSent(view);
}

void OrderShard::resolveSent(const OrderView &view)
{
    if (m_uncertain && m_version <= m_uncertainVersion) {
        return;
    }
    // Every earlier swap has failed or is part of the records in memory.
    m_uncertain = false;
    for (Operation &operation : m_queue) {
        const auto *claim = std::get_if<ClaimOrder>(&operation.order);
        const OrderRecord *record = claim ? find(claim->key, view) : nullptr;
        operation.sent = record && isClaim(*record, claim->claim);
    }
}

void OrderShard::findMissingSegment()
{
    m_readNumber = 0;
    for (const SealedRef &ref : m_refs) {
        if (!m_loadedSegments.contains(ref.number) && !m_removed.contains(ref.number)) {
            m_readNumber = ref.number;
            return;
        }
    }
}

void OrderShard::expireQueue(const OrderView &view, OrderCommands &commands)
{
    for (auto operation = m_queue.begin(); operation != m_queue.end();) {
        const auto *claim = std::get_if<ClaimOrder>(&operation->order);
        // A claim that was in a swap of unknown effect stays: Busy would say that it is not recorded.
        if (claim && !operation->sent && claim->deadline <= view.now) {
            give(*claim, Verdict::Busy, nullptr, commands);
            operation = m_queue.erase(operation);
        } else {
            ++operation;
        }
    }
}

void OrderShard::removeExpiredSegment(const OrderView &view, OrderCommands &commands)
{
    if (m_removeCall != 0) {
        return;
    }
    for (const SealedRef &ref : m_refs) {
        // One margin more than the expiry of records: an entry whose clock is behind must not miss the segment.
        const auto loaded = m_loadedSegments.find(ref.number);
        if (loaded != m_loadedSegments.end() && expired(ref.newestMs + milliseconds(OrderClockMargin), view)) {
            m_removeCall = ++m_lastCall;
            m_removeNumber = ref.number;
            commands.push_back(RemoveOrders{m_removeCall, segmentKey(ref.number), loaded->second});
            return;
        }
    }
}

void OrderShard::dropExpired(const OrderView &view)
{
    for (RecordMap *map : {&m_head, &m_sealed}) {
        std::erase_if(*map, [&](const auto &item) {
            const bool gone = expired(item.second.changedMs, view);
            if (gone) {
                addBytes(item.second, -1);
            }
            return gone;
        });
    }
}

void OrderShard::startRead(Phase phase, std::string key, OrderCommands &commands)
{
    m_phase = phase;
    m_call = ++m_lastCall;
    commands.push_back(ReadOrders{m_call, std::move(key)});
}

void OrderShard::backOff(const OrderView &view)
{
    m_retryAt = view.now + m_settings.retry;
}

OrderShard::Decision OrderShard::decide(const ClaimOrder &order, const OrderRecord *record, const OrderView &view) const
{
    if (!record || record->state == OrderState::Abandoned) {
        const bool own = record && isClaim(*record, order.claim);
        if (own) {
            return {Verdict::Busy};
        }
        if (order.issuedMs > 0 && order.issuedMs + milliseconds(m_settings.retention) < unixMs(view.wall)) {
            return {Verdict::Unknown};  // its record may have been dropped
        }
        if (!record && records() + m_changes.size() >= m_settings.shardRecords) {
            return {Verdict::Busy};
        }
        return {Verdict::Run, nullptr, true};
    }
    const bool own = isClaim(*record, order.claim);
    if (own) {
        return {record->state == OrderState::Claimed ? Verdict::Run : Verdict::Unknown};
    }
    if (record->bodyHash != order.bodyHash) {
        return {Verdict::KeyConflict};
    }
    switch (record->state) {
    case OrderState::Claimed:
        return {std::find(view.live.begin(), view.live.end(), *record->origin) != view.live.end() ? Verdict::InProgress
                                                                                                  : Verdict::Unknown};
    case OrderState::Finished:
        if (record->answer && record->answer->bodyKept) {
            return {Verdict::Replay, record->answer};
        }
        return {Verdict::Unknown};
    case OrderState::Abandoned:
    case OrderState::Unknown:
        break;
    }
    return {Verdict::Unknown};
}

bool OrderShard::applySettle(const SettleOrder &order, const OrderView &view)
{
    const OrderRecord *record = findWithChanges(order.key, view);
    const bool own = record && isClaim(*record, order.claim);
    const bool ran = order.state == OrderState::Finished || order.state == OrderState::Unknown;
    if (record && !own && !(ran && record->state == OrderState::Abandoned)) {
        return false;  // the key belongs to another claim by now
    }
    switch (order.state) {
    case OrderState::Claimed:
        if (!record || record->state != OrderState::Claimed) {
            return false;
        }
        break;
    case OrderState::Abandoned:
        // Without a record one is written all the same: it stops a copy of the claim that is still under way.
        if (record ? record->state != OrderState::Claimed : records() + m_changes.size() >= m_settings.shardRecords) {
            return false;
        }
        break;
    case OrderState::Finished:
    case OrderState::Unknown:
        if (record && (record->state == OrderState::Finished || record->state == OrderState::Unknown)) {
            return false;
        }
        break;
    }
    OrderRecord changed{order.key,   order.bodyHash, shared(order.claim.origin), order.claim.sequence, m_batchMs,
                        order.state, nullptr};
    if (record && own) {
        changed.bodyHash = record->bodyHash;
        changed.changedMs = std::max(changed.changedMs, record->changedMs);
    }
    if (order.state == OrderState::Finished && order.answer) {
        const std::size_t size = order.answer->body.size();
        if (order.answer->bodyKept && size <= m_settings.keptBody && m_bodyBytes + size <= m_settings.shardBytes) {
            changed.answer = order.answer;
        } else {
            changed.answer = std::make_shared<const KeptAnswer>(
                KeptAnswer{order.answer->status, order.answer->contentType, {}, false});
        }
    }
    m_changes[order.key] = std::move(changed);
    return true;
}

const OrderRecord *OrderShard::find(const OrderKeyHash &key, const OrderView &view) const
{
    for (const RecordMap *map : {&m_head, &m_sealed}) {
        const auto found = map->find(key);
        if (found != map->end()) {
            return expired(found->second.changedMs, view) ? nullptr : &found->second;
        }
    }
    return nullptr;
}

const OrderRecord *OrderShard::findWithChanges(const OrderKeyHash &key, const OrderView &view) const
{
    const auto found = m_changes.find(key);
    return found != m_changes.end() ? &found->second : find(key, view);
}

bool OrderShard::expired(std::int64_t changedMs, const OrderView &view) const
{
    return changedMs + retentionMs() < unixMs(view.wall);
}

std::int64_t OrderShard::retentionMs() const
{
    return milliseconds(m_settings.retention + OrderClockMargin);
}

bool OrderShard::refersTo(std::uint64_t number) const
{
    return std::any_of(m_refs.begin(), m_refs.end(), [&](const SealedRef &ref) { return ref.number == number; });
}

std::shared_ptr<const ClaimOrigin> OrderShard::shared(const ClaimOrigin &origin)
{
    const auto found = std::find_if(m_origins.rbegin(), m_origins.rend(),
                                    [&](const std::shared_ptr<const ClaimOrigin> &item) { return *item == origin; });
    if (found != m_origins.rend()) {
        return *found;
    }
    std::erase_if(m_origins, [](const auto &item) { return item.use_count() == 1; });
    return m_origins.emplace_back(std::make_shared<const ClaimOrigin>(origin));
}

std::string OrderShard::headKey() const
{
    return "orders/" + std::to_string(m_shard);
}

std::string OrderShard::segmentKey(std::uint64_t number) const
{
    return headKey() + "/" + std::to_string(number);
}

void OrderShard::addBytes(const OrderRecord &record, int sign)
{
    const std::size_t bytes = record.answer ? record.answer->body.size() : 0;
    m_bodyBytes = sign > 0 ? m_bodyBytes + bytes : m_bodyBytes - std::min(m_bodyBytes, bytes);
}

void OrderShard::put(RecordMap &map, OrderRecord record)
{
    addBytes(record, 1);
    const auto [at, added] = map.try_emplace(record.key);
    if (!added) {
        addBytes(at->second, -1);
    }
    at->second = std::move(record);
}

}
