"""Stand-ins for the users' platform, for the scripts in review/: the store, model servers, plain servers and clients.

They follow PROTOCOL.md and DEPLOY.md of the users' pages, use the standard library only, and listen on loopback addresses. Each
run takes a /24 network of its own inside 127.0.0.0/8, so that no port is taken.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST_NAME = "ficu95.example"
ZONES = {"ub-a": "ulaanbaatar", "dk-a": "darkhan", "er-a": "erdenet"}
RETAIN_S = 60.0
CHUNK_TOKENS = 23
EVENTS = 11
EVENT_GAP_S = 0.035

STATUS_TEXT = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
               400: "Bad Request", 413: "Payload Too Large", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.address = None

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 22, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.answer(method, target, headers, body, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    @staticmethod
    async def send(writer, status, body=b"", headers=()):
        head = f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        return True


class Store(HttpServer):
    """The platform's store of objects, with revisions, conditional writes, pages and watches."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000
    VALUE_BYTES = 1_048_576
    ANSWER_S = 0.004

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def change(self, kind, name, item, deleted=False):
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        item["metadata"]["revision"] = self.revision
        if deleted:
            del objects[name]
        else:
            objects[name] = item
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec):
        old = self.kinds.get(kind, {}).get(name)
        item = {"metadata": {"name": name, "create_rev": old["metadata"]["create_rev"] if old else self.revision + 1,
                             "finalizers": []}, "spec": spec}
        if old and "status" in old:
            item["status"] = old["status"]
        await self.change(kind, name, item)

    async def answer(self, method, target, headers, body, writer):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        path = [unquote(part) for part in url.path.split("/")[1:]]
        if path[:2] != ["api", "objects"] or len(path) < 3:
            return await self.send(writer, 404)
        kind, name = path[2], path[3] if len(path) > 3 else None
        await asyncio.sleep(self.ANSWER_S)
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")), writer)
        if method == "GET":
            return await self.read(kind, name, query, writer)
        return await self.write(method, kind, name, path[4:] == ["status"], query, body, writer)

    async def json(self, writer, status, value):
        return await self.send(writer, status, json.dumps(value).encode(), [("Content-Type", "application/json")])

    async def read(self, kind, name, query, writer):
        objects = self.kinds.get(kind, {})
        if name is not None:
            if name not in objects:
                return await self.json(writer, 404, {})
            return await self.json(writer, 200, objects[name])
        items, size, more = [], 0, False
        for key in sorted(objects):
            if key <= query.get("after", ""):
                continue
            if len(items) >= self.PAGE_ITEMS or size > self.PAGE_BYTES:
                more = True
                break
            items.append(objects[key])
            size += len(json.dumps(objects[key]))
        return await self.json(writer, 200, {"items": items, "more_pages": more, "current_rev": self.revision})

    async def watch(self, kind, revision, wait_ms, writer):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for number, of_kind, event in self.events if number > revision and of_kind == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return await self.json(writer, 200, {"events": events, "current_rev": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def write(self, method, kind, name, is_status, query, body, writer):
        objects = self.kinds.setdefault(kind, {})
        value = json.loads(body) if body else {}
        metadata = value.get("metadata", {})
        if len(body) > self.VALUE_BYTES:
            return await self.json(writer, 413, {})
        if method == "POST":
            name = metadata["name"]
            if name in objects:
                return await self.json(writer, 409, objects[name])
            item = {"metadata": {"name": name, "create_rev": self.revision + 1, "finalizers": []}, "spec": value.get("spec")}
            await self.change(kind, name, item)
            return await self.json(writer, 201, item)
        if name not in objects:
            return await self.json(writer, 404, {})
        old = objects[name]
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != old["metadata"]["revision"]:
            return await self.json(writer, 409, old)
        item = {**old, "metadata": dict(old["metadata"])}
        if method == "DELETE":
            await self.change(kind, name, item, deleted=True)
            return await self.json(writer, 200, item)
        field = "status" if is_status else "spec"
        if old.get(field) != value.get(field):
            item[field] = value.get(field)
            await self.change(kind, name, item)
        return await self.json(writer, 200, objects[name])


class ModelServer(HttpServer):
    """A server of a service with streams. Each stream has EVENTS events of CHUNK_TOKENS tokens."""

    def __init__(self, name, service, zone, record):
        super().__init__()
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.runs = []
        self.running = 0
        self.event_gap_s = EVENT_GAP_S
        self.born = int(time.time() * 1000)

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 12,
                "state": "ready", "cold_left_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq": 1, "born": self.born}

    async def answer(self, method, target, headers, body, writer):
        if method == "GET" and target == "/healthz":
            return await self.send(writer, 200, headers=[("X-Instance-Id", self.name)])
        request = headers.get("x-request-id")
        if request is None:
            return await self.send(writer, 400, headers=[("X-Not-Run", "1")])
        echo = [("X-Request-Id", request), ("X-Server-Load", f"{self.running},0,12"), ("Keep-Alive", "timeout=10")]
        if headers.get("x-expect-instance", self.name) != self.name:
            return await self.send(writer, 421, headers=echo + [("X-Not-Run", "1")])
        self.running += 1
        try:
            self.runs.append({"request": request, "body": body, "previous": headers.get("x-previous-turn"),
                              "program": headers.get("x-program-id")})
            self.record.line(f"server {self.name} runs {request} of program {headers.get('x-program-id')}, "
                             f"previous turn {headers.get('x-previous-turn')}, {len(body)} bytes")
            head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in echo)
            head += f"X-Server-Seal: seal-{request}\r\nX-Weight-Versions: 1\r\n"
            head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode())
            most = int(headers.get("x-token-usage", "0,0").split(",")[1]) // CHUNK_TOKENS
            for number in range(int(headers.get("last-event-id", "0")) + 1, min(EVENTS, most) + 1):
                await asyncio.sleep(self.event_gap_s)
                event = f"id: {number}\ndata: {event_data(request, number)}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1


def event_data(request, number):
    return f"{request}-{number}"


def turn_output(request):
    return "".join(event_data(request, number) + "\n" for number in range(1, EVENTS + 1)).encode()


class Host:
    """One of the project's programs as a process."""

    def __init__(self, fleet, name, zone, ip, role):
        self.fleet, self.name, self.zone, self.ip, self.role = fleet, name, zone, ip, role
        self.front, self.ready = f"{ip}:8149", f"{ip}:8141"
        self.process = None
        self.settings = os.path.join(fleet.folder, f"{name}.conf")
        self.write_settings()

    def write_settings(self):
        is_front = self.role == "entry"
        lines = [f"node_name={self.name}", f"role={self.role}", f"machine_class={'front' if is_front else 'storage'}",
                 f"serves={'front,control' if is_front else 'storage'}", f"ip={self.ip}", f"zone={self.zone}",
                 f"region={ZONES[self.zone]}"]
        lines += [f"zones.{zone}={region}" for zone, region in ZONES.items()]
        if is_front:
            lines += [f"listen.front={self.front}", f"listen.ready={self.ready}", f"listen.control={self.ip}:8144",
                      "limits.cpu_share=0.25", "limits.memory_mb=110", "limits.max_fds=4100", "limits.link_mbps=1000.0",
                      "limits.disk_mb=0", "counts_as_loss=false"]
        else:
            data = os.path.join(self.fleet.folder, f"{self.name}-data")
            os.makedirs(data, exist_ok=True)
            lines += [f"data_dir={data}", "limits.cpu_share=0.5", "limits.memory_mb=140", "limits.max_fds=8200",
                      "limits.link_mbps=600.0", "limits.disk_mb=510", "counts_as_loss=true"]
        lines += ["limits.cores=1", "port_range=7380,7395", "bootstrap=true", "discovery=platform", "entry=vip",
                  "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,agent,stream,engine,platform",
                  "fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
                  "bounds.seed_lag_s=3", "bounds.reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000",
                  "bounds.sync_s=4.8", "bounds.drain_ms=2500", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
                  "bounds.apply_ms=2500", "bounds.downgrade_ms=250", "bounds.max_stretch_ms=5000", "bounds.recovery_s=12",
                  "bounds.pass_ms=200", "bounds.retry_after_s=0", "bounds.deadline_s=10", "bounds.settle_ms=1000",
                  f"platform.address={self.fleet.store.address}", "platform.form=objects", "platform.writes_per_s=400",
                  "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
                  "platform.ttl_min_ms=1000"]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        program = os.path.join(REPOSITORY, "target", "release", f"ragwortknot-{self.role}")
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "a", encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["RAGWORTKNOT_CONFIG"] = self.settings
        self.process = subprocess.Popen([program], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log)
        log.close()
        self.fleet.record.line(f"{self.name} starts")

    def kill(self):
        self.fleet.record.line(f"{self.name} is killed (SIGKILL)")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        try:
            status = (await asyncio.wait_for(get(self.ready, "/api/readyz"), 1.0))
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return False


async def get(address, path):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
        line, _ = await read_head(reader)
        return int(line.split(" ")[1])
    finally:
        writer.close()


class Answer:
    """What a client has received: the status, the events, and whether the answer is whole."""

    def __init__(self):
        self.status, self.headers, self.body, self.events, self.is_whole, self.ended_at = None, {}, b"", 0, False, None


class Fleet:
    """A small deployment: the store, model servers, two entry hosts and a storage host in each of three zones."""

    def __init__(self, record, servers_per_zone=2):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="ragwortknot-review-")
        self.network = "127.%d.%d" % (64 + os.getpid() // 256 % 128, os.getpid() % 256)
        self.store = Store()
        self.servers_per_zone = servers_per_zone
        self.servers, self.hosts, self.storage = [], [], []
        self.last_request = 0

    async def start(self, event_gap_s=EVENT_GAP_S):
        await self.store.listen(f"{self.network}.1")
        for zone in ZONES:
            for number in range(self.servers_per_zone):
                server = ModelServer(f"i-{zone}-{number}", "agent-llm", zone, self.record)
                server.event_gap_s = event_gap_s
                await server.listen(f"{self.network}.2")
                self.servers.append(server)
                await self.store.put("servers", server.name, server.entry())
        await self.store.put("config", "main", self.config(7))
        for index, zone in enumerate(ZONES):
            for number in (1, 2):
                ip = f"{self.network}.{10 + 10 * index + number}"
                self.hosts.append(Host(self, f"front-{zone}-{number}", zone, ip, "entry"))
            self.storage.append(Host(self, f"storage-{zone}-1", zone, f"{self.network}.{15 + 10 * index}", "storage"))
        for host in self.hosts + self.storage:
            host.start()
        await self.wait_ready(self.hosts, 20)

    async def wait_ready(self, hosts, limit_s):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all([await host.is_ready() for host in hosts]):
                self.record.line(f"ready: {', '.join(host.name for host in hosts)}")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entry hosts are not ready in time")

    @staticmethod
    def config(version):
        def route(name, prefix, priority, has_history):
            return {"name": name, "host": HOST_NAME, "path_prefix": prefix, "kind": "stream", "timeout_ms": 3000,
                    "slo_ms": 250, "priority": priority, "service": "agent-llm", "max_attempts": 2,
                    "retain_history": has_history, "retain_s": RETAIN_S, "sticky": True, "can_resume": not has_history,
                    "gap_aim_ms": 400}
        return {"version": version,
                "routes": [route("r-desk", "/desk/", 0, True), route("r-lot", "/lot/", 1, False)],
                "services": [{"name": "agent-llm", "health_path": "/healthz", "max_conns": 150, "protocol": "h1",
                              "tls": False,
                              "engine": {"slots": 12, "kv_capacity": 377056, "kv_token_bytes": 18432,
                                         "link_mbps": 350000.0, "moves": True, "backups": True,
                                         "chunk_tokens": CHUNK_TOKENS, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                                         "handle_s": 5.0, "models": [{"name": "m"}]}}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}

    def stop(self):
        for host in self.hosts + self.storage:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def turn(self, host, program, body, previous=None, budget=None, most=EVENTS * CHUNK_TOKENS, path="/desk/4b",
                   finish_ms=90000, on_event=None, note=""):
        """Sends one turn on a new connection to a host, and returns its id and its answer."""
        self.last_request += 1
        request = f"q{os.getpid():x}-{self.last_request:05d}"
        headers = [("Host", HOST_NAME), ("X-Request-Id", request), ("X-Program-Id", program),
                   ("X-Session-Id", f"s-{program}"), ("X-Finish-Ms", finish_ms), ("X-Token-Usage", f"840,{most}"),
                   ("X-Model", "m"), ("X-Prompt-Prefix", f"{abs(hash(program)) % (1 << 32):08x}:840"),
                   ("X-Deadline-Ms", 3000), ("Content-Length", len(body))]
        if previous is not None:
            headers.append(("X-Previous-Turn", previous))
        if budget is not None:
            headers.append(("X-Token-Budget", budget))
        head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n"
        answer = Answer()
        self.record.line(f"client sends {request} to {host.name}: program {program}, previous turn {previous}{note}")
        try:
            await asyncio.wait_for(self.exchange(host, head.encode() + body, answer, on_event), 4.0)
        except (OSError, ValueError, IndexError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.line(f"client of {request}: no whole answer ({type(error).__name__})")
        answer.ended_at = self.record.now()
        self.record.line(f"client of {request} has status {answer.status}, {answer.events} events, "
                         f"{'whole' if answer.is_whole else 'not whole'} {answer.body[:160].decode('latin-1') if answer.status != 200 else ''}")
        return request, answer

    @staticmethod
    async def exchange(host, request, answer, on_event):
        ip, port = host.front.rsplit(":", 1)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
        try:
            writer.write(request)
            await writer.drain()
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(" ")[1])
            if answer.headers.get("transfer-encoding", "").lower() != "chunked":
                answer.body = await read_body(reader, answer.headers)
                answer.is_whole = True
                return
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                answer.events = answer.body.count(b"\n\n")
                if size == 0:
                    answer.is_whole = True
                    return
                if on_event is not None:
                    on_event(answer.events)
        finally:
            writer.close()


class CannotRun(Exception):
    pass


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, play):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        fleet = Fleet(record)
        try:
            return await play(fleet, record)
        finally:
            fleet.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError) as error:
        record.line(f"the case could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    for text in broken:
        record.line(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    if not broken:
        record.line("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
