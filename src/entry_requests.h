#pragma once

// The request path: finds the service of a request, claims its idempotency key, waits for a permit, sends the request
// to an upstream and passes the response on. Runs on the I/O thread.
//
// Index
// [1] Settings and reports
// [2] Routes
// [3] Request options and response fields
// [4] The request path

#include "entry_idempotency.h"
#include "entry_permits.h"
#include "http.h"
#include "http_timers.h"
#include "upstream.h"

#include <unordered_map>
#include <unordered_set>

namespace briarvane
{

// [1] Settings and reports --------------------------------------------------------------------------------------------

struct RequestSettings
{
    std::uint64_t startId = 0;           // first part of the request ids that this entry generates
    Duration maxTimeout{3'600'000'000};  // largest timeout accepted in Briarvane-Timeout-Ms
    /// An answer with a declared length up to this is received completely before its head is sent to the caller, so
    /// that an incomplete answer can still be replaced by another attempt or by an error.
    std::size_t bufferedAnswerBytes = 64UL << 10U;
    /// While more bytes than this wait to be sent to a caller, the entry reads no more of the upstream's answer to its
    /// request.
    std::size_t callerBufferBytes = 256UL << 10U;
    Duration slowCallerTimeout{10'000'000};    // total time for which a slow caller may pause the answer
    std::size_t maxStoredAnswer = 1UL << 20U;  // bytes; larger bodies of answers to keyed requests are not kept
    int maxAttempts = 3;                       // attempts per request, each on another instance
};

/// Report on one request, made after its last event.
struct FinishedRequest
{
    ServiceId service;  // empty: no service has a route for the path
    TenantId tenant;
    RequestClass requestClass = RequestClass::Short;
    Outcome outcome = Outcome::NotRun;
    int status = 0;           // status sent to the caller; 0: none was sent
    int upstreamStatus = 0;   // status that the last attempt received; 0: no answer
    Duration queueWait{0};    // wait for permits, summed over all attempts
    Duration serviceTime{0};  // time for which the last attempt held its permit
    Duration totalTime{0};
    int retries = 0;
    bool callerDisconnected = false;
    bool truncated = false;  // the response was aborted after its head had been sent
};

/// Numbers of unfinished requests of one service at this entry.
struct ServiceLoad
{
    int open = 0;     // requests that have not finished
    int sending = 0;  // requests that hold a permit
};

// [2] Routes ----------------------------------------------------------------------------------------------------------

/// Finds the service of a path: the one with the longest route that equals the path or is a prefix of it up to a slash.
class RouteTable
{
public:
    void assign(const Sheet &sheet);
    const ServiceSpec *find(std::string_view path) const;
    const PoolSpec *pool(const PoolId &id) const;
    /// Label under which service times are estimated: method, route and the path segment after the route. The segment
    /// is left out if it contains a digit, because it is probably an id. The number of labels is bounded, because
    /// callers choose the paths.
    std::string routeLabel(const ServiceSpec &service, std::string_view method, std::string_view path);

private:
    std::unordered_map<std::string, ServiceSpec> m_services;  // key: route without trailing slashes
    std::unordered_map<PoolId, PoolSpec> m_pools;
    std::unordered_set<std::string> m_routeLabels;
};

// [3] Request options and response fields -----------------------------------------------------------------------------

/// Options that a caller sets by header fields.
struct RequestOptions
{
    TenantId tenant;
    std::string requestId;  // empty: absent
    std::optional<Duration> timeout;
    std::string idempotencyKey;  // empty: absent
};

Result<RequestOptions> parseRequestOptions(const HttpRequest &request, Duration maxTimeout);
bool idempotentMethod(std::string_view method);  // GET, HEAD, PUT, DELETE, OPTIONS
/// The upstream's header fields without those named Briarvane-*, which only entries set.
HttpFields answerFields(const HttpFields &upstream);
void addOutcome(HttpFields &fields, Outcome outcome, const std::string &requestId);
/// HTTP status for a request that got no permit: 429 if a quota was exceeded, otherwise 503.
int refusalStatus(const Error &error);

// [4] The request path ------------------------------------------------------------------------------------------------

/// Handles the requests of callers. The permit and idempotency clients are template parameters so that tests can use
/// fakes. The object must outlive the callbacks of both clients.
template<class Permits, class Idempotency>
class BasicRequestPath
{
public:
    using Finished = std::function<void(const FinishedRequest &)>;

    BasicRequestPath(boost::asio::io_context &io, Permits &permits, Idempotency &idempotency, UpstreamClient &upstreams,
                     RequestSettings settings)
        : m_permits(permits)
        , m_idempotency(idempotency)
        , m_upstreams(upstreams)
        , m_settings(settings)
        , m_timers(io)
    {
    }

    /// Called on each change of the sheet, the fleet or the instance list. `entries` is the number of registered
    /// entries, at least 1; the connections to an instance are divided among them.
    void configure(const Sheet &sheet, const Fleet &fleet, const std::vector<InstanceRecord> &records, int entries);
    void handle(const std::shared_ptr<HttpExchange> &exchange);  // handler of the HttpServer
    void onFinished(Finished finished)
    {
        m_finished = std::move(finished);
    }
    /// Number of requests per instance that hold a permit, including those whose caller has disconnected.
    std::map<InstanceId, int> inFlight() const
    {
        return m_inFlight;
    }
    std::size_t open() const  // number of requests that have not finished
    {
        return m_open;
    }
    const std::map<ServiceId, ServiceLoad> &load() const
    {
        return m_load;
    }

private:
    enum class Phase { Claiming, Queued, Sending, Done };

    /// One request from its arrival to its last event.
    struct Run
    {
        std::shared_ptr<HttpExchange> exchange;  // null after the response has ended or the caller has disconnected
        Phase phase = Phase::Claiming;
        RequestInfo info;
        PoolId pool;
        std::string requestId;
        std::shared_ptr<const std::string> body;
        std::optional<HeldClaim> claim;       // set until the claim has ended
        std::optional<GrantedPermit> permit;  // set while the permit is held
        InstanceId lastInstance;
        std::vector<InstanceId> avoid;  // instances on which an attempt failed
        UpstreamCall call;
        bool sent = false;  // at least one byte was sent to an upstream in any attempt
        TimePoint queuedAt;
        TimePoint sentAt;

        // Answer of the upstream
        HttpResponseHead head;
        std::string contentType;
        bool buffered = false;   // the head and body are kept back until the answer is complete
        bool committed = false;  // the head has been sent to the caller
        std::string bufferedBody;
        std::string bodyToStore;  // body of the answer, for the idempotency record
        bool bodyToStoreComplete = true;
        Duration stallBudget{0};  // remaining part of RequestSettings::slowCallerTimeout
        TimePoint pausedAt;
        Timers::Key stallTimer;
        FinishedRequest report;
    };
    using RunPtr = std::shared_ptr<Run>;

    void claim(const RunPtr &run, const std::string &key);
    void claimed(const RunPtr &run, const ClaimResult &result);
    void queue(const RunPtr &run);
    void granted(const RunPtr &run, const Result<GrantedPermit> &result);
    void send(const RunPtr &run);
    void answerHead(const RunPtr &run, const HttpHead &head);
    void answerBody(const RunPtr &run, std::string_view piece);
    void pauseForCaller(const RunPtr &run);
    void answerEnd(const RunPtr &run, UpstreamResult result);
    void attemptFailed(const RunPtr &run, UpstreamResult result);
    void commit(const RunPtr &run);
    void callerDisconnected(const RunPtr &run);
    void release(const RunPtr &run, UpstreamResult result);
    void settle(const RunPtr &run, IdempotencyState state, StoredAnswer answer = {});
    void endUnansweredClaim(const RunPtr &run);
    void refuse(const RunPtr &run, int status, Outcome outcome, std::string_view message);
    void finish(const RunPtr &run, Outcome outcome);

    Permits &m_permits;
    Idempotency &m_idempotency;
    UpstreamClient &m_upstreams;
    RequestSettings m_settings;
    Timers m_timers;
    RouteTable m_routes;
    Finished m_finished;
    std::map<InstanceId, int> m_inFlight;
    std::map<ServiceId, ServiceLoad> m_load;
    std::size_t m_open = 0;
    std::uint64_t m_sequence = 0;
};

template<CoordinationService S>
using RequestPath = BasicRequestPath<PermitClient<S>, IdempotencyClient<S>>;

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::configure(const Sheet &sheet, const Fleet &fleet,
                                                       const std::vector<InstanceRecord> &records, int entries)
{
    m_routes.assign(sheet);
    std::map<InstanceId, UpstreamEndpoint> endpoints;
    for (const InstanceRecord &record : records) {
        if (record.presence == Presence::Gone) {
            continue;
        }
        UpstreamEndpoint endpoint{record.address, record.port};
        const auto member = fleet.instances.find(record.id);
        const PoolSpec *pool = member == fleet.instances.end() ? nullptr : m_routes.pool(member->second.pool);
        endpoint.connections
            = std::max(1, (pool == nullptr ? PoolSpec().connections : pool->connections) / std::max(1, entries));
        endpoints.emplace(record.id, endpoint);
    }
    m_upstreams.configure(std::move(endpoints));
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto run = std::make_shared<Run>();
    ++m_open;
    HttpRequest &request = exchange->request();
    run->exchange = exchange;
    run->info.arrived = steadyNow();
    run->stallBudget = m_settings.slowCallerTimeout;
    const Result<RequestOptions> options = parseRequestOptions(request, m_settings.maxTimeout);
    run->requestId = options ? options.value().requestId : std::string();
    if (run->requestId.empty()) {
        run->requestId = std::to_string(m_settings.startId) + "-" + std::to_string(++m_sequence);
    }
    if (!options) {
        refuse(run, 400, Outcome::NotRun, options.error().message);
        return;
    }
    const ServiceSpec *service = m_routes.find(request.path());
    if (service == nullptr) {
        refuse(run, 404, Outcome::NotRun, "no service has a route for this path");
        return;
    }
    run->pool = service->pool;
    run->info.service = service->id;
    run->info.route = m_routes.routeLabel(*service, request.method, request.path());
    run->info.tenant = options.value().tenant;
    run->info.requestClass = service->requestClass;
    run->info.idempotent = service->idempotent || idempotentMethod(request.method);
    run->info.deadline = run->info.arrived + options.value().timeout.value_or(service->deadline);
    run->report.service = service->id;
    ++m_load[service->id].open;
    run->report.tenant = run->info.tenant;
    run->report.requestClass = service->requestClass;
    request.fields.remove("Briarvane-Request-Id");
    request.fields.add("Briarvane-Request-Id", run->requestId);
    exchange->onDisconnect([this, weak = std::weak_ptr<Run>(run)] {
        if (const auto locked = weak.lock()) {
            callerDisconnected(locked);
        }
    });
    if (!run->info.idempotent && !options.value().idempotencyKey.empty()) {
        claim(run, options.value().idempotencyKey);
    } else {
        queue(run);
    }
}

// Idempotency keys

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::claim(const RunPtr &run, const std::string &key)
{
    const HttpRequest &request = run->exchange->request();
    m_idempotency.claim(hashIdempotencyKey(run->info.service, run->info.tenant, key),
                        hashRequestBody(request.method, request.target, request.body), idempotencyKeyIssuedMs(key),
                        run->info.deadline, [this, run](const ClaimResult &result) { claimed(run, result); });
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::claimed(const RunPtr &run, const ClaimResult &result)
{
    if (result.verdict == Verdict::Run) {
        run->claim = result.claim;
        if (run->phase == Phase::Done) {  // the caller disconnected before the verdict
            settle(run, IdempotencyState::Abandoned);
        } else {
            queue(run);
        }
        return;
    }
    if (run->phase == Phase::Done) {
        return;
    }
    switch (result.verdict) {
    case Verdict::Replay:
        if (result.answer.bodyStored) {
            HttpFields fields;
            addOutcome(fields, Outcome::Answered, run->requestId);
            fields.add("Briarvane-Replayed", "true");
            run->report.status = result.answer.status;
            const auto exchange = std::exchange(run->exchange, nullptr);
            exchange->respond(result.answer.status, result.answer.contentType, result.answer.body, std::move(fields));
            finish(run, Outcome::Answered);
            return;
        }
        refuse(run, 502, Outcome::Unknown,
               "the request with this idempotency key has run, but its answer was not stored");
        return;
    case Verdict::InProgress:
        refuse(run, 409, Outcome::InProgress, "a request with this idempotency key is in progress");
        return;
    case Verdict::KeyConflict:
        refuse(run, 422, Outcome::KeyConflict, "this idempotency key was used for another request");
        return;
    case Verdict::Busy:
        refuse(run, 503, Outcome::NotRun, "the idempotency key could not be recorded before the deadline");
        return;
    default:
        refuse(run, 502, Outcome::Unknown, "a request with this idempotency key may have run");
    }
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::settle(const RunPtr &run, IdempotencyState state, StoredAnswer answer)
{
    if (run->claim) {
        const HeldClaim claim = *std::exchange(run->claim, std::nullopt);
        m_idempotency.settle(claim, state, std::move(answer));
    }
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::endUnansweredClaim(const RunPtr &run)
{
    settle(run, run->sent ? IdempotencyState::Unknown : IdempotencyState::Abandoned);
}

// Permits

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::queue(const RunPtr &run)
{
    run->phase = Phase::Queued;
    run->info.id = ++m_sequence;
    run->queuedAt = steadyNow();
    m_permits.request(run->pool, run->info, run->avoid,
                      [this, run](const Result<GrantedPermit> &result) { granted(run, result); });
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::granted(const RunPtr &run, const Result<GrantedPermit> &result)
{
    if (run->phase != Phase::Queued) {
        if (result) {
            m_permits.release(result.value(), run->info, UpstreamResult::NotSent, Duration{0});
        }
        return;
    }
    const TimePoint now = steadyNow();
    run->report.queueWait += now - run->queuedAt;
    if (!result) {
        const bool mayHaveRun = run->sent;
        endUnansweredClaim(run);
        refuse(run, mayHaveRun ? 502 : refusalStatus(result.error()), mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
               result.error().message);
        return;
    }
    run->permit = result.value();
    run->lastInstance = run->permit->instance;
    ++m_inFlight[run->permit->instance];
    ++m_load[run->info.service].sending;
    run->sentAt = now;
    if (now >= run->info.deadline || !m_upstreams.hasEndpoint(run->permit->instance)) {
        release(run, UpstreamResult::NotSent);
        attemptFailed(run, UpstreamResult::NotSent);
        return;
    }
    send(run);
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::release(const RunPtr &run, UpstreamResult result)
{
    if (!run->permit) {
        return;
    }
    const GrantedPermit permit = *std::exchange(run->permit, std::nullopt);
    run->report.serviceTime = steadyNow() - run->sentAt;
    --m_load[run->info.service].sending;
    const auto count = m_inFlight.find(permit.instance);
    if (--count->second == 0) {
        m_inFlight.erase(count);
    }
    m_permits.release(permit, run->info, result, run->report.serviceTime);
}

// Upstream attempts

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::send(const RunPtr &run)
{
    run->phase = Phase::Sending;
    HttpRequest &request = run->exchange->request();
    if (run->body == nullptr && !request.body.empty()) {
        run->body = std::make_shared<const std::string>(std::move(request.body));
    }
    UpstreamEvents events;
    events.head = [this, run](const HttpHead &head) { answerHead(run, head); };
    events.body = [this, run](std::string_view piece) { answerBody(run, piece); };
    events.batchEnd = [run] {
        if (run->committed && run->exchange != nullptr) {
            run->exchange->flush();
        }
    };
    events.end = [this, run](UpstreamResult result) { answerEnd(run, result); };
    run->call = m_upstreams.send(run->permit->instance, {request.method, request.target, request.fields, run->body},
                                 run->info.deadline, std::move(events));
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::answerHead(const RunPtr &run, const HttpHead &head)
{
    run->report.upstreamStatus = head.status;
    run->head = {};
    run->head.status = head.status;
    run->head.fields = answerFields(head.fields);
    addOutcome(run->head.fields, Outcome::Answered, run->requestId);
    if (head.framing == Framing::Length) {
        run->head.length = head.length;
    }
    if (run->claim) {
        const std::string *contentType = head.fields.find("Content-Type");
        run->contentType = contentType == nullptr ? std::string() : *contentType;
    }
    run->bufferedBody.clear();
    run->buffered = head.framing != Framing::Chunked && head.length <= m_settings.bufferedAnswerBytes;
    if (!run->buffered && run->exchange != nullptr) {
        commit(run);
    }
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::commit(const RunPtr &run)
{
    run->committed = true;
    run->report.status = run->head.status;
    run->exchange->head(std::move(run->head));
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::answerBody(const RunPtr &run, std::string_view piece)
{
    if (run->claim && run->bodyToStoreComplete) {
        run->bodyToStoreComplete = run->bodyToStore.size() + piece.size() <= m_settings.maxStoredAnswer;
        run->bodyToStore.append(run->bodyToStoreComplete ? piece : std::string_view());
    }
    if (run->buffered) {
        run->bufferedBody.append(piece);
    } else if (run->exchange != nullptr) {
        run->exchange->body(piece);
        if (run->exchange->unsentBytes() > m_settings.callerBufferBytes) {
            pauseForCaller(run);
        }
    }
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::pauseForCaller(const RunPtr &run)
{
    if (run->stallTimer.second != 0) {
        return;
    }
    run->call.pause();
    run->pausedAt = steadyNow();
    const std::weak_ptr<Run> weak = run;
    run->stallTimer = m_timers.at(run->pausedAt + run->stallBudget, [this, weak] {
        if (const auto stalled = weak.lock()) {
            stalled->stallTimer = {};
            stalled->report.truncated = true;
            const auto exchange = stalled->exchange;
            callerDisconnected(stalled);
            if (exchange != nullptr) {
                exchange->abort();
            }
        }
    });
    run->exchange->onDrained([this, weak] {
        const auto paused = weak.lock();
        if (paused != nullptr && paused->stallTimer.second != 0) {
            m_timers.cancel(paused->stallTimer);
            paused->stallBudget -= steadyNow() - paused->pausedAt;
            paused->call.resume();
        }
    });
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::answerEnd(const RunPtr &run, UpstreamResult result)
{
    run->sent = run->sent || run->call.sent();
    run->call = {};  // drops the event handlers, which hold references to the run
    m_timers.cancel(run->stallTimer);
    release(run, result);
    if (result != UpstreamResult::Completed && result != UpstreamResult::ServerError) {
        attemptFailed(run, result);
        return;
    }
    StoredAnswer answer{run->report.upstreamStatus, run->contentType, std::move(run->bodyToStore),
                        run->bodyToStoreComplete};
    settle(run, IdempotencyState::Finished, std::move(answer));
    if (const auto exchange = run->exchange) {
        if (run->buffered) {
            commit(run);
            exchange->body(run->bufferedBody);
        }
        run->exchange = nullptr;
        exchange->end();
    }
    finish(run, Outcome::Answered);
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::attemptFailed(const RunPtr &run, UpstreamResult result)
{
    // If `sent` is false, no upstream has received a byte of the request in any attempt, so another instance may be
    // tried.
    const bool mayResend = run->info.idempotent || !run->sent;
    const bool timeLeft = steadyNow() < run->info.deadline;
    if (run->exchange != nullptr && !run->committed && mayResend && timeLeft
        && run->report.retries + 1 < m_settings.maxAttempts && m_permits.mayRetry(run->info)) {
        ++run->report.retries;
        run->report.upstreamStatus = 0;
        run->avoid.push_back(run->lastInstance);
        queue(run);
        return;
    }
    const Outcome outcome = run->sent ? Outcome::Unknown : Outcome::NotRun;
    endUnansweredClaim(run);
    if (run->committed && run->exchange != nullptr) {
        run->report.truncated = true;
        const auto exchange = std::exchange(run->exchange, nullptr);
        exchange->abort();
        finish(run, outcome);
        return;
    }
    const int status = !run->sent ? 503 : result == UpstreamResult::TimedOut ? 504 : 502;
    refuse(run, status, outcome,
           run->sent ? "no complete answer from the upstream (" + std::string(toString(result)) + ")"
                     : "the request could not be sent to any upstream");
}

// End of a request

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::callerDisconnected(const RunPtr &run)
{
    run->exchange = nullptr;
    run->report.callerDisconnected = true;
    m_timers.cancel(run->stallTimer);
    run->sent = run->sent || run->call.sent();
    switch (run->phase) {
    case Phase::Done:
        return;
    case Phase::Claiming:
        break;  // claimed() ends the claim when the verdict arrives
    case Phase::Queued:
        m_permits.cancel(run->pool, run->info.id);
        endUnansweredClaim(run);
        break;
    case Phase::Sending:
        if (run->claim && run->sent) {
            run->call.resume();  // the answer is stored, so that a retry with the same key can get it
            return;
        }
        run->call.cancel();
        run->call = {};
        release(run, run->sent ? UpstreamResult::Cancelled : UpstreamResult::NotSent);
        endUnansweredClaim(run);
    }
    finish(run, run->sent ? Outcome::Unknown : Outcome::NotRun);
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::refuse(const RunPtr &run, int status, Outcome outcome,
                                                    std::string_view message)
{
    if (const auto exchange = std::exchange(run->exchange, nullptr)) {
        HttpFields fields;
        addOutcome(fields, outcome, run->requestId);
        if (status == 503 || status == 429 || status == 409) {
            fields.add("Retry-After", "1");
        }
        run->report.status = status;
        exchange->respond(status, "text/plain", std::string(message) + "\n", std::move(fields));
    }
    finish(run, outcome);
}

template<class Permits, class Idempotency>
void BasicRequestPath<Permits, Idempotency>::finish(const RunPtr &run, Outcome outcome)
{
    if (run->phase == Phase::Done) {
        return;
    }
    run->phase = Phase::Done;
    --m_open;
    if (!run->report.service.empty()) {
        --m_load[run->report.service].open;
    }
    run->report.outcome = outcome;
    run->report.totalTime = steadyNow() - run->info.arrived;
    if (m_finished) {
        m_finished(run->report);
    }
}

}
