"""A start is carried out late, by a minion that was started again meanwhile."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

LATE_S = 4.0  # the pages: 2 to 12 s


class SlowlyReached(harness.Minion):
    """A proxy before it holds back the first start order that comes, without an
    answer, and passes it on later to the process that serves the address then."""

    delays = False

    async def is_delivered(self, path, body):
        if self.delays and path.endswith("run-start"):
            self.delays = False
            self.fleet.late.add(asyncio.ensure_future(
                self.deliver_late(path, body)))
            return False
        return True

    async def deliver_late(self, path, body):
        self.record.write("start %s run %d for %s gets no answer" % (
            body["task"], body["run"], self.id))
        await asyncio.sleep(LATE_S)
        status, obj = await self.answer(path, {"x-expect-instance": self.id},
                                        body)
        self.record.write("start %s run %d reaches %s late: %d %s" % (
            body["task"], body["run"], self.id, status, obj))


async def play(fleet, trouble):
    def work(_run):
        return 12.0, "done"

    big = {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
    fleet.late = set()
    for number in range(8):
        fleet.add_minion("storefront", ["a", "r1-%d" % number], big, work,
                         SlowlyReached)
    await fleet.start(harness.config(1, [
        harness.route("/rolls/", "storefront")]))
    for minion in fleet.minions:
        minion.delays = trouble
    job = "5c0e7a21d94b0001"
    status, _ = await fleet.call("POST", "/rolls/" + job, {
        "spec": json.dumps({"lot": 7}),
        "steps": [{"count": 1, "cpu": 6600, "mem_mb": 6700,
                   "estimated_ms": 12000}]})
    if status != 200:
        raise harness.CannotRun("the job was answered with %d" % status)
    await asyncio.sleep(2.5)
    used = [minion for minion in fleet.minions if minion.running]
    if len(used) != 1:
        raise harness.CannotRun("the task is not at work")
    for minion in fleet.minions:
        minion.delays = False
    if trouble:
        await used[0].crash()
        await asyncio.sleep(0.3)
        await used[0].start()
    await asyncio.sleep(18)
    status, body = await fleet.call("GET", "/rolls/" + job)
    fleet.record.write("the job: %d %s" % (status, body))
    fleet.world.judge_twice()


harness.main(play, FOLDER)
