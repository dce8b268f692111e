"""Jobs whose only minion refuses their starts as unhealthy are not counted as pending.
"""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import cell as stand

JOBS = 10
MINIONS = 10
UNHEALTHY_S = 6.5
VISIBLE_S = 3.0


async def play(cell, rule, trouble):
    minions = [stand.Minion(cell, number, rule) for number in range(MINIONS)]
    victim = minions[0]
    victim.kind = "c"
    await cell.start_all([stand.queue()])
    for minion in minions:
        await minion.start()
    await asyncio.sleep(3)
    if trouble:
        victim.unhealthy_until_s = time.monotonic() + UNHEALTHY_S
        cell.record(victim.id, "is unhealthy: it answers starts with 503")
    step = {"count": 1, "cpu": 2000, "mem_mb": 512, "estimated_ms": 1000,
            "requirements": victim.kind}
    for number in range(JOBS):
        if not await stand.submit(cell, "%016x" % (0xa1 + number), [step],
                                  json.dumps({"work_ms": 1000})):
            raise stand.CannotRun("a job was not accepted")
    await asyncio.sleep(VISIBLE_S + 2.2)
    if trouble and time.monotonic() > victim.unhealthy_until_s:
        raise stand.CannotRun("too late")
    waiting = JOBS - len({task[:16] for task in victim.begun})
    status, body = await stand.call(cell.front, "GET", "/batches/",
                                    host=stand.HOST,
                                    headers=stand.client_headers(), timeout_s=3)
    cell.record("client: GET /batches/ ->", status, body, "; not begun:", waiting)
    if status == 200 and body["pending"] * 2 < waiting:
        rule.report("MIXED: pending is %d; %d jobs were accepted over visible_ms + "
                    "2 s before and have not begun" % (body["pending"], waiting))
    elif status != 200:
        raise stand.CannotRun("no answer")
    await asyncio.sleep(3)
    for minion in minions:
        minion.stop("the case is over")

stand.run_case(FOLDER, play)
