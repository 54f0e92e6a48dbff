"""Not a case, as no rule of the pages names it: one query with a longer deadline
than the others makes its host refuse most later queries of that route. Prints how
many of 400 queries are served, without and with that query before them."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                os.pardir))
import standins

SHARDS, QUERIES, PAUSE_S = 20, 400, 0.05
DEADLINE_MS, LONG_DEADLINE_MS = 2500, 10000


async def send_all(play, path):
    tasks = []
    for i in range(QUERIES):
        tasks.append(asyncio.ensure_future(play.send(
            random.choice(play.hosts), "%s%d" % (path, i),
            deadline_ms=DEADLINE_MS)))
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*tasks)
    return sum(1 for answer in answers if answer.status == 200)


async def case(play):
    await play.store.start()
    names = ["shard-%02d" % i for i in range(SHARDS)]
    for name in names:
        for zone in ("za", "zb"):
            server = await play.add_server(name, zone, slots=2)
            server.work_s = lambda request: \
                0.02 * random.lognormvariate(0, 0.35)
    play.config["services"] = [play.service(name, 26) for name in names]
    play.config["routes"] = [play.route(
        "/tile/", gather=names, top_k=10, min_coverage=0.89, timeout_ms=2500,
        target_latency_ms=150)]
    play.put_config()
    await play.start_hosts()
    await asyncio.sleep(4.0)
    before = await send_all(play, "/tile/before-")
    for host in play.hosts:
        await play.send(host, "/tile/long", deadline_ms=LONG_DEADLINE_MS)
    after = await send_all(play, "/tile/after-")
    print("served %d of %d before, %d of %d after" % (before, QUERIES, after,
                                                     QUERIES))
    if 2 * after < before:
        play.broken("%d of %d queries served, %d before", after, QUERIES,
                    before)


standins.run_case(__file__, case, hosts=2)
