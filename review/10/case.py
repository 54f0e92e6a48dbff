"""DRAIN: orders that wait in a host for a connection are sent to a server later
than drain_ms after the store has accepted that it is draining."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as s   # noqa: E402

ZONES = ("a", "b", "c", "d")
SERVERS = 6
WORK_S, SLOWER = 0.16, 12.0
REQUESTS_PER_S = 60
SLOW_S, DRAIN_AT_S, ROUNDS = 8.0, 2.5, 4
LONGER_S = 1.5           # servers serve a little longer than drain_ms


class Case:
    def make_fleet(self):
        return s.Fleet(HERE, ZONES, 2)

    async def play(self, fleet, trouble):
        self.fleet, self.arrivals = fleet, []
        servers = []
        for i in range(SERVERS):
            server = await fleet.add_server("orders", ZONES[i % 4],
                                            work_s=WORK_S)
            server.on_arrival = self.on_arrival
            servers.append(server)
        fleet.put_config([{
            "name": "order", "host": s.HOST_NAME, "prefix": "/order/",
            "route_type": "non_idempotent", "timeout_ms": 8000,
            "target_latency_ms": 600, "priority": 1, "max_attempts": 2,
            "service": "orders"}], ["orders"])
        await fleet.start_hosts()
        if not await fleet.wait_until_served("POST", "/order/first"):
            return 2
        await asyncio.sleep(5.0)
        load = asyncio.ensure_future(self.run_load())
        broken = 0
        for _ in range(ROUNDS):
            await asyncio.sleep(9.0)
            broken += await self.play_round(trouble)
        load.cancel()
        text = "requests %d, arrivals at servers %d, late orders %d" % (
            len(fleet.attempts), len(self.arrivals), broken)
        fleet.record.add("%s", text)
        print(text)
        return 1 if broken else 0

    async def play_round(self, trouble):
        """The servers turn slow; one of them reports that it drains."""
        fleet, first = self.fleet, len(self.arrivals)
        if trouble:
            fleet.record.add("the servers turn slow")
            for server in fleet.servers:
                server.work_s = WORK_S * SLOWER
        await asyncio.sleep(DRAIN_AT_S)
        leaving = fleet.servers[0]
        fleet.store.put("servers/" + leaving.id, leaving.entry("draining"))
        leaving.gone_at = s.now()
        fleet.record.add("the store has accepted that %s drains", leaving.id)
        await asyncio.sleep(s.DRAIN_S + LONGER_S)
        fleet.store.put("servers/" + leaving.id, None)
        await fleet.stop_server(leaving)
        fleet.record.add("%s ends", leaving.id)
        await asyncio.sleep(SLOW_S - DRAIN_AT_S - s.DRAIN_S - LONGER_S)
        for server in fleet.servers:
            server.work_s = WORK_S
        server = await fleet.add_server("orders", leaving.zone, work_s=WORK_S)
        server.on_arrival = self.on_arrival
        return self.check(self.arrivals[first:], leaving)

    async def run_load(self):
        fleet, named, asked_at = self.fleet, [], 0.0
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            if s.now() - asked_at > 2.0:
                asked_at = s.now()
                named = await fleet.resolve(random.choice(fleet.hosts)) or named
            if named:
                asyncio.ensure_future(fleet.send(
                    random.choice(named), "POST",
                    "/order/%x" % random.getrandbits(32), b"tiles 12",
                    deadline_ms=10000))

    def on_arrival(self, server, message, writer):
        self.arrivals.append((s.now(), self.fleet.track(writer), server,
                              message.get("request-id")))

    def check(self, arrivals, leaving):
        """Counts the orders that reached the server later than drain_ms after
        the acknowledgement; no machine has any trouble."""
        broken = 0
        for at, key, server, id_ in arrivals:
            attempt = self.fleet.attempts.get(id_)
            if server is not leaving or attempt is None or \
                    at <= leaving.gone_at + s.DRAIN_S:
                continue
            broken += 1
            host = self.fleet.host_of(key)
            self.fleet.record.add(
                "BROKEN: order %s, sent to %s %.2f s after the draining of %s "
                "was acknowledged, reaches it from %s at %.2f s; the client "
                "got %s", id_, attempt.host.name,
                attempt.sent_at - leaving.gone_at, leaving.id,
                host.name if host else "a host", at - leaving.gone_at,
                attempt.status or ("nothing yet" if not attempt.ended_at
                                   else "no answer"))
        return broken


s.run(Case())
