"""fleet3.py -- a small fleet on loopback for the cases of REPORT-3.md

Starts the programs of deploy/system.toml as separate processes, with settings that
are rendered from the deploy file's template, and plays the platform's other parties:
an operator, clients and minions. They follow PROTOCOL.md. A run ends all that it
started, and writes what was sent, answered and run to record.txt.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"
CORE_MEMORY_MB = 256
METRICS_PORTS = [9464, 9465]  # of the deploy file, on each machine
# The bounds of a small deployment.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 6,
          "config_apply_ms": 2000, "quota_window_s": 5, "quota_overage": 0.1,
          "hold_max_ms": 6000, "stop_ms": 900, "gang_ms": 3000,
          "cancel_ms": 3000, "visible_ms": 3000, "status_s": 120,
          "far_x": 1.5, "lease_ms": 3000}


class CannotRun(Exception):
    """The case could not be brought about: neither held nor broken."""


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.start

    def add(self, who, text):
        self.file.write("%8.3f %-10s %s\n" % (self.seconds(), who, text))
        self.file.flush()


# ---- settings ---------------------------------------------------------------

def render(text, scopes):
    """Fills in a settings template as DEPLOY.md describes it."""
    def value(name):
        name, _, form = name.partition("|")
        for scope in reversed(scopes):
            found = scope
            for part in [] if name == "." else name.split("."):
                if isinstance(found, list) and part.isdigit():
                    found = found[int(part)] if int(part) < len(found) else None
                elif isinstance(found, dict):
                    found = found.get(part)
                else:
                    found = None
            if found is not None:
                break
        if form == "json":
            return json.dumps(found)
        return found

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    while match := section.search(text):
        kind, name, body = match.groups()
        found = value(name)
        if kind == "^":
            out = body if not found else ""
        elif isinstance(found, list):
            out = "".join(render(body, scopes + [item]) for item in found)
        else:
            out = render(body, scopes) if found else ""
        text = text[:match.start()] + out + text[match.end():]

    def fill(match):
        found = value(match.group(1))
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)
    return re.sub(r"\{\{([^#^/}][^}]*)\}\}", fill, text)


def are_free(hosts, ports):
    try:
        for host in hosts:
            for port in ports:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
        return True
    except OSError:
        return False


# ---- HTTP -------------------------------------------------------------------

def to_json(body):
    return json.dumps(body, separators=(",", ":"))


async def request(address, method, path, body=None, headers=None, timeout=3.0,
                  source=None):
    """Returns (status, object); (0, None) without a whole response."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else to_json(body).encode()
    fields = {"Host": address, "Content-Type": "application/json",
              "Content-Length": str(len(data)), "Connection": "close"}
    fields.update(headers or {})
    head = "%s %s HTTP/1.1\r\n" % (method, path) + "".join(
        "%s: %s\r\n" % item for item in fields.items())
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + b"\r\n" + data)
        return await reader.read()

    try:
        raw = await asyncio.wait_for(exchange(), timeout)
        top, _, rest = raw.partition(b"\r\n\r\n")
        is_json = rest.strip() and b"application/json" in top.lower()
        return int(top.split()[1]), json.loads(rest) if is_json else None
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


async def read_request(reader):
    """Returns (raw bytes, method, path, headers, body) of the next request."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        name, _, text = line.partition(":")
        fields[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return head + body, method, path, fields, body


# ---- the system -------------------------------------------------------------

class Fleet:
    """Three core machines and some fronts, started as the deploy file says, on
    addresses and ports that nobody uses."""

    def __init__(self, record, fronts=1):
        self.record = record
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.processes = {}
        self.tasks = []
        self.before = asyncio.all_tasks()  # that end() leaves alone
        self.files = []
        for _ in range(100):
            self.base = random.randrange(20000, 30000)
            block = random.randrange(20, 200)
            self.cores = ["127.%d.0.%d" % (block, i + 1) for i in range(3)]
            self.seeds = self.cores[:]
            self.fronts = ["127.%d.1.%d" % (block, i + 1)
                           for i in range(fronts)]
            self.minion_ip = "127.%d.2." % block
            if are_free(self.cores + self.fronts,
                        [*range(self.base, self.base + 12), *METRICS_PORTS]):
                self.folder = tempfile.mkdtemp(prefix="review3.")
                return
        raise CannotRun("no free ports")

    def settings_of(self, ip, role, first_start):
        is_core = role["on"] == "core"
        fields = {
            "node_name": "%s-%s" % (role["on"], ip), "ip": ip,
            "zone": "z1", "region": "r1",
            "internal_ports": [self.base, self.base + 7],
            "seeds": ["%s:%d" % (host, self.base + 8) for host in self.seeds],
            "bootstrap": first_start, "bounds": BOUNDS,
            "listen_addrs":
                {"control": "%s:%d" % (ip, self.base + 8)} if is_core else
                {"front": "%s:%d" % (ip, self.base + 9),
                 "readiness": "%s:%d" % (ip, self.base + 10)},
            "limits": {"memory_mb": CORE_MEMORY_MB if is_core else 260, "max_fds": 4096,
                       "link_mbps": 1000.0,
                       "disk_mb": 128 if is_core else 0}}
        if is_core:
            fields["data_dir"] = os.path.join(self.folder, ip)
            os.makedirs(fields["data_dir"], exist_ok=True)
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            return render(f.read(), [fields])

    async def start_node(self, ip, first_start=False):
        role = next(r for r in self.roles.values()
                    if r["on"] == ("core" if ip in self.cores else "front"))
        path = os.path.join(self.folder, ip + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings_of(ip, role, first_start))
        words = role["run"].split()
        log = open(os.path.join(self.folder, ip + ".log"), "ab")
        self.files.append(log)
        env = {"PATH": os.environ.get("PATH", ""), "FILBERTPATH_CONFIG": path}
        self.processes[ip] = await asyncio.create_subprocess_exec(
            os.environ.get("PROGRAM", os.path.join(ROOT, words[0])),
            *words[1:], cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.add("platform", "starts %s" % ip)

    def add_core(self):
        """A new core machine at a new address; returns that."""
        ip = self.cores[0].rsplit(".", 1)[0] + ".%d" % (len(self.cores) + 1)
        self.cores.append(ip)
        return ip

    async def start(self):
        for ip in self.cores + self.fronts:
            await self.start_node(ip, first_start=True)

    def signal(self, ip, number):
        self.record.add("platform", "%s to %s" % (
            signal.Signals(number).name, ip))
        self.processes[ip].send_signal(number)

    async def end(self):
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others - self.before:
            task.cancel()
        await asyncio.gather(*(others - self.before), return_exceptions=True)
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for file in self.files:
            file.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def leader(self):
        """The leading core machine, by the metrics of the deploy file."""
        for ip in self.cores:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(ip, 9465), 0.5)
                writer.write(b"GET /metrics HTTP/1.0\r\n\r\n")
                text = await asyncio.wait_for(reader.read(), 0.5)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                continue
            if re.search(rb"^filbertpath_leads 1$", text, re.M):
                return ip
        return None

    def control(self, ip=None):
        return "%s:%d" % (ip or random.choice(self.cores), self.base + 8)

    def front(self, number=0):
        return "%s:%d" % (self.fronts[number], self.base + 9)

    async def configure(self, config, timeout=15):
        """Sends a configuration again, to any node, until it has an answer."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            address = self.control()
            status, _ = await request(address, "PUT", "/filbertpath/config",
                                      config, timeout=3)
            if status:
                self.record.add("operator", "version %d to %s: %d" % (
                    config["version"], address, status))
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the configuration was not acknowledged")

    async def wait_ready(self, timeout=15):
        deadline = time.monotonic() + timeout
        for ip in self.fronts:
            while True:
                status, _ = await request(
                    "%s:%d" % (ip, self.base + 10), "GET",
                    "/filbertpath/readiness", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun("%s is not ready" % ip)
                await asyncio.sleep(0.1)


def make_config(version=1, tenants=None, **route):
    queue = {"name": "r-a", "host": HOST, "path_prefix": "/jobs/",
             "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 3000,
             "priority": 1, "service": "store", "max_attempts": 3,
             "stretch": 4.0, "allow_anonymous": False}
    queue.update(route)
    return {"version": version, "routes": [queue],
            "services": [{"name": "store", "health_path": "/health",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "admission_control": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants or [make_tenant("one", "key-one")]}


def make_tenant(name, key, cpu=0):
    return {"name": name, "api_keys": [key], "priority": 1, "weight": 10,
            "cap": {"cpu": cpu, "mem_mb": 0, "gpu": 0}}


class Client:
    def __init__(self, record, name="client", key="key-one", prefix="/jobs/"):
        self.record = record
        self.name = name
        self.key = key
        self.prefix = prefix

    async def call(self, address, method, job, body=None, timeout=3.0):
        status, answer = await request(
            address, method, self.prefix + job, body,
            {"Host": HOST, "Authorization": "Bearer " + self.key,
             "X-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record.add(self.name, "%s %s at %s: %s %s" % (
            method, self.prefix + job, address, status or "no response",
            json.dumps(answer) if answer is not None else ""))
        return status, answer


def make_job(ms, count=1, cpu=1000, **step):
    return {"spec": json.dumps({"ms": ms}),
            "steps": [dict({"count": count, "cpu": cpu, "mem_mb": 64,
                            "estimated_ms": ms}, **step)]}


# ---- minions ----------------------------------------------------------------

class Minion:
    """A minion that keeps to PROTOCOL.md. Its tasks last as their spec says, which
    may also let a task's first runs fail.

    Between it and the system is a proxy, whose address it announces. The proxy
    passes requests on; hold_back(path, body), if set, returns for how many seconds
    a request is held back: it then gets no response, and reaches the minion late.
    """

    failures = {}  # task -> runs that have begun and will fail, on all minions

    def __init__(self, fleet, judge, number):
        self.fleet = fleet
        self.record = fleet.record
        self.judge = judge
        self.id = "i-%04x" % (0xa000 + number)
        self.ip = fleet.minion_ip + str(number + 1)
        self.rack = "r1-%d" % (number // 2)
        self.is_up = False
        self.cut = False  # no packet passes the proxy, either way
        self.hold_back = None
        self.closes = False  # ends each connection with its first response
        self.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
        self.state = "ready"
        self.lives = 0
        self.acked_beats = 0
        self.holds_answered = 0
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.on_own, self.ip, 0)
        self.own = self.server.sockets[0].getsockname()[1]
        self.proxy = await asyncio.start_server(self.on_proxy, self.ip, 0)
        self.port = self.proxy.sockets[0].getsockname()[1]
        self.start()
        self.fleet.tasks.append(asyncio.create_task(self.beat()))
        self.fleet.tasks.append(asyncio.create_task(self.tick()))

    # one life

    def start(self):
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_end = 0
        self.runs = {}  # task -> [run, end on the own clock, how it ends]
        self.highest = {}  # task -> run stopped or ended here
        self.ended = []
        self.last_end = 0
        self.seen = 0
        self.holds_answered = 0
        self.acked_beats = 0
        self.changed = asyncio.Event()
        self.is_up = True
        self.record.add(self.id, "starts, life %d" % self.lives)

    def crash(self):
        self.record.add(self.id, "crashes, and loses %s" % (
            sorted(self.runs) or "nothing"))
        self.is_up = False
        for task, run in self.runs.items():
            self.judge.on_gone(self, task, run[0])
        self.runs = {}
        for writer in list(self.writers):
            writer.transport.abort()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def end(self, task, how):
        run = self.runs.pop(task)[0]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.record.add(self.id, "run %d of %s ends %s" % (run, task, how))
        self.judge.on_end(self, task, run, how, self.last_end)
        self.changed.set()

    def expire(self):
        now = self.clock()
        for task in list(self.runs):
            if self.lease_end <= now:
                self.end(task, "lapsed")
            elif self.runs[task][1] <= now:
                self.end(task, self.runs[task][2])

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            if self.is_up:
                self.expire()

    async def beat(self):
        while True:
            if self.is_up and not self.cut:
                self.sequence += 1
                life = self.lives
                status, _ = await request(
                    self.fleet.control(), "PUT",
                    "/filbertpath/instances/" + self.id,
                    {"service": "store", "address": "%s:%d" % (self.ip,
                                                               self.port),
                     "zone": "z1", "version": "v1", "slots": 8,
                     "state": self.state, "cold_remaining_ms": 0,
                     "capacity": self.capacity, "labels": ["a", self.rack],
                     "clock_ms": self.clock(), "sequence": self.sequence,
                     "born": self.born}, timeout=1)
                if status == 200 and life == self.lives:
                    self.acked_beats += 1
                if status != 200:
                    await asyncio.sleep(0.1)
                    continue
            await asyncio.sleep(0.1 if not self.is_up else 1.5)

    # orders

    def start_run(self, order):
        task, run = order["task"], order["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, None
        if run <= max(self.highest.get(task, 0),
                      self.runs.get(task, [0])[0]):
            return 409, "old"
        if order["deadline_ms"] <= self.clock():
            return 409, "late"
        spec = json.loads(order["spec"])
        ms, how = spec["ms"], "done"
        if self.failures.get(task, 0) < spec.get("failures", 0):
            ms, how = spec["fails_ms"], "failed"
            self.failures[task] = self.failures.get(task, 0) + 1
        self.runs[task] = [run, self.clock() + ms, how]
        self.record.add(self.id, "run %d of %s begins" % (run, task))
        self.judge.on_start(self, task, run)
        return 200, None

    def stop_run(self, order):
        task, run = order["task"], order["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.runs and self.runs[task][0] <= run:
            self.end(task, "stopped")
        return 200, None

    async def handle(self, path, fields, order):
        if fields.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        self.expire()
        if order.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fencing_token", 0)
        name = path.rsplit("/", 1)[1]
        if "deadline_ms" in order:
            self.lease_end = max(self.lease_end,
                                 min(order["deadline_ms"], self.clock() +
                                     BOUNDS["hold_max_ms"]))
        status, reason = 200, None
        if name == "run-start":
            status, reason = self.start_run(order)
        elif name == "run-stop":
            status, reason = self.stop_run(order)
        answer = {"clock_ms": self.clock()}
        if name == "hold":
            answer = await self.hold(order)
        else:
            self.record.add(self.id, "%s %s run %s: %d %s" % (
                name, order.get("task"), order.get("run"), status,
                reason or ""))
        if reason:
            answer["reason"] = reason
        return status, answer

    async def hold(self, order):
        if order["last_seen"] > self.seen:
            self.seen = order["last_seen"]
            self.record.add(self.id, "its ends up to %d are taken note of" %
                            self.seen)
            for end in self.ended:
                if end[0] <= self.seen:
                    self.judge.on_noted(self, end[1], end[2], end[3])
        self.ended = [e for e in self.ended if e[0] > order["last_seen"]]
        until = time.monotonic() + order.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        self.holds_answered += 1
        return {"clock_ms": self.clock(), "born": self.born,
                "running": [[t, r[0], "", 50, 0]
                            for t, r in self.runs.items()],
                "ended": self.ended[:500]}

    # connections

    async def on_own(self, reader, writer):
        life = self.lives
        if not self.is_up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                _, _, path, fields, body = await read_request(reader)
                status, answer = await self.handle(path, fields,
                                                   json.loads(body or b"{}"))
                if life != self.lives or not self.is_up:
                    break
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" % (
                                 status, len(data)) + data)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError,
                ValueError):
            pass
        self.writers.discard(writer)
        writer.transport.abort()

    async def on_proxy(self, reader, writer):
        upstream = None
        try:
            while True:
                raw, _, path, _, body = await read_request(reader)
                while self.cut:
                    await asyncio.sleep(0.02)
                wait = self.hold_back and self.hold_back(path,
                                                         json.loads(body))
                if wait:
                    self.record.add("network", "holds back %s to %s for %.1f s"
                                    % (path.rsplit("/", 1)[1], self.id, wait))
                    self.fleet.tasks.append(asyncio.create_task(
                        self.deliver_late(raw, wait)))
                    await reader.read()  # until the caller gives up
                    break
                if upstream is None:
                    upstream = await asyncio.open_connection(self.ip, self.own)
                upstream[1].write(raw)
                head = await upstream[0].readuntil(b"\r\n\r\n")
                length = int(re.search(rb"content-length: *(\d+)", head,
                                       re.I).group(1))
                answer = head + await upstream[0].readexactly(length)
                while self.cut:
                    await asyncio.sleep(0.02)
                if self.closes:
                    writer.write(answer.replace(
                        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1))
                    await writer.drain()
                    upstream[1].close()
                    writer.close()
                    return
                writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        if upstream is not None:
            upstream[1].transport.abort()
        writer.transport.abort()

    async def deliver_late(self, raw, wait):
        await asyncio.sleep(wait)
        self.record.add("network", "delivers the order to %s" % self.id)
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.own)
            writer.write(raw)
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass


class Judge:
    """What the minions have seen: runs, ends, and ends taken note of."""

    def __init__(self, record):
        self.record = record
        self.running = {}  # task -> set of (minion, life, run)
        self.starts = []  # (seconds, minion, task, run)
        self.noted = {}  # task -> runs that ended done and were taken note of
        self.broken = []

    def report(self, rule, text):
        self.broken.append((rule, text))
        self.record.add("judge", "%s broken: %s" % (rule, text))

    def on_start(self, minion, task, run):
        self.starts.append((self.record.seconds(), minion.id, task, run))
        if task in self.noted:
            self.report("TWICE", "run %d of %s starts on %s after a run has "
                        "ended done, of which note was taken" % (
                            run, task, minion.id))
        others = self.running.setdefault(task, set())
        if others:
            self.report("TWICE", "run %d of %s starts on %s beside %s" % (
                run, task, minion.id, sorted(others)))
        others.add((minion.id, run))

    def on_gone(self, minion, task, run):
        self.running.get(task, set()).discard((minion.id, run))

    def on_end(self, minion, task, run, how, number):
        self.on_gone(minion, task, run)

    def on_noted(self, minion, task, run, how):
        if how == "done":
            self.noted[task] = run


async def wait_for(what, condition, seconds):
    """Waits until condition() is true, or returns something from a coroutine."""
    deadline = time.monotonic() + seconds
    while True:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        if time.monotonic() > deadline:
            raise CannotRun("not reached in %.0f s: %s" % (seconds, what))
        await asyncio.sleep(0.02)


async def run_case(case, folder, fronts, minions):
    record = Record(folder)
    record.add("case", "with the disruption" if TROUBLE else
               "without the disruption")
    judge = Judge(record)
    fleet = None
    try:
        fleet = Fleet(record, fronts)
        group = [Minion(fleet, judge, i) for i in range(minions)]
        await fleet.start()
        await case(fleet, judge, group)
        code = BROKEN if judge.broken else HELD
    except Exception as reason:  # of the case or of a stand-in
        record.add("case", "cannot run: %r" % reason)
        code = NOT_RUN
    finally:
        if fleet is not None:
            await fleet.end()
    record.add("case", {HELD: "the rule held", BROKEN: "the rule was broken",
                        NOT_RUN: "the case could not run"}[code])
    return code


async def start_minions(fleet, group):
    """Opens the minions; each has then been acknowledged and asked for its runs."""
    for minion in group:
        await minion.open()
    await wait_for("the minions are known", lambda: all(
        m.acked_beats and m.holds_answered for m in group), 15)


def main(case, file, fronts=1, minions=3, seconds=110):
    folder = os.path.dirname(os.path.abspath(file))

    async def bounded():
        return await asyncio.wait_for(run_case(case, folder, fronts, minions),
                                      seconds)
    try:
        code = asyncio.run(bounded())
    except Exception as reason:  # a fault of the script is no broken rule
        print("cannot run: %r" % reason, file=sys.stderr)
        code = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
