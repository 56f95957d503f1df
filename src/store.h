#pragma once

// The platform's key-value store as this program uses it: plain types and a concept. The client is in platform/.
//
// Index
// [1] Items and transactions
// [2] Results
// [3] The Store concept

#include "types.h"

namespace briarvane
{

// [1] Items and transactions ------------------------------------------------------------------------------------------

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;  // of the last change
    std::uint64_t created = 0;   // revision of the creation
    bool removed = false;        // in a watch: the key is gone
};

struct StoreWrite
{
    std::string key;
    std::string value;
    std::uint64_t lease = 0;  // 0: stays until it is replaced
};

/// All or nothing; at most TxnRows rows in all.
struct StoreTxn
{
    static constexpr std::size_t TxnRows = 32;  // limit of the store

    std::vector<std::pair<std::string, std::uint64_t>> expected;  // key and revision; 0: the key does not exist
    std::vector<StoreWrite> writes;
    std::vector<std::string> removed;

    std::size_t rows() const
    {
        return expected.size() + writes.size() + removed.size();
    }
};

// [2] Results ---------------------------------------------------------------------------------------------------------

enum class StoreOutcome {
    Done,
    Conflict,   // a precondition does not hold; nothing was done
    NotFound,   // no such key or lease; nothing was done
    Compacted,  // a watch is too far behind: list again
    Refused,    // nothing was done: over the rate, down, or no byte was sent
    Malformed,  // the store does not take the call
    Unknown,    // may have been done, or may still be done later
};

template<>
struct EnumNames<StoreOutcome>
{
    static constexpr std::array<EnumName<StoreOutcome>, 7> names = {{{StoreOutcome::Done, "done"},
                                                                     {StoreOutcome::Conflict, "conflict"},
                                                                     {StoreOutcome::NotFound, "not-found"},
                                                                     {StoreOutcome::Compacted, "compacted"},
                                                                     {StoreOutcome::Refused, "refused"},
                                                                     {StoreOutcome::Malformed, "malformed"},
                                                                     {StoreOutcome::Unknown, "unknown"}}};
};

struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<StoreItem> items;  // read: the item; range, watch: those listed; conflict: current state of `expected`
    std::uint64_t revision = 0;    // of the store, or of the transaction
    bool truncated = false;        // range: more follow after the last item
    std::uint64_t lease = 0;       // granted
    Duration ttl{0};               // granted or renewed
};

using StoreDone = std::function<void(const StoreReply &)>;

// [3] The Store concept -----------------------------------------------------------------------------------------------

/// Completions come on the I/O thread, never from inside the call.
template<class S>
concept Store = requires(S store, const std::string &text, std::uint64_t number, Duration time, const StoreTxn &txn,
                         bool flag, StoreDone done)
{
    store.read(text, time, done);
    store.range(text, text, flag, time, done);  // prefix, after this key, may be seconds old
    store.watch(text, number, time, done);      // prefix, after this revision, longest wait
    store.commit(txn, time, done);
    store.grantLease(time, done);
    store.renewLease(number, done);
    store.endLease(number, done);
};

}
