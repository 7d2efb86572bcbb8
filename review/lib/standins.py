"""Stand-ins for the review cases: leafs, a discovery agent, clients and the platform.

They follow the protocol page of the operators: HTTP/1.1 towards clients and discovery, frames towards leafs.
All addresses are loopback addresses with free ports; the clock is the real one.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
MS = 1_000_000


def now():
    return time.time()


class Record:
    """record.txt: what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = now()

    def line(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))

    def close(self):
        self.file.close()


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


# ---- leafs ----


class Leaf:
    """A leaf: answers each part after its work, drops a part that is given up while it waits or runs."""

    def __init__(self, record, name, cell, cells, reach, work=(0.05, 0.08), seed=1):
        self.record, self.name, self.cell = record, name, cell
        self.cells, self.reach = cells, reach
        self.work = work
        self.random = random.Random(seed)
        self.started_ms = 0
        self.server = None
        self.port = None
        self.writers = set()
        self.attempts = []  # (time, part id, shard, d)
        self.faults = []
        self.draining = False  # finishes what it has, turns away what is new

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def holds(self, shard):
        return (self.cell - shard) % self.cells < self.reach

    async def serve(self, reader, writer):
        self.writers.add(writer)
        jobs = {}
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                body = await reader.readexactly(size)
                letter, rest = body[:1], body[1:]
                if letter == b"S":
                    self.call(rest, writer, jobs)
                elif letter == b"C":
                    job = jobs.pop(rest.decode(), None)
                    if job:
                        job.cancel()
                        self.record.line("leaf %s gives up %s" % (self.name, rest.decode()))
                elif letter in (b"H", b"M"):
                    self.send(writer, letter + (b"done" if letter == b"H" else b"-"))
                else:
                    self.faults.append("unknown letter")
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            for job in jobs.values():
                job.cancel()
            writer.transport.abort()

    def call(self, rest, writer, jobs):
        while rest:
            end = rest.index(b"\n")
            part, shard, options, length = rest[:end].decode().split(" ")
            query = rest[end + 1:end + 1 + int(length)]
            rest = rest[end + 1 + int(length):]
            wait_ms = int(dict(o.split("=") for o in options.split(","))["d"])
            self.attempts.append((now(), part, int(shard), wait_ms))
            self.record.line("leaf %s gets %s shard %s d=%d" % (self.name, part, shard, wait_ms))
            if not self.holds(int(shard)):
                self.faults.append("part %s of a foreign shard" % part)
            if self.draining:
                self.record.line("leaf %s turns %s away: draining" % (self.name, part))
                self.send(writer, b"R" + ("%s full 7 -\n" % part).encode())
                continue
            jobs[part] = asyncio.ensure_future(self.run(part, int(shard), query, writer, jobs))

    async def run(self, part, shard, query, writer, jobs):
        await asyncio.sleep(self.random.uniform(*self.work))
        jobs.pop(part, None)
        value = value_of(query.decode(), shard)
        self.record.line("leaf %s ran %s" % (self.name, part))
        self.send(writer, b"R" + ("%s done 7 -\n%s" % (part, value)).encode())

    @staticmethod
    def send(writer, body):
        if not writer.transport.is_closing():
            writer.write(len(body).to_bytes(4, "big") + body)


def value_of(query, shard):
    """The value that a leaf makes for a part: tells the query and the shard."""
    return "%s-%d" % (query, shard)


# ---- discovery ----


class Agent:
    """The discovery agent: answers a watch at once with what changed since the version asked from, or the whole
    list; then a line per change and an empty line every 2 s. While it is down it says nothing at all."""

    def __init__(self, record, entries, generation=41):
        self.record = record
        self.entries = {e["instanceId"]: e for e in entries}
        self.generation = generation
        self.changes = {}  # generation -> list of entries
        self.down = False
        self.server = None
        self.port = None
        self.watchers = set()

    async def start(self, port=None):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def change(self, entry):
        """A change of the list: told to every watch at once."""
        self.generation += 1
        if entry["lifecycle"] == "Gone":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        self.changes[self.generation] = [entry]
        self.record.line("discovery %s is %s, generation %d" % (entry["instanceId"], entry["lifecycle"], self.generation))
        for writer in list(self.watchers):
            self.tell(writer, {"generation": self.generation, "reset": False, "instances": [entry]})

    @staticmethod
    def chunk(writer, data):
        if not writer.transport.is_closing():
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    def tell(self, writer, message):
        if self.down:
            return
        self.record.line("discovery tells generation %d" % message["generation"])
        self.chunk(writer, (json.dumps(message) + "\n").encode())

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            self.record.line("discovery is asked %s%s" % (target, " and is down" if self.down else ""))
            while self.down:  # silent; what is asked meanwhile is answered at the return
                await asyncio.sleep(0.02)
            start = int(target.split("from=")[1]) if "from=" in target else 0
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.first(writer, start)
            self.watchers.add(writer)
            while not reader.at_eof():
                try:
                    await asyncio.wait_for(reader.read(100), 2)
                except asyncio.TimeoutError:
                    if not self.down:
                        self.chunk(writer, b"\n")
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.transport.abort()

    def first(self, writer, start):
        self.tell(writer, self.known())


# ---- clients ----


def query_body(parts, query):
    return json.dumps({"targets": [{"partition": s, "share": w} for s, w in parts], "query": query})


def request_bytes(ident, kind, deadline, body, owner=None):
    head = ["POST /%s HTTP/1.1" % kind, "Host: api.internal", "Req-Id: %s" % ident, "Req-Kind: %s" % kind,
            "Req-Deadline: %.3f" % deadline, "Content-Length: %d" % len(body)]
    if owner:
        head.append("Req-Owner: %s" % owner)
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


async def read_answer(reader):
    """Status and body of one HTTP answer; None if the connection ends before it is whole."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ")[1])
        fields = {}
        for line in head.split("\r\n")[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        return status, await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Outcome:
    def __init__(self, ident, kind, deadline, parts, query):
        self.ident, self.kind, self.deadline, self.parts, self.query = ident, kind, deadline, parts, query
        self.connected = False  # the machine of the aggregator accepted the connection
        self.sent_at = None     # the last byte was written
        self.ended_at = None
        self.status = None      # None: no answer
        self.whole = None
        self.wrong = None       # a value that no leaf made for it, a missing part
        self.owner = None       # the tenant
        self.closed = False     # the aggregator ended the connection without an answer

    def took(self):
        return (self.ended_at or now()) - self.sent_at

    def text(self):
        what = "no answer" if self.status is None else "answer %d" % self.status
        if self.closed:
            what = "closed without an answer"
        if not self.connected:
            what = "not connected"
        return "client %s %s deadline %.2f s: %s after %.3f s" % (
            self.ident, self.kind, self.deadline, what, self.took() if self.sent_at else 0)


async def ask(record, address, outcome, after=0.6):
    """Sends one request on a new connection and waits for its answer until `after` s past the client's time."""
    patience = outcome.deadline + after
    body = query_body(outcome.parts, outcome.query)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), patience)
        outcome.connected = True
        writer.write(request_bytes(outcome.ident, outcome.kind, outcome.deadline, body, outcome.owner))
        await writer.drain()
        outcome.sent_at = now()
        record.line("client %s sends %s, deadline %.2f s" % (outcome.ident, outcome.kind, outcome.deadline))
        answer = await asyncio.wait_for(read_answer(reader), patience)
        outcome.ended_at = now()
        if answer is None:
            outcome.closed = True
        else:
            outcome.status, text = answer
            if outcome.status == 200:
                check_answer(outcome, text)
    except asyncio.TimeoutError:
        outcome.ended_at = now()
    except (ConnectionError, OSError):
        outcome.ended_at = now()
        outcome.closed = outcome.connected
    finally:
        if writer:
            writer.transport.abort()
    record.line(outcome.text())
    return outcome


def check_answer(outcome, text):
    try:
        answer = json.loads(text)
        wanted = dict(outcome.parts)
        seen = set()
        for result in answer["results"]:
            shard = result["partition"]
            if shard not in wanted or shard in seen or result["value"] != value_of(outcome.query, shard):
                outcome.wrong = "part %s has the value %r" % (shard, result["value"])
            seen.add(shard)
        outcome.whole = answer["whole"]
        if outcome.whole and seen != set(wanted):
            outcome.wrong = "marked whole without all parts"
    except (ValueError, KeyError) as error:
        outcome.wrong = "unreadable answer: %s" % error


async def is_up(address):
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(read_answer(reader), 1)
        writer.transport.abort()
        return bool(answer) and answer[0] == 200
    except (asyncio.TimeoutError, ConnectionError, OSError):
        return False


# ---- the platform ----


def run_command():
    """The command of the deploy file's key `run`."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.split("=")[0].strip() == "run":
                return line.split('"')[1]
    raise RuntimeError("the deploy file names no run command")


class Aggregator:
    """Starts the program as the deploy page says: by /bin/sh -c from the root, settings by NODE_CONFIG."""

    def __init__(self, record, folder, name, config, log, arguments=""):
        self.record, self.name, self.config, self.arguments = record, name, config, arguments
        self.folder = folder
        self.log = log
        self.process = None
        self.path = os.path.join(folder, name + ".json")

    def write(self):
        part = self.path + ".new"
        with open(part, "w") as file:
            json.dump(self.config, file)
        os.replace(part, self.path)

    def start(self):
        self.write()
        tmp = tempfile.mkdtemp(dir=self.folder)
        env = dict(os.environ, NODE_NAME=self.name, NODE_CONFIG=self.path, NODE_LISTEN=self.config["listen"],
                   NODE_DISCOVERY=self.config["discovery"], TMPDIR=tmp)
        env.pop("NODE_OPS", None)
        env.pop("NODE_SOCKET_FD", None)
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command() + self.arguments], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.line("platform starts %s" % self.name)

    def kill(self, signum=signal.SIGKILL):
        self.record.line("platform sends %s to %s" % (signal.Signals(signum).name, self.name))
        self.process.send_signal(signum)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def address(self):
        host, port = self.config["listen"].split(":")
        return host, int(port)


async def wait_up(address, seconds):
    end = now() + seconds
    while now() < end:
        if await is_up(address):
            return True
        await asyncio.sleep(0.05)
    return False


def scratch():
    return tempfile.mkdtemp(prefix="review-")


def remove(folder):
    shutil.rmtree(folder, ignore_errors=True)


# ---- viti-yards, as the site file and the account of Coralchill draw it ----

VITI = dict(cells=6, shards=24, per_cell=4, leafs=12)


def viti_leafs(record, work=(0.05, 0.08)):
    """Twelve leafs in six sets of two; the members of a set hold the same four ranges."""
    return [Leaf(record, "s-%08x" % (0x5be20000 + i), i % VITI["cells"], VITI["cells"], 1, work, seed=i)
            for i in range(VITI["leafs"])]


def entry_of(leaf, lifecycle="Ready"):
    zone = ["lautoka", "nadi", "suva"][int(leaf.name[2:], 16) % 3] if leaf.reach == 1 else "nbi-dc1"
    return {"instanceId": leaf.name, "hostPort": "127.0.0.1:%d" % leaf.port, "zone": zone, "machineType": "std-2core",
            "cell": leaf.cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": leaf.started_ms}


def viti_settings(aggregators=3, index=0):
    def profile(name, aim, deadline, value, semantics):
        return {"aimNs": aim * MS, "deadlineNs": deadline * MS, "group": "all", "lateWorth": 0.3, "name": name,
                "semantics": semantics, "streamed": False, "value": value, "windowNs": 5000 * MS}

    return {
        "az": 0, "balancers": aggregators, "selfIndex": index, "clients": {"marksRetry": True}, "discovery": "pushed",
        "family": "fanout",
        "familyInfo": {"classPartial": [0.9, 1.0], "fetchParts": [0, 0], "minShare": [0.8, 1.0],
                       "needByClass": [1.0, 1.0], "overheadNs": 38 * MS, "partsACall": 8, "reach": 1,
                       "sets": VITI["cells"], "slabs": VITI["shards"], "warmKeys": False},
        "goal": {"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
        "guarantees": {"askWithinNs": 10000 * MS, "coldFrom": 0.23, "coldNs": 16000 * MS, "drainGraceNs": 250 * MS,
                       "graceToAnswerNs": 20 * MS, "overloadForNs": 1000 * MS, "tipMultiple": 2.5},
        "limits": {"cancelling": True, "connIdleNs": 15000 * MS, "connectTimeoutNs": 250 * MS, "cpuUsPerRequest": 0.0,
                   "cpuUsPerS": 400000, "maxAttempts": 3, "maxOpen": 200, "maxRetryAfterNs": 2000 * MS,
                   "mayTell": False, "probes": True, "retryAfter": False, "secondCopies": True, "streamsPerConn": 32},
        "loadReport": {"names": ["depth", "mean_ms"], "via": "piggyback"},
        "localities": ["lautoka", "nadi", "suva"], "machineTypes": ["std-2core"], "overShareWorth": 1.0,
        "profiles": [profile("stock-search", 1000, 2000, 3.0, "repeatable"),
                     profile("pallet-move", 1000, 2500, 1.0, "once")],
        "realms": [],
        "tariffs": {"connection": 0.0, "crossZone": 0.01, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.08,
                    "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.011, "waste": 0.035},
        "tickNs": 5 * MS, "tier": 0, "tiers": ["stock-nodes"], "weights": "silent", "worthBy": "request"}


class Queries:
    """The usual clients of viti-yards: half searches of 14 ranges in a row, half moves of one or two."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.count = 0

    def next(self, kind=None):
        self.count += 1
        kind = kind or self.random.choice(["stock-search", "pallet-move"])
        width = 14 if kind == "stock-search" else self.random.choice([1, 2])
        first = self.random.randrange(VITI["shards"])
        shards = [(first + i) % VITI["shards"] for i in range(width)]
        share = [round(1.0 / width, 6)] * width
        share[-1] = round(1.0 - sum(share[:-1]), 6)
        deadline = (2.0 if kind == "stock-search" else 2.5) * self.random.uniform(0.6, 1.0)
        ident = "%016x" % self.random.getrandbits(64)
        return Outcome(ident, kind, round(deadline, 3), list(zip(shards, share)), "q%07d" % self.count)


def lost(outcome, slack=0.55):
    """The rule `lost`: a request that was taken gets its final answer; half a second after its time, and the 50 ms of
    the socket rules, it still only earns nothing. A connection that was not accepted, or that the aggregator shut
    unread, took nothing."""
    if not outcome.connected or outcome.sent_at is None or outcome.closed:
        return False
    return outcome.status is None or outcome.took() > outcome.deadline + slack


# ---- dawa-collect-nbi, with the settings that the wire page gives as its example ----

DAWA = dict(cells=12, shards=24, reach=3, leafs=12)


def dawa_leafs(record, work=(0.16, 0.26)):
    """Twelve leafs round a ring; each branch group is held by three in a row."""
    return [Leaf(record, "s-%08x" % (0x5be30000 + i), i, DAWA["cells"], DAWA["reach"], work, seed=i)
            for i in range(DAWA["leafs"])]


def dawa_settings(aggregators=2, index=0):
    def profile(name, aim, deadline, value):
        return {"aimNs": aim * MS, "deadlineNs": deadline * MS, "group": "all", "lateWorth": 0.3, "name": name,
                "semantics": "repeatable", "streamed": False, "value": value, "windowNs": 5000 * MS}

    return {
        "az": 0, "balancers": aggregators, "selfIndex": index, "clients": {"marksRetry": True}, "discovery": "pushed",
        "family": "fanout",
        "familyInfo": {"classPartial": [0.8, 0.9], "fetchParts": [0, 0], "minShare": [0.8, 1.0],
                       "needByClass": [1.0, 1.0], "overheadNs": 0, "partsACall": 1, "reach": DAWA["reach"],
                       "sets": DAWA["cells"], "slabs": DAWA["shards"], "warmKeys": False},
        "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.1},
        "guarantees": {"askWithinNs": 10000 * MS, "coldFrom": 0.22, "coldNs": 17000 * MS, "drainGraceNs": 500 * MS,
                       "graceToAnswerNs": 20 * MS, "overloadForNs": 2000 * MS, "tipMultiple": 4.0},
        "limits": {"cancelling": True, "connIdleNs": 30000 * MS, "connectTimeoutNs": 250 * MS, "cpuUsPerRequest": 0.0,
                   "cpuUsPerS": 581201, "maxAttempts": 4, "maxOpen": 126, "maxRetryAfterNs": 2000 * MS,
                   "mayTell": False, "probes": False, "retryAfter": True, "secondCopies": True, "streamsPerConn": 32},
        "loadReport": {"names": [], "via": "silent"},
        "localities": ["nbi-dc1"], "machineTypes": ["std-2core"], "overShareWorth": 0.05,
        "profiles": [profile("wide-search", 3000, 6000, 2.0), profile("basket-check", 2000, 4000, 1.0)],
        "realms": [{"name": "nairobi-metro", "quotaPerS": 5.0, "share": 0.57},
                   {"name": "coast-branches", "quotaPerS": 3.0, "share": 0.27},
                   {"name": "rift-branches", "quotaPerS": 2.0, "share": 0.16}],
        "tariffs": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.052,
                    "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.036},
        "tickNs": 5 * MS, "tier": 0, "tiers": ["stock-query"], "weights": "nominal", "worthBy": "request"}


class DawaQueries(Queries):
    """The usual clients of dawa-collect-nbi: searches of all branch groups, baskets of four to seven in a row."""

    def next(self, kind=None):
        self.count += 1
        kind = kind or ("wide-search" if self.random.random() < 0.29 else "basket-check")
        width = DAWA["shards"] if kind == "wide-search" else self.random.randint(4, 7)
        first = self.random.randrange(DAWA["shards"])
        shards = [(first + i) % DAWA["shards"] for i in range(width)]
        share = [round(1.0 / width, 6)] * width
        share[-1] = round(1.0 - sum(share[:-1]), 6)
        deadline = (6.0 if kind == "wide-search" else 4.0) * self.random.uniform(0.6, 1.0)
        ident = "%016x" % self.random.getrandbits(64)
        out = Outcome(ident, kind, round(deadline, 3), list(zip(shards, share)), "q%07d" % self.count)
        out.owner = self.random.choices(["nairobi-metro", "coast-branches", "rift-branches"], [57, 27, 16])[0]
        return out


# ---- a case ----


def run_case(here, case, seconds=100):
    """Runs `case(record, folder, log)`, which returns 0 (the rule held), 1 (broken) or 2 (could not run)."""
    folder = scratch()
    record = Record(here)
    code = 2

    async def limited():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record, folder, log), seconds)

    with open(os.path.join(folder, "log"), "w") as log:
        try:
            code = asyncio.run(limited())
        except BaseException as error:  # whatever it is, the case could not run
            record.line("the case could not run: %r" % error)
            print("the case could not run: %r" % error)
        finally:
            with open(os.path.join(folder, "log")) as text:
                for line in text.read()[-20000:].splitlines():
                    record.file.write("   log   %s\n" % line)
            record.line("exit %d" % code)
            record.close()
            remove(folder)
    return code
