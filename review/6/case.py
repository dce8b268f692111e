"""A core machine is replaced as planned; right after it has left, one of the others
loses its disk."""
import asyncio
import json
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import cell as stand

JOBS = 10
CATCH_UP_S = 4.0
GRACE_S = 6.0
DOWN_S = 1.0
RECOVERY_S = 12.0
FINISH_S = 14.0
NEW_CORE = "127.0.0.4"


async def remove_core(cell, ip):
    """SIGTERM, and SIGKILL after grace_s. It does not come back."""
    cell.signal(ip, signal.SIGTERM)
    until_s = time.monotonic() + GRACE_S
    while cell.processes[ip].poll() is None and time.monotonic() < until_s:
        await asyncio.sleep(0.01)
    if cell.processes[ip].poll() is None:
        cell.signal(ip, signal.SIGKILL)
        cell.processes[ip].wait()
    cell.record(ip, "has left for good")


async def lose_disk(cell, ip):
    cell.signal(ip, signal.SIGKILL)
    cell.processes[ip].wait()
    shutil.rmtree(os.path.join(cell.folder, ip))
    cell.record(ip, "has lost its disk")
    await asyncio.sleep(DOWN_S)
    cell.start(ip, first=False)


async def read_config(cell, controls):
    """As the operator does at the end of a day: repeatedly, at any node."""
    until_s = time.monotonic() + 5
    while time.monotonic() < until_s:
        for control in controls:
            status, body = await stand.call(control, "GET", "/filbertpath/config")
            cell.record("operator: GET config at", control, "->", status)
            if status == 200:
                return body["version"]
        await asyncio.sleep(0.3)
    return None


async def play(cell, rule, trouble):
    minions = [stand.Minion(cell, number, rule) for number in range(4)]
    await cell.start_all([stand.queue()])
    for minion in minions:
        await minion.start()
    await asyncio.sleep(3)
    # The new machine comes first, and has catch_up_s and more.
    cell.cores.append(NEW_CORE)
    cell.start(NEW_CORE, first=False)
    await asyncio.sleep(CATCH_UP_S + 2)
    await remove_core(cell, cell.cores[0])
    step = {"count": 1, "cpu": 2000, "mem_mb": 512, "estimated_ms": 500}
    jobs = ["%016x" % (0xa1 + number) for number in range(JOBS)]
    for job in jobs:
        if not await stand.submit(cell, job, [step], json.dumps({"work_ms": 500})):
            raise stand.CannotRun("a job was not accepted")
    cell.control = cell.control[1:]
    await cell.configure([stand.queue()])
    if trouble:
        await lose_disk(cell, cell.cores[1])
    await asyncio.sleep(RECOVERY_S + FINISH_S)
    version = await read_config(cell, cell.control +
                                ["%s:%d" % (NEW_CORE, cell.port + 1)])
    if version != cell.version:
        rule.report("CONFIG: version %d was acknowledged; read back %.0f s after the "
                    "machine was back: %s" % (cell.version, RECOVERY_S + FINISH_S,
                                              version))
    for job in jobs:
        shown = await stand.state(cell, job)
        cell.record("client: GET", job, "->", shown)
        if shown not in ("queued", "running", "completed"):
            rule.report("LOST: job %s was accepted; its state is now: %s"
                        % (job, shown))
    for minion in minions:
        minion.stop("the case is over")

stand.run_case(FOLDER, play)
