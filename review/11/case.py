"""A core machine is replaced and removed for good, without SIGTERM. Right after that
one of the others loses its disk: there is no leader any more, and all that was accepted
gets no answer."""
import asyncio
import os
import shutil
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet3

CATCH_UP_S = 4.0  # from the start of a new machine until it is no loss
RECOVERY_S = 12.0
FINISH_S = 14.0
CONTACT_S = 3.0
GAP_S = 0.4  # between the removal and the loss of the disk
DOWN_S = 1.0
JOBS = ["5c0e7a21d94b%04x" % i for i in range(10)]


async def lose_power(fleet, ip):
    fleet.signal(ip, signal.SIGKILL)
    await fleet.processes[ip].wait()


async def case(fleet, judge, group):
    client = fleet3.Client(fleet.record)
    await fleet.configure(fleet3.make_config())
    await fleet.wait_ready()
    await fleet3.start_minions(fleet, group)

    successor = fleet.add_core()
    await fleet.start_node(successor)
    await asyncio.sleep(CATCH_UP_S + 2)
    for job in JOBS:
        status, _ = await client.call(fleet.front(), "POST", job,
                                      fleet3.make_job(500))
        if status != 200:
            raise fleet3.CannotRun("a job was not accepted")
    await fleet.configure(fleet3.make_config(version=2))
    leader = await fleet3.wait_for("a leader is known", fleet.leader, 5)
    removed, emptied = [ip for ip in fleet.cores
                        if ip not in (leader, successor)]
    if fleet3.TROUBLE:
        fleet.record.add("platform", "%s leads; %s is removed for good" % (
            leader, removed))
        await lose_power(fleet, removed)
        fleet.cores.remove(removed)
        await asyncio.sleep(GAP_S)
        await lose_power(fleet, emptied)
        shutil.rmtree(os.path.join(fleet.folder, emptied))
        fleet.record.add("platform", "the disk of %s is lost" % emptied)
        await asyncio.sleep(DOWN_S)
        await fleet.start_node(emptied)
    await asyncio.sleep(RECOVERY_S + FINISH_S)

    until = fleet.record.seconds() + CONTACT_S + 2
    lost = set(JOBS)
    while lost and fleet.record.seconds() < until:
        for job in sorted(lost):
            status, _ = await client.call(fleet.front(), "GET", job, timeout=1)
            if status == 200:
                lost.discard(job)
        await asyncio.sleep(0.3)
    answered = 0
    for ip in fleet.cores:
        status, _ = await fleet3.request(fleet.control(ip), "GET",
                                         "/filbertpath/config", timeout=1)
        fleet.record.add("operator", "reads the configuration at %s: %d" % (
            ip, status))
        answered += status == 200
    if lost:
        judge.report("LOST", "%d of %d accepted jobs get no answer %.0f s after "
                     "all machines are back" % (len(lost), len(JOBS),
                                                RECOVERY_S + FINISH_S))
    if not answered:
        judge.report("CONFIG", "the configuration doesn't come at any machine")


fleet3.main(case, __file__)
