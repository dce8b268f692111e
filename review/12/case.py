"""A client hands in a job under an ID that another client has in use on another
queue. It is acknowledged, never stored, and a GET for it is answered 410."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet3

FIRST = "5c0e7a21d94b36f8"
SECOND = FIRST if fleet3.TROUBLE else "5c0e7a21d94b36f9"


async def case(fleet, judge, group):
    one = fleet3.Client(fleet.record, "client-1", "key-one", "/work/")
    two = fleet3.Client(fleet.record, "client-2", "key-two", "/other/")
    config = fleet3.make_config(tenants=[fleet3.make_tenant("one", "key-one"),
                                         fleet3.make_tenant("two", "key-two")])
    config["routes"].append(dict(config["routes"][0], name="r-b",
                                 path_prefix="/other/"))
    await fleet.configure(config)
    await fleet.wait_ready()
    await fleet3.start_minions(fleet, group)

    status, _ = await one.call(fleet.front(), "POST", FIRST,
                               fleet3.make_job(500))
    if status != 200:
        raise fleet3.CannotRun("the first client's job was not accepted")
    await asyncio.sleep(1)
    status, _ = await two.call(fleet.front(), "POST", SECOND,
                               fleet3.make_job(500, count=3))
    if not 200 <= status < 300:
        return  # to refuse it is allowed
    accepted = fleet.record.seconds()
    await asyncio.sleep(fleet3.BOUNDS["visible_ms"] / 1000 + 1)
    for _ in range(5):
        status, answer = await two.call(fleet.front(), "GET", SECOND)
        if status == 410:
            judge.report("LOST", "a GET for the accepted job of client-2 is "
                         "answered 410, %.1f s after the acknowledgement; it "
                         "had %d starts" % (
                             fleet.record.seconds() - accepted,
                             sum(start[0] > accepted for start in
                                 judge.starts)))
            return
        if (answer or {}).get("state") == "completed":
            return
        await asyncio.sleep(1)


fleet3.main(case, __file__)
