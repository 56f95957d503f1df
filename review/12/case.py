"""All entries but one are lost for good, in a deployment with 15 partitions. Do subtasks that last keep running?"""

import asyncio
import time

import harness

HOST = "pule25.example"
PARTITIONS = 15  # as many as the services of the deployment in large/ have
CALM_S = 7.0  # the 3 s of the rule and the 4 s before them


def describe(_task):
    return {"work_s": None, "cpu": 1000, "mem_mb": 128}


async def scenario(case):
    executors = []
    for service in range(PARTITIONS):
        for index in range(2):
            executors.append(case.add_executor(f"w{service:02}-{index}", f"service-{service}", f"r{index}", describe))
    without_run = {}  # subtask that lasts and has no run -> time since its last run, or since its acceptance
    has_run = set()

    def started(executor, task, run):
        case.log(executor.name, f"start of {task} run {run}")
        without_run.pop(task, None)
        has_run.add(task)

    def ended(executor, task, run, how):
        case.log(executor.name, f"end of {task} run {run}: {how}")
        without_run[task] = time.monotonic()

    for executor in executors:
        executor.on_start, executor.on_end = started, ended
        await executor.start()
    case.beating = asyncio.create_task(case.heartbeats())
    case.store.put("op/config", {
        "version": 7, "limits": {},
        "services": [{"name": f"service-{i}", "max_conns": 64} for i in range(PARTITIONS)],
        "routes": [{"name": f"queue-{i}", "host": HOST, "prefix": f"/q{i}/", "service": f"service-{i}",
                    "max_attempts": 3, "stretch": 2.2, "target_latency_ms": 2500, "priority": 0}
                   for i in range(PARTITIONS)]})
    names = ("e1", "e2", "e3")
    for name in names:
        case.start_entry(name)
    await case.until_ready()
    await asyncio.sleep(5)
    number = 0

    async def hand_in(attempts):
        nonlocal number
        number += 1
        job = f"{number:016x}"
        for _ in range(attempts):
            status, _ = await case.client("e1", "POST", HOST, f"/q{number % PARTITIONS}/{job}", {
                "spec": "serve", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 128, "estimate_ms": 700,
                                            "long_running": True, "may_miss": 1}]})
            if status == 200:
                if not any(f"{job}.0.0.0" in executor.runs for executor in executors):
                    without_run.setdefault(f"{job}.0.0.0", time.monotonic())
                return True
        return False

    for _ in range(PARTITIONS):
        if not await hand_in(5):
            raise harness.NotRun("a submission was not accepted")
    await asyncio.sleep(3)
    if without_run:
        raise harness.NotRun(f"not all submissions have started: {sorted(without_run)}")
    if harness.TROUBLE:
        for name in names[1:]:
            case.kill_entry(name)  # for good
    calm_since = time.monotonic()
    reported = set()
    handed_in = 0.0
    accepted = tried = 0
    while time.monotonic() - calm_since < 84:
        if time.monotonic() - handed_in > 4:
            handed_in = time.monotonic()
            tried += 1
            accepted += 1 if await hand_in(1) else 0
        now = time.monotonic()
        for task, since in without_run.items():
            # From 6 s after its last run, 3 s on end. Each executor has room. Subtasks that have never run are only logged.
            if now - since <= 9 or now - calm_since <= CALM_S + 9 or task in reported:
                continue
            reported.add(task)
            if task not in has_run:
                case.log("case", f"{task} was accepted {now - since:.1f} s ago and has never run")
            else:
                case.breaks(f"LOST: {task} has had no run for {now - since:.1f} s, {now - calm_since:.0f} s after the last "
                            "disruption")
        await asyncio.sleep(0.05)
    case.log("case", f"{accepted} of {tried} later submissions were accepted; {len(reported)} subtasks had no run for 9 s; "
                     f"partitions owned now: {len(list(case.store.with_prefix('m/own/')))} of {PARTITIONS + 1}")


harness.main(__file__.rsplit("/", 1)[0] if "/" in __file__ else ".", scenario)
