"""Streams that begin while the store is silent can't be taken up after all processes have been killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w

STREAMS = 16
EVENTS = 100
EVENT_PAUSE_S = 0.15
SILENT_S = 4.5       # the store neither answers nor does what it is asked
STABLE_S = w.BOUNDS["stable_ms"] / 1000
DEADLINE_S = 15


class SilentStore(w.Store):
    silent = False

    async def answer(self, method, target, body):
        if self.silent:
            while self.silent:
                await asyncio.sleep(0.05)
            raise ConnectionError("not done")
        return await super().answer(method, target, body)


async def run_stream(server, identity, headers, body, writer):
    writer.write(w.stream_head(server, identity))
    for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
        writer.write(w.chunk(f"id: {number}\ndata: piece {number}\n\n".encode()))
        await writer.drain()
        await asyncio.sleep(EVENT_PAUSE_S)
        if writer.transport.is_closing():
            return
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def attempt(daemon, path, identity, deadline_s, headers=()):
    try:
        channel = await w.Channel.open(daemon)
        prompt = [("Model", "m"), ("Token-Count", "1460,80"), ("Prefix-Hash", f"5c{identity[-2:]}:800,9{identity[-2:]}:660")]
        channel.send(path, identity, int(deadline_s * 1000), prompt + list(headers))
        await channel.writer.drain()
        status, _ = await channel.head()
        return status, channel
    except (OSError, EOFError):
        return 0, None


async def stream(world, number, back_at):
    """Whether a stream that broke goes on once its client comes back, at machines in touch."""
    record, identity, last = world.record, f"c0ffee{number:02d}", 0
    began = record.now()
    path = f"/digest/{number}"
    status, channel = await attempt(world.daemons[number % 3], path, identity, DEADLINE_S)
    if status != 200:
        return f"status {status}"
    try:
        async for data in channel.chunks():
            ids = [line[3:] for line in data.decode().splitlines() if line.startswith("id:")]
            last = int(ids[-1]) if ids else last
        return "complete"
    except (OSError, EOFError):
        pass
    await asyncio.sleep(max(0, back_at - record.now()))
    for again in range(3):
        left = DEADLINE_S - (record.now() - began)
        if left < 0.5:
            break
        headers = [("Last-Event-Id", str(last)), ("Resumes", identity)]
        daemon = world.daemons[(number + again) % 3]
        status, _ = await attempt(daemon, path, f"c0ffe{again}{number:02d}", left, headers)
        record.line(f"client takes up {identity} after event {last}: status {status}")
        if status == 200:
            return "goes on"
        await asyncio.sleep(0.3)
    return "refused"


async def play(world):
    record, w.Store = world.record, SilentStore
    await world.start(3, [("models", "i-a", run_stream), ("models", "i-b", run_stream)])
    await asyncio.sleep(5)
    world.store.silent = world.trouble
    start = record.now()
    record.line("the store is silent" if world.trouble else "the store answers")
    await asyncio.sleep(0.5)
    back_at = start + SILENT_S + STABLE_S + 0.3
    streams = [asyncio.create_task(stream(world, number, back_at)) for number in range(STREAMS)]
    await asyncio.sleep(1.5)
    for daemon in world.daemons:
        daemon.kill()
    record.line("all processes are killed")
    await asyncio.sleep(0.5)
    for daemon in world.daemons:
        daemon.start(False)
    await asyncio.sleep(max(0, start + SILENT_S - record.now()))
    world.store.silent = False
    record.line("the store answers")
    await asyncio.sleep(max(0, back_at - record.now()))
    new = [(await attempt(world.daemons[number % 3], f"/digest/n{number}", f"beef{number:02d}", 12))[0] for number in range(12)]
    results = await asyncio.gather(*streams)
    taken_up = [result for result in results if result in ("goes on", "refused")]
    share, new_share = taken_up.count("goes on") / max(1, len(taken_up)), new.count(200) / len(new)
    record.line(f"taken up {len(taken_up)}, went on {share:.2f}; new streams that began {new_share:.2f}")
    if len(taken_up) < 12:
        raise RuntimeError("fewer than 12 streams were taken up")
    return share < new_share / 2


if __name__ == "__main__":
    w.main(__file__, play)
