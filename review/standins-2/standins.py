"""Stand-ins for the users' platform: its store, servers of a model service, and the hosts' processes.

All of it runs in one asyncio loop on loopback addresses. The store follows PROTOCOL.md, "The platform's metadata store"; the
servers follow "Servers" and "Requests" there.
"""

import asyncio
import bisect
import json
import os
import random
import signal
import socket
import sys
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
ANSWER_S = 0.004
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


async def read_head(reader):
    """Reads a request line or status line and the headers, with names in lower case. Returns None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b";")[0].strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return bytes(body)
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def free_network():
    """Finds a part of the loopback network and ports on which nothing listens."""
    for _ in range(200):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        base = random.randrange(20_000, 50_000, 100)
        try:
            for host, port in [(f"{net}.1", base), (f"{net}.1", base + 1), (f"{net}.250", base)]:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return net, base
        except OSError:
            continue
    raise RuntimeError("no free loopback address")


class Store:
    """The platform's store."""

    def __init__(self):
        self.kinds = {}        # kind -> name -> object as bytes
        self.revisions = {}    # (kind, name) -> (revision, create_rev)
        self.parts = {}        # (kind, name) -> (spec, status)
        self.names = {}        # kind -> sorted names
        self.revision = 100
        self.history = []      # (time, revision, kind, event as bytes)
        self.dropped_to = 0
        self.changed = asyncio.Event()
        self.is_silent = False
        self.is_down = False
        self.connections = set()
        self.calls = {"read": 0, "write": 0}

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22, backlog=512)

    def put(self, kind, name, spec, status=None):
        """Writes an object without a condition, as the operator and the servers do."""
        self._set(kind, name, spec, status)

    def _set(self, kind, name, spec, status):
        self.revision += 1
        create_rev = self.revisions.get((kind, name), (0, self.revision))[1]
        self.revisions[kind, name] = (self.revision, create_rev)
        self.parts[kind, name] = (spec, status)
        item = {"metadata": {"name": name, "revision": self.revision, "create_rev": create_rev, "finalizers": [],
                             "deleting": False}, "spec": spec}
        if status is not None:
            item["status"] = status
        data = json.dumps(item, separators=(",", ":")).encode()
        objects = self.kinds.setdefault(kind, {})
        if name not in objects:
            bisect.insort(self.names.setdefault(kind, []), name)
        objects[name] = data
        self._event(kind, data, False)
        return data

    def _event(self, kind, data, deleted):
        event = b'{"object":' + data + b',"deleted":' + (b"true" if deleted else b"false") + b"}"
        now = time.monotonic()
        self.history.append((now, self.revision, kind, event))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.dropped_to = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, kind, name):
        data = self.kinds.get(kind, {}).pop(name, None)
        if data is None:
            return None
        names = self.names[kind]
        del names[bisect.bisect_left(names, name)]
        del self.revisions[kind, name]
        del self.parts[kind, name]
        self.revision += 1
        self._event(kind, data, True)
        return data

    def page(self, kind, after):
        names = self.names.get(kind, [])
        start = bisect.bisect_right(names, after) if after else 0
        objects, items, size, end = self.kinds.get(kind, {}), [], 0, start
        while end < len(names) and len(items) < PAGE_ITEMS:
            data = objects[names[end]]
            if items and size + len(data) > PAGE_BYTES:
                break
            items.append(data)
            size += len(data)
            end += 1
        more = b"true" if end < len(names) else b"false"
        return b'{"items":[' + b",".join(items) + b'],"more_pages":' + more + \
            b',"current_rev":' + str(self.revision).encode() + b"}"

    async def watch(self, kind, revision, wait_s):
        if revision < self.dropped_to:
            return 410, b"{}"
        end = time.monotonic() + wait_s
        while True:
            events = [event for _, at, of, event in self.history if at > revision and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[' + b",".join(events) + b'],"current_rev":' + \
                    str(self.revision).encode() + b"}"
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, method, parts, query, body):
        kind = parts[0]
        call = json.loads(body) if body else {}
        metadata = call.get("metadata", {})
        name = parts[1] if len(parts) > 1 else metadata.get("name")
        known = self.revisions.get((kind, name))
        condition = metadata.get("revision", int(query["revision"]) if "revision" in query else None)
        if method == "POST":
            if known:
                return 409, self.kinds[kind][name]
            return 201, self._set(kind, name, call.get("spec"), None)
        if not known:
            return 404, b"{}"
        if condition is not None and condition != known[0]:
            return 409, self.kinds[kind][name]
        if method == "DELETE":
            return 200, self.remove(kind, name)
        spec, status = self.parts[kind, name]
        if len(parts) > 2:
            status = call.get("status")
        else:
            spec = call.get("spec")
        if (spec, status) == self.parts[kind, name]:
            return 200, self.kinds[kind][name]
        return 200, self._set(kind, name, spec, status)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                while self.is_silent:
                    await asyncio.sleep(3600)
                if self.is_down:
                    return
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                parts = [urllib.parse.unquote(it) for it in path.removeprefix("/api/objects/").split("/")]
                await asyncio.sleep(ANSWER_S)
                if method != "GET":
                    self.calls["write"] += 1
                    status, data = self.write(method, parts, query, body)
                elif "watch" in query:
                    self.calls["read"] += 1
                    status, data = await self.watch(parts[0], int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
                elif len(parts) > 1:
                    self.calls["read"] += 1
                    data = self.kinds.get(parts[0], {}).get(parts[1])
                    status, data = (200, data) if data else (404, b"{}")
                else:
                    self.calls["read"] += 1
                    status, data = 200, self.page(parts[0], query.get("after"))
                while self.is_silent:
                    await asyncio.sleep(3600)
                writer.write(f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()


class ModelServer:
    """A server of a service that streams events. It sends `events` events of which each stands for `chunk_tokens` tokens."""

    def __init__(self, store, server_id, service, zone, host, port, version="v1", slots=12):
        self.store, self.id, self.service, self.zone = store, server_id, service, zone
        self.host, self.port, self.version, self.slots = host, port, version, slots
        self.events, self.gap_s = 6, 0.02
        self.running = 0
        self.log = []          # (request id, server version, first event, path, body, status)
        self.connections = set()
        self.deadly = None     # beginning and end of a body under which the server crashes as it begins to run it
        self.back_after_s = 3.0
        self.crashes = []      # ids of the requests under which the server has crashed
        self.server = None
        self.born = 0
        self.seq = 0

    async def start(self, registers=True):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 22)
        if registers:
            self.register()

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": "ready", "cold_left_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.seq, "born": self.born}

    def register(self):
        self.store.put("servers", self.id, self.entry())

    async def beat(self, interval_s):
        while True:
            if self.server and not self.store.is_silent and not self.store.is_down:
                self.register()
            await asyncio.sleep(interval_s * random.uniform(0.9, 1.1))

    def crash(self):
        """Ends as a process that is killed: the listener is gone and all connections are reset."""
        self.server.close()
        self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def come_back(self):
        await asyncio.sleep(self.back_after_s)
        await self.start()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                headers = head[1]
                body = await read_body(reader, headers)
                await self.answer(writer, method, target, headers, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, method, target, headers, body):
        request = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.id)
        echo = f"X-Request-Id: {request}\r\nX-Server-Load: {self.running},0,{self.slots}\r\n"
        if expected != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{echo}X-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"
                         .encode())
            return
        if self.running >= self.slots:
            writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{echo}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        if self.deadly and body.startswith(self.deadly[0]) and body.endswith(self.deadly[1]):
            self.log.append([request, self.version, headers.get("last-event-id"), target, body, "crash"])
            self.crashes.append(request)
            self.crash()
            asyncio.get_running_loop().create_task(self.come_back())
            raise ConnectionError("the server has crashed")
        self.running += 1
        entry = [request, self.version, headers.get("last-event-id"), target, body, "running"]
        self.log.append(entry)
        try:
            first = int(headers.get("last-event-id") or 0) + 1
            writer.write(f"HTTP/1.1 200 OK\r\n{echo}X-Server-Seal: {self.id}.{request}\r\n"
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: {self.version}-{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            entry[5] = "whole"
        finally:
            self.running -= 1


class Host:
    """An entry host: the process of the deploy file, restarted by the platform after a short delay."""

    def __init__(self, number, name, zone, region, zones, net, base, store_address, folder, memory_mb=110):
        self.name, self.folder, self.memory_mb = name, folder, memory_mb
        ip = f"{net}.{number}"
        self.ip = ip
        self.front, self.ready = (ip, base), (ip, base + 1)
        self.config = os.path.join(folder, f"{name}.conf")
        lines = [f"node_name={name}", "role=entry", "machine_class=front", "serves=front,control", f"ip={ip}", f"zone={zone}",
                 f"region={region}", *[f"zones.{z}={r}" for z, r in zones.items()], f"listen.front={ip}:{base}",
                 f"listen.ready={ip}:{base + 1}", f"listen.control={ip}:{base + 2}", f"port_range={base + 10},{base + 25}",
                 f"seeds={ip}:{base + 2}", "bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.25",
                 "limits.cores=1", f"limits.memory_mb={memory_mb}", "limits.max_fds=4100", "limits.link_mbps=1000.0",
                 "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
                 "contracts=base,drain,config,cost,recover,agent,stream,engine,platform", "fault_tolerance.machines=1",
                 "fault_tolerance.zones=0", "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_s=2",
                 "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.sync_s=4.8", "bounds.drain_ms=2500",
                 "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.apply_ms=2500", "bounds.downgrade_ms=250",
                 "bounds.max_stretch_ms=5000", "bounds.recovery_s=12", "bounds.pass_ms=200", "bounds.retry_after_s=0",
                 "bounds.deadline_s=10", "bounds.settle_ms=1000", f"platform.address={store_address[0]}:{store_address[1]}",
                 "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
                 "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000"]
        with open(self.config, "w") as file:
            file.write("\n".join(lines) + "\n")
        self.process = None

    async def start(self):
        path = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C", "RAGWORTKNOT_CONFIG": self.config}
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/ragwortknot-entry"), cwd=ROOT, env=path, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    def memory_mb_used(self):
        """Resident memory of the process, in MB."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except (OSError, AttributeError):
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


async def wait_until_ready(hosts, timeout_s):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        states = await asyncio.gather(*[host.is_ready() for host in hosts])
        if all(states):
            return True
        await asyncio.sleep(0.2)
    return False


async def send(host, method, path, headers, body=b"", timeout_s=3.0, http_host="ficu95.example"):
    """Sends a request on a new connection. Returns the status, the headers, the events with their ids, and whether the
    answer was whole; the status is None without an answer."""
    events, status, answer_headers = [], None, {}
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host.front[0], host.front[1], limit=1 << 22)
            text = f"{method} {path} HTTP/1.1\r\nHost: {http_host}\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            if body or method == "POST":
                text += f"Content-Length: {len(body)}\r\n"
            writer.write(text.encode() + b"\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return status, answer_headers, events, False
            status, answer_headers = int(head[0].split(" ")[1]), head[1]
            if answer_headers.get("transfer-encoding", "") != "chunked":
                data = await reader.readexactly(int(answer_headers.get("content-length", 0)))
                events.append((None, data.decode(errors="replace")))
                return status, answer_headers, events, True
            buffer = b""
            while True:
                line = await reader.readline()
                if not line:
                    return status, answer_headers, events, False
                size = int(line.strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return status, answer_headers, events, buffer == b""
                buffer += chunk[:-2]
                while b"\n\n" in buffer:
                    event, _, buffer = buffer.partition(b"\n\n")
                    fields = dict(it.split(": ", 1) for it in event.decode().split("\n") if ": " in it)
                    events.append((fields.get("id"), fields.get("data")))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return status, answer_headers, events, False
    finally:
        if writer:
            writer.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def model_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 150, "protocol": "h1", "tls": False,
            "engine": {"slots": 12, "kv_capacity": 377056, "kv_token_bytes": 18432, "link_mbps": 350000.0, "moves": True,
                       "backups": True, "chunk_tokens": 23, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                       "handle_s": 5.0, "models": [{"name": "m"}]}}


def stream_route(name, prefix, service, keeps, resumes, priority=0):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": "stream", "timeout_ms": 3000, "slo_ms": 250,
            "priority": priority, "service": service, "max_attempts": 2, "retain_history": keeps, "retain_s": 60.0,
            "sticky": True, "can_resume": resumes, "gap_aim_ms": 400}


class Record:
    """The record of a run, with times from its start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.started:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)
