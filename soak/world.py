"""Stand-ins of the platform: the store, backend servers and callers. They
write what they see into a ledger, from which the promises are checked."""
import asyncio
import base64
import hashlib
import json
import random
import time

import http1

RECORD_BYTES = 16
RECORDS = 6
PAGE = 5    # small, so that every listing has several
TOP = 8
HOST = "soak.example"
now = time.monotonic


def part_of(service, target):
    """The records that every server of a shard has for a request."""
    return [hashlib.md5(("%s %s %d" % (service, target, i)).encode()).digest()
            for i in range(RECORDS)]


class Run:
    """One request that a server began to work on."""

    def __init__(self, request, service, server, zone, at, left_ms):
        self.request = request
        self.service = service
        self.server = server
        self.zone = zone
        self.at = at
        self.left_ms = left_ms


class Attempt:
    """One attempt of a caller, and how it ended."""

    def __init__(self, id_, route, target, node, deadline_s):
        self.id = id_
        self.route = route
        self.target = target
        self.node = node
        self.deadline_s = deadline_s
        self.sent = now()
        self.written = None      # when the last byte was sent
        self.left = None         # when the caller closed its connection
        self.ended = None
        self.answer = None       # a whole response
        self.services = set()    # that it asks for
        self.is_probe = False
        self.is_final = False


class Ledger:
    def __init__(self):
        self.attempts = {}
        self.runs = {}           # request id -> [Run]
        self.arrivals = []       # (time, service, request id), refused ones too
        self.stamps = {}         # stamp -> (request id, service, good, body)
        self.strange = []        # what no caller sent
        self.sets = []           # (time, frozenset of services), as configured
        self.events = []         # [from, until, kind, what]
        self.probes = []

    def note(self, kind, what, start=None, until=None):
        self.events.append([start or now(), until or now(), kind, what])
        return self.events[-1]


class Store:
    """Items by key; listings, watches, and one revision."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.down = False
        self.slow_s = 0.0
        self.oldest = 0          # revisions up to this one are forgotten

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (self.revision, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return now()

    def remove(self, key):
        return self.put(key, None)

    def forget(self):
        self.oldest = self.revision
        self.items = {k: v for k, v in self.items.items() if v[1] is not None}

    @staticmethod
    def _item(key, revision, value):
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "revision": revision, "created": 1, "lease": 0,
                "value": base64.b64encode(value).decode()}

    def _since(self, after):
        found = [self._item(key, revision, value)
                 for key, (revision, value) in self.items.items()
                 if revision > after]
        return sorted(found, key=lambda item: item["revision"])

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await http1.read_message(reader)
                while self.down:
                    await asyncio.sleep(0.05)
                await asyncio.sleep(0.004 + self.slow_s)
                status, body = await self._answer(message.start[1])
                writer.write(http1.response(
                    status, [("Content-Type", "application/json")],
                    json.dumps(body).encode()))
                await writer.drain()
        except (http1.Closed, OSError):
            writer.close()

    async def _answer(self, target):
        query = dict(pair.split("=", 1) for pair in
                     target.partition("?")[2].split("&") if "=" in pair)
        if target.startswith("/kv-range"):
            after = query.get("after", "").replace("%2F", "/")
            rest = [self._item(key, revision, value)
                    for key, (revision, value) in sorted(self.items.items())
                    if value is not None and key > after]
            return 200, {"items": rest[:PAGE], "has_more": len(rest) > PAGE,
                         "current_rev": self.revision}
        after = int(query.get("after", "0"))
        if after < self.oldest:
            return 410, {}
        if not self._since(after):
            try:
                await asyncio.wait_for(
                    self.changed.wait(), int(query.get("wait_ms", "0")) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": self._since(after),
                     "current_rev": self.revision}


class Server:
    """A backend server: slots, a short queue, and a way to misbehave."""

    def __init__(self, world, id_, service, zone, address, published):
        self.world = world
        self.id = id_
        self.service = service
        self.zone = zone
        self.address = address
        self.published = published   # the proxy's address, as the entry says
        self.mode = "good"
        self.slots = asyncio.Semaphore(3)
        self.queued = 0
        self.started = now()
        self.writers = set()
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, *self.address)

    def stop(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state="ready"):
        return json.dumps({
            "service": self.service, "address": "%s:%d" % self.published,
            "zone": self.zone, "version": "v1", "slots": 3, "state": state,
            "warmup_left_ms": 0, "sequence": 1,
            "born": int(self.started * 1000)}).encode()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await http1.read_message(reader)
                work = asyncio.ensure_future(self._handle(message, writer))
                # Servers drop a request when its connection closes.
                closed = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait(
                    {work, closed}, return_when=asyncio.FIRST_COMPLETED)
                if work not in done:
                    work.cancel()
                    raise http1.Closed("closed while it ran")
                if not work.result():
                    raise http1.Closed("by the server")
                if closed.done():
                    raise http1.Closed("closed")
                closed.cancel()
                try:
                    await closed
                except asyncio.CancelledError:
                    pass
        except (http1.Closed, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _refuse(self, status=503):
        return http1.response(status, [("Not-Executed", "1")])

    async def _handle(self, message, writer):
        """Returns False when the connection has to end."""
        ledger = self.world.ledger
        id_ = message.get("request-id", "")
        if message.get("target-instance") != self.id:
            writer.write(self._refuse(421))
            return True
        known = ledger.attempts.get(id_)
        if known is None or known.target != message.start[1] or \
                known.route.body != message.body:
            ledger.strange.append((now(), self.id, id_, message.start[:2]))
        ledger.arrivals.append((now(), self.service, id_))
        if self.mode == "shedding" or self.queued >= 18:
            writer.write(self._refuse())
            return True
        left_s = int(message.get("deadline-ms", "0")) / 1000
        arrived = now()
        self.queued += 1
        try:
            async with self.slots:
                if now() - arrived > left_s:
                    writer.write(self._refuse())
                    return True
                ledger.runs.setdefault(id_, []).append(
                    Run(id_, self.service, self.id, self.zone, now(),
                        left_s * 1000))
                return await self._run(message, writer, id_)
        finally:
            self.queued -= 1

    async def _run(self, message, writer, id_):
        work_s = random.lognormvariate(-4.6, 0.4)
        if self.mode == "slow":
            work_s *= 8
        await asyncio.sleep(work_s)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "losing":
            return False
        good = self.mode != "failing"
        stamp = "%s.%s.%08x" % (self.id, id_, random.getrandbits(32))
        body = b"".join(random.sample(
            part_of(self.service, message.start[1]), RECORDS))
        self.world.ledger.stamps[stamp] = (id_, self.service, good, body)
        data = http1.response(200 if good else 500,
                              [("Server-Stamp", stamp), ("Request-Id", id_)],
                              body)
        if self.mode == "cutting":
            writer.write(data[:-7])
            return False
        if self.mode == "doubling":
            data += data
        writer.write(data)
        await writer.drain()
        return True


class Route:
    def __init__(self, name, prefix, aim_ms, limit_ms, idempotent, method,
                 body=b"", service=None, gather=False):
        self.name = name
        self.prefix = prefix
        self.aim_ms = aim_ms
        self.limit_ms = limit_ms
        self.idempotent = idempotent
        self.method = method
        self.body = body
        self.service = service
        self.gather = gather

    def document(self, shards):
        route = {"name": self.name, "host": HOST, "prefix": self.prefix,
                 "route_type": "idempotent" if self.idempotent
                 else "non_idempotent", "timeout_ms": self.limit_ms,
                 "target_latency_ms": self.aim_ms, "priority": 1,
                 "max_attempts": 2}
        if self.gather:
            route.update(gather=shards, top_k=TOP, min_coverage=0.8)
        else:
            route["service"] = self.service
        return route


class Caller:
    """Callers with kept connections, which stay in use until their host is
    gone."""

    def __init__(self, world, nodes):
        self.world = world
        self.nodes = nodes       # name -> address that callers connect to
        self.idle = {name: [] for name in nodes}

    async def send(self, route, node, suffix, deadline_s, leave_s=None,
                   kept=True):
        """Sends one attempt and waits for its end."""
        id_ = "%016x" % random.getrandbits(64)
        attempt = Attempt(id_, route, route.prefix + suffix, node, deadline_s)
        self.world.ledger.attempts[id_] = attempt
        reader, writer = None, None
        try:
            reader, writer = await self._connection(node, kept)
            writer.write(http1.request(
                route.method, attempt.target,
                [("Host", HOST), ("Request-Id", id_),
                 ("Deadline-Ms", "%d" % (deadline_s * 1000))], route.body))
            await writer.drain()
            attempt.written = now()
            answer = await asyncio.wait_for(
                http1.read_message(reader), leave_s or deadline_s + 3)
            attempt.answer = answer
            if kept and answer.get("connection", "") != "close":
                self.idle[node].append((reader, writer))
                writer = None
        except asyncio.TimeoutError:
            attempt.left = now() if leave_s else None
        except (http1.Closed, OSError):
            pass
        finally:
            attempt.ended = now()
            if writer is not None:
                writer.transport.abort()
        return attempt

    async def _connection(self, node, kept):
        while kept and self.idle[node]:
            reader, writer = self.idle[node].pop()
            if not writer.transport.is_closing() and not reader.at_eof():
                return reader, writer
        return await asyncio.wait_for(
            asyncio.open_connection(*self.nodes[node]), 1.0)
