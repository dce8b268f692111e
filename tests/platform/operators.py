#!/usr/bin/env python3
"""Operators that change the configuration all the time, and callers that check
what of it is in force, with real processes on loopback.

  operators.py --seed N [--seconds S] [--port BASE] [--faults none|hosts|power]
               [--end calm|kill|power|wipe] [--strict]

Up to eight orders are under way at once. They add and remove routes and keys,
move a queue to another service, add 350 routes at once, lose their
acknowledgements, are sent again unchanged to other hosts, are overtaken, come in
pairs with the same version, or are invalid. Hosts are paused, killed, restarted,
cut off from each other in one direction or both, and told to read their settings
again; with --faults power core hosts lose power, alone or together, or a disk. --end is the final fault: nothing; all processes are killed;
all hosts lose power; or one core host loses its disk while all others lose power,
5 to 400 ms after an acknowledgement.

The rules that are checked, each by the method named:
- read_config: a read of the configuration answers an older version than one that
  was acknowledged APPLY_S before it was sent; at any machine;
- note_held: other content than was sent, or that came after the version was held,
  is read back; what is invalid is in force;
- check_call: a call is handled as only an older version allows, at a machine in
  touch; a key runs REVOKE_S after its removal, at any machine; a key of no
  configuration runs;
- note_start: a job that came after the acknowledgement starts on the old service;
- send_change: an acknowledged or valid change is refused, an invalid one is
  acknowledged, or a valid one has no acknowledgement for ACK_S of calm;
- check_end: at the end the newest acknowledged version is not read back, or an
  accepted job is not known.
With --strict the bounds of time are 0, which the rules don't ask for.
"""
import argparse
import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import powerloss  # noqa: E402
import soak  # noqa: E402
import standin  # noqa: E402

APPLY_S = 2.0
REVOKE_S = 5.0
CONTACT_S = 3.0
ACK_S = 4.0
STRETCH_S = 5.0
WIPE_PAUSE_S = 9.0  # between two lost disks
ORDERS_MAX = 8
FRONTS = ["127.0.0.5", "127.0.0.6"]
POLICY = "127.0.0.9"
HOST = "shop.example"
KEY = "key-shops"
QUEUE = "/batches/"


async def exchange(reader, writer, method, path, data, headers, answered=True):
    """Sends a request on an open connection; returns (status, bytes)."""
    lines = ["%s %s HTTP/1.1" % (method, path),
             "Content-Length: %d" % len(data)]
    lines += ["%s: %s" % item for item in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
    if not answered:
        await writer.drain()
        return 0, b""
    head = await reader.readuntil(b"\r\n\r\n")
    length = head.lower().split(b"content-length: ")[1].split(b"\r")[0]
    return int(head.split()[1]), await reader.readexactly(int(length))


async def call(address, method, path, data=b"", headers=None, timeout=1.0,
               answered=True):
    """One request on a connection of its own; (0, b"") without a response."""
    host, port = address.split(":")
    writer = None

    async def connect_and_exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        return await exchange(reader, writer, method, path, data,
                              headers or {"Host": address}, answered)
    try:
        return await asyncio.wait_for(connect_and_exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Change:
    """One content of a version, as it is sent."""

    def __init__(self, config, valid=True, data=None):
        self.version = config.get("version")
        self.valid = valid
        self.config = config
        self.data = json.dumps(config).encode() if data is None else data
        self.services = {r["path_prefix"]: r["service"]
                         for r in config["routes"]} if valid else {}
        self.keys = set(config["tenants"][0]["api_keys"]) if valid else set()
        self.sent_s = None
        self.acked_s = None
        self.statuses_got = []

    def statuses(self, prefix, key):
        """How it lets a count be answered."""
        missing = {404} if prefix not in self.services else set()
        unknown = {401, 403} if key not in self.keys else set()
        return missing | unknown or {200}


class Ledger:
    """What was sent, acknowledged and read back."""

    def __init__(self, report_failure):
        self.report_failure = report_failure
        self.changes = []
        self.held = {}  # version -> the Change that was read back
        self.ack_times_s = []
        self.ack_versions = []  # the highest one at each of ack_times_s

    def note_ack(self, change, now_s):
        change.acked_s = change.acked_s or now_s
        self.ack_times_s.append(now_s)
        self.ack_versions.append(max(self.ack_versions[-1:] +
                                     [change.version]))

    def floor(self, when_s):
        """The highest version acknowledged by a time."""
        at = bisect.bisect_right(self.ack_times_s, when_s)
        return self.ack_versions[at - 1] if at else 0

    def may_hold(self, change):
        """Whether a content may be the one of its version: it was sent before
        any other one of that version was acknowledged."""
        held = self.held.get(change.version)
        return (held is change if held is not None else
                not any(c.version == change.version and c is not change and
                        c.acked_s and c.acked_s < change.sent_s
                        for c in self.changes))

    def candidates(self, floor, until_s):
        """What may be in force: nothing older than floor."""
        return [c for c in self.changes
                if c.valid and c.version >= floor and
                c.sent_s is not None and c.sent_s <= until_s and
                self.may_hold(c)]

    def note_held(self, config, where):
        for change in self.changes:
            if change.version == config.get("version") and (
                    change.valid and change.config == config):
                if not self.may_hold(change):
                    self.report_failure("%s: other content of version %d is "
                                        "read back" % (where, change.version))
                self.held.setdefault(change.version, change)
                return
        self.report_failure("%s: version %s is read back, which nobody sent "
                            "with that content" % (where,
                                                   config.get("version")))


class Target(standin.Target):
    """A target that reports which service a job is started on."""

    on_start = None

    def start_run(self, body):
        status, answer = super().start_run(body)
        if status == 200:
            self.on_start(int(body["task"][:16], 16), self.service)
        return status, answer


class Node(soak.Node):
    """A host whose disk forgets what was not synced when it loses power, and
    which creates its data folder itself."""

    def __init__(self, test, host, is_core):
        super().__init__(test, host, is_core)
        self.disk = powerloss.Disk(os.path.join(test.work, host + ".disk"),
                                   "cell")
        self.folder = os.path.join(test.work, host)
        self.faults = []  # [start, end or None]
        self.incarnation = 0

    def process_environment(self):
        return dict(self.disk.environment(self.soak.binary),
                    FAULTNET_PORT=str(self.soak.port + 6),
                    FAULTNET_NETWORK=self.network())

    def network(self):
        """Where the proxies for its connections to other hosts listen."""
        return "127.0.%d" % (100 + int(self.host.split(".")[3]))

    async def serve_proxies(self):
        self.proxies = {}
        for core in soak.CORES:
            address = "%s:%d" % (core, self.soak.port + 6)
            self.proxies[core] = soak.Proxy(
                address.replace("127.0.0", self.network()), address)
            await self.proxies[core].serve()

    def settings(self):
        text = super().settings().replace(self.folder, self.disk.folder)
        return text.replace("snapshot_entries: 400", "snapshot_entries: %d" %
                            self.soak.options.snapshot_entries)

    async def start(self):
        await asyncio.sleep(0.01)  # the former process is reported as ended
        await super().start()
        self.first_start = self.soak.options.first_start
        self.incarnation += 1

    def begin_fault(self):
        self.faults.append([time.monotonic(), None])
        return self.faults[-1]

    def has_fault(self):
        return any(end is None for _, end in self.faults)

    def is_calm(self, since_s, until_s):
        return not any(start <= until_s and (end is None or end >= since_s)
                       for start, end in self.faults)


class Test:
    def __init__(self, options):
        self.options = options
        self.port = options.port
        self.binary = options.binary
        self.rng = random.Random(options.seed)
        self.work = tempfile.mkdtemp(prefix="filbertpath-operators.")
        self.checker = standin.InvariantChecker()
        self.ledger = Ledger(self.report_failure)
        self.orders = asyncio.Semaphore(ORDERS_MAX)
        self.failures = []
        self.finished = False
        self.counts = {}
        self.version = 0
        self.extra = []  # prefixes that come and go
        self.gone = ["/never/"]
        self.keys = [KEY]
        self.old_keys = ["key-never"]
        self.moved = False
        self.jobs = {}  # ID -> (sent_s, bound_s)
        self.accepted = []
        self.last_wipe_s = -WIPE_PAUSE_S
        self.number = 0

    def report_failure(self, text):
        self.failures.append(text)
        print("FAIL at %.3f s: %s" % (time.monotonic() - self.start_s, text),
              flush=True)

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    # ---- who is in touch

    def core(self):
        return [n for n in self.nodes if n.is_core]

    def bound_s(self, node, sent_s, ended_s):
        """The bound of the rules for a call, or None if none holds."""
        if self.options.strict:
            return 0.0
        if not node.is_calm(sent_s - CONTACT_S, ended_s):
            return None
        if all(n.is_calm(sent_s - APPLY_S - CONTACT_S, ended_s)
               for n in self.core()):
            return APPLY_S
        if sum(n.is_calm(sent_s - APPLY_S - STRETCH_S, ended_s)
               for n in self.core()) * 2 > len(self.core()):
            return APPLY_S + STRETCH_S
        return None

    # ---- operators

    def route(self, prefix, service="store"):
        return dict(standin.CONFIG["routes"][1], name="q" + prefix,
                    path_prefix=prefix, service=service,
                    timeout_ms=self.rng.randrange(1000, 5000))

    def next_config(self):
        rng = self.rng
        self.version += rng.randrange(1, 5)
        draw = rng.random()
        if draw < 0.35:
            for _ in range(rng.randrange(1, 4)):
                self.number += 1
                self.extra.append(rng.choice(
                    ["/x%d/", "/y%d", QUEUE + "sub%d/"]) % self.number)
        elif draw < 0.5 and self.extra:
            self.gone.append(self.extra.pop(rng.randrange(len(self.extra))))
        elif draw < 0.65:
            self.moved = not self.moved
        elif draw < 0.75:
            self.keys.append("key-%d-%d" % (self.options.seed, self.version))
        elif draw < 0.85 and len(self.keys) > 1:
            self.old_keys.append(self.keys.pop(rng.randrange(1,
                                                             len(self.keys))))
        elif draw < 0.9:
            bulk = [p for p in self.extra if p.startswith("/bulk")]
            self.extra = [p for p in self.extra if p not in bulk]
            self.gone += bulk[:3]
            if not bulk:
                self.extra += ["/bulk%d-%d/" % (self.version, i)
                               for i in range(350)]
        return self.current_config()

    def current_config(self):
        config = json.loads(json.dumps(dict(standin.CONFIG,
                                            version=self.version)))
        config["services"].append(dict(config["services"][0], name="other"))
        config["routes"][1]["service"] = "other" if self.moved else "store"
        config["routes"] += [self.route(p) for p in self.extra]
        config["tenants"][0]["api_keys"] = list(self.keys)
        return config

    def invalid_change(self):
        """An invalid configuration of the next version, of any kind."""
        self.version += 1
        config = self.current_config()
        kind = self.rng.randrange(8)
        data = None
        if kind == 0:
            data = json.dumps(config).encode()[:-self.rng.randrange(1, 200)]
        elif kind == 1:
            config["routes"][0]["service"] = "nowhere"
        elif kind == 2:
            config["routes"].append(dict(config["routes"][0], name="again"))
        elif kind == 3:
            config["routes"][-1]["timeout_ms"] = 0
        elif kind == 4:
            config["tenants"].append(dict(config["tenants"][0], name="thief"))
        elif kind == 5:
            del config["version"]
        elif kind == 6:
            config["routes"] = {}
        else:
            data = b"\xff\xfe{}"
        return Change(config, False, data)

    def add_change(self, change):
        self.ledger.changes.append(change)
        return change

    def control(self):
        return "%s:%d" % (self.rng.choice(soak.CORES), self.port + 1)

    async def send_once(self, change, lose):
        change.sent_s = change.sent_s or time.monotonic()
        status, _ = await call(self.control(), "PUT", "/filbertpath/config",
                               change.data, answered=not lose,
                               timeout=1 + len(change.data) / 1e5)
        if status == 200 and not change.valid:
            self.report_failure("an invalid configuration is acknowledged: "
                                "%r" % change.data[-200:])
        elif status == 200:
            self.ledger.note_ack(change, time.monotonic())
        elif 400 <= status < 500 and status not in (408, 429):
            if change.valid:
                self.report_failure(
                    "version %d, %s, is refused with %d" % (
                        change.version, "acknowledged before"
                        if change.acked_s else "not acknowledged", status))
            return True
        self.count("order %d" % status)
        change.statuses_got.append(status)
        return status == 200

    async def send_change(self, change):
        """Sends an order until it has a clear answer; then, at times, again."""
        async with self.orders:
            since_s = time.monotonic()
            pause_s = 0.05
            while not self.finished:
                lose = self.rng.random() < 0.2
                if await self.send_once(change, lose):
                    break
                now_s = time.monotonic()
                if lose or not all(n.is_calm(since_s - CONTACT_S, now_s)
                                   for n in self.core()):
                    since_s = now_s
                if now_s > since_s + ACK_S + 1:
                    self.report_failure(
                        "version %s has no acknowledgement: %s" % (
                            change.version, change.statuses_got[-8:]))
                    since_s = now_s
                await asyncio.sleep(pause_s * (0.5 + self.rng.random()))
                pause_s = min(1.0, pause_s * 2)
        if change.valid and self.rng.random() < 0.3 and not self.finished:
            await asyncio.sleep(self.rng.choice([0, 0.1, 3 * self.rng.random()]))
            await self.send_once(change, False)

    async def run_operator(self, deadline):
        tasks = []
        while time.monotonic() < deadline:
            draw = self.rng.random()
            if draw < 0.12:
                changes = [self.invalid_change()]
            elif draw < 0.22:
                first = Change(self.next_config())
                self.moved = not self.moved
                changes = [first, Change(self.current_config())]
            elif draw < 0.3 and self.ledger.changes:
                changes = [self.rng.choice(self.ledger.changes[-40:])]
            else:
                changes = [Change(self.next_config())]
            for change in changes:
                if change not in self.ledger.changes:
                    self.add_change(change)
                tasks.append(asyncio.ensure_future(self.send_change(change)))
            await asyncio.sleep(0.05 + 0.4 * self.rng.random())
        await asyncio.wait(tasks, timeout=15)

    async def read_config(self, node):
        sent_s = time.monotonic()
        status, data = await call("%s:%d" % (node.host, self.port + 1), "GET",
                                  "/filbertpath/config", timeout=2)
        self.count("read %d" % status)
        if status != 200:
            return None
        config = json.loads(data)
        floor = self.ledger.floor(sent_s - (0 if self.options.strict
                                            else APPLY_S))
        if config["version"] < floor:
            self.report_failure("%s answers a read with version %d, %d was "
                                "acknowledged" % (node.host, config["version"],
                                                  floor))
        self.ledger.note_held(config, node.host)
        return config["version"]

    async def run_reader(self, deadline):
        while time.monotonic() < deadline:
            await self.read_config(self.rng.choice(self.core()))
            await asyncio.sleep(0.05 * self.rng.random())

    # ---- callers

    def check_call(self, node, sent_s, prefix, key, status, incarnation):
        ended_s = time.monotonic()
        self.count("call %d" % status)
        if status not in (200, 401, 403, 404):
            return
        if status == 200 and key == "key-never":
            self.report_failure("a key of no configuration runs")
        revoked = self.ledger.candidates(self.ledger.floor(sent_s - REVOKE_S),
                                         ended_s)
        if status == 200 and revoked and not any(key in c.keys
                                                 for c in revoked):
            self.report_failure("%s: the removed %s runs" % (node.host, key))
        bound_s = self.bound_s(node, sent_s, ended_s)
        if bound_s is None or incarnation != node.incarnation:
            return
        floor = self.ledger.floor(sent_s - bound_s)
        allowed = self.ledger.candidates(floor, ended_s)
        if allowed and not any(status in c.statuses(prefix, key)
                               for c in allowed):
            self.report_failure(
                "%s answers %d to a count of %s with %s, against version %d "
                "and all after it" % (node.host, status, prefix, key, floor))

    def draw_call(self):
        """A queue that was just added, just removed, or never there."""
        prefixes = [["/quotes/", QUEUE], self.extra[-6:], self.gone[-6:],
                    ["/never/"]]
        keys = [[KEY], [KEY], self.keys[-3:], self.old_keys[-3:],
                ["key-never"]]
        return (self.rng.choice(self.rng.choice(
                    [p for p in prefixes if p])),
                self.rng.choice(self.rng.choice(keys)))

    async def ask_each(self, deadline):
        async def ask(node, prefix, key):
            sent_s, incarnation = time.monotonic(), node.incarnation
            status, _ = await call(
                "%s:%d" % (node.host, self.port + 2), "GET", prefix,
                headers={"Host": HOST, "Authorization": "Bearer " + key})
            self.check_call(node, sent_s, prefix, key, status, incarnation)
        while time.monotonic() < deadline:
            prefix, key = self.draw_call()
            await asyncio.gather(*(ask(node, prefix, key)
                                   for node in self.nodes if not node.is_core))
            await asyncio.sleep(0.03)

    async def use_connection(self, node, deadline):
        """Calls on connections that stay open while their keys go."""
        while time.monotonic() < deadline:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(
                    node.host, self.port + 2)
                while time.monotonic() < deadline:
                    prefix, key = self.draw_call()
                    sent_s, incarnation = time.monotonic(), node.incarnation
                    status, _ = await asyncio.wait_for(exchange(
                        reader, writer, "GET", prefix, b"",
                        {"Host": HOST, "Authorization": "Bearer " + key}), 5)
                    self.check_call(node, sent_s, prefix, key, status,
                                    incarnation)
                    await asyncio.sleep(0.02)
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                await asyncio.sleep(0.05)
            if writer is not None:
                writer.close()

    def note_start(self, job, service):
        if job not in self.jobs:
            return
        sent_s, bound_s = self.jobs[job]
        now_s = time.monotonic()
        if bound_s is None or not (self.options.strict or all(
                n.is_calm(sent_s - CONTACT_S, now_s) for n in self.core())):
            return
        floor = self.ledger.floor(sent_s - bound_s)
        allowed = self.ledger.candidates(floor, now_s)
        if allowed and not any(c.services.get(QUEUE) == service
                               for c in allowed):
            self.report_failure("job %016x starts on '%s', against version %d "
                                "and all after it" % (job, service, floor))

    async def submit_jobs(self, deadline):
        spec = json.dumps({"cpu": 2000, "ms": 60})
        body = json.dumps({"spec": spec, "steps": [
            {"count": 1, "cpu": 2000, "mem_mb": 64, "estimated_ms": 60}]})
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY}

        async def submit(job, node):
            for _ in range(5):
                sent_s = time.monotonic()
                self.jobs.setdefault(job, (sent_s, self.bound_s(
                    node, sent_s, sent_s)))
                status, _ = await call("%s:%d" % (node.host, self.port + 2),
                                       "POST", "%s%016x" % (QUEUE, job),
                                       body.encode(), headers, timeout=3)
                self.count("submit %d" % status)
                if status == 200:
                    self.accepted.append(job)
                if status not in (0, 502, 504):
                    return
        job = self.options.seed * 1000000
        while time.monotonic() < deadline:
            job += 1
            asyncio.ensure_future(submit(job, self.rng.choice(
                [n for n in self.nodes if not n.is_core])))
            await asyncio.sleep(0.1)

    # ---- faults

    async def inject_node_fault(self, node, kind):
        fault = node.begin_fault()
        duration_s = 0.1 + 2 * self.rng.random() ** 2
        if kind == "hangup":
            node.process.send_signal(signal.SIGHUP)
        elif kind == "pause":
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            node.process.send_signal(signal.SIGCONT)
        else:
            await node.stop(signal.SIGTERM if kind == "stop"
                            else signal.SIGKILL)
            if kind == "power":
                node.disk.lose_power(self.rng)
            elif kind == "wipe":
                node.disk.wipe()
            await asyncio.sleep(duration_s)
            await node.start()
        fault[1] = time.monotonic()

    async def inject_cut(self, one, other):
        """Cuts the links between two hosts, in one direction or both. The link
        to a front does not belong to the core."""
        faults = [node.begin_fault() for node in (one, other)
                  if one.is_core or node is one]
        mode = self.rng.choice(["silent", "one-way", "one-way-to"])
        back = {"one-way": "one-way-to", "one-way-to": "one-way"}
        one.proxies[other.host].mode = mode
        if one.is_core:
            other.proxies[one.host].mode = back.get(mode, mode)
        await asyncio.sleep(0.2 + 3 * self.rng.random() ** 2)
        one.proxies[other.host].mode = "pass"
        if one.is_core:
            other.proxies[one.host].mode = "pass"
        for fault in faults:
            fault[1] = time.monotonic()

    async def slow_down(self, node, stopped_s, running_s):
        """Lets a process run for a part of the time only."""
        while not self.finished:
            process = node.process
            if process.returncode is None and not node.has_fault():
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(stopped_s)
                if process.returncode is None:
                    process.send_signal(signal.SIGCONT)
            await asyncio.sleep(running_s)

    async def lose_power(self, nodes, wiped=None):
        """All nodes lose power at the same moment; wiped its disk as well."""
        faults = [node.begin_fault() for node in nodes]
        for node in nodes:
            node.exit_expected = True
            node.process.kill()
        for node in nodes:
            await node.process.wait()
            if node is wiped:
                node.disk.wipe()
            elif node.is_core and self.options.end != "kill":
                node.disk.lose_power(self.rng)
        await asyncio.sleep(0.2 + 0.5 * self.rng.random())
        for node in nodes:
            await node.start()
        for fault in faults:
            fault[1] = time.monotonic()

    async def inject_fault(self):
        node = self.rng.choice(self.nodes)
        kinds = ["pause", "kill", "stop", "hangup", "cut", "cut"]
        if self.options.faults == "power":
            kinds = ["pause", "kill", "power", "wipe", "all", "cut"]
        kind = self.rng.choice(kinds)
        others = [n for n in self.core() if n is not node]
        calm_core = not any(n.has_fault() for n in others)
        now_s = time.monotonic()
        if kind == "cut":
            asyncio.ensure_future(self.inject_cut(node,
                                                  self.rng.choice(others)))
        elif kind == "all":
            if not any(n.has_fault() for n in self.nodes):
                await self.lose_power(self.core())
        elif not node.has_fault():
            if kind in ("power", "wipe") and not node.is_core:
                kind = "kill"
            if kind == "wipe":
                if not calm_core or now_s < self.last_wipe_s + WIPE_PAUSE_S:
                    kind = "power"
                else:
                    self.last_wipe_s = now_s
            asyncio.ensure_future(self.inject_node_fault(node, kind))
        self.count(kind)

    async def inject_faults(self, deadline):
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.choice([0.2, 1.0, 5.0]) *
                                self.rng.random())
            await self.inject_fault()

    async def wait_for_ack(self):
        """Ends just after an acknowledgement: 5 to 400 ms."""
        count = len(self.ledger.ack_times_s)
        deadline = time.monotonic() + 10
        while (len(self.ledger.ack_times_s) == count and
               time.monotonic() < deadline):
            await asyncio.sleep(0.001)
        await asyncio.sleep(self.rng.choice([0.005, 0.02, 0.1, 0.4]))

    async def final_fault(self):
        await self.wait_for_ack()
        if self.options.end != "calm":
            wiped = None
            if self.options.end == "wipe":
                while time.monotonic() < self.last_wipe_s + WIPE_PAUSE_S:
                    await asyncio.sleep(0.1)  # two lost disks are too many
                await self.wait_for_ack()
                wiped = self.rng.choice(
                    [n for n in self.core()
                     if self.options.wiped in ("", n.host)])
            await self.lose_power(self.nodes, wiped)

    # ---- start and end

    @staticmethod
    def policy_address(_host):
        return POLICY

    async def start_targets(self):
        self.options.control = ",".join("%s:%d" % (c, self.port + 1)
                                        for c in soak.CORES)
        for number in range(6):
            target = Target(number, self.options, self.checker,
                            random.Random(self.options.seed + number))
            target.service = "store" if number < 3 else "other"
            target.on_start = self.note_start
            asyncio.ensure_future(target.run())
        await standin.serve_policy("%s:%d" % (POLICY, self.port + 5))

    async def check_end(self):
        """The configuration is read back within 10 s, and for CONTACT_S at any
        host; all accepted jobs are known."""
        want = self.ledger.floor(time.monotonic())
        deadline = time.monotonic() + 10
        for node in self.core():
            while await self.read_config(node) is None:
                if time.monotonic() > deadline:
                    self.report_failure("%s: the configuration cannot be read"
                                        % node.host)
                    return
                await asyncio.sleep(0.1)
        deadline = time.monotonic() + CONTACT_S
        while time.monotonic() < deadline:
            version = await self.read_config(self.rng.choice(self.core()))
            if version is not None and version < want:
                self.report_failure("at the end version %d is read back, %d "
                                    "was acknowledged" % (version, want))
            await asyncio.sleep(0.1)
        front = next(n for n in self.nodes if not n.is_core)
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY}
        for job in self.accepted:
            status = 0
            for _ in range(20):
                status, _ = await call(
                    "%s:%d" % (front.host, self.port + 2), "GET",
                    "%s%016x" % (QUEUE, job), headers=headers, timeout=2)
                if status in (200, 404, 410):
                    break
                await asyncio.sleep(0.2)
            if status != 200:
                self.report_failure("accepted job %016x is answered with %d"
                                    % (job, status))

    async def run(self):
        self.start_s = time.monotonic()
        self.nodes = [Node(self, host, True) for host in soak.CORES]
        self.nodes += [Node(self, host, False) for host in FRONTS]
        for node in self.nodes:
            fault = node.begin_fault()
            await node.serve_proxies()
            await node.start()
            fault[1] = time.monotonic()
        await self.start_targets()
        self.version = 1
        await self.send_change(self.add_change(Change(self.current_config())))
        deadline = time.monotonic() + self.options.seconds
        tasks = [self.run_operator(deadline + 20), self.run_reader(deadline),
                 self.submit_jobs(deadline), self.ask_each(deadline)]
        tasks += [self.use_connection(node, deadline)
                  for node in self.nodes if not node.is_core
                  for _ in range(2)]
        if self.options.faults != "none":
            tasks.append(self.inject_faults(deadline))
        tasks = [asyncio.ensure_future(task) for task in tasks]
        for node in self.nodes:
            if self.options.slow and not node.is_core:
                asyncio.ensure_future(self.slow_down(node, 0.075, 0.025))
            elif self.options.slow:
                asyncio.ensure_future(self.slow_down(node, 0.05, 0.05))
        await asyncio.wait(tasks[1:])
        while any(n.has_fault() for n in self.nodes):
            await asyncio.sleep(0.05)
        await self.final_fault()
        self.finished = True  # no more orders
        tasks[0].cancel()
        await self.check_end()
        await asyncio.gather(*(node.stop(signal.SIGTERM)
                               for node in self.nodes))
        if self.checker.violations:
            self.failures.append("violations")
        print(" ".join("%s: %d," % item
                       for item in sorted(self.counts.items())),
              file=sys.stderr)
        print("seed %d, faults %s, end %s: %s" % (
            self.options.seed, self.options.faults, self.options.end,
            "FAILED, logs in " + self.work if self.failures else "ok"))
        if not self.failures:
            shutil.rmtree(self.work, ignore_errors=True)
        return 1 if self.failures else 0

    async def run_and_clean_up(self):
        """Kills all processes that it started, also on an exception."""
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
    parser.add_argument("--faults", default="hosts",
                        choices=["none", "hosts", "power"])
    parser.add_argument("--end", default="calm",
                        choices=["calm", "kill", "power", "wipe"])
    parser.add_argument("--snapshot-entries", type=int, default=400)
    parser.add_argument("--slow", action="store_true",
                        help="core hosts run for half of the time, fronts for a "
                        "quarter, in turns of 100 ms")
    parser.add_argument("--strict", action="store_true")
    parser.add_argument("--wiped", default="", choices=[""] + soak.CORES,
                        help="the host that loses its disk; else any")
    parser.add_argument("--first-start", action="store_true",
                        help="the settings let a cell be founded all the time")
    options = parser.parse_args()
    options.late = options.lost = options.invalid = 0.0
    options.failures = options.resize = options.restart = options.deaf = 0
    options.outlive = options.closes = False
    options.zones = 1
    test = Test(options)
    options.port = options.port + 7  # of the targets
    asyncio.run(test.run_and_clean_up())


if __name__ == "__main__":
    main()
