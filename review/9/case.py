"""Large submissions come at once: each entry that takes over their queue exceeds its memory and is killed."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 260          # limits.memory_mb of the small deployments
RESTART_S = 1.0
SUBMISSIONS, SUBTASKS = 20, 100000 if TROUBLE else 100
LASTING = "00000000000000c3"
WATCH_S = 40


def memory_mb(process):
    """Resident memory, as the platform counts it."""
    try:
        with open(f"/proc/{process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except (OSError, IndexError):
        return 0


async def case(platform, record):
    platform.log_runs = False
    platform.add_service("desk")
    platform.add_service("misc", spare=True)
    platform.add_route("batch", "desk")
    platform.add_route("recon", "desk")
    for i in range(9):
        await platform.add_machine(f"m-{i}", "desk", labels=("a", f"r1-{i // 4 + 1}"))
    for i in range(9, 12):
        await platform.add_machine(f"m-{i}", "misc", on=False)
    platform.configure()
    names = [f"edge-{zone}-{i}" for zone in "ab" for i in (1, 2)]
    for name in names:
        platform.start_entry(name)
    for name in names:
        if not await platform.ready(name):
            record(f"{name} is not ready")
            return 2
    await asyncio.sleep(2)
    kills = dict.fromkeys(names, 0)
    most = dict.fromkeys(names, 0.0)

    async def watch():
        """The platform: a process that exceeds its memory is killed, and started again after a short delay."""
        down = {}
        while True:
            for name in names:
                process = platform.entries[name]["process"]
                if name in down:
                    if time.monotonic() >= down[name]:
                        del down[name]
                        platform.start_entry(name)
                    continue
                used = memory_mb(process) if process.poll() is None else 0
                most[name] = max(most[name], used)
                if used > MEMORY_MB or process.poll() is not None:
                    kills[name] += 1
                    record(f"{name} has {used:.0f} MB of {MEMORY_MB} and is killed, time {kills[name]}")
                    process.kill()
                    process.wait()
                    down[name] = time.monotonic() + RESTART_S
            await asyncio.sleep(0.05)

    watcher = asyncio.ensure_future(watch())

    async def submit(number):
        status, _ = await platform.client("POST", "batch", f"{number:016x}", {
            "spec": json.dumps({"ms": 1000}),
            "steps": [{"count": SUBTASKS, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000}]})
        return status

    answers = await asyncio.gather(*(submit(number) for number in range(SUBMISSIONS)))
    record(f"{answers.count(200)} of {SUBMISSIONS} submissions of {SUBTASKS} subtasks are accepted")
    begun = record.now()
    await asyncio.sleep(5)
    status, _ = await platform.client("POST", "recon", LASTING, {
        "spec": json.dumps({"lasts": True}),
        "steps": [{"count": 2, "cpu": 1000, "mem_mb": 500, "long_running": True, "may_miss": 1}]}, tries=20)
    accepted_at = record.now()
    while record.now() < begun + WATCH_S:
        await asyncio.sleep(2)
        record(f"killed: {kills}; runs begun so far: {len(platform.runs)}; owner of the queue's service: "
               f"{platform.owners().get('desk')}")
    watcher.cancel()
    lasting = [run for run in platform.runs if run["task"].startswith(LASTING)]
    record(f"largest memory of each entry, MB: { {name: round(value) for name, value in most.items()} }")
    record(f"lasting submission: answered {status}, {len(lasting)} runs begun in the {record.now() - accepted_at:.0f} s "
           f"since; processes killed for their memory: {sum(kills.values())}")
    if status != 200:
        return 2
    # LOST: a subtask that lasts has no run for 3 s, from 6 s on, in calm time: a process that ends by itself counts as
    # running all the while.
    return 1 if not lasting and sum(kills.values()) > 2 else 0


main(HERE, case)
