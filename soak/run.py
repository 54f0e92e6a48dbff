#!/usr/bin/env python3
"""Randomized fault soak of the real programs on loopback.

Starts hosts in platform mode as processes, injects faults into them and their
peers by signals, proxies and misbehaving stand-ins, and checks the platform's
promises from what callers and servers observed.

Usage: run.py PROGRAM [--seeds FIRST-LAST,...] [--seconds N] [--nodes N]
              [--jobs N] [--trouble none|planned|all|crashing|links]
              [--older PROGRAM] [--keep DIRECTORY]
Exit status 1 when a promise was broken. Every third seed has planned events
only, so that the bounds that hold during those are checked too; every second
one of the others has a request that crashes the servers which run it. With
--trouble crashing, each seed has such a request beside one kind of trouble at
the hosts (faults.CRASHING_PLAYS, by turns). With --trouble links, the hosts
reach each other through proxies; the connections between them and to the store
fall silent, slow down or lose one direction while the configuration changes.
With --older, a build of another version, the hosts are replaced in turn during
the run: by PROGRAM in even seeds, by the older build in odd ones.
"""
import argparse
import asyncio
import concurrent.futures
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile

import checks
import faults
import peers
import proxy
import world
from world import now

SHARDS = 6
REQUESTS_PER_S = 30.0
POPULAR_SHARE = 0.1     # of requests that have a target in common
RECOVERY_S = 6.0        # after the last fault, before the final requests
FINAL_REQUESTS = 40
MORE_ROUTES = 600       # of a large configuration
GRACE_S = 6.0
READY_LIMIT_S = 8.0
# The event loop of the stand-ins is checked for delays of its own at this
# interval; shorter delays than the limit change no check by much.
DELAY_CHECK_INTERVAL_S = 0.05
STAND_IN_DELAY_LIMIT_S = 0.2
# Before this time a process may not have installed its signal handlers, and the
# signal itself may end it.
SIGNAL_HANDLERS_READY_S = 0.5
ZONES = ["dc-a", "dc-b"]
FIRST_NET = 100         # 127.100.x.x is the first seed's network
CALLER_PORT, STORE_PORT, READINESS_PORT, DIRECTORY_PORT, SERVER_PORT = \
    8104, 8102, 8108, 8100, 9000


class Node:
    """One host: its process, and its proxies to the store and from callers."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = "host-%d" % index
        self.zone = ZONES[index % len(ZONES)]
        self.ip = fleet.ip(0, index)
        self.peer_ip = fleet.ip(6, index) if fleet.peers else self.ip
        self.program = fleet.first_program
        self.process = None
        self.exit_expected = False
        self.start_count = 0
        self.started_at = 0.0
        self.version_seen_at = {}   # version -> when its route first answered
        self.restart_lock = asyncio.Lock()
        self.store_proxy = proxy.Proxy(
            (fleet.ip(2, index), STORE_PORT), fleet.store.address)
        self.caller_proxy = proxy.Proxy(
            (fleet.ip(3, index), CALLER_PORT), (self.ip, CALLER_PORT))
        self.settings_path = os.path.join(fleet.directory, self.name + ".conf")
        self.log = open(os.path.join(fleet.directory, self.name + ".log"), "ab")

    def write_settings(self):
        seeds = ",".join("%s:8106" % node.peer_ip
                         for node in self.fleet.nodes[:3])
        lines = ["node_name=" + self.name, "zone=" + self.zone, "region=r",
                 "listen.frontend=%s:%d" % (self.ip, CALLER_PORT),
                 "listen.readiness=%s:%d" % (self.ip, READINESS_PORT),
                 "listen.control=%s:8106" % self.ip,
                 "listen.directory=%s:%d" % (self.ip, DIRECTORY_PORT),
                 "port_range=7380,7395", "seeds=" + seeds,
                 "limits.cpu_share=0.5", "limits.cores=1",
                 "bounds.retry_budget_ratio=%s" % checks.RETRY_RATIO,
                 "bounds.retry_slack=%s" % checks.RETRY_SLACK,
                 "bounds.retry_window_s=%s" % checks.RETRY_WINDOW_S,
                 "bounds.grace_s=%s" % GRACE_S,
                 "platform.address=%s:%d" % self.store_proxy.listen]
        with open(self.settings_path, "w") as out:
            out.write("\n".join(lines) + "\n")

    def start(self):
        self.exit_expected = False
        self.start_count += 1
        self.started_at = now()
        self.version_seen_at = {}
        self.process = subprocess.Popen(
            [self.program, "platform"], stdout=self.log,
            stderr=subprocess.STDOUT,
            env={"TOUCANRIDGE_NODE_FILE": self.settings_path})

    def deliver_signal(self, signal_number):
        if self.process.poll() is not None or self.exit_expected:
            return False
        self.process.send_signal(signal_number)
        return True

    async def wait_for_exit(self, limit_s):
        until = now() + limit_s
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def kill(self, down_s):
        """Kills the process and starts it again."""
        async with self.restart_lock:
            self.exit_expected = True
            self.process.kill()
            await self.wait_for_exit(5.0)
            self.fleet.note_if_all_down()
            await asyncio.sleep(down_s)
            self.start()

    async def terminate(self):
        """Stops the process; it has to end within the grace time."""
        if not self.deliver_signal(signal.SIGTERM):
            return
        self.exit_expected = True
        event = self.fleet.ledger.add_event("term", self.name,
                                            until=now() + 3600)
        started = now()
        if not await self.wait_for_exit(GRACE_S):
            if not checks.near_unplanned_event(
                    self.fleet.ledger, started, now(), [self.name]):
                self.fleet.findings.append(
                    "%s still runs %.1f s after SIGTERM" % (self.name, GRACE_S))
            self.process.kill()
            await self.wait_for_exit(5.0)
        elif self.process.returncode != 0 and \
                started > self.started_at + SIGNAL_HANDLERS_READY_S:
            self.fleet.findings.append(
                "%s ended with status %d after SIGTERM" % (
                    self.name, self.process.returncode))
        event[1] = now()

    async def restart(self):
        async with self.restart_lock:
            await self.terminate()
            if self.process.poll() is not None:
                self.fleet.note_if_all_down()
                self.start()

    def check_alive(self):
        if self.process.poll() is not None and not self.exit_expected:
            self.fleet.findings.append(
                "%s ended unexpectedly with status %d" % (
                    self.name, self.process.returncode))
            self.exit_expected = True


# A request for the route of one configuration version. It is expected to be
# served unless a later version was put or the host restarted meanwhile.
class Probe:
    def __init__(self, attempt, version, put_at, expected, first_seen_at):
        self.attempt = attempt
        self.version = version
        self.put_at = put_at   # when the version was put into the store
        self.expected = expected
        self.first_seen_at = first_seen_at   # None if not before this probe


# The hosts, the store, the backend servers and the callers of one seed.
class Fleet:
    def __init__(self, options, seed, directory, net):
        self.first_program = self.last_program = os.path.abspath(
            options.program)
        if options.older and seed % 2 == 0:
            self.first_program = os.path.abspath(options.older)
        elif options.older:
            self.last_program = os.path.abspath(options.older)
        self.options = options
        self.seed = seed
        self.rng = random.Random(seed)   # for callers and servers
        self.planned_only = options.trouble == "planned" or \
            (options.trouble == "all" and seed % 3 == 0)
        self.crashing_targets = set()
        self.directory = directory
        self.net = net
        self.zones = ZONES
        self.evacuated = set()
        self.faults_began = now()
        self.stand_in_delay_s = 0.0
        self.ledger = world.Ledger()
        self.findings = []
        self.store = world.Store((self.ip(1, 0), STORE_PORT))
        self.servers = set()
        self.server_count = 0
        self.returns = set()   # of crashed servers
        self.version = 0
        self.version_put = 0.0
        self.generation = 0
        self.next_version_at = 0.0
        self.peers = None
        if options.trouble == "links":
            self.peers = peers.PeerNetwork("127.%d.0." % net,
                                           "127.%d.6." % net)
        self.nodes = [Node(self, i) for i in range(options.nodes)]
        self.callers = world.Caller(
            self, {node.name: node.caller_proxy.listen for node in self.nodes})
        self.routes = [
            world.Route("all", "/all/", 300, 2000, True, "GET", gather=True),
            world.Route("quick", "/quick/", 100, 1000, True, "GET",
                        gather=True),
            world.Route("pull", "/pull/", 800, 3000, True, "GET",
                        service="vault"),
            world.Route("once", "/once/", 800, 3000, False, "POST",
                        b"charge 20", service="vault")]

    def ip(self, block, index):
        return "127.%d.%d.%d" % (self.net, block, index + 1)

    def shards(self, generation=None):
        generation = self.generation if generation is None else generation
        return ["shard-%d-%d" % (generation, i) for i in range(SHARDS)]

    def services(self):
        return self.shards() + ["vault"]

    def configure(self):
        """Puts the next version of the configuration, with a route of its own
        that the version after it no longer has."""
        self.version += 1
        shards = self.shards()
        routes = [route.document(shards) for route in self.routes]
        routes.append(self.version_route(self.version).document(shards))
        routes += [world.Route("more-%d" % i, "/more-%d/" % i, 300, 2000, True,
                               "GET", gather=True).document(shards)
                   for i in range(MORE_ROUTES if self.peers else 0)]
        services = [{"name": name, "health_path": "/health",
                     "max_connections": 30, "warmup_per_s": 0.0}
                    for name in self.services()]
        document = {"version": self.version, "routes": routes,
                    "services": services,
                    "limits": {"max_header_bytes": 16384,
                               "max_body_bytes": 262144,
                               "header_timeout_ms": 3000,
                               "idle_timeout_ms": 15000}}
        self.ledger.shard_sets.append((now(), frozenset(shards)))
        self.version_put = self.store.put(
            "op/config", world.json.dumps(document).encode())
        self.ledger.add_event("config", None)

    @staticmethod
    def version_route(version):
        return world.Route("v%d" % version, "/v%d/" % version, 300, 2000, True,
                           "GET", gather=True)

    async def add_server(self, service, zone, index=None):
        if index is None:
            index = self.server_count
            self.server_count += 1
        address = (self.ip(4, index), SERVER_PORT)
        server = world.Server(
            self, "i-%08x" % self.rng.getrandbits(32), service, zone, address,
            (self.ip(5, index), SERVER_PORT))
        server.index = index
        server.proxy = proxy.Proxy(server.published_address, address)
        await server.start()
        await server.proxy.start()
        self.servers.add(server)
        self.store.put("servers/" + server.id, server.entry())
        return server

    async def remove_server(self, server, removal_delay_s):
        self.servers.discard(server)
        server.stop()
        await server.proxy.stop()
        await asyncio.sleep(removal_delay_s)
        self.store.remove("servers/" + server.id)

    def note_if_all_down(self):
        if all(node.process.poll() is not None for node in self.nodes):
            self.ledger.all_down.append(now())

    def crash_server(self, server, target):
        """Ends a server at once; it is back after some seconds, mostly with
        another id."""
        if server not in self.servers:
            return
        self.ledger.crashes.append((now(), target))
        self.servers.discard(server)
        server.stop()
        server.proxy.refuse()
        event = self.ledger.add_event("server crash", None,
                                      until=now() + 3600)
        self.returns.add(asyncio.ensure_future(
            self.return_server(server, event)))

    async def return_server(self, server, event):
        await asyncio.sleep(self.rng.uniform(1.5, 3.0))
        if self.rng.random() < 0.7:
            self.store.remove("servers/" + server.id)
            server.id = "i-%08x" % self.rng.getrandbits(32)
        server.started_at = now()
        await server.start()
        await server.proxy.start()
        self.servers.add(server)
        self.store.put("servers/" + server.id, server.entry())
        event[1] = now()

    async def reshard(self):
        """Starts servers for a new set of shards, configures these, and drains
        the old servers."""
        old_services = set(self.shards())
        next_generation = self.generation + 1
        for name in self.shards(next_generation):
            for zone in ZONES:
                await self.add_server(name, zone)
        await asyncio.sleep(2.0)
        self.generation = next_generation
        self.configure()
        await asyncio.sleep(checks.CONFIG_LIMIT_S)
        leaving = [s for s in self.servers if s.service in old_services]
        for server in leaving:
            at = self.store.put("servers/" + server.id,
                                server.entry("draining"))
            self.ledger.add_event("drain", server.id, at, at)
        await asyncio.sleep(5.0)
        for server in leaving:
            if server in self.servers:
                await self.remove_server(server, 0.0)

    async def start(self):
        await self.store.start()
        for name in self.shards():
            for zone in ZONES:
                await self.add_server(name, zone)
        for i in range(3):
            await self.add_server("vault", ZONES[i % len(ZONES)])
        self.configure()
        for node in self.nodes:
            await node.store_proxy.start()
            await node.caller_proxy.start()
            if self.peers:
                await self.peers.add_host(node.ip, node.peer_ip)
            node.write_settings()
            node.start()
        until = now() + READY_LIMIT_S
        route = self.routes[0]
        for node in self.nodes:
            while True:
                attempt = await self.send(route, node.name, 2.0, probe=True)
                if attempt.answer and attempt.answer.status == 200:
                    break
                if now() > until:
                    self.findings.append(
                        "%s didn't serve in time after its start" % node.name)
                    return
                await asyncio.sleep(0.1)
        self.ledger.add_event("start", None)

    async def send(self, route, node, deadline_s, leave_s=None, probe=False,
                   final=False, suffix=None):
        suffix = suffix or "%x" % self.rng.getrandbits(40)
        services = set(self.shards()) if route.gather else {route.service}
        task = self.callers.send(route, node, suffix, deadline_s, leave_s,
                                 reuse=self.rng.random() < 0.7)
        attempt = await task
        attempt.services = services
        attempt.is_probe = probe
        attempt.is_final = final
        return attempt

    async def run_traffic(self, until):
        """Sends requests on persistent and new connections; some callers leave
        early."""
        running = set()
        popular = random.Random("popular %d" % self.seed)
        while now() < until:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
            route = self.rng.choice(self.routes)
            node = self.rng.choice(self.nodes).name
            deadline_s = route.timeout_ms / 1000
            leave_s = self.rng.uniform(0.0, 0.1) \
                if self.rng.random() < 0.05 else None
            suffix = "popular" if popular.random() < POPULAR_SHARE else None
            running.add(asyncio.ensure_future(
                self.send(route, node, deadline_s, leave_s, suffix=suffix)))
        await asyncio.gather(*running)

    async def run_crashing_request(self, until, play):
        """Sends a request that crashes servers, again and again, to one host
        or to all hosts at once."""
        rng = random.Random("crashing %d" % self.seed)
        route = self.routes[play.route]
        suffix = "crash%x" % rng.getrandbits(32)
        self.crashing_targets.add(route.prefix + suffix)
        running = set()
        while now() < until:
            names = [node.name for node in self.nodes]
            if not play.all_at_once:
                names = [rng.choice(names)]
            running |= {asyncio.ensure_future(self.send(
                route, name, route.timeout_ms / 1000, suffix=suffix))
                        for name in names}
            await asyncio.sleep(play.interval_s)
        await asyncio.gather(*running)

    async def run_probes(self, until):
        """Requests the route of the newest version from each host."""
        while now() < until:
            await asyncio.sleep(0.5)
            for node in self.nodes:
                node.check_alive()
            await asyncio.gather(*(self.probe(node) for node in self.nodes))

    async def probe(self, node):
        version, put_at, start_count = \
            self.version, self.version_put, node.start_count
        first_seen_at = node.version_seen_at.get(version)
        attempt = await self.send(self.version_route(version), node.name, 2.0,
                                  probe=True)
        # A later version may have dropped the route meanwhile.
        expected = version == self.version and start_count == node.start_count
        self.ledger.probes.append(
            Probe(attempt, version, put_at, expected, first_seen_at))
        if attempt.answer and attempt.answer.status == 200 and \
                start_count == node.start_count:
            node.version_seen_at.setdefault(version, attempt.ended_at)

    async def inject_faults(self, until):
        """Starts faults one after the other; they may overlap."""
        if self.options.trouble in ("none", "crashing"):
            return
        kinds = faults.LINK_FAULTS if self.peers \
            else faults.PLANNED_FAULTS if self.planned_only \
            else faults.PLANNED_FAULTS + faults.UNPLANNED_FAULTS * 2
        running = set()
        # Separate generators make the faults of a seed the same in every run.
        series = random.Random("series %d" % self.seed)
        self.faults_began = now()
        while now() < until:
            # After a fault at the links the hosts are owed time to recover.
            await asyncio.sleep(series.uniform(4.5, 7.0) if self.peers
                                else series.uniform(0.2, 2.5))
            kind = series.choice(kinds)
            print("%6.2f %s" % (now() - self.faults_began, kind.__name__),
                  file=self.trace)
            rng = random.Random("%d %d" % (self.seed, len(running)))
            running.add(asyncio.ensure_future(kind(self, rng)))
        await asyncio.gather(*running)

    async def change_regularly(self, until):
        """Puts a version once the last one is due everywhere, and other items
        in between, so that hosts fetch from many peers."""
        rng = random.Random("changes %d" % self.seed)
        while now() < until:
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            if now() > self.next_version_at:
                self.next_version_at = now() + checks.CONFIG_LIMIT_S + \
                    rng.uniform(1.5, 4.0)
                self.configure()
            else:
                self.store.put("other/item", b"%f" % now())

    async def watch_stand_in_delay(self):
        """Records when the event loop of the stand-ins was held up: they then
        observe messages later than the hosts sent them."""
        while True:
            began = now()
            await asyncio.sleep(DELAY_CHECK_INTERVAL_S)
            late = now() - began - DELAY_CHECK_INTERVAL_S
            if late > STAND_IN_DELAY_LIMIT_S:
                self.stand_in_delay_s = max(self.stand_in_delay_s, late)
                self.ledger.add_event("stand-ins held up", None, began, now())
                print("%6.2f stand-ins held up %.2f s" % (
                    now() - self.faults_began, late), file=self.trace)

    async def finish(self):
        await asyncio.sleep(RECOVERY_S)
        for i in range(FINAL_REQUESTS):
            route = self.routes[i % len(self.routes)]
            node = self.nodes[i % len(self.nodes)].name
            await self.send(route, node, route.timeout_ms / 1000, final=True)
        for node in self.nodes:
            node.check_alive()
        await asyncio.gather(*(node.terminate() for node in self.nodes))

    async def run(self):
        self.trace = open(os.path.join(self.directory, "faults.log"), "w")
        watch = asyncio.ensure_future(self.watch_stand_in_delay())
        try:
            await self.start()
            until = now() + self.options.seconds
            tasks = [self.run_traffic(until), self.run_probes(until),
                     self.inject_faults(until - 3.0)]
            if self.options.trouble == "crashing":
                plays = faults.CRASHING_PLAYS
                play = plays[self.seed % len(plays)]
                tasks += [self.run_crashing_request(until, play),
                          play.trouble(self, until)]
            elif self.options.trouble == "all" and self.seed % 2 == 0 and \
                    not self.options.older and not self.planned_only:
                tasks.append(self.run_crashing_request(
                    until, faults.CRASHING_PLAYS[0]))
            if self.options.older:
                tasks.append(faults.replace_each(self))
            if self.peers:
                tasks.append(self.change_regularly(until - 5.0))
            await asyncio.gather(*tasks)
            await asyncio.gather(*self.returns)
            await self.finish()
        finally:
            watch.cancel()
            self.trace.close()
            for node in self.nodes:
                if node.process and node.process.poll() is None:
                    node.process.kill()
                    node.process.wait()
        for check in checks.CHECKS:
            self.findings += ["%s: %s" % (check.__name__, finding)
                              for finding in check(self.ledger)]
        return self.findings


async def run_ignoring_connection_errors(coroutine):
    """Runs without logging unhandled exceptions of the stand-ins' tasks: the
    faults end connections at any point, and such an error is no finding."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await coroutine


def run_seed(options, seed, net):
    """Runs one seed. Returns its report, and whether all promises held."""
    directory = tempfile.mkdtemp(prefix="soak-%d-" % seed)
    fleet = Fleet(options, seed, directory, net)
    random.seed(seed)
    findings = asyncio.run(run_ignoring_connection_errors(fleet.run()))
    attempts = fleet.ledger.attempts.values()
    served = sum(1 for a in attempts if a.answer and a.answer.status == 200)
    report = "seed %d: %s, %d requests, %d served, %d runs, %d events" % (
        seed, "FAILED" if findings else "ok", len(attempts), served,
        sum(map(len, fleet.ledger.runs.values())), len(fleet.ledger.events))
    if fleet.ledger.crashes:
        report += ", %d crashes" % len(fleet.ledger.crashes)
    if fleet.stand_in_delay_s > 0:
        report += ", stand-ins held up %.2f s" % fleet.stand_in_delay_s
    for finding in findings[:10]:
        report += "\n  " + finding
    if findings and options.keep:
        kept_logs = os.path.join(options.keep, "seed-%d" % seed)
        shutil.copytree(directory, kept_logs, dirs_exist_ok=True)
        report += "\n  logs kept in " + kept_logs
    shutil.rmtree(directory)
    return report, not findings


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--trouble", default="all",
                        choices=["none", "planned", "all", "crashing", "links"])
    parser.add_argument("--older")
    parser.add_argument("--keep")
    options = parser.parse_args()
    seeds = []
    for part in options.seeds.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    all_held = True
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        futures = [pool.submit(run_seed, options, seed, FIRST_NET + i % 100)
                   for i, seed in enumerate(seeds)]
        for future in concurrent.futures.as_completed(futures):
            report, held = future.result()
            print(report, flush=True)
            all_held = all_held and held
    sys.exit(0 if all_held else 1)


if __name__ == "__main__":
    main()
