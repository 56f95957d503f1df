#pragma once

// Second part of permit_exchange.h, which includes it.
//
// Index
// [1] Responsibility
// [2] Decisions
// [3] Messages
// [4] Timer

#include "permit_exchange.h"

namespace briarvane
{

// [1] Responsibility --------------------------------------------------------------------------------------------------

template<class C>
void PermitExchange<C>::State::refresh(Pool &pool, TimePoint now)
{
    const EntryId responsible = cluster.membership().responsible("permits/" + pool.config.id.value, now);
    if (responsible == self().entry) {
        if (pool.mode != Mode::Responsible) {
            enter(pool, Mode::Responsible, responsible, now);
        }
    } else if (responsible != pool.responsible || pool.mode == Mode::Responsible) {
        enter(pool, Mode::Remote, responsible, now);
    }
    if (pool.router) {
        const int slots = grantableSlots(pool, pool.mode, now);
        if (slots != pool.routerSlots) {
            pool.routerSlots = slots;
            deliver(pool, pool.router->setSlots(slots, now), now);
        }
    }
}

template<class C>
void PermitExchange<C>::State::enter(Pool &pool, Mode mode, const EntryId &responsible, TimePoint now)
{
    const EntryId before = pool.responsible;
    pool.mode = mode;
    pool.responsible = responsible;
    pool.heard = now;
    pool.router.reset();
    if (mode != Mode::Remote) {
        RouterSettings settings;
        settings.slots = grantableSlots(pool, mode, now);
        // Permit ids of different processes and routers are kept apart.
        settings.permitBase = ((self().startId & 0xFFFFF) << 44) + ((routerSerial++ & 0x3FF) << 34) + 1;
        pool.routerSlots = settings.slots;
        pool.router.emplace(settings);
        for (const ServiceSpec &service : pool.config.services) {
            pool.router->setDeclared(service.id, service.declaredTime);
        }
        pool.router->setQuotas(pool.config.quotas);
        if (mode == Mode::Responsible) {
            std::set<EntryId> others;
            for (const EntryId &entry : cluster.membership().live(now)) {
                if (entry != self().entry) {
                    others.insert(entry);
                }
            }
            pool.router->gather(others, now);
        }
        pool.router->adopt(self(), heldOf(pool.config.id, now), now);
        deliver(pool, pool.router->setInstances(pool.config.admitted, pool.config.members, now), now);
        query(pool, now);
    }
    // The new responsible entry must know what this one holds before it grants more. Should it have a query on the way,
    // it takes this for the answer and may free a grant that crosses it; the real answer corrects that.
    if (mode == Mode::Remote && !responsible.empty() && !heldOf(pool.config.id, now).empty()) {
        sendState(pool.config.id, responsible, now);
    }
    for (auto &[id, pending] : pool.pending) {
        if (pending.permit != 0) {
            continue;
        }
        if (!before.empty() && before != responsible && pending.sentTo == before) {
            sendCancel(pool, id, before);
        }
    }
    // Decisions may change `pending`, so the ids are taken first.
    std::vector<std::uint64_t> ids;
    for (const auto &[id, pending] : pool.pending) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        const auto found = pool.pending.find(id);
        if (found != pool.pending.end() && found->second.permit == 0) {
            sendPending(pool, found->second, now);
        }
    }
}

template<class C>
void PermitExchange<C>::State::useStaticShareIfSilent(Pool &pool, TimePoint now)
{
    if (pool.mode != Mode::Remote) {
        return;
    }
    const bool silent = std::any_of(pool.pending.begin(), pool.pending.end(), [&](const auto &line) {
        return line.second.permit == 0 && now - std::max(line.second.firstSent, pool.heard) >= permit_times::Fallback;
    });
    if (silent) {
        enter(pool, Mode::StaticShare, pool.responsible, now);
    }
}

template<class C>
void PermitExchange<C>::State::heardResponsible(Pool &pool, const EntryId &sender, TimePoint now)
{
    if (sender != pool.responsible || sender == self().entry) {
        return;
    }
    pool.heard = now;
    if (pool.mode == Mode::StaticShare) {
        enter(pool, Mode::Remote, sender, now);
    }
}

template<class C>
void PermitExchange<C>::State::sendPending(Pool &pool, Pending &pending, TimePoint now)
{
    pending.sent = now;
    const bool probe = pool.mode == Mode::StaticShare && now - pool.probed >= permit_times::Probe;
    if ((pool.mode == Mode::Remote || probe) && !pool.responsible.empty()) {
        if (pending.sentTo != pool.responsible) {
            pending.sentTo = pool.responsible;
            pending.firstSent = now;
        }
        pool.probed = now;
        wire::Envelope message;
        wire::PermitRequest &request = *message.mutable_permit_request();
        request.set_request_id(pending.info.id);
        request.set_pool(pool.config.id.value);
        request.set_service(pending.info.service.value);
        request.set_route(pending.info.route);
        request.set_tenant(pending.info.tenant.value);
        request.set_request_class(std::string(toString(pending.info.requestClass)));
        request.set_idempotent(pending.info.idempotent);
        request.set_waited_us(
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - pending.info.arrived).count())));
        request.set_remaining_us(
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, (pending.info.deadline - now).count())));
        for (const InstanceId &instance : pending.avoid) {
            request.add_avoid(instance.value);
        }
        sendTo(pool.responsible, std::move(message));
    }
    if (pool.mode == Mode::Remote && pool.responsible.empty()) {
        pending.firstSent = pending.firstSent == TimePoint{} ? now : pending.firstSent;
    }
    if (pool.router) {
        deliver(pool, pool.router->enqueue({self(), pending.info, pending.avoid}, now), now);
    }
}

template<class C>
void PermitExchange<C>::State::sendTo(const EntryId &entry, wire::Envelope message)
{
    cluster.peers().send(entry, std::move(message));
}

template<class C>
void PermitExchange<C>::State::sendCancel(const Pool &pool, std::uint64_t requestId, const EntryId &entry)
{
    if (entry == self().entry) {
        return;
    }
    wire::Envelope message;
    message.mutable_permit_cancel()->set_request_id(requestId);
    message.mutable_permit_cancel()->set_pool(pool.config.id.value);
    sendTo(entry, std::move(message));
}

// [2] Decisions -------------------------------------------------------------------------------------------------------

template<class C>
void PermitExchange<C>::State::deliver(Pool &pool, const std::vector<PermitDecision> &decisions, TimePoint now)
{
    for (const PermitDecision &decision : decisions) {
        if (decision.key.requester == self()) {
            decide(pool.config.id, decision, self().entry, now);
            continue;
        }
        wire::Envelope message;
        wire::PermitDecision &wired = *message.mutable_permit_decision();
        wired.set_request_id(decision.key.request);
        wired.set_pool(pool.config.id.value);
        wired.set_permit_id(decision.permit);
        wired.set_instance(decision.instance.value);
        wired.set_valid_us(static_cast<std::uint64_t>(decision.validity.count()));
        wired.set_reusable(decision.reusable);
        wired.set_refusal(std::string(toString(decision.refusal)));
        sendTo(decision.key.requester.entry, std::move(message));
    }
}

template<class C>
void PermitExchange<C>::State::decide(const PoolId &id, const PermitDecision &decision, const EntryId &from,
                                      TimePoint now)
{
    Pool *pool = find(id.value);
    const auto found = pool ? pool->pending.find(decision.key.request) : typename decltype(pool->pending)::iterator{};
    const bool wanted = pool && found != pool->pending.end();
    if (decision.permit == 0) {
        const bool current = wanted && (from == pool->responsible || pool->mode == Mode::StaticShare);
        if (current && found->second.permit == 0) {
            refuse(*pool, decision.key.request, ErrorCode::Refused,
                   std::string(toString(decision.refusal)) + ": no permit from the pool " + id.value, now);
        }
        return;
    }
    if (wanted && found->second.permit == 0) {
        Pending &pending = found->second;
        pending.permit = decision.permit;
        pending.instance = decision.instance;
        pending.grantedAt = now;
        if (pool->mode == Mode::StaticShare && !pending.sentTo.empty()) {
            sendCancel(*pool, decision.key.request, pending.sentTo);
        }
        pending.sentTo = from;
        boost::asio::post(cluster.io(),
                          [weak = this->weak_from_this(), id, request = decision.key.request, permit = decision.permit,
                           reusable = decision.reusable, until = now + decision.validity, from] {
                              if (const auto locked = weak.lock()) {
                                  locked->start(id, request, permit, reusable, until, from);
                              }
                          });
        return;
    }
    // The same grant sent again must not free a slot that is in use.
    const bool sameGrant = (wanted && found->second.permit == decision.permit)
        || std::any_of(held.begin(), held.end(),
                       [&](const auto &line) { return line.second.permit == decision.permit; });
    if (!sameGrant) {
        Held late;
        late.pool = id;
        late.permit = decision.permit;
        late.instance = decision.instance;
        late.grantedBy = from;
        returnPermit(late, true, UpstreamResult::NotSent, Duration{0}, now);
    }
}

/// Runs the callback of a granted request, unless work on the instance may not start any more.
template<class C>
void PermitExchange<C>::State::start(const PoolId &id, std::uint64_t requestId, std::uint64_t permit, bool reusable,
                                     TimePoint validUntil, const EntryId &from)
{
    const TimePoint now = cluster.now();
    Pool *pool = find(id.value);
    const auto found = pool ? pool->pending.find(requestId) : typename decltype(pool->pending)::iterator{};
    if (!pool || found == pool->pending.end() || found->second.permit != permit) {
        return;  // cancelled, and given back there
    }
    Pending &pending = found->second;
    Held use{id, permit, pending.info, pending.instance, from, pending.grantedAt, validUntil, reusable, false};
    if (!cluster.membership().mayStartWork(now)) {
        returnPermit(use, true, UpstreamResult::NotSent, Duration{0}, now);
        refuse(*pool, requestId, ErrorCode::Unavailable, "this entry's view of the fleet is too old to start work",
               now);
        return;
    }
    if (pending.info.deadline <= now) {
        returnPermit(use, true, UpstreamResult::NotSent, Duration{0}, now);
        refuse(*pool, requestId, ErrorCode::Refused, "deadline: the permit came too late", now);
        return;
    }
    if (!pool->admitted.contains(pending.instance) || validUntil <= now) {
        // The responsible entry may have an older fleet view, or this process was paused. It is asked again on a tick,
        // not at once, because it may repeat its choice until its view has changed.
        pending.permit = 0;
        pending.sent = now;
        pending.sentTo = EntryId{};
        if (!pool->admitted.contains(pending.instance)) {
            pending.avoid.push_back(pending.instance);
        }
        returnPermit(use, true, UpstreamResult::NotSent, Duration{0}, now);
        return;
    }
    const Granted granted = std::move(pending.granted);
    pool->pending.erase(found);
    const std::uint64_t useId = nextUse++;
    const InstanceId instance = use.instance;
    held.emplace(useId, std::move(use));
    granted(GrantedPermit{useId, id, instance});
}

template<class C>
void PermitExchange<C>::State::refuse(Pool &pool, std::uint64_t requestId, ErrorCode code, std::string message,
                                      TimePoint now)
{
    const auto found = pool.pending.find(requestId);
    const Pending pending = std::move(found->second);
    pool.pending.erase(found);
    boost::asio::post(cluster.io(), [granted = pending.granted, code, text = std::move(message)] {
        granted(Error{code, text});
    });
    if (!pending.sentTo.empty()) {
        sendCancel(pool, requestId, pending.sentTo);
    }
    if (pool.router) {
        deliver(pool, pool.router->cancel({self(), requestId}, now), now);
    }
}

// [3] Messages --------------------------------------------------------------------------------------------------------

template<class C>
void PermitExchange<C>::State::receive(const wire::Envelope &message)
{
    const TimePoint now = cluster.now();
    const Requester sender{EntryId{message.sender()}, message.start_id()};
    const auto granting = [&](const std::string &id) -> Pool * {
        Pool *pool = find(id);
        if (pool) {
            refresh(*pool, now);
        }
        return pool && pool->mode == Mode::Responsible ? pool : nullptr;
    };
    if (message.has_permit_request()) {
        const wire::PermitRequest &wired = message.permit_request();
        const auto requestClass = parseEnum<RequestClass>(wired.request_class());
        Pool *pool = granting(wired.pool());
        if (!pool || !requestClass) {
            return;
        }
        PermitRequest request;
        request.requester = sender;
        request.info = {wired.request_id(), ServiceId{wired.service()}, wired.route(), TenantId{wired.tenant()},
                        *requestClass,      wired.idempotent()};
        request.info.arrived = now - Duration{static_cast<std::int64_t>(wired.waited_us())};
        request.info.deadline = now + Duration{static_cast<std::int64_t>(wired.remaining_us())};
        for (const std::string &instance : wired.avoid()) {
            request.avoid.push_back(InstanceId{instance});
        }
        deliver(*pool, pool->router->enqueue(request, now), now);
    } else if (message.has_permit_cancel()) {
        if (Pool *pool = granting(message.permit_cancel().pool())) {
            deliver(*pool, pool->router->cancel({sender, message.permit_cancel().request_id()}, now), now);
        }
    } else if (message.has_permit_release()) {
        const wire::PermitRelease &wired = message.permit_release();
        const auto result = parseEnum<UpstreamResult>(wired.result());
        Pool *pool = granting(wired.pool());
        if (!pool || !result) {
            return;
        }
        const auto &services = pool->config.services;
        const auto service = std::find_if(services.begin(), services.end(),
                                          [&](const ServiceSpec &line) { return line.id.value == wired.service(); });
        deliver(*pool,
                pool->router->release(sender, wired.permit_id(), InstanceId{wired.instance()},
                                      ServiceId{wired.service()}, wired.route(),
                                      service == services.end() ? RequestClass::Short : service->requestClass, *result,
                                      Duration{static_cast<std::int64_t>(wired.service_time_us())}, now),
                now);
    } else if (message.has_permit_decision()) {
        const wire::PermitDecision &wired = message.permit_decision();
        if (Pool *pool = find(wired.pool())) {
            heardResponsible(*pool, sender.entry, now);
        }
        PermitDecision decision;
        decision.key = {self(), wired.request_id()};
        decision.permit = wired.permit_id();
        decision.instance = InstanceId{wired.instance()};
        decision.validity = Duration{static_cast<std::int64_t>(wired.valid_us())};
        decision.reusable = wired.reusable();
        decision.refusal = parseEnum<Refusal>(wired.refusal()).value_or(Refusal::None);
        decide(PoolId{wired.pool()}, decision, sender.entry, now);
    } else if (message.has_permit_state()) {
        const wire::PermitState &wired = message.permit_state();
        if (Pool *pool = granting(wired.pool())) {
            std::vector<HeldPermit> permits;
            for (const wire::HeldPermit &line : wired.held()) {
                permits.push_back({line.permit_id(), line.request_id(), InstanceId{line.instance()},
                                   parseEnum<RequestClass>(line.request_class()).value_or(RequestClass::Short),
                                   Duration{static_cast<std::int64_t>(line.running_us())}});
            }
            deliver(*pool, pool->router->adopt(sender, permits, now), now);
        }
    } else if (message.has_permit_state_query()) {
        const PoolId id{message.permit_state_query().pool()};
        sendState(id, sender.entry, now);  // before requests that may follow, so that the slots are known as taken
        if (Pool *pool = find(id.value)) {
            heardResponsible(*pool, sender.entry, now);
        }
    }
}

template<class C>
std::vector<HeldPermit> PermitExchange<C>::State::heldOf(const PoolId &id, TimePoint now) const
{
    std::vector<HeldPermit> list;
    for (const auto &[use, line] : held) {
        if (line.pool == id) {
            list.push_back({line.permit, line.info.id, line.instance, line.info.requestClass, now - line.since});
        }
    }
    const auto pool = pools.find(id);
    if (pool != pools.end()) {
        for (const auto &[request, pending] : pool->second.pending) {
            if (pending.permit != 0) {
                list.push_back(
                    {pending.permit, request, pending.instance, pending.info.requestClass, now - pending.grantedAt});
            }
        }
    }
    return list;
}

template<class C>
void PermitExchange<C>::State::sendState(const PoolId &id, const EntryId &entry, TimePoint now)
{
    wire::Envelope message;
    wire::PermitState &state = *message.mutable_permit_state();
    state.set_pool(id.value);
    for (const HeldPermit &line : heldOf(id, now)) {
        wire::HeldPermit &wired = *state.add_held();
        wired.set_permit_id(line.permit);
        wired.set_request_id(line.request);
        wired.set_instance(line.instance.value);
        wired.set_request_class(std::string(toString(line.requestClass)));
        wired.set_running_us(static_cast<std::uint64_t>(line.running.count()));
    }
    sendTo(entry, std::move(message));
}

template<class C>
void PermitExchange<C>::State::query(Pool &pool, TimePoint now)
{
    for (const EntryId &entry : pool.router->queries(now)) {
        if (entry == self().entry) {
            deliver(pool, pool.router->adopt(self(), heldOf(pool.config.id, now), now), now);
            continue;
        }
        wire::Envelope message;
        message.mutable_permit_state_query()->set_pool(pool.config.id.value);
        sendTo(entry, std::move(message));
    }
}

// [4] Timer -----------------------------------------------------------------------------------------------------------

template<class C>
void PermitExchange<C>::tick()
{
    m_state->tickAll();
}

template<class C>
void PermitExchange<C>::startTimer()
{
    m_state->arm();
}

template<class C>
void PermitExchange<C>::State::arm()
{
    timer.expires_after(permit_times::Tick);
    timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto locked = weak.lock();
        if (!error && locked) {
            locked->tickAll();
            locked->arm();
        }
    });
}

template<class C>
void PermitExchange<C>::State::tickAll()
{
    const TimePoint now = cluster.now();
    const bool mayStart = cluster.membership().mayStartWork(now);
    const std::vector<EntryId> heardNow = cluster.membership().live(now);
    const std::set<EntryId> liveNow(heardNow.begin(), heardNow.end());
    for (auto &[id, pool] : pools) {
        refresh(pool, now);
        useStaticShareIfSilent(pool, now);
        std::vector<std::uint64_t> ids;
        for (const auto &[request, pending] : pool.pending) {
            if (pending.permit == 0) {
                ids.push_back(request);
            }
        }
        for (const std::uint64_t request : ids) {
            const auto found = pool.pending.find(request);
            if (found == pool.pending.end() || found->second.permit != 0) {
                continue;
            }
            Pending &pending = found->second;
            const bool unheard = pool.heard <= pending.firstSent;
            const Duration period = unheard ? permit_times::ResendUnheard : permit_times::Resend;
            if (!mayStart) {
                refuse(pool, request, ErrorCode::Unavailable, "this entry's view of the fleet is too old to start work",
                       now);
            } else if (pending.info.deadline <= now) {
                refuse(pool, request, ErrorCode::Refused, "deadline: no permit in time", now);
            } else if (pending.sentTo.empty() ? now > pending.sent : now - pending.sent >= period) {
                sendPending(pool, pending, now);
            }
        }
        if (pool.router) {
            for (const EntryId &entry : live) {
                if (!liveNow.contains(entry)) {
                    deliver(pool, pool.router->entryLost(entry, now), now);
                }
            }
            for (const EntryId &entry : liveNow) {
                if (!live.contains(entry)) {
                    pool.router->entryFound(entry);
                }
            }
            deliver(pool, pool.router->tick(now), now);
            query(pool, now);
        }
    }
    live = liveNow;
    std::vector<Held> expired;
    std::erase_if(held, [&](const auto &line) {
        const bool ended = line.second.idle && line.second.validUntil <= now;
        if (ended) {
            expired.push_back(line.second);
        }
        return ended;
    });
    for (const Held &permit : expired) {
        returnPermit(permit, true, UpstreamResult::NotSent, Duration{0}, now);
    }
}

}
