"""Case 3: an aggregator is killed and started again while discovery is down. See claim.txt."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 5.0           # requests a second: a third of the 14 of the site
KILL_AT = 4.0        # s after the first request
NOTICE = 2.0         # s until the front notices the death; the site file: 0.93 to 2.8 s
DISCOVERY_DOWN = 5.0  # s from the kill on
END_AT = 14.0


async def case(record, folder, log):
    leafs = s.viti_leafs(record)
    for leaf in leafs:
        await leaf.start()
    agent = s.Agent(record, [s.entry_of(leaf) for leaf in leafs])
    await agent.start()
    config = {"name": "n1", "listen": "127.0.0.1:%d" % s.free_port(), "discovery": "127.0.0.1:%d" % agent.port,
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": agent.known(), "settings": s.viti_settings()}
    node = s.Aggregator(record, folder, "n1", config, log)
    queries = s.Queries(7)
    tasks = []
    try:
        node.start()
        if not await s.wait_up(node.address(), 30):
            record.line("the aggregator was not ready within 30 s")
            return 2
        begin = s.now()
        killed_at = noticed = None
        while s.now() - begin < END_AT:
            if TROUBLE and killed_at is None and s.now() - begin >= KILL_AT:
                agent.down = True
                record.line("discovery is down")
                killed_at = s.now()
                node.kill(signal.SIGKILL)
                node.process.wait()
                node.config["seed"] = "1d27a5be9648c1f3"
                node.start()
            if agent.down and s.now() - killed_at >= DISCOVERY_DOWN:
                agent.down = False
                record.line("discovery is back")
            if killed_at and noticed is None and s.now() - killed_at >= NOTICE:
                noticed = asyncio.ensure_future(s.wait_up(node.address(), 20))
                record.line("the front notices the death and waits for /up")
            if noticed is None or noticed.done():
                tasks.append(asyncio.ensure_future(s.ask(record, node.address(), queries.next())))
            await asyncio.sleep(1 / RATE)
        outcomes = await asyncio.gather(*tasks)
        alive = node.process.poll() is None
    finally:
        node.stop()
        for leaf in leafs:
            await leaf.stop()
    lost = [o for o in outcomes if s.lost(o)]
    for o in lost:
        record.line("LOST: " + o.text())
        print("LOST:", o.text())
    early = [o for o in outcomes if o.sent_at and o.sent_at < begin + KILL_AT - 1]
    record.line("%d requests, %d of them lost" % (len(outcomes), len(lost)))
    print("%d requests, %d of them lost" % (len(outcomes), len(lost)))
    if not alive or any(o.status is None for o in early):
        return 2  # the aggregator ended by itself, or did not serve before the disruption
    return 1 if lost else 0


sys.exit(s.run_case(HERE, case))
