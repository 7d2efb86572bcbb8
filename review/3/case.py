"""Case 3: two new configurations in quick succession, while the lists run behind. See claim.txt."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 3.0       # requests a second: about half of the 5.3 of the site
DRAIN_AT = 4.0   # s after the first request: the first discovery address tells that a leaf drains
FIRST_AT = 5.0   # the first new configuration
SECOND_AT = 6.5  # the second
BEHIND = 6.0     # s by which the lists run behind; the incident record: 3.5 to 8.7 s further
END_AT = 14.0
GRACE = 0.5 + 0.05  # the rule, and the 50 ms of the socket rules


async def case(record, folder, log):
    leafs = s.dawa_leafs(record)
    for leaf in leafs:
        await leaf.start()
    agents = [s.Agent(record, [s.entry_of(leaf) for leaf in leafs]) for _ in range(3)]
    for agent in agents:
        await agent.start()
    config = {"name": "n1", "listen": "127.0.0.1:%d" % s.free_port(), "discovery": "127.0.0.1:%d" % agents[0].port,
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": agents[0].known(), "settings": s.dawa_settings()}
    node = s.Aggregator(record, folder, "n1", config, log)
    queries = s.DawaQueries(3)
    drained = leafs[3]
    told_at = None
    behind = BEHIND if TROUBLE else 0.0
    steps = [(DRAIN_AT, "drain"), (DRAIN_AT + behind, "behind"), (FIRST_AT, 1), (SECOND_AT, 2)]
    tasks = []
    try:
        node.start()
        if not await s.wait_up(node.address(), 30):
            record.line("the aggregator was not ready within 30 s")
            return 2
        begin = s.now()
        steps.sort(key=lambda step: step[0])
        while s.now() - begin < END_AT:
            while steps and s.now() - begin >= steps[0][0]:
                step = steps.pop(0)[1]
                if step == "drain":
                    drained.draining = True
                    agents[0].change(s.entry_of(drained, "Terminating"))
                    told_at = s.now()
                elif step == "behind":
                    for agent in agents[1:]:
                        agent.change(s.entry_of(drained, "Terminating"))
                else:
                    node.config["discovery"] = "127.0.0.1:%d" % agents[step].port
                    node.write()
                    node.kill(signal.SIGHUP)
            tasks.append(asyncio.ensure_future(s.ask(record, node.address(), queries.next())))
            await asyncio.sleep(1 / RATE)
        outcomes = await asyncio.gather(*tasks)
        alive = node.process.poll() is None
    finally:
        node.stop()
        for leaf in leafs:
            await leaf.stop()
    late = [a for a in drained.attempts if a[0] > told_at + GRACE]
    for at, part, _, _ in late:
        text = "DRAIN: %s was sent to %s %.3f s after the aggregator was told" % (part, drained.name, at - told_at)
        record.line(text)
        print(text)
    text = "%d requests; %d parts were sent to the draining leaf after the grace" % (len(outcomes), len(late))
    record.line(text)
    print(text)
    if not alive or not any(a[0] < told_at for a in drained.attempts) or any(leaf.faults for leaf in leafs):
        return 2  # the aggregator ended by itself, or the leaf got no work before
    return 1 if late else 0


sys.exit(s.run_case(HERE, case))
