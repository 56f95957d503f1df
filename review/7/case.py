"""A submission requires a label. Its service has two partitions, and the machine with the label is in the other one."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from standins import *  # noqa: E402,F403

MACHINES = 100 if TROUBLE else 40
JOBS = [f"{number:016x}" for number in range(0xa1, 0xad)]
FINISH_S, CPU = 14, 1000


async def case(platform, record):
    platform.add_service("desk")
    platform.add_service("misc", spare=True)
    platform.add_route("quote", "desk")
    for i in range(MACHINES):
        kind = "b" if i == 0 else "a"
        await platform.add_machine(f"m-{i}", "desk", labels=(kind, f"r1-{i // 8 + 1}"))
    for i in range(MACHINES, MACHINES + 4):
        await platform.add_machine(f"m-{i}", "misc", on=False)
    platform.configure()
    names = ("edge-a-1", "edge-b-1", "edge-c-1")
    for name in names:
        platform.start_entry(name)
    for name in names:
        if not await platform.ready(name):
            record(f"{name} is not ready")
            return 2
    await asyncio.sleep(3)
    for job in JOBS:
        status, _ = await platform.client("POST", "quote", job, {
            "spec": json.dumps({"ms": 800}),
            "steps": [{"count": 1, "cpu": CPU, "mem_mb": 500, "estimate_ms": 800, "requires": "b"}]})
        if status != 200:
            record("a submission was not accepted")
            return 2
    traffic_ends = record.now()
    idle, longest = {}, dict.fromkeys(JOBS, 0.0)
    while record.now() < traffic_ends + FINISH_S + 16:
        present = record.now()
        used = CPU * sum(run["how"] is None for run in platform.runs)
        begun = {run["task"][:16] for run in platform.runs}
        desk = [executor for executor in platform.executors.values() if executor.service == "desk"]
        free = sum(16000 - CPU * len(executor.running) for executor in desk if "b" in executor.labels)
        for job in JOBS:
            if (job not in begun and free >= 2 * CPU and used * 2 < 16000 * len(desk)
                    and present > traffic_ends + FINISH_S):
                longest[job] = max(longest[job], present - idle.setdefault(job, present))
            else:
                idle.pop(job, None)
        await asyncio.sleep(0.05)
    never = [job for job in JOBS if longest[job] > 3]
    states = {}
    for job in JOBS:
        _, value = await platform.client("GET", "quote", job)
        states[job] = (value or {}).get("state")
    partitions = base64.b64decode(platform.store.items["m/parts/desk"]["value"]).decode()
    record(f"{MACHINES} machines of desk, partitions: {partitions}; kind b: m-0, {free} thousandths of a core free")
    record(f"states {states}")
    record(f"{len(never)} of {len(JOBS)} accepted submissions have not begun {FINISH_S} to {FINISH_S + 16} s after the "
           f"end of the traffic: {never}")
    # LOST: for 3 s nothing runs while a subtask's turn has come and there is capacity for it twice over.
    return 1 if never else 0


main(HERE, case)
