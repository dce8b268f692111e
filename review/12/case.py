"""Minions that end each connection with its response: no end of a run is ever
acknowledged to them, and after 500 ends on each of them no job goes on."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet3

JOBS = 40
TASKS = 60
FINISH_S = 14.0  # from the end of the traffic until jobs are asked for
IDLE_S = 3.0  # for which the rule lets a job have nothing running


async def case(fleet, judge, group):
    client = fleet3.Client(fleet.record)
    await fleet.configure(fleet3.make_config())
    await fleet.wait_ready()
    for minion in group:
        minion.closes = fleet3.TROUBLE
    await fleet3.start_minions(fleet, group)
    ids = ["5c0e7a21d94b%04x" % i for i in range(JOBS)]
    for job in ids:
        status, _ = await client.call(fleet.front(), "POST", job,
                                      fleet3.make_job(100, count=TASKS, cpu=200))
        if status != 200:
            raise fleet3.CannotRun("a job was not accepted")
    await asyncio.sleep(FINISH_S)
    idle_since = fleet.record.seconds()
    left = ids
    while left and fleet.record.seconds() < idle_since + IDLE_S + 2:
        if any(minion.runs for minion in group):
            idle_since = fleet.record.seconds()
        still = []
        for job in left:
            _, answer = await client.call(fleet.front(), "GET", job)
            if (answer or {}).get("state") != "completed":
                still.append(job)
        left = still
        await asyncio.sleep(0.5)
    for minion in group:
        fleet.record.add("judge", "%s has listed %d ends; note was taken of %d"
                         % (minion.id, minion.last_end, minion.seen))
    idle = fleet.record.seconds() - idle_since
    if left and idle > IDLE_S:
        judge.report("LOST", "%.0f s after the last was accepted, %d of %d jobs "
                     "aren't completed, and all minions were idle for %.1f s"
                     % (FINISH_S + idle, len(left), JOBS, idle))


fleet3.main(case, __file__)
