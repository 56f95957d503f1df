"""A client hands a lasting submission in at an entry that stands still, gives up at its time limit and cancels at another
entry, which answers. The frozen entry wakes up. The cancelled submission must not run."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import BOUNDS, Client, Executor, config, main, now, route, service  # noqa: E402

FREEZE_S = 4.0
TIME_LIMIT_S = 3.0


async def scenario(deployment, record, trouble):
    work = lambda task, spec: None if spec == "lasts" else 0.4
    executors = [Executor(deployment, f"{index}", "ledger", f"r{index // 4}", work) for index in range(8)]
    await deployment.start(3, config([route("audits", "ledger"), route("orders", "ledger", 1)], [service("ledger")]),
                           executors)
    client = Client(deployment)

    async def traffic():
        while True:
            await client.submit("orders", [{"count": 4, "cpu": 500, "mem_mb": 64, "estimate_ms": 400}], "work")
            await asyncio.sleep(0.3)

    deployment.tasks.append(asyncio.create_task(traffic()))
    await asyncio.sleep(5)
    owner = deployment.began[-1][4]
    # Two entries that don't own the service: one stands still, the other answers the client's cancelling.
    frozen, other = [name for name in deployment.entries if name != owner]
    if trouble:
        deployment.signal(frozen, signal.SIGSTOP)
    woken_at = now() + FREEZE_S

    job = os.urandom(8).hex()
    steps = [{"count": 4, "cpu": 1500, "mem_mb": 512, "estimate_ms": 700, "long_running": True}]
    await asyncio.sleep(0.3)
    handed_in = await client.request(frozen, "POST", "audits", job, {"spec": "lasts", "steps": steps},
                                     timeout=TIME_LIMIT_S)
    cancelled = await client.request(other, "DELETE", "audits", job)
    acknowledged_at = now()
    if cancelled is None or cancelled[0] not in (200, 202, 204, 410):
        record.say(f"cannot run: the cancelling was answered {cancelled}")
        return 2
    await asyncio.sleep(max(0, woken_at - now()))
    if trouble:
        deployment.signal(frozen, signal.SIGCONT)
    # Gone after cancel_ms + stop_ms without a disruption; contact_ms after the freeze none is near any more.
    calm_from = max(acknowledged_at, now() + BOUNDS["contact_ms"] / 1000 if trouble else 0)
    bound = calm_from + (BOUNDS["cancel_ms"] + BOUNDS["stop_ms"]) / 1000
    await asyncio.sleep(bound - now() + 0.1)
    running = deployment.running(job)
    await asyncio.sleep(3)
    still = [task for task in deployment.running(job) if task in running]
    state = await client.request(other, "GET", "audits", job)
    record.say(f"handing in was answered {handed_in}, cancelling {cancelled}; {now() - acknowledged_at:.1f} s after the "
               f"cancelling's answer {len(still)} subtasks run, the state is {state}")
    return 1 if still else 0


main(FOLDER, scenario)
