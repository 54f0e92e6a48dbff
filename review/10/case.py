"""BUDGET: a request that crashes servers is sent to servers again and again
after all hosts were killed once."""
import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as s   # noqa: E402

ZONES = ("a", "b", "c", "d")
SERVERS = 8
CRASH_AFTER_S, BACK_AFTER_S = 0.05, 2.0
INTERVAL_S = 5.0         # between the first attempts of the crashing request
HELD_S = 10.5            # then it comes again after this time, at all hosts
DOWN_S = 0.5
RETRIES = 3
REQUESTS_PER_S = 20


class Case:
    def make_fleet(self):
        return s.Fleet(HERE, ZONES, 2)

    async def play(self, fleet, trouble):
        self.fleet, self.crashes, self.reached = fleet, [], []
        self.crashing = set()
        for i in range(SERVERS):
            server = await fleet.add_server("find", ZONES[i % 4], work_s=0.05)
            server.refuses = self.crash
        fleet.put_config([{
            "name": "find", "host": s.HOST_NAME, "prefix": "/find/",
            "route_type": "idempotent", "timeout_ms": 2000,
            "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
            "service": "find"}], ["find"])
        await fleet.start_hosts()
        if not await fleet.wait_until_served("GET", "/find/first"):
            return 2
        await asyncio.sleep(6.0)
        load = asyncio.ensure_future(self.run_load())
        self.killed_at = None
        await self.send_crashing()
        if trouble:
            fleet.record.add("all hosts are killed")
            for host in fleet.hosts:
                host.process.send_signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for host in fleet.hosts:
                host.process.wait()
                host.idle = []
                host.start()
            self.killed_at = s.now()
        await asyncio.sleep(s.CONTACT_S + 0.5)
        await self.send_crashing()
        load.cancel()
        return self.check()

    async def run_load(self):
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            asyncio.ensure_future(self.fleet.send(
                random.choice(self.fleet.hosts), "GET",
                "/find/%x" % random.getrandbits(32)))

    async def send_crashing(self):
        """The same request, twice, and later at all hosts until one of them
        tries it again."""
        await self.send_one(self.fleet.hosts[0])
        await asyncio.sleep(INTERVAL_S)
        await self.send_one(self.fleet.hosts[-1])
        await asyncio.sleep(HELD_S)
        crashes = len(self.crashes)
        until = s.now() + 14.0
        while len(self.crashes) == crashes and s.now() < until:
            await asyncio.gather(*map(self.send_one, self.fleet.hosts))
            await asyncio.sleep(0.3)

    async def send_one(self, host):
        attempt = await self.fleet.send(host, "GET", "/find/crash", reuse=False)
        self.fleet.record.add("crashing request %s at %s: %s", attempt.id,
                              host.name, attempt.status or "no answer")

    def crash(self, server, message, writer):
        """Ends the server a moment after it has begun to run the request."""
        if message.first[1] == "/find/crash" and server not in self.crashing:
            self.crashing.add(server)
            server.work_s = 10.0   # it crashes before it could answer
            id_ = message.get("request-id")
            self.reached.append((s.now(), id_))
            self.fleet.runs.setdefault(id_, []).append((s.now(), server))
            asyncio.ensure_future(self.end_and_return(server))
        return None

    async def end_and_return(self, server):
        fleet = self.fleet
        await asyncio.sleep(CRASH_AFTER_S)
        self.crashes.append(s.now())
        await fleet.stop_server(server)
        await asyncio.sleep(BACK_AFTER_S)
        fleet.store.put("servers/" + server.id, None)
        back = await fleet.add_server("find", server.zone, work_s=0.05)
        back.refuses = self.crash

    def check(self):
        fleet = self.fleet
        if len(self.crashes) < 3:
            return 2
        due = self.crashes[2] + s.CONTACT_S
        late = []
        for id_ in dict.fromkeys(id_ for _, id_ in self.reached):
            attempt = fleet.attempts[id_]
            # After a start, a machine is in touch again after contact_ms.
            in_touch = self.killed_at is None or \
                attempt.sent_at < self.killed_at - DOWN_S or \
                attempt.sent_at > self.killed_at + s.CONTACT_S
            if attempt.sent_at > due and in_touch:
                late.append(attempt)
        broken = len(late) > RETRIES
        for attempt in late:
            fleet.record.add("%s: retry %s reaches servers %.1f s after the "
                             "third crash", "BROKEN" if broken else "late",
                             attempt.id, attempt.sent_at - self.crashes[2])
        text = "crashes %d, late retries that reached servers %d, allowed %d" \
            % (len(self.crashes), len(late), RETRIES)
        fleet.record.add("%s", text)
        print(text)
        return 1 if broken else 0


s.run(Case())
