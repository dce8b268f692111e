"""A draining minion's DELETE arrives, and the answer to it is lost."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import cell as stand

JOB = "00000000000000a1"
MINIONS = 9
ENDS_ANYWAY_S = 3.0  # after a DELETE without an acknowledgement


class Connection:
    """A connection to a core host that the minion keeps."""

    async def open(self, address):
        ip, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.address = address

    async def call(self, method, path, body=None):
        self.writer.write(stand.request_bytes(method, path, self.address, body))
        try:
            async with asyncio.timeout(1):
                line, _, _ = await stand.read_message(self.reader)
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0


async def leave(cell, minion, links, trouble):
    """The end of a drain: DELETE, over a connection that is open already."""
    connection = Connection()
    await connection.open(links[0].own_address)
    path = "/filbertpath/instances/" + minion.id
    cell.record(minion.id, "heartbeat ->",
                await connection.call("PUT", path, minion.entry()))
    minion.beats.cancel()
    for link in links:
        link.is_deaf = trouble
    if trouble:
        cell.record("cut: nothing from the core reaches", minion.id)
    status = await connection.call("DELETE", path)
    cell.record(minion.id, "DELETE ->", status or "no acknowledgement")
    if status == 0:
        await asyncio.sleep(ENDS_ANYWAY_S)
    minion.stop("it has drained")
    connection.writer.close()


async def play(cell, rule, trouble):
    minions = [stand.Minion(cell, number, rule) for number in range(MINIONS)]
    victim = minions[0]
    victim.rack = "r1-9"  # so that its tasks are near their data there
    links = [stand.Link(address, "127.0.1.1:%d" % (cell.port + 8 + i))
             for i, address in enumerate(cell.control)]
    orders = stand.Link(victim.address, "127.0.1.1:%d" % (cell.port + 7))
    victim.controls = [link.own_address for link in links]
    victim.announced_address = orders.own_address
    for link in links + [orders]:
        await link.start()
    await cell.start_all([stand.queue()])
    for minion in minions:
        await minion.start()
    await asyncio.sleep(3)
    step = {"count": 4, "cpu": 4000, "mem_mb": 512, "estimated_ms": 4500,
            "data_rack": victim.rack, "checkpointing": True}
    spec = json.dumps({"work_ms": 11000, "saves": True})
    if not await stand.submit(cell, JOB, [step], spec):
        raise stand.CannotRun("the job was not accepted")
    await stand.wait_for(lambda: len(victim.runs) > 0, 10,
                         "the minion has no tasks")
    await asyncio.sleep(3)
    await victim.drain(2.0)
    await asyncio.sleep(2.3)
    if not victim.runs:
        raise stand.CannotRun("the minion has no tasks when it leaves")
    cell.record(victim.id, "still at work:", sorted(victim.runs))
    # With the cut, orders of the core do not arrive either.
    orders.is_held = trouble
    await leave(cell, victim, links, trouble)
    orders.is_held = False
    await asyncio.sleep(2)
    for minion in minions[1:]:
        minion.stop("the case is over")

stand.run_case(FOLDER, play)
