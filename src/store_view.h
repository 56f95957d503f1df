#pragma once

// Keeps a copy of the items under a prefix: lists, then watches from the lowest revision seen.

#include "http_timers.h"
#include "store.h"

#include <map>

namespace briarvane
{

struct StoreViewSettings
{
    Duration watchWait{2'000'000};  // a connection that has fallen silent is noticed this late, plus the grace
    Duration listTimeout{1'000'000};
    Duration retryPause{150'000};  // after a failed call; a whole outage costs about six calls a second
    Duration watchPause{0};        // between two watches, to join events that come in quick succession
};

/// `changed` is called for each item that is new, changed or removed (value empty, removed set), in revision order
/// within a watch. `refreshed` is called after each list or watch that was answered.
template<Store S>
class StoreView
{
public:
    using Changed = std::function<void(const StoreItem &)>;
    using Refreshed = std::function<void()>;

    StoreView(S &store, Timers &timers, std::string prefix, StoreViewSettings settings, Changed changed,
              Refreshed refreshed)
        : m_state(std::make_shared<State>(store, timers, std::move(prefix), settings, std::move(changed),
                                          std::move(refreshed)))
    {
    }
    StoreView(const StoreView &) = delete;
    StoreView &operator=(const StoreView &) = delete;
    ~StoreView()
    {
        m_state->closed = true;
    }

    void start()
    {
        m_state->list();
    }
    /// When the last answer was asked for; default: never.
    TimePoint refreshedAt() const
    {
        return m_state->refreshedAt;
    }
    bool complete() const
    {
        return m_state->listed;
    }

private:
    struct State : std::enable_shared_from_this<State>
    {
        State(S &storeIn, Timers &timersIn, std::string prefixIn, StoreViewSettings settingsIn, Changed changedIn,
              Refreshed refreshedIn)
            : store(storeIn)
            , timers(timersIn)
            , prefix(std::move(prefixIn))
            , settings(settingsIn)
            , changed(std::move(changedIn))
            , refreshed(std::move(refreshedIn))
        {
        }

        void later(void (State::*step)(), Duration pause)
        {
            timers.at(steadyNow() + pause, [self = this->shared_from_this(), step] {
                if (!self->closed) {
                    (self.get()->*step)();
                }
            });
        }

        void list()
        {
            seen.clear();
            after.clear();
            lowest = 0;
            page();
        }

        void page()
        {
            askedAt = steadyNow();
            store.range(prefix, after, false, settings.listTimeout,
                        [self = this->shared_from_this()](const StoreReply &reply) {
                            if (!self->closed) {
                                self->pageListed(reply);
                            }
                        });
        }

        void pageListed(const StoreReply &reply)
        {
            if (reply.outcome != StoreOutcome::Done) {
                later(&State::list, settings.retryPause);
                return;
            }
            lowest = lowest == 0 ? reply.revision : std::min(lowest, reply.revision);
            for (const StoreItem &item : reply.items) {
                seen[item.key] = item.revision;
                report(item);
            }
            if (reply.truncated && !reply.items.empty()) {
                after = reply.items.back().key;
                page();
                return;
            }
            std::vector<std::string> gone;
            for (const auto &[key, revision] : known) {
                if (!seen.contains(key)) {
                    gone.push_back(key);
                }
            }
            for (const std::string &key : gone) {
                StoreItem item;
                item.key = key;
                item.revision = lowest;
                item.removed = true;
                report(item);
            }
            revision = lowest;
            finishRound();
        }

        void finishRound()
        {
            listed = true;
            refreshedAt = askedAt;
            refreshed();
            if (!closed) {
                later(&State::watch, settings.watchPause);
            }
        }

        void watch()
        {
            askedAt = steadyNow();
            store.watch(prefix, revision, settings.watchWait,
                        [self = this->shared_from_this()](const StoreReply &reply) {
                            if (!self->closed) {
                                self->watched(reply);
                            }
                        });
        }

        void watched(const StoreReply &reply)
        {
            if (reply.outcome == StoreOutcome::Compacted) {
                list();
                return;
            }
            if (reply.outcome != StoreOutcome::Done) {
                later(&State::watch, settings.retryPause);
                return;
            }
            for (const StoreItem &item : reply.items) {
                report(item);
            }
            revision = std::max(revision, reply.revision);
            finishRound();
        }

        void report(const StoreItem &item)
        {
            if (closed) {
                return;
            }
            const auto place = known.find(item.key);
            if (place != known.end() && place->second >= item.revision) {
                return;  // seen already, or older than what was seen
            }
            if (item.removed) {
                if (place == known.end()) {
                    return;
                }
                known.erase(place);
            } else {
                known[item.key] = item.revision;
            }
            changed(item);
        }

        S &store;
        Timers &timers;
        std::string prefix;
        StoreViewSettings settings;
        Changed changed;
        Refreshed refreshed;
        std::map<std::string, std::uint64_t> known;  // key to revision
        std::map<std::string, std::uint64_t> seen;   // in the list under way
        std::string after;
        std::uint64_t lowest = 0;
        std::uint64_t revision = 0;
        TimePoint askedAt;
        TimePoint refreshedAt;
        bool listed = false;
        bool closed = false;
    };

    std::shared_ptr<State> m_state;
};

}
