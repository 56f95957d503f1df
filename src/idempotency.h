#pragma once

// Idempotency keys: each key is recorded in the store before its request is sent. Hashes and stored form are in
// idempotency_records.cpp, the shard is in idempotency.cpp.
//
// Index
// [1] Names
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

// [1] Names -----------------------------------------------------------------------------------------------------------

enum class IdempotencyState { Claimed, Finished, Abandoned, Unknown };

template<>
struct EnumNames<IdempotencyState>
{
    static constexpr std::array<EnumName<IdempotencyState>, 4> names = {{{IdempotencyState::Claimed, "claimed"},
                                                                         {IdempotencyState::Finished, "finished"},
                                                                         {IdempotencyState::Abandoned, "abandoned"},
                                                                         {IdempotencyState::Unknown, "unknown"}}};
};

enum class Verdict {
    Run,          // this claim is the only one that may send the request
    InProgress,   // another claim of the key is running
    Replay,       // the first run's answer is attached
    Unknown,      // it may have run; the answer is not known here
    KeyConflict,  // the key was used with another body
    Busy,         // the key could not be recorded; nothing was run
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

/// 128 bits of service, tenant and key.
struct IdempotencyKeyHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const IdempotencyKeyHash &) const = default;
};

IdempotencyKeyHash hashIdempotencyKey(const ServiceId &service, const TenantId &tenant, std::string_view key);
std::uint64_t hashRequestBody(std::string_view method, std::string_view target, std::string_view body);
/// Unix milliseconds in a UUIDv7 key, 0 for any other key.
std::int64_t idempotencyKeyIssuedMs(std::string_view key);

/// An upstream's answer as kept for a retry.
struct KeptAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool bodyKept = false;
};

struct IdempotencySettings
{
    std::uint32_t shards = 16;
    Duration retention{3'600'000'000};
    std::size_t keptBody = 4096;                             // bytes of an answer that are kept in the store
    std::size_t segmentBytes = std::size_t{64} * 1024;       // the head rotates at this size
    std::size_t shardRecords = 50'000;                       // at the cap new keys are refused
    std::size_t shardBytes = std::size_t{16} * 1024 * 1024;  // of kept bodies; above it a body is not kept
    Duration gather{50'000};         // a shard's batches under load; 16 shards send up to 320 a second
    Duration settleGather{100'000};  // a batch without claims waits this long
    Duration retry{100'000};         // after a call that the store refused
    Duration staleAfter{1'000'000};  // a verdict from memory needs store contact within this time
    std::size_t queue = 20'000;      // claims that wait in one shard
};

/// Clocks of entries and callers are assumed to agree within this time. Records are kept longer by it.
constexpr Duration IdempotencyClockMargin{60'000'000};

// [3] Claims, records and their stored form ---------------------------------------------------------------------------

/// A process that makes claims.
struct ClaimOrigin
{
    EntryId entry;
    std::uint64_t startId = 0;
    auto operator<=>(const ClaimOrigin &) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Names one claim. Sequences are not reused within a start.
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
        return static_cast<std::size_t>(key.low);  // already a hash
    }
};

struct IdempotencyRecord
{
    IdempotencyKeyHash key;
    std::uint64_t bodyHash = 0;
    std::shared_ptr<const ClaimOrigin> origin;
    std::uint64_t sequence = 0;
    std::int64_t changedMs = 0;  // Unix time of the last change; retention counts from here
    IdempotencyState state = IdempotencyState::Claimed;
    std::shared_ptr<const KeptAnswer> answer;  // with Finished
};

struct SealedRef
{
    std::uint64_t number = 0;
    std::int64_t newestMs = 0;
};

/// Content of the head or of a sealed segment.
struct IdempotencySegment
{
    std::vector<IdempotencyRecord> records;
    ClaimOrigin writer;       // head only, as are the following
    std::uint64_t batch = 0;  // of the writer
    std::uint64_t next = 1;   // lowest number that a new segment may get
    std::vector<SealedRef> sealed;
};

std::string formatIdempotencySegment(const IdempotencySegment &segment);
Result<IdempotencySegment> parseIdempotencySegment(const std::string &text);  // empty text: an empty segment

struct ClaimRequest
{
    IdempotencyKeyHash key;
    std::uint64_t bodyHash = 0;
    ClaimId claim;
    std::int64_t issuedMs = 0;  // 0: the key carries no time
    TimePoint deadline;
};

/// Claimed renews the record of a long run, so that it is not forgotten while it runs.
struct SettleRequest
{
    IdempotencyKeyHash key;
    std::uint64_t bodyHash = 0;
    ClaimId claim;
    IdempotencyState state = IdempotencyState::Unknown;
    std::shared_ptr<const KeptAnswer> answer;
    bool onlyHere = false;  // Abandoned: the claim was sent to this owner once and to no other
};

/// What a decision may depend on besides the shard's own state.
struct IdempotencyContext
{
    TimePoint now;
    WallTime wall;
    std::vector<ClaimOrigin> live;  // entries that are live and their present starts
};

// [4] Effects ---------------------------------------------------------------------------------------------------------

struct ReadRecords
{
    std::uint64_t call = 0;
    std::string key;
};

struct SwapRecords
{
    std::uint64_t call = 0;
    std::string key;
    std::uint64_t expected = 0;
    std::string value;
};

struct RemoveRecords
{
    std::uint64_t call = 0;
    std::string key;
    std::uint64_t expected = 0;
};

struct GiveVerdict
{
    ClaimId claim;
    IdempotencyKeyHash key;
    Verdict verdict = Verdict::Busy;
    std::shared_ptr<const KeptAnswer> answer;
};

/// The settle is in the store or has nothing to change there.
struct ConfirmSettle
{
    ClaimId claim;
};

using IdempotencyEffect = std::variant<ReadRecords, SwapRecords, RemoveRecords, GiveVerdict, ConfirmSettle>;
using IdempotencyEffects = std::vector<IdempotencyEffect>;

// [5] IdempotencyShard ------------------------------------------------------------------------------------------------

/// The shard's records as last confirmed by the store, and at most one batch in flight. Any number of entries may run
/// one for the same shard: a verdict that needs a record is given only after this entry's swap of the head succeeded.
class IdempotencyShard
{
public:
    IdempotencyShard(std::uint32_t shard, ClaimOrigin writer, IdempotencySettings settings);

    // Events; each returns what is to be done
    IdempotencyEffects claim(ClaimRequest request, const IdempotencyContext &context);
    IdempotencyEffects settle(SettleRequest request, const IdempotencyContext &context);
    IdempotencyEffects readDone(std::uint64_t call, const Result<StoreValue> &result,
                                const IdempotencyContext &context);
    IdempotencyEffects swapDone(std::uint64_t call, const Result<std::uint64_t> &result,
                                const IdempotencyContext &context);
    IdempotencyEffects removeDone(std::uint64_t call, const Result<bool> &result, const IdempotencyContext &context);
    IdempotencyEffects tick(const IdempotencyContext &context);

    std::optional<TimePoint> nextTick() const;  // when tick() has something to do
    bool idle() const;                          // nothing queued or in flight
    void unload();                              // forgets the records; they are read again on the next use
    std::size_t records() const;
    std::uint64_t rotations() const;
    const std::string &damage() const;  // why a stored value cannot be read; empty: none

private:
    using RecordMap = std::unordered_map<IdempotencyKeyHash, IdempotencyRecord, IdempotencyKeyHasher>;
    enum class Phase { Idle, ReadHead, ReadSegment, Seal, ReadSeal, Swap };

    struct Operation
    {
        std::variant<ClaimRequest, SettleRequest> request;
        bool sent = false;       // was in a swap whose effect is not known
        bool readAgain = false;  // the head was read since this arrived
        Verdict verdict = Verdict::Busy;
        std::shared_ptr<const KeptAnswer> answer;
    };

    struct Decision
    {
        Verdict verdict = Verdict::Busy;
        std::shared_ptr<const KeptAnswer> answer;
        bool record = false;  // a new record is needed
    };

    /// A claim whose first copy waits here, or was told not to run, gets no record: its claimant goes by the first
    /// verdict, so nobody would settle one.
    bool answerCopy(const ClaimRequest &request, const IdempotencyContext &context, IdempotencyEffects &effects);
    void give(const ClaimRequest &request, Verdict verdict, std::shared_ptr<const KeptAnswer> answer,
              IdempotencyEffects &effects);
    void step(const IdempotencyContext &context, IdempotencyEffects &effects);
    void buildBatch(const IdempotencyContext &context, IdempotencyEffects &effects);
    void seal(const IdempotencyContext &context, IdempotencyEffects &effects);
    void finishBatch(std::uint64_t version, const IdempotencyContext &context, IdempotencyEffects &effects);
    void answerInFlight(IdempotencyEffects &effects);
    void requeue(bool mayHaveTakenEffect);
    void headRead(const StoreValue &value, const IdempotencyContext &context, IdempotencyEffects &effects);
    void segmentRead(const StoreValue &value, const IdempotencyContext &context);
    void finishLoad(const IdempotencyContext &context);
    void resolveSent(const IdempotencyContext &context);
    void expireQueue(const IdempotencyContext &context, IdempotencyEffects &effects);
    void removeExpiredSegment(const IdempotencyContext &context, IdempotencyEffects &effects);
    void startRead(Phase phase, std::string key, IdempotencyEffects &effects);
    void backOff(const IdempotencyContext &context);
    void dropExpired(const IdempotencyContext &context);
    void findMissingSegment();
    std::int64_t retentionMs() const;
    bool refersTo(std::uint64_t number) const;

    Decision decide(const ClaimRequest &request, const IdempotencyRecord *record,
                    const IdempotencyContext &context) const;
    bool applySettle(const SettleRequest &request, const IdempotencyContext &context);
    const IdempotencyRecord *find(const IdempotencyKeyHash &key, const IdempotencyContext &context) const;
    const IdempotencyRecord *findWithChanges(const IdempotencyKeyHash &key, const IdempotencyContext &context) const;
    bool expired(std::int64_t changedMs, const IdempotencyContext &context) const;
    std::shared_ptr<const ClaimOrigin> shared(const ClaimOrigin &origin);
    std::string headKey() const;
    std::string segmentKey(std::uint64_t number) const;
    void addBytes(const IdempotencyRecord &record, int sign);
    void put(RecordMap &map, IdempotencyRecord record);

    const std::uint32_t m_shard;
    const ClaimOrigin m_writer;
    const IdempotencySettings m_settings;

    // As confirmed by the store at m_version
    bool m_loaded = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_next = 1;
    RecordMap m_head;
    RecordMap m_sealed;                                       // records of all loaded segments, newest wins
    std::vector<SealedRef> m_refs;                            // in the head
    std::map<std::uint64_t, std::uint64_t> m_loadedSegments;  // number to version
    std::set<std::uint64_t> m_removed;                        // expired and deleted, still in the head
    TimePoint m_confirmedAt;

    // Call in flight
    Phase m_phase = Phase::Idle;
    std::uint64_t m_call = 0;
    std::uint64_t m_removeCall = 0;
    std::uint64_t m_removeNumber = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_readNumber = 0;

    // Batch
    std::deque<Operation> m_queue;
    std::vector<Operation> m_inFlight;
    RecordMap m_changes;
    std::uint64_t m_batch = 0;
    bool m_uncertain = false;  // a swap that expects m_uncertainVersion may still take effect
    std::uint64_t m_uncertainVersion = 0;
    std::uint64_t m_sealNumber = 0;  // 0: none
    std::string m_sealText;
    std::uint64_t m_sealedFor = 0;  // head version whose records are in segment m_sealNumber; 0: none
    std::uint64_t m_sealStoreVersion = 0;
    std::map<std::uint64_t, std::uint64_t> m_strays;  // segments of other writers that no head can refer to any more
    std::int64_t m_batchMs = 0;
    bool m_rotating = false;

    IdempotencySegment m_batchSegment;  // head that the batch writes
    std::size_t m_batchBytes = 0;
    std::uint64_t m_sealVersion = 0;  // head version that m_sealText was made from
    std::int64_t m_sealNewestMs = 0;
    std::size_t m_headBytes = 0;
    TimePoint m_callStarted;  // of the last read of the head
    TimePoint m_paceAt;       // when all batches sent so far are paid for, one per `gather`

    std::map<ClaimId, TimePoint> m_refused;  // claims that were told not to run, until their deadline
    TimePoint m_forgetAt;                    // when m_refused is looked through next

    TimePoint m_flushAt;
    TimePoint m_retryAt;
    TimePoint m_dropAt;
    TimePoint m_queuedAt;
    std::size_t m_bodyBytes = 0;
    std::uint64_t m_rotations = 0;
    std::string m_damage;
    std::vector<std::shared_ptr<const ClaimOrigin>> m_origins;
};

}
