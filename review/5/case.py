"""A minion is emptied and taken away; its task goes on elsewhere from its checkpoint,
which is the path of an object in a store."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from common import Minion, configuration, put_config, route, run_case, submit, until

MINIONS = 8  # one of them leaves: 0.125 of the service


class SavingMinion(Minion):
    """Saves a checkpoint each second, as the path of an object."""

    def checkpoint(self, task, run):
        saves = int(self.world.record.now())
        return ("checkpoints/thess/storefront/roll-batch/%s/run-%d/save-%06d"
                % (task, run, saves))


async def steps(site, world, record, trouble):
    site.start()
    await site.leader()
    await put_config(site, configuration(1, [route("batch", "store")],
                                         ["store"]))
    controls = [core.control for core in site.cores]
    for i in range(MINIONS):
        await SavingMinion(world, "i-%d" % (i + 1), "store", controls,
                           seconds=lambda task: 60.0).start()
    await asyncio.sleep(3)
    job = await submit(site, "batch", [
        {"count": 1, "cpu": 2000, "mem_mb": 256, "estimated_ms": 60000,
         "checkpointing": True}])
    await until("the task runs", lambda: world.of(job))
    await asyncio.sleep(3)
    minion = world.of(job)[0][0]
    saved = []
    if trouble:
        await minion.leave_soon(1500)
        await asyncio.sleep(2.5)
        saved = [end[4] for end in minion.ends + minion.seen]
        await minion.end()
    await asyncio.sleep(4)
    for _, task, run, other, checkpoint in world.starts[1:]:
        if checkpoint not in saved:
            record.breaks("UNASKED", "%s is told to start %s run %d with a "
                          "checkpoint of %d characters that isn't the task's; "
                          "saved was %s" % (other.name, task, run,
                                            len(checkpoint), saved))
    if trouble and len(world.starts) < 2:
        record.breaks("LOST", "the task was not started again")

run_case(os.path.dirname(os.path.abspath(__file__)), steps)
