"""A client hands in one submission that can never be done and is very large: 20 steps of 100,000 subtasks, in a body of
less than 2 KB. The platform kills a process above its memory limit and restarts it, as DEPLOY.md says."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import BOUNDS, Client, Executor, config, main, now, route, service  # noqa: E402

MEMORY_MB = 260  # limits.memory_mb of the site's machines
RESTART_DELAY_S = 0.5


async def memory_watch(deployment, record, name, kills, peaks):
    """Kills the entry when its resident memory exceeds the limit, and starts it again."""
    while True:
        process = deployment.entries[name]["process"]
        try:
            with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
                resident_mb = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            resident_mb = 0
        peaks[name] = max(peaks.get(name, 0), resident_mb)
        if resident_mb > MEMORY_MB:
            record.line("over-the-memory-limit", entry=name, resident_mb=int(resident_mb))
            kills.append((record.time(), name))
            process.send_signal(signal.SIGKILL)
        if process.returncode is not None or resident_mb > MEMORY_MB:
            await process.wait()
            record.line("entry-ended", entry=name, code=process.returncode)
            await asyncio.sleep(RESTART_DELAY_S)
            await deployment.launch(name)
        await asyncio.sleep(0.01)


async def scenario(deployment, record, trouble):
    executors = [Executor(deployment, f"{index}", "ledger", f"r{index // 4}", lambda task, spec: 0.4)
                 for index in range(8)]
    await deployment.start(3, config([route("orders", "ledger")], [service("ledger")]), executors)
    kills, peaks = [], {}
    for name in deployment.entries:
        deployment.tasks.append(asyncio.create_task(memory_watch(deployment, record, name, kills, peaks)))
    client = Client(deployment)

    async def traffic():
        while True:
            await client.submit("orders", [{"count": 4, "cpu": 500, "mem_mb": 64, "estimate_ms": 400}], "work")
            await asyncio.sleep(0.3)

    stream = asyncio.create_task(traffic())
    deployment.tasks.append(stream)
    await asyncio.sleep(5)
    large = None
    if trouble:
        steps = [{"count": 100000, "cpu": 17000, "mem_mb": 512, "estimate_ms": 400} for _ in range(20)]
        large = await client.submit("orders", steps, "work")
        record.line("large-submission", id=large, accepted=client.jobs[large]["accepted"] is not None)
    await asyncio.sleep(25)
    stream.cancel()
    record.line("traffic-ended")
    await asyncio.sleep(BOUNDS["finish_s"] - 3)
    idle = {id for id, job in client.jobs.items() if job["accepted"] and id != large}
    until = now() + 3
    while now() < until:
        idle = {id for id in idle if not deployment.running(id)}
        await asyncio.sleep(0.05)
    unknown, waiting = [], []
    accepted = [id for id, job in client.jobs.items() if job["accepted"] and id != large]
    for id in accepted:
        state = await client.state(id, timeout=1.0)
        if state is None or state == "410":
            unknown.append(id)
        elif state not in ("completed", "failed") and id in idle:
            waiting.append(id)
        if len(unknown) > 10:  # no entry answers
            break
    for name in deployment.entries:
        record.line("memory", entry=name, peak_mb=int(peaks.get(name, 0)),
                    killed=sum(1 for _, other in kills if other == name))
    often = [name for name in deployment.entries if sum(1 for _, other in kills if other == name) >= 3]
    record.say(f"the large submission was {'accepted' if large and client.jobs[large]['accepted'] else 'not accepted'}; "
               f"processes over {MEMORY_MB} MB: {len(kills)}, three times or more on {len(often)} of 3 machines; of "
               f"{len(accepted)} other accepted submissions {len(waiting)} are not done and have nothing running for "
               f"3 s, {len(unknown)} got no answer")
    return 1 if waiting or unknown or len(often) >= 2 else 0


main(FOLDER, scenario)
