"""Faults from outside the programs. Each function takes the fleet and its
random generator, notes what it harms, and lifts it again."""
import asyncio
import signal

import proxy
from world import now


async def hold(fleet, kind, what, seconds):
    """Notes a fault for as long as it lasts."""
    event = fleet.ledger.note(kind, what, until=now() + 3600)
    await asyncio.sleep(seconds)
    event[1] = now()


async def node_pause(fleet, rng):
    node = rng.choice(fleet.nodes)
    if node.send(signal.SIGSTOP):
        await hold(fleet, "pause", node.name, rng.uniform(0.3, 3.0))
        node.send(signal.SIGCONT)


async def node_kill(fleet, rng):
    node = rng.choice(fleet.nodes)
    event = fleet.ledger.note("kill", node.name, until=now() + 3600)
    await node.kill(rng.uniform(0.2, 3.0))
    event[1] = now()


async def node_term(fleet, rng):
    await rng.choice(fleet.nodes).restart()


async def rolling_restart(fleet, rng):
    gap_s = rng.uniform(0.3, 1.5)
    restarts = []
    for node in fleet.nodes:
        restarts.append(asyncio.ensure_future(node.restart()))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*restarts)


async def node_reload(fleet, rng):
    for node in fleet.nodes:
        if node.send(signal.SIGHUP):
            fleet.ledger.note("hup", node.name)


async def all_killed(fleet, rng):
    event = fleet.ledger.note("kill", None, until=now() + 3600)
    down_s = rng.uniform(0.1, 1.0)
    await asyncio.gather(*(node.kill(down_s) for node in fleet.nodes))
    event[1] = now()


async def harm(fleet, rng, proxies, what):
    """Harms the connections of some proxies in one way."""
    seconds = rng.uniform(0.5, 4.0)
    kind = rng.choice([proxy.DELAY, proxy.CUT, proxy.CUT_IN, proxy.CUT_OUT,
                       proxy.RESET, "silence"])
    event = fleet.ledger.note("link " + kind, what, until=now() + 3600)
    for each in proxies:
        if kind == proxy.DELAY:
            each.delay_s = rng.uniform(0.02, 0.3)
        elif kind == "silence":
            each.silence()
        else:
            each.mode = kind
            if kind == proxy.RESET:
                each.reset()
    await asyncio.sleep(seconds)
    for each in proxies:
        each.mode, each.delay_s = proxy.PASS, 0.0
    event[1] = now()


async def caller_links(fleet, rng):
    node = rng.choice(fleet.nodes)
    await harm(fleet, rng, [node.caller_proxy], node.name)


async def store_link(fleet, rng):
    node = rng.choice(fleet.nodes)
    await harm(fleet, rng, [node.store_proxy], node.name)


async def server_links(fleet, rng):
    count = rng.randint(1, max(1, len(fleet.servers) // 3))
    servers = rng.sample(list(fleet.servers), count)
    await harm(fleet, rng, [s.proxy for s in servers], None)


async def store_down(fleet, rng):
    fleet.store.down = True
    await hold(fleet, "store down", None, rng.uniform(0.5, 5.0))
    fleet.store.down = False


async def store_slow(fleet, rng):
    fleet.store.slow_s = rng.uniform(0.05, 0.4)
    await hold(fleet, "store slow", None, rng.uniform(1.0, 5.0))
    fleet.store.slow_s = 0.0


async def store_forgets(fleet, rng):
    fleet.ledger.note("store forgets", None)
    fleet.store.forget()


async def server_misbehaves(fleet, rng):
    count = rng.randint(1, max(1, len(fleet.servers) // 4))
    servers = rng.sample(list(fleet.servers), count)
    mode = rng.choice(["slow", "silent", "losing", "failing", "shedding",
                       "cutting", "doubling"])
    for server in servers:
        server.mode = mode
    await hold(fleet, "servers " + mode, None, rng.uniform(1.0, 5.0))
    for server in servers:
        server.mode = "good"


async def server_crash(fleet, rng):
    """A server crashes; it, or a server of another service, takes its address
    after the time for which addresses rest."""
    server = rng.choice(list(fleet.servers))
    event = fleet.ledger.note("server crash", None, until=now() + 3600)
    await fleet.remove_server(server, lapse_s=rng.uniform(0.5, 3.6))
    await asyncio.sleep(2.0)
    other = rng.choice(fleet.services()) if rng.random() < 0.4 \
        else server.service
    await fleet.add_server(other, server.zone, server.index)
    if other != server.service:
        await fleet.add_server(server.service, server.zone)
    event[1] = now()


async def server_drain(fleet, rng):
    server = rng.choice(list(fleet.servers))
    at = fleet.store.put("servers/" + server.id, server.entry("draining"))
    fleet.ledger.note("drain", server.id, at, at)
    await fleet.add_server(server.service, server.zone)
    await asyncio.sleep(5.0)
    fleet.store.remove("servers/" + server.id)
    server.stop()
    fleet.servers.discard(server)


async def change_configuration(fleet, rng):
    for _ in range(rng.choice([1, 1, 5])):
        fleet.configure()
        await asyncio.sleep(rng.uniform(0.05, 0.5))


async def reshard(fleet, rng):
    await fleet.reshard()


async def evacuate(fleet, rng):
    free = [zone for zone in fleet.zones if zone not in fleet.evacuated]
    if not free:
        return
    zone = rng.choice(free)
    fleet.evacuated.add(zone)
    at = fleet.store.put("op/evacuate/" + zone, b"{}")
    event = fleet.ledger.note("evacuate", zone, at, now() + 3600)
    await asyncio.sleep(rng.uniform(6.0, 8.0))
    event[1] = now()
    fleet.store.remove("op/evacuate/" + zone)
    fleet.evacuated.discard(zone)


PLANNED = [node_term, rolling_restart, node_reload, server_drain,
           change_configuration, reshard, evacuate]
UNPLANNED = [node_pause, node_kill, all_killed, caller_links, store_link,
             server_links, store_down, store_slow, store_forgets,
             server_misbehaves, server_crash]
