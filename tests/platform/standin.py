#!/usr/bin/env python3
"""Stand-ins for the peers of a fleet: targets, the placement policy, an
operator and callers, which use the platform's protocol on loopback.

  standin.py targets --count N --control HOST:PORT,... [--late SHARE]
                     [--outlive] [--lost SHARE] [--restart SECONDS] [--resize SECONDS]
                     [--depart SECONDS]
                     [--zones N] [--evacuated FILE] [--invalid SHARE] [--seed N]
  standin.py configure --control HOST:PORT,... --version N
  standin.py jobs --front HOST:PORT,... --count N [--deadly SHARE] [--seed N]

With "--site yard", "configure" and "jobs" play a site of YARD_TARGETS targets whose
three queues all have a placement policy, of unlike speed, that grants few targets;
policy.py is that policy. "jobs" then prints how many of the jobs that could run
were not completed in time.

"targets" checks the invariants of all targets and prints each violation: no
task runs twice at once or starts again after its end was acknowledged, no target
runs more than its capacity, and no task that crashes its targets is started three
times more after three crashes, and none resumes from a checkpoint that it has not
saved, a gang from one of any member. The members of a gang wait GANG_MS for each other
and end together. Nor is one started in a zone that a line "ZONE
SECONDS" of FILE calls evacuated, later than EVACUATION_S after that time. On
SIGUSR1 every other target stops answering for some seconds, and runs on. SIGUSR2 ends
the run early.
"""
import argparse
import asyncio
import json
import math
import os
import random
import signal
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


YARD_TARGETS = 48
YARD_TICKET_MS = 2000
# By the first digit of a job's ID: the queue, the policy's time for a query and for
# each target in milliseconds, and the share of targets that it grants.
YARD_QUEUES = {
    "1": {"name": "long", "decide_ms": 380.0, "each_ms": 5.4, "granted": 30,
          "priority": 1, "target_latency_ms": 1000, "stretch": 2.2,
          "max_attempts": 2},
    "2": {"name": "medium", "decide_ms": 50.0, "each_ms": 0.71, "granted": 45,
          "priority": 2, "target_latency_ms": 3000, "stretch": 4.0,
          "max_attempts": 3},
    "3": {"name": "short", "decide_ms": 5.6, "each_ms": 0.08, "granted": 70,
          "priority": 0, "target_latency_ms": 250, "stretch": 1.5,
          "max_attempts": 3},
}
# The second digit of the ID of a job for which only HOPELESS_TARGETS are granted,
# too few for its gang.
HOPELESS_DIGIT = "f"
HOPELESS_TARGETS = 2


def yard_config():
    routes = []
    for queue in YARD_QUEUES.values():
        route = {name: queue[name] for name in (
            "name", "priority", "target_latency_ms", "stretch",
            "max_attempts")}
        route["advice"] = {"decide_ms": queue["decide_ms"],
                           "each_ms": queue["each_ms"],
                           "valid_ms": YARD_TICKET_MS}
        route.update(host="shop.example", type="unsafe", timeout_ms=3000,
                     path_prefix="/%s/" % queue["name"], service="store",
                     allow_anonymous=False)
        routes.append(route)
    return dict(CONFIG, routes=routes)


def yard_grants(step, target):
    """Whether the yard's policy lets this target run a step; that never changes."""
    number = zlib.crc32((step + target).encode())
    if step[1] == HOPELESS_DIGIT:
        first = zlib.crc32(step.encode()) % YARD_TARGETS
        return target in ["t-%03d" % ((first + i) % YARD_TARGETS)
                          for i in range(HOPELESS_TARGETS)]
    return number % 100 < YARD_QUEUES[step[0]]["granted"]


async def request(address, method, path, body=None, headers=None, timeout=2):
    """Sends a request; returns (status, object), or (0, None) if no response
    came."""
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


async def serve(address, handler, writers=None, on_lost=None, closes=""):
    """Serves HTTP. handler(path, headers, object) returns (status, object or
    bytes), or None to leave the request unanswered. Open connections are added to the
    set writers. on_lost() is called for an answer whose caller has gone. closes:
    "header" or "silently", if each connection ends with its first response."""
    async def on_connection(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                fields = dict(line.lower().split(": ", 1)
                              for line in lines[1:] if ": " in line)
                fields["client-address"] = writer.get_extra_info("peername")[0]
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                answer = await handler(lines[0].split()[1], fields,
                                       json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(3600)
                if on_lost is not None and reader.at_eof():
                    on_lost()
                status, obj = answer
                data = (obj if isinstance(obj, bytes)
                        else json.dumps(obj).encode())
                head = b"" if closes != "header" else b"Connection: close\r\n"
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\n%sContent-Length: %d\r\n\r\n"
                             % (status, head, len(data)) + data)
                if closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        if writers is not None:
            writers.discard(writer)
        writer.close()
    host, port = address.split(":")
    return await asyncio.start_server(on_connection, host, int(port))


# Values at the limits of a parser.
INVALID_VALUES = [b"[" * 3000 + b"]" * 3000, b"9" * 25, b"1e400", b'"\xff"',
              b'"\\ud800"', b'"\\u0000"', b"{}", b"null",
              b'["x.y",1,"",1,1]', b'["00000000000000aa.0.0.0",4294967297]',
              b'[9223372036854775807,"00000000000000aa.0.0.0",1,"done",""]']


def add_invalid_entries(answer, rng):
    """The answer as bytes, with an invalid entry at the front of each list."""
    data = json.dumps(answer).encode()
    for name, entries in answer.items():
        if isinstance(entries, list):
            head = b'"%s": [' % name.encode()
            invalid = rng.choice(INVALID_VALUES) + (b"," if entries else b"")
            data = data.replace(head, head + invalid, 1)
    return data


ENDS_LISTED_MAX = 500
DEPARTED_S = 3.0  # a target works on after it has said that it ends
EVACUATION_S = 5.0  # from the acknowledgement of an evacuation
GANG_MS = 3000  # a member waits this long for the others


class Gang:
    """One run of a gang. Its members work from the moment when all are present."""

    def __init__(self, checkpoint):
        self.checkpoint = checkpoint
        self.targets = {}  # task -> its target
        self.is_working = False
        self.is_ending = False


class InvariantChecker:
    """State of all targets together, to detect violated invariants."""

    def __init__(self):
        self.running_tasks = {}  # task -> (target, run)
        self.acknowledged_tasks = set()  # tasks with an acknowledged "done"
        self.done_tasks = set()  # tasks with a "done" that is still listed
        self.repeated_tasks = set()  # those of them that were started again
        self.started_jobs = set()  # jobs with at least one started task
        self.checkpoints = {}  # task or gang -> checkpoints that it has saved
        self.gangs = {}  # (step, run) -> Gang
        self.gang_steps = set()
        self.crash_counts = {}  # task -> targets that it has crashed
        self.late_starts = {}  # task -> starts after three crashes
        self.evacuated = {}  # zone -> when that was acknowledged
        self.evacuated_file = ""  # replaces the former at each start
        self.violations = 0
        self.start_count = 0
        self.end_counts = {}

    def count_deadly_start(self, task, where):
        if self.crash_counts.get(task, 0) >= 3:
            self.late_starts[task] = self.late_starts.get(task, 0) + 1
            if self.late_starts[task] == 3:
                self.report_violation("%s crashes its targets and is started "
                                      "again: %s" % (task, where))

    def join_gang(self, target, task, run, size, checkpoint, work_ms):
        step = task.rpartition(".")[0]
        gang = self.gangs.setdefault((step, run), Gang(checkpoint))
        self.gang_steps.add(step)
        if checkpoint != gang.checkpoint:
            self.report_violation("members of run %d of %s start from '%s' and "
                                  "'%s'" % (run, step, checkpoint,
                                            gang.checkpoint))
        gang.targets[task] = target
        if len(gang.targets) == size:
            gang.is_working = True
            for member, its_target in gang.targets.items():
                its_target.runs[member][1] = its_target.clock_ms() + work_ms

    def acknowledge(self, task):
        """One end of a gang represents all its members."""
        step = task.rpartition(".")[0]
        if task in self.repeated_tasks:
            self.report_violation("%s was started again after its end" % task)
        self.done_tasks.discard(task)
        self.acknowledged_tasks |= {task, step} if step in self.gang_steps \
            else {task}

    def leave_gang(self, task, run, outcome):
        """Ends the other members with the first one that ends."""
        key = (task.rpartition(".")[0], run)
        gang = self.gangs.get(key)
        if gang is None or gang.is_ending:
            return
        gang.is_ending = True
        for member, target in gang.targets.items():
            if member != task and member in target.runs:
                target.end_run(member,
                               "done" if outcome == "done" else "broken")
        del self.gangs[key]

    def check_checkpoint(self, task, checkpoint, where):
        if checkpoint and checkpoint not in self.checkpoints.get(task, ()):
            self.report_violation("%s starts from '%s', which it has not "
                                  "saved: %s" % (task, checkpoint, where))

    def check_evacuated(self, target, where):
        if self.evacuated_file:
            self.read_evacuated()
        since_s = self.evacuated.get(target.zone)
        if since_s is not None and time.time() > since_s + EVACUATION_S:
            self.report_violation("a start in the evacuated zone %s: %s" % (
                target.zone, where))

    def read_evacuated(self):
        self.evacuated = {}
        try:
            with open(self.evacuated_file, encoding="utf-8") as lines:
                for line in lines:
                    zone, since_s = line.split()
                    self.evacuated[zone] = float(since_s)
        except FileNotFoundError:
            pass  # the order is being withdrawn, or none was given

    def report_violation(self, text):
        self.violations += 1
        print("VIOLATION: " + text, flush=True)


class Target:
    def __init__(self, number, options, checker, rng):
        self.number = number
        self.id = "t-%03d" % number
        self.address = "127.0.1.%d:%d" % (number + 1, options.port)
        self.announced_address = self.address
        self.zone = "z%d" % (number % options.zones + 1)
        self.service = "store"
        self.options = options
        self.checker = checker
        self.rng = rng
        self.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
        self.obeys_orders = not (options.late or options.lost or
                                 options.restart or options.deaf)
        self.allowed_cpu = []  # (until, cpu) of earlier capacities
        self.old_announcement = None
        self.down_until = 0
        self.deaf_until = 0
        self.state = "ready"
        self.sequence = 0
        self.known_born_ms = 0  # of the last acknowledged announcement
        self.writers = set()
        self.restart()

    def restart(self):
        """Simulates a restart of the process: its connections and runs are
        gone."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        lost_runs = getattr(self, "runs", {})
        self.ended_runs = getattr(self, "ended_runs", [])
        self.next_end_number = getattr(self, "next_end_number", 1)
        self.forget_ends()
        self.lapsed_ends = 0
        self.runs = {}  # task -> [run, end time in ms, spec]
        for task in lost_runs:
            self.checker.running_tasks.pop(task, None)
            self.checker.leave_gang(task, lost_runs[task][0], "lost")
        self.born_ms = int(time.time() * 1000)
        self.start_time = time.monotonic()
        self.fencing_token = 0
        self.holds_when_known = 0
        self.lease_end_ms = 0
        self.highest_run = {}
        self.ended_runs = []
        self.next_end_number = 1
        self.last_listed_end = 0  # highest end number sent in a response
        self.run_ended = asyncio.Event()

    def crash(self, task, born_ms):
        if self.born_ms == born_ms and task in self.runs:
            self.checker.crash_counts[task] = (
                self.checker.crash_counts.get(task, 0) + 1)
            self.restart()
            self.down_until = time.monotonic() + 1.5

    async def depart(self):
        """Drains, says that it ends, and works on for some seconds: the answers
        to that, and all orders, are lost."""
        self.state = "draining"
        await asyncio.sleep(2)
        self.state = "gone"
        self.deaf_until = time.monotonic() + DEPARTED_S
        await request(self.rng.choice(self.options.control.split(",")),
                      "DELETE", "/filbertpath/instances/" + self.id)
        await asyncio.sleep(DEPARTED_S)
        self.restart()
        self.down_until = math.inf

    def resize(self):
        self.allowed_cpu.append((time.monotonic() + 4, self.capacity["cpu"]))
        self.capacity = dict(self.capacity,
                             cpu=self.rng.choice([2000, 4000, 8000, 16000]))

    def enforced_cpu(self):
        """A smaller capacity counts some seconds after it was announced."""
        return max([self.capacity["cpu"]] + [
            cpu for until, cpu in self.allowed_cpu
            if time.monotonic() < until])

    def clock_ms(self):
        return int((time.monotonic() - self.start_time) * 1000)

    def cpu_of(self, spec):
        return json.loads(spec)["cpu"]

    def checkpoint(self, task):
        """The path of what a task has saved so far; its length differs from
        task to task, and one in twenty is longer than a record holds."""
        run, end_ms, spec = self.runs[task]
        if not json.loads(spec).get("saves"):
            return ""
        gang = self.checker.gangs.get((task.rpartition(".")[0], run))
        if gang is not None and not gang.is_working:
            return gang.checkpoint
        length = zlib.crc32(task.encode()) % 950
        if length % 20 == 0:
            length += 1000
        text = "saves/%s/run-%d/%s/%d" % (
            task, run, "p" * length, (end_ms - self.clock_ms()) // 50)
        saver = task if gang is None else task.rpartition(".")[0]
        self.checker.checkpoints.setdefault(saver, set()).add(text)
        return text

    def end_run(self, task, outcome):
        checkpoint = self.checkpoint(task)
        run, _, _ = self.runs.pop(task)
        self.checker.running_tasks.pop(task, None)
        self.highest_run[task] = max(run, self.highest_run.get(task, 0))
        self.ended_runs.append([self.next_end_number, task, run, outcome,
                                checkpoint])
        self.next_end_number += 1
        if outcome == "done":
            self.checker.done_tasks.add(task)
        self.checker.end_counts[outcome] = (
            self.checker.end_counts.get(outcome, 0) + 1)
        self.run_ended.set()
        self.checker.leave_gang(task, run, outcome)

    def due_outcome(self, task):
        gang = self.checker.gangs.get((task.rpartition(".")[0],
                                       self.runs[task][0]))
        if gang is not None and not gang.is_working:
            if self.obeys_orders:
                self.checker.report_violation(
                    "%s waits alone: %d of its members are present" % (
                        task, len(gang.targets)))
            return "alone"
        return ("failed" if self.rng.random() < self.options.failures
                else "done")

    def forget_ends(self):
        """Ends whose lease lapsed before their acknowledgement: their tasks may
        have been started elsewhere before, and those starts may be late."""
        self.lapsed_ends = self.next_end_number - 1
        self.checker.done_tasks -= {end[1] for end in self.ended_runs}
        self.checker.repeated_tasks -= {end[1] for end in self.ended_runs}

    def end_due_runs(self):
        now = self.clock_ms()
        if self.lease_end_ms <= now:
            self.forget_ends()
        for task in list(self.runs):
            if task not in self.runs:
                continue  # ended with another member of its gang
            if self.lease_end_ms <= now:
                self.end_run(task, "lapsed")
            elif self.runs[task][1] <= now:
                self.end_run(task, self.due_outcome(task))

    def is_admitted(self, task, ticket):
        if ticket is None:  # a queue without a policy
            return self.options.site != "yard"
        return ticket_is_valid(
            ticket, self.id, task.rpartition(".")[0],
            YARD_TICKET_MS if self.options.site == "yard" else TICKET_MS)

    def start_run(self, body):
        task, run = body["task"], body["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, {"clock_ms": self.clock_ms()}
        if run <= self.highest_run.get(task, 0) or task in self.runs:
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        if not self.is_admitted(task, body.get("ticket")):
            return 409, {"clock_ms": self.clock_ms(), "reason": "ticket"}
        where = "run %d on %s, %d ms after its start" % (run, self.id,
                                                         self.clock_ms())
        self.checker.check_evacuated(self, where)
        spec = json.loads(body["spec"])
        gang_size = spec.get("gangs", {}).get(task.split(".")[2], 0)
        self.checker.check_checkpoint(
            task.rpartition(".")[0] if gang_size else task,
            body.get("checkpoint"), where)
        if task in self.checker.running_tasks:
            self.checker.report_violation("%s runs twice: %s and %s" % (
                task, where, self.checker.running_tasks[task]))
        if task in self.checker.done_tasks:
            self.checker.repeated_tasks.add(task)
        if self.checker.acknowledged_tasks & {task, task.rpartition(".")[0]}:
            self.checker.report_violation(
                "%s starts after its end was acknowledged: %s" % (task, where))
        used = sum(self.cpu_of(entry[2]) for entry in self.runs.values())
        if used + spec["cpu"] > self.enforced_cpu():
            self.checker.report_violation(
                "%s runs more than its capacity" % self.id)
        work_ms = spec["ms"]
        if spec.get("until_ms"):
            work_ms = max(spec["until_ms"] - time.time() * 1000, 1)
        self.runs[task] = [run, self.clock_ms() +
                           (GANG_MS if gang_size else work_ms),
                           body["spec"]]
        self.checker.running_tasks[task] = (self.id, run)
        if gang_size:
            self.checker.join_gang(self, task, run, gang_size,
                                   body.get("checkpoint", ""), spec["ms"])
        self.checker.start_count += 1
        if spec.get("deadly") and task.endswith(".0.0.0"):
            self.checker.count_deadly_start(task, where)
            asyncio.get_running_loop().call_later(0.01, self.crash, task,
                                                  self.born_ms)
        self.checker.started_jobs.add(task[:16])
        return 200, {"clock_ms": self.clock_ms()}

    def stop_run(self, body):
        task, run = body["task"], body["run"]
        self.highest_run[task] = max(run, self.highest_run.get(task, 0))
        if task in self.runs and self.runs[task][0] <= run:
            self.end_run(task, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def list_runs(self, body):
        if body["last_seen"] > self.last_listed_end:
            self.checker.report_violation(
                "%s got an acknowledgement of end %d, which it has not listed"
                % (self.id, body["last_seen"]))
        for end in self.ended_runs:
            if (self.lapsed_ends < end[0] <= body["last_seen"] and
                    end[3] == "done"):
                self.checker.acknowledge(end[1])
        self.ended_runs = [e for e in self.ended_runs
                           if e[0] > body["last_seen"]]
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended_runs and time.monotonic() < deadline:
            self.run_ended.clear()
            try:
                await asyncio.wait_for(self.run_ended.wait(), 0.05)
            except asyncio.TimeoutError:
                pass
        listed = self.ended_runs[:ENDS_LISTED_MAX]
        if listed:
            self.last_listed_end = max(self.last_listed_end, listed[-1][0])
        answer = {
            "clock_ms": self.clock_ms(), "born": self.born_ms,
            "running": [[t, r[0], self.checkpoint(t), 50, 0]
                        for t, r in self.runs.items()],
            "ended": listed}
        if self.rng.random() < self.options.invalid:
            return 200, add_invalid_entries(answer, self.rng)
        return 200, answer

    async def handle_order(self, path, body):
        self.end_due_runs()
        if body["fencing_token"] < self.fencing_token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fencing_token = body["fencing_token"]
        lease_end_ms = min(body.get("deadline_ms", 0), self.clock_ms() + 6000)
        self.lease_end_ms = max(self.lease_end_ms, lease_end_ms)
        if path.endswith("run-start"):
            return self.start_run(body)
        if path.endswith("run-stop"):
            return self.stop_run(body)
        if path.endswith("hold"):
            self.holds_when_known += self.known_born_ms == self.born_ms
            return await self.list_runs(body)
        return 200, {"clock_ms": self.clock_ms()}

    async def wait_for_next_life(self, born_ms):
        """Waits until the leader has called a later incarnation. A call that was
        on its way when that became known may be the first one; hence two."""
        while self.born_ms == born_ms or self.holds_when_known < 2:
            await asyncio.sleep(0.02)

    async def handle_request(self, path, fields, body):
        born_ms = self.born_ms
        if time.monotonic() < self.down_until:
            raise ConnectionError
        if time.monotonic() < self.deaf_until:
            return None
        if fields.get("x-expect-instance") != self.id:
            return 421, {}
        if not path.endswith("hold"):
            draw = self.rng.random()
            if draw < self.options.late:
                # Carries out the order seconds later and does not answer.
                if self.options.outlive:
                    await self.wait_for_next_life(born_ms)
                    await self.handle_order(path, body)
                    return None
                await asyncio.sleep(1.5 + 2 * self.rng.random())
                if self.born_ms == born_ms:
                    await self.handle_order(path, body)
                return None
            if draw < self.options.late + self.options.lost:
                await self.handle_order(path, body)
                return None
        return await self.handle_order(path, body)

    async def keep_announcing(self):
        controls = self.options.control.split(",")
        while True:
            if time.monotonic() < self.down_until or self.state == "gone":
                await asyncio.sleep(0.1)
                continue
            self.sequence += 1
            body = {"service": self.service, "address": self.announced_address,
                    "zone": self.zone, "version": "v1", "slots": 8,
                    "state": self.state, "cold_remaining_ms": 0,
                    "capacity": self.capacity,
                    "labels": ["a", "r1-%d" % (self.number // 5)],
                    "clock_ms": self.clock_ms(), "sequence": self.sequence,
                    "born": self.born_ms}
            for _ in range(3):
                status, _ = await request(
                    self.rng.choice(controls), "PUT",
                    "/filbertpath/instances/" + self.id, body, timeout=1)
                if 200 <= status < 300:
                    self.known_born_ms = body["born"]
                    break
            if self.old_announcement and self.rng.random() < 0.3:
                await request(self.rng.choice(controls), "PUT",
                              "/filbertpath/instances/" + self.id,
                              self.old_announcement, timeout=1)
            if self.options.resize:
                self.old_announcement = body
            await asyncio.sleep(0.5)

    async def run(self):
        await serve(self.address, self.handle_request, self.writers,
                    closes=["header", "silently"][self.number % 2]
                    if self.options.closes else "")
        asyncio.ensure_future(self.keep_announcing())
        while True:
            self.end_due_runs()
            await asyncio.sleep(0.01)


TICKET_MS = 1500
POLICY_FAULTS = ["slow", "busy", "status", "cut", "rows", "silent"]


def make_ticket(target, step):
    """Tickets are "TARGET/STEP@TIME", with the millisecond of their issue; without
    a step they hold for all."""
    return "%s/%s@%d" % (target, step, time.monotonic() * 1000)


def ticket_is_valid(ticket, target, step, valid_ms):
    name, _, issued_ms = ticket.partition("@")
    return (name in (target, "%s/%s" % (target, step)) and
            time.monotonic() * 1000 <= int(issued_ms) + valid_ms)


async def serve_policy(address, invalid=0.0, seed=1, faults=0.0):
    """Serves a placement policy that grants about 7 of 10 targets to a step,
    always the same ones and one of the first four. invalid: share of answers with an invalid entry;
    faults: share of queries that meet one of POLICY_FAULTS."""
    rng = random.Random(seed)

    async def answer_query(_path, _fields, body):
        await asyncio.sleep(0.005 + 0.0002 * len(body["workers"]))
        return await answer_with_faults(
            [[w, make_ticket(w, body["step"])] for w in body["workers"]
             if shop_grants(body["step"], w)], rng, faults, invalid)
    await serve(address, answer_query)


def shop_grants(step, target):
    step = step[:18]
    sure = "t-%03d" % (zlib.crc32(step.encode()) % 4)
    return (target.startswith(sure) or
            zlib.crc32((step + target).encode()) % 10 < 7)


async def answer_with_faults(granted, rng, faults, invalid):
    fault = rng.choice(POLICY_FAULTS) if rng.random() < faults else ""
    if fault == "slow":
        await asyncio.sleep(0.2 + 1.5 * rng.random())
    answer = {"granted": granted, "valid_ms": TICKET_MS}
    if fault == "busy":
        return 429, {}
    if fault == "status":
        return rng.choice([400, 404, 500, 503]), {}
    if fault == "silent":
        return None
    if fault == "cut":
        data = json.dumps(answer).encode()
        return 200, data[:rng.randrange(len(data))]
    if fault == "rows":  # the rows of some targets cannot be read
        answer["granted"] = [row if rng.random() < 0.3 else
                             rng.choice([None, [5, row[1]], row[:1],
                                         [row[0], None]])
                             for row in granted]
    if rng.random() < invalid:
        return 200, add_invalid_entries(answer, rng)
    return 200, answer


async def run_targets(options):
    rng = random.Random(options.seed)
    checker = InvariantChecker()
    checker.evacuated_file = options.evacuated
    targets = [Target(i, options, checker, rng) for i in range(options.count)]

    if options.site == "shop":  # that of the yard is a process of its own
        await serve_policy("127.0.0.9:%d" % options.port, options.invalid,
                           options.seed, options.policy_faults)
    for target in targets:
        asyncio.ensure_future(target.run())
    def deafen_half():
        for target in targets[::2]:
            target.deaf_until = time.monotonic() + options.deaf_for

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, deafen_half)
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, ended.set)
    deadline = time.monotonic() + options.seconds
    next_restart = time.monotonic() + (options.restart or 1e9)
    next_resize = time.monotonic() + (options.resize or 1e9)
    departing = targets[::3] if options.depart else []
    next_depart = time.monotonic() + options.depart
    next_deaf = time.monotonic() + (options.deaf or 1e9)
    while time.monotonic() < deadline and not ended.is_set():
        await asyncio.sleep(0.1)
        if time.monotonic() >= next_restart:
            rng.choice(targets).restart()
            next_restart += options.restart
        if time.monotonic() >= next_deaf:
            rng.choice(targets).deaf_until = next_deaf + options.deaf_for
            next_deaf += options.deaf
        if time.monotonic() >= next_depart:
            for target in departing:
                asyncio.ensure_future(target.depart())
            departing = []
        if time.monotonic() >= next_resize:
            rng.choice(targets).resize()
            next_resize += options.resize
    print("violations: %d" % checker.violations)
    print("starts: %d, ends: %s" % (checker.start_count, checker.end_counts),
          file=sys.stderr)
    return 1 if checker.violations else 0


async def run_configure(options):
    config = dict(CONFIG if options.site == "shop" else yard_config(),
                  version=options.version)
    if options.max_attempts:
        config["routes"] = [dict(route, max_attempts=options.max_attempts)
                            for route in config["routes"]]
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


async def run_job(options, rng, number, results):
    fronts = options.front.split(",")
    queue = options.queue or rng.choice(["/quotes/", "/batches/"])
    name = "%016x" % (options.seed * 1000000 + number)
    steps = [{"count": options.tasks or 1 + rng.randrange(5),
              "cpu": options.cpu, "mem_mb": 512 * options.cpu // 2000,
              "estimated_ms": 200}
             for _ in range(1 if options.tasks else 1 + rng.randrange(2))]
    for i in range(1, len(steps)):
        steps[i]["after"] = [i - 1]
    spec = {"cpu": options.cpu, "until_ms": options.until_ms, "ms": options.ms or 50 + rng.randrange(200),
            "saves": not options.tasks, "padding": "x" * options.padding}
    for step in steps:
        step["checkpointing"] = not options.tasks
    if options.deadly and rng.random() < options.deadly:
        spec["deadly"] = True
    body = {"spec": json.dumps(spec), "steps": steps}
    headers = {"Host": "shop.example", "Authorization": "Bearer key-shops"}
    await asyncio.sleep(number * options.gap)
    status = 0
    for _ in range(20):
        status, _ = await request(rng.choice(fronts), "POST", queue + name,
                                  body, headers, timeout=3)
        if status == 200:
            break
        await asyncio.sleep(0.3)
    state = "status %d" % status
    deadline = time.monotonic() + options.patience
    while status == 200 and time.monotonic() < deadline:
        _, answer = await request(rng.choice(fronts), "GET", queue + name,
                                  None, headers, timeout=3)
        state = (answer or {}).get("state", state)
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(0.1)
    results[state] = results.get(state, 0) + 1


FINISH_S = 14.0  # from the end of the traffic until each job must have a turn
IDLE_S = 3.0     # for which a job that could run may have nothing running


def count_places(step, cpu):
    """Tasks of this size that fit on the empty targets granted to a step."""
    return 16000 // cpu * sum(yard_grants(step, "t-%03d" % i)
                              for i in range(YARD_TARGETS))


def draw_yard_job(options, rng, number):
    """Returns the first digit, the ID and the body of a job. A gang that is not
    hopeless fits twice on the targets that are granted to it."""
    hopeless = number < options.hopeless
    draw = rng.random()
    digit = ("1" if hopeless or draw < options.long else
             "2" if draw < options.long + 0.1 else "3")
    name = "%s%s%014x" % (digit, HOPELESS_DIGIT if hopeless else "0",
                          options.seed * 1000000 + number)
    cpu, ms = {"1": (4500, 500), "2": (980, 900), "3": (1400, 300)}[digit]
    cpu = int(cpu * (0.6 + 0.8 * rng.random()))
    ms = int(ms * (0.5 + rng.random()))
    mean, most = {"1": (8, 20), "2": (8, 20), "3": (2, 12)}[digit]
    count = max(1, min(most, int(rng.expovariate(1 / mean))))
    if hopeless:
        count = count_places(name + ".0.0", cpu) + 1 + count
    elif digit == "1":
        count = max(1, min(count, count_places(name + ".0.0", cpu) // 2))
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": ms,
            "checkpointing": True}
    spec = {"cpu": cpu, "ms": ms, "saves": True}
    if digit == "1":
        step["gang"] = True
        spec["gangs"] = {"0": count}
    return digit, name, {"spec": json.dumps(spec), "steps": [step]}


async def run_yard_job(options, rng, number, results):
    start_s = time.monotonic()
    digit, name, body = draw_yard_job(options, rng, number)
    path = "/%s/%s" % (YARD_QUEUES[digit]["name"], name)
    fronts = options.front.split(",")
    headers = {"Host": "shop.example", "Authorization": "Bearer key-shops"}
    work_s = json.loads(body["spec"])["ms"] / 1000
    deadline = (start_s + max((options.count - 1) * options.gap,
                              options.sound_after) +
                FINISH_S + IDLE_S + work_s)
    await asyncio.sleep(number * options.gap)
    state = ""
    while state not in ("completed", "failed") and time.monotonic() < deadline:
        if not state:
            status, _ = await request(rng.choice(fronts), "POST", path, body,
                                      headers, timeout=3)
            state = "accepted" if status == 200 else ""
            await asyncio.sleep(0.3 if status else 0.1)
            continue
        _, answer = await request(rng.choice(fronts), "GET", path, None,
                                  headers, timeout=3)
        state = (answer or {}).get("state", state)
        await asyncio.sleep(0.5)
    if name[1] == HOPELESS_DIGIT:
        state = "hopeless"
    elif state != "completed":
        print("UNFINISHED: %s, %s %.1f s after it came: %s" % (
            name, state or "not accepted",
            time.monotonic() - start_s - number * options.gap,
            json.dumps(body["steps"])), file=sys.stderr, flush=True)
        state = "%s unfinished" % YARD_QUEUES[digit]["name"]
    results[state] = results.get(state, 0) + 1


async def run_jobs(options):
    rng = random.Random(options.seed)
    results = {}
    run = run_job if options.site == "shop" else run_yard_job
    await asyncio.gather(*(run(options, rng, i, results)
                           for i in range(options.count)))
    for state in sorted(results):
        print("%s: %d" % (state, results[state]))
    return 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("mode", choices=["targets", "configure", "jobs"])
    parser.add_argument("--count", type=int, default=5)
    parser.add_argument("--control", default="127.0.0.1:18688")
    parser.add_argument("--front", default="127.0.0.5:18686")
    parser.add_argument("--port", type=int, default=18465)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--late", type=float, default=0)
    parser.add_argument("--outlive", action="store_true",
                        help="late orders reach the next incarnation, once the "
                        "leader has called that")
    parser.add_argument("--closes", action="store_true",
                        help="targets close each connection with its response, "
                        "every other one without a header that says so")
    parser.add_argument("--lost", type=float, default=0)
    parser.add_argument("--failures", type=float, default=0)
    parser.add_argument("--restart", type=float, default=0)
    parser.add_argument("--deaf", type=float, default=0,
                        help="seconds between targets that stop answering")
    parser.add_argument("--deaf-for", type=float, default=2.5,
                        help="seconds for which one does, while it runs on")
    parser.add_argument("--resize", type=float, default=0)
    parser.add_argument("--depart", type=float, default=0,
                        help="seconds until every third target leaves, and works on")
    parser.add_argument("--invalid", type=float, default=0,
                        help="share of lists with an invalid entry")
    parser.add_argument("--policy-faults", type=float, default=0,
                        help="share of queries that the policy answers late, "
                        "oddly or not at all")
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--evacuated", default="")
    parser.add_argument("--deadly", type=float, default=0)
    parser.add_argument("--gap", type=float, default=0.02)
    parser.add_argument("--site", choices=["shop", "yard"], default="shop")
    parser.add_argument("--long", type=float, default=0.08,
                        help="share of gangs among the jobs of the yard")
    parser.add_argument("--sound-after", type=float, default=0,
                        help="seconds until the yard has no fault any more")
    parser.add_argument("--hopeless", type=int, default=0,
                        help="number of the yard's first jobs that never fit")
    parser.add_argument("--ms", type=int, default=0,
                        help="run time of each task; 0: 50 to 250")
    parser.add_argument("--padding", type=int, default=0,
                        help="bytes added to each job")
    parser.add_argument("--patience", type=float, default=20)
    parser.add_argument("--queue", default="", help="of all jobs, such as /batches/")
    parser.add_argument("--tasks", type=int, default=0, help="of each job")
    parser.add_argument("--cpu", type=int, default=2000, help="of each task")
    parser.add_argument("--until-ms", type=int, default=0,
                        help="all tasks end at this time, ms since 1970")
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--max-attempts", type=int, default=0,
                        help="of all queues; 0: as they are")
    options = parser.parse_args()
    run = {"targets": run_targets, "configure": run_configure,
           "jobs": run_jobs}[options.mode]
    code = asyncio.new_event_loop().run_until_complete(run(options))
    # asyncio.run() would cancel what still runs, and wait for ever for a task
    # whose cancellation was lost in asyncio.wait_for().
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
