"""Case 3: a planned restart while feature servers hang. See claim.txt."""
import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEADLINE = 6.0   # s: the give-up time of wide-search, as the file of the front tells it
EVERY = 0.2      # s between two requests
TERM_AT = 3.0    # s after the first request
HANG_AT = 2.0    # the servers of one group begin to hang, through the whole of the shutdown
KILL_AFTER = 8.0  # s from SIGTERM to SIGKILL; no sooner than 3.7 s
COLLECTION = "/collections/branches/items"


class FeatureServer:
    """A server of OGC API Features with one page of two features; while it hangs it takes requests and never replies."""

    def __init__(self, record, name):
        self.record, self.name, self.hangs, self.server = record, name, False, None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                hangs = self.hangs
                self.record.line("server %s gets %s%s" % (self.name, head.split(" ")[1], ", hangs" if hangs else ""))
                if hangs:
                    await reader.read()
                    return
                await asyncio.sleep(0.03)
                body = json.dumps({"type": "FeatureCollection", "features": [
                    {"type": "Feature", "id": "%s-%d" % (self.name[:-1], i), "geometry": None, "properties": {}}
                    for i in range(2)]})
                writer.write(("HTTP/1.1 200 OK\r\nContent-Type: application/geo+json\r\nContent-Length: %d\r\n\r\n%s"
                              % (len(body), body)).encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


async def ask(record, address, number):
    """One request for all branches, on a new connection. Returns what became of it."""
    out = {"number": number, "taken": False, "status": None, "took": 0.0, "closed": False, "sent": None}
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(("GET %s?limit=10 HTTP/1.1\r\nHost: maps\r\n\r\n" % COLLECTION).encode())
        out["sent"] = s.now()
        out["taken"] = True
        record.line("client %d sends its request" % number)
        answer = await asyncio.wait_for(s.read_answer(reader), DEADLINE + 0.55)
        out["closed"] = answer is None
        out["status"] = answer[0] if answer else None
    except asyncio.TimeoutError:
        pass
    except (ConnectionError, OSError):
        out["closed"] = out["taken"]
    finally:
        if writer:
            writer.transport.abort()
    if out["sent"]:
        out["took"] = s.now() - out["sent"]
    what = "answer %d" % out["status"] if out["status"] else "closed without an answer" if out["closed"] else "no answer"
    out["text"] = "client %d: %s after %.3f s" % (number, what if out["taken"] else "not connected", out["took"])
    record.line(out["text"])
    return out


async def case(record, folder, log):
    leafs = s.dawa_leafs(record)
    for leaf in leafs:
        await leaf.start()
    agent = s.Agent(record, [s.entry_of(leaf) for leaf in leafs])
    await agent.start()
    groups, servers = [], {}
    for group in ("coast", "metro", "rift"):
        servers[group] = [FeatureServer(record, "%s%d" % (group, i)) for i in range(2)]
        groups.append({"name": group, "servers": [{"address": await x.start()} for x in servers[group]]})
    front = ("127.0.0.1", s.free_port())
    path = os.path.join(folder, "features.json")
    with open(path, "w") as file:
        json.dump({"listen": "%s:%d" % front, "deadlineMs": int(DEADLINE * 1000), "aimMs": 3000, "groups": groups,
                   "collections": [{"id": "branches", "title": "Branches", "description": "Shops"}]}, file)
    config = {"name": "n1", "listen": "127.0.0.1:%d" % s.free_port(), "discovery": "127.0.0.1:%d" % agent.port,
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": agent.known(), "settings": s.dawa_settings()}
    node = s.Aggregator(record, folder, "n1", config, log, arguments=" --features " + path)
    tasks = []
    term_at = None
    try:
        node.start()
        if not await s.wait_up(node.address(), 30):
            record.line("the aggregator was not ready within 30 s")
            return 2
        begin = s.now()
        hang = False
        while s.now() - begin < TERM_AT:
            if TROUBLE and not hang and s.now() - begin >= HANG_AT:
                hang = True
                record.line("the servers of metro hang")
                for server in servers["metro"]:
                    server.hangs = True
            tasks.append(asyncio.ensure_future(ask(record, front, len(tasks))))
            await asyncio.sleep(EVERY)
        node.kill(signal.SIGTERM)
        term_at = s.now()
        while node.process.poll() is None and s.now() - term_at < KILL_AFTER:
            await asyncio.sleep(0.01)
        if node.process.poll() is None:
            node.kill(signal.SIGKILL)
            node.process.wait()
        text = "the aggregator ended %.2f s after SIGTERM, exit code %s" % (s.now() - term_at, node.process.returncode)
        record.line(text)
        print(text)
        outcomes = await asyncio.gather(*tasks)
    finally:
        node.stop()
        for leaf in leafs:
            await leaf.stop()
    lost = [o for o in outcomes if o["taken"] and o["status"] is None]
    for o in lost:
        record.line("LOST: " + o["text"])
        print("LOST:", o["text"])
    record.line("%d requests, %d of them lost" % (len(outcomes), len(lost)))
    print("%d requests, %d of them lost" % (len(outcomes), len(lost)))
    if any(o["status"] != 200 for o in outcomes if o["sent"] and o["sent"] < begin + HANG_AT - 0.5):
        return 2  # it did not serve before the disruption
    return 1 if lost else 0


sys.exit(s.run_case(HERE, case))
