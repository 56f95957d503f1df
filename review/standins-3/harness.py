"""Starts the project's entries with the command of the deploy file, beside the stand-ins of platform.py, and keeps the
record of a case."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import platform_standins as standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of a small deployment, as in DEPLOY.md.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
          "hold_max_ms": 10000, "stop_ms": 200, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
          "finish_s": 14, "status_s": 120, "lease_ms": 3000, "pace_ms": 100, "harm_ms": 4000}


class NotRun(Exception):
    """The case could not run."""


class Case:
    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.begun = time.monotonic()
        self.record = open(self.folder / "record.txt", "w", buffering=1)
        self.ports = set()
        self.entries = {}
        self.executors = []
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="briarvane-case-"))
        self.store = standins.Store(self.log)
        self.machines = standins.Machines(self.log, self.executors)
        self.broken = []

    def log(self, who, text):
        self.record.write(f"{time.monotonic() - self.begun:9.3f} {who}: {text}\n")

    def free_port(self):
        while True:
            port = random.randint(12_000, 32_000)  # below the ports that outgoing connections take
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            if port not in self.ports:
                self.ports.add(port)
                return port

    # Platform

    async def open_platform(self):
        self.store_port, self.machines_port = self.free_port(), self.free_port()
        await self.store.server.open(self.store_port)
        await self.machines.server.open(self.machines_port)
        self.ticking = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            self.store.tick()
            for executor in self.executors:
                executor.tick()
            await asyncio.sleep(0.005)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.5)
            for executor in self.executors:
                if executor.up:
                    executor.register()

    def add_executor(self, name, service, rack, describe):
        executor = standins.Executor(self.store, self.log, name, self.free_port(), service, rack, describe)
        self.executors.append(executor)
        return executor

    # Entries

    def start_entry(self, name, cpu_share=0.25):
        ports = self.entries[name]["ports"] if name in self.entries else {
            "front": self.free_port(), "readiness": self.free_port(), "metrics": self.free_port()}
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        values = {"node_name": name, "zone": "z1", "bind_addresses.front": f"127.0.0.1:{ports['front']}",
                  "bind_addresses.readiness": f"127.0.0.1:{ports['readiness']}", "ip": "127.0.0.1",
                  "port_range.0": str(ports["metrics"]), "platform.address": f"127.0.0.1:{self.store_port}",
                  "cloud_api.address": f"127.0.0.1:{self.machines_port}", "limits.cpu_share": str(cpu_share),
                  "orders": "invocation", "advice": f"127.0.0.1:{self.machines_port}"}
        values.update({f"bounds.{bound}": str(value) for bound, value in BOUNDS.items()})

        def fill(text):
            return re.sub(r"\{\{([^}]*)\}\}", lambda match: values[match.group(1)], text)

        settings = self.temporary / f"{name}.yaml"
        settings.write_text(f'node_name: "{name}"\nzone: "z1"\n')
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BRIARVANE_SETTINGS"] = str(settings)
        environment.update({key: fill(value) for key, value in role.get("env", {}).items()})
        command = [fill(word) for word in role["run"].split()]
        output = open(self.temporary / f"{name}.log", "ab")
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output)
        self.entries[name] = {"ports": ports, "process": process}
        self.log(name, "started")

    def kill_entry(self, name):
        self.log(name, "SIGKILL")
        self.entries[name]["process"].kill()
        self.entries[name]["process"].wait()

    def entry_log(self, name):
        return (self.temporary / f"{name}.log").read_text(errors="replace")

    async def until_ready(self, timeout=15):
        end = time.monotonic() + timeout
        for name, entry in self.entries.items():
            while True:
                status, _ = await self.call(entry["ports"]["readiness"], "GET", "/ready", {}, None, 1)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise NotRun(f"{name} was not ready within {timeout} s")
                await asyncio.sleep(0.1)

    # Clients

    async def call(self, port, method, path, headers, body, timeout):
        """Returns status and body; status 0: no complete answer."""
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                data = b"" if body is None else json.dumps(body).encode()
                head = {"Host": "127.0.0.1", "Content-Length": str(len(data)), "Connection": "close", **headers}
                if body is not None:
                    head["Content-Type"] = "application/json"
                writer.write((f"{method} {path} HTTP/1.1\r\n"
                              + "".join(f"{name}: {value}\r\n" for name, value in head.items()) + "\r\n").encode()
                             + data)
                answer = await reader.read()
                top, _, rest = answer.partition(b"\r\n\r\n")
                status = int(top.split(b" ", 2)[1])
                return status, json.loads(rest) if rest else {}
        except (OSError, TimeoutError, ValueError, IndexError):
            return 0, {}
        finally:
            if writer is not None:
                writer.close()

    async def client(self, name, method, host, path, body=None, timeout=3.0, quiet=False):
        entry = self.entries[name]
        status, answer = await self.call(entry["ports"]["front"], method, path,
                                         {"Host": host, "X-Deadline-Ms": str(int(timeout * 1000))}, body, timeout)
        if not quiet:
            self.log("client", f"{method} {path} at {name} -> {status} {json.dumps(answer)}")
        return status, answer

    # End

    def breaks(self, text):
        self.broken.append(text)
        self.log("BROKEN", text)

    def close(self):
        for entry in self.entries.values():
            process = entry["process"]
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, scenario):
    case = Case(folder)
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes that the case started as well

    async def run():
        await case.open_platform()
        await scenario(case)

    try:
        if not (ROOT / "target/briarvane").exists():
            raise NotRun("target/briarvane is not built")
        asyncio.run(asyncio.wait_for(run(), 112))
        code = 1 if case.broken else 0
    except NotRun as reason:
        case.log("case", f"could not run: {reason}")
    except TimeoutError:
        case.log("case", "could not run: out of time")
    except Exception as error:  # a fault of the script itself
        case.log("case", f"could not run: {error!r}")
        import traceback
        case.record.write(traceback.format_exc())
    finally:
        case.close()
    case.log("case", {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    print({0: "held", 1: "BROKEN: " + "; ".join(case.broken[:3]), 2: "could not run, see record.txt"}[code])
    sys.exit(code)
