"""Streams that go on at a runner that never answers are held past their route's timeout."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from world import SMALL_BOUNDS, TROUBLE, HEARTBEAT_S, play, read_head  # noqa: E402

ZONES = ["hall-a", "hall-b", "hall-c"]
RUNNERS = 9
TIMEOUT_S, DEADLINE_S, TARGET_S, PAUSE_S = 4.0, 8.0, 1.2, 0.5
# A client gives a stream up after the longest of two seconds, four targets and eight pauses.
GIVE_UP_S = max(2.0, 4 * TARGET_S, 8 * PAUSE_S)
EVENTS, EVENT_S = 32, 0.1
PER_S = 60
WAVES, WAVE_S = 14, 6.0
# Limits of the pages: `srv_crash` up to 0.25 of a service's runners, `srv_grey` with `hang` up to
# 0.15 of them, for 6.5 s, with 0.45 of their requests.
CRASHED, DOWN_S = 2, 2.0
GREY, HANG_SHARE, GREY_S = 1, 0.45, 0.6

CONFIG = {
    "version": 7,
    "route_table": [{
        "name": "r-1", "host": "desk.example", "path_prefix": "/match/", "route_type": "streaming",
        "timeout_ms": int(TIMEOUT_S * 1000), "target_latency_ms": int(TARGET_S * 1000), "priority": 1,
        "service": "match-llm", "max_attempts": 2, "public": False, "session_affinity": True,
        "stream_resume": True, "itl_target_ms": int(PAUSE_S * 1000)}],
    "services": [{
        "name": "match-llm", "health_check_path": "/healthz", "max_connections": 620,
        "protocol": "h1", "tls": False,
        "inference_engine": {"slots": 128, "kv_capacity": 287136, "model_list": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t-1", "api_keys": ["key-1"], "priority": 1, "unit": "token_stream",
                 "uncached_tokens": 200, "rate_per_s": 0, "burst": 0}],
}


class Stream:
    """One attempt of a client, and what its client saw."""

    def __init__(self, number, port):
        self.number, self.port = number, port
        self.events, self.status, self.how = 0, None, "open"
        self.sent = self.ended = None

    async def run(self):
        self.sent = time.time()
        writer = None
        try:
            await asyncio.wait_for(self.exchange(), DEADLINE_S)
        except asyncio.TimeoutError:
            self.how = "left at its deadline"
        except (OSError, EOFError, ValueError) as e:
            self.how = f"connection ended: {type(e).__name__}"
        self.ended = time.time()

    async def exchange(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            body = b"{}" * 100
            head = ["POST /match/stream HTTP/1.1", "Host: desk.example",
                    f"X-Attempt-Id: a{self.number:08d}", "X-Model: m",
                    f"X-Token-Count: 400,{EVENTS}",
                    f"X-Prefix-Hash: {self.number % 40:x}:200,{self.number + 4096:x}:200",
                    f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}", "X-Credential: key-1",
                    f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            got = await asyncio.wait_for(read_head(reader), GIVE_UP_S)
            if got is None:
                raise EOFError
            self.status = int(got[0].split(" ")[1])
            while True:
                line = await asyncio.wait_for(reader.readline(), GIVE_UP_S)
                if not line:
                    self.how = "broken off" if self.status == 200 else "answered"
                    return
                if line.startswith(b"id:"):
                    self.events += 1
                if line == b"0\r\n":
                    self.how = "complete"
                    return
        except asyncio.TimeoutError:
            self.how = "given up by its client"
        finally:
            writer.close()


async def case(world):
    await world.start_store(CONFIG)
    started = 0

    def runner(zone):
        nonlocal started
        started += 1
        return world.start_runner(f"i-{started:04d}", "match-llm", zone, event_s=EVENT_S)

    runners = [runner(ZONES[n % 3]) for n in range(RUNNERS)]
    for process in runners:
        await world.until_open(process.runner[1])
    daemons = [world.start_daemon(f"edge-{z}", z, ZONES, SMALL_BOUNDS) for z in ZONES]
    await world.until_ready()
    await asyncio.sleep(HEARTBEAT_S + 1)
    streams, tasks = [], []
    end_at = time.time() + 4 + WAVES * WAVE_S

    async def clients():
        while time.time() < end_at:
            stream = Stream(len(streams), daemons[len(streams) % 3]["clients"])
            streams.append(stream)
            tasks.append(asyncio.create_task(stream.run()))
            await asyncio.sleep(1 / PER_S)

    sending = asyncio.create_task(clients())
    await asyncio.sleep(5)
    for wave in range(WAVES if TROUBLE else 0):
        # Another runner each time, of those that do not crash.
        grey = [runners[wave % (RUNNERS - CRASHED)]]
        crashed = runners[-CRASHED:]
        zones = [ZONES[RUNNERS - CRASHED + n - 3 * 2] for n in range(CRASHED)]
        world.note(f"wave {wave}: hang at {[p.runner[0] for p in grey]}, "
                   f"SIGKILL to {[p.runner[0] for p in crashed]}")
        for process in grey:
            await world.order(process, hang_share=HANG_SHARE)
        for process in crashed:
            process.kill()
        await asyncio.sleep(GREY_S)
        for process in grey:
            await world.order(process, hang_share=0.0)
        await asyncio.sleep(DOWN_S - GREY_S)
        runners[-CRASHED:] = [runner(z) for z in zones]
        await asyncio.sleep(WAVE_S - DOWN_S)
    await sending
    await asyncio.gather(*tasks)
    return judge(world, streams)


def judge(world, streams):
    for s in streams:
        world.note(f"attempt a{s.number:08d} at {s.sent - world.started:.3f} status {s.status} "
                   f"events {s.events} {s.how} after {s.ended - s.sent:.3f} s")
    past = [s for s in streams if s.ended - s.sent >= TIMEOUT_S]
    late = [s for s in past if s.ended - s.sent >= TIMEOUT_S + 0.5]
    hows = {}
    for s in streams:
        hows[s.how] = hows.get(s.how, 0) + 1
    world.note(f"{len(streams)} attempts: {hows}")
    text = (f"{len(past)} ran past their route's timeout, {len(late)} of them had no final answer "
            "0.5 s later")
    world.note(text)
    print(hows, text)
    return len(late) >= 8 and len(late) * 4 > len(past)


play(case, FOLDER)
