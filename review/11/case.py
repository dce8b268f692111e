"""A minion is cut off for 3 s and runs on; meanwhile 650 small tasks end on it."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

JOBS = 13
TASKS = 50  # of each job: 650 in all
WORK_S = 9.0  # all tasks wait for the same input, and end together


async def play(fleet, trouble):
    end_at = [0.0]

    def work(_run):
        return max(end_at[0] - time.monotonic(), 0.1), "done"

    big = {"cpu": 64000, "mem_mb": 65536, "gpu": 0}
    cut = fleet.add_minion("storefront", ["b", "r1-1"], big, work)
    for number in range(5):
        fleet.add_minion("storefront", ["a", "r1-%d" % number], big, work)
    await fleet.start(harness.config(1, [harness.route("/rolls/",
                                                       "storefront")]))
    end_at[0] = time.monotonic() + WORK_S
    ids = ["5c0e7a21d94b%04x" % n for n in range(JOBS)]
    step = {"count": TASKS, "cpu": 50, "mem_mb": 64, "estimated_ms": 8000,
            "requirements": "b"}
    for job in ids:
        status, _ = await fleet.call("POST", "/rolls/" + job, {
            "spec": json.dumps({"input": "lot-7"}), "steps": [step]})
        if status != 200:
            raise harness.CannotRun("a job was answered with %d" % status)
    await asyncio.sleep(max(end_at[0] - 1.0 - time.monotonic(), 0))
    started = sum(len(runs) for runs in fleet.world.runs.values())
    if started < JOBS * TASKS:
        raise harness.CannotRun("%d tasks have started" % started)
    if trouble:
        fleet.record.write("%s is cut off, and runs on" % cut.id)
        cut.is_cut = True
        await asyncio.sleep(3.0)
        fleet.record.write("%s is connected again" % cut.id)
        cut.is_cut = False
    await asyncio.sleep(12)
    for job in ids:
        status, body = await fleet.call("GET", "/rolls/" + job)
        if status != 200 or body.get("state") != "completed":
            fleet.record.broken("LOST", "%s is not completed: %d %s" % (
                job, status, body))
    fleet.world.judge_twice()


harness.main(play, FOLDER)
