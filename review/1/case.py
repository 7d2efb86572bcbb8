"""Case 1: a repeat of a call waits for a stream beyond its window. See claim.txt."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import h2  # noqa: E402
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WINDOW = 2.0   # s for repeats, as the operator file tells it
STREAMS = 4    # calls that a backend takes at once on a connection
REPORT = 4.0   # s that a report takes
MOVE = 0.1     # s that a move takes
DEADLINE = 10.0


class Ledger:
    """What the backends have applied. A repeat of a move is dropped for WINDOW s after its first attempt."""

    def __init__(self, record):
        self.record, self.first, self.applied, self.attempts = record, {}, {}, {}
        self.cut = False  # one stream has been cut

    async def handle(self, backend, text):
        self.record.line("backend %s begins %s" % (backend.name, text))
        if text.startswith("report"):
            await asyncio.sleep(REPORT)
            self.record.line("backend %s ends %s" % (backend.name, text))
            return text
        at = s.now()
        self.attempts.setdefault(text, []).append(at)
        first = self.first.setdefault(text, at)
        if text in self.applied and at - first <= WINDOW:
            self.record.line("backend %s drops the repeat of %s" % (backend.name, text))
            return text
        await asyncio.sleep(MOVE)
        self.applied.setdefault(text, []).append(at)
        self.record.line("backend %s APPLIED %s, %d. time" % (backend.name, text, len(self.applied[text])))
        if TROUBLE and not self.cut:
            self.cut = True
            self.record.line("backend %s: the stream of %s is cut before its answer" % (backend.name, text))
            return None
        return text


async def case(record, folder, log):
    ledger = Ledger(record)
    backends = [h2.Backend(record, name, STREAMS, ledger.handle) for name in ("a", "b")]
    for backend in backends:
        await backend.start()
    leafs = s.viti_leafs(record)
    for leaf in leafs:
        await leaf.start()
    agent = s.Agent(record, [s.entry_of(leaf) for leaf in leafs])
    await agent.start()
    front = ("127.0.0.1", s.free_port())
    path = os.path.join(folder, "operator.hcl")
    with open(path, "w") as file:
        file.write("""
grpc {
  listen = "%s:%d"
  pool "stock" {
    connections = 1
    streams     = %d
    backend "%s" {}
    backend "%s" {}
  }
  route "moves" {
    service    = "yards.Moves"
    pool       = "stock"
    effect     = "keyed"
    keyedMs    = %d
    aimMs      = 5000
    deadlineMs = %d
  }
  route "reports" {
    service    = "yards.Reports"
    pool       = "stock"
    effect     = "safe"
    aimMs      = 5000
    deadlineMs = %d
  }
}
""" % (front + (STREAMS, backends[0].address, backends[1].address, WINDOW * 1000, DEADLINE * 1000, DEADLINE * 1000)))
    config = {"name": "n1", "listen": "127.0.0.1:%d" % s.free_port(), "discovery": "127.0.0.1:%d" % agent.port,
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": agent.known(), "settings": s.viti_settings()}
    node = s.Aggregator(record, folder, "n1", config, log, arguments=" --operator " + path)
    calls = []

    async def call(service, text):
        sent = s.now()
        record.line("client sends %s" % text)
        out = await h2.call(front, "/yards.%s/Do" % service, text, int(DEADLINE * 1000), DEADLINE + 1)
        record.line("client has for %s: %s after %.3f s" % (text, out, s.now() - sent))
        return text, out

    try:
        node.start()
        if not await s.wait_up(node.address(), 30):
            record.line("the aggregator was not ready within 30 s")
            return 2
        for i in range(2 * STREAMS - 1):  # all streams but one are taken by reports
            calls.append(asyncio.ensure_future(call("Reports", "report-%d" % i)))
            await asyncio.sleep(0.05)
        calls.append(asyncio.ensure_future(call("Moves", "move-0001")))
        ends = await asyncio.gather(*calls)
        await asyncio.sleep(0.5)
        alive = node.process.poll() is None
    finally:
        node.stop()
        for leaf in leafs:
            await leaf.stop()
    broken = False
    for text, attempts in ledger.attempts.items():
        late = [at - attempts[0] for at in attempts if at - attempts[0] > WINDOW + 0.05]
        times = len(ledger.applied.get(text, []))
        line = "%s: %d attempts, applied %d times%s" % (
            text, len(attempts), times, "".join("; repeated %.3f s after the first" % x for x in late))
        record.line(line)
        print(line)
        broken = broken or bool(late)
    if not alive or any(out[0] != "status" for _, out in ends if not _.startswith("move")):
        return 2
    return 1 if broken else 0


sys.exit(s.run_case(HERE, case))
