#pragma once

// Stand-in of the coordination service: the protocol of section 3.3 of the design page over a store in memory. The
// program standin_coordination runs it as a process of its own; tests also run it in process. Single-threaded, with one
// session per connection.

#include "memory_store.h"
#include "standin_http.h"

namespace briarvane::standin
{

constexpr Duration RebootTime{2'000'000};  // time that a reboot takes unless the fault reboot_ms is set

struct CoordinationOptions
{
    std::uint16_t port = 0;
    /// Calls per second other than GET. The real coordination service sustains 500 writes per second.
    int writeLimit = 500;
    int readLimit = 2000;  // GET calls per second, including watches
    int listLagMs = 0;     // a new presence of an instance appears in the instance list after this time
    /// Control port (ip:port) of the upstream stand-in. If empty, reboots take down no upstream.
    std::string upstreamControl;
};

struct Faults
{
    bool down = false;
    int slowMs = 0;
    int loseResponses = 0;  // number of coming writes that take effect but whose connection is closed without a reply
    int failWrites = 0;     // number of coming writes that are answered with 503 and have no effect
    int rebootMs = static_cast<int>(RebootTime.count() / 1000);
};

inline json::object toJson(const StoreValue &value)
{
    return {{"key", value.key}, {"value", value.value}, {"version", value.version}};
}

inline json::array toJson(const std::vector<StoreValue> &values)
{
    json::array array;
    for (const StoreValue &value : values) {
        array.push_back(toJson(value));
    }
    return array;
}

inline Answer errorAnswer(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Conflict:
        return errorAnswer(409, error.message);
    case ErrorCode::NotFound:
        return errorAnswer(404, error.message);
    case ErrorCode::Invalid:
        return errorAnswer(400, error.message);
    default:
        return errorAnswer(503, error.message);
    }
}

class CoordinationStandIn
{
public:
    CoordinationStandIn(asio::io_context &io, CoordinationOptions options)
        : m_io(io)
        , m_options(std::move(options))
        , m_timer(io)
        , m_reads{m_options.readLimit}
        , m_writes{m_options.writeLimit}
    {
    }

    void start()
    {
        m_timer.expires_after(std::chrono::milliseconds(10));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                onTimer();
                start();
            }
        });
    }

    void handle(const Request &request, const Reply &reply)
    {
        const Target target = parseTarget({request.target().data(), request.target().size()});
        if (target.path == "/fault" || target.path == "/stats") {
            reply(target.path == "/stats" ? stats() : fault(target));
            return;
        }
        // Tests write the instance records, not the entries, so no fault and no rate limit applies to these writes.
        if (request.method() == http::verb::put && target.path.starts_with("/v1/instances/")) {
            reply(putInstance(target.path.substr(14), request.body()));
            return;
        }
        if (m_faults.slowMs > 0) {
            const auto timer = std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(m_faults.slowMs));
            timer->async_wait([this, timer, request, target, reply](const boost::system::error_code &) {
                serve(request, target, reply);
            });
            return;
        }
        serve(request, target, reply);
    }

private:
    struct Watch
    {
        std::string prefixes;     // separated by commas
        std::uint64_t after = 0;  // only changes after this version are reported
        TimePoint until;          // time at which the watch is answered if nothing has changed
        Reply reply;
    };
    struct ListedInstance
    {
        InstanceRecord record;
        // Presences with the times from which they hold. The instance list shows the newest presence that is older than
        // listLagMs, or the oldest recorded one if all are newer.
        std::deque<std::pair<TimePoint, Presence>> history;
        std::optional<TimePoint> rebootEndsAt;  // empty: the instance is not rebooting
    };

    void serve(const Request &request, const Target &target, const Reply &reply)
    {
        const std::string kind = kindOf(request, target);
        ++m_counts[kind];
        if (m_faults.down) {
            reply(errorAnswer(503, "the coordination service is down"));
            return;
        }
        const bool write = request.method() != http::verb::get;
        if (!(write ? m_writes : m_reads).take()) {
            ++m_counts["limited"];
            reply(errorAnswer(429, "too many calls"));
            return;
        }
        m_store.expire(steadyNow());
        if (kind == "watch") {
            const TimePoint until = steadyNow() + Duration(1000 * target.number("timeout_ms"));
            m_watches.push_back({target.text("prefix"), target.number("after"), until, reply});
            answerWatches();
            return;
        }
        const bool valueWrite = kind == "swap" || kind == "remove";
        if (valueWrite && m_faults.failWrites > 0) {
            --m_faults.failWrites;
            reply(errorAnswer(503, "the write failed"));
            return;
        }
        Answer answer = call(kind, request, target);
        if (valueWrite && m_faults.loseResponses > 0) {
            --m_faults.loseResponses;
            reply(std::nullopt);
        } else {
            reply(std::move(answer));
        }
        answerWatches();
    }

    static std::string kindOf(const Request &request, const Target &target)
    {
        const bool get = request.method() == http::verb::get;
        if (target.path == "/v1/kv") {
            if (get) {
                return target.has("key") ? "read" : "list";
            }
            return request.method() == http::verb::put    ? "swap"
                : request.method() == http::verb::delete_ ? "remove"
                                                          : "bad";
        }
        if (target.path == "/v1/watch" && get) {
            return "watch";
        }
        if (target.path == "/v1/leases" && !get) {
            return "grant";
        }
        if (target.path.starts_with("/v1/leases/") && target.path.ends_with("/renew") && !get) {
            return "renew";
        }
        if (target.path == "/v1/instances" && get) {
            return "instances";
        }
        if (target.path.starts_with("/v1/instances/") && target.path.ends_with("/reboot") && !get) {
            return "reboot";
        }
        return "bad";
    }

    Answer call(const std::string &kind, const Request &request, const Target &target)
    {
        if (kind == "read") {
            return {200, toJson(m_store.read(target.text("key")))};
        }
        if (kind == "list") {
            return {200, json::object{{"values", toJson(m_store.list(target.text("prefix")))}}};
        }
        if (kind == "swap") {
            const auto version
                = m_store.swap({target.text("key"), target.number("expected"), request.body(), target.text("lease")});
            return version ? Answer{200, json::object{{"version", version.value()}}} : errorAnswer(version.error());
        }
        if (kind == "remove") {
            const auto removed = m_store.remove(target.text("key"), target.number("expected"));
            return removed ? Answer{200, json::object{{"removed", true}}} : errorAnswer(removed.error());
        }
        if (kind == "grant") {
            const std::string lease = m_store.grantLease(Duration(1000 * target.number("ttl_ms")), steadyNow());
            return {200, json::object{{"lease", lease}}};
        }
        if (kind == "renew") {
            const std::string lease = target.path.substr(11, target.path.size() - 11 - 6);
            return {200, json::object{{"renewed", m_store.renewLease(lease, steadyNow())}}};
        }
        if (kind == "instances") {
            return {200, json::object{{"instances", instances()}}};
        }
        if (kind == "reboot") {
            return reboot(target.path.substr(14, target.path.size() - 14 - 7));
        }
        return errorAnswer(400, "no such call");
    }

    json::array instances() const
    {
        const TimePoint visibleUntil = steadyNow() - Duration(1000 * static_cast<std::int64_t>(m_options.listLagMs));
        json::array array;
        for (const auto &[id, listed] : m_instances) {
            Presence presence = listed.history.front().second;
            for (const auto &[since, nextPresence] : listed.history) {
                presence = since <= visibleUntil ? nextPresence : presence;
            }
            const InstanceRecord &record = listed.record;
            array.push_back(json::object{{"id", id},
                                         {"address", record.address},
                                         {"port", record.port},
                                         {"data_centre", record.dataCentre},
                                         {"rack", record.rack},
                                         {"presence", toString(presence)}});
        }
        return array;
    }

    Answer putInstance(const std::string &id, const std::string &body)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(body, error);
        if (error || !parsed.is_object()) {
            return errorAnswer(400, "the record is no JSON object");
        }
        const json::object &object = parsed.as_object();
        const auto text = [&object](std::string_view name) {
            const json::value *value = object.if_contains(name);
            return value && value->is_string() ? std::string(value->as_string()) : std::string();
        };
        const json::value *port = object.if_contains("port");
        const std::string presence = text("presence").empty() ? "live" : text("presence");
        if (!parseEnum<Presence>(presence) || !port || !port->is_number()) {
            return errorAnswer(400, "the record needs a port, and its presence is one of " + acceptedNames<Presence>());
        }
        ListedInstance &listed = m_instances[id];
        listed.record = {InstanceId{id},      text("address"), port->to_number<std::uint16_t>(),
                         text("data_centre"), text("rack"),    Presence::Live};
        setPresence(listed, *parseEnum<Presence>(presence));
        return {};
    }

    static void setPresence(ListedInstance &listed, Presence presence)
    {
        listed.history.emplace_back(steadyNow(), presence);
        constexpr std::size_t maxHistory = 16;
        if (listed.history.size() > maxHistory) {
            listed.history.pop_front();
        }
    }

    Answer reboot(const std::string &id)
    {
        const auto found = m_instances.find(id);
        if (found == m_instances.end()) {
            return errorAnswer(404, "no such instance");
        }
        setPresence(found->second, Presence::Gone);
        found->second.rebootEndsAt = steadyNow() + Duration(1000 * static_cast<std::int64_t>(m_faults.rebootMs));
        m_reboots.push_back(id);
        controlUpstream(id);
        return {200, json::object{{"accepted", true}}};
    }

    /// Makes the upstream stand-in take the instance down for the duration of the reboot.
    void controlUpstream(const std::string &id)
    {
        const std::size_t colon = m_options.upstreamControl.rfind(':');
        if (colon == std::string::npos) {
            return;
        }
        struct Call
        {
            explicit Call(asio::io_context &io)
                : stream(io)
            {
            }
            boost::beast::tcp_stream stream;
            http::request<http::empty_body> request;
            Response response;
            boost::beast::flat_buffer buffer;
        };
        const auto call = std::make_shared<Call>(m_io);
        const std::string host = m_options.upstreamControl.substr(0, colon);
        const auto port = static_cast<std::uint16_t>(std::stoi(m_options.upstreamControl.substr(colon + 1)));
        call->request = {http::verb::post,
                         "/fault?instance=" + id + "&kind=reboot&value=" + std::to_string(m_faults.rebootMs), 11};
        call->request.set(http::field::host, host);
        call->request.keep_alive(false);
        call->request.prepare_payload();
        call->stream.expires_after(std::chrono::seconds(2));
        call->stream.async_connect(
            tcp::endpoint(asio::ip::make_address(host), port),
            [this, call](const boost::system::error_code &connectError) {
                if (connectError) {
                    ++m_counts["upstream_control_failed"];
                    return;
                }
                http::async_write(call->stream, call->request,
                                  [this, call](const boost::system::error_code &writeError, std::size_t) {
                                      if (writeError) {
                                          ++m_counts["upstream_control_failed"];
                                          return;
                                      }
                                      http::async_read(
                                          call->stream, call->buffer, call->response,
                                          [this, call](const boost::system::error_code &readError, std::size_t) {
                                              if (readError || call->response.result_int() != 200) {
                                                  ++m_counts["upstream_control_failed"];
                                              }
                                          });
                                  });
            });
    }

    Answer fault(const Target &target)
    {
        for (const auto &[name, text] : target.query) {
            const int value = static_cast<int>(target.number(name));
            if (name == "down") {
                m_faults.down = value != 0;
            } else if (name == "slow_ms") {
                m_faults.slowMs = value;
            } else if (name == "lose_answers") {
                m_faults.loseResponses = value;
            } else if (name == "fail_writes") {
                m_faults.failWrites = value;
            } else if (name == "reboot_ms") {
                m_faults.rebootMs = value;
            } else if (name == "list_lag_ms") {
                m_options.listLagMs = value;
            } else if (name == "write_limit") {
                m_writes.limit = value;
            } else if (name == "read_limit") {
                m_reads.limit = value;
            } else if (name == "cut_watches") {
                closeWatches();
            } else {
                return errorAnswer(400, "no such fault: " + name);
            }
        }
        if (m_faults.down) {
            closeWatches();
        }
        return {};
    }

    void closeWatches()
    {
        std::vector<Watch> closed;
        closed.swap(m_watches);
        for (const Watch &watch : closed) {
            watch.reply(std::nullopt);
        }
    }

    Answer stats() const
    {
        json::object calls;
        std::uint64_t total = 0;
        for (const auto &[kind, count] : m_counts) {
            calls[kind] = count;
            total += kind == "limited" || kind == "upstream_control_failed" ? 0 : count;
        }
        json::array reboots;
        for (const std::string &id : m_reboots) {
            reboots.push_back(json::value(id));
        }
        return {200,
                json::object{{"calls", calls},
                             {"total", total},
                             {"waiting_watches", m_watches.size()},
                             {"version", m_store.version()},
                             {"reboots", reboots}}};
    }

    void answerWatches()
    {
        std::vector<Watch> waiting;
        waiting.swap(m_watches);
        for (Watch &watch : waiting) {
            const Result<WatchBatch> batch = m_store.changes(watch.prefixes, watch.after);
            if (!batch) {
                watch.reply(errorAnswer(410, batch.error().message));
            } else if (!batch.value().values.empty() || watch.until <= steadyNow()) {
                watch.reply(Answer{
                    200, json::object{{"version", batch.value().version}, {"values", toJson(batch.value().values)}}});
            } else {
                m_watches.push_back(std::move(watch));
            }
        }
    }

    void onTimer()
    {
        const TimePoint now = steadyNow();
        // Leases do not lapse while the fault `down` is set. Those that ran out meanwhile lapse when the fault ends.
        if (!m_faults.down) {
            m_store.expire(now);
        }
        for (auto &[id, listed] : m_instances) {
            if (listed.rebootEndsAt && *listed.rebootEndsAt <= now) {
                listed.rebootEndsAt.reset();
                setPresence(listed, Presence::Live);
            }
        }
        answerWatches();
    }

    asio::io_context &m_io;
    CoordinationOptions m_options;
    Faults m_faults;
    asio::steady_timer m_timer;
    MemoryStore m_store;
    std::vector<Watch> m_watches;
    std::map<std::string, ListedInstance> m_instances;
    std::map<std::string, std::uint64_t> m_counts;
    std::vector<std::string> m_reboots;
    RateLimit m_reads;
    RateLimit m_writes;
};

}
