#!/usr/bin/env python3
"""Checks that two builds of briarvane work together: mixed entries, takeovers, and one build reading what the other one
stored. Runs real processes on loopback against the stand-ins; judges what callers, the stand-ins and the logs show.
Usage: tools/mixed_builds.py --old DIR --new DIR [--seconds N]. One line a check; exits with 1 when one failed."""

import argparse
import collections
import glob
import http.client
import json
import os
import pathlib
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIMIT = 90  # seconds; bounds hanging only
OPERATOR = {"BRIARVANE_OPERATOR_TOKEN": "mixed-builds-operator-token", "BRIARVANE_OPERATOR_NAME": "mixed"}
Build = collections.namedtuple("Build", "label folder")
Job = collections.namedtuple("Job", "queue id tasks")


def step(count, cpu, ms, **more):
    return {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": ms, **more}


QUEUES = {  # queue: service, payload, steps
    "rosters": ("vendors", "work_ms=300 cpu=900", [step(3, 900, 300)]),
    "sugar": ("supplies", "work_ms=1200 cpu=900", [step(3, 900, 1200), step(3, 900, 1200, after=[0])]),
    "licences": ("vendors", "work_ms=300 cpu=500 ticket=1", [step(2, 500, 300)]),  # needs the advice service
    "reports": ("depot", "work_ms=200 cpu=500", [step(2, 500, 200)]),  # scheduled, REPORT_TIMES
}
REPORT_TIMES = 3
ENDLESS = ("lasts=1 cpu=100", [step(1, 100, 1000, long_running=True)])
STUCK = ("work_ms=100 cpu=100", [step(1, 100, 100, requires="no-such-label")])
EVERY_FIELD = ("work_ms=100", [step(1, 100, 100, requires="no-such-label", gpu=1, gang=True, same_rack=True, image="i",
                                    affinity="r0", anti_affinity=1, speculative=True, long_running=True, fills=True,
                                    checkpointing=True, target_ms=5, may_miss=1), step(1, 1, 1, after=[0])])
POOLS = ["vendors", "supplies", "depot", "spare"]
# The processor shares decide which entry owns what: e0 the fleet and two services, e1 the other two, e2 nothing.
CPU_SHARES = ["4", "3", "0.01"]
OWNERS = {"!fleet": "e0", "vendors": "e1", "supplies": "e0", "depot": "e1", "spare": "e0"}
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": queue, "host": "mixed.example", "prefix": f"/{queue}/", "service": QUEUES[queue][0],
                "timeout_ms": 3000, "max_attempts": 4, "stretch": 2, "target_latency_ms": 600} for queue in QUEUES],
    "services": [{"name": pool, "max_conns": 8, "spare": pool == "spare"} for pool in POOLS],
    "limits": {"body_bytes": 65536},
}
CONFIGURATION["routes"][2]["advice"] = {"decide_ms": 40, "period_ms": 2, "valid_ms": 3000}
WAVE = ["depot-0", "supplies-0", "supplies-1", "vendors-0", "vendors-1"]
CANCELLED = (200, {"state": "cancelled"})
ALARM_RULE = "spinhead-down: briarvane_instances_disrupted{pool=spinheads} >= 1 for 1s clear < 1 for 1s severity page\n"

scenario = ""
results = {True: 0, False: 0}


def check(what, expected, got, held=None):
    held = got == expected if held is None else bool(held)
    results[held] += 1
    print(f"{'ok  ' if held else 'FAIL'} {scenario}: {what}: expected {expected}, got {got}", flush=True)


def wait_for(read, accept=bool, limit=LIMIT):
    """The first value that is accepted, or the last one within the limit."""
    end = time.monotonic() + limit
    while True:
        value = read()
        if accept(value) or time.monotonic() > end:
            return value
        time.sleep(0.1)


def call(port, method, target, body=None, headers=None, timeout=20):
    """Status, fields with lower-case names, body; status 0 without a complete answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        answer = connection.getresponse()
        return answer.status, {name.lower(): value for name, value in answer.getheaders()}, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, {}, ""
    finally:
        connection.close()


def environment(more):
    return {**{name: value for name, value in os.environ.items() if not name.startswith("BRIARVANE_")}, **more}


def run(build, *arguments, **more):
    return subprocess.run([f"{build.folder}/briarvane", *arguments], capture_output=True, text=True, timeout=LIMIT,
                          env=environment(more))


def listener(port):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(("127.0.0.1", port))
        sock.listen(1)
        return sock
    except OSError:
        sock.close()
        return None


class Site:
    """The processes of one scenario, their logs and a block of ports, reserved in the way of tests/harness.cpp."""

    def __init__(self, folder, stand_ins):
        folder.mkdir()
        self.folder, self.stand_ins = folder, stand_ins
        self.processes, self.entries = [], {}  # all processes; entries that should run, by index
        self.port = next(base for base in range(21000, 32600, 200) if self.reserve(base))

    def reserve(self, base):
        self.guard = listener(base + 199)
        probes = [listener(port) for port in range(base, base + 199)] if self.guard else [None]
        for probe in filter(None, probes + [self.guard] if None in probes else probes):
            probe.close()
        return None not in probes

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        self.guard.close()

    def spawn(self, name, command, **more):
        log = self.folder / f"{len(self.processes):02}-{name}.log"
        with log.open("w") as output:
            process = subprocess.Popen([str(word) for word in command], stdin=subprocess.DEVNULL, stdout=output,
                                       stderr=output, env=environment(more))
        process.log, process.build, process.stopped = log, None, False
        self.processes.append(process)
        return process

    def entry_port(self, index, offset=0):
        return self.port + 10 + 3 * index + offset

    def start(self, index, build):
        words, variables = self.arguments(index, [f"127.0.0.1:{self.entry_port(index, offset)}" for offset in range(3)])
        self.entries[index] = self.spawn(f"e{index}-{build.label}", [f"{build.folder}/briarvane"] + words, **variables)
        self.entries[index].build = build

    def require(self, what, read, accept=bool):
        value = wait_for(read, accept)
        if not accept(value):
            raise RuntimeError(f"{what}: got {value}; logs in {self.folder}")

    def wait_ready(self):
        for index in self.entries:
            self.require(f"readiness of e{index}",
                         lambda: call(self.entry_port(index, 1), "GET", self.READY)[0] == 200)

    def stop(self, indices, number):
        """Exit codes of entries after the signal."""
        stopped = [self.entries.pop(index) for index in indices]
        for process in stopped:
            process.stopped = True
            process.send_signal(number)
        return [process.wait(LIMIT) for process in stopped]

    def log_has(self, process, pattern):
        return re.search(pattern, process.log.read_text(errors="replace")) is not None

    def check_logs(self):
        lines = [f"{process.build.label}: {line}" for process in self.processes if process.build
                 for line in process.log.read_text(errors="replace").splitlines()]
        bad = [line[:200] for line in lines
               if re.search(r"^\w+: \S+Z (ERROR|FATAL) |event=\S+-(unreadable|malformed)\b", line)]
        check("log lines of level error or with an event that ends in -unreadable or -malformed", "0 of some",
              f"{len(bad)} of {len(lines)} {bad[:3] or ''}", lines and not bad)
        gone = [process.log.name for process in self.processes if not process.stopped and process.poll() is not None]
        check("processes that ended by themselves", [], gone)


# Jobs through `briarvane serve` ---------------------------------------------------------------------------------------


class Deployment(Site):
    READY = "/ready"

    def open(self):
        self.number, self.control = 0, self.port + 1
        self.settings_file = self.folder / "settings.toml"
        self.settings_file.write_text('note = "first"\n')
        self.spawn("deployment", [self.stand_ins["deployment"], "--store-port", self.port, "--machines-port",
                                  self.control, "--executor-port", self.port + 40, "--pools", ",".join(POOLS),
                                  "--per-pool", 4, "--spare", "spare"])
        self.require("stand-in of a deployment", lambda: call(self.control, "GET", "/machines")[0] == 200)

    def arguments(self, index, addresses):
        store, control = f"127.0.0.1:{self.port}", f"127.0.0.1:{self.control}"
        return ["serve", "--node", f"e{index}", "--data-centre", f"dc-{index}", "--listen", addresses[0], "--readiness",
                addresses[1], "--metrics", addresses[2], "--store", store, "--machines", control, "--cpu-share",
                CPU_SHARES[index], "--settings-file", self.settings_file], {"BRIARVANE_SERVE_ADVICE": control}

    def start_all(self, builds):
        for index, build in enumerate(builds):
            self.start(index, build)
        if self.value("op/config") is None:
            for index in range(len(builds)):  # without a configuration no entry takes a share
                self.require("membership", lambda: self.value(f"m/node/e{index}"))
            time.sleep(1)
            self.put("op/config", CONFIGURATION)
            owners = wait_for(self.owners, lambda owners: None not in owners.values())
            check("owners by processor share", OWNERS, owners)
        self.wait_ready()

    def put(self, key, value):
        return call(self.control, "PUT", f"/test/put?key={key}", json.dumps(value))[0]

    def value(self, key):
        status, _, body = call(self.control, "GET", "/test/value?key=" + urllib.parse.quote(key, safe=""))
        return json.loads(body) if status == 200 else None

    def stored(self, key):
        return json.loads(self.value(key) or "null")

    def owners(self):
        return {share: (self.value(f"m/own/{share}") or "").split(" ")[0] or None for share in OWNERS}

    def record(self):
        return json.loads(call(self.control, "GET", "/test/record")[2])

    def machines(self):
        found, token = [], "0"
        while token:
            page = json.loads(call(self.control, "GET", f"/machines?page_token={token}")[2])
            found, token = found + page["machines"], page.get("next_token")
        return found

    def new_id(self, queue):
        """With advice: an id that the stand-in of the advice service allows on two executors outside the wave."""
        steady = [machine["id"] for machine in self.machines() if machine["machine"] in ("vendors-2", "vendors-3")]
        for _ in range(100):
            self.number += 1
            name = f"{self.port:08x}{self.number:08x}"
            answer = queue == "licences" and call(
                self.control, "POST", "/advise", json.dumps({"step": f"{name}.0.0", "workers": steady}))[2]
            if not answer or len(json.loads(answer).get("good", [])) == len(steady):
                break
        return name

    def ask(self, entry, method, job, body=None):
        status, _, text = call(self.entry_port(entry), method, f"/{job.queue}/{job.id}", body,
                               {"Host": "mixed.example"})
        return status, json.loads(text or "{}")

    def body(self, queue, payload, steps):
        times = {"times": REPORT_TIMES, "start_at_ms": int(time.time() * 1000), "interval_ms": 1000}
        return {"spec": payload, "steps": steps, **(times if queue == "reports" else {})}

    def submit(self, entry, queue, work=None):
        """Repeats a call that was not accepted, with the same id."""
        body = self.body(queue, *(work or QUEUES[queue][1:]))
        tasks = sum(item["count"] for item in body["steps"]) * body.get("times", 1)
        job = Job(queue, self.new_id(queue), tasks)
        self.require(f"acceptance of {job} by e{entry} ({self.entries[entry].build.label})",
                     lambda: self.ask(entry, "POST", job, json.dumps(body))[0], lambda status: status == 200)
        return job

    def state(self, entry, job):
        return self.ask(entry, "GET", job)[1].get("state")

    def check_states(self, what, jobs, wanted, entries=(0, 1, 2)):
        got = wait_for(lambda: collections.Counter(self.state(entry, job) for job in jobs for entry in entries),
                       lambda got: set(got) <= set(wanted))
        check(f"{what}, through {len(entries)} entries", f"{len(jobs) * len(entries)} {'/'.join(wanted)}", dict(got),
              set(got) <= set(wanted))

    def tasks(self):
        """Whether each task that was started is done, by job."""
        found = collections.defaultdict(list)
        for name, task in self.record()["tasks"].items():
            found[name.split(".")[0]].append(task["done"])
        return found

    def half_done(self, jobs):
        """Tasks of supplies that run, and its jobs with some tasks done and others not."""
        tasks, slow = self.tasks(), [job for job in jobs if job.queue == "sugar"]
        return (sum(tasks[job.id].count(False) for job in slow),
                sum(0 < sum(tasks[job.id]) < job.tasks for job in slow))

    def check_ends(self, jobs, entry):
        """The judgement of tests/job_demo.cpp: every accepted job ends with all its tasks, no promise is broken."""
        got = wait_for(lambda: collections.Counter(self.state(entry, job) for job in jobs),
                       lambda got: set(got) <= {"completed", "failed", "cancelled"})
        check(f"how accepted jobs ended, read through e{entry}", {"completed": len(jobs)}, dict(got))
        tasks = self.tasks()
        wrong = [f"{job.id} of {job.queue}: {sum(tasks[job.id])} of {job.tasks} done, {len(tasks[job.id])} started"
                 for job in jobs if tasks[job.id] != [True] * job.tasks]
        check("their tasks that are not done, or not declared", [], wrong[:3])
        check("promises broken at executors (two runs at once, start after a noted end, over capacity)", [],
              self.record()["broken"][:3])

    def begin_wave(self, number):
        check(f"wave {number} declared", 200, self.put(
            f"op/wave/{number}", {"wave": number, "machines": WAVE, "within_s": 120, "cap": 1}))

    def wave_begun(self, number):
        return sorted((self.stored("f/done") or {}).get(str(number), []))

    def check_wave(self, number, maintained_before):
        status = wait_for(lambda: self.stored(f"status/wave/{number}"), lambda value: value == {"state": "completed"})
        check(f"wave {number}: status, machines begun", ({"state": "completed"}, WAVE),
              (status, self.wave_begun(number)))
        got = self.record()["maintained"] - maintained_before
        check(f"wave {number}: maintenances, one may be repeated after a stop", "5 or 6", got, got in (5, 6))


def serve_mixed(site, first, second, seconds):
    """Entry e0 of the first build owns the fleet and supplies, e1 of the second build vendors and depot."""
    site.start_all([first, second, second])
    jobs = [site.submit(entry, queue) for entry in range(3) for queue in QUEUES]
    site.check_states("jobs that each entry accepted 4 of", jobs, ["pending", "running", "completed"])
    again = [site.ask(0 if i >= len(QUEUES) else 1, "POST", job, json.dumps(site.body(job.queue, *ENDLESS)))[0]
             for i, job in enumerate(jobs)]
    check("same ids again through the other build, with other steps", [200] * len(jobs), again)
    sizes = wait_for(lambda: collections.Counter(machine["pool"] for machine in site.machines()),
                     lambda sizes: all(sizes[pool] > 4 for pool in POOLS[:3]))
    check("pool sizes after moves by the loads that owners of both builds published", "3 pools above 4", dict(sizes),
          all(sizes[pool] > 4 for pool in POOLS[:3]))
    for queue, entry, other, owner in (("rosters", 0, 0, 1), ("sugar", 2, 1, 0)):
        endless, stuck = site.submit(entry, queue, ENDLESS), site.submit(entry, queue, STUCK)
        site.check_states(f"endless job of e{owner}, submitted through e{entry}", [endless], ["running"])
        waiting = [wait_for(lambda: site.ask(reader, "GET", Job(queue, "", 0))[1].get("waiting"), lambda got: got == 1)
                   for reader in range(3)]
        check(f"waiting jobs that e{owner} counted, through 3 entries", [1, 1, 1], waiting)
        check(f"both cancelled through e{other}", [CANCELLED] * 2,
              [site.ask(other, "DELETE", job) for job in (endless, stuck)])
        site.check_states("both then", [endless, stuck], ["cancelled"])
        pattern = f'briarvane_share_stops_total{{share="{QUEUES[queue][0]}"}} [1-9]'
        stops = wait_for(lambda: re.search(pattern, call(site.entry_port(owner, 1), "GET", "/metrics")[2]))
        check(f"metric of stops that e{owner} ordered", "1 or more", stops and stops.group(), stops)
    site.check_ends(jobs, 2)
    for queue in ("licences", "reports"):
        twins = [site.submit(entry, queue, EVERY_FIELD) for entry in (0, 1)]
        left, right = (site.stored(f"s/{QUEUES[queue][0]}/{job.id}") for job in twins)
        for record in (left, right):
            record.update({name: "a time" for name in ("accepted", "due") if name in record})
        differ = {name: (left.get(name), right.get(name)) for name in {**left, **right}
                  if left.get(name) != right.get(name)}
        check(f"differences in the record of the same job of {queue}, stored by e0 and e1", {}, differ)
        check("both cancelled through e2", [CANCELLED] * 2, [site.ask(2, "DELETE", job) for job in twins])
    for key in ("g/load/", "g/clear/"):
        fields = [sorted(site.stored(key + share) or {}) for share in ("supplies", "vendors")]
        check(f"fields of {key}, stored by e0 and e1", "the same", fields, fields[0] == fields[1] != [])

    # The owner of the fleet and of supplies is killed in the middle of a wave, while its jobs run.
    maintained = site.record()["maintained"]
    site.begin_wave(1)
    jobs, killed, begun = [], None, time.monotonic()
    while killed is None or time.monotonic() < begun + seconds:
        entries = sorted(site.entries)
        jobs.append(site.submit(entries[len(jobs) % len(entries)], list(QUEUES)[len(jobs) % len(QUEUES)]))
        seen = site.half_done(jobs)[0], site.wave_begun(1), site.stored("status/wave/1")
        held = seen[0] and set(seen[1]) > {"depot-0"} and seen[1] != WAVE and seen[2] == {"state": "running"}
        if killed is None and (held or time.monotonic() > begun + LIMIT):
            killed, killed_as_meant = seen, held
            site.stop([0], signal.SIGKILL)
        time.sleep(0.2)
    check("tasks of supplies that ran, machines of the wave begun, its status when e0 was killed",
          "1+, depot-0 of e1's share and others but not all, running", killed, killed_as_meant)
    owners = wait_for(site.owners, lambda owners: set(owners.values()) <= {"e1", "e2"})
    check("owners after the takeover", "e1 or e2", owners, set(owners.values()) <= {"e1", "e2"})
    site.check_ends(jobs, 1)
    site.check_wave(1, maintained)

    # Entry e0 comes back and is handed a share.
    site.start(0, first)
    site.wait_ready()
    check("share handed over to e0", True, wait_for(
        lambda: site.log_has(site.entries[0], "event=share-acquired .*predecessor=released")))
    site.check_ends([site.submit(entry, queue) for entry in range(3) for queue in QUEUES], 0)
    site.settings_file.write_text('note = "second"\n')
    for process in site.entries.values():
        process.send_signal(signal.SIGHUP)
    check("entries that noticed the changed settings file", [True] * 3, [
        wait_for(lambda: site.log_has(process, "event=settings-changed")) for process in site.entries.values()])
    site.check_logs()


def serve_chain(site, builds, signals):
    """All entries of one build stop in mid-work, and all entries of the next build carry on over the same store."""
    site.start_all([builds[0]] * 3)
    for number, (build, following, how) in enumerate(zip(builds, builds[1:], signals), 1):
        label = f"{build.label} to {following.label} by {signal.Signals(how).name}"
        finished = [site.submit(entry, queue) for entry in range(3) for queue in QUEUES]
        site.check_ends(finished, 2)
        endless = [site.submit(0, "rosters", ENDLESS), site.submit(1, "sugar", ENDLESS)]
        cancelled = site.submit(2, "sugar")
        site.ask(0, "DELETE", cancelled)
        site.check_states("endless jobs", endless, ["running"])
        maintained, jobs, end = site.record()["maintained"], [], time.monotonic() + LIMIT
        site.begin_wave(number)
        while True:
            jobs += [site.submit(len(jobs) % 3, queue) for queue in QUEUES]
            loads = [pool for pool in POOLS[:3] if site.stored(f"g/load/{pool}")]
            seen = (*site.half_done(jobs), len(site.wave_begun(number)), len(site.stored("f/vacate") or []), len(loads))
            held = all(seen) and 3 <= seen[2] <= 4 and seen[4] == 3
            if held or time.monotonic() > end:
                break
            time.sleep(0.3)
        codes = site.stop([0, 1, 2], how)
        check(f"{label}: running tasks, half-done jobs, instances of the wave begun, vacating executors, loads stored",
              "1+, 1+, 3 or 4, 1+, 3", seen, held)
        check(f"{label}: exit codes", [0 if how == signal.SIGTERM else -how] * 3, codes)
        site.start_all([following] * 3)
        site.check_states(f"{label}: jobs completed before", finished, ["completed"])
        site.check_states(f"{label}: a job cancelled before", [cancelled], ["cancelled"])
        site.check_states(f"{label}: endless jobs", endless, ["running"])
        loaded = [wait_for(lambda: any(site.log_has(
            process, f"event=share-loaded share={share} .*jobs=[1-9].* used_executors=[1-9]")
            for process in site.entries.values())) for share in ("vendors", "supplies")]
        check(f"{label}: vendors and supplies loaded with jobs and used executors", [True] * 2, loaded)
        site.check_ends(jobs, 1)
        site.check_wave(number, maintained)
        check(f"{label}: endless jobs cancelled", [CANCELLED] * 2, [site.ask(2, "DELETE", job) for job in endless])
    site.check_logs()


# Requests through `briarvane entry` -----------------------------------------------------------------------------------


class Fleet(Site):
    READY = "/readyz"

    def open(self):
        self.sheet = (ROOT / "examples/swan-coast.csv").read_text()
        self.rules = (ROOT / "examples/swan-coast.alerts").read_text() + ALARM_RULE
        self.upstream, self.answers = self.port + 100, {}
        names = re.findall(r"^instance,([^,]+),", self.sheet, re.M)
        self.spawn("upstream", [self.stand_ins["upstream"], "--control-port", self.upstream, "--base-port",
                                self.upstream + 1, "--count", len(names), "--slots", 8, "--names", ",".join(names)])
        self.spawn("coordination", [self.stand_ins["coordination"], "--port", self.port, "--write-limit", 400,
                                    "--read-limit", 2000, "--list-lag-ms", 300, "--upstream-control",
                                    f"127.0.0.1:{self.upstream}"])
        for port in (self.upstream, self.port):
            self.require("stand-ins", lambda: call(port, "GET", "/stats")[0] == 200)
        for number, name in enumerate(names):
            self.list_instance(name, self.upstream + 1 + number, f"dc-{number % 3}", f"rack-{number // 4}", "live")

    def list_instance(self, name, port, data_centre, rack, presence):
        call(self.port, "PUT", f"/v1/instances/{name}", json.dumps({
            "id": name, "address": "127.0.0.1", "port": port, "data_centre": data_centre, "rack": rack,
            "presence": presence}))

    def list_entry(self, index, presence):
        self.list_instance(f"e{index}", self.entry_port(index), "entries", f"e{index}", presence)

    def arguments(self, index, addresses):
        peers = ",".join(f"e{i}=127.0.0.1:{self.entry_port(i, 2)}" for i in range(3) if i != index)
        return ["entry", "--id", f"e{index}", "--data-centre", f"dc-{index}", "--listen", addresses[0],
                "--operator-listen", addresses[1], "--peer-listen", addresses[2], "--peers", peers, "--platform",
                f"127.0.0.1:{self.port}", "--grace-ms", "300"], OPERATOR

    def replace(self, index, build):
        check(f"exit code of e{index} ({self.entries[index].build.label}) at a planned stop", [0],
              self.stop([index], signal.SIGTERM))
        self.list_entry(index, "gone")
        self.start(index, build)
        self.list_entry(index, "live")
        self.wait_ready()

    def command(self, build, entry, *arguments):
        """Exit code and JSON output of an operator command of one build against an entry, perhaps of the other one."""
        done = run(build, "--operator", f"127.0.0.1:{self.entry_port(entry, 1)}", "--output", "json", *arguments,
                   **OPERATOR)
        return done.returncode, json.loads(done.stdout) if done.stdout.startswith("{") else {}

    def show(self, *arguments):
        return self.command(*arguments)[1]

    def act(self, *arguments):
        """Repeats a change while the entry is unavailable (5); 6 means that it was not confirmed in time."""
        code = wait_for(lambda: self.command(*arguments)[0], lambda code: code != 5)
        words = " ".join(os.path.basename(word) for word in arguments[2:])
        check(f"exit code of `{words}` through e{arguments[1]}", "0 or 6", code, code in (0, 6))

    def apply(self, build, entry, kind, text):
        (self.folder / kind).write_text(text)
        self.act(build, entry, kind, "apply", str(self.folder / kind))

        def shown():
            states = [self.show(build, index, kind, "show") for index in range(3)]
            return [state.get("text") == text for state in states], len({json.dumps(state) for state in states})
        builds = ", ".join(self.entries[index].build.label for index in range(3))
        check(f"{kind} applied through e{entry}: shown by e0 to e2 ({builds}), different replies", ([True] * 3, 1),
              wait_for(shown, lambda got: got == ([True] * 3, 1)))

    def send(self, entry, target, request_id, key=None, work=20, body="body"):
        """The answer to a POST, repeated when it was not run or still runs."""
        headers = {"X-Work-Ms": str(work), "Briarvane-Request-Id": request_id}
        headers.update({"Idempotency-Key": key, "Briarvane-Tenant": "carts"} if key else {})
        return wait_for(lambda: call(self.entry_port(entry), "POST", target, body, headers, 60),
                        lambda answer: answer[1].get("briarvane-outcome") not in (None, "not-run", "in-progress"))

    def send_keyed(self, entries, more):
        """Sends requests with new keys while `more` is true of their number."""
        begin = number = len(self.answers)
        while more(number - begin):
            key = f"key-{number}"
            status, fields, body = self.send(entries[number % len(entries)], "/orders/sugar", f"first-{key}", key)
            self.answers[key] = status, fields.get("content-type"), body
            number += 1
        got = collections.Counter(answer[0] for answer in list(self.answers.values())[begin:])
        check(f"statuses of new keyed requests through entries {entries}", "200 only", dict(got), set(got) == {200})

    def check_replays(self, entries):
        for entry in entries:
            wrong = []
            for key, first in self.answers.items():
                status, fields, body = self.send(entry, "/orders/sugar", f"again-{entry}-{key}", key)
                if (status, fields.get("content-type"), body) != first or fields.get("briarvane-replayed") != "true":
                    wrong.append((key, first, status, fields.get("briarvane-outcome"), body))
            check(f"answers, of {len(self.answers)}, that e{entry} ({self.entries[entry].build.label}) does not replay",
                  [], wrong[:2])


def in_threads(calls):
    threads = [threading.Thread(target=function, args=arguments) for function, *arguments in calls]
    for thread in threads:
        thread.start()
    return threads


def entry_mixed(site, first, second, seconds):
    """Entries of the first build are replaced by the second one after the other, while work goes on."""
    for index in range(3):
        site.start(index, first)
        site.list_entry(index, "live")
    for index in range(3):
        site.require("operator ports", lambda: call(site.entry_port(index, 1), "GET", "/healthz")[0] == 200)
    site.apply(first, 0, "sheet", site.sheet)
    site.apply(first, 1, "alerts", site.rules)
    site.wait_ready()
    site.send_keyed([0, 1, 2], lambda sent: sent < 24)

    site.replace(2, second)  # two entries of the first build, one of the second
    got = [site.show(first, 2, kind, "show").get("text") for kind in ("sheet", "alerts")]
    check("sheet and rules from before in force at e2", [True] * 2, [got[0] == site.sheet, got[1] == site.rules])
    site.check_replays([2])
    site.send_keyed([2], lambda sent: sent < 24)
    site.check_replays([0, 1])
    site.apply(first, 2, "sheet", site.sheet.replace("/rosters,short,5,", "/rosters,short,6,"))
    site.apply(first, 2, "alerts", site.rules + "more: briarvane_queue_length > 9999 for 1m severity page\n")
    site.apply(second, 0, "sheet", site.sheet.replace("/rosters,short,5,", "/rosters,short,7,"))
    site.apply(second, 1, "alerts", site.rules)
    services, wrong = ["rosters", "spinheads", "takings", "depot"], []
    for number in range(36):
        entry, service, name = number % 3, services[number % 4], f"plain-{number}"
        status, fields, body = site.send(entry, f"/{service}/now", name)
        if status != 200 or f"request={name} " not in body:
            wrong.append((name, status, fields.get("briarvane-outcome"), body))
    check("requests, of 36, that entries did not answer whole", [], wrong[:3])

    def counted(entry):
        rows = {row["service"]: row.get("answered") for row in site.show(first, entry, "status").get("requests", [])}
        return [rows.get(service) for service in services]
    check("answered requests of 4 services, counted by all entries, in the status of e0 and e2", [[9] * 4] * 2,
          [wait_for(lambda: counted(entry), lambda got: got == [9] * 4) for entry in (0, 2)])
    check("key from e0 with another body through e2", "key-conflict",
          site.send(2, "/orders/sugar", "other", "key-0", body="another body")[1].get("briarvane-outcome"))
    pairs = [(entry, f"pair-{number}") for number in range(8) for entry in (number % 2, 2)]  # at the same time
    burst = [(site.send, number % 3, f"/{service}/now", f"burst-{service}-{number}", None, 1000)
             for number in range(80) for service in ("rosters", "takings", "depot")]
    for thread in in_threads([(site.send, entry, "/orders/sugar", f"{key}-{entry}", key, 400) for entry, key in pairs]
                             + burst):
        thread.join()
    loads = json.loads(call(site.upstream, "GET", "/stats")[2])["executors"]
    check("most requests that an instance with 8 slots was sent at once, in a burst through all entries", "2 to 8",
          max(load["max_asked"] for load in loads), 2 <= max(load["max_asked"] for load in loads) <= 8)

    def instance(entry, name):
        found = site.show(second, entry, "instance", "show", name).get("instances") or [{}]
        return found[0].get("pool"), found[0].get("state")

    def alarms(raised):
        return [wait_for(lambda: any(item["rule"] == "spinhead-down" for item in site.show(first, entry, "status").get(
            "alarms", [])), lambda got: got == raised) for entry in (0, 2)]
    for name, pool, mover, reader in (("depot-9", "takings", 0, 2), ("depot-8", "rosters", 2, 1)):
        site.act(second, mover, "instance", "move", name, "--to", pool)
        check(f"{name} at e{reader}", (pool, "active"),
              wait_for(lambda: instance(reader, name), lambda got: got == (pool, "active")))
    site.act(first, 0, "instance", "drain", "spinheads-1")
    check("spinheads-1 at e2", "drained", wait_for(lambda: instance(2, "spinheads-1")[1], lambda got: got == "drained"))
    check("alarm raised, at e0 and e2", [True] * 2, alarms(True))
    site.act(first, 2, "instance", "drain", "spinheads-1", "--undo")
    check("alarm raised after that, at e0 and e2", [False] * 2, alarms(False))

    # A wave begins under the first build, goes on under both, and ends under the second one. Entries are replaced while
    # it is paused and no instance reboots: a new responsible entry orders a reboot again, and the stand-in of the
    # upstreams does not survive two at once.
    def wave(entry):
        found = site.show(first, entry, "wave", "show").get("waves", {}).get("friday", {})
        return found.get("state"), *(len(found.get(part, [])) for part in ("waiting", "running", "finished"))

    def pause(build, through, reader, finished):
        wait_for(lambda: wave(reader), lambda got: got[2] + got[3] > finished)
        site.act(build, through, "wave", "pause", "friday")
        got = wait_for(lambda: wave(reader), lambda got: got[0] == "paused" and not got[2])
        check(f"wave at e{reader}: state, waiting, running, finished", f"paused, 1+, 0, more than {finished}", got,
              got[0] == "paused" and got[1] and not got[2] and got[3] > finished)
        return got[3]
    call(site.port, "POST", "/fault?reboot_ms=1000")
    site.act(second, 0, "wave", "start", "friday", "--pool", "depot")
    finished = pause(first, 2, 1, 0)
    site.replace(0, second)  # one entry of the first build, two of the second
    site.check_replays([0])
    site.act(first, 0, "wave", "resume", "friday")
    pause(second, 1, 0, finished)
    end = time.monotonic() + seconds
    site.send_keyed([0, 1, 2], lambda sent: sent < 12 or time.monotonic() < end)
    replaced = []
    sender, = in_threads([(site.send_keyed, [0, 2], lambda sent: sent < 12 or not replaced)])
    try:
        site.replace(1, second)
    finally:
        replaced.append(True)
        sender.join()
    site.act(first, 1, "wave", "resume", "friday")
    got = wait_for(lambda: wave(1), lambda got: got[0] == "done", 2 * LIMIT)
    check("wave at e1: state, waiting, running, finished", "done, 0, 0, 7+", got,
          got[:3] == ("done", 0, 0) and got[3] >= 7)
    site.check_replays([0, 1, 2])
    executions = json.loads(call(site.upstream, "GET", "/executions", timeout=LIMIT)[2])
    runs = collections.Counter(item["key"] for item in executions if item["key"])
    keys = set(site.answers) | {key for _, key in pairs}
    check(f"keys, of {len(keys)}, that did not run exactly once", {},
          {key: runs[key] for key in keys | set(runs) if runs[key] != (key in keys)})
    check("requests cut by planned stops and reboots", 0, sum(item["state"] == "cut" for item in executions))
    site.check_logs()


# Settings -------------------------------------------------------------------------------------------------------------


def settings(old, new):
    def compare(what, code, read):
        got = [read(old), read(new)]
        check(f"{what}, by both builds", f"exit code {code} and the same names", got[0] if got[0] == got[1] else got,
              got[0] == got[1] and got[0][0] == code and len(got[0][1]) > 1)

    def accepted(build):
        done = run(build, "entry", "--check", "--id", "e1", "--data-centre", "perth", "--platform", "127.0.0.1:9",
                   BRIARVANE_GRACE_MS="1200", **OPERATOR)
        return done.returncode, done.stdout.splitlines()

    def refused(build):
        done = run(build, "entry", "--check", "--id", "e 1", "--grace-ms", "-1", BRIARVANE_ORDER_SHARDS="0")
        return done.returncode, sorted(re.findall(r"^briarvane entry: (--[a-z-]+)", done.stderr, re.M))

    def deployed(cpu_share):
        line = re.search(r'^run = "(.*)"$', (ROOT / "deploy/system.toml").read_text(), re.M).group(1)
        values = {"ip": "127.0.0.1", "port_range.0": "7060", "orders": "invocation", "limits.cpu_share": cpu_share,
                  "bounds.hold_max_ms": "6000", "bounds.stop_ms": "400", "bounds.lease_ms": "3000",
                  "bounds.grace_s": "6", "bounds.status_s": "120"}  # all others are names or addresses
        words = shlex.split(re.sub(r"\{\{(.*?)\}\}", lambda name: values.get(name.group(1), "127.0.0.1:7061"), line))

        def read(build):
            done = run(build, *words[1:], "--check", BRIARVANE_SERVE_ADVICE="127.0.0.1:7062")
            return done.returncode, ["deploy/system.toml", "refused:"] + re.findall(r"--[a-z-]+", done.stderr)[:1]
        return read
    compare("settings of an entry", 0, accepted)
    compare("refused settings of an entry", 2, refused)
    compare("command line of serve", 0, deployed("2"))
    compare("command line of serve with a wrong processor share", 2, deployed("99"))


def main():
    global scenario
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", required=True, help="folder of the old build's programs")
    parser.add_argument("--new", required=True, help="folder of the new build's programs and of the stand-ins")
    parser.add_argument("--seconds", type=float, default=6, help="least time for which work comes in around a change")
    parser.add_argument("--only", default="", help="run only scenarios with this text in their name")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    old, new = Build("old", os.path.abspath(options.old)), Build("new", os.path.abspath(options.new))

    def stand_in(*patterns):
        found = [path for build in (new, old) for name in patterns for path in glob.glob(f"{build.folder}/{name}")]
        return found[0] if found else sys.exit(f"no program {' or '.join(patterns)} in {new.folder} or {old.folder}")
    stand_ins = {"deployment": stand_in("standin_deployment"), "upstream": stand_in("standin_upstream"),
                 "coordination": stand_in("standin_platform", "standin_coordination*")}
    work = pathlib.Path(tempfile.mkdtemp(prefix="briarvane-mixed-"))
    print(f"old {old.folder}, new {new.folder}, stand-ins {list(stand_ins.values())}, logs in {work}", flush=True)
    stops = [signal.SIGKILL, signal.SIGTERM]
    for scenario, kind, play, *arguments in (
            ("serve, one old and two new", Deployment, serve_mixed, old, new, options.seconds),
            ("serve, one new and two old", Deployment, serve_mixed, new, old, options.seconds),
            ("serve, old then new then old", Deployment, serve_chain, [old, new, old], stops),
            ("serve, new then old then new", Deployment, serve_chain, [new, old, new], stops),
            ("entry, old replaced by new", Fleet, entry_mixed, old, new, options.seconds),
            ("entry, new replaced by old", Fleet, entry_mixed, new, old, options.seconds),
            ("settings", None, settings, old, new)):
        try:
            if options.only in scenario and kind is None:
                play(*arguments)
            elif options.only in scenario:
                with kind(work / scenario.replace(",", "").replace(" ", "-"), stand_ins) as site:
                    site.open()
                    play(site, *arguments)
        except Exception as error:  # the other scenarios are still worth running
            traceback.print_exc()
            check("the scenario runs to its end", "yes", f"{type(error).__name__}: {error}")
    print(f"{results[True]} passed, {results[False]} failed", flush=True)
    if not results[False]:
        shutil.rmtree(work)
    sys.exit(1 if results[False] or not results[True] else 0)


if __name__ == "__main__":
    main()
