"""One submission to a queue with advice, with a high `anti_affinity`: each entry that owns its service hangs."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from standins import *  # noqa: E402,F403

LASTING, JOB = "00000000000000a1", "00000000000000b2"
DECIDE_S, PERIOD_S, VALID_MS = 0.1, 0.005, 2000
WATCH_S = 45


async def case(platform, record):
    calls = {}

    async def advise(method, path, query, fields, body):
        """The service at `advice`: one call of a calling machine at a time, in turn; here one for all, all are good."""
        workers = json.loads(body)["workers"]
        lock = calls.setdefault("lock", asyncio.Lock())
        calls["count"] = calls.get("count", 0) + 1
        async with lock:
            await asyncio.sleep(DECIDE_S + PERIOD_S * len(workers))
        return 200, {"good": [[worker, f"t-{worker}"] for worker in workers], "valid_ms": VALID_MS}

    await serve(advise, platform.advice_port)
    platform.add_service("desk")
    platform.add_service("misc", spare=True)
    platform.add_route("recon", "desk")
    platform.add_route("advised", "desk", advice={"decide_ms": 100, "period_ms": 5, "valid_ms": VALID_MS})
    for i in range(8):
        await platform.add_machine(f"m-{i}", "desk", labels=("a", f"r1-{i // 4 + 1}"))
    for i in range(8, 12):
        await platform.add_machine(f"m-{i}", "misc", on=False)
    platform.configure()
    names = ("edge-a-1", "edge-b-1", "edge-c-1")
    for name in names:
        platform.start_entry(name)
    for name in names:
        if not await platform.ready(name):
            record(f"{name} is not ready")
            return 2
    await asyncio.sleep(2)
    status, _ = await platform.client("POST", "recon", LASTING, {
        "spec": json.dumps({"lasts": True}),
        "steps": [{"count": 2, "cpu": 1300, "mem_mb": 500, "long_running": True, "may_miss": 1, "anti_affinity": 1}]})
    if status != 200:
        return 2
    await asyncio.sleep(3)
    step = {"count": 4, "cpu": 500, "estimate_ms": 500, "fills": True}
    if TROUBLE:
        step["anti_affinity"] = 2147483647
    status, _ = await platform.client("POST", "advised", JOB, {"spec": json.dumps({"ms": 500}), "steps": [step]})
    if status != 200:
        return 2
    begun = record.now()
    absent, longest, unanswered = {}, {}, dict.fromkeys(names, 0)
    next_look = 0.0

    async def look(name):
        answer, _ = await call(platform.entries[name]["ports"]["readiness"], "GET", "/ready", timeout=0.9)
        unanswered[name] += answer == 0

    while record.now() < begun + WATCH_S:
        present = record.now()
        working = {run["task"] for run in platform.runs if run["how"] is None}
        for index in range(2):
            task = f"{LASTING}.0.0.{index}"
            last = max((run["over_at"] or present for run in platform.runs if run["task"] == task), default=begun)
            if task not in working and present > last + 6:
                absent.setdefault(task, present)
                longest[task] = max(longest.get(task, 0.0), present - absent[task])
            else:
                absent.pop(task, None)
        if present >= next_look:
            next_look = present + 1.0
            for name in names:
                asyncio.ensure_future(look(name))
        await asyncio.sleep(0.05)
    runs = [run for run in platform.runs if run["task"].startswith(JOB)]
    record(f"of {WATCH_S} looks at /ready, one a second, these got no answer: {unanswered}")
    record(f"processes alive: {platform.alive()}; the advice service got {calls.get('count', 0)} calls")
    record(f"submission with advice: {len(runs)} runs, {sum(run['how'] == 'done' for run in runs)} of 4 done")
    record(f"lasting submission: from 6 s after its last run on, its subtasks had no run for {longest}")
    # LOST: a subtask that lasts has no run for 3 s, from 6 s after its last run on, in calm time.
    return 1 if any(value > 3 for value in longest.values()) else 0


main(HERE, case)
