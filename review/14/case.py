"""A start order without a response reaches the minion's next life: the task, which
has ended done, runs again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet3

JOB = "5c0e7a21d94b36f8"
LATE_S = 8.0  # orders may be carried out 2 to 12 s later
DOWN_S = 1.5
FIRST_LIFE_S = 5.0  # of the minions before the job: their clocks run from 0
OTHER = "5c0e7a21d94b36f9"
OTHER_TASKS = 24  # their starts are answered: of all starts one in 26 is late
MINIONS = 8  # of which one crashes


async def case(fleet, judge, group):
    client = fleet3.Client(fleet.record)
    held = []

    def hold_back(minion):
        def decide(path, order):
            if (fleet3.TROUBLE and not held and path.endswith("run-start") and
                    order["task"].startswith(JOB)):
                held.append(minion)
                return LATE_S
            return 0
        return decide

    await fleet.configure(fleet3.make_config())
    await fleet.wait_ready()
    await fleet3.start_minions(fleet, group)
    await asyncio.sleep(FIRST_LIFE_S)
    await client.call(fleet.front(), "POST", OTHER,
                      fleet3.make_job(400, count=OTHER_TASKS))
    await fleet3.wait_for("the other job has run", lambda: sum(
        task.startswith(OTHER) for task in judge.noted) == OTHER_TASKS, 10)
    for minion in group:
        minion.hold_back = hold_back(minion)
    status, _ = await client.call(fleet.front(), "POST", JOB,
                                  fleet3.make_job(400))
    if status != 200:
        raise fleet3.CannotRun("the job was not accepted")

    async def is_completed():
        _, answer = await client.call(fleet.front(), "GET", JOB)
        await asyncio.sleep(0.2)
        return (answer or {}).get("state") == "completed"
    await fleet3.wait_for("the job is completed", is_completed, 10)
    await fleet3.wait_for("its end is taken note of", lambda: any(
        task.startswith(JOB) for task in judge.noted), 10)
    if fleet3.TROUBLE:
        minion = held[0]
        if [s[1] for s in judge.starts if s[2].startswith(JOB)] != [minion.id]:
            raise fleet3.CannotRun("the second copy went elsewhere")
        minion.crash()
        await asyncio.sleep(DOWN_S)
        minion.start()
        await fleet3.wait_for("the new life is known", lambda:
                              minion.acked_beats and minion.holds_answered > 1,
                              5)
        fleet.record.add("case", "the system calls the new life of %s"
                         % minion.id)
    await asyncio.sleep(LATE_S + 2)


fleet3.main(case, __file__, minions=MINIONS)
