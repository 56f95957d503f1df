#pragma once

// Implementation of Cluster<S>; included by entry_cluster.h only.
//
// Index
// [1] Periods
// [2] State: registration, watch, heartbeats, configuration, instance list
// [3] Functions of Cluster

#include "entry_cluster.h"
#include "log.h"
#include "peers_messages.h"

namespace briarvane
{

// [1] Periods ---------------------------------------------------------------------------------------------------------

constexpr Duration TickPeriod{100'000};   // well below PauseGap, so that a late tick does not count as a pause
constexpr Duration ConfirmDelay{20'000};  // an adopted version is confirmed by an early heartbeat after this delay
// After n failures in a row of the lease calls or of the watch, the delay before the next call is random between half
// of RetryDelayMin and RetryDelayMin * 2^n, but at most RetryDelayMax. RetryDelayMax is short, so that an entry
// reconnects within ViewTimeout after an outage.
constexpr Duration RetryDelayMin{100'000};
constexpr Duration RetryDelayMax{1'000'000};
// Entries whose leases lapsed together in an outage request new leases after a random delay of up to this time.
constexpr Duration RegisterJitter{300'000};
// Time after the start of a change in which failed reads of the swap's result are repeated.
constexpr Duration ReadBackTimeout{10'000'000};
// The stop ends after this time even if the registration has not been removed.
constexpr Duration StopTimeout{2'000'000};
// A peer that is neither in the settings nor registered is disconnected this long after its last heartbeat or record.
constexpr Duration PeerRetention{60'000'000};
constexpr std::uint32_t FullListPeriod = 10;  // not used: instance lists are sent as differences to the previous list
// When a peer has reported an older version in more consecutive heartbeats than this, every entry that has a newer
// version sends the value to the peer.
constexpr int UpdateLagRounds = 2;

// [2] State -----------------------------------------------------------------------------------------------------------

template<CoordinationService S>
struct Cluster<S>::State : std::enable_shared_from_this<Cluster<S>::State>
{
    struct Waiter
    {
        std::string key;
        std::uint64_t version = 0;
        TimePoint deadline;
        std::function<void(std::vector<EntryId>)> done;
    };
    struct PendingChange
    {
        std::string key;
        std::uint64_t expected = 0;
        std::string value;
        ChangeDone done;
        TimePoint deadline;
        std::uint64_t observedVersion = 0;  // version of `value` as delivered by the watch or a peer; 0: not delivered
        bool answerLost = false;            // the answer of a swap was lost, so it may have taken effect
    };

    State(boost::asio::io_context &ioContext, S &coordinationService, Peers &peerMessages,
          ClusterSettings clusterSettings)
        : io(ioContext)
        , coordination(coordinationService)
        , peers(peerMessages)
        , settings(std::move(clusterSettings))
        , membership(settings.self, settings.startId, now())
        , random(settings.startId ^ XXH3_64bits(settings.self.value.data(), settings.self.value.size()))
        , tickTimer(io)
        , heartbeatTimer(io)
        , watchTimer(io)
        , leaseTimer(io)
        , instanceTimer(io)
        , stopTimer(io)
    {
        for (const std::string &key : settings.keys) {
            values[key].key = key;
            prefixes += key + ",";
        }
        prefixes += EntriesPrefix;
    }

    static TimePoint now()
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }

    Duration jitter(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random));
    }

    /// Calls `next` after the delay, unless the timer is restarted or cancelled or the cluster is closed in the
    /// meantime.
    template<class F>
    void startTimer(boost::asio::steady_timer &timer, Duration delay, F next)
    {
        timer.expires_after(delay);
        timer.async_wait([self = this->shared_from_this(), next](const boost::system::error_code &error) {
            if (!error && !self->closed) {
                next();
            }
        });
    }

    void start()
    {
        peers.onMessage([weak = this->weak_from_this()](const wire::Envelope &message) {
            if (const auto self = weak.lock(); self && !self->closed) {
                self->onMessage(message);
            }
        });
        for (const auto &[id, endpoint] : settings.peers) {
            connect(id, endpoint);
        }
        onTick();
        onHeartbeatTimer();
        watch();
        registerEntry();
        onInstanceTimer();
    }

    void close()
    {
        closed = true;
        for (auto *timer : {&tickTimer, &heartbeatTimer, &watchTimer, &leaseTimer, &instanceTimer, &stopTimer}) {
            timer->cancel();
        }
        waiters.clear();
        pending.clear();
        handlers.clear();
        instanceHandlers.clear();
    }

    void onTick()
    {
        membership.tick(now());
        updatePresentEntries();
        checkWaiters();
        disconnectAbsentPeers();
        startTimer(tickTimer, TickPeriod, [this] { onTick(); });
    }

    /// Passes the ids of all instances that the instance list does not mark as gone to the membership. An entry whose
    /// lease lapsed and whose id is not among these ids has ended. Does nothing before the first list arrives, because
    /// all entries would seem to have ended.
    void updatePresentEntries()
    {
        if (!instancesAsOf) {
            return;
        }
        std::set<EntryId> present;
        for (const InstanceRecord &record : instances) {
            if (record.presence != Presence::Gone) {
                present.insert(EntryId{record.id.value});
            }
        }
        membership.setPresent(present);
    }

    // Registration

    std::string ownKey() const
    {
        return EntriesPrefix + settings.self.value;
    }

    /// Requests a lease and writes the entry's record under it. After a failed step or a lost answer the registration
    /// starts over with a new lease.
    void registerEntry()
    {
        if (registering || stopping || superseded) {
            return;
        }
        registering = true;
        lease.clear();
        const TimePoint startedAt = now();
        coordination.grantLease(
            settings.leaseTtl, unlessClosed<std::string>([this, startedAt](Result<std::string> granted) {
                if (!granted) {
                    onLeaseFailure(granted.error());
                    return;
                }
                const std::string newLease = granted.value();
                coordination.read(
                    ownKey(), unlessClosed<StoreValue>([this, startedAt, newLease](Result<StoreValue> present) {
                        if (!present) {
                            onLeaseFailure(present.error());
                            return;
                        }
                        const boost::json::object record = {{"start", std::to_string(settings.startId)},
                                                            {"address", settings.peerEndpoint},
                                                            {"data_centre", settings.dataCentre}};
                        const SwapRequest request{ownKey(), present.value().version, boost::json::serialize(record),
                                                  newLease};
                        coordination.swap(
                            request,
                            unlessClosed<std::uint64_t>([this, startedAt, newLease](Result<std::uint64_t> version) {
                                if (!version) {
                                    onLeaseFailure(version.error());
                                    return;
                                }
                                registering = false;
                                registeredVersion = version.value();
                                lease = newLease;
                                onLeaseValid(startedAt);
                            }));
                    }));
            }));
    }

    void onLeaseValid(TimePoint startedAt)
    {
        leaseFailures = 0;
        membership.registered(startedAt + settings.leaseTtl);
        startTimer(leaseTimer, settings.leaseTtl / 3, [this] { renew(); });
    }

    void onLeaseFailure(const Error &error)
    {
        registering = false;
        ++leaseFailures;
        membership.coordinationFailure(now());
        logRepeated(LogLevel::Warn, "lease-failed", settings.self.value, {{"reason", error.message}});
        startTimer(leaseTimer, retryDelay(leaseFailures), [this] {
            if (lease.empty()) {
                registerEntry();
            } else {
                renew();
            }
        });
    }

    void renew()
    {
        if (stopping || lease.empty()) {
            return;
        }
        const TimePoint startedAt = now();
        coordination.renewLease(lease, unlessClosed<bool>([this, startedAt](Result<bool> renewed) {
                                    if (!renewed) {
                                        onLeaseFailure(renewed.error());
                                    } else if (renewed.value()) {
                                        onLeaseValid(startedAt);
                                    } else {
                                        onRegistrationLost();
                                    }
                                }));
    }

    void onRegistrationLost()
    {
        if (registering || stopping || lease.empty()) {
            return;
        }
        logEvent(LogLevel::Warn, "registration-lost", {{"entry", settings.self.value}});
        lease.clear();
        membership.registered(TimePoint::min());
        startTimer(leaseTimer, jitter(Duration::zero(), RegisterJitter), [this] { registerEntry(); });
    }

    Duration retryDelay(int failures)
    {
        const Duration most = std::min(RetryDelayMax, RetryDelayMin * (1 << std::min(failures, 5)));
        return jitter(RetryDelayMin / 2, most);
    }

    // Watch

    void watch()
    {
        const TimePoint startedAt = now();
        coordination.watch(prefixes, watchedVersion,
                           unlessClosed<WatchBatch>([this, startedAt](Result<WatchBatch> result) {
                               if (result) {
                                   watchFailures = 0;
                                   onBatch(result.value(), startedAt);
                                   watch();
                                   return;
                               }
                               if (result.error().code == ErrorCode::NotFound) {
                                   watchedVersion = 0;
                               } else {
                                   membership.coordinationFailure(now());
                                   logRepeated(LogLevel::Warn, "watch-failed", settings.self.value,
                                               {{"reason", result.error().message}});
                               }
                               ++watchFailures;
                               startTimer(watchTimer, retryDelay(watchFailures), [this] { watch(); });
                           }));
    }

    void onBatch(const WatchBatch &batch, TimePoint startedAt)
    {
        // A watch from version 0 returns all keys, so an entry that is not among them is no longer registered.
        std::set<EntryId> listed = watchedVersion == 0 ? std::set<EntryId>{} : membership.listed();
        bool ownRecordListed = watchedVersion != 0;
        for (const StoreValue &value : batch.values) {
            if (value.key.starts_with(EntriesPrefix)) {
                const EntryId id{value.key.substr(EntriesPrefix.size())};
                if (id == settings.self) {
                    ownRecordListed = value.version != 0;
                    onOwnRecord(value);
                } else if (value.version != 0) {
                    onEntryRecord(id, value.value);
                }
                if (value.version == 0) {
                    listed.erase(id);
                } else {
                    listed.insert(id);
                }
            }
        }
        membership.setListed(listed, now(), batch.version);
        if (!ownRecordListed) {
            onRegistrationLost();
        }
        for (const StoreValue &value : batch.values) {
            if (values.contains(value.key)) {
                adopt(value);
            }
        }
        // A version below the watched one shows that the coordination service lost its state: all keys are read again.
        watchedVersion = batch.version < watchedVersion ? 0 : batch.version;
        membership.coordinationContact(startedAt);
        if (leaseFailures > 0) {
            membership.coordinationFailure(now());
        }
    }

    void onOwnRecord(const StoreValue &value)
    {
        if (value.version <= registeredVersion || registering || registeredVersion == 0) {
            return;
        }
        boost::system::error_code error;
        const boost::json::value record = boost::json::parse(value.value, error);
        const boost::json::value *start
            = error || !record.is_object() ? nullptr : record.as_object().if_contains("start");
        if (start && start->is_string() && start->as_string() != std::to_string(settings.startId)) {
            // A newer process runs under the same id. Registering again would make both overwrite each other's record.
            logEvent(LogLevel::Error, "entry-superseded", {{"entry", settings.self.value}});
            superseded = true;
            lease.clear();
            leaseTimer.cancel();
            membership.registered(TimePoint::min());
        }
    }

    void onEntryRecord(const EntryId &id, const std::string &text)
    {
        boost::system::error_code error;
        const boost::json::value record = boost::json::parse(text, error);
        const boost::json::value *address
            = error || !record.is_object() ? nullptr : record.as_object().if_contains("address");
        if (address && address->is_string()) {
            connect(id, std::string(address->as_string()));
        }
    }

    // Peers

    void connect(const EntryId &id, const std::string &endpoint)
    {
        if (id == settings.self || endpoint.empty()) {
            return;
        }
        Link &link = links[id];
        link.reportedAt = now();
        if (link.endpoint != endpoint) {
            link.endpoint = endpoint;
            peers.connect(id, endpoint);
        }
    }

    void disconnectAbsentPeers()
    {
        std::erase_if(links, [this](const auto &item) {
            const auto &[id, link] = item;
            const EntryStatus *status = membership.entry(id);
            const TimePoint last = status ? std::max(status->lastHeartbeat, link.reportedAt) : link.reportedAt;
            if (settings.peers.contains(id) || membership.listed().contains(id) || now() - last < PeerRetention) {
                return false;
            }
            peers.disconnect(id);
            return true;
        });
    }

    void onMessage(const wire::Envelope &message)
    {
        switch (message.body_case()) {
        case wire::Envelope::kHeartbeat:
            onHeartbeat(message);
            break;
        case wire::Envelope::kConfigUpdate: {
            const wire::ConfigUpdate &update = message.config_update();
            if (values.contains(update.key())) {
                adopt({update.key(), update.value(), update.version()});
            }
            break;
        }
        case wire::Envelope::kInstanceList:
            onInstanceList(message.instance_list());
            break;
        default:
            break;
        }
    }

    // Heartbeats

    void onHeartbeatTimer()
    {
        sendHeartbeats();
        startTimer(heartbeatTimer, HeartbeatPeriod, [this] { onHeartbeatTimer(); });
    }

    void scheduleHeartbeat()
    {
        if (!closed && heartbeatTimer.expiry() - std::chrono::steady_clock::now() > ConfirmDelay) {
            startTimer(heartbeatTimer, ConfirmDelay, [this] { onHeartbeatTimer(); });
        }
    }

    /// Each peer's heartbeat contains only the echo for that peer. Apart from the short list of live entries, the size
    /// of a heartbeat is therefore independent of the number of entries.
    void sendHeartbeats()
    {
        const TimePoint time = now();
        ++round;
        membership.heartbeatSent(round, time);
        wire::Envelope message;
        fillHeartbeat(*message.mutable_heartbeat(), membership, time);
        message.mutable_heartbeat()->set_round(round);
        message.mutable_heartbeat()->set_address(settings.peerEndpoint);
        message.mutable_heartbeat()->set_data_centre(settings.dataCentre);
        for (const auto &[id, link] : links) {
            wire::Heartbeat &heartbeat = *message.mutable_heartbeat();
            heartbeat.clear_echo();
            const EntryStatus *status = membership.entry(id);
            if (status && status->round != 0) {
                wire::HeartbeatEcho &echo = *heartbeat.add_echo();
                echo.set_entry(id.value);
                echo.set_start_id(status->startId);
                echo.set_round(status->round);
            }
            peers.send(id, message);
        }
    }

    void onHeartbeat(const wire::Envelope &message)
    {
        const wire::Heartbeat &heartbeat = message.heartbeat();
        const EntryId sender{message.sender()};
        if (sender == settings.self) {
            return;
        }
        const TimePoint time = now();
        membership.heartbeat(parseHeartbeat(message, membership),
                             Duration(static_cast<Duration::rep>(heartbeat.store_contact_age_us())), time);
        connect(sender, heartbeat.address());
        for (const auto &[key, value] : values) {
            const auto peerVersion = std::find_if(heartbeat.in_force().begin(), heartbeat.in_force().end(),
                                                  [&key = key](const auto &inForce) { return inForce.key() == key; });
            const std::uint64_t version = peerVersion == heartbeat.in_force().end() ? 0 : peerVersion->version();
            sendUpdateIfLagging(sender, value, version, time);
        }
        checkWaiters();
    }

    /// Sends the value to a peer that reports an older version. The first live entry by id that has the current version
    /// sends it at once; the others only after UpdateLagRounds heartbeats, since otherwise each of them would send the
    /// whole value.
    void sendUpdateIfLagging(const EntryId &peer, const StoreValue &value, std::uint64_t peerVersion, TimePoint time)
    {
        int &rounds = links[peer].lag[value.key];
        if (peerVersion >= value.version) {
            rounds = 0;
            return;
        }
        ++rounds;
        // The lagging peer itself cannot be the sender of the update.
        const std::vector<EntryId> live = membership.live(time);
        const auto ahead = std::find_if(live.begin(), live.end(), [&](const EntryId &id) {
            const EntryStatus *status = membership.entry(id);
            const auto position = status->inForce.find(value.key);
            return id != peer && position != status->inForce.end() && position->second >= value.version;
        });
        if (rounds > UpdateLagRounds || ahead == live.end() || *ahead == settings.self) {
            peers.send(peer, makeConfigUpdate(value));
        }
    }

    // Configuration

    void adopt(const StoreValue &value)
    {
        StoreValue &present = values.at(value.key);
        if (value.version <= present.version) {
            return;  // also skips deletions: a value in force is never removed
        }
        present = value;
        membership.setInForce(value.key, value.version);
        for (const auto &change : pending) {
            if (change->key == value.key && change->value == value.value) {
                change->observedVersion = value.version;
            }
        }
        const std::vector<ChangeHandler> handlersCopy = handlers[value.key];
        const StoreValue copy = value;
        for (const ChangeHandler &handler : handlersCopy) {
            handler(copy);
        }
        scheduleHeartbeat();
    }

    void change(const std::string &key, std::uint64_t expected, std::string value, ChangeDone done)
    {
        const auto refuse = [&](ErrorCode code, const std::string &reason) {
            boost::asio::post(io, [done, error = Error{code, reason}] { done(error); });
        };
        if (!values.contains(key)) {
            refuse(ErrorCode::Invalid, "key " + key + " is not one of the configuration keys");
            return;
        }
        if (membership.coordinationDown(now())) {
            refuse(ErrorCode::Unavailable,
                   "this entry's calls to the coordination service fail; changes are refused until the calls succeed "
                   "again");
            return;
        }
        const auto request = std::make_shared<PendingChange>(
            PendingChange{key, expected, std::move(value), std::move(done), now() + ReadBackTimeout});
        pending.push_back(request);
        swap(request);
    }

    void swap(const std::shared_ptr<PendingChange> &request)
    {
        const SwapRequest call{request->key, request->expected, request->value, ""};
        coordination.swap(call, unlessClosed<std::uint64_t>([this, request](Result<std::uint64_t> version) {
                              if (version) {
                                  finish(request, StoreValue{request->key, request->value, version.value()});
                              } else if (version.error().code == ErrorCode::Unknown) {
                                  request->answerLost = true;
                                  readBack(request);
                              } else if (version.error().code == ErrorCode::Conflict) {
                                  // The key is read back even if no answer was lost: the transport may have sent the
                                  // swap twice, and the second copy may conflict with the first.
                                  readBack(request);
                              } else if (request->answerLost) {
                                  scheduleReadBack(request);
                              } else {
                                  finish(request, version.error());
                              }
                          }));
    }

    /// Finds out whether a swap took effect. If the key still has the expected version, the swap is sent again with the
    /// same expected version, so it takes effect at most once even if the first swap arrives later.
    void readBack(const std::shared_ptr<PendingChange> &request)
    {
        coordination.read(
            request->key, unlessClosed<StoreValue>([this, request](Result<StoreValue> present) {
                if (!present) {
                    scheduleReadBack(request);
                    return;
                }
                const StoreValue &found = present.value();
                if (found.value == request->value && found.version != request->expected) {
                    finish(request, found);
                    return;
                }
                if (found.version == request->expected) {
                    swap(request);
                    return;
                }
                if (found.version != 0) {
                    adopt(found);
                }
                if (request->observedVersion != 0) {
                    finish(request, StoreValue{request->key, request->value, request->observedVersion});
                } else if (request->answerLost) {
                    finish(request,
                           Error{ErrorCode::Unknown,
                                 "the answer to the write was lost, and the key has changed since, to version "
                                     + std::to_string(found.version)});
                } else {
                    finish(request,
                           Error{ErrorCode::Conflict,
                                 "the key was changed by another writer; its version is now "
                                     + std::to_string(found.version)});
                }
            }));
    }

    void scheduleReadBack(const std::shared_ptr<PendingChange> &request)
    {
        if (request->observedVersion != 0) {
            finish(request, StoreValue{request->key, request->value, request->observedVersion});
            return;
        }
        if (now() >= request->deadline) {
            finish(request,
                   request->answerLost
                       ? Error{ErrorCode::Unknown,
                               "the coordination service did not answer; the change may have taken effect"}
                       : Error{ErrorCode::Conflict,
                               "the key has another version than expected and could not be read back"});
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(io);
        startTimer(*timer, jitter(RetryDelayMin, 3 * RetryDelayMin), [this, request, timer] { readBack(request); });
    }

    void finish(const std::shared_ptr<PendingChange> &request, const Result<StoreValue> &result)
    {
        std::erase(pending, request);
        if (result) {
            adopt(result.value());
            for (const auto &[id, link] : links) {
                // Large values are not queued for a peer that is paused or has ended. A paused peer's next heartbeat
                // contains the older version, and onHeartbeat() sends the value then.
                const EntryStatus *status = membership.entry(id);
                if (status && now() - status->lastHeartbeat < ViewTimeout) {
                    peers.send(id, makeConfigUpdate(result.value()));
                }
            }
        }
        request->done(result);
    }

    void checkWaiters()
    {
        const TimePoint time = now();
        std::vector<Waiter> current;
        current.swap(waiters);
        std::vector<std::pair<Waiter, std::vector<EntryId>>> ready;
        for (Waiter &waiter : current) {
            std::vector<EntryId> missing = membership.unconfirmed(waiter.key, waiter.version, time);
            if (missing.empty() || time >= waiter.deadline) {
                ready.emplace_back(std::move(waiter), std::move(missing));
            } else {
                waiters.push_back(std::move(waiter));
            }
        }
        for (auto &[waiter, missing] : ready) {
            waiter.done(std::move(missing));
        }
    }

    // Instance list

    /// The responsible entry reads the instance list and sends it to the other entries. An entry whose list is stale
    /// reads the list itself.
    void onInstanceTimer()
    {
        const TimePoint time = now();
        const bool stale = !instancesAsOf || time - *instancesAsOf > 5 * settings.instancePeriod / 2;
        if (stale || membership.responsible("instances", time) == settings.self) {
            readInstances();
        }
        startTimer(instanceTimer, jitter(settings.instancePeriod * 9 / 10, settings.instancePeriod * 11 / 10),
                   [this] { onInstanceTimer(); });
    }

    void readInstances()
    {
        if (readingInstances) {
            return;
        }
        readingInstances = true;
        const TimePoint startedAt = now();
        coordination.instances(
            unlessClosed<std::vector<InstanceRecord>>([this, startedAt](Result<std::vector<InstanceRecord>> read) {
                readingInstances = false;
                if (!read) {
                    logRepeated(LogLevel::Warn, "instance-list-failed", settings.self.value,
                                {{"reason", read.error().message}});
                    return;
                }
                setInstances(std::move(read.value()), startedAt);
                if (membership.responsible("instances", now()) == settings.self) {
                    sendInstances();
                }
            }));
    }

    void setInstances(std::vector<InstanceRecord> list, TimePoint asOf)
    {
        if (instancesAsOf && asOf < *instancesAsOf) {
            return;
        }
        const bool first = !instancesAsOf;
        std::sort(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
        instancesAsOf = asOf;
        if (!first && list == instances) {
            return;
        }
        instances = std::move(list);
        const std::vector<std::function<void()>> handlersCopy = instanceHandlers;
        for (const std::function<void()> &handler : handlersCopy) {
            handler();
        }
    }

    /// Sends only the records that changed since the previous message. A receiver whose list does not match the base of
    /// the difference reads the list from the coordination service.
    void sendInstances()
    {
        wire::Envelope message;
        wire::InstanceList &list = *message.mutable_instance_list();
        list.set_age_us(static_cast<std::uint64_t>((now() - *instancesAsOf).count()));
        fillInstanceList(list, instances, sentInstances);
        sentInstances = instances;
        peers.broadcast(message);
    }

    void onInstanceList(const wire::InstanceList &list)
    {
        Result<std::vector<InstanceRecord>> records = applyInstanceList(list, instances);
        if (!records) {
            readInstances();
            return;
        }
        setInstances(std::move(records.value()), now() - Duration(static_cast<Duration::rep>(list.age_us())));
    }

    // Stop

    /// The stop is announced in several heartbeats, the first ones before the registration is removed. An entry
    /// whose registration ends without an announcement counts as cut off, and majorities still include it.
    void stop(std::function<void()> done)
    {
        if (stopping) {
            return;
        }
        stopping = true;
        membership.setStopping();
        leaseTimer.cancel();
        sendHeartbeats();
        const auto completion = std::make_shared<std::function<void()>>(std::move(done));
        const auto end = [self = this->shared_from_this(), completion] {
            if (!self->closed) {
                self->sendHeartbeats();
                self->close();
                (*completion)();
            }
        };
        startTimer(stopTimer, StopTimeout, end);
        startTimer(leaseTimer, 2 * ConfirmDelay, [this, end] {
            sendHeartbeats();
            if (lease.empty()) {
                end();
            } else {
                coordination.remove(ownKey(), registeredVersion, [end](const Result<bool> &) { end(); });
            }
        });
    }

    /// Wraps a completion handler so that it is not called after the cluster has been closed.
    template<class T, class F>
    Done<T> unlessClosed(F next)
    {
        return [self = this->shared_from_this(), next = std::move(next)](Result<T> result) mutable {
            if (!self->closed) {
                next(std::move(result));
            }
        };
    }

    struct Link  // connection to a peer
    {
        std::string endpoint;
        TimePoint reportedAt;  // time of the last record, heartbeat or setting with the endpoint
        /// By key: number of consecutive heartbeats in which the peer's version was older than this entry's version.
        std::map<std::string, int> lag;
    };
    inline static const std::string EntriesPrefix = "entries/";

    boost::asio::io_context &io;
    S &coordination;
    Peers &peers;
    ClusterSettings settings;
    Membership membership;
    std::mt19937_64 random;  // for the jitter of retry delays and periods
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer heartbeatTimer;
    boost::asio::steady_timer watchTimer;
    boost::asio::steady_timer leaseTimer;
    boost::asio::steady_timer instanceTimer;
    boost::asio::steady_timer stopTimer;
    std::string prefixes;
    std::map<std::string, StoreValue> values;
    std::map<std::string, std::vector<ChangeHandler>> handlers;
    std::map<EntryId, Link> links;
    std::vector<Waiter> waiters;
    std::vector<std::shared_ptr<PendingChange>> pending;
    std::string lease;
    std::uint64_t registeredVersion = 0;
    std::uint64_t watchedVersion = 0;
    std::uint64_t round = 0;
    int leaseFailures = 0;
    int watchFailures = 0;
    std::vector<InstanceRecord> instances;
    std::vector<std::function<void()>> instanceHandlers;
    std::optional<TimePoint> instancesAsOf;
    std::vector<InstanceRecord> sentInstances;  // the list last sent to the other entries
    bool readingInstances = false;
    bool registering = false;
    bool superseded = false;
    bool stopping = false;
    bool closed = false;
};

// [3] Functions of Cluster --------------------------------------------------------------------------------------------

template<CoordinationService S>
Cluster<S>::Cluster(boost::asio::io_context &io, S &coordination, Peers &peers, ClusterSettings settings)
    : m_state(std::make_shared<State>(io, coordination, peers, std::move(settings)))
{
}

template<CoordinationService S>
Cluster<S>::~Cluster()
{
    m_state->close();
}

template<CoordinationService S>
void Cluster<S>::start()
{
    m_state->start();
}

template<CoordinationService S>
void Cluster<S>::stop(std::function<void()> done)
{
    m_state->stop(std::move(done));
}

template<CoordinationService S>
void Cluster<S>::change(const std::string &key, std::uint64_t expected, std::string value, ChangeDone done)
{
    m_state->change(key, expected, std::move(value), std::move(done));
}

template<CoordinationService S>
const StoreValue &Cluster<S>::inForce(const std::string &key) const
{
    static const StoreValue none;
    const auto position = m_state->values.find(key);
    return position == m_state->values.end() ? none : position->second;
}

template<CoordinationService S>
void Cluster<S>::onChanged(const std::string &key, ChangeHandler handler)
{
    m_state->handlers[key].push_back(std::move(handler));
}

template<CoordinationService S>
void Cluster<S>::onInstances(std::function<void()> handler)
{
    m_state->instanceHandlers.push_back(std::move(handler));
}

template<CoordinationService S>
const std::vector<InstanceRecord> &Cluster<S>::instances() const
{
    return m_state->instances;
}

template<CoordinationService S>
void Cluster<S>::waitInForce(const std::string &key, std::uint64_t version, Duration timeout,
                             std::function<void(std::vector<EntryId> missing)> done)
{
    m_state->waiters.push_back({key, version, now() + timeout, std::move(done)});
}

template<CoordinationService S>
Membership &Cluster<S>::membership()
{
    return m_state->membership;
}

template<CoordinationService S>
S &Cluster<S>::coordination()
{
    return m_state->coordination;
}

template<CoordinationService S>
Peers &Cluster<S>::peers()
{
    return m_state->peers;
}

template<CoordinationService S>
boost::asio::io_context &Cluster<S>::io()
{
    return m_state->io;
}

template<CoordinationService S>
TimePoint Cluster<S>::now() const
{
    return State::now();
}

}
