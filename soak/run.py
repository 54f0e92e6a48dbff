#!/usr/bin/env python3
"""Randomized fault soak of the real programs on loopback.

Starts hosts of the platform as processes, harms them and what they talk to by
signals, proxies and misbehaving stand-ins, and checks the platform's promises
from what callers and servers saw.

Usage: run.py PROGRAM [--seeds FIRST-LAST,...] [--seconds N] [--nodes N]
              [--jobs N] [--trouble none|planned|all] [--keep DIRECTORY]
Exit status 1 when a promise was broken. Every third seed has planned work
only, so that the bounds that hold around it are checked.
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
import proxy
import world
from world import now

SHARDS = 6
RATE = 30.0             # requests a second
RECOVERY_S = 6.0        # after the last trouble, before the final requests
FINAL_REQUESTS = 40
GRACE_S = 6.0
START_LIMIT_S = 8.0
OWN_TICK_S = 0.05
OWN_DELAY_S = 0.2       # a smaller one changes no check by much
SIGNALS_READY_S = 0.5   # a younger process may end by the signal itself
ZONES = ["dc-a", "dc-b"]
FIRST_NET = 100         # 127.100.x.x is the first seed's network
CALLER, STORE, READY, DIRECTORY, SERVER = 8104, 8102, 8108, 8100, 9000


class Node:
    """One host's process."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = "host-%d" % index
        self.zone = ZONES[index % len(ZONES)]
        self.ip = fleet.ip(0, index)
        self.process = None
        self.expected_end = False
        self.starts = 0
        self.started = 0.0
        self.seen = {}       # version -> when its route was seen served
        self.busy = asyncio.Lock()
        self.store_proxy = proxy.Proxy(
            (fleet.ip(2, index), STORE), fleet.store.address)
        self.caller_proxy = proxy.Proxy(
            (fleet.ip(3, index), CALLER), (self.ip, CALLER))
        self.settings = os.path.join(fleet.directory, self.name + ".conf")
        self.log = open(os.path.join(fleet.directory, self.name + ".log"), "ab")

    def write_settings(self):
        seeds = ",".join("%s:8106" % self.fleet.ip(0, i) for i in range(3))
        lines = ["node_name=" + self.name, "zone=" + self.zone, "region=r",
                 "listen.frontend=%s:%d" % (self.ip, CALLER),
                 "listen.readiness=%s:%d" % (self.ip, READY),
                 "listen.control=%s:8106" % self.ip,
                 "listen.directory=%s:%d" % (self.ip, DIRECTORY),
                 "port_range=7380,7395", "seeds=" + seeds,
                 "limits.cpu_share=0.5", "limits.cores=1",
                 "bounds.retry_budget_ratio=%s" % checks.RETRY_RATIO,
                 "bounds.retry_slack=%s" % checks.RETRY_SLACK,
                 "bounds.retry_window_s=%s" % checks.RETRY_WINDOW_S,
                 "bounds.grace_s=%s" % GRACE_S,
                 "platform.address=%s:%d" % self.store_proxy.listen]
        with open(self.settings, "w") as out:
            out.write("\n".join(lines) + "\n")

    def start(self):
        self.expected_end = False
        self.starts += 1
        self.started = now()
        self.seen = {}
        self.process = subprocess.Popen(
            [self.fleet.program, "platform"], stdout=self.log,
            stderr=subprocess.STDOUT,
            env={"TOUCANRIDGE_NODE_FILE": self.settings})

    def send(self, number):
        if self.process.poll() is not None or self.expected_end:
            return False
        self.process.send_signal(number)
        return True

    async def ended(self, limit_s):
        until = now() + limit_s
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def kill(self, down_s):
        """Kills the process and starts it again."""
        async with self.busy:
            self.expected_end = True
            self.process.kill()
            await self.ended(5.0)
            await asyncio.sleep(down_s)
            self.start()

    async def terminate(self):
        """Stops the process; it has to end within the grace time."""
        if not self.send(signal.SIGTERM):
            return
        self.expected_end = True
        event = self.fleet.ledger.note("term", self.name, until=now() + 3600)
        started = now()
        if not await self.ended(GRACE_S):
            if not checks.disturbed(self.fleet.ledger, started, now(),
                                    [self.name]):
                self.fleet.findings.append(
                    "%s runs %.1f s after SIGTERM" % (self.name, GRACE_S))
            self.process.kill()
            await self.ended(5.0)
        elif self.process.returncode != 0 and \
                started > self.started + SIGNALS_READY_S:
            self.fleet.findings.append("%s ended with %d" % (
                self.name, self.process.returncode))
        event[1] = now()

    async def restart(self):
        async with self.busy:
            await self.terminate()
            if self.process.poll() is not None:
                self.start()

    def check_alive(self):
        if self.process.poll() is not None and not self.expected_end:
            self.fleet.findings.append("%s ended by itself with %d" % (
                self.name, self.process.returncode))
            self.expected_end = True


class Probe:
    def __init__(self, attempt, version, put, expected, seen_before):
        self.attempt = attempt
        self.version = version
        self.put = put
        self.expected = expected
        self.seen_before = seen_before


class Fleet:
    def __init__(self, options, seed, directory, net):
        self.program = os.path.abspath(options.program)
        self.options = options
        self.seed = seed
        self.rng = random.Random(seed)   # of callers and servers
        self.planned_only = options.trouble == "planned" or \
            (options.trouble == "all" and seed % 3 == 0)
        self.directory = directory
        self.net = net
        self.zones = ZONES
        self.evacuated = set()
        self.began = now()
        self.own_delay_s = 0.0
        self.ledger = world.Ledger()
        self.findings = []
        self.store = world.Store((self.ip(1, 0), STORE))
        self.servers = set()
        self.server_count = 0
        self.version = 0
        self.version_put = 0.0
        self.generation = 0
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
        """Puts the next version; its own route is dropped by the one after."""
        self.version += 1
        shards = self.shards()
        routes = [route.document(shards) for route in self.routes]
        routes.append(self.version_route(self.version).document(shards))
        services = [{"name": name, "health_path": "/health",
                     "max_connections": 30, "warmup_per_s": 0.0}
                    for name in self.services()]
        document = {"version": self.version, "routes": routes,
                    "services": services,
                    "limits": {"max_header_bytes": 16384,
                               "max_body_bytes": 262144,
                               "header_timeout_ms": 3000,
                               "idle_timeout_ms": 15000}}
        self.ledger.sets.append((now(), frozenset(shards)))
        self.version_put = self.store.put(
            "op/config", world.json.dumps(document).encode())
        self.ledger.note("config", None)

    @staticmethod
    def version_route(version):
        return world.Route("v%d" % version, "/v%d/" % version, 300, 2000, True,
                           "GET", gather=True)

    async def add_server(self, service, zone, index=None):
        if index is None:
            index = self.server_count
            self.server_count += 1
        address = (self.ip(4, index), SERVER)
        server = world.Server(
            self, "i-%08x" % self.rng.getrandbits(32), service, zone, address,
            (self.ip(5, index), SERVER))
        server.index = index
        server.proxy = proxy.Proxy(server.published, address)
        await server.start()
        await server.proxy.start()
        self.servers.add(server)
        self.store.put("servers/" + server.id, server.entry())
        return server

    async def remove_server(self, server, lapse_s):
        self.servers.discard(server)
        server.stop()
        await server.proxy.stop()
        await asyncio.sleep(lapse_s)
        self.store.remove("servers/" + server.id)

    async def reshard(self):
        """Servers of the next set of shards start; a version names them, and
        the old ones drain."""
        old = set(self.shards())
        following = self.generation + 1
        for name in self.shards(following):
            for zone in ZONES:
                await self.add_server(name, zone)
        await asyncio.sleep(2.0)
        self.generation = following
        self.configure()
        await asyncio.sleep(checks.CONFIG_S)
        leaving = [s for s in self.servers if s.service in old]
        for server in leaving:
            at = self.store.put("servers/" + server.id,
                                server.entry("draining"))
            self.ledger.note("drain", server.id, at, at)
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
            node.write_settings()
            node.start()
        until = now() + START_LIMIT_S
        route = self.routes[0]
        for node in self.nodes:
            while True:
                attempt = await self.send(route, node.name, 2.0, probe=True)
                if attempt.answer and attempt.answer.status == 200:
                    break
                if now() > until:
                    self.findings.append("%s never served" % node.name)
                    return
                await asyncio.sleep(0.1)
        self.ledger.note("start", None)

    async def send(self, route, node, deadline_s, leave_s=None, probe=False,
                   final=False):
        suffix = "%x" % self.rng.getrandbits(40)
        services = set(self.shards()) if route.gather else {route.service}
        task = self.callers.send(route, node, suffix, deadline_s, leave_s,
                                 kept=self.rng.random() < 0.7)
        attempt = await task
        attempt.services = services
        attempt.is_probe = probe
        attempt.is_final = final
        return attempt

    async def traffic(self, until):
        """Callers on kept and new connections; some leave early."""
        running = set()
        while now() < until:
            await asyncio.sleep(self.rng.expovariate(RATE))
            route = self.rng.choice(self.routes)
            node = self.rng.choice(self.nodes).name
            deadline_s = route.limit_ms / 1000
            leave_s = self.rng.uniform(0.0, 0.1) \
                if self.rng.random() < 0.05 else None
            running.add(asyncio.ensure_future(
                self.send(route, node, deadline_s, leave_s)))
        await asyncio.gather(*running)

    async def probes(self, until):
        """Asks each host for the route of the newest version."""
        while now() < until:
            await asyncio.sleep(0.5)
            for node in self.nodes:
                node.check_alive()
            await asyncio.gather(*(self.probe(node) for node in self.nodes))

    async def probe(self, node):
        version, put, starts = self.version, self.version_put, node.starts
        seen = node.seen.get(version)
        attempt = await self.send(self.version_route(version), node.name, 2.0,
                                  probe=True)
        # A later version may have dropped the route meanwhile.
        expected = version == self.version and starts == node.starts
        self.ledger.probes.append(Probe(attempt, version, put, expected, seen))
        if attempt.answer and attempt.answer.status == 200 and \
                starts == node.starts:
            node.seen.setdefault(version, attempt.ended)

    async def trouble(self, until):
        """Faults in series that overlap."""
        if self.options.trouble == "none":
            return
        kinds = faults.PLANNED if self.planned_only \
            else faults.PLANNED + faults.UNPLANNED * 2
        running = set()
        # Generators of their own make the series the same in every run.
        series = random.Random("series %d" % self.seed)
        self.began = now()
        while now() < until:
            await asyncio.sleep(series.uniform(0.2, 2.5))
            kind = series.choice(kinds)
            print("%6.2f %s" % (now() - self.began, kind.__name__),
                  file=self.trace)
            rng = random.Random("%d %d" % (self.seed, len(running)))
            running.add(asyncio.ensure_future(kind(self, rng)))
        await asyncio.gather(*running)

    async def watch_own_delay(self):
        """Notes when the stand-ins themselves were held up: what they saw then
        came later than the hosts sent it."""
        while True:
            began = now()
            await asyncio.sleep(OWN_TICK_S)
            late = now() - began - OWN_TICK_S
            if late > OWN_DELAY_S:
                self.own_delay_s = max(self.own_delay_s, late)
                self.ledger.note("stand-ins held up", None, began, now())
                print("%6.2f held up %.2f s" % (now() - self.began, late),
                      file=self.trace)

    async def finish(self):
        await asyncio.sleep(RECOVERY_S)
        for i in range(FINAL_REQUESTS):
            route = self.routes[i % len(self.routes)]
            node = self.nodes[i % len(self.nodes)].name
            await self.send(route, node, route.limit_ms / 1000, final=True)
        for node in self.nodes:
            node.check_alive()
        await asyncio.gather(*(node.terminate() for node in self.nodes))

    async def play(self):
        self.trace = open(os.path.join(self.directory, "faults.log"), "w")
        watch = asyncio.ensure_future(self.watch_own_delay())
        try:
            await self.start()
            until = now() + self.options.seconds
            await asyncio.gather(self.traffic(until), self.probes(until),
                                 self.trouble(until - 3.0))
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


async def quietly(work):
    """Connections end in the middle of everything here; what a stand-in's task
    says about that is no finding."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await work


def play(options, seed, net):
    """Plays one seed. Returns its report, and whether all promises held."""
    directory = tempfile.mkdtemp(prefix="soak-%d-" % seed)
    fleet = Fleet(options, seed, directory, net)
    random.seed(seed)
    findings = asyncio.run(quietly(fleet.play()))
    attempts = fleet.ledger.attempts.values()
    served = sum(1 for a in attempts if a.answer and a.answer.status == 200)
    report = "seed %d: %s, %d requests, %d served, %d runs, %d events" % (
        seed, "FAILED" if findings else "ok", len(attempts), served,
        sum(map(len, fleet.ledger.runs.values())), len(fleet.ledger.events))
    if fleet.own_delay_s > 0:
        report += ", stand-ins held up %.2f s" % fleet.own_delay_s
    for finding in findings[:10]:
        report += "\n  " + finding
    if findings and options.keep:
        kept = os.path.join(options.keep, "seed-%d" % seed)
        shutil.copytree(directory, kept, dirs_exist_ok=True)
        report += "\n  logs kept in " + kept
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
                        choices=["none", "planned", "all"])
    parser.add_argument("--keep")
    options = parser.parse_args()
    seeds = []
    for part in options.seeds.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    good = True
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        futures = [pool.submit(play, options, seed, FIRST_NET + i % 100)
                   for i, seed in enumerate(seeds)]
        for future in concurrent.futures.as_completed(futures):
            report, held = future.result()
            print(report, flush=True)
            good = good and held
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
