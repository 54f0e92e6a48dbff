"""Stand-ins of the platform: the store, backend servers and callers. They
record what they observe in a ledger, from which the promises are checked."""
import asyncio
import base64
import hashlib
import json
import random
import time

import http1

RECORD_BYTES = 16
RECORDS_PER_SHARD = 6
PAGE_SIZE = 5    # items; small, so that every listing has several pages
TOP_K = 8
HOST = "soak.example"
CRASH_AFTER_S = 0.05     # that a server runs a request which crashes it
now = time.monotonic


def shard_records(service, target):
    """The records that every server of a shard returns for a request."""
    return [hashlib.md5(("%s %s %d" % (service, target, i)).encode()).digest()
            for i in range(RECORDS_PER_SHARD)]


class Run:
    """One request that a server began to work on."""

    def __init__(self, request, service, server, zone, started_at,
                 remaining_ms):
        self.request = request
        self.service = service
        self.server = server
        self.zone = zone
        self.started_at = started_at
        self.remaining_ms = remaining_ms   # by the request's Deadline-Ms


class Attempt:
    """One attempt of a caller: a request to one host, and its outcome."""

    def __init__(self, id_, route, target, node, deadline_s):
        self.id = id_
        self.route = route
        self.target = target
        self.node = node
        self.deadline_s = deadline_s
        self.sent_at = now()
        self.written_at = None     # when the last byte was written
        self.abandoned_at = None   # when the caller closed its connection early
        self.ended_at = None
        self.answer = None         # only a whole response
        self.services = set()      # that it needs
        self.is_probe = False
        self.is_final = False


# What the stand-ins observed during one run.
class Ledger:
    def __init__(self):
        self.attempts = {}
        self.runs = {}           # request id -> [Run]
        self.arrivals = []       # (time, service, request id), also refused
        self.stamps = {}         # stamp -> (request id, service, good, body)
        self.unmatched = []      # requests at servers that no caller sent
        self.shard_sets = []     # (time, frozenset of services), as configured
        self.events = []         # [from, until, kind, what]
        self.probes = []
        self.crashes = []        # (time, target) of requests that end servers
        self.all_down = []       # times at which no host ran

    def add_event(self, kind, subject, start=None, until=None):
        self.events.append([start or now(), until or now(), kind, subject])
        return self.events[-1]


class Store:
    """The platform's store: items by key, with listings, watches and one
    revision, which every change raises."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.down = False
        self.extra_delay_s = 0.0
        self.compacted_revision = 0   # watches from before it get 410

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

    def compact(self):
        self.compacted_revision = self.revision
        self.items = {k: v for k, v in self.items.items() if v[1] is not None}

    @staticmethod
    def _item(key, revision, value):
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "revision": revision, "created": 1, "lease": 0,
                "value": base64.b64encode(value).decode()}

    def _changes_after(self, after):
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
                await asyncio.sleep(0.004 + self.extra_delay_s)
                status, body = await self._answer(message.start_line[1])
                writer.write(http1.response(
                    status, [("Content-Type", "application/json")],
                    json.dumps(body).encode()))
                await writer.drain()
        except (http1.ConnectionClosed, OSError):
            writer.close()

    async def _answer(self, target):
        query = dict(pair.split("=", 1) for pair in
                     target.partition("?")[2].split("&") if "=" in pair)
        if target.startswith("/kv-range"):
            after = query.get("after", "").replace("%2F", "/")
            rest = [self._item(key, revision, value)
                    for key, (revision, value) in sorted(self.items.items())
                    if value is not None and key > after]
            return 200, {"items": rest[:PAGE_SIZE],
                         "has_more": len(rest) > PAGE_SIZE,
                         "current_rev": self.revision}
        after = int(query.get("after", "0"))
        if after < self.compacted_revision:
            return 410, {}
        if not self._changes_after(after):
            try:
                await asyncio.wait_for(
                    self.changed.wait(), int(query.get("wait_ms", "0")) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": self._changes_after(after),
                     "current_rev": self.revision}


class Server:
    """A backend server with slots, a short queue, and a mode that makes it
    misbehave."""

    def __init__(self, fleet, id_, service, zone, address, published_address):
        self.fleet = fleet
        self.id = id_
        self.service = service
        self.zone = zone
        self.address = address
        self.published_address = published_address   # the proxy's, in its entry
        self.mode = "good"
        self.slots = asyncio.Semaphore(3)
        self.queued = 0
        self.started_at = now()
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
            "service": self.service,
            "address": "%s:%d" % self.published_address,
            "zone": self.zone, "version": "v1", "slots": 3, "state": state,
            "warmup_left_ms": 0, "sequence": 1,
            "born": int(self.started_at * 1000)}).encode()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await http1.read_message(reader)
                work = asyncio.ensure_future(self._handle(message, writer))
                # A server cancels a request when its connection closes.
                closed = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait(
                    {work, closed}, return_when=asyncio.FIRST_COMPLETED)
                if work not in done:
                    work.cancel()
                    raise http1.ConnectionClosed("closed while the request ran")
                if not work.result():
                    raise http1.ConnectionClosed("closed by the server")
                if closed.done():
                    raise http1.ConnectionClosed("closed")
                closed.cancel()
                try:
                    await closed
                except asyncio.CancelledError:
                    pass
        except (http1.ConnectionClosed, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _refuse(self, status=503):
        return http1.response(status, [("Not-Executed", "1")])

    async def _handle(self, message, writer):
        """Returns False when the connection has to end."""
        ledger = self.fleet.ledger
        id_ = message.get("request-id", "")
        if message.get("target-instance") != self.id:
            writer.write(self._refuse(421))
            return True
        attempt = ledger.attempts.get(id_)
        if attempt is None or attempt.target != message.start_line[1] or \
                attempt.route.body != message.body:
            ledger.unmatched.append(
                (now(), self.id, id_, message.start_line[:2]))
        ledger.arrivals.append((now(), self.service, id_))
        if self.mode == "shedding" or self.queued >= 18:
            writer.write(self._refuse())
            return True
        remaining_s = int(message.get("deadline-ms", "0")) / 1000
        arrived = now()
        self.queued += 1
        try:
            async with self.slots:
                if now() - arrived > remaining_s:
                    writer.write(self._refuse())
                    return True
                ledger.runs.setdefault(id_, []).append(
                    Run(id_, self.service, self.id, self.zone, now(),
                        remaining_s * 1000))
                return await self._execute(message, writer, id_)
        finally:
            self.queued -= 1

    async def _execute(self, message, writer, id_):
        if message.start_line[1] in self.fleet.crashing_targets:
            await asyncio.sleep(CRASH_AFTER_S)
            self.fleet.crash_server(self, message.start_line[1])
            return False
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
            shard_records(self.service, message.start_line[1]),
            RECORDS_PER_SHARD))
        self.fleet.ledger.stamps[stamp] = (id_, self.service, good, body)
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


# A route of the configuration; with gather it has a part from each shard.
class Route:
    def __init__(self, name, prefix, target_latency_ms, timeout_ms,
                 idempotent, method, body=b"", service=None, gather=False):
        self.name = name
        self.prefix = prefix
        self.target_latency_ms = target_latency_ms
        self.timeout_ms = timeout_ms
        self.idempotent = idempotent
        self.method = method
        self.body = body
        self.service = service
        self.gather = gather

    def document(self, shards):
        route = {"name": self.name, "host": HOST, "prefix": self.prefix,
                 "route_type": "idempotent" if self.idempotent
                 else "non_idempotent", "timeout_ms": self.timeout_ms,
                 "target_latency_ms": self.target_latency_ms, "priority": 1,
                 "max_attempts": 2}
        if self.gather:
            route.update(gather=shards, top_k=TOP_K, min_coverage=0.8)
        else:
            route["service"] = self.service
        return route


class Caller:
    """A caller sends requests on new connections or on idle persistent ones.
    Persistent connections are used until their host closes them."""

    def __init__(self, fleet, nodes):
        self.fleet = fleet
        self.nodes = nodes       # name -> address that callers connect to
        self.idle_connections = {name: [] for name in nodes}

    async def send(self, route, node, suffix, deadline_s, leave_s=None,
                   reuse=True):
        """Sends one attempt and waits for its end. With leave_s the caller
        closes the connection after that time."""
        id_ = "%016x" % random.getrandbits(64)
        attempt = Attempt(id_, route, route.prefix + suffix, node, deadline_s)
        self.fleet.ledger.attempts[id_] = attempt
        reader, writer = None, None
        try:
            reader, writer = await self._connection(node, reuse)
            writer.write(http1.request(
                route.method, attempt.target,
                [("Host", HOST), ("Request-Id", id_),
                 ("Deadline-Ms", "%d" % (deadline_s * 1000))], route.body))
            await writer.drain()
            attempt.written_at = now()
            answer = await asyncio.wait_for(
                http1.read_message(reader), leave_s or deadline_s + 3)
            attempt.answer = answer
            if reuse and answer.get("connection", "") != "close":
                self.idle_connections[node].append((reader, writer))
                writer = None
        except asyncio.TimeoutError:
            attempt.abandoned_at = now() if leave_s else None
        except (http1.ConnectionClosed, OSError):
            pass
        finally:
            attempt.ended_at = now()
            if writer is not None:
                writer.transport.abort()
        return attempt

    async def _connection(self, node, reuse):
        while reuse and self.idle_connections[node]:
            reader, writer = self.idle_connections[node].pop()
            if not writer.transport.is_closing() and not reader.at_eof():
                return reader, writer
        return await asyncio.wait_for(
            asyncio.open_connection(*self.nodes[node]), 1.0)
