"""Stand-ins of the platform, its store and the runners, and daemons as processes.

All addresses are loopback addresses; each daemon has one of its own, as each machine has.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2


# The machines' loopback network, drawn anew so that two runs don't meet.
NETWORK = "127.%d.%d" % (random.randint(10, 250), random.randint(0, 255))


def listening_socket():
    """Returns a listening socket on a free port, and its address."""
    listener = socket.create_server(("127.0.0.1", 0))
    return listener, "127.0.0.1:%d" % listener.getsockname()[1]


def machine_ip(number):
    return "%s.%d" % (NETWORK, 10 + number)


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_chunk(reader):
    size = int((await reader.readline()).strip() or b"x", 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while chunk := await read_chunk(reader):
        body += chunk
    return body


ERA = [7]


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d Status" % status, "Store-Era: %d" % ERA[0]]
    lines += ["%s: %s" % header for header in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode() + body


async def serve_each(respond, reader, writer):
    """Serves the requests of one connection, in their order."""
    try:
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await respond(line, headers, body, writer)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()


def key_of(record):
    return record[1 : 1 + record[0]]


class Platform:
    """The platform's store in the form of a log, and its API for duties."""

    def __init__(self):
        self.topics = {}
        # When each record was written.
        self.written = {}
        self.writers = set()
        self.is_away = False
        self.changed = asyncio.Event()
        # When each daemon first got an answer by which a runner is gone, by daemon and runner.
        self.told_gone = {}
        self.gone = set()

    async def listen_for(self, daemon):
        """Opens an address for one daemon, so that it is known who read what. Returns the address."""
        listener, address = listening_socket()
        serve = lambda reader, writer: self.serve(daemon, reader, writer)
        await asyncio.start_server(serve, sock=listener)
        return address

    async def serve(self, daemon, reader, writer):
        if self.is_away:
            return writer.transport.abort()

        async def respond(line, headers, body, writer):
            await self.respond(line, headers, body, writer, daemon)

        self.writers.add(writer)
        await serve_each(respond, reader, writer)
        self.writers.discard(writer)

    def tell_gone(self, daemon, runner):
        self.told_gone.setdefault((daemon, runner), time.monotonic())

    async def drill(self, age_s, away_s, rewrite_after_s):
        """Is away for a moment, and returns from a copy that is `age_s` old. Each runner, and the operator,
        writes again what it wrote last, if the copy lacks it, some moments after the return."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        copied, lost = time.monotonic() - away_s - age_s, {}
        for topic, records in self.topics.items():
            times = self.written.setdefault(topic, [])
            kept = sum(at <= copied for at in times)
            for record in records[kept:]:
                if topic in ("keyed.op", "keyed.servers"):
                    lost[topic, key_of(record)] = record
            del records[kept:], times[kept:]
        ERA[0] += 1
        returned = time.monotonic()
        self.is_away = False

        async def write_again(topic, key, record):
            await asyncio.sleep(rewrite_after_s())
            written = zip(self.log(topic), self.written.setdefault(topic, []))
            if not any(at > returned and key_of(newer) == key for newer, at in written):
                self.append(topic, [record])

        await asyncio.gather(*[write_again(topic, key, record) for (topic, key), record in lost.items()])

    def log(self, topic):
        return self.topics.setdefault(topic, [])

    def append(self, topic, records):
        self.log(topic).extend(records)
        self.written.setdefault(topic, []).extend([time.monotonic()] * len(records))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, [bytes([len(key)]) + key.encode() + data])

    async def respond(self, line, headers, body, writer, daemon):
        path, _, query = line.split(" ")[1].partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = query.get("topic", "")
        if path == "/log-append":
            writer.write(self.answer_append(topic, query, body))
        elif path == "/log-read":
            writer.write(await self.answer_read(topic, query, daemon))
        elif path == "/log-newest":
            writer.write(self.answer_newest(topic, daemon))
        else:
            writer.write(answer(200 if path in ("/usage", "/scale") else 404))

    def answer_append(self, topic, query, body):
        log = self.log(topic)
        if int(query.get("at", len(log))) != len(log):
            return answer(412, json.dumps({"end": len(log)}).encode())
        records, at, offset = [], 0, len(log)
        while at + 4 <= len(body):
            size = struct.unpack(">I", body[at : at + 4])[0]
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        self.append(topic, records)
        return answer(200, json.dumps({"offset": offset, "end": len(log)}).encode())

    async def answer_read(self, topic, query, daemon):
        log, source = self.log(topic), int(query["source"])
        if source > len(log):
            return answer(410, b'{"first":0}')
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(log) <= source and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        for record in log[source:] if topic == "keyed.servers" else []:
            if len(record) == 1 + record[0]:
                self.tell_gone(daemon, key_of(record).decode())
        framed = b"".join(struct.pack(">I", len(r)) + r for r in log[source:])
        return answer(200, struct.pack(">QQ", len(log), 0) + framed)

    def newest(self, topic):
        newest = {}
        for offset, record in enumerate(self.log(topic)):
            key, value = key_of(record).decode(), record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        return newest

    def answer_newest(self, topic, daemon):
        log, newest = self.log(topic), self.newest(topic)
        for runner in self.gone if topic == "keyed.servers" else []:
            if runner not in newest:
                self.tell_gone(daemon, runner)
        entries = [
            {"key_file": key, "data": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
        ]
        page = {"entries": entries, "more": False, "end": len(log)}
        return answer(200, json.dumps(page).encode())


class Runner:
    """A runner that answers each request at once."""

    def __init__(self, name, platform, record):
        self.name, self.platform, self.record = name, platform, record
        self.listener, self.address = listening_socket()
        self.writers = set()
        self.arrivals = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=self.listener)
        self.beats = asyncio.create_task(self.beat())
        self.record("runner %s starts" % self.name)

    async def beat(self):
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": "api", "address": self.address, "zone": "hall-a", "version": "v1", "slots": 6,
                "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
            }
            self.platform.put("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def withdraw(self):
        """Takes the entry back without saying `draining`. The runner serves on."""
        self.beats.cancel()
        self.platform.gone.add(self.name)
        self.platform.put("keyed.servers", self.name, None)
        self.record("entry of runner %s goes; it serves on" % self.name)

    def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record("runner %s ends" % self.name)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        await serve_each(self.respond, reader, writer)
        self.writers.discard(writer)

    async def respond(self, line, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.name) != self.name:
            return writer.write(answer(421, headers=[("X-Instance-Id", self.name)]))
        self.arrivals.append((time.monotonic(), attempt))
        writer.write(answer(200, b"done", [("X-Attempt-Id", attempt), ("X-Response-Seal", self.name)]))


def fill(template, fields):
    """Fills the template of the settings, as the platform does at each start."""

    def find(name, scopes):
        if name in (".", "@"):
            return scopes[-1][name]
        for scope in reversed(scopes):
            value = scope["."]
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def each(value):
        if isinstance(value, dict):
            return [{"@": key, ".": item} for key, item in value.items()]
        return [{"@": "", ".": value}] if value else []

    def expand(text, scopes):
        block = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)
        text = block.sub(lambda m: "".join(expand(m[2], scopes + [s]) for s in each(find(m[1], scopes))), text)

        def gap(match):
            name, _, form = match[1].partition("|")
            value = find(name, scopes)
            return json.dumps(value) if form == "json" else "" if value is None else str(value)

        return re.sub(r"\{\{([^}]+)\}\}", gap, text)

    return expand(template, [{"@": "", ".": fields}])


class Daemon:
    """A daemon process, started by the command of the deploy file."""

    def __init__(self, number, zone, platform, seeds, folder):
        self.name, self.zone, self.folder = "edge-%s-%d" % (zone, number), zone, folder
        self.ip = machine_ip(number)
        self.platform, self.seeds = platform, seeds
        self.clients, self.readiness, self.peers = ("%s:%d" % (self.ip, port) for port in (8221, 8224, 8229))

    def start(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip, "seed_nodes": self.seeds,
            "zones": {zone: "region" for zone in ("hall-a", "hall-b", "hall-c")}, "limits": {"cpu_share": 0.25, "memory_mb": 260},
            "listen_addresses": {"frontend": self.clients, "readiness": self.readiness, "control_plane": self.peers},
            "platform": {"address": self.platform}, "cloud_api": {"address": self.platform},
            "bounds": {
                "retry_budget_ratio": 0.2, "budget_slack": 56, "grace_s": 8, "drain_ms": 2000, "quota_window_s": 8,
                "quota_overshoot": 0.1, "quota_tolerance": 72000, "lease_ms": 3000, "report_window_s": 5,
                "usage_delay_s": 10,
            },
        }
        template = open(os.path.join(ROOT, "deploy/settings.toml")).read()
        path = os.path.join(self.folder, self.name + ".toml")
        open(path, "w").write(fill(template, fields))
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ["PATH"], "SADDLEPULLEY_NODE_FILE": path}
        command = ["target/release/saddlepulley", "gateway"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def until_ready(self, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("%s is not ready" % self.name)

    async def is_ready(self):
        try:
            host, port = self.readiness.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200" in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
