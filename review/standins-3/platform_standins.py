"""Stand-ins of the users' platform for the cases of this review: the store, the machines API and the executors, as
PROTOCOL.md describes them. They run in the event loop of the script that uses them."""

import asyncio
import base64
import bisect
import json
import time
import urllib.parse

VALUE_BYTES = 1_048_576  # `value_bytes` of the settings in DEPLOY.md
PAGE_ITEMS = 500
LISTED_ENDS = 500


def now():
    return time.monotonic()


def wall_ms():
    return int(time.time() * 1000)


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection. Requests are handled one after another."""

    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.busy = False
        self.silent = False  # nothing is read or answered any more, and the connection stays open

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, _error):
        self.server.connections.discard(self)

    def data_received(self, data):
        if not self.silent:
            self.buffer += data
            self.handle_next()

    def handle_next(self):
        while not self.busy and not self.silent:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4:end + 4 + length]
            self.buffer = self.buffer[end + 4 + length:]
            method, target, _ = lines[0].split(" ", 2)
            path, _, query = target.partition("?")
            self.busy = True
            answer = self.server.handler(Request(self, method, path, urllib.parse.parse_qs(query), headers, body))
            if answer is not None:
                self.reply(*answer)

    def reply(self, status, body):
        if self.silent or self.transport.is_closing():
            return
        data = json.dumps(body, separators=(",", ":")).encode()
        self.transport.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data)
        self.busy = False
        if self.buffer:
            self.handle_next()

    def drop(self):
        """Closes the connection without an answer."""
        self.transport.abort()


class Request:
    def __init__(self, connection, method, path, query, headers, body):
        self.connection = connection
        self.method = method
        self.path = path
        self.query = {name: values[0] for name, values in query.items()}
        self.headers = headers
        self.raw = body

    def json(self):
        return json.loads(self.raw) if self.raw else {}

    def reply(self, status, body):
        self.connection.reply(status, body)


class Server:
    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.listener = None

    async def open(self, port):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Connection(self), "127.0.0.1", port)

    def close(self):
        if self.listener:
            self.listener.close()
        for connection in list(self.connections):
            connection.drop()

    def silence_open_connections(self):
        """Open channels go silent for good, without a reset, while new ones work."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)


class Store:
    """The platform's metadata store."""

    def __init__(self, log):
        self.log = log
        self.items = {}  # key -> [value, revision, created, lease]
        self.keys = []  # sorted
        self.events = []  # (revision, key, item or None)
        self.revision = 10
        self.leases = {}  # id -> [ttl, until]
        self.last_lease = 0
        self.watches = []
        self.refused_values = 0
        self.refused_sizes = 0
        self.server = Server(self.handle)

    # Keys

    def row(self, key, item):
        value, revision, created, lease = item
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": lease}

    def set(self, key, value, lease=0):
        old = self.items.get(key)
        if old is None:
            bisect.insort(self.keys, key)
        self.items[key] = [value, self.revision, old[2] if old else self.revision, lease]
        self.events.append((self.revision, key, list(self.items[key])))

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, key)]
            self.events.append((self.revision, key, None))

    def put(self, key, value):
        """A write of the operator or of an executor."""
        self.revision += 1
        self.set(key, json.dumps(value).encode())
        self.answer_watches()

    def remove(self, key):
        self.revision += 1
        self.erase(key)
        self.answer_watches()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else item[0].decode()

    def with_prefix(self, prefix, after=""):
        position = bisect.bisect_right(self.keys, after) if after > prefix else bisect.bisect_left(self.keys, prefix)
        while position < len(self.keys) and self.keys[position].startswith(prefix):
            yield self.keys[position]
            position += 1

    # Calls

    def handle(self, request):
        path = request.path
        if path == "/kv-key":
            key = request.query["key"]
            item = self.items.get(key)
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**self.row(key, item), "store_revision": self.revision}
        if path == "/kv-range":
            rows = []
            size = 0
            truncated = False
            for key in self.with_prefix(request.query["prefix"], request.query.get("after", "")):
                if len(rows) >= PAGE_ITEMS or size > 1_000_000:
                    truncated = True
                    break
                rows.append(self.row(key, self.items[key]))
                size += len(self.items[key][0])
            return 200, {"items": rows, "truncated": truncated, "store_revision": self.revision}
        if path == "/kv-watch":
            self.watches.append((request.query["prefix"], int(request.query["after"]),
                                 now() + int(request.query["wait_ms"]) / 1000, request))
            self.answer_watches()
            return None
        if path == "/kv-txn":
            answer = self.transaction(request.json())
            self.answer_watches()
            return answer
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = request.json()["ttl_ms"]
            self.leases[self.last_lease] = [ttl, now() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            self.leases[lease][1] = now() + self.leases[lease][0] / 1000
            return 200, {"lease": lease, "ttl_ms": self.leases[lease][0]}
        self.end_lease(lease)
        return 200, {}

    def transaction(self, body):
        expected = body.get("precondition", [])
        writes = body.get("writes", [])
        removed = body.get("remove", [])
        if len(expected) + len(writes) + len(removed) > 32:
            self.refused_sizes += 1
            if self.refused_sizes in (1, 10, 100, 1000):
                self.log("store", f"400 number {self.refused_sizes}: a transaction of "
                                  f"{len(expected) + len(writes) + len(removed)} entries, at most 32 are accepted; it "
                                  f"writes {sorted({write['key'] for write in writes})}")
            return 400, {"error": "more than 32 entries"}
        values = []
        for write in writes:
            value = base64.b64decode(write["value"])
            if len(value) > VALUE_BYTES:
                self.refused_values += 1
                if self.refused_values in (1, 10, 100, 1000):
                    self.log("store", f"400 number {self.refused_values}: the value of {write['key']} has {len(value)} "
                                      f"bytes, value_bytes is {VALUE_BYTES}")
                return 400, {"error": "the value is longer than value_bytes"}
            if write["key"].startswith(("op/", "servers/")):
                return 403, {"error": "key of others"}
            values.append(value)
        current = []
        holds = True
        for row in expected:
            item = self.items.get(row["key"])
            holds = holds and (item[1] if item else 0) == row["revision"]
            current.append(self.row(row["key"], item) if item else {"key": row["key"], "value": "", "revision": 0,
                                                                    "created": 0, "lease": 0})
        if not holds:
            return 412, {"items": current}
        if any(write.get("lease", 0) and write["lease"] not in self.leases for write in writes):
            return 404, {}
        self.revision += 1
        for write, value in zip(writes, values):
            self.set(write["key"], value, write.get("lease", 0))
        for key in removed:
            self.erase(key)
        return 200, {"revision": self.revision}

    def end_lease(self, lease):
        del self.leases[lease]
        self.revision += 1
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.erase(key)
        self.answer_watches()

    def answer_watches(self):
        waiting, self.watches = self.watches, []
        for prefix, after, until, request in waiting:
            first = bisect.bisect_right(self.events, after, key=lambda event: event[0])
            rows = []
            for revision, key, item in self.events[first:]:
                if key.startswith(prefix):
                    rows.append(self.row(key, item) if item else {"key": key, "revision": revision, "tombstone": True})
            if rows or now() >= until:
                request.reply(200, {"events": rows, "store_revision": self.revision})
            elif not request.connection.transport.is_closing():
                self.watches.append((prefix, after, until, request))

    def tick(self):
        for lease in [lease for lease, (_, until) in self.leases.items() if until <= now()]:
            self.end_lease(lease)
        self.answer_watches()


class Run:
    def __init__(self, number, start, work):
        self.number = number
        self.started = start
        self.work = work
        self.progress_at = start
        self.done_s = 0.0
        self.percent = 100  # pace
        self.stopping_until = None
        self.saved = ""


class Executor:
    """One life after another of an executor under one id. `describe(task)` gives what a run of the task does:
    {"work_s": seconds or None for a task that lasts, "cpu": milli-cores, "mem_mb": .., "saves": bool}."""

    HOLD_MAX_S = 10.0
    STOP_S = 0.1

    def __init__(self, store, log, name, port, service, rack, describe):
        self.store, self.log, self.name, self.port = store, log, name, port
        self.service, self.rack, self.describe = service, rack, describe
        self.kind, self.cpu, self.mem_mb = "a", 16000, 65536
        self.up = False
        self.server = None
        self.pace_fault = None  # what happens to the next /pace calls
        self.load = lambda _executor, _task: 0  # fifth entry of a row of `running`
        self.starts = []  # (time, task, run)
        self.on_start = lambda _executor, _task, _run: None
        self.on_end = lambda _executor, _task, _run, _how: None

    async def start(self):
        self.born = wall_ms()
        self.begun = now()
        self.fence = 0
        self.lease_until = 0  # ms on the executor's clock
        self.runs = {}
        self.refused_runs = {}  # task -> highest run that was stopped or has ended here
        self.ended = []
        self.last_end = 0
        self.polls = []
        self.up = True
        self.server = Server(self.handle)
        await self.server.open(self.port)
        self.seq = 0
        self.register()

    def register(self):
        self.seq += 1
        self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": [self.kind, self.rack]})

    def crash(self):
        """After a crash the executor runs nothing; its entry stays until it has been silent for three heartbeats."""
        self.log(self.name, f"crashes with {len(self.runs)} runs")
        self.up = False
        self.runs, self.polls = {}, []
        self.server.close()

    def clock_ms(self):
        return int((now() - self.begun) * 1000) + 1000

    def used_cpu(self):
        return sum(self.describe(task)["cpu"] for task in self.runs)

    def used_mem(self):
        return sum(self.describe(task)["mem_mb"] for task in self.runs)

    def handle(self, request):
        if not self.up:
            request.connection.drop()
            return None
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        body = request.json()
        token = body.get("fencing_token", 0)
        clock = {"clock_ms": self.clock_ms(), "born": self.born}
        if token < self.fence:
            return 409, {**clock, "reason": "fence"}
        self.fence = token
        if "until_ms" in body:
            if request.path == "/run-start" and body["until_ms"] <= clock["clock_ms"]:
                return 409, {**clock, "reason": "late"}
            self.lease_until = max(self.lease_until,
                                   min(body["until_ms"], clock["clock_ms"] + int(self.HOLD_MAX_S * 1000)))
        if request.path == "/run-start":
            return self.run_start(body, clock)
        if request.path == "/run-stop":
            return self.run_stop(body, clock)
        if request.path == "/pace":
            return self.pace(request, body, clock)
        if request.path == "/hold":
            observed = body.get("observed", 0)
            self.ended = [end for end in self.ended if end[0] > observed]
            self.polls.append((now() + body.get("wait_ms", 0) / 1000, request))
            self.answer_polls()
            return None
        return 404, {}

    def run_start(self, body, clock):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, clock
        if run is not None or number <= self.refused_runs.get(task, 0):
            return 409, {**clock, "reason": "old"}
        run = Run(number, now(), self.describe(task)["work_s"])
        run.saved = body.get("checkpoint", "")
        self.runs[task] = run
        self.starts.append((now(), task, number))
        self.on_start(self, task, number)
        return 200, clock

    def run_stop(self, body, clock):
        task, number = body["task"], body["run"]
        self.refused_runs[task] = max(number, self.refused_runs.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stopping_until is None:
            run.stopping_until = now() + self.STOP_S
        return 200, clock

    def pace(self, request, body, clock):
        if self.pace_fault is not None and self.pace_fault(request, body):
            return None
        run = self.runs.get(body["task"])
        if run is not None and run.number == body["run"]:
            self.advance(run)
            run.percent = body["percent"]
        return 200, clock

    def advance(self, run):
        run.done_s += (now() - run.progress_at) * run.percent / 100
        run.progress_at = now()

    def end(self, task, how):
        run = self.runs.pop(task)
        self.refused_runs[task] = max(run.number, self.refused_runs.get(task, 0))
        self.last_end += 1
        if self.describe(task).get("saves"):
            run.saved = f"{self.last_end:08x}{run.number:08x}"
        self.ended.append([self.last_end, task, run.number, how, run.saved])
        self.on_end(self, task, run.number, how)

    def answer_polls(self):
        waiting, self.polls = self.polls, []
        for until, request in waiting:
            if not self.ended and now() < until:
                self.polls.append((until, request))
                continue
            rows = []
            for task, run in self.runs.items():
                if run.stopping_until is None:
                    lasts = run.work is None
                    percent = 100 if lasts and now() - run.started > 0.3 else 0 if lasts else int(
                        100 * run.done_s / run.work)
                    rows.append([task, run.number, run.saved, percent, self.load(self, task)])
            request.reply(200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows,
                                "ended": self.ended[:LISTED_ENDS]})

    def tick(self):
        if not self.up:
            return
        lapsed = self.clock_ms() > self.lease_until
        for task, run in list(self.runs.items()):
            self.advance(run)
            if lapsed:
                self.end(task, "lapsed")
            elif run.stopping_until is not None and now() >= run.stopping_until:
                self.end(task, "stopped")
            elif run.stopping_until is None and run.work is not None and run.done_s >= run.work:
                self.end(task, "done")
        self.answer_polls()


class Machines:
    """The machines API. Each executor is the present life of one machine."""

    def __init__(self, log, executors):
        self.log, self.executors = log, executors
        self.server = Server(self.handle)

    def handle(self, request):
        if request.path == "/machines":
            return 200, {"machines": [
                {"machine": f"m-{executor.name}", "pool": executor.service, "state": "up" if executor.up else "down",
                 "zone": "z1", "labels": [executor.kind, executor.rack],
                 "capacity": {"cpu": executor.cpu, "mem_mb": executor.mem_mb, "gpu": 0},
                 "id": executor.name if executor.up else ""} for executor in self.executors], "next_token": ""}
        self.log("machines", f"409 busy for {request.path} {request.raw.decode()}")
        return 409, {"reason": "busy"}


class Machine:
    def __init__(self, name, pool, port, rack):
        self.name, self.pool, self.port, self.rack = name, pool, port, rack
        self.state = "up"
        self.lives = 0
        self.executor = None
        self.fence = 0
        self.waves = set()  # waves whose upkeep of this machine has begun


class Fleet:
    """The machines API with moves and upkeep. Machines of a spare pool are off and have no executor."""

    MOVE_S = 1.5
    UPKEEP_S = 2.0

    def __init__(self, store, log, executors, spare, describe):
        self.store, self.log, self.executors, self.spare, self.describe = store, log, executors, spare, describe
        self.machines = {}
        self.server = Server(self.handle)
        self.tasks = set()

    async def add(self, name, pool, port, rack):
        self.machines[name] = Machine(name, pool, port, rack)
        await self.turn_on(self.machines[name])

    async def turn_on(self, machine):
        machine.state = "up"
        if machine.pool == self.spare:
            return
        machine.lives += 1
        executor = Executor(self.store, self.log, f"x-{machine.name}-{machine.lives}", machine.port, machine.pool,
                            machine.rack, self.describe)
        machine.executor = executor
        self.executors.append(executor)
        await executor.start()

    def turn_off(self, machine, state):
        machine.state = state
        executor, machine.executor = machine.executor, None
        if executor is not None:
            if executor.runs:
                self.log(executor.name, f"ends with {len(executor.runs)} runs")
            executor.up = False
            executor.server.close()
            self.executors.remove(executor)
            self.store.remove(f"servers/{executor.name}")

    def handle(self, request):
        if request.path == "/machines":
            return 200, {"machines": [
                {"machine": machine.name, "pool": machine.pool, "state": machine.state, "zone": "z1",
                 "labels": ["a", machine.rack], "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
                 "id": machine.executor.name if machine.executor else ""} for machine in self.machines.values()],
                "next_token": ""}
        body = request.json()
        machine = self.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        token = int(request.headers["x-fencing-token"])
        if token < machine.fence:
            return 409, {"reason": "fence"}
        machine.fence = token
        if request.path == "/machine-upkeep":
            wave = json.loads(self.store.value(f"op/wave/{body['wave']}") or '{"machines":[]}')
            if machine.name not in wave["machines"]:
                return 409, {"reason": "wave"}
            if body["wave"] in machine.waves:
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            machine.waves.add(body["wave"])
            self.begin(machine, "upkeep", self.UPKEEP_S, machine.pool)
            return 200, {}
        if machine.pool == body["pool"]:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        self.begin(machine, "moving", self.MOVE_S, body["pool"])
        return 200, {}

    def begin(self, machine, state, seconds, pool):
        self.log("machines", f"{machine.name} begins {state}, pool {machine.pool} -> {pool}")
        self.turn_off(machine, state)
        machine.pool = pool

        async def later():
            await asyncio.sleep(seconds)
            await self.turn_on(machine)

        task = asyncio.create_task(later())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
