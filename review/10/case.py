"""The DELETE of a minion that has ended arrives after it was started again."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import cell as stand

JOB = "00000000000000a1"
MINIONS = 8
CUT_S = 4.3   # the minion is cut off from the core
SENT_AGAIN_S = 6.2  # the kernel sends unacknowledged bytes again after 0.2, 0.6,
                    # 1.4, 3.0 and 6.2 s
UNACKNOWLEDGED_S = 1.0  # until it ends without an acknowledgement


async def play(cell, rule, trouble):
    minions = [stand.Minion(cell, number, rule) for number in range(MINIONS)]
    victim = minions[0]
    victim.rack = "r1-9"  # so that its tasks are near their data there
    link = stand.Link(cell.control[0], "127.0.1.1:%d" % (cell.port + 7))
    await link.start()
    await cell.start_all([stand.queue()])
    for minion in minions:
        await minion.start()
    await asyncio.sleep(3)

    # It drains, without any work, and leaves.
    await victim.drain(2.0)
    await asyncio.sleep(2.3)
    victim.beats.cancel()
    link.is_held = trouble
    cell.record(victim.id, "sends DELETE" +
                (", which the cut holds up" if trouble else ""))
    status, _ = await stand.call(link.own_address, "DELETE",
                                 "/filbertpath/instances/" + victim.id,
                                 timeout_s=UNACKNOWLEDGED_S)
    cell.record(victim.id, "DELETE ->", status or "no acknowledgement")
    victim.stop("it has drained")

    # The cut is over when it starts again, under the same ID. Its connections are
    # new; the bytes of the old one are sent again later.
    await asyncio.sleep(CUT_S - (UNACKNOWLEDGED_S if trouble else 0))
    await victim.start()
    await asyncio.sleep(0.7)
    step = {"count": 4, "cpu": 4000, "mem_mb": 512, "estimated_ms": 20000,
            "data_rack": victim.rack}
    if not await stand.submit(cell, JOB, [step], json.dumps({"work_ms": 20000})):
        raise stand.CannotRun("the job was not accepted")
    await stand.wait_for(lambda: len(victim.runs) > 0, 1.0,
                         "the minion has no tasks")
    await asyncio.sleep(max(0, victim.start_s - CUT_S + SENT_AGAIN_S -
                               time.monotonic()))
    link.is_held = False
    if trouble:
        cell.record("the held DELETE is delivered")
    await asyncio.sleep(5)
    for minion in minions:
        minion.stop("the case is over")

stand.run_case(FOLDER, play)
