"""Daemons that start anew spend the whole retry budget again, within the same window."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from world import SMALL_BOUNDS, TROUBLE, HEARTBEAT_S, play, read_body, read_head  # noqa: E402

ZONES = ["hall-a", "hall-b", "hall-c"]
DAEMONS, RUNNERS = 6, 6
DEADLINE_S, PER_S = 0.6, 40
# `srv_grey` with `errors`: up to all runners, for 4 s, with 0.45 of their requests; played twice in a row.
ERROR_SHARE, GREY_S = 0.45, 8.0
# `herd_kill`: all daemons are killed at the same moment, at these seconds of the failures.
KILLS_S = [2.0, 4.0, 6.0]
RESTART_S = 0.3
# KILLS=0 leaves the failing runners and takes the kills away.
KILLS = TROUBLE and os.environ.get("KILLS", "1") != "0"

CONFIG = {
    "version": 7,
    "route_table": [{
        "name": "r-1", "host": "desk.example", "path_prefix": "/code/", "route_type": "idempotent",
        "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": "counter-api",
        "max_attempts": 3, "public": False}],
    "services": [{"name": "counter-api", "health_check_path": "/healthz", "max_connections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t-1", "api_keys": ["key-1"], "priority": 2, "unit": "token_stream",
                 "uncached_tokens": 200, "rate_per_s": 0, "burst": 0}],
}


class Attempt:
    def __init__(self, number):
        self.name, self.sent, self.how = f"a{number:08d}", time.time(), "open"

    async def run(self, port):
        try:
            await asyncio.wait_for(self.exchange(port), DEADLINE_S)
        except asyncio.TimeoutError:
            self.how = "left at its deadline"
        except (OSError, EOFError, ValueError) as e:
            self.how = f"connection ended: {type(e).__name__}"

    async def exchange(self, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            head = ["GET /code/lookup HTTP/1.1", "Host: desk.example", f"X-Attempt-Id: {self.name}",
                    f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}", "X-Credential: key-1",
                    "Connection: close"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            got = await read_head(reader)
            if got is None:
                raise EOFError
            await read_body(reader, got[1])
            self.how = got[0].split(" ")[1]
        finally:
            writer.close()


async def case(world):
    await world.start_store(CONFIG)
    runners = [world.start_runner(f"i-{n}", "counter-api", ZONES[n % 3], work_s=0.015, slots=6)
               for n in range(RUNNERS)]
    for process in runners:
        await world.until_open(process.runner[1])
    names = [(f"edge-{n}", ZONES[n % 3]) for n in range(DAEMONS)]

    def start():
        return [world.start_daemon(name, zone, ZONES, SMALL_BOUNDS) for name, zone in names]

    daemons = start()
    await world.until_ready()
    await asyncio.sleep(HEARTBEAT_S + 2)
    attempts, tasks = [], []
    running = True

    async def clients():
        while running:
            attempt = Attempt(len(attempts))
            attempts.append(attempt)
            tasks.append(asyncio.create_task(
                attempt.run(daemons[len(attempts) % DAEMONS]["clients"])))
            await asyncio.sleep(1 / PER_S)

    sending = asyncio.create_task(clients())
    await asyncio.sleep(10)
    began = time.time()
    for process in runners if TROUBLE else []:
        await world.order(process, error_share=ERROR_SHARE)
    for at in KILLS_S if KILLS else []:
        await asyncio.sleep(max(0, began + at - time.time()))
        world.note("SIGKILL to all daemons")
        for own in daemons:
            own["process"].kill()
        await asyncio.sleep(RESTART_S)
        start()
    await asyncio.sleep(max(0, began + GREY_S - time.time()))
    for process in runners:
        await world.order(process, error_share=0.0)
    await asyncio.sleep(6)
    running = False
    await sending
    await asyncio.gather(*tasks)
    return judge(world, attempts)




def judge(world, attempts):
    for a in attempts:
        world.note(f"attempt {a.name} at {a.sent - world.started:.3f} {a.how}")
    sent = [a.sent for a in attempts]
    seen, beyond = set(), []
    for run in world.runs():
        if run["event"] != "arrived":
            continue
        if run["attempt"] in seen:
            beyond.append(run["at"])
        seen.add(run["attempt"])
    window = 10.0
    worst = (-1e9, None)
    for start in beyond:
        count = sum(start <= at < start + window for at in beyond)
        asked = max(sum(s <= at < s + window for at in sent)
                    for s in (start, start - window, start - window / 2))
        allowed = 0.2 * asked + SMALL_BOUNDS["budget_slack"]
        worst = max(worst, (count - allowed, (start - world.started, count, asked, allowed)))
    text = (f"worst window: {worst[1]} (from second, arrivals beyond the first, requests, allowed)")
    world.note(text)
    print(text)
    return worst[0] > 0


play(case, FOLDER)
