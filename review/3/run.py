"""Takes runners away, one at a time, around returns of the store from a copy.

Exits with 1 if requests reach a runner long after its entry has gone, 0 if not, 2 if the case could
not run. With TROUBLE=0 the store stays, and the same runners are taken away.
"""
import asyncio
import os
import random
import signal
import tempfile
import uuid

from world import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = int(os.environ.get("DAEMONS", "12"))
ZONES = ["hall-a", "hall-b", "hall-c"][: int(os.environ.get("ZONES", "3"))]
RUNNERS = 8
# The runners that leave in each round.
LEAVING = 2
# The pause between two of them.
GAP_OF_RELEASE_S = 0.7
ROUNDS = int(os.environ.get("ROUNDS", "9"))
DRAIN_S = 2.0
CONTACT_S = 3.0
# How long a runner serves on whose entry has gone.
SERVES_ON_S = 7.0

CONFIG = {
    "version": 3,
    "route_table": [{
        "name": "r", "host": "hall.example", "path_prefix": "/lookup/", "route_type": "idempotent",
        "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": "api", "max_attempts": 2,
        "public": False,
    }],
    "services": [{"name": "api", "health_check_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "member", "api_keys": ["key"], "rate_per_s": 0, "burst": 0}],
}


async def send_requests(number, daemon, record):
    """Sends requests to one daemon, each on a new connection."""
    while True:
        await asyncio.sleep(0.1)
        # The id begins with the number of the daemon.
        attempt = "%02x%s" % (number, uuid.uuid4().hex[:14])
        try:
            host, port = daemon.clients.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            head = "GET /lookup/x HTTP/1.1\r\nHost: hall.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 600\r\nX-Credential: key\r\nConnection: close\r\n\r\n"
            writer.write((head % attempt).encode())
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            if " 200" not in line:
                record("%s at %s is answered with %s" % (attempt, daemon.name, line))
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            record("%s at %s gets no answer" % (attempt, daemon.name))


def count_late(runner, back, platform, record):
    """Counts the requests that reach a runner later than `drain_ms` after their daemon itself got an answer
    by which the runner is gone, at daemons that have been in touch."""
    late = 0
    for at, attempt in runner.arrivals:
        told = platform.told_gone.get((int(attempt[:2], 16), runner.name))
        if told is not None and at > max(told, back + CONTACT_S) + DRAIN_S:
            late += 1
            record("%s reaches %s %.3f s after its daemon was told" % (attempt, runner.name, at - told))
    others = sum(at > back + CONTACT_S + DRAIN_S for at, _ in runner.arrivals) - late
    record("%d requests reach %s too late, and %d of daemons that did not read it themselves" % (late, runner.name, others))
    return late


async def play(record, daemons, platform):
    runners = [Runner("i-%d" % n, platform, record) for n in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        await daemon.until_ready(15)
    record("all daemons are ready")
    for number, daemon in enumerate(daemons):
        asyncio.create_task(send_requests(number, daemon, record))
    await asyncio.sleep(4)
    late = 0
    draw = random.Random(int(os.environ.get("SEED", "1")))
    for n in range(ROUNDS):
        await asyncio.sleep(1.0)
        age, away = draw.uniform(3.0, 6.0), draw.uniform(1.0, 1.5)
        rewrite = lambda: draw.uniform(0.03, 0.35)
        drill = asyncio.create_task(platform.drill(age, away, rewrite) if TROUBLE else asyncio.sleep(away + 0.35))
        # The runners leave while the store is away: it has their words some moments after its return.
        await asyncio.sleep(draw.uniform(0.0, away - 0.8))
        leaving, runners = runners[:LEAVING], runners[LEAVING:]
        for m, old in enumerate(leaving):
            await asyncio.sleep(GAP_OF_RELEASE_S if m else 0)
            new = Runner("i-%d" % (RUNNERS + n * LEAVING + m), platform, record)
            await new.start()
            runners.append(new)
            old.withdraw()
        await drill
        back = time.monotonic()
        record("round %d: the store is back, and all is written again" % n)
        await asyncio.sleep(SERVES_ON_S)
        listed = platform.newest("keyed.servers")
        if any(old.name in listed for old in leaving):
            raise RuntimeError("the store lists a runner that has left")
        for old in leaving:
            late += count_late(old, back, platform, record)
            old.end()
    record("%d requests reached runners too late" % late)
    return 1 if late else 0


async def main():
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    platform = Platform()
    platform.put("keyed.op", "config", CONFIG)
    with tempfile.TemporaryDirectory() as folder:
        seeds = ["%s:8229" % machine_ip(n) for n in range(1, 4)]
        daemons = []
        for n in range(1, DAEMONS + 1):
            store = await platform.listen_for(n - 1)
            daemons.append(Daemon(n, ZONES[n % len(ZONES)], store, seeds, folder))
        try:
            return await play(record, daemons, platform)
        except Exception as e:
            record("the case could not run: %r" % e)
            return 2
        finally:
            for daemon in daemons:
                if hasattr(daemon, "process"):
                    daemon.kill()


async def play_and_exit():
    playing = asyncio.create_task(main())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        status = await playing
    except (Exception, asyncio.CancelledError):
        status = 2
    # The stand-ins' tasks that are still open end with this process.
    os._exit(status)


if __name__ == "__main__":
    asyncio.run(play_and_exit())
