"""An executor restarts under its id. Seconds later it is cut off from all entries while the owner of its service is
stopped as planned. The next owner must wait until the leases on the executor have ended."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import Client, Executor, config, main, route, service  # noqa: E402


async def scenario(deployment, record, trouble):
    work = lambda task, spec: None if spec == "lasts" else 0.4
    executors = [Executor(deployment, f"{index}", "ledger", f"r{index // 4}", work) for index in range(8)]
    await deployment.start(3, config([route("audits", "ledger"), route("orders", "ledger", 1)], [service("ledger")]),
                           executors)
    client = Client(deployment)

    async def traffic():  # short jobs all the time
        while True:
            await client.submit("orders", [{"count": 4, "cpu": 500, "mem_mb": 64, "estimate_ms": 400}], "work")
            await asyncio.sleep(0.25)

    await asyncio.sleep(2)

    victim = executors[0]
    if trouble:  # one of eight executors crashes for 3 s; its entry in the store lapses only after 4.5 s
        victim.crash()
        await asyncio.sleep(3)
        await victim.boot()
    else:
        await asyncio.sleep(3)
    await asyncio.sleep(8)

    # Work that lasts: one subtask on each executor.
    await client.submit("audits", [{"count": 8, "cpu": 1500, "mem_mb": 512, "estimate_ms": 700,
                                    "long_running": True}], "lasts")
    await asyncio.sleep(1)
    deployment.tasks.append(asyncio.create_task(traffic()))
    await asyncio.sleep(4)
    on_victim = [task for task, run in victim.runs.items() if run["ends"] is None]
    record.line("runs-on-the-executor", executor=victim.id, tasks=",".join(on_victim))
    if not on_victim:
        record.say("cannot run: the executor got no subtask that lasts")
        return 2
    owner = deployment.began[-1][4]
    if trouble:  # the executor is cut off from all entries for 5.5 s, and runs on
        record.line("cut", executor=victim.id)
        victim.cut = True
    await asyncio.sleep(0.3)
    deployment.signal(owner, signal.SIGTERM)  # planned restart of the entry that sent the last order
    deployment.tasks.append(asyncio.create_task(deployment.restart_after_end(owner)))
    await asyncio.sleep(5.2)
    victim.cut = False
    record.line("cut-ended", executor=victim.id)
    await asyncio.sleep(4)
    for moment, task, executor, others in deployment.overlaps:
        record.say(f"{moment:.3f} s: {task} started on {executor} while it ran on {', '.join(others)}")
    return 1 if deployment.overlaps else 0


main(FOLDER, scenario)
