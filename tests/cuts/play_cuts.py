#!/usr/bin/env python3
"""Plays a day of cuts between entry hosts in real time, with the real programs on loopback.

Run it in the project's root after `cargo build --release -p ragwortknot-platform`:

    python3 tests/cuts/play_cuts.py --seed 1 review/4/day.toml

It starts six entry hosts and three storage hosts as processes, with the stand-ins of review/standins for the store, servers and clients.
Each host reaches the store at an address of its own, and loses its datagrams on demand, so that it can be cut off from the store and from
its peers while clients and servers still reach it. Both ends of a cut differ in time. A write that is held by a cut is applied later, as
TCP delivers it; a read is dropped, as its caller has given it up. It checks what clients and servers see, and exits with 1 if a rule was broken:

    LOST      a turn that was answered whole is answered 404 or 410, or reaches no server in five tries at hosts in touch;
              a kept connection is closed more than three times after its request has reached a server, by a host in touch
    BUDGET    a program is handed more than its budget and one turn
    UNASKED   a server is sent another prompt than the chain of the turn
    a process ends by itself

Stalls of the player itself are printed, as they are no fault of the hosts. Logs are kept if a rule was broken.
"""
import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter, deque

sys.path.insert(0, os.path.join(os.getcwd(), "review", "standins"))
import standins  # noqa: E402

TURN_TOKENS = standins.EVENTS * standins.CHUNK_TOKENS
CHAIN_BUDGET = 100_000
LOOP_BUDGET = 7 * TURN_TOKENS
CLIENT_TIMEOUT_S = 4.0
# Time after a cut from which a host counts as in touch, and idle time for which clients keep a connection.
CONTACT_S = 3.0
KEEP_S = 12.0
# Time for which the kernel sends unacknowledged bytes again, and size of a stall that is worth a line.
RESEND_S = 1.6
STALL_S = 0.25


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("day", nargs="?", default="review/4/day.toml", help="day file with entries of kind node_cut, how all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--chains", type=int, default=40, help="programs at a time whose turns keep history")
    parser.add_argument("--loops", type=int, default=4, help="programs at a time that spend their budget with four turns at once")
    parser.add_argument("--first-bytes", type=int, default=12_000, help="input of a chain's first turn")
    parser.add_argument("--next-bytes", type=int, default=1_500, help="input of each further turn")
    parser.add_argument("--cross", type=float, default=0.1, help="share of turns that go to a host of any zone")
    parser.add_argument("--store-lag", type=float, default=1.5, help="most seconds after a cut until the store is reached")
    parser.add_argument("--peer-lag", type=float, default=1.5, help="most seconds after a cut until peers are reached")
    parser.add_argument("--held-lag", type=float, default=2.0, help="most seconds after that until a held call is applied")
    parser.add_argument("--answer", type=float, default=0.004, help="seconds that the store takes for a call")
    parser.add_argument("--page", type=int, default=500, help="objects on a page of the store")
    parser.add_argument("--build", default=os.getcwd(), help="folder with target/release of the build to play")
    parser.add_argument("--keep-logs", action="store_true")
    return parser.parse_args()


class SharedStore(standins.Store):
    """Objects that all views share."""

    def __init__(self):
        super().__init__()
        self.calls = Counter()
        self.recent = {"read": deque(), "write": deque()}
        self.rates = {"read": 2_000, "write": 400}

    def admits(self, is_read):
        """Counts a call, and says whether the store's rate has room for it."""
        kind, now = ("read" if is_read else "write"), time.monotonic()
        recent = self.recent[kind]
        while recent and recent[0] < now - 1:
            recent.popleft()
        if len(recent) >= self.rates[kind]:
            self.calls["refused"] += 1
            return False
        recent.append(now)
        return True


class StoreView(standins.Store):
    """The store as one host reaches it."""

    def __init__(self, shared, host, options, rng):
        self.shared, self.host, self.options, self.rng = shared, host, options, rng
        self.texts = {}
        super().__init__()
        self.kinds, self.events, self.changed = shared.kinds, shared.events, shared.changed

    @property
    def revision(self):
        return self.shared.revision

    @revision.setter
    def revision(self, value):
        self.shared.revision = max(value, self.shared.revision)

    async def pass_cut(self):
        """Waits for the end of a cut. Returns the time for which bytes were held."""
        if not self.host.is_store_cut:
            return 0.0
        since = time.monotonic()
        while self.host.is_store_cut:
            await asyncio.sleep(0.01)
        held_s = time.monotonic() - since
        await asyncio.sleep(self.rng.uniform(0, self.options.held_lag))
        return held_s

    async def answer(self, method, target, headers, body, writer):
        held_s = await self.pass_cut()
        is_read = method == "GET"
        if is_read and held_s > RESEND_S:
            return False
        if not self.shared.admits(is_read):
            return await self.send(writer, 429)
        self.shared.calls[f"{'read' if is_read else 'write'} {target.split('?')[0].split('/')[3]}"] += 1
        return await super().answer(method, target, headers, body, writer)

    async def json(self, writer, status, value):
        await self.pass_cut()
        return await super().json(writer, status, value)

    def text(self, kind, item):
        """JSON of an object, kept as long as it doesn't change: pages hold hundreds of them."""
        key, revision = (kind, item["metadata"]["name"]), item["metadata"]["revision"]
        known = self.texts.get(key)
        if known is None or known[0] != revision:
            known = self.texts[key] = (revision, json.dumps(item))
        return known[1]

    async def read(self, kind, name, query, writer):
        if name is not None:
            return await super().read(kind, name, query, writer)
        objects, items, size, has_more = self.kinds.get(kind, {}), [], 0, False
        for key in sorted(it for it in objects if it > query.get("after", "")):
            if len(items) >= self.options.page or size > self.PAGE_BYTES:
                has_more = True
                break
            items.append(self.text(kind, objects[key]))
            size += len(items[-1])
        body = '{"items":[%s],"more_pages":%s,"current_rev":%d}' % (",".join(items), json.dumps(has_more), self.revision)
        await self.pass_cut()
        return await self.send(writer, 200, body.encode())


class ClientPool:
    """Clients that keep their connections."""

    def __init__(self, fleet, record):
        self.fleet, self.record, self.free = fleet, record, {}

    async def send(self, host, program, body, previous, budget, path):
        self.fleet.last_request += 1
        request = f"q{os.getpid():x}-{self.fleet.last_request:05d}"
        headers = [("Host", standins.HOST_NAME), ("X-Request-Id", request), ("X-Program-Id", program), ("X-Session-Id", f"s-{program}"),
                   ("X-Finish-Ms", 20_000), ("X-Token-Usage", f"840,{TURN_TOKENS}"), ("X-Model", "m"), ("X-Deadline-Ms", 3_000),
                   ("X-Prompt-Prefix", f"{hash(program) % (1 << 32):08x}:840"), ("X-Token-Budget", budget), ("Content-Length", len(body))]
        headers += [("X-Previous-Turn", previous)] if previous else []
        head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n"
        answer = standins.Answer()
        answer.is_kept = answer.is_closed = False
        self.record.line(f"client sends {request} to {host.name}: program {program}, previous turn {previous}")
        try:
            await asyncio.wait_for(self.exchange(host, head.encode() + body, answer), CLIENT_TIMEOUT_S)
        except asyncio.TimeoutError:
            self.record.line(f"client of {request} has given up")
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError) as error:
            answer.is_closed = True
            self.record.line(f"client of {request}: the connection is closed ({type(error).__name__})")
        answer.ended_at = self.record.now()
        text = answer.body[:200].decode("latin-1") if answer.status != 200 else ""
        self.record.line(f"client of {request} has status {answer.status}, {answer.events} events, {'whole' if answer.is_whole else 'not whole'} {text}")
        return request, answer

    async def exchange(self, host, data, answer):
        free = self.free.setdefault(host.name, [])
        connection = None
        while free and connection is None:
            reader, writer, used_at = free.pop()
            if used_at > time.monotonic() - KEEP_S and not reader.at_eof():
                connection, answer.is_kept = (reader, writer), True
            else:
                writer.close()
        ip, port = host.front.rsplit(":", 1)
        reader, writer = connection or await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
        may_keep = False
        try:
            writer.write(data)
            await writer.drain()
            line, answer.headers = await standins.read_head(reader)
            answer.status = int(line.split(" ")[1])
            if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                await self.read_chunks(reader, answer)
            else:
                answer.body = await standins.read_body(reader, answer.headers)
            answer.is_whole = True
            may_keep = answer.headers.get("connection", "").lower() != "close"
            if may_keep:
                free.append((reader, writer, time.monotonic()))
        finally:
            if not may_keep:
                writer.close()

    @staticmethod
    async def read_chunks(reader, answer):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            answer.events = answer.body.count(b"\n\n")
            if size == 0:
                return


class Play:
    """One play of a day, and what it has seen."""

    def __init__(self, fleet, record, options, scratch):
        self.fleet, self.record, self.options, self.scratch = fleet, record, options, scratch
        self.rng = random.Random(options.seed)
        self.day = tomllib.load(open(options.day, "rb"))
        self.clients = ClientPool(fleet, record)
        self.broken, self.answers, self.unanswered, self.stalls = [], Counter(), Counter(), []
        self.whole, self.turns, self.handed = {}, {}, Counter()

    def now(self):
        return self.record.now() - self.zero

    def is_over(self):
        return self.now() >= self.day["length_s"]

    def start_host(self, host):
        environment = {"PATH": os.environ["PATH"], "RAGWORTKNOT_CONFIG": host.settings, "LD_PRELOAD": self.library, "CUT_FILE": host.flag}
        program = os.path.join(self.options.build, "target", "release", f"ragwortknot-{host.role}")
        with open(os.path.join(self.fleet.folder, f"{host.name}.log"), "ab") as log:
            host.process = subprocess.Popen([program], env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def set_peers(self, host, is_cut):
        with open(host.flag, "r+b") as file:
            file.write(b"\1" if is_cut else b"\0")

    async def start(self):
        self.library = os.path.join(self.scratch, "cut_udp.so")
        source = os.path.join(os.path.dirname(os.path.abspath(__file__)), "cut_udp.c")
        subprocess.run(["cc", "-O2", "-shared", "-fPIC", "-o", self.library, source, "-ldl"], check=True)
        self.fleet.store = SharedStore()
        # The hosts start below, each with its own view of the store.
        standins.Host.start = lambda host: None
        self.fleet.wait_ready = lambda hosts, limit: asyncio.sleep(0)
        await self.fleet.start()
        del self.fleet.wait_ready
        for host in self.fleet.hosts + self.fleet.storage:
            host.cuts, host.is_store_cut, host.cut_ended_at = 0, False, -CONTACT_S
            host.flag = os.path.join(self.scratch, f"{host.name}.cut")
            with open(host.flag, "wb") as file:
                file.write(b"\0")
            view = StoreView(self.fleet.store, host, self.options, self.rng)
            await view.listen(f"{self.fleet.network}.3")
            with open(host.settings, encoding="utf-8") as file:
                settings = file.read().replace(self.fleet.store.address, view.address)
            with open(host.settings, "w", encoding="utf-8") as file:
                file.write(settings)
            self.start_host(host)
        await self.fleet.wait_ready(self.fleet.hosts, 20)
        await asyncio.sleep(4)
        self.zero = self.record.now()

    async def cut(self, fault):
        await asyncio.sleep(max(0, fault["at"] - self.now()))
        free = [it for it in self.fleet.hosts if it.zone == fault.get("zone", it.zone) and not it.cuts]
        chosen = self.rng.sample(free, min(len(free), fault.get("count", 1)))
        for host in chosen:
            host.cuts += 1
            host.is_store_cut = True
            self.set_peers(host, True)
            self.record.line(f"{host.name} is cut off")
        await asyncio.sleep(fault["for_s"])
        await asyncio.gather(*(self.join(host) for host in chosen))

    async def join(self, host):
        host.cuts -= 1
        host.cut_ended_at = self.now() + max(self.options.store_lag, self.options.peer_lag)

        async def join_store():
            await asyncio.sleep(self.rng.uniform(0, self.options.store_lag))
            if not host.cuts:
                host.is_store_cut = False
                self.record.line(f"{host.name} reaches the store")

        async def join_peers():
            await asyncio.sleep(self.rng.uniform(0, self.options.peer_lag))
            if not host.cuts:
                self.set_peers(host, False)
                self.record.line(f"{host.name} reaches its peers")

        await asyncio.gather(join_store(), join_peers())

    def is_in_touch(self, host):
        return not host.cuts and host.cut_ended_at + CONTACT_S < self.now()

    def has_run(self, request):
        return any(run["request"] == request for server in self.fleet.servers for run in server.runs[-400:])

    async def attempt(self, host, program, body, previous, budget, path):
        """Sends a turn. Returns its id, its answer, and whether a host in touch has sent it to no server."""
        was_in_touch = self.is_in_touch(host)
        age = f", answered whole {self.record.now() - self.whole[previous]:.2f} s ago" if previous in self.whole else ""
        request, answer = await self.clients.send(host, program, body, previous, budget, path)
        in_touch = was_in_touch and self.is_in_touch(host)
        self.turns[request] = (body, previous)
        self.handed[program] += answer.events * standins.CHUNK_TOKENS
        end = "" if answer.is_whole else ", closed" if answer.is_closed else ", given up"
        self.answers[f"{'in touch' if was_in_touch else 'cut'}: {answer.status}{end}"] += 1
        if previous and answer.status in (404, 410):
            self.broken.append(f"LOST: {request} at {host.name} at {self.now():.2f} s is answered {answer.status}, continues {previous}{age}")
        if in_touch and answer.is_kept and answer.is_closed and not answer.is_whole and self.has_run(request):
            self.unanswered[host.name] += 1
        if answer.status == 402 and budget == CHAIN_BUDGET:
            self.answers["402 for a program that has spent little"] += 1
        if answer.status == 200 and answer.is_whole:
            self.whole[request] = answer.ended_at
        return request, answer, in_touch and bool(previous) and not self.has_run(request)

    def pick_host(self, zone, avoided=None):
        near = [it for it in self.fleet.hosts if it.zone == zone or self.rng.random() < self.options.cross]
        return self.rng.choice([it for it in near if it is not avoided] or self.fleet.hosts)

    async def turn(self, zone, program, body, previous):
        """A turn with one retry of its client after a refusal, sent again from its start twice at most."""
        unserved = 0
        for _ in range(3):
            host = self.pick_host(zone)
            for chosen in (host, None):
                chosen = chosen or self.pick_host(zone, host)
                request, answer, is_unserved = await self.attempt(chosen, program, body, previous, CHAIN_BUDGET, "/desk/4b")
                unserved += is_unserved
                if unserved == 5:
                    self.broken.append(f"LOST: a turn of {program} that continues {previous} reaches no server in five tries, at {self.now():.1f} s")
                if answer.status not in (429, 503):
                    break
                await asyncio.sleep(min(0.5, float(answer.headers.get("retry-after", 0.1))))
            if answer.status in (400, 402, 404, 410, 413) or (answer.status == 200 and answer.is_whole):
                break
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        return request if answer.status == 200 and answer.is_whole else None

    def input(self, size):
        return self.rng.randbytes(size // 2).hex().encode()

    async def run_chain(self, number):
        zone, count = list(standins.ZONES)[number % 3], 0
        await asyncio.sleep(self.rng.uniform(0, 2))
        while not self.is_over():
            program, count = f"chain-{number}-{count}", count + 1
            previous = await self.turn(zone, program, self.input(self.options.first_bytes), None)
            for _ in range(60 if self.rng.random() < 0.1 else self.rng.randint(4, 11)):
                if previous is None or self.is_over():
                    break
                if self.rng.random() < 0.25:
                    helper = await self.turn(zone, program, self.input(self.options.next_bytes), previous)
                    if helper:
                        await self.turn(zone, program, self.input(self.options.next_bytes), helper)
                previous = await self.turn(zone, program, self.input(self.options.next_bytes), previous)
                await asyncio.sleep(self.rng.choice([0.05, 0.1, 0.1, 0.2, 0.3]))

    async def run_loop(self, number):
        zone, count = list(standins.ZONES)[number % 3], 0
        while not self.is_over():
            program, count, refusals = f"loop-{number}-{count}", count + 1, 0

            async def run_client():
                nonlocal refusals
                while refusals < 3 and not self.is_over():
                    _, answer, _ = await self.attempt(self.pick_host(zone), program, b"c" * 1_500, None, LOOP_BUDGET, "/lot/4b")
                    refusals += answer.status == 402
                    await asyncio.sleep(0.05)

            await asyncio.gather(*(run_client() for _ in range(4)))
            if self.handed[program] > LOOP_BUDGET + TURN_TOKENS:
                self.broken.append(f"BUDGET: {program} was handed {self.handed[program]} tokens of {LOOP_BUDGET} + {TURN_TOKENS}, by {self.now():.1f} s")

    async def watch(self):
        """Notices processes that end, and stalls of the player."""
        while not self.is_over():
            before = self.now()
            await asyncio.sleep(0.02)
            if self.now() - before > STALL_S:
                self.stalls.append((round(before, 1), round(self.now() - before, 2)))
            for host in self.fleet.hosts:
                if host.process.poll() is not None:
                    self.broken.append(f"{host.name} has ended by itself at {self.now():.1f} s")
                    self.start_host(host)

    def check_prompts(self):
        for run in (run for server in self.fleet.servers for run in server.runs if run["request"] in self.turns):
            body, previous = self.turns[run["request"]]
            while previous:
                earlier, before = self.turns[previous]
                body, previous = earlier + standins.turn_output(previous) + body, before
            if body != run["body"]:
                self.broken.append(f"UNASKED: {run['request']} was sent another prompt than its chain")

    async def run(self):
        await self.start()
        cuts = [self.cut(it) for it in self.day["faults"] if it["kind"] == "node_cut" and it.get("how") == "all"]
        chains = [self.run_chain(number) for number in range(self.options.chains)]
        loops = [self.run_loop(number) for number in range(self.options.loops)]
        try:
            await asyncio.wait_for(asyncio.gather(self.watch(), *cuts, *chains, *loops), self.day["length_s"] + 40)
        except asyncio.TimeoutError:
            print("the play has not ended in time")
        self.check_prompts()
        self.broken += [f"LOST: {name} has closed {count} kept connections without an answer" for name, count in self.unanswered.items() if count > 3]

    def report(self):
        print(json.dumps({"seed": self.options.seed, "answers": dict(sorted(self.answers.items())), "unanswered": dict(self.unanswered),
                          "stalls": self.stalls, "calls": dict(self.fleet.store.calls)}))
        for text in self.broken:
            self.record.line(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        print("broken" if self.broken else "held")


def main():
    options = parse_options()
    scratch = tempfile.mkdtemp(prefix="play-cuts-")
    standins.REPOSITORY = options.build
    standins.Store.ANSWER_S = options.answer

    async def play(fleet, record):
        day = Play(fleet, record, options, scratch)
        await day.run()
        day.report()
        if day.broken or options.keep_logs:
            os.environ["KEEP_LOGS"] = "1"
            print(f"record: {scratch}/record.txt")
        fleet.stop()
        sys.stdout.flush()
        # Watches of the stand-in store may outlive a cancellation.
        os._exit(1 if day.broken else 0)

    standins.main(scratch, play)


if __name__ == "__main__":
    main()
