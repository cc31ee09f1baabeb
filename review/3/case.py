"""A planned stop cuts requests that it still accepts more than 3 s after the SIGTERM."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w

STREAMS = 4
EVENTS = 24          # one every 0.25 s: 6 s, half of the route's timeout and of the client's deadline
EVENT_PAUSE_S = 0.25
OPENED_AT_S = 1.85   # after the SIGTERM; the platform's entry has had one miss of the daemon
SENT_AT_S = 3.15     # the first request on these channels
DEADLINE_MS = 12000


async def run_stream(server, identity, headers, body, writer):
    """A sound server: an event every 0.25 s."""
    writer.write(w.stream_head(server, identity))
    for number in range(1, EVENTS + 1):
        writer.write(w.chunk(f"id: {number}\ndata: piece {number}\n\n".encode()))
        await writer.drain()
        await asyncio.sleep(EVENT_PAUSE_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    server.record.line(f"server {server.id} has sent all of {identity}")


async def client(world, entry, daemon, number, start):
    """Opens a channel, sends its first request on it a second later, reads the response."""
    record, identity = world.record, f"c0ffee{number:02d}"
    await asyncio.sleep(max(0, start + OPENED_AT_S - record.now()))
    if not entry.in_rotation(daemon):
        record.line(f"client {identity}: the entry sends no new channels to {daemon.name}")
        return "not in rotation"
    try:
        channel = await w.Channel.open(daemon)
    except OSError:
        record.line(f"client {identity}: no channel")
        return "no channel"
    record.line(f"client {identity}: channel open, {record.now() - start:.2f} s after the signal")
    await asyncio.sleep(max(0, start + SENT_AT_S - record.now()))
    events = 0
    try:
        channel.send(f"/digest/{number}", identity, DEADLINE_MS,
                     [("Model", "m"), ("Token-Count", "1460,80"), ("Prefix-Hash", "5c1e07a2:800,91bd3f06:660")])
        await channel.writer.drain()
        record.line(f"client {identity}: request sent, {record.now() - start:.2f} s after the signal")
        status, _ = await channel.head()
        if status != 200:
            record.line(f"client {identity}: status {status}")
            return f"status {status}"
        async for data in channel.chunks():
            events += data.count(b"data:")
    except (OSError, EOFError) as error:
        outcome = f"cut after {events} of {EVENTS} events, {record.now() - start:.2f} s after the signal"
        record.line(f"client {identity}: {outcome} ({type(error).__name__})")
        return "cut" if events else "closed"
    record.line(f"client {identity}: complete, {events} events")
    return "complete" if events == EVENTS else "short"


async def play(world):
    await world.start(2, [("models", "i-a", run_stream), ("models", "i-b", run_stream)])
    entry = w.Entry(world)
    await asyncio.sleep(5)  # all machines are in touch for stable_ms
    daemon = world.daemons[0]
    await entry.asked.wait()  # so the entry's next question comes a second after the signal
    start = world.record.now()
    if world.trouble:
        daemon.signal(signal.SIGTERM)
    clients = [client(world, entry, daemon, number, start) for number in range(STREAMS)]
    outcomes = await asyncio.gather(*clients)
    world.record.line(f"outcomes: {outcomes}")
    if not any(outcome in ("cut", "short", "complete", "closed") or outcome.startswith("status") for outcome in outcomes):
        raise RuntimeError("no client reached the daemon")
    return any(outcome in ("cut", "short") for outcome in outcomes)


if __name__ == "__main__":
    w.main(__file__, play)
