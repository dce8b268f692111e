"""A minion goes down and up by turns; a job that lasts can run only there."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

TURNS = 6
PERIOD_S = 1.4  # the time that it is up, and the time that it is down


async def play(fleet, trouble):
    def work(run):
        lasts = json.loads(run.spec).get("lasts")
        return (3600.0 if lasts else 0.7), "done"

    big = {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
    flapping = fleet.add_minion("storefront", ["b", "r1-0"], big, work)
    for number in range(1, 10):
        fleet.add_minion("storefront", ["a", "r1-%d" % number], big, work)
    await fleet.start(harness.config(1, [
        harness.route("/racks/", "storefront", max_attempts=4)]))
    watch = "5c0e7a21d94b0001"
    status, _ = await fleet.call("POST", "/racks/" + watch, {
        "spec": json.dumps({"lasts": True}),
        "steps": [{"count": 1, "cpu": 8000, "mem_mb": 8000,
                   "estimated_ms": 4000, "long_running": True,
                   "requirements": "b"}]})
    if status != 200:
        raise harness.CannotRun("the job was answered with %d" % status)
    await asyncio.sleep(2)
    for _ in range(TURNS):
        if trouble:
            await flapping.crash()
            await asyncio.sleep(PERIOD_S)
            await flapping.start()
        await asyncio.sleep(PERIOD_S)
    fleet.record.write("no disruption from here on")
    await asyncio.sleep(14)
    status, body = await fleet.call("GET", "/racks/" + watch)
    runs = fleet.world.of_job(watch)
    failed = [run for run in runs if run.how == "failed"]
    state = body.get("state") if isinstance(body, dict) else None
    if status != 200 or state not in ("queued", "running"):
        fleet.record.broken("LOST", (
            "nobody has cancelled %s, and %d of its %d runs have ended failed; "
            "it is shown as %s (%d)" % (watch, len(failed), len(runs), state,
                                        status)))
    if not any(run.ended is None for run in runs):
        last = max((run.ended for run in runs), default=0)
        fleet.record.broken("LOST", (
            "nothing of %s runs, %.1f s after its last run" % (
                watch, fleet.record.now() - last)))


harness.main(play, FOLDER)
