#!/usr/bin/env python3
"""A placement policy that grants every target to every step and notes who asks.

  askers.py ADDRESS:PORT

On SIGTERM, prints the addresses that queries came from.
"""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standin  # noqa: E402

QUERY_S = 0.15


async def main():
    askers = set()
    ended = asyncio.Event()

    async def answer_query(_path, fields, body):
        askers.add(fields["client-address"])
        await asyncio.sleep(QUERY_S)
        return 200, {"valid_ms": standin.TICKET_MS, "granted": [
            [w, standin.make_ticket(w, body["step"])]
            for w in body["workers"]]}

    await standin.serve(sys.argv[1], answer_query)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    print("askers: " + " ".join(sorted(askers)), flush=True)
    os._exit(0)  # the hosts hold their connections open


asyncio.run(main())
