#!/usr/bin/env python3
"""Randomized soak test of a fleet of real processes on loopback.

  soak.py --seed N [--seconds S] [--port BASE] [--turns own|shared]
          [--targets N] [--fronts N]

Runs three core hosts, two front ends, targets behind loopback proxies, callers
and an operator. Faults are drawn from the seed and may overlap: processes are
killed, paused, or stopped and restarted; data folders are lost or end in a torn
record, their disks refuse or hang (tests/faultdisk.c); connections to targets are delayed, reset, blocked, or blocked only for
responses; targets restart. The placement policy is slow, silent, or answers
with errors, cut bodies and rows that cannot be read. One of two zones is evacuated now and then. A queue
moves between two services or is removed; hosts start with leases of unlike length.
Some callers use their connections until the process is gone.

With --turns, gangs come too, whose members wait for each other, and gangs that never fit
on the targets granted to them; the policy takes one query of each host (own) or of
all hosts (shared) at a time, and has phases in which it is slow or silent.

Checks, from what callers and targets observe:
- no task runs twice at once or starts after its end was acknowledged;
- no target runs more than its capacity;
- no task resumes from a checkpoint that it has not saved;
- every job answered with 200 completes;
- a job that was refused on every attempt never starts, nor one that never fits,
  which can be cancelled;
- all members of a gang start from the same checkpoint;
- no task starts in an evacuated zone later than 5 s after the acknowledgement;
- the configuration read back is not older than the newest acknowledged one;
- no process exits unless this script stopped it.

Signals only processes that this script started, by their IDs.
"""
import argparse
import asyncio
import functools
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import policy  # noqa: E402
import standin  # noqa: E402

CORES = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
# 127.0.0.9 is the policy.
FRONTS = ["127.0.0.%d" % n for n in range(5, 250) if n != 9]
CONNECTED_FRONTS = 2  # with callers that keep their connections
GANG_DIGIT = "1"  # the first of a gang's ID; the second one as in standin.py
GANG_POLICY = {"decide_ms": 100.0, "each_ms": 1.5, "valid_ms": 1500}
SETTINGS = """host: "{host}"
{data}trusted_network: true
snapshot_entries: 400
times: {{heartbeat_ms: 50, election_min_ms: 200, election_max_ms: 320, fresh_ms: 1500}}
fleet:
  {role}: "{host}:{port}"
  readiness: "{host}:{ready}"
  advice: "{policy}"
  data_centre: "z1"
  first_start: {first}
  bus_port: {bus}
  lease_ms: {lease}
  stop_ms: 900
  grace_s: 6
  keep_s: 120
  far_times: 1.5
  seeds: [{seeds}]
"""


class Proxy:
    """Forwards connections to one target; mode selects a fault."""

    def __init__(self, address, target_address):
        self.address = address
        self.target_address = target_address
        self.mode = "pass"
        self.writers = set()

    async def forward(self, reader, writer, is_response):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == "slow":
                    await asyncio.sleep(0.3)
                while self.mode == "silent" or (
                        self.mode == "one-way" and is_response) or (
                            self.mode == "one-way-to" and not is_response):
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def on_connection(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target_address.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, False),
                             self.forward(target_reader, writer, True))
        self.writers -= {writer, target_writer}

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.on_connection, host, int(port))


class Node:
    """A core host or front end process."""

    def __init__(self, soak, host, is_core):
        self.soak = soak
        self.host = host
        self.is_core = is_core
        self.folder = os.path.join(soak.work, host)
        self.process = None
        self.first_start = True
        self.exit_expected = False
        self.fault_active = False
        self.disk_faults = 0  # in progress, or ended just now

    def set_disk(self, mode):
        with open(self.folder + ".mode.new", "w") as out:
            out.write(mode)
        os.rename(self.folder + ".mode.new", self.folder + ".mode")

    def environment(self):
        library = os.path.join(os.path.dirname(self.soak.binary),
                               "faultdisk.so")
        return dict(os.environ, LD_PRELOAD=os.path.abspath(library),
                    FAULTDISK_FOLDER=self.folder + "/",
                    FAULTDISK_MODE=self.folder + ".mode",
                    ASAN_OPTIONS="verify_asan_link_order=0")

    def process_environment(self):
        return self.environment() if self.is_core else None

    def settings(self):
        port = self.soak.port
        return SETTINGS.format(
            host=self.host, role="control" if self.is_core else "clients",
            data='data_folder: "%s"\n' % self.folder if self.is_core else "",
            port=port + (1 if self.is_core else 2), ready=port + 3,
            policy="%s:%d" % (self.soak.policy_address(self.host), port + 5),
            bus=port + 6,
            first="true" if self.first_start else "false",
            lease=self.soak.rng.choice([3000, 6000]),
            seeds=", ".join('"%s:%d"' % (c, port + 1) for c in CORES))

    async def start(self):
        path = self.folder + ".yaml"
        with open(path, "w") as out:
            out.write(self.settings())
        if self.is_core:
            os.makedirs(self.folder, exist_ok=True)
        self.first_start = False
        self.exit_expected = False
        log = open(self.folder + ".log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.soak.binary, "node", path, stdout=log,
            stderr=open(self.folder + ".err", "ab"),
            env=self.process_environment())
        log.close()
        asyncio.ensure_future(self.report_unexpected_exit(self.process))

    async def report_unexpected_exit(self, process):
        code = await process.wait()
        if not self.exit_expected and not self.soak.finished:
            self.soak.report_failure("%s exited unexpectedly with %s" % (
                self.host, code))

    async def stop(self, signal_number):
        self.exit_expected = True
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        await self.process.wait()

    def append_torn_record(self, rng):
        """Simulates a crash during a write that was not yet synced."""
        names = sorted(n for n in os.listdir(self.folder)
                       if n.startswith("log-") and not n.endswith(".tmp"))
        if names:
            with open(os.path.join(self.folder, names[-1]), "ab") as log:
                log.write(b"FPL1" + bytes(rng.randrange(256)
                                          for _ in range(rng.randrange(60))))


class Soak:
    def __init__(self, options):
        self.options = options
        self.port = options.port
        self.binary = options.binary
        self.rng = random.Random(options.seed)
        self.work = tempfile.mkdtemp(prefix="filbertpath-soak.")
        self.checker = standin.InvariantChecker()
        self.failures = []
        self.finished = False
        self.calm = False  # no more faults
        self.acked_version = 0
        self.accepted = {}  # job ID -> state
        self.refused = set()
        self.hopeless = set()
        self.gang_rng = random.Random(options.seed)
        self.fronts = FRONTS[:options.fronts]
        self.last_disk_loss_s = -100

    def report_failure(self, text):
        self.failures.append(text)
        print("FAIL: " + text, flush=True)

    # ---- targets, operator and callers

    async def start_environment(self):
        self.options.control = ",".join("%s:%d" % (c, self.port + 1)
                                        for c in CORES)
        self.targets = []
        self.proxies = []
        for number in range(self.options.targets):
            target = standin.Target(number, self.options, self.checker,
                                    random.Random(self.options.seed + number))
            proxy = Proxy("127.0.2.%d:%d" % (number + 1, self.port + 5),
                          target.address)
            target.announced_address = proxy.address
            target.service = ("store" if number * 3 < self.options.targets * 2
                              else "other")
            await proxy.serve()
            self.targets.append(target)
            self.proxies.append(proxy)
            asyncio.ensure_future(target.run())
        if self.options.turns:
            await self.start_turns_policy()
        else:
            await standin.serve_policy("127.0.0.9:%d" % (self.port + 5),
                                       self.options.invalid, self.options.seed,
                                       self.options.policy_faults)

    def policy_address(self, host):
        if not self.options.turns:
            return "127.0.0.9"
        return "127.0.9.%s" % host.rpartition(".")[2]

    async def start_turns_policy(self):
        def query_ms(step, targets):
            if step[0] == GANG_DIGIT:
                return (GANG_POLICY["decide_ms"] +
                        GANG_POLICY["each_ms"] * len(targets))
            return 5 + 0.2 * len(targets)

        def grants(step, target):
            if step[:2] == GANG_DIGIT + standin.HOPELESS_DIGIT:
                return target == "t-000"
            # At least one of the first four, and of each further four.
            first = "t-%03d" % (int(target[2:]) % 4)
            return (standin.shop_grants(step, target) or
                    standin.shop_grants(step, first))

        self.policy = policy.TurnsPolicy(
            query_ms, grants, functools.partial(
                standin.answer_with_faults, rng=random.Random(self.options.seed),
                faults=self.options.policy_faults,
                invalid=self.options.invalid),
            self.options.turns == "shared")
        for node in self.nodes:
            await self.policy.serve("%s:%d" % (self.policy_address(node.host),
                                               self.port + 5))

    async def run_gangs(self, deadline):
        """Gangs of up to 16 cores fit on one target, and one target is granted to
        each; six members that need 4 cores each do not. The policy is slow, up to
        ten times, or silent now and then."""
        number = 0
        while time.monotonic() < deadline:
            number += 1
            hopeless = self.gang_rng.random() < 0.5
            count = 6 if hopeless else self.gang_rng.randrange(2, 5)
            name = "%s%s%014x" % (
                GANG_DIGIT, standin.HOPELESS_DIGIT if hopeless else "0",
                self.options.seed * 1000000 + number)
            step = {"count": count, "cpu": 4000, "mem_mb": 256, "gang": True,
                    "estimated_ms": 300, "checkpointing": True}
            spec = json.dumps({"cpu": 4000, "saves": True, "ms": 300,
                               "gangs": {"0": count}})
            if hopeless:
                self.hopeless.add(name)
            asyncio.ensure_future(self.submit_job(
                name, "/gangs/", {"spec": spec, "steps": [step]}))
            if self.gang_rng.random() < 0.06:
                self.policy.start_phase(0.5 + 3 * self.gang_rng.random(),
                                        self.gang_rng.choice([0, 4, 10]))
            await asyncio.sleep(0.4)

    async def cancel_hopeless(self):
        for name in sorted(self.hopeless & set(self.accepted)):
            if name in self.checker.started_jobs:
                self.report_failure("job %s never fits, and ran" % name)
            status = 0
            for _ in range(10):
                status, _ = await standin.request(
                    "%s:%d" % (FRONTS[0], self.port + 2), "DELETE",
                    "/gangs/" + name, None, self.headers, timeout=3)
                if 200 <= status < 300:
                    break
                await asyncio.sleep(0.3)
            else:
                self.report_failure("the cancelling of %s was answered with "
                                    "status %d" % (name, status))

    def draw_config(self, version):
        """A configuration whose second queue may be on the other service, or,
        while faults are injected, missing."""
        config = json.loads(json.dumps(dict(standin.CONFIG, version=version)))
        config["services"].append(dict(config["services"][0], name="other"))
        if self.options.turns:
            config["routes"].insert(0, dict(
                config["routes"][0], name="gangs", path_prefix="/gangs/",
                priority=1, target_latency_ms=1000, stretch=2.2,
                advice=GANG_POLICY,
                service=self.gang_rng.choice(["store", "other"])))
        draw = self.rng.random()
        if draw < 0.5:
            config["routes"][-1]["service"] = "other"
        elif draw < 0.6 and not self.calm:
            config["routes"].pop()
        return config

    async def run_operator(self):
        """Sends a new version every 1.5 s, each until it is acknowledged."""
        version = 0
        while not self.finished:
            version += self.rng.randrange(1, 4)
            config = self.draw_config(version)
            for address in self.options.control.split(",") * 20:
                if self.finished:
                    return
                status, _ = await standin.request(
                    address, "PUT", "/filbertpath/config", config)
                if status == 200:
                    self.acked_version = version
                    break
                if 400 <= status < 500:
                    self.report_failure(
                        "version %d was answered with status %d"
                        % (version, status))
            await asyncio.sleep(1.5)

    async def order_evacuation(self, method):
        for address in self.options.control.split(",") * 30:
            status, _ = await standin.request(
                address, method, "/filbertpath/evacuations/z2")
            if status == 200:
                return
            if 400 <= status < 500:
                self.report_failure("%s of an evacuation was answered with "
                                    "status %d" % (method, status))
            await asyncio.sleep(0.2)
        self.report_failure("%s of an evacuation has no answer" % method)

    async def run_evacuations(self, deadline):
        while time.monotonic() + 10 < deadline:
            await self.order_evacuation("POST")
            self.checker.evacuated["z2"] = time.time()
            await asyncio.sleep(8)
            self.checker.evacuated.clear()
            await self.order_evacuation("DELETE")
            await asyncio.sleep(2 + 4 * self.rng.random())

    async def submit_job(self, name, queue, body):
        """Submits one job, with retries, and records the outcome."""
        statuses = []
        for _ in range(6):
            front = self.rng.choice(self.fronts)
            status, _ = await standin.request(
                "%s:%d" % (front, self.port + 2), "POST", queue + name, body,
                self.headers, timeout=3)
            statuses.append(status)
            if status == 200:
                self.accepted[name] = queue
                return
            await asyncio.sleep(0.3 + self.rng.random())
        if all(status in (429, 503) for status in statuses):
            self.refused.add(name)

    async def use_connection(self, front, deadline):
        """A caller that uses its connection until that is gone, and then opens
        another one. Each answer that begins is whole."""
        request = ("GET /quotes/ HTTP/1.1\r\nHost: shop.example\r\n"
                   "Authorization: Bearer key-shops\r\n\r\n").encode()
        while time.monotonic() < deadline:
            await asyncio.sleep(0.05)
            begun = b""
            try:
                reader, writer = await asyncio.open_connection(
                    front, self.port + 2)
                while time.monotonic() < deadline:
                    writer.write(request)
                    begun = await reader.read(1)
                    head = begun + await reader.readuntil(b"\r\n\r\n")
                    length = head.lower().split(b"content-length: ")[1]
                    await reader.readexactly(int(length.split(b"\r")[0]))
                    begun = b""
                    await asyncio.sleep(0.02)
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                node = next(n for n in self.nodes if n.host == front)
                if begun and not node.fault_active:
                    self.report_failure("%s cut an answer" % front)

    async def run_callers(self, deadline):
        self.headers = {"Host": "shop.example",
                        "Authorization": "Bearer key-shops"}
        number = 0
        while time.monotonic() < deadline:
            number += 1
            name = "%016x" % (self.options.seed * 1000000 + number)
            steps = [{"count": self.rng.randrange(1, 6), "cpu": 2000,
                      "mem_mb": 256, "estimated_ms": 200,
                      "checkpointing": True}]
            if self.rng.random() < 0.3:
                steps.append({"count": 2, "cpu": 2000, "mem_mb": 256,
                              "estimated_ms": 200, "after": [0]})
            long = self.rng.random() < 0.05
            spec = json.dumps({"cpu": 2000, "saves": True,
                               "ms": self.rng.randrange(40, 600) +
                               (3000 if long else 0)})
            asyncio.ensure_future(self.submit_job(
                name, self.rng.choice(["/quotes/", "/batches/"]),
                {"spec": spec, "steps": steps}))
            await asyncio.sleep(0.08)

    # ---- faults

    async def inject_node_fault(self, node, kind):
        node.fault_active = True
        duration_s = 0.3 + 3 * self.rng.random()
        if kind == "pause":
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            node.process.send_signal(signal.SIGCONT)
        else:
            await node.stop(signal.SIGTERM if kind == "stop"
                            else signal.SIGKILL)
            if kind == "lose-disk":
                shutil.rmtree(node.folder, ignore_errors=True)
            elif kind == "tear" and node.is_core:
                node.append_torn_record(self.rng)
            await asyncio.sleep(duration_s)
            await node.start()
        await asyncio.sleep(0.5)
        node.fault_active = False

    async def inject_disk_fault(self, node, mode):
        """Overlaps with faults of the process. The host votes again within a
        second or two of the end."""
        node.disk_faults += 1
        node.set_disk(mode)
        await asyncio.sleep(0.3 + 3 * self.rng.random())
        node.set_disk("")
        await asyncio.sleep(2.5)
        node.disk_faults -= 1

    async def inject_link_fault(self, proxy, kind):
        if kind == "reset":
            proxy.reset_all()
        proxy.mode = kind
        await asyncio.sleep(0.5 + 4 * self.rng.random())
        proxy.mode = "pass"

    def may_lose_disk(self, node):
        """Allows one lost disk in 12 s, so that the replica is replaced
        before the next, and only if no other core host has a fault."""
        now = time.monotonic()
        if any(n.fault_active or n.disk_faults for n in self.nodes
               if n.is_core and n is not node):
            return False
        if now < self.last_disk_loss_s + 12:
            return False
        self.last_disk_loss_s = now
        return True

    async def inject_faults(self, deadline):
        while time.monotonic() < deadline:
            await asyncio.sleep(0.3 + 1.2 * self.rng.random())
            draw = self.rng.random()
            node = self.rng.choice(self.nodes)
            if draw < 0.5 and not node.fault_active:
                kind = self.rng.choice(["pause", "kill", "stop", "tear",
                                        "lose-disk"])
                if kind == "lose-disk" and not (node.is_core and
                                                self.may_lose_disk(node)):
                    kind = "kill"
                asyncio.ensure_future(self.inject_node_fault(node, kind))
            elif draw < 0.65 and node.is_core:
                asyncio.ensure_future(self.inject_disk_fault(
                    node, self.rng.choice(["full", "sync", "files", "stall",
                                           "snapshot"])))
            elif draw < 0.9:
                proxy = self.rng.choice(self.proxies)
                asyncio.ensure_future(self.inject_link_fault(
                    proxy, self.rng.choice(
                        ["slow", "silent", "reset", "one-way"])))
            else:
                self.rng.choice(self.targets).restart()

    # ---- checks

    async def check_jobs(self, timeout_s):
        pending = {name: queue for name, queue in self.accepted.items()
                   if name not in self.hopeless}
        deadline = time.monotonic() + timeout_s
        while pending and time.monotonic() < deadline:
            for name, queue in list(pending.items()):
                _, answer = await standin.request(
                    "%s:%d" % (FRONTS[0], self.port + 2), "GET", queue + name,
                    None, self.headers, timeout=3)
                if (answer or {}).get("state") == "completed":
                    del pending[name]
            await asyncio.sleep(0.3)
        if len(pending) > 5:
            print("%d jobs have not completed" % len(pending),
                  file=sys.stderr)
        for name in sorted(pending)[:5]:
            self.report_failure(
                "job %s was accepted and has not completed" % name)
        for name in sorted(self.refused & self.checker.started_jobs):
            self.report_failure(
                "job %s was refused on every attempt and ran" % name)

    async def check_config(self):
        for _ in range(50):
            status, config = await standin.request(
                self.options.control.split(",")[0], "GET",
                "/filbertpath/config")
            if status == 200:
                if config["version"] < self.acked_version:
                    self.report_failure(
                        "version %d is read back, %d was acknowledged"
                        % (config["version"], self.acked_version))
                return
            await asyncio.sleep(0.2)
        self.report_failure("the configuration cannot be read")

    async def run(self):
        self.nodes = [Node(self, host, True) for host in CORES]
        self.nodes += [Node(self, host, False) for host in self.fronts]
        for node in self.nodes:
            await node.start()
        await self.start_environment()
        operator = asyncio.ensure_future(self.run_operator())
        while self.acked_version == 0:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        deadline = time.monotonic() + self.options.seconds
        await asyncio.gather(self.run_callers(deadline),
                             *(self.use_connection(front, deadline)
                               for front in self.fronts[:CONNECTED_FRONTS]
                               for _ in range(4)),
                             *([self.run_gangs(deadline)]
                               if self.options.turns else []),
                             self.run_evacuations(deadline),
                             self.inject_faults(deadline))
        self.calm = True
        while any(node.fault_active or node.disk_faults
                  for node in self.nodes):
            await asyncio.sleep(0.2)
        for proxy in self.proxies:
            proxy.mode = "pass"
        await asyncio.sleep(3)
        self.final_version = self.acked_version
        operator.cancel()
        await self.check_jobs(45)
        await self.cancel_hopeless()
        await self.check_config()
        self.finished = True
        await asyncio.gather(*(node.stop(signal.SIGTERM)
                               for node in self.nodes))
        if self.checker.violations:
            self.failures.append("violations")
        print("seed %d: %d accepted, %d refused, %d starts, %s" % (
            self.options.seed, len(self.accepted), len(self.refused),
            self.checker.start_count,
            "FAILED, logs in " + self.work if self.failures else "ok"))
        print("ends: %s" % self.checker.end_counts, file=sys.stderr)
        if not self.failures:
            shutil.rmtree(self.work, ignore_errors=True)
        return 1 if self.failures else 0


    async def run_and_clean_up(self):
        """Runs the test and kills all processes that it started, also on an
        exception."""
        try:
            code = await self.run()
            sys.stdout.flush()
            os._exit(code)  # does not wait for open connections
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
    parser.add_argument("--turns", choices=["own", "shared"])
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--fronts", type=int, default=2)
    options = parser.parse_args()
    options.late = options.lost = 0.01
    options.outlive = False
    options.closes = options.seed % 5 == 0
    options.failures = options.resize = 0
    options.zones = 2
    options.invalid = 0.02
    options.policy_faults = 0.1
    options.site = "shop"
    soak = Soak(options)
    # Targets listen on a port of their own, next to that of their proxies.
    options.port = options.port + 7
    asyncio.run(soak.run_and_clean_up())


if __name__ == "__main__":
    main()
