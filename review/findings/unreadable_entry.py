"""One entry with bytes that can't be read, and no machine serves after the processes have been killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w

RECOVERY_S = w.BOUNDS["recovery_s"]
DOWN_S = 1.0         # the processes are down
MEASURED_S = 8.0     # before the fault, and after the recovery time
ROUTE = {"name": "recording", "host": w.HOST, "path_prefix": "/recording/", "route_kind": "safe",
         "timeout_ms": 1200, "full_credit_ms": 250, "priority": 2, "service": "desk", "max_attempts": 2}


async def run_plain(server, identity, headers, body, writer):
    writer.write(w.response(200, b"found", [("Attempt-Id", identity), ("Server-Seal", w.seal(server, identity))]))
    await writer.drain()


async def ask(daemon, number):
    """Whether a request is served."""
    try:
        channel = await w.Channel.open(daemon)
        channel.send(f"/recording/{number}", f"c0ffee{number:04d}", 2500, method="GET", body=b"")
        status, _ = await asyncio.wait_for(channel.head(), 2.5)
        channel.close()
        return status
    except (OSError, EOFError, asyncio.TimeoutError):
        return 0


async def measure(world, text, first):
    statuses, until = {}, world.record.now() + MEASURED_S
    served = number = 0
    while world.record.now() < until:
        for daemon in world.daemons:
            number += 1
            status = await ask(daemon, first + number)
            statuses[status] = statuses.get(status, 0) + 1
            served += status == 200
        await asyncio.sleep(0.1)
    ready = [await daemon.ready() for daemon in world.daemons]
    world.record.line(f"{text}: {served} of {number} served, by status {statuses}; ready: {ready}")
    return served / number


async def play(world):
    record = world.record
    await world.start(3, [("desk", "d-a", run_plain), ("desk", "d-b", run_plain)], extra_routes=[ROUTE])
    await asyncio.sleep(3)
    if world.trouble:
        # an entry as another writer left it: the store returns its bytes as they are
        world.store.put("servers", "x-other", {"service": w.UNREADABLE, "address": w.UNREADABLE})
        record.line("another writer has written an entry with bytes that can't be read")
    before = await measure(world, "before the fault", 0)
    for daemon in world.daemons:
        daemon.kill()
    record.line("all processes are killed")
    await asyncio.sleep(DOWN_S)
    for daemon in world.daemons:
        daemon.start(False)
    await asyncio.sleep(RECOVERY_S)
    after = await measure(world, "later than recovery_s after the machines are back", 5000)
    if before < 0.25:
        raise RuntimeError("less than a quarter was served before the fault")
    return after < 0.25


if __name__ == "__main__":
    w.main(__file__, play)
