#!/usr/bin/env python3
"""Randomized soak of a fleet: real processes on loopback, faults from outside.

  soak.py --seed N [--seconds S] [--port BASE]

Three core hosts, two fronts, targets behind a loopback proxy, callers that
keep their connections, an operator. Faults are drawn from the seed, in series
and overlapping: processes are killed, paused, stopped and started again; data
folders are lost or end in a torn frame; connections to targets are delayed,
reset, silenced, or cut for the answers only; targets are born again. Checked
are, from what callers and targets see: no task runs twice at once or after its
end was noted, no target over its room, what was answered 200 ends, what was
refused every time never starts, the configuration read back is the newest
acknowledged, and no process ends that was not ended here.

Only processes that this script started are signalled, by their IDs.
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standin  # noqa: E402

CORES = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
FRONTS = ["127.0.0.5", "127.0.0.6"]
SETTINGS = """host: "{host}"
{data}trusted_network: true
snapshot_entries: 400
times: {{heartbeat_ms: 80, election_min_ms: 450, election_max_ms: 850, fresh_ms: 1500}}
fleet:
  {role}: "{host}:{port}"
  readiness: "{host}:{ready}"
  advice: "127.0.0.9:{policy}"
  data_centre: "z1"
  first_start: {first}
  bus_port: {bus}
  lease_ms: 6000
  stop_ms: 900
  grace_s: 6
  keep_s: 120
  far_times: 1.5
  seeds: [{seeds}]
"""


class Proxy:
    """Passes connections on to one target, or misbehaves."""

    def __init__(self, address, behind):
        self.address = address
        self.behind = behind
        self.mode = "pass"
        self.writers = set()

    async def pump(self, reader, writer, answers):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == "slow":
                    await asyncio.sleep(0.3)
                while self.mode == "silent" or (self.mode == "one-way" and
                                                answers):
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def connected(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.behind.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, False),
                             self.pump(far_reader, writer, True))
        self.writers -= {writer, far_writer}

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.connected, host, int(port))


class Node:
    """One process of the system."""

    def __init__(self, soak, host, core):
        self.soak = soak
        self.host = host
        self.core = core
        self.folder = os.path.join(soak.work, host)
        self.process = None
        self.first = True
        self.expected_end = False
        self.busy = False  # a fault on it is under way

    def settings(self):
        port = self.soak.port
        return SETTINGS.format(
            host=self.host, role="control" if self.core else "clients",
            data='data_folder: "%s"\n' % self.folder if self.core else "",
            port=port + (1 if self.core else 2), ready=port + 3,
            policy=port + 5, bus=port + 6,
            first="true" if self.first else "false",
            seeds=", ".join('"%s:%d"' % (c, port + 1) for c in CORES))

    async def start(self):
        path = self.folder + ".yaml"
        with open(path, "w") as out:
            out.write(self.settings())
        if self.core:
            os.makedirs(self.folder, exist_ok=True)
        self.first = False
        self.expected_end = False
        log = open(self.folder + ".log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.soak.binary, "node", path, stdout=log,
            stderr=open(self.folder + ".err", "ab"))
        log.close()
        asyncio.ensure_future(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if not self.expected_end and not self.soak.over:
            self.soak.fail("%s ended by itself with %s" % (self.host, code))

    async def end(self, number):
        self.expected_end = True
        if self.process.returncode is None:
            self.process.send_signal(number)
        await self.process.wait()

    def tear_log(self, dice):
        """As after a crash amid a write that was not synced."""
        names = sorted(n for n in os.listdir(self.folder)
                       if n.startswith("log-") and not n.endswith(".tmp"))
        if names:
            with open(os.path.join(self.folder, names[-1]), "ab") as log:
                log.write(b"FPL1" + bytes(dice.randrange(256)
                                          for _ in range(dice.randrange(60))))


class Soak:
    def __init__(self, options):
        self.options = options
        self.port = options.port
        self.binary = options.binary
        self.dice = random.Random(options.seed)
        self.work = tempfile.mkdtemp(prefix="filbertpath-soak.")
        self.fleet = standin.Fleet()
        self.failures = []
        self.over = False
        self.acked_version = 0
        self.accepted = {}  # job ID -> state
        self.refused = set()
        self.disks_lost_at = -100

    def fail(self, text):
        self.failures.append(text)
        print("FAIL: " + text, flush=True)

    # ---- the outside

    async def open_outside(self):
        self.options.control = ",".join("%s:%d" % (c, self.port + 1)
                                        for c in CORES)
        self.targets = []
        self.proxies = []
        for number in range(8):
            target = standin.Target(number, self.options, self.fleet,
                                    random.Random(self.options.seed + number))
            proxy = Proxy("127.0.2.%d:%d" % (number + 1, self.port + 5),
                          target.address)
            target.announced = proxy.address
            await proxy.serve()
            self.targets.append(target)
            self.proxies.append(proxy)
            asyncio.ensure_future(target.live())
        await standin.serve_policy("127.0.0.9:%d" % (self.port + 5))

    async def operate(self):
        """A new version now and then, sent until it is acknowledged."""
        version = 0
        while not self.over:
            version += self.dice.randrange(1, 4)
            config = dict(standin.CONFIG, version=version)
            for address in self.options.control.split(",") * 20:
                if self.over:
                    return
                status, _ = await standin.request(
                    address, "PUT", "/filbertpath/config", config)
                if status == 200:
                    self.acked_version = version
                    break
                if 400 <= status < 500:
                    self.fail("version %d answered %d" % (version, status))
            await asyncio.sleep(1.5)

    async def submit(self, name, queue, body):
        """Sends one job until it is answered; notes what came of it."""
        statuses = []
        for _ in range(6):
            front = self.dice.choice(FRONTS)
            status, _ = await standin.request(
                "%s:%d" % (front, self.port + 2), "POST", queue + name, body,
                self.headers, timeout=3)
            statuses.append(status)
            if status == 200:
                self.accepted[name] = queue
                return
            await asyncio.sleep(0.3 + self.dice.random())
        if all(status in (429, 503) for status in statuses):
            self.refused.add(name)

    async def call(self, ends_at):
        self.headers = {"Host": "shop.example",
                        "Authorization": "Bearer key-shops"}
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            name = "%016x" % (self.options.seed * 1000000 + number)
            steps = [{"count": self.dice.randrange(1, 6), "cpu": 2000,
                      "mem_mb": 256, "estimated_ms": 200}]
            if self.dice.random() < 0.3:
                steps.append({"count": 2, "cpu": 2000, "mem_mb": 256,
                              "estimated_ms": 200, "after": [0]})
            spec = json.dumps({"cpu": 2000, "ms": self.dice.randrange(40, 600)})
            asyncio.ensure_future(self.submit(
                name, self.dice.choice(["/quotes/", "/batches/"]),
                {"spec": spec, "steps": steps}))
            await asyncio.sleep(0.08)

    # ---- faults

    async def hurt_node(self, node, kind):
        node.busy = True
        pause = 0.3 + 3 * self.dice.random()
        if kind == "pause":
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause)
            node.process.send_signal(signal.SIGCONT)
        else:
            await node.end(signal.SIGTERM if kind == "stop"
                           else signal.SIGKILL)
            if kind == "lose-disk":
                shutil.rmtree(node.folder, ignore_errors=True)
            elif kind == "tear" and node.core:
                node.tear_log(self.dice)
            await asyncio.sleep(pause)
            await node.start()
        await asyncio.sleep(0.5)
        node.busy = False

    async def hurt_link(self, proxy, kind):
        if kind == "reset":
            proxy.reset_all()
        proxy.mode = kind
        await asyncio.sleep(0.5 + 4 * self.dice.random())
        proxy.mode = "pass"

    def may_lose_disk(self, node):
        """One disk at a time, with time to be replaced, and the rest up."""
        now = time.monotonic()
        if any(n.busy for n in self.nodes if n.core and n is not node):
            return False
        if now < self.disks_lost_at + 12:
            return False
        self.disks_lost_at = now
        return True

    async def make_trouble(self, ends_at):
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.3 + 1.2 * self.dice.random())
            luck = self.dice.random()
            node = self.dice.choice(self.nodes)
            if luck < 0.5 and not node.busy:
                kind = self.dice.choice(["pause", "kill", "stop", "tear",
                                         "lose-disk"])
                if kind == "lose-disk" and not (node.core and
                                                self.may_lose_disk(node)):
                    kind = "kill"
                asyncio.ensure_future(self.hurt_node(node, kind))
            elif luck < 0.9:
                proxy = self.dice.choice(self.proxies)
                asyncio.ensure_future(self.hurt_link(proxy, self.dice.choice(
                    ["slow", "silent", "reset", "one-way"])))
            else:
                self.dice.choice(self.targets).reset()

    # ---- the end

    async def check_jobs(self, patience_s):
        left = dict(self.accepted)
        ends_at = time.monotonic() + patience_s
        while left and time.monotonic() < ends_at:
            for name, queue in list(left.items()):
                _, answer = await standin.request(
                    "%s:%d" % (FRONTS[0], self.port + 2), "GET", queue + name,
                    None, self.headers, timeout=3)
                if (answer or {}).get("state") == "completed":
                    del left[name]
            await asyncio.sleep(0.3)
        for name in sorted(left)[:5]:
            self.fail("job %s was accepted and is not done" % name)
        for name in sorted(self.refused & self.fleet.started):
            self.fail("job %s was refused every time and ran" % name)

    async def check_config(self):
        for _ in range(50):
            status, config = await standin.request(
                self.options.control.split(",")[0], "GET",
                "/filbertpath/config")
            if status == 200:
                if config["version"] < self.acked_version:
                    self.fail("version %d is read back, %d was acknowledged"
                              % (config["version"], self.acked_version))
                return
            await asyncio.sleep(0.2)
        self.fail("the configuration cannot be read")

    async def run(self):
        self.nodes = [Node(self, host, True) for host in CORES]
        self.nodes += [Node(self, host, False) for host in FRONTS]
        for node in self.nodes:
            await node.start()
        await self.open_outside()
        operator = asyncio.ensure_future(self.operate())
        while self.acked_version == 0:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        ends_at = time.monotonic() + self.options.seconds
        await asyncio.gather(self.call(ends_at), self.make_trouble(ends_at))
        while any(node.busy for node in self.nodes):
            await asyncio.sleep(0.2)
        for proxy in self.proxies:
            proxy.mode = "pass"
        await asyncio.sleep(3)
        self.over_version = self.acked_version
        operator.cancel()
        await self.check_jobs(45)
        await self.check_config()
        self.over = True
        for node in self.nodes:
            await node.end(signal.SIGTERM)
        if self.fleet.breaches:
            self.failures.append("breaches")
        print("seed %d: %d accepted, %d refused, %d starts, %s" % (
            self.options.seed, len(self.accepted), len(self.refused),
            self.fleet.starts,
            "FAILED, logs in " + self.work if self.failures else "ok"))
        if not self.failures:
            shutil.rmtree(self.work, ignore_errors=True)
        return 1 if self.failures else 0


    async def run_to_end(self):
        """Runs, and ends every process that was started, whatever happens."""
        try:
            code = await self.run()
            sys.stdout.flush()
            os._exit(code)  # connections that are still held are dropped
        finally:
            for node in getattr(self, "nodes", []):
                if node.process and node.process.returncode is None:
                    node.process.kill()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--port", type=int, default=24100)
    parser.add_argument("--binary", default=os.environ.get(
        "FP", "build/filbertpath"))
    options = parser.parse_args()
    options.late = options.lost = 0.01
    options.failures = 0
    soak = Soak(options)
    # The targets' own port, beside that of their proxies.
    options.port = options.port + 7
    asyncio.run(soak.run_to_end())


if __name__ == "__main__":
    main()
