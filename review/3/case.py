"""A minion is cut off, and the leader is restarted as planned, after a queue has moved
to another service: the minion still runs a task of the queue, and belongs to the old
service."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from common import (Link, Minion, configuration, put_config, route, run_case,
                    submit, until)

MINIONS = 7   # of each service; one of them is cut off: 0.143 of its service
CUT_S = 5.5   # largest of node_cut (servers) in the site file
TERM_S = 0.5  # from the cut to the SIGTERM of the leader
GRACE_S = 6   # the process exits by itself before


async def steps(site, world, record, trouble):
    site.start()
    await site.leader()
    services = ["store", "images"]
    await put_config(site, configuration(
        1, [route("batch", "store")], services))
    controls = [core.control for core in site.cores]
    links = [Link(site, address) for address in controls]
    apart = Minion(world, "i-1", "store", [one.address for one in links],
                   seconds=lambda task: 60.0)
    links.append(Link(site, apart.address))
    apart.announced_address = links[-1].address
    for link in links:
        await link.start()
    others = [Minion(world, "i-%d" % i,
                     "store" if i <= MINIONS else "images", controls,
                     seconds=lambda task: 60.0)
              for i in range(2, 2 * MINIONS + 1)]
    for minion in [apart] + others:
        await minion.start()
    await asyncio.sleep(3)
    job = await submit(site, "batch", [
        {"count": MINIONS, "cpu": 2000, "mem_mb": 256, "estimated_ms": 60000,
         "anti_affinity": 1}])
    await until("one task runs on each minion",
                lambda: len(world.of(job)) == MINIONS)
    await put_config(site, configuration(
        2, [route("spare", "images")], services))
    await put_config(site, configuration(
        3, [route("spare", "images"), route("batch", "images")], services))
    await asyncio.sleep(4)
    leader = await site.leader()
    if trouble:
        record.write("i-1 is cut off")
        for link in links:
            link.cut()
    await asyncio.sleep(TERM_S)
    record.write("the leader, %s, gets SIGTERM" % leader.name)
    leader.signal(signal.SIGTERM)
    await asyncio.sleep(CUT_S - TERM_S)
    if trouble:
        record.write("i-1 is no longer cut off")
        for link in links:
            link.heal()
    await until("%s has ended" % leader.name, lambda: not leader.runs(),
                GRACE_S)
    leader.start()
    await asyncio.sleep(8)

run_case(os.path.dirname(os.path.abspath(__file__)), steps)
