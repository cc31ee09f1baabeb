"""Each machine admits one request of any size at once, so that eight of them exceed a tenant's allotment."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w

MACHINES = 8         # as many as sites/koenokura.toml has
RATE, BURST = 12_500, 100_000
TOKENS = (92_000, 1_000)  # the largest prompt of `sermon-digest`: 53,200 tokens and 39,900 shared ones
ROUNDS = 12
WINDOW_S = w.BOUNDS["quota_window_s"]
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + w.BOUNDS["quota_overrun"]) + w.BOUNDS["quota_slack"]


async def play(world):
    record, ran, original = world.record, [], w.manifest

    def manifest(version, **options):
        spec = original(version, **options)
        spec["tenants"][0].update(unit="token_count", rate_per_s=RATE, burst=BURST, uncached_tokens=200)
        return spec

    async def run_stream(server, identity, headers, body, writer):
        ran.append((record.now(), sum(int(count) for count in headers["token-count"].split(","))))
        writer.write(w.stream_head(server, identity) + w.chunk(b"id: 1\ndata: piece 1\n\n") + b"0\r\n\r\n")
        await writer.drain()

    async def ask(daemon, number):
        prompt = f"{number:x}a{daemon.number}:39000,{number:x}b{daemon.number}:53000"
        channel = await w.Channel.open(daemon)
        channel.send(f"/digest/{number}", f"c0ffee{daemon.number}{number:02d}", 12000,
                     [("Model", "m"), ("Token-Count", f"{TOKENS[0]},{TOKENS[1]}"), ("Prefix-Hash", prompt)])
        await channel.head()
        channel.close()

    w.manifest = manifest
    await world.start(MACHINES, [("models", f"i-{name}", run_stream) for name in "abcd"])
    await asyncio.sleep(6)
    for number in range(ROUNDS):
        # TROUBLE=0: the tenant sends no more than its allotment
        daemons = world.daemons if world.trouble else world.daemons[:1]
        await asyncio.gather(*[ask(daemon, number) for daemon in daemons])
        await asyncio.sleep(0.5 if world.trouble else 8)
        if not world.trouble and number == 1:
            break
    worst = max(sum(tokens for at, tokens in ran if first <= at < first + WINDOW_S) for first, _ in ran)
    record.line(f"most tokens run in {WINDOW_S} s: {worst}; allowed: {ALLOWED:.0f}")
    return worst > ALLOWED


if __name__ == "__main__":
    w.main(__file__, play)
