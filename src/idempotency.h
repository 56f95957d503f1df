#pragma once

// Idempotency keys: before a request with a key is sent to an upstream, a record of the key is written to the
// coordination service, so that the request runs at most once. An entry claims the key at the owner of the key's shard
// and later reports the end of the run as an update of the claim. The records of a shard are stored in one value, the
// head, and in sealed segments that are split off from the head when it has grown.
//
// Hashes and the stored form are implemented in idempotency_records.cpp, the shard in idempotency.cpp.
//
// Index
// [1] States of a record and verdicts on a claim
// [2] Keys and answers
// [3] Claims, records and their stored form
// [4] Effects
// [5] IdempotencyShard

#include "membership.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

namespace briarvane
{

// [1] States of a record and verdicts on a claim ----------------------------------------------------------------------

enum class IdempotencyState {
    Claimed,    // the request may be running
    Finished,   // the upstream's answer was received
    Abandoned,  // the request was not sent; another claim may run
    Unknown,    // the request was sent and its result is not known
};

template<>
struct EnumNames<IdempotencyState>
{
    static constexpr std::array<EnumName<IdempotencyState>, 4> names = {{{IdempotencyState::Claimed, "claimed"},
                                                                         {IdempotencyState::Finished, "finished"},
                                                                         {IdempotencyState::Abandoned, "abandoned"},
                                                                         {IdempotencyState::Unknown, "unknown"}}};
};

/// Decision on a claim.
enum class Verdict {
    Run,          // this claim is the only one that may send the request
    InProgress,   // another claim of the key is running
    Replay,       // the request has already run; its answer is attached
    Unknown,      // the request may have run, but its answer is not stored
    KeyConflict,  // the key was used with another body
    Busy,         // the key could not be recorded in time, so this claim may not run
};

template<>
struct EnumNames<Verdict>
{
    static constexpr std::array<EnumName<Verdict>, 6> names = {{{Verdict::Run, "run"},
                                                                {Verdict::InProgress, "in-progress"},
                                                                {Verdict::Replay, "replay"},
                                                                {Verdict::Unknown, "unknown"},
                                                                {Verdict::KeyConflict, "key-conflict"},
                                                                {Verdict::Busy, "busy"}}};
};

// [2] Keys and answers ------------------------------------------------------------------------------------------------

/// 128-bit hash of service, tenant and key.
struct IdempotencyKeyHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const IdempotencyKeyHash &) const = default;
};

IdempotencyKeyHash hashIdempotencyKey(const ServiceId &service, const TenantId &tenant, std::string_view key);
std::uint64_t hashRequestBody(std::string_view method, std::string_view target, std::string_view body);
/// The time in a UUIDv7 key in Unix milliseconds, 0 for any other key.
std::int64_t idempotencyKeyIssuedMs(std::string_view key);

/// An upstream's answer as stored for retries of the request.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool bodyStored = false;  // false: `body` is empty because the actual body was too large or incomplete
};

struct IdempotencySettings
{
    std::uint32_t shards = 16;
    Duration retention{3'600'000'000};  // time that a record is kept after its last change
    std::size_t maxStoredBody = 4096;   // largest answer body in bytes that is stored
    /// At this size the head is rotated: its records move to a sealed segment.
    std::size_t segmentBytes = std::size_t{64} * 1024;
    std::size_t maxRecords = 50'000;                           // per shard; further new keys get Verdict::Busy
    std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;  // total size of the answer bodies stored in a shard
    /// Interval between the batches of a shard under load; 16 shards send up to 320 batches per second.
    Duration batchInterval{50'000};
    Duration updateBatchDelay{100'000};  // a batch that contains no claims is delayed by this
    Duration retryDelay{100'000};        // delay after a failed call to the coordination service
    /// Verdicts other than Replay and Busy are given from the records in memory only if the coordination service
    /// confirmed these records at most this long ago, or if they were read after the claim had arrived.
    Duration maxMemoryAge{1'000'000};
    std::size_t queueLimit = 20'000;  // operations that wait in one shard; further claims get Verdict::Busy
};

/// The clocks of entries and callers are assumed to differ by at most this. Records are kept for this much longer than
/// the retention.
constexpr Duration IdempotencyClockMargin{60'000'000};

// [3] Claims, records and their stored form ---------------------------------------------------------------------------

/// Identifies the process that makes claims: an entry, from one of its starts to its end.
struct ClaimOrigin
{
    EntryId entry;
    std::uint64_t startId = 0;
    auto operator<=>(const ClaimOrigin &) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Identifies a claim. Sequence numbers are not reused within one start.
struct ClaimId
{
    ClaimOrigin origin;
    std::uint64_t sequence = 0;
    auto operator<=>(const ClaimId &) const = default;  // NOLINT(modernize-use-nullptr)
};

struct IdempotencyKeyHasher
{
    std::size_t operator()(const IdempotencyKeyHash &key) const
    {
        return static_cast<std::size_t>(key.low);  // the key is a hash itself
    }
};

struct IdempotencyRecord
{
    IdempotencyKeyHash key;
    std::uint64_t bodyHash = 0;
    std::shared_ptr<const ClaimOrigin> origin;
    std::uint64_t sequence = 0;
    std::int64_t changedMs = 0;  // Unix time of the last change, from which the retention counts
    IdempotencyState state = IdempotencyState::Claimed;
    std::shared_ptr<const StoredAnswer> answer;  // only set in state Finished
};

/// Reference in the head to a sealed segment.
struct SealedRef
{
    std::uint64_t number = 0;
    std::int64_t newestMs = 0;  // latest `changedMs` of the segment's records
};

/// Content of the head or of a sealed segment.
struct IdempotencySegment
{
    std::vector<IdempotencyRecord> records;

    // Only in the head
    ClaimOrigin writer;       // process that wrote this version of the head
    std::uint64_t batch = 0;  // number of the batch among those of `writer`
    std::uint64_t next = 1;   // lowest number for a new sealed segment
    std::vector<SealedRef> sealed;
};

std::string formatIdempotencySegment(const IdempotencySegment &segment);
Result<IdempotencySegment> parseIdempotencySegment(const std::string &text);  // empty text: an empty segment

struct ClaimRequest
{
    IdempotencyKeyHash key;
    std::uint64_t bodyHash = 0;
    ClaimId claim;
    std::int64_t issuedMs = 0;  // Unix time in the key; 0: the key contains no time
    TimePoint deadline;
};

/// Update of a claim that was given Verdict::Run, or that its claimant gives up. State Claimed renews the record of a
/// long run, so that the record does not expire during the run; the other states end the claim.
struct ClaimUpdate
{
    IdempotencyKeyHash key;
    std::uint64_t bodyHash = 0;
    ClaimId claim;
    IdempotencyState state = IdempotencyState::Unknown;
    std::shared_ptr<const StoredAnswer> answer;
    /// Only set in state Abandoned: the claim was sent only once, to the owner that receives this update.
    bool sentOnlyHere = false;
};

/// Input to decisions besides the state of the shard.
struct IdempotencyContext
{
    TimePoint now;
    WallTime wall;
    std::vector<ClaimOrigin> live;  // current starts of the live entries
};

// [4] Effects ---------------------------------------------------------------------------------------------------------

/// Call to the coordination service: read the value of `key`. The result goes to IdempotencyShard::readDone().
struct ReadRecords
{
    std::uint64_t call = 0;
    std::string key;
};

/// Call to the coordination service: write `value` if the version of `key` is `expected` (0: the key does not exist).
/// The result goes to swapDone().
struct SwapRecords
{
    std::uint64_t call = 0;
    std::string key;
    std::uint64_t expected = 0;
    std::string value;
};

/// Call to the coordination service: remove `key` if its version is `expected`. The result goes to removeDone().
struct RemoveRecords
{
    std::uint64_t call = 0;  // 0: the result is not needed
    std::string key;
    std::uint64_t expected = 0;
};

/// Message to the claimant: the verdict on its claim.
struct SendVerdict
{
    ClaimId claim;
    IdempotencyKeyHash key;
    Verdict verdict = Verdict::Busy;
    std::shared_ptr<const StoredAnswer> answer;
};

/// Message to the claimant: the update that ends its claim is stored, or has nothing to change in the stored records.
struct ConfirmClaimUpdate
{
    ClaimId claim;
};

using IdempotencyEffect = std::variant<ReadRecords, SwapRecords, RemoveRecords, SendVerdict, ConfirmClaimUpdate>;
using IdempotencyEffects = std::vector<IdempotencyEffect>;

// [5] IdempotencyShard ------------------------------------------------------------------------------------------------

/// Owner of a shard: holds the shard's records as last confirmed by the coordination service, and writes changes in
/// batches, of which at most one is in flight. The owner performs no calls itself. Each event returns the effects that
/// the caller has to carry out, and the results of calls to the coordination service are passed in as further events.
///
/// Several entries may run an owner of the same shard at the same time. A verdict that needs a new record is given only
/// after the owner's compare-and-swap of the head has succeeded, so two owners cannot both let a key run.
class IdempotencyShard
{
public:
    IdempotencyShard(std::uint32_t shard, ClaimOrigin writer, IdempotencySettings settings);

    // Events
    IdempotencyEffects claim(ClaimRequest request, const IdempotencyContext &context);
    IdempotencyEffects settle(ClaimUpdate request, const IdempotencyContext &context);
    IdempotencyEffects readDone(std::uint64_t call, const Result<StoreValue> &result,
                                const IdempotencyContext &context);
    IdempotencyEffects swapDone(std::uint64_t call, const Result<std::uint64_t> &result,
                                const IdempotencyContext &context);
    IdempotencyEffects removeDone(std::uint64_t call, const Result<bool> &result, const IdempotencyContext &context);
    IdempotencyEffects tick(const IdempotencyContext &context);

    std::optional<TimePoint> nextTick() const;  // when tick() is to be called; none: only after another event
    bool idle() const;                          // nothing is queued or in flight
    void unload();                              // drops the records if idle; the next operation reads them again
    std::size_t records() const;
    std::uint64_t rotations() const;
    const std::string &loadError() const;  // why the stored records cannot be used; empty: no error

private:
    using RecordMap = std::unordered_map<IdempotencyKeyHash, IdempotencyRecord, IdempotencyKeyHasher>;
    enum class Phase { Idle, ReadHead, ReadSegment, Seal, ReadSeal, Swap };

    struct Operation
    {
        std::variant<ClaimRequest, ClaimUpdate> request;
        bool maybeStored = false;      // the operation was part of a swap that may have taken effect
        bool readSinceQueued = false;  // a read of the head was started after the operation had been queued
        Verdict verdict = Verdict::Busy;
        std::shared_ptr<const StoredAnswer> answer;
    };

    struct Decision
    {
        Verdict verdict = Verdict::Busy;
        std::shared_ptr<const StoredAnswer> answer;
        bool record = false;  // a new record is needed
    };

    /// Returns whether the claim is a duplicate of one that waits here or was rejected. The duplicate of a rejected
    /// claim gets Verdict::Busy.
    /// Duplicates must not be recorded: the claimant acts on the first verdict only, so the second record would remain
    /// in state Claimed.
    bool handleDuplicate(const ClaimRequest &request, const IdempotencyContext &context, IdempotencyEffects &effects);
    void sendVerdict(const ClaimRequest &request, Verdict verdict, std::shared_ptr<const StoredAnswer> answer,
                     IdempotencyEffects &effects);
    /// Starts the next call to the coordination service if none is in flight and one is due.
    void step(const IdempotencyContext &context, IdempotencyEffects &effects);
    void buildBatch(const IdempotencyContext &context, IdempotencyEffects &effects);
    void seal(const IdempotencyContext &context, IdempotencyEffects &effects);
    void finishBatch(std::uint64_t version, const IdempotencyContext &context, IdempotencyEffects &effects);
    void answerInFlight(IdempotencyEffects &effects);
    void requeue(bool mayHaveTakenEffect);
    void headRead(const StoreValue &value, const IdempotencyContext &context, IdempotencyEffects &effects);
    void segmentRead(const StoreValue &value, const IdempotencyContext &context);
    void finishLoad(const IdempotencyContext &context);
    void resolveUncertain(const IdempotencyContext &context);
    void expireQueue(const IdempotencyContext &context, IdempotencyEffects &effects);
    void removeExpiredSegment(const IdempotencyContext &context, IdempotencyEffects &effects);
    void startRead(Phase phase, std::string key, IdempotencyEffects &effects);
    void backOff(const IdempotencyContext &context);
    void dropExpired(const IdempotencyContext &context);
    void chooseSegmentToRead();
    std::int64_t retentionMs() const;
    bool refersTo(std::uint64_t number) const;

    Decision decide(const ClaimRequest &request, const IdempotencyRecord *record,
                    const IdempotencyContext &context) const;
    bool applyUpdate(const ClaimUpdate &request, const IdempotencyContext &context);
    const IdempotencyRecord *find(const IdempotencyKeyHash &key, const IdempotencyContext &context) const;
    const IdempotencyRecord *findWithChanges(const IdempotencyKeyHash &key, const IdempotencyContext &context) const;
    bool expired(std::int64_t changedMs, const IdempotencyContext &context) const;
    std::shared_ptr<const ClaimOrigin> internOrigin(const ClaimOrigin &origin);
    std::string headKey() const;
    std::string segmentKey(std::uint64_t number) const;
    void countBodyBytes(const IdempotencyRecord &record, int sign);
    void insertRecord(RecordMap &map, IdempotencyRecord record);

    const std::uint32_t m_shard;
    const ClaimOrigin m_writer;
    const IdempotencySettings m_settings;

    // As confirmed by the coordination service at m_version
    bool m_loaded = false;
    std::uint64_t m_version = 0;  // of the head
    std::uint64_t m_next = 1;     // lowest number for a new sealed segment
    RecordMap m_head;
    RecordMap m_sealed;  // records of all loaded segments; of those with the same key, the one from the newest segment
    std::vector<SealedRef> m_sealedRefs;                      // references in the head
    std::map<std::uint64_t, std::uint64_t> m_loadedSegments;  // by segment number: stored version of the segment
    std::set<std::uint64_t> m_removedSegments;                // expired and deleted, but the head still refers to them
    TimePoint m_confirmedAt;                                  // the records were current at this time

    // Call in flight
    Phase m_phase = Phase::Idle;
    std::uint64_t m_call = 0;          // 0: none
    std::uint64_t m_removeCall = 0;    // removal of an expired segment, independent of m_call; 0: none
    std::uint64_t m_removeNumber = 0;  // the segment that m_removeCall removes
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_segmentToRead = 0;  // next segment that has to be loaded; 0: none

    // Batch
    std::deque<Operation> m_queue;
    std::vector<Operation> m_inFlight;
    RecordMap m_changes;  // records that the batch adds or replaces
    std::uint64_t m_batch = 0;
    bool m_swapUncertain = false;  // a swap that expects m_uncertainVersion may still take effect
    std::uint64_t m_uncertainVersion = 0;
    std::uint64_t m_sealNumber = 0;  // segment that the head's records are being moved to; 0: none
    std::string m_sealText;
    std::uint64_t m_sealedForVersion = 0;  // head version whose records are in segment m_sealNumber; 0: none
    std::uint64_t m_sealStoreVersion = 0;  // stored version of segment m_sealNumber
    /// Maps the number of each segment that another writer sealed to its stored version. Once a head of this writer is
    /// confirmed, no head can newly refer to one of them, so those that the confirmed head does not refer to are
    /// removed.
    std::map<std::uint64_t, std::uint64_t> m_unreferencedSegments;
    std::int64_t m_batchMs = 0;  // Unix time of the batch
    bool m_rotating = false;     // the batch moves the head's records to a sealed segment

    IdempotencySegment m_batchSegment;  // head that the batch writes
    std::size_t m_batchBytes = 0;
    std::uint64_t m_sealTextVersion = 0;  // head version that m_sealText was made from
    std::int64_t m_sealNewestMs = 0;
    std::size_t m_headBytes = 0;
    TimePoint m_callStarted;  // start of the last read of the head
    TimePoint m_pacedUntil;   // the batches sent so far fill the time until then at a rate of one per `batchInterval`

    /// By claim: deadline of a claim that got a verdict other than Run, or that was abandoned while it was queued and
    /// could not have been stored yet.
    std::map<ClaimId, TimePoint> m_rejectedClaims;
    TimePoint m_pruneRejectedAt;  // next removal of rejected claims that are past their deadline

    TimePoint m_flushAt;        // earliest time of the next batch
    TimePoint m_retryAt;        // no call is started before this time
    TimePoint m_dropExpiredAt;  // next removal of expired records from memory
    TimePoint m_queuedAt;       // arrival of the oldest operation in the queue, or the end of the last batch
    std::size_t m_bodyBytes = 0;
    std::uint64_t m_rotations = 0;
    std::string m_loadError;
    std::vector<std::shared_ptr<const ClaimOrigin>> m_origins;  // shared by the records
};

}
