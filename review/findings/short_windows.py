"""With short usage windows, a window is reported again with other counts after a lost answer of the store."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w

w.BOUNDS["report_window_s"] = 2  # the sheets have 5; usage_late_s stays 10
ROUTE = {"name": "recording", "host": w.HOST, "path_prefix": "/recording/", "route_kind": "safe",
         "timeout_ms": 1200, "full_credit_ms": 250, "priority": 2, "service": "desk", "max_attempts": 2}


async def run_plain(server, identity, headers, body, writer):
    writer.write(w.response(200, b"found", [("Attempt-Id", identity), ("Server-Seal", w.seal(server, identity))]))
    await writer.drain()


class LossyStore(w.Store):
    """Does the next write of the usage ledger, but does not answer."""

    lose = False

    async def answer(self, method, target, body):
        answer = await super().answer(method, target, body)
        if self.lose and method == "PUT" and "/usage" in target:
            self.lose = False
            self.record.line("the store's answer to a write of the ledger is lost")
            raise ConnectionError("lost")
        return answer


async def client(world, daemon):
    number = 0
    while True:
        number += 1
        try:
            channel = await w.Channel.open(daemon)
            channel.send(f"/recording/{number}", f"c0ffee{daemon.number}{number:05d}", 1000, method="GET", body=b"")
            await asyncio.wait_for(channel.head(), 2)
            channel.close()
        except (OSError, EOFError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)


async def play(world):
    record, w.Store = world.record, LossyStore
    await world.start(3, [("desk", "d-a", run_plain), ("desk", "d-b", run_plain)], extra_routes=[ROUTE])
    clients = [asyncio.create_task(client(world, daemon)) for daemon in world.daemons]
    await asyncio.sleep(30)
    world.store.lose = world.trouble
    await asyncio.sleep(12)
    for task in clients:
        task.cancel()
    reports, changed = {}, 0
    for at, _, headers, body in world.cloud.calls:
        report = json.loads(body)
        window, counts = report["window_id"], report["counts"]
        record.line(f"report of window {window} by {headers['duty-holder']} at {at:.2f}: {counts}")
        changed += reports.setdefault(window, counts) != counts
    record.line(f"reports with other counts than before: {changed}")
    return changed > 0


if __name__ == "__main__":
    w.main(__file__, play)
