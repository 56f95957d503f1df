#pragma once

// Stand-in of the key-value store behind the `serve` command: keeps its keys in memory and speaks the store's published
// protocol. Single-threaded.

#include "standin_http.h"
#include "wire.h"

#include <algorithm>
#include <deque>

namespace briarvane::standin
{

class StoreStandIn
{
public:
    static constexpr std::size_t PageItems = 500;  // items per page of a range, as in the real store
    /// Number of events kept. A watch that starts before the oldest event kept is answered with 410.
    static constexpr std::size_t HistoryEvents = 20'000;

    struct Faults
    {
        bool down = false;
        int failWrites = 0;  // number of coming writes that are answered with 503 and have no effect
        /// Number of coming writes that take effect but whose connection is closed without a reply.
        int loseResponses = 0;
    };
    Faults faults;

    /// Writes a key on behalf of operators or executors. Faults do not apply.
    void put(const std::string &key, const std::string &value)
    {
        ++m_revision;
        write({key, value, 0});
        answerWatches();
    }
    void remove(const std::string &key)
    {
        ++m_revision;
        erase(key);
        answerWatches();
    }
    const std::string *value(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? nullptr : &found->second.value;
    }
    /// Drops all recorded events, so that watches that start before the present revision are answered with 410.
    void compact()
    {
        m_compactedRevision = m_revision;
        m_events.clear();
        answerWatches();
    }

    void handle(const Request &request, const Reply &reply)
    {
        const Target target = parseTarget({request.target().data(), request.target().size()});
        const bool write = target.path == "/kv-txn";
        if (faults.down) {
            reply(errorAnswer(503, "the store is down"));
            return;
        }
        if (write && faults.failWrites > 0) {
            --faults.failWrites;
            reply(errorAnswer(503, "the write failed"));
            return;
        }
        if (target.path == "/kv-watch") {
            m_watches.push_back({target.text("prefix"), target.number("after"),
                                 steadyNow() + std::chrono::milliseconds(target.number("wait_ms")), reply});
            answerWatches();
            return;
        }
        const Answer answer = call(request, target);
        if (write && faults.loseResponses > 0) {
            --faults.loseResponses;
            reply(std::nullopt);
        } else {
            reply(answer);
        }
        answerWatches();
    }

    /// Ends lapsed leases and answers watches whose longest wait is over. The remaining time of a lease does not
    /// decrease while the store is down.
    void tick()
    {
        const TimePoint now = steadyNow();
        const Duration sinceLastTick = now - m_lastTickAt;
        m_lastTickAt = now;
        for (auto position = m_leases.begin(); position != m_leases.end();) {
            Lease &lease = position->second;
            lease.until += faults.down ? sinceLastTick : Duration{0};
            const std::uint64_t id = position->first;
            if (lease.until > now) {
                ++position;
                continue;
            }
            position = m_leases.erase(position);
            eraseLeased(id);
        }
        answerWatches();
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        Item item;
        bool removed = false;
    };
    struct Lease
    {
        Duration ttl{0};
        TimePoint until;
    };
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        TimePoint until;  // time at which the watch is answered even without events
        Reply reply;
    };

    Answer call(const Request &request, const Target &target)
    {
        if (target.path == "/kv-key") {
            const auto found = m_items.find(target.text("key"));
            json::object body = found == m_items.end() ? json::object{} : toJson(found->first, found->second);
            body["store_revision"] = m_revision;
            return {found == m_items.end() ? 404U : 200U, std::move(body)};
        }
        if (target.path == "/kv-range") {
            return range(target.text("prefix"), target.text("after"));
        }
        boost::system::error_code error;
        const json::value body = request.body().empty() ? json::object{} : json::parse(request.body(), error);
        if (error || !body.is_object()) {
            return errorAnswer(400, "the body is not a JSON object");
        }
        if (target.path == "/kv-txn") {
            return transaction(body.get_object());
        }
        if (target.path == "/kv-lease") {
            const Duration ttl = std::chrono::milliseconds(body.at("ttl_ms").to_number<std::int64_t>());
            m_leases[++m_lastLease] = {ttl, steadyNow() + ttl};
            return {200, json::object{{"lease", m_lastLease}, {"ttl_ms", ttl.count() / 1000}}};
        }
        const std::size_t slash = target.path.rfind('/');
        const std::uint64_t id = std::strtoull(target.path.substr(slash + 1).c_str(), nullptr, 10);
        const auto lease = m_leases.find(id);
        if (lease == m_leases.end()) {
            return errorAnswer(404, "no such lease");
        }
        if (target.path.starts_with("/kv-keep/")) {
            lease->second.until = steadyNow() + lease->second.ttl;
            return {200, json::object{{"lease", id}, {"ttl_ms", lease->second.ttl.count() / 1000}}};
        }
        if (target.path.starts_with("/kv-lease-end/")) {
            m_leases.erase(lease);
            eraseLeased(id);
            return {200, json::object{}};
        }
        return errorAnswer(400, "no such call");
    }

    Answer range(const std::string &prefix, const std::string &after) const
    {
        json::array items;
        auto position = after < prefix ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
        for (; position != m_items.end() && position->first.starts_with(prefix) && items.size() < PageItems;
             ++position) {
            items.push_back(toJson(position->first, position->second));
        }
        const bool truncated = position != m_items.end() && position->first.starts_with(prefix);
        return {200,
                json::object{{"items", std::move(items)}, {"truncated", truncated}, {"store_revision", m_revision}}};
    }

    Answer transaction(const json::object &body)
    {
        const json::array &expected = body.at("precondition").as_array();
        const json::array &writes = body.at("writes").as_array();
        const json::array &removed = body.at("remove").as_array();
        if (expected.size() + writes.size() + removed.size() > StoreTxn::MaxRows) {
            return errorAnswer(400, "more than 32 rows");
        }
        bool preconditionsHold = true;
        json::array currentItems;
        for (const json::value &row : expected) {
            const std::string key(row.at("key").as_string());
            const auto found = m_items.find(key);
            const Item item = found == m_items.end() ? Item{} : found->second;
            preconditionsHold = preconditionsHold && item.revision == row.at("revision").to_number<std::uint64_t>();
            currentItems.push_back(toJson(key, item));
        }
        if (!preconditionsHold) {
            return {412, json::object{{"items", std::move(currentItems)}}};
        }
        std::vector<StoreWrite> rows;
        for (const json::value &row : writes) {
            const json::value *lease = row.as_object().if_contains("lease");
            rows.push_back({std::string(row.at("key").as_string()), platform::decodeBase64(row.at("value").as_string()),
                            lease == nullptr ? 0 : lease->to_number<std::uint64_t>()});
            if (rows.back().key.starts_with(platform::OperatorPrefix)
                || rows.back().key.starts_with(platform::ExecutorPrefix)) {
                return errorAnswer(403, "this key belongs to others");
            }
            if (rows.back().lease != 0 && !m_leases.contains(rows.back().lease)) {
                return errorAnswer(404, "no such lease");
            }
        }
        ++m_revision;
        for (const StoreWrite &row : rows) {
            write(row);
        }
        for (const json::value &key : removed) {
            erase(std::string(key.as_string()));
        }
        return {200, json::object{{"revision", m_revision}}};
    }

    /// Writes a row with the present revision, which all rows of a transaction share.
    void write(const StoreWrite &row)
    {
        Item &item = m_items[row.key];
        item = {row.value, m_revision, item.created == 0 ? m_revision : item.created, row.lease};
        recordEvent({row.key, item, false});
    }
    void erase(const std::string &key)
    {
        if (m_items.erase(key) != 0) {
            recordEvent({key, {{}, m_revision, 0, 0}, true});
        }
    }
    void eraseLeased(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        ++m_revision;
        for (const std::string &key : keys) {
            erase(key);
        }
    }
    void recordEvent(Event event)
    {
        m_events.push_back(std::move(event));
        if (m_events.size() > HistoryEvents) {
            m_compactedRevision = m_events.front().item.revision;
            m_events.pop_front();
        }
    }

    static json::object toJson(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", platform::encodeBase64(item.value)},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }

    void answerWatches()
    {
        const TimePoint now = steadyNow();
        std::vector<Watch> waiting;
        waiting.swap(m_watches);
        for (Watch &watch : waiting) {
            json::array events;
            const auto first = std::upper_bound(
                m_events.begin(), m_events.end(), watch.after,
                [](std::uint64_t revision, const Event &event) { return revision < event.item.revision; });
            for (auto position = first; position != m_events.end(); ++position) {
                const Event &event = *position;
                if (!event.key.starts_with(watch.prefix)) {
                    continue;
                }
                events.push_back(
                    event.removed
                        ? json::object{{"key", event.key}, {"revision", event.item.revision}, {"tombstone", true}}
                        : toJson(event.key, event.item));
            }
            if (faults.down) {
                watch.reply(std::nullopt);
            } else if (watch.after < m_compactedRevision) {
                watch.reply(errorAnswer(410, "this history is gone"));
            } else if (!events.empty() || watch.until <= now) {
                watch.reply(Answer{200, json::object{{"events", std::move(events)}, {"store_revision", m_revision}}});
            } else {
                m_watches.push_back(std::move(watch));
            }
        }
    }

    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 0;  // events up to this revision have been dropped
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 0;
    std::vector<Watch> m_watches;
    TimePoint m_lastTickAt = steadyNow();
};

}
