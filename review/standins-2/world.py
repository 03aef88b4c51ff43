"""Stand-ins of the platform, of runners and of clients, for the scripts of review cases 4 to 6.

Python's standard library only. All addresses are loopback addresses. `python3 world.py runner ...` and
`python3 world.py store ...` run one stand-in as a process of its own; the rest is a library for the
scripts, which start the project's daemon by the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "release", "saddlepulley")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
SURPLUS_BODY = b"bytes that belong to no request\n"


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Returns free TCP ports that are also free for UDP."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            pass
        held += [tcp, udp]
    for s in held:
        s.close()
    return ports


# ---------------------------------------------------------------- HTTP/1.1


async def read_head(reader):
    """Reads the head of a message. Returns its first line and its headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def answer_bytes(status, body=b"", headers=()):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------- store and API for duties


class Store:
    """The platform's store as a log, and its API for duties.

    It keeps all that it acknowledges, in memory, and answers in `answer_s`. Runners and the operator
    write by `POST /put`, which stands for their side of the platform.
    """

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.producers = {}
        self.duty_calls = []
        self.answer_s = 0.004

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def append(self, name, records):
        topic = self.topic(name)
        topic.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(topic) - len(records)

    def put(self, name, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.append(name, [bytes([len(key)]) + key.encode() + data])

    async def serve(self, port):
        return await asyncio.start_server(self.connection, "127.0.0.1", port, limit=1 << 24)

    async def connection(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                await asyncio.sleep(self.answer_s)
                method, target, _ = head[0].split(" ", 2)
                writer.write(await self.answer(method, target, head[1], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path in ("/usage", "/scale"):
            call = {"path": parts.path, "holder": headers.get("x-lease-holder"),
                    "fence": headers.get("x-fencing-token"), "body": json.loads(body),
                    "at": time.time()}
            self.duty_calls.append(call)
            return answer_bytes(200)
        if parts.path == "/put":
            put = json.loads(body)
            self.put(put["topic"], put["key"], put.get("value"))
            return answer_bytes(200)
        if parts.path == "/log-append":
            return self.log_append(query, body)
        if parts.path == "/log-read":
            return await self.log_read(query)
        if parts.path == "/log-newest":
            return self.log_newest(query)
        return answer_bytes(404)

    def log_append(self, query, body):
        topic = self.topic(query["topic"])
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack(">I", body[at:at + 4])
            records.append(body[at + 4:at + 4 + length])
            at += 4 + length
        json_head = [("Content-Type", "application/json")]
        if "at" in query and int(query["at"]) != len(topic):
            return answer_bytes(412, json.dumps({"end": len(topic)}).encode(), json_head)
        if "producer" in query:
            key = (query["topic"], query["producer"])
            epoch, sequence = int(query["epoch"]), int(query.get("sequence", 0))
            seen, last = self.producers.get(key, (-1, None))
            if epoch < seen:
                return answer_bytes(409, b'{"reason":"fenced"}', json_head)
            if records and epoch == seen and last is not None and sequence != last + 1:
                wanted = json.dumps({"reason": "seq", "sequence": last + 1}).encode()
                return answer_bytes(409, wanted, json_head)
            self.producers[key] = (epoch, sequence if records else None)
        offset = self.append(query["topic"], records)
        told = {"offset": offset, "end": offset + len(records)}
        return answer_bytes(200, json.dumps(told).encode(), json_head)

    async def log_read(self, query):
        topic, source = self.topic(query["topic"]), int(query.get("source", 0))
        end_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(topic) <= source and (left := end_at - time.monotonic()) > 0:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                break
        page, size = [], 0
        for record in topic[source:]:
            size += len(record) + 4
            if page and size > int(query.get("max_kb", 1024)) * 1024:
                break
            page.append(struct.pack(">I", len(record)) + record)
        return answer_bytes(200, struct.pack(">QQ", len(topic), 0) + b"".join(page))

    def log_newest(self, query):
        topic = self.topic(query["topic"])
        newest = {}
        for offset, record in enumerate(topic):
            key = record[1:1 + record[0]].decode()
            newest[key] = (record[1 + record[0]:], offset)
        after = unquote(query.get("since_revision", ""))
        keys = sorted(k for k, (value, _) in newest.items() if value and k > after)
        entries = [{"key_file": k, "data": base64.b64encode(newest[k][0]).decode(),
                    "offset": newest[k][1]} for k in keys[:500]]
        told = {"entries": entries, "more": len(keys) > 500, "end": len(topic)}
        return answer_bytes(200, json.dumps(told).encode(), [("Content-Type", "application/json")])


# ---------------------------------------------------------------- runners


class Runner:
    """A runner of one service: it keeps its entry in the store and runs requests.

    A request whose path ends in `/stream` is answered with events, `X-Token-Count` tells how many; any
    other one with a body of 800 bytes. `POST /standin` orders it to fail, as the case needs.
    """

    def __init__(self, args):
        self.id, self.port, self.service = args["id"], args["port"], args["service"]
        self.zone, self.store_port = args["zone"], args["store_port"]
        self.event_s, self.work_s = args.get("event_s", 0.1), args.get("work_s", 0.02)
        self.slots = args.get("slots", 128)
        self.version = args.get("version", "v1")
        self.state, self.sequence = "ready", 0
        self.hang_share = self.error_share = self.surplus_share = 0.0
        self.surplus = "success"
        self.rng = random.Random(args["id"])
        self.log = open(args["log"], "a", buffering=1)

    def note(self, **fields):
        self.log.write(json.dumps({"at": time.time(), "runner": self.id, **fields}) + "\n")

    async def run(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", self.port, limit=1 << 24)
        async with server:
            while True:
                await self.beat()
                await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0, "sequence": self.sequence}
        await put(self.store_port, "keyed.servers", self.id, entry)

    async def connection(self, reader, writer):
        owes_surplus = False
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                if owes_surplus:
                    # A surplus answer that comes late, in the place of the next answer due.
                    is_success = self.surplus == "success"
                    writer.write(answer_bytes(200, SURPLUS_BODY) if is_success else
                                 answer_bytes(503, b"", [("X-Not-Executed", "1")]))
                    await writer.drain()
                    self.note(event="surplus", attempt=head[1].get("x-attempt-id"))
                if not await self.request(head[0], head[1], body, reader, writer):
                    return
                owes_surplus = self.rng.random() < self.surplus_share
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def request(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ", 2)
        if target == "/standin":
            for name, value in json.loads(body).items():
                setattr(self, name, value)
            await self.beat()
            writer.write(answer_bytes(200))
            return True
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(answer_bytes(421, b"", [("X-Instance-Id", self.id)]))
            return True
        attempt = headers.get("x-attempt-id", "-")
        hangs = self.rng.random() < self.hang_share
        fails = self.rng.random() < self.error_share
        self.note(event="arrived", attempt=attempt, deadline_ms=headers.get("x-deadline-ms"),
                  last_event=headers.get("last-event-id"), hangs=hangs, fails=fails)
        seal = [("X-Attempt-Id", attempt), ("X-Response-Seal", f"seal.{self.id}.{attempt}")]
        if hangs:
            # Keeps the connection until its caller closes it, and never answers.
            await reader.read(1)
            self.note(event="left", attempt=attempt)
            return False
        if fails:
            await asyncio.sleep(self.work_s)
            writer.write(answer_bytes(500, b"failed", seal))
            return True
        if not target.endswith("/stream"):
            await asyncio.sleep(self.work_s)
            writer.write(answer_bytes(200, b"x" * 800, seal))
            self.note(event="done", attempt=attempt)
            return True
        await self.stream(headers, seal, reader, writer)
        self.note(event="done", attempt=attempt)
        return True

    async def stream(self, headers, seal, reader, writer):
        """Sends events after `Last-Event-Id`; stops work at the deadline that it received."""
        count = int(headers.get("x-token-count", "0,10").split(",")[1])
        first = int(headers.get("last-event-id", 0)) + 1
        end_at = time.monotonic() + int(headers.get("x-deadline-ms", 60000)) / 1000
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                "X-Weight-Versions: 1"] + [f"{n}: {v}" for n, v in seal]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for n in range(first, count + 1):
            await asyncio.sleep(self.event_s)
            if time.monotonic() > end_at or reader.at_eof():
                raise ConnectionError
            event = f"id: {n}\ndata: piece {n} of {count} by {self.version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def call(port, method, target, body=b"", headers=()):
    """Makes one call on a connection of its own. Returns status and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
    try:
        head = [f"{method} {target} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        head += [f"{n}: {v}" for n, v in headers]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        got = await read_head(reader)
        if got is None:
            raise ConnectionError("no answer")
        return int(got[0].split(" ")[1]), await read_body(reader, got[1])
    finally:
        writer.close()


async def put(store_port, topic, key, value):
    body = json.dumps({"topic": topic, "key": key, "value": value}).encode()
    try:
        await call(store_port, "POST", "/put", body)
    except OSError:
        pass


# ---------------------------------------------------------------- the world of a script


class World:
    """Daemons of this project and stand-ins as processes, all ended by `close`."""

    def __init__(self, folder):
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.processes = []
        self.daemons = {}
        self.seeds = []
        self.started = time.time()

    def note(self, text):
        self.record.write(f"{time.time() - self.started:8.3f} {text}\n")

    def spawn(self, args, env=None, out=None):
        out = open(os.path.join(self.tmp, out), "a") if out else subprocess.DEVNULL
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        process = subprocess.Popen(args, env={**kept, **(env or {})}, cwd=ROOT, stdout=out,
                                   stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    async def start_store(self, config):
        (self.store_port,) = free_ports(1)
        args = {"port": self.store_port, "calls": os.path.join(self.tmp, "calls.json")}
        self.store = self.spawn([sys.executable, __file__, "store", json.dumps(args)], out="store.log")
        await self.until_open(self.store_port)
        await put(self.store_port, "keyed.op", "config", config)

    def start_runner(self, name, service, zone, **more):
        (port,) = free_ports(1)
        log = os.path.join(self.tmp, "runs.jsonl")
        args = {"id": name, "port": port, "service": service, "zone": zone,
                "store_port": self.store_port, "log": log, **more}
        process = self.spawn([sys.executable, __file__, "runner", json.dumps(args)], out="runner.log")
        process.runner = (name, port)
        return process

    async def order(self, runner, **fields):
        await call(runner.runner[1], "POST", "/standin", json.dumps(fields).encode())

    def start_daemon(self, name, zone, zones, bounds, memory_mb=260):
        """Starts a daemon as the deploy file does, with the filled template of settings."""
        if name not in self.daemons:
            ports = free_ports(4)
            self.daemons[name] = {"clients": ports[0], "readiness": ports[1], "peers": ports[2],
                                  "metrics": ports[3], "zone": zone}
            if len(self.seeds) < 3:
                self.seeds.append(f"127.0.0.1:{ports[2]}")
        own = self.daemons[name]
        lines = ["[node]", f'name = "{name}"', f'zone = "{zone}"', "capacity = 0.25",
                 f"memory_mb = {memory_mb}", "[node.zones]"]
        lines += [f'"{z}" = "region"' for z in zones]
        lines += ["[listen]"] + [f'{k} = "127.0.0.1:{own[k]}"'
                                 for k in ("clients", "readiness", "peers", "metrics")]
        lines += ["[source]", 'kind = "platform"', f'store = "127.0.0.1:{self.store_port}"',
                  f'cloud = "127.0.0.1:{self.store_port}"', "[peers]",
                  f"seeds = {json.dumps(self.seeds)}", "[bounds]",
                  f"retry_ratio = {bounds['retry_budget_ratio']}",
                  f"retry_slack = {bounds['budget_slack']}", f"stop_s = {bounds['grace_s']}",
                  f"drain_ms = {bounds['drain_ms']}", "[bounds.quotas]",
                  f"window_s = {bounds['quota_window_s']}",
                  f"overshoot = {bounds['quota_overshoot']}",
                  f"tolerance = {bounds['quota_tolerance']}", "[duties]", "usage = true",
                  "scaling = true", f"lease_ms = {bounds['lease_ms']}",
                  f"usage_window_s = {bounds['report_window_s']}",
                  f"usage_delay_s = {bounds['usage_delay_s']}"]
        path = os.path.join(self.tmp, f"{name}.toml")
        with open(path, "w") as f:
            f.write("\n".join(lines) + "\n")
        own["process"] = self.spawn([DAEMON, "gateway"], env={"SADDLEPULLEY_NODE_FILE": path},
                                    out=f"{name}.log")
        return own

    async def until_ready(self, timeout_s=15):
        for own in self.daemons.values():
            end_at = time.time() + timeout_s
            while True:
                try:
                    status, _ = await call(own["readiness"], "GET", "/readyz")
                    if status == 200:
                        break
                except OSError:
                    pass
                if time.time() > end_at:
                    raise CannotRun("a daemon does not get ready")
                await asyncio.sleep(0.05)

    async def until_open(self, port):
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun("a stand-in does not start")

    def runs(self):
        """Returns what the runners noted, in the order of time."""
        path = os.path.join(self.tmp, "runs.jsonl")
        if not os.path.exists(path):
            return []
        noted = []
        with open(path) as f:
            for line in f:
                try:
                    noted.append(json.loads(line))
                except ValueError:
                    pass
        return sorted(noted, key=lambda n: n["at"])

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        for run in self.runs():
            self.record.write("runner " + json.dumps(run) + "\n")
        if os.environ.get("KEEP"):
            print("kept", self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


SMALL_BOUNDS = {"retry_budget_ratio": 0.2, "budget_slack": 56, "grace_s": 8, "drain_ms": 2000,
                "quota_window_s": 8, "quota_overshoot": 0.1, "quota_tolerance": 72000,
                "lease_ms": 3000, "report_window_s": 5, "usage_delay_s": 10}


def play(case, folder):
    """Runs a case, and exits with 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    world = World(folder)

    def stop(*_):
        raise CannotRun("stopped")

    signal.signal(signal.SIGTERM, stop)
    code = 2
    try:
        if not os.path.exists(DAEMON):
            raise CannotRun("the daemon is not built")
        broken = asyncio.run(case(world))
        code = 1 if broken else 0
        world.note(f"the rule {'was broken' if broken else 'held'}")
    except (CannotRun, KeyboardInterrupt) as e:
        world.note(f"could not run: {e}")
        print("could not run:", e)
    except Exception as e:  # noqa: BLE001
        world.note(f"could not run: {e!r}")
        print("could not run:", repr(e))
    finally:
        world.close()
    sys.exit(code)


def main():
    args = json.loads(sys.argv[2])
    if sys.argv[1] == "runner":
        asyncio.run(Runner(args).run())
    elif sys.argv[1] == "store":
        async def run():
            store = Store()
            server = await store.serve(args["port"])
            async with server:
                while True:
                    await asyncio.sleep(0.2)
                    with open(args["calls"] + ".new", "w") as f:
                        json.dump(store.duty_calls, f)
                    os.replace(args["calls"] + ".new", args["calls"])
        asyncio.run(run())


if __name__ == "__main__":
    main()
