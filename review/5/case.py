"""Minions crash at random, two at a time; all jobs can be done."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from common import (Minion, configuration, new_id, put_config, route, run_case,
                    state_of, submit)

MINIONS = 35        # of the service storefront
CRASH_EVERY_S = 0.6
CRASHES = 40        # times, of two minions each
DOWN_S = 1.0        # so at most 4 of 35 (0.114) are down at once
JOBS_PER_S = 10
MAX_ATTEMPTS = 3


class Crasher:
    """Ends minions and starts them again under their IDs, as new lives."""

    def __init__(self, world, controls):
        self.world, self.controls = world, controls
        self.again = []

    async def crash(self, count):
        for minion in random.sample(self.world.minions, count):
            await minion.end()
            self.again.append(asyncio.ensure_future(self.start_again(minion)))

    async def start_again(self, minion):
        await asyncio.sleep(DOWN_S)
        await new_minion(self.world, minion.name, self.controls,
                         minion.address).start()


def new_minion(world, name, controls, address=None):
    return Minion(world, name, "store", controls, cpu=32000, address=address,
                  seconds=lambda task: random.uniform(0.4, 1.0))


async def hand_in(site, end_s, jobs):
    while site.record.now() < end_s:
        job = new_id()
        jobs.append(job)
        await submit(site, "quotes", [
            {"count": 6, "cpu": 3000, "mem_mb": 64, "estimated_ms": 700},
            {"count": 6, "cpu": 3000, "mem_mb": 64, "estimated_ms": 700,
             "after": [0]}], job)
        await asyncio.sleep(random.uniform(0.5, 1.5))


async def steps(site, world, record, trouble):
    site.start()
    await site.leader()
    await put_config(site, configuration(
        1, [route("quotes", "store", max_attempts=MAX_ATTEMPTS)], ["store"]))
    controls = [core.control for core in site.cores]
    for i in range(MINIONS):
        await new_minion(world, "i-%d" % (i + 1), controls).start()
    await asyncio.sleep(3)
    jobs = []
    end_s = record.now() + CRASHES * CRASH_EVERY_S + 2
    clients = [asyncio.ensure_future(hand_in(site, end_s, jobs))
               for _ in range(JOBS_PER_S)]
    crasher = Crasher(world, controls)
    await asyncio.sleep(1)
    for _ in range(CRASHES):
        if trouble:
            await crasher.crash(2)
        await asyncio.sleep(CRASH_EVERY_S)
    await asyncio.gather(*clients, *crasher.again)
    await asyncio.sleep(14)  # finish_s
    for job in jobs:
        state = await state_of(site, "quotes", job)
        if state != "failed":
            continue
        record.breaks("LOST", "%s is shown as failed; no run of it has ended "
                      "failed, and max_attempts is %d" % (job, MAX_ATTEMPTS))
    record.write("%d jobs, %d shown as failed" % (len(jobs),
                                                  len(record.broken)))

run_case(os.path.dirname(os.path.abspath(__file__)), steps)
