"""The owner of the fleet is killed while the store holds the waves of earlier weeks. Do executors that were about to
leave their pool take work again?"""

import asyncio
import json
import time

import harness
import platform_standins as standins

HOST = "pule25.example"
WAVES = 8
GROWTH, LASTING = "00000000000000d1", "00000000000000f1"
CPU = {GROWTH: 11000, LASTING: 6000}


def describe(task):
    return {"work_s": None, "cpu": CPU[task.split(".")[0]], "mem_mb": 100}


async def scenario(case):
    fleet = standins.Fleet(case.store, case.log, case.executors, "council-misc", describe)
    case.machines.server.handler = fleet.handle
    for i in range(11):
        pool = "vendor-desk" if i < 6 else "supply-hub" if i < 9 else "council-misc"
        await fleet.add(f"m{i}", pool, case.free_port(), f"r{i // 2}")
    case.beating = asyncio.create_task(case.heartbeats())
    route = {"host": HOST, "max_attempts": 4, "stretch": 1.6, "target_latency_ms": 600, "priority": 0}
    case.store.put("op/config", {
        "version": 7, "limits": {}, "services": [{"name": "vendor-desk", "max_conns": 64},
                                                 {"name": "supply-hub", "max_conns": 64},
                                                 {"name": "council-misc", "max_conns": 64, "spare": True}],
        "routes": [{**route, "name": "roster", "prefix": "/roster/", "service": "vendor-desk"},
                   {**route, "name": "sugar", "prefix": "/sugar/", "service": "supply-hub"}]})
    names = ("e1", "e2", "e3")
    for name in names:
        case.start_entry(name)
    await case.until_ready()

    async def hand_in(job, count):
        body = {"spec": "serve", "steps": [{"count": count, "cpu": CPU[job], "mem_mb": 100, "estimate_ms": 700,
                                            "long_running": True, "may_miss": 1}]}
        for attempt in range(10):
            status, _ = await case.client(names[attempt % 3], "POST", HOST, f"/roster/{job}", body)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise harness.NotRun(f"{job} was not accepted")

    def vacating():
        return set(json.loads(case.store.value("f/vacate") or "[]"))

    def pool():
        return [executor for executor in case.executors if executor.service == "vendor-desk"]

    def running(job):
        return sum(1 for executor in case.executors for task in executor.runs if task.startswith(job))

    await asyncio.sleep(5)
    for n in range(1, WAVES + 1):
        # Spare machines first, since the upkeep of others waits until they are empty.
        name = next((machine.name for machine in fleet.machines.values() if machine.pool == "council-misc"
                     and machine.state == "up"), f"m{n % 11}")
        case.store.put(f"op/wave/{n}", {"wave": n, "machines": [name], "within_s": 30, "cap": 1})
        end = time.monotonic() + 10
        while "completed" not in (case.store.value(f"status/wave/{n}") or ""):
            if time.monotonic() > end:
                raise harness.NotRun(f"wave {n} did not end")
            await asyncio.sleep(0.05)
    case.log("case", f"{WAVES} waves are completed")

    # The pool grows for a submission that lasts. When this is cancelled, the pool shrinks.
    await hand_in(GROWTH, 8)
    end = time.monotonic() + 12
    while running(GROWTH) < 8 and time.monotonic() < end:
        await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    case.log("case", f"{running(GROWTH)} of 8 subtasks of {GROWTH} run; pools "
                     f"{[(machine.name, machine.pool) for machine in fleet.machines.values()]}")
    status, _ = await case.client("e1", "DELETE", HOST, f"/roster/{GROWTH}")
    end = time.monotonic() + 10
    while not vacating() & {executor.name for executor in pool()}:
        if time.monotonic() > end:
            raise harness.NotRun("no executor was about to leave its pool")
        await asyncio.sleep(0.002)
    leaving = vacating()
    owner = (case.store.value("m/own/!fleet") or "").split(" ")[0]
    case.log("case", f"{sorted(leaving)} are about to leave their pools; {owner} owns the fleet")
    if harness.TROUBLE:
        case.kill_entry(owner)
    count = 2 * len(pool())  # two fit on each executor
    if harness.TROUBLE:
        await asyncio.sleep(0.5)
        case.start_entry(owner)
    await hand_in(LASTING, count)

    # From here on nothing is disturbed. For each subtask that lasts: no run for 3 s though there is capacity for it
    # twice over, while the 3 s and the 4 s before them are calm.
    await asyncio.sleep(12)
    idle_since = None
    end = time.monotonic() + 10
    lost = False
    while time.monotonic() < end and not lost:
        roomy = [executor.name for executor in pool()
                 if executor.up and executor.cpu - executor.used_cpu() >= 2 * CPU[LASTING]]
        idle = running(LASTING) < count and bool(roomy)
        idle_since = None if not idle else idle_since or time.monotonic()
        lost = idle_since is not None and time.monotonic() - idle_since >= 3
        await asyncio.sleep(0.05)
    case.log("case", f"{running(LASTING)} of {count} subtasks of {LASTING} run; room for two on {roomy}; vacating "
                     f"{sorted(vacating())}; the store has refused {case.store.refused_sizes} transactions")
    if lost:
        case.breaks(f"LOST: {count - running(LASTING)} subtasks of {LASTING} have had no run for 3 s beside {roomy}")


harness.main(__file__.rsplit("/", 1)[0] if "/" in __file__ else ".", scenario)
