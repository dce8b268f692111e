"""More than 500 tasks end on one minion while all core processes are restarted."""
import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import cell as stand

JOBS = 13
TASKS = 50  # of each job: 650 in all
WORK_S = 9.0  # the tasks of all jobs end together, this long after the first
DOWN_S = 0.8


class WatchedMinion(stand.Minion):
    """Knows which ends are taken note of, and what starts after them."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.done = {}     # task -> when its run ended done
        self.lapsed_s = 0  # when its lease was last found lapsed
        self.again = []    # (task, run, when) of starts after such an end
        self.noted = {}    # task -> when last_seen reached that end

    def end(self, task, how):
        if how == "done":
            self.done.setdefault(task, time.monotonic())
        super().end(task, how)

    async def obey(self, order, fields, body):
        if self.clock_ms() >= self.lease_end_ms:
            self.lapsed_s = time.monotonic()
        return await super().obey(order, fields, body)

    def begin(self, body):
        started = len(self.begun)
        answer = super().begin(body)
        if len(self.begun) > started and body["task"] in self.done:
            self.again.append((body["task"], body["run"], time.monotonic()))
        return answer

    async def hold(self, body):
        for number, task, _, how, _ in self.ends:
            if number <= body["last_seen"] and how == "done":
                self.noted.setdefault(task, time.monotonic())
        return await super().hold(body)

    def judge(self, rule):
        for task, run, started_s in self.again:
            noted_s = self.noted.get(task)
            if noted_s is None or self.done[task] < self.lapsed_s < noted_s:
                continue
            rule.report("TWICE: %s: run %d started on %s %.2f s after a run had "
                        "ended done, which is taken note of" % (
                            task, run, self.id, started_s - self.done[task]))


async def play(cell, rule, trouble):
    minions = [WatchedMinion(cell, number, rule) for number in range(6)]
    busy = minions[0]
    busy.kind = "b"
    await cell.start_all([stand.queue()])
    for minion in minions:
        await minion.start()
    await asyncio.sleep(3)
    end_s = time.monotonic() + WORK_S
    jobs = ["%016x" % (0xa100 + number) for number in range(JOBS)]
    step = {"count": TASKS, "cpu": 45, "mem_mb": 64, "estimated_ms": 8000,
            "requirements": "b"}
    for job in jobs:
        work_ms = int((end_s - time.monotonic()) * 1000)
        if not await stand.submit(cell, job, [step],
                                  json.dumps({"work_ms": work_ms})):
            raise stand.CannotRun("a job was not accepted")
    await asyncio.sleep(max(end_s - 0.5 - time.monotonic(), 0))
    if len(busy.runs) < JOBS * TASKS:
        raise stand.CannotRun("%d tasks are at work" % len(busy.runs))
    if trouble:
        for ip in cell.cores:
            cell.signal(ip, signal.SIGKILL)
            cell.processes[ip].wait()
        await asyncio.sleep(DOWN_S)
        cell.record("ends that are not taken note of:", len(busy.ends))
        for ip in cell.cores:
            cell.start(ip, first=False)
    await asyncio.sleep(20)
    for job in jobs:
        cell.record("client: GET", job, "->", await stand.state(cell, job))
    for minion in minions:
        minion.judge(rule)
        minion.stop("the case is over")

stand.run_case(FOLDER, play)
