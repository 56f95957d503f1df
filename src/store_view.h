#pragma once

// Follows the items under a prefix of the store: lists them page by page, then watches from the lowest revision of
// these pages, so that no change between two pages is missed.

#include "boot_clock.h"
#include "guarded_call.h"
#include "http_timers.h"
#include "store.h"

#include <map>
#include <optional>

namespace briarvane
{

struct StoreViewSettings
{
    Duration watchWait{2'000'000};  // a dead connection is detected after this time plus the client's margin
    Duration listTimeout{1'000'000};
    Duration retryPause{150'000};  // pause after a failed call; about six calls a second during an outage of the store
    /// Pause between two watches. All changes made during the pause are returned together in the reply to the next
    /// watch.
    Duration watchPause{0};
    /// Longest wait of the watch after one that failed; unset: `watchWait`. A short one shows soon whether the view is
    /// still current.
    std::optional<Duration> recheckWait{};
};

/// `changed` is called for each item that is new, changed or removed (`value` is empty and `removed` is set then), in
/// the order of revisions within one watch. `refreshed` is called after each complete list and each answered watch.
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
    /// Time at which the last answered call was sent; default-constructed: no call was answered yet.
    TimePoint refreshedAt() const
    {
        return m_state->refreshedAt;
    }
    /// Time of the boot clock at which the store is known to have had no change that the view lacks;
    /// default-constructed: never. An answer says nothing about the time that it took to arrive, so this is the time at
    /// which its call was sent, or for a watch without changes the end of its wait.
    TimePoint currentAt() const
    {
        return m_state->currentAt;
    }
    /// Changes the waits of the watches that follow the present one.
    void setWaits(Duration watchWait, Duration recheckWait)
    {
        m_state->settings.watchWait = watchWait;
        m_state->settings.recheckWait = recheckWait;
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
            listedRevisions.clear();
            after.clear();
            lowestRevision = 0;
            sentAt = bootNow();
            listPage();
        }

        void listPage()
        {
            requestedAt = steadyNow();
            store.range(prefix, after, false, settings.listTimeout,
                        [self = this->shared_from_this()](const StoreReply &reply) {
                            if (!self->closed) {
                                self->pageDone(reply);
                            }
                        });
        }

        void pageDone(const StoreReply &reply)
        {
            if (reply.outcome != StoreOutcome::Done) {
                later(&State::list, settings.retryPause);
                return;
            }
            lowestRevision = lowestRevision == 0 ? reply.revision : std::min(lowestRevision, reply.revision);
            for (const StoreItem &item : reply.items) {
                listedRevisions[item.key] = item.revision;
                applyItem(item);
            }
            if (reply.truncated && !reply.items.empty()) {
                after = reply.items.back().key;
                listPage();
                return;
            }
            std::vector<std::string> removedKeys;
            for (const auto &[key, revision] : revisions) {
                if (!listedRevisions.contains(key)) {
                    removedKeys.push_back(key);
                }
            }
            for (const std::string &key : removedKeys) {
                StoreItem item;
                item.key = key;
                item.revision = lowestRevision;
                item.removed = true;
                applyItem(item);
            }
            revision = lowestRevision;
            currentAt = sentAt;
            refreshDone();
        }

        void refreshDone()
        {
            listed = true;
            refreshedAt = requestedAt;
            callGuarded("store-view", refreshed);
            if (!closed) {
                later(&State::watch, settings.watchPause);
            }
        }

        void watch()
        {
            requestedAt = steadyNow();
            sentAt = bootNow();
            const Duration wait = recheck ? settings.recheckWait.value_or(settings.watchWait) : settings.watchWait;
            sentWait = wait;
            store.watch(prefix, revision, wait, [self = this->shared_from_this()](const StoreReply &reply) {
                if (!self->closed) {
                    self->watchDone(reply);
                }
            });
        }

        void watchDone(const StoreReply &reply)
        {
            if (reply.outcome == StoreOutcome::Compacted) {
                list();
                return;
            }
            recheck = reply.outcome != StoreOutcome::Done;
            if (recheck) {
                later(&State::watch, settings.retryPause);
                return;
            }
            const bool waited = reply.items.empty() && bootNow() - sentAt >= sentWait;
            currentAt = sentAt + (waited ? sentWait : Duration{0});
            for (const StoreItem &item : reply.items) {
                applyItem(item);
            }
            revision = std::max(revision, reply.revision);
            refreshDone();
        }

        void applyItem(const StoreItem &item)
        {
            if (closed) {
                return;
            }
            const auto found = revisions.find(item.key);
            if (found != revisions.end() && found->second >= item.revision) {
                return;  // a list may show a change before the watch does, so watches can bring old revisions
            }
            if (item.removed) {
                if (found == revisions.end()) {
                    return;
                }
                revisions.erase(found);
            } else {
                revisions[item.key] = item.revision;
            }
            callGuarded("store-item", [&] { changed(item); });
        }

        S &store;
        Timers &timers;
        std::string prefix;
        StoreViewSettings settings;
        Changed changed;
        Refreshed refreshed;
        std::map<std::string, std::uint64_t> revisions;        // revision by key, as last passed to `changed`
        std::map<std::string, std::uint64_t> listedRevisions;  // revision by key in the list in progress
        std::string after;                                     // last key of the previous page; empty: first page
        std::uint64_t lowestRevision = 0;                      // lowest revision of the pages listed so far; 0: no page
        std::uint64_t revision = 0;                            // the next watch starts after this revision
        TimePoint requestedAt;
        TimePoint refreshedAt;
        TimePoint sentAt;  // boot clock: time at which the list or watch in progress was sent
        Duration sentWait{0};
        TimePoint currentAt;
        bool recheck = false;  // the last watch failed
        bool listed = false;
        bool closed = false;
    };

    std::shared_ptr<State> m_state;
};

}
