"""Streams go on at another software version than the one that began them, after the loss of a zone."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from world import SMALL_BOUNDS, TROUBLE, HEARTBEAT_S, play, read_head  # noqa: E402

# Machines and zones as on the sheet of Hanbit: 3, 3 and 2.
DAEMONS = [("edge-a-1", "hall-a"), ("edge-a-2", "hall-a"), ("edge-a-3", "hall-a"),
           ("edge-b-1", "hall-b"), ("edge-b-2", "hall-b"), ("edge-b-3", "hall-b"),
           ("edge-c-1", "hall-c"), ("edge-c-2", "hall-c")]
ZONES = ["hall-a", "hall-b", "hall-c"]
RUNNERS = 6
# `release`: half of the runners, one at a time, 0.7 s apart; the new one starts first.
RELEASED, GAP_S = 3, 0.7
# The sheet gives these clients one retry.
EVENTS, EVENT_S, DEADLINE_S, TRIES = 40, 0.2, 15.0, 2
PER_S = 60
# The zone is lost after each of these times; its processes are started again after DOWN_S.
BEFORE_LOSS_S, DOWN_S = [1.1, 1.3, 1.5], 0.4

CONFIG = {
    "version": 7,
    "route_table": [{
        "name": "r-1", "host": "desk.example", "path_prefix": "/draft/", "route_type": "streaming",
        "timeout_ms": 15000, "target_latency_ms": 800, "priority": 2, "service": "match-llm",
        "max_attempts": 2, "public": False, "session_affinity": True, "stream_resume": True,
        "itl_target_ms": 500}],
    "services": [{
        "name": "match-llm", "health_check_path": "/healthz", "max_connections": 620,
        "protocol": "h1", "tls": False,
        "inference_engine": {"slots": 128, "kv_capacity": 287136, "model_list": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t-1", "api_keys": ["key-1"], "priority": 2, "unit": "token_stream",
                 "uncached_tokens": 200, "rate_per_s": 0, "burst": 0}],
}


class Client:
    """A client's stream over all its tries."""

    def __init__(self, number, ports, others):
        self.number, self.ports, self.others = number, ports, others
        self.events, self.tries, self.first_attempt, self.is_complete = [], [], None, False

    async def run(self):
        end_at = time.time() + DEADLINE_S
        for n in range(TRIES):
            port = random.choice(self.ports if n == 0 else self.others)
            attempt, before = f"a{self.number:06d}t{n}", len(self.events)
            wait_s, how = 0.05, "broken off"
            try:
                left_s = end_at - time.time()
                wait_s, how = await asyncio.wait_for(self.exchange(attempt, port, left_s), left_s)
            except asyncio.TimeoutError:
                how = "left at its deadline"
            except (OSError, EOFError, ValueError):
                pass
            self.tries.append(f"{attempt} {how}, events {before + 1} to {len(self.events)}")
            if self.is_complete or time.time() + wait_s > end_at - 0.5:
                return
            await asyncio.sleep(wait_s)

    async def exchange(self, attempt, port, left_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            head = ["POST /draft/stream HTTP/1.1", "Host: desk.example", f"X-Attempt-Id: {attempt}",
                    "X-Model: m", f"X-Token-Count: 400,{EVENTS}",
                    f"X-Prefix-Hash: {self.number % 40:x}:200,{self.number + 4096:x}:200",
                    f"X-Deadline-Ms: {int(left_s * 1000)}", "X-Credential: key-1",
                    "Content-Length: 2", "Connection: close"]
            if self.events:
                head += [f"Last-Event-Id: {self.events[-1][0]}", f"Resumes: {self.first_attempt}"]
            writer.write(("\r\n".join(head) + "\r\n\r\n{}").encode())
            got = await read_head(reader)
            if got is None:
                raise EOFError
            status = int(got[0].split(" ")[1])
            if status != 200:
                return min(float(got[1].get("retry-after", 0.1)), left_s / 3), str(status)
            number = None
            while line := await reader.readline():
                if line.startswith(b"id:"):
                    number = int(line[3:])
                elif line.startswith(b"data:"):
                    self.first_attempt = self.first_attempt or attempt
                    self.events.append((number, line.split()[-1].decode()))
                elif line == b"0\r\n":
                    self.is_complete = True
                    return 0, "complete"
            raise EOFError
        finally:
            writer.close()


async def case(world):
    await world.start_store(CONFIG)
    old = [world.start_runner(f"i-old-{n}", "match-llm", ZONES[n % 3], event_s=EVENT_S)
           for n in range(RUNNERS)]
    for process in old:
        await world.until_open(process.runner[1])
    daemons = [world.start_daemon(name, zone, ZONES, SMALL_BOUNDS) for name, zone in DAEMONS]
    await world.until_ready()
    await asyncio.sleep(17)
    for n in range(RELEASED):
        new = world.start_runner(f"i-new-{n}", "match-llm", ZONES[n % 3], event_s=EVENT_S,
                                 version="v2")
        await world.until_open(new.runner[1])
        await world.order(old[n], state="draining")
        world.note(f"i-new-{n} (v2) starts, i-old-{n} (v1) says that it leaves")
        if n + 1 < RELEASED:
            await asyncio.sleep(GAP_S)
    lost, rest = daemons[:3], daemons[3:]
    clients, tasks = [], []
    for before_loss_s in BEFORE_LOSS_S:
        await world.until_ready()
        end_at = time.time() + before_loss_s
        while time.time() < end_at:
            client = Client(len(clients), [d["clients"] for d in lost],
                            [d["clients"] for d in rest])
            clients.append(client)
            tasks.append(asyncio.create_task(client.run()))
            await asyncio.sleep(1 / PER_S)
        if TROUBLE:
            world.note("SIGKILL to all daemons of hall-a")
            for own in lost:
                own["process"].kill()
            await asyncio.sleep(DOWN_S)
            for name, zone in DAEMONS[:3]:
                world.start_daemon(name, zone, ZONES, SMALL_BOUNDS)
    await asyncio.gather(*tasks)
    return judge(world, clients)


def judge(world, clients):
    mixed = whole = 0
    for c in clients:
        versions = sorted({version for _, version in c.events})
        is_mixed = len(versions) > 1
        mixed += is_mixed
        whole += c.is_complete
        runs = "".join("1" if v == "v1" else "2" for _, v in c.events)
        world.note(f"client {c.number} {'MIXED ' if is_mixed else ''}versions of its events: {runs}; "
                   + "; ".join(c.tries))
    text = (f"{len(clients)} streams, {whole} complete, {mixed} hold events of two software "
            "versions (more than 2 break the rule)")
    world.note(text)
    print(text)
    return mixed > 2


play(case, FOLDER)
