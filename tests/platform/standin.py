#!/usr/bin/env python3
"""Stand-ins for the outside of a fleet: targets, the placement policy, an
operator and callers, over the published protocol on loopback.

  standin.py targets --count N --control HOST:PORT,... [--late SHARE]
                     [--lost SHARE] [--restart SECONDS] [--seed N]
  standin.py configure --control HOST:PORT,... --version N
  standin.py jobs --front HOST:PORT,... --count N [--seed N]

"targets" checks what must hold on every target (no task twice at once, none
over its room, none after its end was noted) and prints each breach.
"""
import argparse
import asyncio
import json
import random
import sys
import time
import zlib

CONFIG = {
    "routes": [
        {"name": "quotes", "host": "shop.example", "path_prefix": "/quotes/",
         "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
         "priority": 0, "service": "store", "max_attempts": 3, "stretch": 1.5,
         "advice": {"decide_ms": 5.0, "each_ms": 0.2, "valid_ms": 1500},
         "allow_anonymous": False},
        {"name": "batches", "host": "shop.example",
         "path_prefix": "/batches/", "type": "unsafe", "timeout_ms": 3000,
         "target_latency_ms": 3000, "priority": 2, "service": "store",
         "max_attempts": 2, "stretch": 4.0, "allow_anonymous": False},
    ],
    "services": [{"name": "store", "health_path": "/health",
                  "max_connections": 64, "protocol": "h1", "tls": False,
                  "admission_control": False, "standby": False}],
    "limits": {"max_body_bytes": 262144},
    "tenants": [{"name": "shops", "api_keys": ["key-shops"], "priority": 1,
                 "weight": 10, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
}


async def request(address, method, path, body=None, headers=None, timeout=2):
    """One call; returns (status, object), or (0, None) without an answer."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, None
    data = b"" if body is None else json.dumps(body).encode()
    lines = ["%s %s HTTP/1.1" % (method, path), "Connection: close",
             "Content-Length: %d" % len(data)]
    fields = {"Host": address}
    fields.update(headers or {})
    lines += ["%s: %s" % item for item in fields.items()]
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        raw = await asyncio.wait_for(reader.read(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, None
    finally:
        writer.close()
    head, _, rest = raw.partition(b"\r\n\r\n")
    if not head:
        return 0, None
    try:
        return int(head.split()[1]), json.loads(rest) if rest else None
    except ValueError:
        return int(head.split()[1]), None


async def serve(address, handler, writers=None):
    """A small HTTP server; handler(path, headers, object) -> answer or None.
    Open connections are kept in writers."""
    async def on_connection(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                fields = dict(line.lower().split(": ", 1)
                              for line in lines[1:] if ": " in line)
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                answer = await handler(lines[0].split()[1], fields,
                                       json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(3600)
                status, obj = answer
                data = json.dumps(obj).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        if writers is not None:
            writers.discard(writer)
        writer.close()
    host, port = address.split(":")
    return await asyncio.start_server(on_connection, host, int(port))


class Fleet:
    """What all targets together show: breaches of what must hold."""

    def __init__(self):
        self.running = {}  # task -> (target, run)
        self.noted = set()  # tasks whose end as done was noted
        self.started = set()  # jobs of which some task ran
        self.breaches = 0
        self.starts = 0
        self.ends = {}

    def breach(self, text):
        self.breaches += 1
        print("BREACH: " + text, flush=True)


class Target:
    def __init__(self, number, options, fleet, dice):
        self.number = number
        self.id = "t-%03d" % number
        self.address = "127.0.1.%d:%d" % (number + 1, options.port)
        self.announced = self.address
        self.options = options
        self.fleet = fleet
        self.dice = dice
        self.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
        self.sequence = 0
        self.writers = set()
        self.reset()

    def reset(self):
        """The process starts again: it has none of its connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        for task in getattr(self, "runs", {}):
            self.fleet.running.pop(task, None)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.runs = {}   # task -> [run, end time, spec]
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.listed = 0  # the highest end that an answer has held
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def size_of(self, spec):
        return json.loads(spec)["cpu"]

    def end(self, task, how):
        run, _, _ = self.runs.pop(task)
        self.fleet.running.pop(task, None)
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.fleet.ends[how] = self.fleet.ends.get(how, 0) + 1
        self.changed.set()

    def advance(self):
        now = self.clock()
        for task in list(self.runs):
            if self.deadline <= now:
                self.end(task, "lapsed")
            elif self.runs[task][1] <= now:
                failed = self.dice.random() < self.options.failures
                self.end(task, "failed" if failed else "done")

    def start(self, body):
        task, run = body["task"], body["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.highest.get(task, 0) or task in self.runs:
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        where = "run %d on %s, %d ms after its birth" % (run, self.id,
                                                         self.clock())
        if task in self.fleet.running:
            self.fleet.breach("%s runs twice: %s and %s" % (
                task, where, self.fleet.running[task]))
        if task in self.fleet.noted:
            self.fleet.breach("%s starts after its end was noted: %s" % (
                task, where))
        spec = json.loads(body["spec"])
        used = sum(self.size_of(entry[2]) for entry in self.runs.values())
        if used + spec["cpu"] > self.capacity["cpu"]:
            self.fleet.breach("%s is over its room" % self.id)
        self.runs[task] = [run, self.clock() + spec["ms"], body["spec"]]
        self.fleet.running[task] = (self.id, run)
        self.fleet.starts += 1
        self.fleet.started.add(task[:16])
        return 200, {"clock_ms": self.clock()}

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.runs and self.runs[task][0] <= run:
            self.end(task, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        if body["last_seen"] > self.listed:
            self.fleet.breach("%s has not listed end %d yet" % (
                self.id, body["last_seen"]))
        for end in self.ended:
            if end[0] <= body["last_seen"] and end[3] == "done":
                self.fleet.noted.add(end[1])
        self.ended = [e for e in self.ended if e[0] > body["last_seen"]]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), 0.05)
            except asyncio.TimeoutError:
                pass
        self.listed = self.next_end - 1
        return 200, {
            "clock_ms": self.clock(), "born": self.born,
            "running": [[t, r[0], "", 50, 0] for t, r in self.runs.items()],
            "ended": self.ended}

    async def order(self, path, body):
        self.advance()
        if body["fencing_token"] < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body["fencing_token"]
        lease = min(body.get("deadline_ms", 0), self.clock() + 6000)
        self.deadline = max(self.deadline, lease)
        if path.endswith("run-start"):
            return self.start(body)
        if path.endswith("run-stop"):
            return self.stop(body)
        if path.endswith("hold"):
            return await self.hold(body)
        return 200, {"clock_ms": self.clock()}

    async def handle(self, path, fields, body):
        born = self.born
        if fields.get("x-expect-instance") != self.id:
            return 421, {}
        if not path.endswith("hold"):
            luck = self.dice.random()
            if luck < self.options.late:  # carried out seconds later
                await asyncio.sleep(1.5 + 2 * self.dice.random())
                if self.born == born:
                    await self.order(path, body)
                return None
            if luck < self.options.late + self.options.lost:
                await self.order(path, body)
                return None
        return await self.order(path, body)

    async def announce(self):
        controls = self.options.control.split(",")
        while True:
            self.sequence += 1
            body = {"service": "store", "address": self.announced,
                    "zone": "z1", "version": "v1", "slots": 8,
                    "state": "ready", "cold_remaining_ms": 0,
                    "capacity": self.capacity,
                    "labels": ["a", "r1-%d" % (self.number // 5)],
                    "clock_ms": self.clock(), "sequence": self.sequence,
                    "born": self.born}
            for _ in range(3):
                status, _ = await request(
                    self.dice.choice(controls), "PUT",
                    "/filbertpath/instances/" + self.id, body, timeout=1)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(0.5)

    async def live(self):
        await serve(self.address, self.handle, self.writers)
        asyncio.ensure_future(self.announce())
        while True:
            self.advance()
            await asyncio.sleep(0.01)


async def serve_policy(address):
    """Grants seven in ten targets to a job, always the same ones."""
    async def advise(_path, _fields, body):
        await asyncio.sleep(0.005 + 0.0002 * len(body["workers"]))
        chosen = [w for w in body["workers"]
                  if zlib.crc32((body["step"][:18] + w).encode()) % 10 < 7]
        return 200, {"granted": [[w, "ticket-" + w] for w in chosen],
                     "valid_ms": 1500}
    await serve(address, advise)


async def run_targets(options):
    dice = random.Random(options.seed)
    fleet = Fleet()
    targets = [Target(i, options, fleet, dice) for i in range(options.count)]

    await serve_policy("127.0.0.9:%d" % options.port)
    for target in targets:
        asyncio.ensure_future(target.live())
    ends_at = time.monotonic() + options.seconds
    next_restart = time.monotonic() + (options.restart or 1e9)
    while time.monotonic() < ends_at:
        await asyncio.sleep(0.1)
        if time.monotonic() >= next_restart:
            dice.choice(targets).reset()
            next_restart += options.restart
    print("breaches: %d" % fleet.breaches)
    print("starts: %d, ends: %s" % (fleet.starts, fleet.ends),
          file=sys.stderr)
    return 1 if fleet.breaches else 0


async def run_configure(options):
    config = dict(CONFIG, version=options.version)
    for _ in range(100):
        for address in options.control.split(","):
            status, _ = await request(address, "PUT", "/filbertpath/config",
                                      config)
            if status == 200:
                print("configured")
                return 0
        await asyncio.sleep(0.2)
    print("not configured")
    return 1


async def one_job(options, dice, number, results):
    fronts = options.front.split(",")
    queue = dice.choice(["/quotes/", "/batches/"])
    name = "%016x" % (options.seed * 1000000 + number)
    steps = [{"count": 1 + dice.randrange(5), "cpu": 2000, "mem_mb": 512,
              "estimated_ms": 200}
             for _ in range(1 + dice.randrange(2))]
    for i in range(1, len(steps)):
        steps[i]["after"] = [i - 1]
    body = {"spec": json.dumps({"cpu": 2000, "ms": 50 + dice.randrange(200)}),
            "steps": steps}
    headers = {"Host": "shop.example", "Authorization": "Bearer key-shops"}
    await asyncio.sleep(number * options.gap)
    status = 0
    for _ in range(20):
        status, _ = await request(dice.choice(fronts), "POST", queue + name,
                                  body, headers, timeout=3)
        if status == 200:
            break
        await asyncio.sleep(0.3)
    state = "status %d" % status
    ends_at = time.monotonic() + options.patience
    while status == 200 and time.monotonic() < ends_at:
        _, answer = await request(dice.choice(fronts), "GET", queue + name,
                                  None, headers, timeout=3)
        state = (answer or {}).get("state", state)
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(0.1)
    results[state] = results.get(state, 0) + 1


async def run_jobs(options):
    dice = random.Random(options.seed)
    results = {}
    await asyncio.gather(*(one_job(options, dice, i, results)
                           for i in range(options.count)))
    for state in sorted(results):
        print("%s: %d" % (state, results[state]))
    return 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["targets", "configure", "jobs"])
    parser.add_argument("--count", type=int, default=5)
    parser.add_argument("--control", default="127.0.0.1:18688")
    parser.add_argument("--front", default="127.0.0.5:18686")
    parser.add_argument("--port", type=int, default=18465)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--late", type=float, default=0)
    parser.add_argument("--lost", type=float, default=0)
    parser.add_argument("--failures", type=float, default=0)
    parser.add_argument("--restart", type=float, default=0)
    parser.add_argument("--gap", type=float, default=0.02)
    parser.add_argument("--patience", type=float, default=20)
    parser.add_argument("--version", type=int, default=1)
    options = parser.parse_args()
    run = {"targets": run_targets, "configure": run_configure,
           "jobs": run_jobs}[options.what]
    sys.exit(asyncio.run(run(options)))


if __name__ == "__main__":
    main()
