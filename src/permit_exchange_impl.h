#pragma once

// Member functions of PermitExchange that permit_exchange.h does not define. Only to be included by that header.
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
void PermitExchange<C>::State::updateResponsibility(Pool &pool, TimePoint now)
{
    const EntryId responsible = cluster.membership().responsible("permits/" + pool.config.id.value, now);
    if (responsible == self().entry) {
        if (pool.mode != Mode::Responsible) {
            enterMode(pool, Mode::Responsible, responsible, now);
        }
    } else if (responsible != pool.responsible || pool.mode == Mode::Responsible) {
        enterMode(pool, Mode::Remote, responsible, now);
    }
    if (pool.router) {
        const int slots = grantableSlots(pool, pool.mode, now);
        if (slots != pool.routerSlots) {
            pool.routerSlots = slots;
            deliverDecisions(pool, pool.router->setSlots(slots, now), now);
        }
    }
}

template<class C>
void PermitExchange<C>::State::enterMode(Pool &pool, Mode mode, const EntryId &responsible, TimePoint now)
{
    const EntryId previous = pool.responsible;
    pool.mode = mode;
    pool.responsible = responsible;
    pool.lastMessage = now;
    pool.router.reset();
    if (mode != Mode::Remote) {
        RouterSettings settings;
        settings.slots = grantableSlots(pool, mode, now);
        // Makes the permit ids of different processes, and of successive routers of one process, distinct.
        settings.permitBase = ((self().startId & 0xFFFFF) << 44) + ((routerCount++ & 0x3FF) << 34) + 1;
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
            pool.router->awaitReports(others, now);
        }
        pool.router->applyReport(self(), heldPermits(pool.config.id, now), now);
        deliverDecisions(pool, pool.router->setInstances(pool.config.admitted, pool.config.members, now), now);
        sendQueries(pool, now);
    }
    // Reports the held permits to the responsible entry, so that it counts their slots as occupied. If a query from the
    // responsible entry is still on its way to this entry, the responsible entry takes this report for the answer and
    // may free a permit whose grant is also on its way. This entry's answer to the query then lists that permit again.
    if (mode == Mode::Remote && !responsible.empty() && !heldPermits(pool.config.id, now).empty()) {
        sendState(pool.config.id, responsible, now);
    }
    for (auto &[id, pending] : pool.pending) {
        if (pending.permit != 0) {
            continue;
        }
        if (!previous.empty() && previous != responsible && pending.sentTo == previous) {
            sendCancel(pool, id, previous);
        }
    }
    // sendPending() may remove items from `pool.pending`, so the ids are copied first.
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
void PermitExchange<C>::State::useStaticShareIfUnanswered(Pool &pool, TimePoint now)
{
    if (pool.mode != Mode::Remote) {
        return;
    }
    const bool unanswered = std::any_of(pool.pending.begin(), pool.pending.end(), [&](const auto &item) {
        return item.second.permit == 0
            && now - std::max(item.second.firstSent, pool.lastMessage) >= permit_times::StaticShareAfter;
    });
    if (unanswered) {
        enterMode(pool, Mode::StaticShare, pool.responsible, now);
    }
}

template<class C>
void PermitExchange<C>::State::onResponsibleMessage(Pool &pool, const EntryId &sender, TimePoint now)
{
    if (sender != pool.responsible || sender == self().entry) {
        return;
    }
    pool.lastMessage = now;
    if (pool.mode == Mode::StaticShare) {
        enterMode(pool, Mode::Remote, sender, now);
    }
}

template<class C>
void PermitExchange<C>::State::sendPending(Pool &pool, Pending &pending, TimePoint now)
{
    pending.sent = now;
    const bool probeDue = pool.mode == Mode::StaticShare && now - pool.lastProbe >= permit_times::ProbePeriod;
    if ((pool.mode == Mode::Remote || probeDue) && !pool.responsible.empty()) {
        if (pending.sentTo != pool.responsible) {
            pending.sentTo = pool.responsible;
            pending.firstSent = now;
        }
        pool.lastProbe = now;
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
        deliverDecisions(pool, pool.router->enqueue({self(), pending.info, pending.avoid}, now), now);
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
void PermitExchange<C>::State::deliverDecisions(Pool &pool, const std::vector<PermitDecision> &decisions, TimePoint now)
{
    for (const PermitDecision &decision : decisions) {
        if (decision.key.requester == self()) {
            handleDecision(pool.config.id, decision, self().entry, now);
            continue;
        }
        wire::Envelope message;
        wire::PermitDecision &content = *message.mutable_permit_decision();
        content.set_request_id(decision.key.request);
        content.set_pool(pool.config.id.value);
        content.set_permit_id(decision.permit);
        content.set_instance(decision.instance.value);
        content.set_valid_us(static_cast<std::uint64_t>(decision.validity.count()));
        content.set_reusable(decision.reusable);
        content.set_refusal(std::string(toString(decision.refusal)));
        sendTo(decision.key.requester.entry, std::move(message));
    }
}

template<class C>
void PermitExchange<C>::State::handleDecision(const PoolId &id, const PermitDecision &decision, const EntryId &from,
                                              TimePoint now)
{
    Pool *pool = find(id.value);
    const auto found = pool ? pool->pending.find(decision.key.request) : typename decltype(pool->pending)::iterator{};
    const bool isPending = pool && found != pool->pending.end();
    if (decision.permit == 0) {
        const bool mayRefuse = isPending && (from == pool->responsible || pool->mode == Mode::StaticShare);
        if (mayRefuse && found->second.permit == 0) {
            refuse(*pool, decision.key.request, ErrorCode::Refused,
                   std::string(toString(decision.refusal)) + ": no permit from the pool " + id.value, now);
        }
        return;
    }
    if (isPending && found->second.permit == 0) {
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
    // A grant that arrives again must not free the slot, which is in use. Only a grant that is no longer needed is
    // released.
    const bool repeated = (isPending && found->second.permit == decision.permit)
        || std::any_of(held.begin(), held.end(),
                       [&](const auto &item) { return item.second.permit == decision.permit; });
    if (!repeated) {
        Held unused;
        unused.pool = id;
        unused.permit = decision.permit;
        unused.instance = decision.instance;
        unused.grantedBy = from;
        sendRelease(unused, true, UpstreamResult::NotSent, Duration{0}, now);
    }
}

/// Runs the callback of a granted request, unless work may no longer start on the instance.
template<class C>
void PermitExchange<C>::State::start(const PoolId &id, std::uint64_t requestId, std::uint64_t permit, bool reusable,
                                     TimePoint validUntil, const EntryId &from)
{
    const TimePoint now = cluster.now();
    Pool *pool = find(id.value);
    const auto found = pool ? pool->pending.find(requestId) : typename decltype(pool->pending)::iterator{};
    if (!pool || found == pool->pending.end() || found->second.permit != permit) {
        return;  // the request was cancelled and cancel() has released the permit, or the pool was removed
    }
    Pending &pending = found->second;
    Held use{id, permit, pending.info, pending.instance, from, pending.grantedAt, validUntil, reusable, false};
    if (!cluster.membership().mayStartWork(now)) {
        sendRelease(use, true, UpstreamResult::NotSent, Duration{0}, now);
        refuse(*pool, requestId, ErrorCode::Unavailable, "this entry's view of the fleet is too old to start work",
               now);
        return;
    }
    if (pending.info.deadline <= now) {
        sendRelease(use, true, UpstreamResult::NotSent, Duration{0}, now);
        refuse(*pool, requestId, ErrorCode::Refused, "deadline: the permit arrived after the deadline", now);
        return;
    }
    if (!pool->admitted.contains(pending.instance) || validUntil <= now) {
        // The responsible entry's view of the fleet is older than this entry's, or this process was paused. The request
        // is sent again by a later tick, not at once, because the responsible entry may choose the same instance until
        // its view has changed.
        pending.permit = 0;
        pending.sent = now;
        pending.sentTo = EntryId{};
        if (!pool->admitted.contains(pending.instance)) {
            pending.avoid.push_back(pending.instance);
        }
        sendRelease(use, true, UpstreamResult::NotSent, Duration{0}, now);
        return;
    }
    const Granted granted = std::move(pending.granted);
    pool->pending.erase(found);
    const std::uint64_t useId = nextUseId++;
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
        deliverDecisions(pool, pool.router->cancel({self(), requestId}, now), now);
    }
}

// [3] Messages --------------------------------------------------------------------------------------------------------

template<class C>
void PermitExchange<C>::State::receive(const wire::Envelope &message)
{
    const TimePoint now = cluster.now();
    const Requester sender{EntryId{message.sender()}, message.start_id()};
    // Returns the pool if this entry is responsible for it, otherwise null.
    const auto responsiblePool = [&](const std::string &id) -> Pool * {
        Pool *pool = find(id);
        if (pool) {
            updateResponsibility(*pool, now);
        }
        return pool && pool->mode == Mode::Responsible ? pool : nullptr;
    };
    if (message.has_permit_request()) {
        const wire::PermitRequest &content = message.permit_request();
        const auto requestClass = parseEnum<RequestClass>(content.request_class());
        Pool *pool = responsiblePool(content.pool());
        if (!pool || !requestClass) {
            return;
        }
        PermitRequest request;
        request.requester = sender;
        request.info = {content.request_id(), ServiceId{content.service()}, content.route(), TenantId{content.tenant()},
                        *requestClass,        content.idempotent()};
        request.info.arrived = now - Duration{static_cast<std::int64_t>(content.waited_us())};
        request.info.deadline = now + Duration{static_cast<std::int64_t>(content.remaining_us())};
        for (const std::string &instance : content.avoid()) {
            request.avoid.push_back(InstanceId{instance});
        }
        deliverDecisions(*pool, pool->router->enqueue(request, now), now);
    } else if (message.has_permit_cancel()) {
        if (Pool *pool = responsiblePool(message.permit_cancel().pool())) {
            deliverDecisions(*pool, pool->router->cancel({sender, message.permit_cancel().request_id()}, now), now);
        }
    } else if (message.has_permit_release()) {
        const wire::PermitRelease &content = message.permit_release();
        const auto result = parseEnum<UpstreamResult>(content.result());
        Pool *pool = responsiblePool(content.pool());
        if (!pool || !result) {
            return;
        }
        const auto &services = pool->config.services;
        const auto service = std::find_if(services.begin(), services.end(),
                                          [&](const ServiceSpec &spec) { return spec.id.value == content.service(); });
        deliverDecisions(*pool,
                         pool->router->release(
                             sender, content.permit_id(), InstanceId{content.instance()}, ServiceId{content.service()},
                             content.route(), service == services.end() ? RequestClass::Short : service->requestClass,
                             *result, Duration{static_cast<std::int64_t>(content.service_time_us())}, now),
                         now);
    } else if (message.has_permit_decision()) {
        const wire::PermitDecision &content = message.permit_decision();
        if (Pool *pool = find(content.pool())) {
            onResponsibleMessage(*pool, sender.entry, now);
        }
        PermitDecision decision;
        decision.key = {self(), content.request_id()};
        decision.permit = content.permit_id();
        decision.instance = InstanceId{content.instance()};
        decision.validity = Duration{static_cast<std::int64_t>(content.valid_us())};
        decision.reusable = content.reusable();
        decision.refusal = parseEnum<Refusal>(content.refusal()).value_or(Refusal::None);
        handleDecision(PoolId{content.pool()}, decision, sender.entry, now);
    } else if (message.has_permit_state()) {
        const wire::PermitState &content = message.permit_state();
        if (Pool *pool = responsiblePool(content.pool())) {
            std::vector<HeldPermit> permits;
            for (const wire::HeldPermit &permit : content.held()) {
                permits.push_back({permit.permit_id(), permit.request_id(), InstanceId{permit.instance()},
                                   parseEnum<RequestClass>(permit.request_class()).value_or(RequestClass::Short),
                                   Duration{static_cast<std::int64_t>(permit.running_us())}});
            }
            deliverDecisions(*pool, pool->router->applyReport(sender, permits, now), now);
        }
    } else if (message.has_permit_state_query()) {
        const PoolId id{message.permit_state_query().pool()};
        // The state is sent before any request that onResponsibleMessage() may send, so that the responsible entry
        // counts these slots as occupied when it decides on the request.
        sendState(id, sender.entry, now);
        if (Pool *pool = find(id.value)) {
            onResponsibleMessage(*pool, sender.entry, now);
        }
    }
}

template<class C>
std::vector<HeldPermit> PermitExchange<C>::State::heldPermits(const PoolId &id, TimePoint now) const
{
    std::vector<HeldPermit> list;
    for (const auto &[useId, permit] : held) {
        if (permit.pool == id) {
            list.push_back(
                {permit.permit, permit.info.id, permit.instance, permit.info.requestClass, now - permit.grantedAt});
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
    for (const HeldPermit &permit : heldPermits(id, now)) {
        wire::HeldPermit &content = *state.add_held();
        content.set_permit_id(permit.permit);
        content.set_request_id(permit.request);
        content.set_instance(permit.instance.value);
        content.set_request_class(std::string(toString(permit.requestClass)));
        content.set_running_us(static_cast<std::uint64_t>(permit.running.count()));
    }
    sendTo(entry, std::move(message));
}

template<class C>
void PermitExchange<C>::State::sendQueries(Pool &pool, TimePoint now)
{
    for (const EntryId &entry : pool.router->entriesToQuery(now)) {
        if (entry == self().entry) {
            deliverDecisions(pool, pool.router->applyReport(self(), heldPermits(pool.config.id, now), now), now);
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
    const std::vector<EntryId> liveIds = cluster.membership().live(now);
    const std::set<EntryId> liveNow(liveIds.begin(), liveIds.end());
    for (auto &[id, pool] : pools) {
        updateResponsibility(pool, now);
        useStaticShareIfUnanswered(pool, now);
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
            const bool unconfirmed = pool.lastMessage <= pending.firstSent;
            const Duration period = unconfirmed ? permit_times::ResendUnconfirmed : permit_times::ResendConfirmed;
            if (!mayStart) {
                refuse(pool, request, ErrorCode::Unavailable, "this entry's view of the fleet is too old to start work",
                       now);
            } else if (pending.info.deadline <= now) {
                refuse(pool, request, ErrorCode::Refused, "deadline: no permit arrived before the deadline", now);
            } else if (pending.sentTo.empty() ? now > pending.sent : now - pending.sent >= period) {
                sendPending(pool, pending, now);
            }
        }
        if (pool.router) {
            for (const EntryId &entry : live) {
                if (!liveNow.contains(entry)) {
                    deliverDecisions(pool, pool.router->entryLost(entry, now), now);
                }
            }
            for (const EntryId &entry : liveNow) {
                if (!live.contains(entry)) {
                    pool.router->entryRecovered(entry);
                }
            }
            deliverDecisions(pool, pool.router->tick(now), now);
            sendQueries(pool, now);
        }
    }
    live = liveNow;
    std::vector<Held> expired;
    std::erase_if(held, [&](const auto &item) {
        const bool isExpired = item.second.idle && item.second.validUntil <= now;
        if (isExpired) {
            expired.push_back(item.second);
        }
        return isExpired;
    });
    for (const Held &permit : expired) {
        sendRelease(permit, true, UpstreamResult::NotSent, Duration{0}, now);
    }
}

}
