// Tests the translation between the names and formats of the users' platform and this project's types
// (platform/wire.h).

#include "wire.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace briarvane::platform;
using namespace std::chrono_literals;

namespace
{

/// The text with each '#' replaced by the number.
std::string withNumber(std::string text, std::string_view number)
{
    for (std::size_t at = text.find('#'); at != std::string::npos; at = text.find('#', at)) {
        text.replace(at, 1, number);
    }
    return text;
}

}

TEST_CASE("A configuration is decoded with its queues, services and limits")
{
    const auto config
        = decodeDeploymentConfig(R"({"version":7,"routes":[{"name":"r-1","host":"h.example","prefix":"/k/",
        "kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":1,"service":"s1","max_attempts":4,
        "stretch":1.6}],"services":[{"name":"s1","max_conns":64,"admission_check":true,"spare":false},
        {"name":"s2","spare":true}],"limits":{"body_bytes":1000,"header_bytes":2000},"new_field":[1]})");
    REQUIRE(config);
    CHECK(config.value().version == 7);
    REQUIRE(config.value().queues.size() == 1);
    CHECK(config.value().queues[0].targetLatency == 600ms);
    CHECK(config.value().queues[0].stretch == 1.6);
    CHECK(config.value().services[0].enforcesCapacity);
    CHECK(config.value().services[1].spare);
    CHECK(config.value().bodyLimit == 1000);
    CHECK_FALSE(config.value().queues[0].advice.required);
    CHECK_FALSE(decodeDeploymentConfig("{}"));
    CHECK_FALSE(decodeDeploymentConfig("not json"));
}

TEST_CASE("A configuration is decoded with its workspaces")
{
    // Guards against keys, weights and quotas that are lost or mixed up, so that a caller is served as another one.
    const auto config
        = decodeDeploymentConfig(R"({"version":7,"routes":[{"name":"r-1","host":"h","prefix":"/k/","service":"s1",
        "public":true},{"name":"r-2","host":"h","prefix":"/l/","service":"s1","public":false}],"services":[],
        "tenants":[{"name":"a","api_keys":["k1","k2",3],"priority":1,"weight":145,
        "cap":{"cpu":20213363,"mem_mb":34049101,"gpu":2}},{"name":"b","api_keys":["k3"]},17]})");
    REQUIRE(config);
    CHECK(config.value().queues[0].isPublic);
    CHECK_FALSE(config.value().queues[1].isPublic);
    REQUIRE(config.value().workspaces.size() == 2);
    CHECK(config.value().workspaces[0] == Workspace{"a", {"k1", "k2"}, 145, {20'213'363, 34'049'101, 2}});
    CHECK(config.value().workspaces[1] == Workspace{"b", {"k3"}, 1, {}});

    SECTION("each key leads to its workspace")
    {
        CHECK(config.value().workspaceWithKey("k2")->name == "a");
        CHECK(config.value().workspaceWithKey("k3")->name == "b");
        CHECK(config.value().workspaceWithKey("k4") == nullptr);
        CHECK(config.value().workspaceWithKey("") == nullptr);
    }
    SECTION("a configuration without workspaces requires no keys")
    {
        const auto plain = decodeDeploymentConfig(R"({"version":1,"routes":[],"services":[]})");
        CHECK(plain.value().workspaces.empty());
    }
}

TEST_CASE("A malformed executor record is refused")
{
    const std::string valid = R"({"service":"s1","address":"10.0.0.1:80","zone":"z","state":"ready",
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-2"],"born":170})";
    const auto record = decodeExecutor("i-1", valid);
    REQUIRE(record);
    CHECK(record.value().port == 80);
    CHECK(record.value().rack == "r1-2");
    CHECK(record.value().startedMs == 170);
    CHECK_FALSE(record.value().draining);
    for (const char *text : {"", "[]", "{}", R"({"service":"s1","address":"10.0.0.1:80","state":"odd","capacity":{}})",
                             R"({"service":1,"address":"10.0.0.1:80","state":"ready","capacity":{}})",
                             R"({"service":"s1","address":"10.0.0.1","state":"ready","capacity":{}})",
                             R"({"service":"s1","address":"10.0.0.1:99999","state":"ready","capacity":{}})",
                             R"({"service":"s1","address":"10.0.0.1:80","state":"ready"})"}) {
        CHECK_FALSE(decodeExecutor("i-1", text));
    }
}

TEST_CASE("An odd record among those of the executors names no executor and is refused with a reason")
{
    // Guards against a report of other operators: one odd entry ended every process that read the list, or kept it from
    // reading the others.
    const auto record = [](const std::string &address, const std::string &more = "") {
        return R"({"service":"s1","address":")" + address + R"(","state":"ready","capacity":{"cpu":16000})" + more
            + "}";
    };
    REQUIRE(decodeExecutor("i-1", record("10.0.0.1:80")));

    SECTION("nested 10,000 levels deep")
    {
        const std::string nested = std::string(10'000, '[') + std::string(10'000, ']');
        CHECK_FALSE(decodeExecutor("i-1", record("10.0.0.1:80", R"(,"x":)" + nested)));
        CHECK_FALSE(decodeExecutor("i-1", std::string(10'000, '[')));
    }
    SECTION("with a port out of range, or without one")
    {
        for (const char *address : {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999999999999",
                                    "10.0.0.1:", "10.0.0.1:80x", "10.0.0.1", ":80", ""}) {
            CAPTURE(address);
            CHECK_FALSE(decodeExecutor("i-1", record(address)));
        }
    }
    SECTION("with an address that is no IPv4 address")
    {
        for (const char *address : {"[::1]:80", "::1:80", "host.example:80", "10.0.0.256:80", "10.0.0.1 :80"}) {
            CAPTURE(address);
            CHECK_FALSE(decodeExecutor("i-1", record(address)));
        }
    }
    SECTION("with numbers beyond the range of an integer, which are bounded or left out")
    {
        for (const char *number : {"1e300", "-1e300", "1e400", "18446744073709551616", "9223372036854775808", "1e18"}) {
            CAPTURE(number);
            const auto decoded
                = decodeExecutor("i-1",
                                 R"({"service":"s1","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":)"
                                     + std::string(number) + R"(,"mem_mb":)" + number + R"(},"born":)" + number + "}");
            if (decoded) {
                CHECK(decoded.value().capacity.milliCores >= 0);
                CHECK(decoded.value().capacity.milliCores <= 1'000'000);
                CHECK(decoded.value().capacity.memoryMb <= 1'000'000);
            }
        }
    }
    SECTION("with a megabyte of labels")
    {
        std::string labels = R"(,"labels":["a")";
        while (labels.size() < 1'000'000) {
            labels += R"(,"label")";
        }
        CHECK_FALSE(decodeExecutor("i-1", record("10.0.0.1:80", labels + "]")));
    }
    SECTION("with an id that would break the header field of a command")
    {
        const std::string valid = record("10.0.0.1:80");
        for (const std::string &id : {std::string(), std::string("i 1"), std::string("i\r\nX: 1"),
                                      std::string("i\0", 2), std::string(201, 'i')}) {
            CAPTURE(id);
            CHECK_FALSE(decodeExecutor(id, valid));
        }
    }
}

TEST_CASE("A report with one number that cannot be read is refused whole")
{
    // A later readable number must not hide an earlier unreadable one: the run would count as run 0.
    CHECK_FALSE(decodeExecutorReport(R"({"clock_ms":1,"running":[["t",1e300,"",0],["u",1,"",0]],"ended":[]})"));
    CHECK_FALSE(decodeExecutorReport(R"({"clock_ms":1,"running":[["t","x","",0],["u",1,"",0]],"ended":[]})"));
    CHECK_FALSE(
        decodeExecutorReport(R"({"clock_ms":1,"running":[],"ended":[[-1,"t",1,"done",""],[2,"u",1,"done",""]]})"));
    CHECK_FALSE(decodeExecutorReport(
        R"({"clock_ms":1,"running":[],"ended":[[1,"t",99999999999,"done",""],[2,"u",1,"done",""]]})"));
}

TEST_CASE("Numbers of jobs, configurations and waves are bounded, so that sums and products of them stay in range")
{
    Queue queue;
    for (const char *number :
         {"1e300", "-1e300", "9223372036854775807", "18446744073709551615", "-9223372036854775808"}) {
        CAPTURE(number);
        const auto job = decodeJob("5c0e7a21d94b36f8", queue,
                                   withNumber(R"({"times":2,"start_at_ms":#,"interval_ms":#,"steps":[{"count":100000,
            "cpu":#,"mem_mb":#,"estimate_ms":#,"may_miss":#,"target_ms":#}]})",
                                              number),
                                   17);
        REQUIRE(job);
        const StepSpec &step = job.value().steps[0];
        CHECK(step.estimate >= Duration{0});
        CHECK(step.estimate <= std::chrono::hours(24 * 30));
        CHECK(step.each.milliCores >= 0);
        CHECK(step.each.milliCores <= 1'000'000);
        CHECK(step.maxUnavailable >= 0);
        CHECK(job.value().intervalMs >= 0);
        const auto config = decodeDeploymentConfig(
            withNumber(R"({"version":1,"routes":[{"name":"r","max_attempts":#,"stretch":#,"target_latency_ms":#,
            "advice":{"decide_ms":#}}],"services":[{"name":"s","max_conns":#}]})",
                       number));
        REQUIRE(config);
        CHECK(config.value().queues[0].maxAttempts >= 1);
        CHECK(config.value().queues[0].stretch >= 0);
        CHECK(config.value().queues[0].targetLatency >= Duration{0});
        CHECK(config.value().queues[0].advice.callTime >= Duration{0});
        CHECK(config.value().services[0].connections >= 1);
        const auto wave = decodeWave(withNumber(R"({"wave":1,"machines":[],"within_s":#,"cap":#})", number));
        REQUIRE(wave);
        CHECK(wave.value().dueWithin >= Duration{0});
        CHECK(wave.value().maxConcurrent >= 1);
    }
}

TEST_CASE("An executor report with the longest list of ends is incomplete")
{
    // Guards against a run being taken for lost because its end had no room in the report.
    const auto reportWith = [](std::size_t ends) {
        std::string rows;
        for (std::size_t number = 1; number <= ends; ++number) {
            rows += (number == 1 ? "[" : ",[") + std::to_string(number) + R"(,"j.0.0.1",1,"done",""])";
        }
        return decodeExecutorReport(R"({"clock_ms":1,"born":17,"running":[],"ended":[)" + rows + "]}");
    };
    REQUIRE(reportWith(MaxReportedEnds));
    CHECK(reportWith(MaxReportedEnds).value().endsIncomplete);
    CHECK_FALSE(reportWith(MaxReportedEnds - 1).value().endsIncomplete);
}

TEST_CASE("An executor report lists the running tasks and the ended ones in order of their number")
{
    const auto report = decodeExecutorReport(R"({"clock_ms":482113,"born":17,"running":[["j.0.1.17",2,"c",41,123.5]],
        "ended":[[58,"j.0.1.9",1,"done",""],[57,"j.0.1.8",3,"failed","x"]]})");
    REQUIRE(report);
    CHECK(report.value().running[0].percent == 41);
    CHECK(report.value().running[0].load == 123.5);
    CHECK(report.value().ended[0].number == 57);
    CHECK(report.value().ended[0].how == RunEnd::Failed);
    CHECK(report.value().ended[1].how == RunEnd::Done);
    CHECK_FALSE(decodeExecutorReport(R"({"clock_ms":1,"running":[]})"));
    CHECK_FALSE(decodeExecutorReport(R"({"clock_ms":1,"running":[],"ended":[[1,"t",1,"odd",""]]})"));
}

TEST_CASE("A command counts as without effect only if it was not sent or a response says so")
{
    std::int64_t clock = 0;
    CHECK(decodeCommandResponse(0, true, "", clock) == CommandResult::Unanswered);
    CHECK(decodeCommandResponse(0, false, "", clock) == CommandResult::NotSent);
    CHECK(decodeCommandResponse(200, true, R"({"clock_ms":5})", clock) == CommandResult::Done);
    CHECK(clock == 5);
    CHECK(decodeCommandResponse(409, true, R"({"reason":"fence"})", clock) == CommandResult::Fenced);
    CHECK(decodeCommandResponse(409, true, R"({"reason":"old"})", clock) == CommandResult::Superseded);
    CHECK(decodeCommandResponse(409, true, R"({"reason":"late"})", clock) == CommandResult::Late);
    CHECK(decodeCommandResponse(409, true, R"({"reason":"room"})", clock) == CommandResult::NoRoom);
    CHECK(decodeCommandResponse(409, true, R"({"reason":"ticket"})", clock) == CommandResult::NoTicket);
    CHECK(decodeCommandResponse(421, true, "", clock) == CommandResult::Replaced);
    CHECK(decodeCommandResponse(503, true, "", clock) == CommandResult::Unhealthy);
    CHECK(decodeCommandResponse(500, true, "", clock) == CommandResult::Unanswered);
}

TEST_CASE("Advice policies, requests and tickets are translated")
{
    const auto config
        = decodeDeploymentConfig(R"({"version":7,"routes":[{"name":"r-1","host":"h","prefix":"/k/","service":"s1",
        "advice":{"decide_ms":300,"period_ms":0.5,"valid_ms":3000}}],"services":[]})");
    REQUIRE(config);
    const AdvicePolicy &policy = config.value().queues[0].advice;
    CHECK(policy.required);
    CHECK(policy.callTime == 300ms);
    CHECK(policy.perExecutor == 500us);
    CHECK(policy.valid == 3s);
    SECTION("a job keeps the advice policy of its queue when it is stored and parsed again")
    {
        JobRecord record;
        record.spec = decodeJob("5c0e7a21d94b36f8", config.value().queues[0], R"({"steps":[{"count":1}]})", 17).value();
        const auto parsed = parseJobRecord("5c0e7a21d94b36f8", encodeJobRecord(record));
        REQUIRE(parsed);
        CHECK(parsed.value().spec.advice.required);
        CHECK(parsed.value().spec.advice.perExecutor == 500us);
        CHECK(parsed.value().spec.advice.valid == 3s);
    }
    SECTION("a request contains the step and the executors, and a start command contains the ticket")
    {
        CHECK(encodeAdviceRequest({"5c0e7a21d94b36f8", 0, 1, {"i-1", "i-2"}, 1s})
              == R"({"step":"5c0e7a21d94b36f8.0.1","workers":["i-1","i-2"]})");
        ExecutorCommand start;
        start.kind = CommandKind::Start;
        CHECK(encodeCommand(start).find("ticket") == std::string::npos);
        start.ticket = "c81e";
        CHECK(encodeCommand(start).find(R"("ticket":"c81e")") != std::string::npos);
    }
    SECTION("a malformed advice response gives no tickets")
    {
        const auto advice = decodeAdvice(R"({"good":[["i-1","c81e"]],"valid_ms":2000})");
        REQUIRE(advice);
        CHECK(advice.value().tickets.at("i-1") == "c81e");
        CHECK(advice.value().valid == 2s);
        CHECK_FALSE(decodeAdvice(R"({"good":[["i-1"]]})"));
        CHECK_FALSE(decodeAdvice(R"({"valid_ms":2000})"));
        CHECK_FALSE(decodeAdvice("nothing"));
    }
}

TEST_CASE("Values in the store's JSON bodies are base64")
{
    StoreTxn txn;
    txn.expected.emplace_back("k", 3);
    txn.writes.push_back({"k", std::string("\0\1\xff", 3), 9});
    txn.removed.emplace_back("old");
    const std::string expected = R"({"precondition":[{"key":"k","revision":3}],)"
                                 R"("writes":[{"key":"k","value":"AAH/","lease":9}],"remove":["old"]})";
    CHECK(encodeTxn(txn) == expected);
    StoreReply reply;
    REQUIRE(
        decodeStoreBody(R"({"key":"k","value":"AAH/","revision":4,"created":2,"lease":0,"store_revision":9})", reply));
    CHECK(reply.items[0].value == std::string("\0\1\xff", 3));
    CHECK(reply.items[0].created == 2);
    CHECK(reply.revision == 9);
    StoreReply events;
    REQUIRE(decodeStoreBody(R"({"events":[{"key":"a","revision":5,"tombstone":true}],"store_revision":5})", events));
    CHECK(events.items[0].removed);
    CHECK_FALSE(decodeStoreBody("nothing", events));
}

TEST_CASE("The body of a job request is checked")
{
    Queue queue;
    queue.name = "r-1";
    queue.service = "s1";
    queue.maxAttempts = 4;
    const auto job = decodeJob("5c0e7a21d94b36f8", queue,
                               R"j({"spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900},
        {"count":20,"after":[0],"long_running":true,"may_miss":2,"target_ms":40,"fills":true}]})j",
                               17);
    REQUIRE(job);
    CHECK(job.value().steps[1].longRunning);
    CHECK(job.value().steps[1].maxUnavailable == 2);
    CHECK(job.value().steps[1].bestEffort);
    CHECK(job.value().steps[1].latencyTarget == 40ms);
    CHECK(job.value().maxAttempts == 4);

    // Guards against this failure: a limit far above the number of tasks was used as the bound of a loop.
    const auto limited = decodeJob(
        "5c0e7a21d94b36f8", queue,
        R"({"steps":[{"count":4,"anti_affinity":2147483647,"may_miss":2147483647},{"count":4,"anti_affinity":1}]})",
        17);
    REQUIRE(limited);
    CHECK(limited.value().steps[0].perExecutorLimit == 4);
    CHECK(limited.value().steps[0].maxUnavailable == 4);
    CHECK(limited.value().steps[1].perExecutorLimit == 1);
    CHECK(decodeJob("5c0e7a21d94b36f8", queue, R"({"steps":[{"count":100000},{"count":100000}]})", 17));

    const std::string longText(4001, 'x');
    for (const std::string &body :
         {std::string(), std::string("{}"), std::string(R"({"steps":[]})"), std::string(R"({"steps":[{"count":0}]})"),
          std::string(R"({"steps":[{"count":1,"after":[0]}]})"), std::string(R"({"steps":[7]})"),
          std::string(R"({"steps":[{"count":100000},{"count":100000},{"count":1}]})"),
          std::string(R"({"times":1000,"steps":[{"count":201}]})"),
          R"({"spec":")" + longText + R"(","steps":[{"count":1}]})"}) {
        CHECK_FALSE(decodeJob("5c0e7a21d94b36f8", queue, body, 17));
    }
    CHECK(isJobId("5c0e7a21d94b36f8"));
    CHECK_FALSE(isJobId("5c0e7a21d94b36f"));
    CHECK_FALSE(isJobId("5c0e7a21d94b36fg"));
}

TEST_CASE("The list of machines, responses to requests about them, and waves are decoded")
{
    const auto page = decodeInstances(R"({"machines":[{"machine":"m-1","pool":"s1","state":"upkeep","zone":"z",
        "labels":["a","r1"],"capacity":{"cpu":16000},"id":"i-1"}],"next_token":"n"})");
    REQUIRE(page);
    CHECK(page.value().instances[0].state == InstanceAvailability::Maintenance);
    CHECK(page.value().next == "n");
    CHECK(decodeInstanceResponse(409, true, R"({"reason":"wave"})") == InstanceRequestResult::WrongWave);
    CHECK(decodeInstanceResponse(409, true, R"({"reason":"busy"})") == InstanceRequestResult::Busy);
    CHECK(decodeInstanceResponse(0, true, "") == InstanceRequestResult::Unknown);
    CHECK(decodeInstanceResponse(0, false, "") == InstanceRequestResult::Refused);
    const auto wave = decodeWave(R"({"wave":1,"machines":["m-1","m-2"],"within_s":20.5,"cap":3})");
    REQUIRE(wave);
    CHECK(wave.value().dueWithin == 20500ms);
    CHECK(wave.value().maxConcurrent == 3);
    const auto completed = decodeWaveStatus("status/wave/12", encodeWaveStatus(true));
    REQUIRE(completed);
    CHECK(completed.value().wave == 12);
    CHECK(completed.value().completed);
    const auto running = decodeWaveStatus("status/wave/13", encodeWaveStatus(false));
    REQUIRE(running);
    CHECK_FALSE(running.value().completed);
    CHECK_FALSE(decodeWaveStatus("status/wave/1x", encodeWaveStatus(true)));
    CHECK_FALSE(decodeWaveStatus("status/wave/", encodeWaveStatus(true)));
    CHECK_FALSE(decodeWaveStatus("status/wave/1", R"({"state":"paused"})"));
    CHECK_FALSE(decodeWaveStatus("status/wave/1", "[]"));
}
