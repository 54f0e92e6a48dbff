"""Faults injected from outside the programs. Each function takes the fleet and
a random generator, records the event in the ledger, and ends the fault
again."""
import asyncio
import random
import signal

import proxy
from world import now


async def record_event_for(fleet, kind, subject, seconds):
    """Records an event that lasts for the given time, and waits for its end."""
    event = fleet.ledger.add_event(kind, subject, until=now() + 3600)
    await asyncio.sleep(seconds)
    event[1] = now()


async def node_pause(fleet, rng):
    node = rng.choice(fleet.nodes)
    if node.deliver_signal(signal.SIGSTOP):
        await record_event_for(fleet, "pause", node.name, rng.uniform(0.3, 3.0))
        node.deliver_signal(signal.SIGCONT)


async def node_kill(fleet, rng):
    node = rng.choice(fleet.nodes)
    event = fleet.ledger.add_event("kill", node.name, until=now() + 3600)
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


async def replace_each(fleet):
    """Replaces each host in turn by one of the other version; for a while,
    hosts of both run side by side."""
    await asyncio.sleep(2.0)
    for node in fleet.nodes:
        node.program = fleet.last_program
        await node.restart()
        await asyncio.sleep(0.5)


async def node_reload(fleet, rng):
    for node in fleet.nodes:
        if node.deliver_signal(signal.SIGHUP):
            fleet.ledger.add_event("hup", node.name)


async def all_killed(fleet, rng):
    event = fleet.ledger.add_event("kill", None, until=now() + 3600)
    down_s = rng.uniform(0.1, 1.0)
    await asyncio.gather(*(node.kill(down_s) for node in fleet.nodes))
    event[1] = now()


async def inject_link_fault(fleet, rng, proxies, subject):
    """Injects one kind of fault into the connections of some proxies."""
    seconds = rng.uniform(0.5, 4.0)
    kind = rng.choice([proxy.DELAY, proxy.CUT, proxy.CUT_IN, proxy.CUT_OUT,
                       proxy.RESET, "silence"])
    event = fleet.ledger.add_event("link " + kind, subject, until=now() + 3600)
    for link_proxy in proxies:
        if kind == proxy.DELAY:
            link_proxy.delay_s = rng.uniform(0.02, 0.3)
        elif kind == "silence":
            link_proxy.silence()
        else:
            link_proxy.mode = kind
            if kind == proxy.RESET:
                link_proxy.reset()
    await asyncio.sleep(seconds)
    for link_proxy in proxies:
        link_proxy.mode, link_proxy.delay_s = proxy.PASS, 0.0
    event[1] = now()


async def caller_links(fleet, rng):
    node = rng.choice(fleet.nodes)
    await inject_link_fault(fleet, rng, [node.caller_proxy], node.name)


async def store_link(fleet, rng):
    node = rng.choice(fleet.nodes)
    await inject_link_fault(fleet, rng, [node.store_proxy], node.name)


async def server_links(fleet, rng):
    count = rng.randint(1, max(1, len(fleet.servers) // 3))
    servers = rng.sample(list(fleet.servers), count)
    await inject_link_fault(fleet, rng, [s.proxy for s in servers], None)


async def store_down(fleet, rng):
    fleet.store.down = True
    await record_event_for(fleet, "store down", None, rng.uniform(0.5, 5.0))
    fleet.store.down = False


async def store_slow(fleet, rng):
    fleet.store.extra_delay_s = rng.uniform(0.05, 0.4)
    await record_event_for(fleet, "store slow", None, rng.uniform(1.0, 5.0))
    fleet.store.extra_delay_s = 0.0


# The store drops deleted items and the history of changes, so that watches from
# older revisions are answered with 410.
async def store_compacts(fleet, rng):
    fleet.ledger.add_event("store forgets", None)
    fleet.store.compact()


async def server_misbehaves(fleet, rng):
    count = rng.randint(1, max(1, len(fleet.servers) // 4))
    servers = rng.sample(list(fleet.servers), count)
    mode = rng.choice(["slow", "silent", "losing", "failing", "shedding",
                       "cutting", "doubling"])
    for server in servers:
        server.mode = mode
    await record_event_for(fleet, "servers " + mode, None,
                           rng.uniform(1.0, 5.0))
    for server in servers:
        server.mode = "good"


async def server_crash(fleet, rng):
    """A server crashes. A new one of the same service or of another takes its
    address after the time for which addresses stay unused."""
    server = rng.choice(list(fleet.servers))
    event = fleet.ledger.add_event("server crash", None, until=now() + 3600)
    await fleet.remove_server(server, removal_delay_s=rng.uniform(0.5, 3.6))
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
    fleet.ledger.add_event("drain", server.id, at, at)
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
    available = [zone for zone in fleet.zones if zone not in fleet.evacuated]
    if not available:
        return
    zone = rng.choice(available)
    fleet.evacuated.add(zone)
    at = fleet.store.put("op/evacuate/" + zone, b"{}")
    event = fleet.ledger.add_event("evacuate", zone, at, now() + 3600)
    await asyncio.sleep(rng.uniform(6.0, 8.0))
    event[1] = now()
    fleet.store.remove("op/evacuate/" + zone)
    fleet.evacuated.discard(zone)


async def peers_silent(fleet, rng):
    """The open connections of some or all hosts, to each other and to the
    store, fall silent for good just before a change; new ones work. To the
    platform's rules this is a reset of the connections of all hosts."""
    nodes = rng.choice([fleet.nodes, rng.sample(fleet.nodes, 3)])
    fleet.ledger.add_event("connections silent", None)
    for node in nodes:
        node.store_proxy.silence()
    fleet.peers.silence({node.ip for node in nodes})
    fleet.next_version_at = now() + rng.uniform(0.0, 1.0)


async def peers_slow(fleet, rng):
    """The links of some hosts carry each read later."""
    nodes = rng.sample(fleet.nodes, 3)
    delay_s = rng.uniform(0.1, 0.4)
    pairs = [frozenset((a.ip, b.ip)) for a in nodes for b in fleet.nodes
             if a is not b]
    fleet.peers.delays.update({pair: delay_s for pair in pairs})
    await asyncio.gather(*(record_event_for(
        fleet, "peers slow", node.name, 4.0) for node in nodes))
    for pair in pairs:
        fleet.peers.delays.pop(pair, None)


async def peers_one_way(fleet, rng):
    """What some hosts send to certain peers doesn't arrive for a while."""
    pairs = set()
    while len(pairs) < 6:
        sender, receiver = rng.sample(fleet.nodes, 2)
        pairs.add((sender, receiver))
    addresses = {(sender.ip, receiver.ip) for sender, receiver in pairs}
    fleet.peers.blocked |= addresses
    seconds = rng.uniform(1.0, 4.0)
    await asyncio.gather(*(record_event_for(
        fleet, "peers one way", name, seconds)
        for name in sorted({node.name for pair in pairs for node in pair})))
    fleet.peers.blocked -= addresses


PLANNED_FAULTS = [node_term, rolling_restart, node_reload, server_drain,
                  change_configuration, reshard, evacuate]
UNPLANNED_FAULTS = [node_pause, node_kill, all_killed, caller_links, store_link,
                    server_links, store_down, store_slow, store_compacts,
                    server_misbehaves, server_crash]

# Beside a change of the configuration every few seconds.
LINK_FAULTS = [peers_silent, peers_silent, peers_slow, peers_one_way,
               node_term, node_kill]


async def no_trouble(fleet, until):
    """The hosts run all the time."""


async def restart_each(fleet, until):
    """Each host stops and starts again once, one after the other."""
    await asyncio.sleep(8.0)
    for node in fleet.nodes:
        await node.restart()


async def restart_all_the_time(fleet, until):
    await asyncio.sleep(4.0)
    while now() < until - 8.0:
        for node in fleet.nodes:
            await node.restart()


async def kill_in_turn(fleet, until):
    await asyncio.sleep(4.0)
    while now() < until - 5.0:
        for node in fleet.nodes:
            event = fleet.ledger.add_event("kill", node.name,
                                           until=now() + 3600)
            await node.kill(0.3)
            event[1] = now()
            await asyncio.sleep(0.7)


async def pause_in_turn(fleet, until):
    """Freezes two hosts in turn, each for longer than the first quarantine."""
    for node in fleet.nodes[:2]:
        if node.deliver_signal(signal.SIGSTOP):
            await record_event_for(fleet, "pause", node.name, 11.0)
            node.deliver_signal(signal.SIGCONT)


async def all_killed_once(fleet, until):
    await asyncio.sleep(8.0)
    await all_killed(fleet, random.Random(fleet.seed))


class CrashingPlay:
    """How a request that crashes servers is sent, and the trouble beside."""

    def __init__(self, route, interval_s, all_at_once, trouble):
        self.route = route            # index into the fleet's routes
        self.interval_s = interval_s
        self.all_at_once = all_at_once
        self.trouble = trouble


GATHER, PULL, ONCE = 0, 2, 3   # routes of the fleet
CRASHING_PLAYS = [
    CrashingPlay(PULL, 0.8, False, no_trouble),
    CrashingPlay(PULL, 0.8, False, restart_each),
    CrashingPlay(GATHER, 0.8, False, restart_each),
    CrashingPlay(PULL, 2.0, True, no_trouble),
    CrashingPlay(GATHER, 3.0, True, no_trouble),
    CrashingPlay(PULL, 0.8, False, restart_all_the_time),
    CrashingPlay(GATHER, 0.8, False, kill_in_turn),
    CrashingPlay(ONCE, 0.3, False, restart_each),
    CrashingPlay(PULL, 0.8, False, kill_in_turn),
    CrashingPlay(PULL, 1.0, True, pause_in_turn),
    CrashingPlay(PULL, 0.8, True, all_killed_once)]
