#!/usr/bin/env python3
"""The placement policy of the yard (standin.py) as a process of its own.

  policy.py --port N [--turns own|shared] [--phase FROM:SECONDS:TIMES]...

Takes one query of each asking host at a time, in turn, for as long as the queue's
configuration states, and refuses queries with 429 while QUEUE_MAX wait. A query whose
asker has gone is still worked on. It knows its askers by the address that they
call, 127.0.9.N; with shared turns it takes all for one. From FROM seconds after its
first query on it is TIMES as slow for SECONDS, or silent with 0 TIMES.

On SIGTERM, prints what it did with its turns.
"""
import argparse
import asyncio
import functools
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standin  # noqa: E402

HOSTS = [1, 2, 3, 5, 6, 7, 8, 11, 12]
QUEUE_MAX = 32


class TurnsPolicy:
    """query_ms(step, targets): for how long a query takes a turn. grants(step,
    target): whether a target is granted. make_answer(rows) is awaited for the
    response, outside the turn."""

    def __init__(self, query_ms, grants, make_answer, shared):
        self.query_ms = query_ms
        self.grants = grants
        self.make_answer = make_answer
        self.shared = shared
        self.phases = []  # (from, until, times), in seconds from the first query
        self.first_query_s = None
        self.turns = {}  # asker -> lock
        self.waiting = 0
        self.counts = dict.fromkeys(["queries", "answered", "wasted",
                                     "refused", "silent"], 0)
        self.busy_s = 0.0
        self.first_busy_s = {}  # step -> time of its first query

    def start_phase(self, seconds, times):
        """times: how much slower it is; 0: silent."""
        if self.first_query_s is not None:
            now = time.monotonic() - self.first_query_s
            self.phases.append((now, now + seconds, times))

    def slowness(self):
        now = time.monotonic()
        if self.first_query_s is None:
            self.first_query_s = now
        for from_s, until_s, times in self.phases:
            if from_s <= now - self.first_query_s < until_s:
                return times
        return 1

    def count_wasted(self):
        self.counts["wasted"] += 1

    async def answer_query(self, asker, _path, _fields, body):
        self.counts["queries"] += 1
        if self.slowness() == 0:
            self.counts["silent"] += 1
            return None
        if self.waiting >= QUEUE_MAX:
            self.counts["refused"] += 1
            return 429, {}
        step = body["step"]
        turn = self.turns.setdefault("" if self.shared else asker,
                                     asyncio.Lock())
        self.waiting += 1
        async with turn:
            self.waiting -= 1
            busy_s = (self.query_ms(step, body["workers"]) / 1000 *
                      max(self.slowness(), 1))
            await asyncio.sleep(busy_s)
            self.busy_s += busy_s
            self.first_busy_s.setdefault(step, busy_s)
        self.counts["answered"] += 1
        return await self.make_answer([
            [w, standin.make_ticket(w, step)]
            for w in body["workers"] if self.grants(step, w)])

    async def serve(self, address):
        await standin.serve(address,
                            functools.partial(self.answer_query, address),
                            on_lost=self.count_wasted)


async def make_yard_answer(granted):
    return 200, {"valid_ms": standin.YARD_TICKET_MS, "granted": granted}


def yard_query_ms(step, targets):
    queue = standin.YARD_QUEUES[step[0]]
    return queue["decide_ms"] + queue["each_ms"] * len(targets)


async def run(options):
    policy = TurnsPolicy(yard_query_ms, standin.yard_grants,
                         make_yard_answer, options.turns == "shared")
    for phase in options.phase:
        from_s, seconds, times = (float(part) for part in phase.split(":"))
        policy.phases.append((from_s, from_s + seconds, times))
    for host in HOSTS:
        await policy.serve("127.0.9.%d:%d" % (host, options.port))
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    print(", ".join("%s %d" % item for item in policy.counts.items()) +
          ", busy for %.1f s, with one query a step for %.1f s" % (
              policy.busy_s, sum(policy.first_busy_s.values())), flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--turns", choices=["own", "shared"], default="own")
    parser.add_argument("--phase", action="append", default=[])
    asyncio.new_event_loop().run_until_complete(run(parser.parse_args()))
    os._exit(0)


if __name__ == "__main__":
    main()
