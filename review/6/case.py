"""DRAIN: a host whose neighbour reads the store in vain sends requests to a
server later than drain_ms after the store has accepted its removal."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as s   # noqa: E402

ZONES = ("a", "b", "c")
SILENT_ZONES = 2         # one host in each: 2 of 6, below the share 0.35
SERVERS_PER_ZONE = 5     # 15; 2 leave at a time, a share of 0.133
ROUNDS, SILENT_S = 9, 6.0
REMOVALS, BETWEEN_S = 2, 1.0
LONGER_S = 1.0           # servers serve a little longer than drain_ms
REQUESTS_PER_S = 220


class Case:
    def make_fleet(self):
        return s.Fleet(HERE, ZONES, 2)

    async def play(self, fleet, trouble):
        self.fleet, self.late = fleet, []
        for zone in ZONES:
            for _ in range(SERVERS_PER_ZONE):
                await fleet.add_server("orders", zone, work_s=0.05)
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
        for number in range(ROUNDS):
            broken += await self.play_round(number, trouble)
        load.cancel()
        text = "requests %d, late requests at servers that left %d" % (
            len(fleet.attempts), broken)
        fleet.record.add("%s", text)
        print(text)
        return 1 if broken else 0

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
        self.late.append((s.now(), self.fleet.track(writer), server,
                          message.get("request-id")))

    async def play_round(self, number, trouble):
        fleet = self.fleet
        began, self.late = s.now(), []
        zones = [ZONES[(number + i) % len(ZONES)] for i in range(SILENT_ZONES)]
        # The reader of a zone is the host there that watches the store.
        readers = [next((h for h in fleet.hosts if h.zone == zone and
                         s.now() - fleet.store.watching.get(h.name, 0.0) < 4.0),
                        None) for zone in zones]
        silent = [host for host in readers if host and trouble]
        for host in silent:
            fleet.store.silent.add(host.name)
            fleet.record.add("the store stops answering %s", host.name)
        await asyncio.sleep(0.3)
        leaving = []
        for _ in range(REMOVALS):
            for zone in zones:
                server = next(x for x in fleet.servers
                              if x.zone == zone and x not in leaving)
                server.on_arrival = self.on_arrival
                server.gone_at = fleet.store.put("servers/" + server.id, None)
                fleet.record.add("the store has accepted the removal of %s "
                                 "in %s", server.id, zone)
                leaving.append(server)
            await asyncio.sleep(BETWEEN_S)
        for server in leaving:
            end = server.gone_at + s.DRAIN_S + LONGER_S
            await asyncio.sleep(max(0.0, end - s.now()))
            await fleet.stop_server(server)
        await asyncio.sleep(max(0.0, began + SILENT_S - s.now()))
        for host in silent:
            fleet.store.silent.discard(host.name)
            fleet.record.add("the store answers %s again", host.name)
        broken = self.check(silent)
        for zone in zones * REMOVALS:
            await fleet.add_server("orders", zone, work_s=0.05)
        await asyncio.sleep(s.CONTACT_S)
        return broken

    def check(self, silent):
        """Counts the requests that reached a server later than drain_ms after
        its removal was acknowledged, taken from the client and sent on by
        machines in touch."""
        broken = 0
        for at, key, server, id_ in self.late:
            host = self.fleet.host_of(key)
            attempt = self.fleet.attempts.get(id_)
            due = server.gone_at + s.DRAIN_S
            if host is None or attempt is None or at <= due or \
                    host in silent or attempt.host in silent:
                continue
            broken += 1
            ran = any(to is server for _, to in self.fleet.runs.get(id_, []))
            self.fleet.record.add(
                "BROKEN: request %s, sent %.3f s after the removal of %s was "
                "acknowledged, reaches it from %s at %.3f s; it %s, the client "
                "got %s", id_, attempt.sent_at - server.gone_at, server.id,
                host.name, at - server.gone_at,
                "ran" if ran else "did not run",
                attempt.status or "no answer")
        return broken


s.run(Case())
