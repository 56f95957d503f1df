"""The store is busy for 4.5 s while accepted submissions of many short subtasks run. More than 500 runs end on an executor
meanwhile, and their ends cannot be taken note of."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import Client, Executor, config, main, route, service  # noqa: E402

DOWN_S = 4.5
SUBMISSIONS = 12


async def scenario(deployment, record, trouble):
    executors = [Executor(deployment, f"{index}", "ledger", f"r{index // 4}", lambda task, spec: 0.4)
                 for index in range(8)]
    await deployment.start(3, config([route("orders", "ledger")], [service("ledger")]), executors)
    client = Client(deployment)
    # Steps and widths as large as the site's: five steps of 32 subtasks, one after another.
    steps = [{"count": 32, "cpu": 30, "mem_mb": 16, "estimate_ms": 400} | ({"after": [number - 1]} if number else {})
             for number in range(5)]
    await asyncio.sleep(3)
    await asyncio.gather(*(client.submit("orders", steps, "work") for _ in range(SUBMISSIONS)))
    record.line("handed-in", accepted=sum(job["accepted"] is not None for job in client.jobs.values()))
    if trouble:
        deployment.store.state = "busy"
        record.line("store-busy", for_s=DOWN_S)
    await asyncio.sleep(DOWN_S)
    deployment.store.state = "up"
    record.line("store-up", ends_waiting=",".join(f"{e.id}:{len(e.ended)}" for e in executors if e.ended))
    states = {}
    for _ in range(20):
        await asyncio.sleep(1)
        states = {id: await client.state(id) for id in client.jobs}
        if all(state in ("completed", "failed") for state in states.values()):
            break
    await asyncio.sleep(2)
    twice = deployment.starts_after_done()
    for moment, task, run, executor, entry, (ended, earlier, on) in twice[:5]:
        record.say(f"{task}: run {earlier} ended `done` on {on} at {ended - record.begin:.3f} s and was taken note of; "
                   f"run {run} began on {executor} at {moment - record.begin:.3f} s, sent by {entry}")
    record.say(f"subtasks of accepted submissions: {SUBMISSIONS * 160}; starts: {len(deployment.began)}; starts after "
               f"an end `done` that was taken note of: {len(twice)}; two runs at once: {len(deployment.overlaps)}; "
               f"states: {sorted(set(map(str, states.values())))}")
    return 1 if twice or deployment.overlaps else 0


main(FOLDER, scenario)
