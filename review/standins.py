"""Stand-ins of the platform, backend servers and callers, and the hosts of
toucanridge as processes, for the cases of the review.

All addresses are loopback addresses; each play takes a network 127.N.0.0/16 of
its own. Nothing here shares code with the product.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

CALLER_PORT, READINESS_PORT, DIRECTORY_PORT, CONTROL_PORT = 8104, 8108, 8100, 8106
STORE_PORT, SERVER_PORT = 8102, 8080
HOST_NAME = "review.example"
# Of the pages: kv-range returns at most about 500 items or 1 MB.
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
HISTORY_S = 20.0            # platform.history_s in the settings of the pages
STORE_DELAY_S = 0.004       # SYSTEM.md: 4 ms an answer
now = time.monotonic

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


# Streams that a fault left open are closed after the loop.
sys.unraisablehook = lambda unraisable: None


class CannotRun(Exception):
    """The case couldn't be played; says nothing about the rule."""


class Ended(Exception):
    """The peer ended the connection."""


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first[1])


async def read_message(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:-2]:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Message(lines[0].split(" ", 2), headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, EOFError,
            ValueError) as error:
        raise Ended(str(error)) from error


async def pump(source, target):
    """Passes bytes on until the source ends."""
    try:
        while True:
            data = await source.read(65536)
            if not data:
                break
            target.feed_data(data)
    except OSError:
        pass
    finally:
        target.feed_eof()


def response(status, headers, body=b""):
    head = "HTTP/1.1 %d X\r\n" % status
    head += "".join("%s: %s\r\n" % item for item in headers)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = now()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def add(self, text, *values):
        self.file.write("%8.3f %s\n" % (now() - self.started,
                                        text % values if values else text))

    def close(self):
        self.file.close()


class Store:
    """The platform's store: every change is an event of its own, and the
    history of the last 20 s is kept."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.items, self.events, self.encoded = {}, [], {}
        self.revision, self.dropped = 1, 0
        self.changed = asyncio.Event()
        self.watches = 0
        self.largest_answer = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)

    def put(self, key, value):
        """Returns the time of the acknowledgement."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            event = {"key": key, "revision": self.revision,
                     "created": self.revision, "lease": 0,
                     "value": base64.b64encode(value).decode()}
            self.items[key] = event
        self.events.append((now(), event))
        self.encoded[self.revision] = json.dumps(event).encode()
        self.changed.set()
        self.changed = asyncio.Event()
        return now()

    def _forget(self):
        while self.events and now() - self.events[0][0] > HISTORY_S:
            self.dropped = self.events.pop(0)[1]["revision"]

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(STORE_DELAY_S)
                status, body = await self._answer(request.first[1])
                data = body if isinstance(body, bytes) else \
                    json.dumps(body).encode()
                self.largest_answer = max(self.largest_answer, len(data))
                writer.write(response(
                    status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except (Ended, OSError):
            writer.close()

    async def _answer(self, target):
        path, _, query = target.partition("?")
        values = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if path == "/kv-range":
            after = values.get("after", "").replace("%2F", "/")
            page, size = [], 0
            rest = [k for k in sorted(self.items) if k > after]
            for key in rest:
                size += len(self.items[key].get("value", ""))
                if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                    break
                page.append(self.items[key])
            return 200, {"items": page, "has_more": len(page) < len(rest),
                         "current_rev": self.revision}
        self.watches += 1
        after = int(values.get("after", "0"))
        until = now() + int(values.get("wait_ms", "0")) / 1000
        while True:
            self._forget()
            if after < self.dropped or after > self.revision:
                return 410, {}
            found = [e for _, e in self.events if e["revision"] > after]
            if found or now() >= until:
                # Each event is encoded once, when it is written.
                return 200, b'{"events":[%s],"current_rev":%d}' % (
                    b",".join(self.encoded[e["revision"]] for e in found),
                    self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.001, until - now()))
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, id_, server, arrived_at):
        self.id, self.server, self.arrived_at = id_, server, arrived_at
        self.begun_at = None
        self.ended_at = None   # the answer was written
        self.refused = False
        self.lost = False      # the server ended before its answer


class Server:
    """A backend server: slots, a short queue, signed answers."""

    def __init__(self, play, id_, service, zone, address, slots=4, queue=12):
        self.play, self.id, self.service, self.zone = play, id_, service, zone
        self.address, self.slot_count = address, slots
        self.slots = asyncio.Semaphore(slots)
        self.queue_limit, self.waiting = queue, 0
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.writers, self.runs, self.counter = set(), [], 0
        self.work_s = lambda request: 0.01
        self.answer = None     # (run, request) -> bytes, or None for the usual
        # Whether an answer is sent once more, when the next request has come.
        self.extra_late = lambda: False
        self.on_run = None     # called when a request begins to run
        self.listener = None
        self.state = "ready"

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, *self.address)

    def publish(self, state="ready"):
        self.sequence += 1
        self.state = state
        entry = {"service": self.service, "address": "%s:%d" % self.address,
                 "zone": self.zone, "version": "v1", "slots": self.slot_count,
                 "state": state, "warmup_left_ms": 0, "sequence": self.sequence,
                 "born": self.born}
        return self.play.store.put("servers/" + self.id,
                                   json.dumps(entry).encode())

    def end(self):
        """The process ends: its address refuses connections, open ones end."""
        if self.listener:
            self.listener.close()
        for run in self.runs:
            if run.ended_at is None and not run.refused:
                run.lost = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        requests = asyncio.StreamReader()
        closed = asyncio.ensure_future(pump(reader, requests))
        extra = b""
        try:
            while True:
                request = await read_message(requests)
                if extra:
                    self.play.record.add("extra response at %s, before the"
                                         " answer to %s", self.id,
                                         request.get("request-id"))
                    writer.write(extra)
                    extra = b""
                work = asyncio.ensure_future(self._handle(request, writer))
                # A request is dropped when its connection closes.
                await asyncio.wait({work, closed},
                                   return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    raise Ended("closed")
                answer = work.result()
                if answer and self.extra_late():
                    extra = answer
        except (Ended, OSError):
            pass
        finally:
            closed.cancel()
            self.writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, request, writer):
        id_ = request.get("request-id")
        if request.get("target-instance", self.id) != self.id:
            data = response(421, [("Instance-Id", self.id)])
            writer.write(data)
            return data
        run = Run(id_, self, now())
        self.runs.append(run)
        self.play.record.add("arrives %s at %s of %s, state %s", id_, self.id,
                             self.service, self.state)
        left_s = int(request.get("deadline-ms", "1000")) / 1000
        # As in `fleetbench wire`, "a server sheds".
        refusal = response(503, [("Not-Executed", "1")])
        if self.waiting >= self.queue_limit:
            run.refused = True
            writer.write(refusal)
            return refusal
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if now() - run.arrived_at > left_s:
                run.refused = True
                writer.write(refusal)
                return refusal
            run.begun_at = now()
            self.play.record.add("runs %s at %s", id_, self.id)
            if self.on_run and self.on_run(self, request):
                return None
            await asyncio.sleep(self.work_s(request))
            self.counter += 1
            stamp = "%s.%s.%d" % (self.id, id_, self.counter)
            body = b"result of %s" % id_.encode()
            data = self.answer(run, request) if self.answer else None
            if data is None:
                data = response(200, [("Request-Id", id_),
                                      ("Server-Stamp", stamp)], body)
                self.play.stamps[stamp] = (id_, body)
            writer.write(data)
            await writer.drain()
            run.ended_at = now()
            return data
        finally:
            self.slots.release()


class Answer:
    def __init__(self, id_, host, target):
        self.id, self.host, self.target = id_, host, target
        self.sent_at, self.ended_at = now(), None
        self.message, self.failure = None, None
        self.kept = False   # the connection had carried requests before

    @property
    def status(self):
        return self.message.status if self.message else None


class Host:
    """One host of toucanridge: a process of the build of the deploy file."""

    def __init__(self, play, index, zone):
        self.play, self.name, self.zone = play, "host-%d" % index, zone
        self.ip = play.ip(0, index + 1)
        self.process = None
        self.settings = os.path.join(play.folder, self.name + ".conf")
        self.log = open(os.path.join(play.folder, self.name + ".log"), "ab")

    def write_settings(self, seeds):
        lines = [
            "node_name=" + self.name, "role=entry", "machine_class=edge",
            "serves=edge,control_plane,directory", "ip=" + self.ip,
            "zone=" + self.zone, "region=r", "zones.za=r", "zones.zb=r",
            "listen.frontend=%s:%d" % (self.ip, CALLER_PORT),
            "listen.readiness=%s:%d" % (self.ip, READINESS_PORT),
            "listen.control=%s:%d" % (self.ip, CONTROL_PORT),
            "listen.directory=%s:%d" % (self.ip, DIRECTORY_PORT),
            "port_range=7380,7395",
            "seeds=" + ",".join("%s:%d" % (ip, CONTROL_PORT) for ip in seeds),
            "bootstrap=true", "limits.cpu_share=0.25", "limits.cores=1",
            "limits.memory_mb=260", "limits.max_fds=4100",
            "bounds.contact_ms=4000", "bounds.drain_ms=3000",
            "bounds.grace_s=6", "bounds.config_apply_ms=3000",
            "bounds.downgrade_slack_ms=250", "bounds.evacuate_ms=5000",
            "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10",
            "bounds.retry_slack=56", "bounds.warmup_overage=1.5",
            "bounds.warmup_slack=5",
            "platform.address=%s:%d" % self.play.store.address,
            "platform.form=read", "platform.reads_per_s=2000",
            "platform.history_s=20", "platform.value_bytes=1048576"]
        with open(self.settings, "w") as out:
            out.write("\n".join(lines) + "\n")

    def start(self):
        self.process = subprocess.Popen(
            [self.play.program, "platform"], stdout=self.log,
            stderr=subprocess.STDOUT, cwd=self.play.repository,
            env={"TOUCANRIDGE_NODE_FILE": self.settings,
                 "PATH": os.environ.get("PATH", "")})

    def kill(self):
        self.process.kill()
        self.process.wait()


class Play:
    """One small deployment on loopback."""

    def __init__(self, case_folder, hosts=2):
        self.repository = os.path.abspath(
            os.path.join(case_folder, os.pardir, os.pardir))
        self.program = os.path.join(self.repository, "target", "toucanridge")
        if not os.access(self.program, os.X_OK):
            raise CannotRun("target/toucanridge is not built")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(case_folder)
        self.net = self._free_net()
        self.stamps, self.servers, self.answers = {}, [], []
        self.idle = {}   # kept connections, by host
        self.store = Store((self.ip(1, 1), STORE_PORT), self.record)
        self.hosts = [Host(self, i, ("za", "zb")[i % 2]) for i in range(hosts)]
        self.config = {"version": 0, "routes": [], "services": [], "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.findings = []

    def ip(self, block, index):
        return "127.%d.%d.%d" % (self.net, block, index)

    @staticmethod
    def _free_net():
        import socket
        nets = list(range(100, 250))
        random.shuffle(nets)
        for net in nets:
            with socket.socket() as probe:
                try:
                    probe.bind(("127.%d.1.1" % net, STORE_PORT))
                    return net
                except OSError:
                    continue
        raise CannotRun("no free loopback network")

    async def add_server(self, service, zone, **options):
        index = len(self.servers) + 1
        server = Server(self, "i-%08x" % random.getrandbits(32), service, zone,
                        (self.ip(2, index), SERVER_PORT), **options)
        await server.start()
        self.servers.append(server)
        server.publish()
        return server

    def route(self, prefix, service=None, route_type="idempotent",
              timeout_ms=10000, **extra):
        route = {"name": "r" + prefix.replace("/", "-"), "host": HOST_NAME,
                 "prefix": prefix, "route_type": route_type,
                 "timeout_ms": timeout_ms, "target_latency_ms": 600,
                 "priority": 2, "max_attempts": 2}
        if service:
            route["service"] = service
        route.update(extra)
        return route

    def service(self, name, max_connections=44):
        return {"name": name, "health_path": "/health",
                "max_connections": max_connections, "protocol": "h1",
                "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}

    def put_config(self):
        self.config["version"] += 3
        at = self.store.put("op/config", json.dumps(self.config).encode())
        self.record.add("config %d acknowledged", self.config["version"])
        return at

    async def start_hosts(self, ready_s=15.0):
        for host in self.hosts:
            host.write_settings([h.ip for h in self.hosts[:3]])
            host.start()
        until = now() + ready_s
        for host in self.hosts:
            while not await self._is_ready(host):
                if now() > until or host.process.poll() is not None:
                    raise CannotRun(host.name + " isn't ready")
                await asyncio.sleep(0.05)
        self.record.add("all hosts ready")

    async def _is_ready(self, host):
        try:
            reader, writer = await asyncio.open_connection(host.ip,
                                                           READINESS_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return answer.status == 200
        except (OSError, Ended, asyncio.TimeoutError):
            return False

    async def send(self, host, target, method="GET", body=b"",
                   deadline_ms=10000, reuse=False):
        """Sends one attempt on a connection of its own, or with reuse on a kept
        one, and waits for its answer until its deadline has passed."""
        answer = Answer("%016x" % random.getrandbits(64), host, target)
        self.answers.append(answer)
        self.record.add("sent %s %s %s to %s", answer.id, method, target,
                        host.name)
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n" \
            "Deadline-Ms: %d\r\n" % (method, target, HOST_NAME, answer.id,
                                     deadline_ms)
        if body:
            head += "Content-Length: %d\r\n" % len(body)
        writer = None
        try:
            idle = self.idle.setdefault(host.name, []) if reuse else []
            while idle and writer is None:
                reader, writer = idle.pop()
                answer.kept = not reader.at_eof()
                writer = writer if answer.kept else None
            if writer is None:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host.ip, CALLER_PORT), 1.0)
            writer.write(head.encode() + b"\r\n" + body)
            answer.message = await asyncio.wait_for(read_message(reader),
                                                    deadline_ms / 1000 + 0.5)
            if reuse and answer.message.get("connection") != "close":
                idle.append((reader, writer))
                writer = None
        except (OSError, Ended) as error:
            answer.failure = "connection ended: %s" % error
        except asyncio.TimeoutError:
            answer.failure = "no answer"
        finally:
            if writer:
                writer.transport.abort()
        answer.ended_at = now()
        self.record.add("answered %s %s", answer.id,
                        answer.status or answer.failure)
        return answer

    def broken(self, text, *values):
        self.findings.append(text % values)
        self.record.add("BROKEN " + text, *values)

    def kill_hosts(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
            elif host.process:
                self.record.add("%s ended with status %s", host.name,
                                host.process.returncode)

    def stop(self):
        self.kill_hosts()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, case, hosts=2, limit_s=110.0):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held and 2
    if the case couldn't run."""
    # So that a terminated play ends its processes too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_NOT_RUN))
    play, code = None, EXIT_NOT_RUN

    async def bounded():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: None)
        try:
            await asyncio.wait_for(case(play), limit_s)
        finally:
            play.kill_hosts()
            for server in play.servers:
                server.end()
            await asyncio.sleep(0.2)   # connections end

    try:
        play = Play(os.path.dirname(os.path.abspath(case_file)), hosts)
        asyncio.run(bounded())
        code = EXIT_BROKEN if play.findings else EXIT_HELD
        print("broken: " + play.findings[0] if play.findings else "held")
    except Exception as error:   # no fault of the product
        print("could not run: %r" % error)
        if play:
            play.record.add("could not run: %r", error)
    finally:
        if play:
            play.stop()
            play.record.add("exit %d", code)
            play.record.close()
    sys.exit(code)
