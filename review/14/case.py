"""The open channels to the executors go silent once, while new ones work. Do subtasks that last keep their leases?"""

import asyncio
import time

import harness
import platform_standins as standins

HOST = "pule25.example"
CONTACT_S = harness.BOUNDS["contact_ms"] / 1000
LASTING = "00000000000000aa"
COUNT, MAY_MISS = 4, 1
ANSWER_S = 0.02  # time that an executor takes to answer a start


def describe(task):
    if task.startswith(LASTING):
        return {"work_s": None, "cpu": 1000, "mem_mb": 128}
    return {"work_s": 0.5, "cpu": 200, "mem_mb": 128}


class SlowStart(standins.Executor):
    """Answers a start after ANSWER_S."""

    def handle(self, request):
        if request.path != "/run-start":
            return super().handle(request)

        async def later():
            await asyncio.sleep(ANSWER_S)
            answer = standins.Executor.handle(self, request)
            if answer is not None:
                request.reply(*answer)

        self.answering = getattr(self, "answering", set())
        task = asyncio.create_task(later())
        self.answering.add(task)
        task.add_done_callback(self.answering.discard)
        return None


async def scenario(case):
    executors = [SlowStart(case.store, case.log, f"w{i}", case.free_port(), "vendor-desk", f"r{i}", describe)
                 for i in range(4)]
    case.executors.extend(executors)
    away = {}  # subtasks that last and are not at work: task -> time since
    silenced = None

    def started(executor, task, run):
        if task.startswith(LASTING):
            case.log(executor.name, f"start of {task} run {run}")

    def ended(executor, task, run, how):
        if not task.startswith(LASTING):
            return
        after = time.monotonic() - silenced if silenced else 0
        case.log(executor.name, f"end of {task} run {run}: {how}, {after:.2f} s after the channels went silent, "
                                f"{len(away)} others of the step are away")
        if how == "lapsed" and after > CONTACT_S and len(away) >= MAY_MISS:
            case.breaks(f"AVAIL: the lease of {task} lapsed {after:.2f} s after the last disruption, while {len(away)} "
                        f"others of its step are away (may_miss {MAY_MISS})")
        away[task] = time.monotonic()

    for executor in executors:
        executor.on_start, executor.on_end = started, ended
        await executor.start()
    case.beating = asyncio.create_task(case.heartbeats())
    route = {"host": HOST, "service": "vendor-desk", "max_attempts": 4, "stretch": 1.6, "target_latency_ms": 600,
             "priority": 0}
    case.store.put("op/config", {
        "version": 7, "limits": {}, "services": [{"name": "vendor-desk", "max_conns": 64}],
        "routes": [{**route, "name": "takings-recon", "prefix": "/recon/"},
                   {**route, "name": "roster-fetch", "prefix": "/roster/"}]})
    names = ("e1", "e2", "e3")
    for name in names:
        case.start_entry(name)
    await case.until_ready()

    async def hand_in(job, path, body):
        for attempt in range(5):
            status, _ = await case.client(names[attempt % 3], "POST", HOST, f"/{path}/{job}", body)
            if status == 200:
                return
        raise harness.NotRun(f"{job} was not accepted")

    def at_work():
        for executor in executors:
            for task, run in executor.runs.items():
                if task in away and run.stopping_until is None and time.monotonic() - run.started > 0.3:
                    del away[task]
        return COUNT - len(away)

    await hand_in(LASTING, "recon", {"spec": "serve", "steps": [
        {"count": COUNT, "cpu": 1000, "mem_mb": 128, "estimate_ms": 700, "long_running": True, "may_miss": MAY_MISS,
         "anti_affinity": 1}]})
    await asyncio.sleep(3)
    number = 0
    for _ in range(4):
        # A burst of submissions; each has the largest width of the site files.
        jobs = []
        for _ in range(12):
            number += 1
            jobs.append(hand_in(f"{number:016x}", "roster", {"spec": "look up", "steps": [
                {"count": 24, "cpu": 200, "mem_mb": 128, "estimate_ms": 500}]}))
        await asyncio.gather(*jobs)
        await asyncio.sleep(4)
        case.log("case", f"{at_work()} of {COUNT} subtasks of {LASTING} at work; open channels to the executors: "
                         f"{[len(executor.server.connections) for executor in executors]}")
        if harness.TROUBLE:
            silenced = time.monotonic()
            for executor in executors:
                executor.server.silence_open_connections()
            case.log("case", "the open channels to the executors go silent")
        end = time.monotonic() + 16
        while time.monotonic() < end:
            at_work()
            await asyncio.sleep(0.05)


harness.main(__file__.rsplit("/", 1)[0] if "/" in __file__ else ".", scenario)
