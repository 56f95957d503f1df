#!/usr/bin/env python3
"""Measures the processor time of `briarvane serve` against a simulated deployment (standin_deployment) on loopback: of
an idle entry per executor, of accepting a job, and of a partition's owner per job and per task.
Usage: tools/serve_cost.py BUILD_FOLDER. Prints a table like the one in docs/CAPACITY.md."""

import http.client
import json
import os
import subprocess
import sys
import tempfile
import time

FIRST_PORT = 33000  # above the port range of the tests
CONFIG = {
    "version": 1,
    "routes": [{"name": "rosters", "host": "cost.example", "prefix": "/rosters/", "service": "vendors",
                "timeout_ms": 3000, "max_attempts": 4, "stretch": 2, "target_latency_ms": 600}],
    "services": [{"name": "vendors", "max_conns": 8}],
    "limits": {},
}
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_ms(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS


def call(port, method, target, body=None, host="cost.example"):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request(method, target, body, {"Host": host})
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer.status


class Deployment:
    """One pool, an owner with a large CPU share and an entry whose CPU share is too small to own a partition."""

    def __init__(self, build, executors, base):
        self.base = base
        log = open(os.path.join(tempfile.mkdtemp(), "log"), "w")
        self.stand_in = subprocess.Popen(
            [f"{build}/standin_deployment", "--store-port", str(base), "--machines-port", str(base + 1),
             "--executor-port", str(base + 20), "--pools", "vendors", "--per-pool", str(executors),
             "--milli-cores", "16000"], stdout=log, stderr=log)
        self.wait(base + 1, "/machines")
        assert call(base + 1, "PUT", "/test/put?key=op/config", json.dumps(CONFIG)) == 200
        self.owner = self.entry(build, "owner", base + 2, "8", log)
        time.sleep(2)
        self.front = self.entry(build, "front", base + 4, "0.01", log)
        time.sleep(3)

    def entry(self, build, name, port, share, log):
        process = subprocess.Popen(
            [f"{build}/briarvane", "serve", "--node", name, "--data-centre", "dc-0", "--listen", f"127.0.0.1:{port}",
             "--readiness", f"127.0.0.1:{port + 1}", "--store", f"127.0.0.1:{self.base}", "--machines",
             f"127.0.0.1:{self.base + 1}", "--cpu-share", share], stdout=log, stderr=log)
        self.wait(port + 1, "/ready")
        return process

    @staticmethod
    def wait(port, target):
        for _ in range(200):
            try:
                if call(port, "GET", target) == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        sys.exit(f"port {port} does not answer {target}")

    def measure(self, seconds, jobs, tasks):
        """Returns the processor time in ms of the owner and of the other entry during `seconds`, while `jobs` jobs with
        `tasks` tasks each are submitted."""
        begun = [cpu_ms(self.owner), cpu_ms(self.front)]
        body = json.dumps({"spec": "work_ms=100 cpu=100",
                           "steps": [{"count": tasks, "cpu": 100, "mem_mb": 1, "estimate_ms": 100}]})
        end = time.time() + seconds
        for number in range(jobs):
            assert call(self.base + 4, "POST", f"/rosters/{tasks:04x}{number:012x}", body) == 200
            time.sleep(max(0.0, (end - time.time()) / (jobs - number) * 0.9))
        time.sleep(max(0.0, end - time.time()))
        return cpu_ms(self.owner) - begun[0], cpu_ms(self.front) - begun[1]

    def stop(self):
        for process in (self.front, self.owner, self.stand_in):
            process.kill()
            process.wait()


def main():
    build = sys.argv[1]
    seconds = 20
    few, many = 4, 84
    rest = {}
    for executors, base in ((few, FIRST_PORT), (many, FIRST_PORT + 200)):
        deployment = Deployment(build, executors, base)
        rest[executors] = deployment.measure(seconds, 0, 0)
        if executors == many:
            jobs = 600
            one = deployment.measure(seconds, jobs, 1)
            eleven = deployment.measure(seconds, jobs, 11)
        deployment.stop()
    idle = rest[many]
    start = (eleven[0] - one[0]) / (10 * jobs)
    print(f"entry that owns nothing, at rest, ms/s                       {rest[few][1] / seconds:.2f}")
    print(f"owner with {few} executors, at rest, ms/s                        {rest[few][0] / seconds:.2f}")
    print(f"each further executor at rest (holds and renewals), ms/s     {(idle[0] - rest[few][0]) / seconds / (many - few):.3f}")
    print(f"accepting a job, at the entry that takes it, ms              {(one[1] - idle[1]) / jobs:.3f}")
    print(f"a job with one task, at its owner, ms                        {(one[0] - idle[0]) / jobs:.3f}")
    print(f"each further task (start, end, record), at its owner, ms     {start:.3f}")


if __name__ == "__main__":
    main()
