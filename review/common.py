"""Stand-ins for the peers of a small deployment, on loopback: the platform, which
starts and stops the processes of deploy/system.toml, minions, an operator, clients
and links. A case imports this module and runs its steps with run_case().

A minion follows "Running tasks" and "Service discovery" of PROTOCOL.md; its clock
is the steady clock of this process. A link passes bytes on, or holds them back as a
partition does.
"""
import asyncio
import json
import os
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOLD_MAX_MS = 6000
STOP_MS = 900
HEARTBEAT_S = 1.5
HOST = "shop.example"
KEY = "key-of-the-shops"


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start_s = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.start_s

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()

    def breaks(self, rule, text):
        self.broken.append(rule)
        self.write("BROKEN %s: %s" % (rule, text))


class CannotRun(Exception):
    """The case did not reach the state that it needs."""


# ---- the platform ---------------------------------------------------------

def render(template, fields):
    """Fills in a settings template as DEPLOY.md says."""
    def find(name, scope):
        value = scope
        if name == ".":
            return scope.get(".", scope)
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else \
                value[int(part)] if value is not None else None
        return value

    def text(match, scope):
        name, _, form = match.group(1).partition("|")
        value = find(name, scope)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    def section(match, scope):
        kind, name, body = match.groups()
        value = find(name, scope)
        if kind == "^":
            return fill(body, scope) if not value else ""
        if isinstance(value, list):
            return "".join(fill(body, {**scope, ".": item})
                           for item in value)
        return fill(body, scope) if value else ""

    def fill(part, scope):
        part = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}",
                      lambda m: section(m, scope), part, flags=re.S)
        return re.sub(r"\{\{([\w.|]+)\}\}", lambda m: text(m, scope), part)
    return fill(template, fields)


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Machine:
    """One machine of the system, with its process."""

    def __init__(self, site, name, kind, ip):
        self.site, self.name, self.kind, self.ip = site, name, kind, ip
        self.process = None
        self.folder = os.path.join(site.folder, name)
        os.mkdir(self.folder)
        self.front = "%s:%d" % (ip, site.ports[0])
        self.control = "%s:%d" % (ip, site.ports[1])
        self.metrics = "%s:%d" % (ip, 9464 if kind == "front" else 9465)

    def start(self, bootstrap=False):
        site = self.site
        listen = {"control": self.control}
        if self.kind == "front":
            listen = {"front": self.front,
                      "readiness": "%s:%d" % (self.ip, site.ports[2])}
        fields = {
            "ip": self.ip, "zone": "z1", "bootstrap": bootstrap,
            "listen_addrs": listen,
            "internal_ports": [site.ports[3], site.ports[3] + 15],
            "seeds": [one.control for one in site.cores],
            "limits": {"memory_mb": 256, "max_fds": 4096,
                       "link_mbps": 1000.0},
            "bounds": {"quota_window_s": 5, "hold_max_ms": HOLD_MAX_MS,
                       "stop_ms": STOP_MS, "grace_s": 6, "status_s": 120,
                       "far_x": 1.5}}
        if self.kind == "core":
            fields["data_dir"] = os.path.join(self.folder, "data")
        if site.advice:
            fields["advice"] = site.advice
        path = os.path.join(self.folder, "local.yaml")
        with open(path, "w") as out:
            out.write(render(site.template, fields))
        with open(os.path.join(self.folder, "log"), "a") as log:
            self.process = subprocess.Popen(
                site.commands[self.kind], cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={"FILBERTPATH_CONFIG": path, "PATH": os.environ["PATH"],
                     "HOME": site.folder, "LANG": "C"})

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()

    def runs(self):
        return self.process is not None and self.process.poll() is None


class Site:
    """Three core machines and some fronts."""

    def __init__(self, record, fronts=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.advice = None
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {role["on"]: role["run"].split()
                         for role in roles.values()}
        with open(os.path.join(ROOT, "deploy/settings.yaml.in")) as file:
            self.template = file.read()
        self.net = "127.%d.%d." % (random.randint(2, 250),
                                   random.randint(2, 250))
        ports = free_ports(self.net + "1", 3)
        self.ports = ports + [random.randint(20000, 29000)]
        self.cores, self.fronts = [], []
        for i in range(3):
            self.cores.append(Machine(self, "core-%d" % (i + 1), "core",
                                      self.net + str(i + 1)))
        for i in range(fronts):
            self.fronts.append(Machine(self, "front-%d" % (i + 1), "front",
                                       self.net + str(i + 11)))
        self.next_ip = 50

    def new_ip(self):
        self.next_ip += 1
        return self.net + str(self.next_ip)

    def start(self):
        for machine in self.cores + self.fronts:
            machine.start(bootstrap=True)
        self.record.write("platform starts %s" % ", ".join(
            one.name for one in self.cores + self.fronts))

    def stop(self):
        for machine in self.cores + self.fronts:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        if os.environ.get("KEEP"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def leader(self, timeout_s=10, without=None):
        """The core machine that says by its metrics that it leads."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for machine in self.cores:
                if machine is without or not machine.runs():
                    continue
                _, text = await call(machine.metrics, "GET", "/metrics",
                                     timeout_s=0.5, raw=True)
                if text and re.search(r"^filbertpath_leads 1$", text, re.M):
                    return machine
            await asyncio.sleep(0.05)
        raise CannotRun("no core machine leads")


# ---- calls ----------------------------------------------------------------

async def call(address, method, path, body=None, headers=None, timeout_s=1.0,
               raw=False):
    """Sends a request on a connection of its own. Returns (status, object);
    (0, None) if no whole response came in time."""
    data = b"" if body is None else \
        body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {"Host": address, "Connection": "close",
              "Content-Length": str(len(data)),
              "Content-Type": "application/json", **(headers or {})}
    head = "%s %s HTTP/1.1\r\n" % (method, path) + "".join(
        "%s: %s\r\n" % item for item in fields.items()) + "\r\n"
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + data)
            answer = await reader.read()
    except (OSError, asyncio.TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    top, _, rest = answer.partition(b"\r\n\r\n")
    if not top:
        return 0, None
    status = int(top.split()[1])
    if raw:
        return status, rest.decode(errors="replace")
    try:
        return status, json.loads(rest) if rest else None
    except ValueError:
        return status, None


async def serve(address, handler, writers):
    """Serves HTTP with kept connections, which are added to the set writers.
    handler(path, headers, object) returns (status, object), or None for no
    answer."""
    async def on_connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:]
                               if ": " in line)
                headers = {name.lower(): value
                           for name, value in headers.items()}
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                answer = await handler(lines[0].split()[1], headers,
                                       json.loads(body) if body else {})
                if answer is None:
                    return
                data = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n%s"
                             % (answer[0], len(data), data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writers.discard(writer)
            writer.close()
    ip, port = address.rsplit(":", 1)
    return await asyncio.start_server(on_connection, ip, int(port))


# ---- links ----------------------------------------------------------------

class Link:
    """A link to an address. While it is cut, it holds back what is sent on open
    connections, as a partition does; a connection that is begun then never
    opens."""

    def __init__(self, site, upstream):
        self.upstream = upstream
        self.address = "%s:%d" % (site.new_ip(), site.ports[1])
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def start(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.on_connection, ip,
                                                 int(port))

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
            await self.is_open.wait()
            writer.write_eof()
        except OSError:
            writer.close()

    async def on_connection(self, reader, writer):
        other = None
        if not self.is_open.is_set():
            await self.is_open.wait()
            writer.transport.abort()
            return
        try:
            ip, port = self.upstream.rsplit(":", 1)
            up, other = await asyncio.open_connection(ip, int(port))
            await asyncio.gather(self.pass_on(reader, other),
                                 self.pass_on(up, writer))
        except OSError:
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    end.close()


# ---- minions --------------------------------------------------------------

class World:
    """All minions, and what each runs."""

    def __init__(self, site, record):
        self.site, self.record = site, record
        self.minions = []
        self.runs = {}  # task -> list of (minion, run) at work
        self.starts = []  # (time, task, run, minion, checkpoint)

    def started(self, minion, task, run, checkpoint):
        self.starts.append((self.record.now(), task, run, minion, checkpoint))
        self.record.write("%s runs %s run %d%s" % (
            minion.name, task, run,
            " from checkpoint " + checkpoint if checkpoint else ""))
        others = self.runs.setdefault(task, [])
        for other, number in others:
            self.record.breaks(
                "TWICE", "%s run %d on %s beside run %d on %s" % (
                    task, run, minion.name, number, other.name))
        others.append((minion, run))

    def ended(self, minion, task, run):
        self.runs[task].remove((minion, run))

    def of(self, job):
        """(minion, task, run) of all that is at work of a job."""
        return [(minion, task, run) for task, list_ in self.runs.items()
                for minion, run in list_ if task.startswith(job + ".")]


class Minion:
    """One life of a minion. seconds(task) tells how long a task works; None:
    until it is stopped."""

    def __init__(self, world, name, service, controls, cpu=4000, seconds=None,
                 address=None, behind=None, labels=("a", "r1-1")):
        self.world, self.name, self.service = world, name, service
        self.controls = list(controls)
        self.capacity = {"cpu": cpu, "mem_mb": 65536, "gpu": 0}
        self.seconds = seconds or (lambda task: None)
        self.address = address or "%s:%d" % (world.site.new_ip(),
                                             world.site.ports[0])
        self.announced_address = behind or self.address
        self.labels = list(labels)
        self.state = "ready"
        self.is_up = False
        self.loops = []
        self.acknowledged = asyncio.Event()
        self.new_end = asyncio.Event()

    async def start(self):
        self.born_ms = int(time.time() * 1000)
        self.start_s = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}  # task -> [run, checkpoint, timer]
        self.ends = []  # [n, task, run, how, saved]
        self.seen = []  # those that are taken note of
        self.last_end = 0
        self.highest = {}  # task -> highest run stopped or ended
        self.sequence = 0
        self.is_up = True
        self.connections = set()
        self.server = await serve(self.address, self.handle, self.connections)
        self.loops = [asyncio.ensure_future(self.heartbeats()),
                      asyncio.ensure_future(self.watch_lease())]
        self.world.minions.append(self)
        self.world.record.write("%s is up, born %d" % (self.name,
                                                       self.born_ms))

    async def end(self):
        """The process ends, and with it its connections and all that it
        runs."""
        self.is_up = False
        for loop in self.loops:
            loop.cancel()
        for task, (run, _, timer) in list(self.running.items()):
            if timer:
                timer.cancel()
            self.world.ended(self, task, run)
        self.running = {}
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.world.minions.remove(self)
        self.world.record.write("%s ends" % self.name)

    def clock_ms(self):
        return int((time.monotonic() - self.start_s) * 1000) + 1000

    def checkpoint(self, task, run):
        return ""

    def finish(self, task, how):
        run, _, timer = self.running.pop(task)
        if timer:
            timer.cancel()
        self.world.ended(self, task, run)
        self.last_end += 1
        saved = self.checkpoint(task, run)
        self.ends.append([self.last_end, task, run, how, saved])
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.world.record.write("%s ends %s run %d %s%s" % (
            self.name, task, run, how,
            " with checkpoint " + saved if saved else ""))
        self.new_end.set()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() > self.deadline_ms:
                for task in list(self.running):
                    self.finish(task, "lapsed")

    def extend(self, order):
        if "deadline_ms" in order:
            self.deadline_ms = max(self.deadline_ms, min(
                order["deadline_ms"], self.clock_ms() + HOLD_MAX_MS))

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def handle(self, path, headers, order):
        if not self.is_up:
            return None
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        if order.get("fencing_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = order.get("fencing_token", 0)
        name = path.rsplit("/", 1)[1]
        if name == "run-start":
            return self.run_start(order)
        if name == "run-stop":
            return self.run_stop(order)
        if name == "hold":
            return await self.hold(order)
        return 200, {"clock_ms": self.clock_ms()}

    def run_start(self, order):
        task, run = order["task"], order["run"]
        if order.get("deadline_ms", 0) <= self.clock_ms():
            return self.refuse("late")
        if task in self.running and self.running[task][0] == run:
            return 200, {"clock_ms": self.clock_ms()}
        self.extend(order)
        if run <= self.highest.get(task, 0) or task in self.running:
            return self.refuse("old")
        seconds = self.seconds(task)
        timer = None
        if seconds is not None:
            timer = asyncio.get_running_loop().call_later(
                seconds, self.finish, task, "done")
        self.running[task] = [run, order.get("checkpoint", ""), timer]
        self.world.started(self, task, run, order.get("checkpoint", ""))
        return 200, {"clock_ms": self.clock_ms()}

    def run_stop(self, order):
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task][0] <= run:
            self.finish(task, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), run)
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, order):
        self.extend(order)
        self.seen += [row for row in self.ends if row[0] <= order["last_seen"]]
        self.ends = [row for row in self.ends if row[0] > order["last_seen"]]
        if not self.ends and order.get("wait_ms", 0) > 0:
            self.new_end.clear()
            try:
                await asyncio.wait_for(self.new_end.wait(),
                                       order["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.is_up:
            return None
        return 200, {"clock_ms": self.clock_ms(), "born": self.born_ms,
                     "running": [[task, run, self.checkpoint(task, run), 100]
                                 for task, (run, _, _) in
                                 self.running.items()],
                     "ended": self.ends[:500]}

    def report(self):
        self.sequence += 1
        return {"service": self.service, "address": self.announced_address,
                "zone": "z1", "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock_ms(), "born": self.born_ms,
                "sequence": self.sequence}

    async def heartbeat(self):
        """Announces the minion, to one control machine after the other until
        one acknowledges it."""
        for address in random.sample(self.controls, len(self.controls)):
            status, _ = await call(
                address, "PUT", "/filbertpath/instances/" + self.name,
                self.report())
            if 200 <= status < 300:
                self.acknowledged.set()
                return
            await asyncio.sleep(0.05)

    async def heartbeats(self):
        while True:
            start_s = time.monotonic()
            await self.heartbeat()
            await asyncio.sleep(
                max(0.1, start_s + HEARTBEAT_S - time.monotonic()))

    async def leave_soon(self, remaining_ms):
        """Says that it drains, until that is acknowledged."""
        self.state = "draining"
        self.acknowledged.clear()
        report = self.report

        def with_rest():
            return {**report(), "remaining_ms": remaining_ms}
        self.report = with_rest
        await self.heartbeat()
        self.world.record.write("%s says that it drains%s" % (
            self.name, ", acknowledged" if self.acknowledged.is_set()
            else ""))


# ---- operators and clients ------------------------------------------------

def route(name, service, **more):
    return {"name": name, "host": HOST, "path_prefix": "/%s/" % name,
            "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
            "priority": 1, "service": service, "max_attempts": 3,
            "stretch": 2.0, "allow_anonymous": False, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "admission_control": False,
                          "standby": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "shops", "api_keys": [KEY], "priority": 1,
                         "weight": 10,
                         "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}


async def put_config(site, config, timeout_s=10):
    """Sends a configuration until it is acknowledged."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        for machine in site.cores:
            status, _ = await call(machine.control, "PUT",
                                   "/filbertpath/config", config)
            if 200 <= status < 300:
                site.record.write("config %d acknowledged by %s" % (
                    config["version"], machine.name))
                return
            await asyncio.sleep(0.1)
    raise CannotRun("a configuration was not acknowledged")


def new_id():
    return "%016x" % random.getrandbits(64)


async def client_call(front, method, queue, job="", body=None, timeout_s=3.2):
    return await call(front.front, method, "/%s/%s" % (queue, job), body,
                      {"Host": HOST, "Authorization": "Bearer " + KEY,
                       "X-Deadline-Ms": "3000"}, timeout_s)


async def submit(site, queue, steps, job=None, timeout_s=10):
    """Hands a job in until it is accepted; returns its ID."""
    job = job or new_id()
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        front = random.choice([one for one in site.fronts if one.runs()])
        status, _ = await client_call(front, "POST", queue, job,
                                      {"spec": "spec of " + job,
                                       "steps": steps})
        site.record.write("client POST %s %s: %d" % (queue, job, status))
        if 200 <= status < 300:
            return job
        await asyncio.sleep(0.2)
    raise CannotRun("a job was not accepted")


async def cancel(site, queue, job, timeout_s=10):
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        status, _ = await client_call(site.fronts[0], "DELETE", queue, job)
        site.record.write("client DELETE %s %s: %d" % (queue, job, status))
        if 200 <= status < 300 or status == 410:
            return status
        await asyncio.sleep(0.2)
    raise CannotRun("a cancel was not acknowledged")


async def state_of(site, queue, job):
    """The state of a job; None: no answer with one."""
    status, answer = await client_call(site.fronts[0], "GET", queue, job)
    site.record.write("client GET %s %s: %d %s" % (queue, job, status, answer))
    return answer.get("state") if status == 200 else None


async def until(what, test, timeout_s=10):
    """Waits until test() is true."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = test()
        if value:
            return value
        await asyncio.sleep(0.02)
    raise CannotRun("not reached: " + what)


def run_case(folder, steps, fronts=1, bound_s=115):
    """Runs steps(site, world, record, trouble); trouble is false if the first
    argument of the program is "calm". Exits with 1 if a rule was broken, 0 if
    not, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = sys.argv[1:] != ["calm"]
    record.write("with the disruption" if trouble else
                 "without the disruption")
    site = Site(record, fronts)

    async def main():
        async with asyncio.timeout(bound_s):
            await steps(site, World(site, record), record, trouble)
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        asyncio.run(main())
        code = 1 if record.broken else 0
    except Exception as error:  # CannotRun, out of time, a fault of the case
        record.write("could not run: %r" % error)
        code = 1 if record.broken else 2
    finally:
        site.stop()
    record.write("result: %s" % {0: "held", 1: "broken", 2: "not run"}[code])
    sys.exit(code)
