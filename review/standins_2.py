"""Stand-ins of the platform for the cases in review/6 to review/10: the store,
backend servers and clients, as the users' pages describe them, and the hosts
under test, which are started with the command of the deploy file. Nothing here
uses the project's own code."""
import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

now = time.monotonic
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = ["target/toucanridge", "platform"]   # `run` in deploy/system.toml
FRONTEND, READINESS, CONTROL, DIRECTORY = 8104, 8108, 8106, 8100
STORE_PORT, SERVER_PORT = 8102, 8526
CONTACT_S = 4.0     # bounds.contact_ms
DRAIN_S = 3.0       # bounds.drain_ms
HOST_NAME = "shop.example"


class Closed(Exception):
    """The connection ended before the message was complete."""


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        return self.headers.get(name, default)

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
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        return Message(lines[0].split(" ", 2), headers, body)
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error


def make_response(status, headers=(), body=b""):
    head = "HTTP/1.1 %d X\r\n" % status
    head += "".join("%s: %s\r\n" % pair for pair in headers)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.path, self.started, self.lines = path, now(), []

    def add(self, text, *values):
        self.lines.append("%9.3f %s" % (now() - self.started, text % values))

    def write(self, attempts, runs):
        """Writes the events, then each request with its answer and its runs."""
        with open(self.path, "w") as out:
            out.write("\n".join(self.lines) + "\n")
            for attempt in sorted(attempts.values(), key=lambda a: a.sent_at):
                ran = ["%s/%s %.3f" % (server.service, server.id,
                                       at - self.started)
                       for at, server in runs.get(attempt.id, [])]
                ended = attempt.ended_at or now()
                out.write("%9.3f sent %s %s to %s; %s at %.3f; ran: %s\n" % (
                    attempt.sent_at - self.started, attempt.id, attempt.target,
                    attempt.host.name, attempt.status or "no answer",
                    ended - self.started, ", ".join(ran) or "nowhere"))


class Store:
    """Items by key, one revision, all changes as events. Each host has an
    address of its own to it, so that it may turn some of them away."""

    def __init__(self, record):
        self.record = record
        self.items, self.events, self.revision = {}, [], 1
        self.changed = asyncio.Event()
        self.silent = set()     # hosts that get no answer
        self.watching = {}      # host -> time of its latest call
        self.listeners = []

    async def listen(self, host, address):
        self.listeners.append(await asyncio.start_server(
            lambda r, w: self._serve(host, r, w), address, STORE_PORT))

    def put(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            data = json.dumps(value).encode()
            created = self.items.get(key, {}).get("created", self.revision)
            event = {"key": key, "revision": self.revision, "lease": 0,
                     "created": created,
                     "value": base64.b64encode(data).decode()}
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        return now()

    async def _serve(self, host, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if host in self.silent:
                    await self._hold(host)
                    raise Closed("a call without an answer")
                self.watching[host] = now()
                await asyncio.sleep(0.004)
                body = await self._answer(message.first[1])
                if host in self.silent:
                    # A connection on which an answer is lost returns nothing
                    # further.
                    await self._hold(host)
                    raise Closed("an answer that is lost")
                writer.write(make_response(
                    200, [("Content-Type", "application/json"),
                          ("Store-Era", "1")], json.dumps(body).encode()))
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            writer.close()

    async def _hold(self, host):
        while host in self.silent:
            await asyncio.sleep(0.05)

    async def _answer(self, target):
        query = dict(pair.split("=", 1) for pair in
                     target.partition("?")[2].split("&") if "=" in pair)
        after = query.get("after", "").replace("%2F", "/").replace("%2f", "/")
        if target.startswith("/kv-range"):
            rest = [self.items[key] for key in sorted(self.items)
                    if key > after]
            return {"items": rest[:500], "has_more": len(rest) > 500,
                    "current_rev": self.revision}
        until = now() + int(query.get("wait_ms", "0")) / 1000
        while self.revision <= int(after) and now() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        found = [e for e in self.events if e["revision"] > int(after)]
        return {"events": found, "current_rev": self.revision}


def records_of(service, target):
    return [hashlib.md5(("%s %s %d" % (service, target, i)).encode()).digest()
            for i in range(5)]


class Server:
    """A backend server: slots, a short queue, 421 for another id."""

    def __init__(self, fleet, id_, service, zone, address, work_s=0.012):
        self.fleet, self.id, self.service = fleet, id_, service
        self.zone, self.address, self.work_s = zone, address, work_s
        self.slots = asyncio.Semaphore(4)
        self.queued, self.connections = 0, 0
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.gone_at = None     # when the store accepted its removal
        self.limit = None       # Server-Limit
        self.on_arrival = None
        self.refuses = None     # makes a refusal, or returns None
        self.extra = []         # headers of its answers

    async def start(self):
        self.listener = await asyncio.start_server(
            self._serve, self.address, SERVER_PORT)

    def stop(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state="ready"):
        return {"service": self.service, "zone": self.zone, "version": "1",
                "address": "%s:%d" % (self.address, SERVER_PORT), "slots": 4,
                "state": state, "warmup_left_ms": 0, "sequence": 1,
                "born": self.born}

    async def _serve(self, reader, writer):
        if self.connections >= self.fleet.max_connections:
            writer.transport.abort()
            return
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                # Drops the request when its connection closes.
                work = asyncio.ensure_future(self._handle(message, writer))
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({work, closed},
                                   return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    raise Closed("closed while the request ran")
                closed.cancel()
                await asyncio.wait({closed})
                writer.write(work.result())
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, message, writer):
        id_ = message.get("request-id")
        not_run = [("Not-Executed", "1"), ("Request-Id", id_)] + self.extra
        if message.get("target-instance") != self.id:
            return make_response(421, [("Not-Executed", "1")])
        if not id_:
            return make_response(400, not_run)
        if self.on_arrival:
            self.on_arrival(self, message, writer)
        refusal = self.refuses and self.refuses(self, message, writer)
        if refusal or self.queued >= 32:
            return refusal or make_response(503, not_run)
        arrived, self.queued = now(), self.queued + 1
        left_s = int(message.get("deadline-ms", "0")) / 1000
        try:
            async with self.slots:
                if now() - arrived > left_s:
                    return make_response(503, not_run)
                self.fleet.runs.setdefault(id_, []).append((now(), self))
                await asyncio.sleep(self.work_s * random.uniform(0.6, 1.6))
        finally:
            self.queued -= 1
        records = records_of(self.service, message.first[1])
        random.shuffle(records)
        return make_response(
            200, [("Server-Stamp", "%s.%s" % (self.id, id_)),
                  ("Request-Id", id_)] + self.extra, b"".join(records))


class Host:
    def __init__(self, fleet, index, zone):
        self.fleet, self.zone = fleet, zone
        self.name = "edge-%s-%d" % (zone, index)
        self.address = fleet.address(0, len(fleet.hosts))
        self.store_address = fleet.address(1, len(fleet.hosts))
        self.process = None
        self.idle = []          # connections of clients

    def write_settings(self):
        fleet, ip = self.fleet, self.address
        zones = sorted({host.zone for host in fleet.hosts})
        lines = ["node_name=" + self.name, "role=entry", "machine_class=edge",
                 "serves=edge,control_plane,directory", "ip=" + ip,
                 "zone=" + self.zone, "region=r"]
        lines += ["zones.%s=r" % zone for zone in zones]
        lines += ["listen.frontend=%s:%d" % (ip, FRONTEND),
                  "listen.readiness=%s:%d" % (ip, READINESS),
                  "listen.control=%s:%d" % (ip, CONTROL),
                  "listen.directory=%s:%d" % (ip, DIRECTORY),
                  "port_range=7380,7395",
                  "seeds=" + ",".join("%s:%d" % (h.address, CONTROL)
                                      for h in fleet.hosts[:3]),
                  "bootstrap=true", "loss_counts=false",
                  "limits.cpu_share=0.25", "limits.cores=1",
                  "limits.memory_mb=260", "limits.max_fds=4100",
                  "limits.link_mbps=1000.0", "limits.disk_mb=0",
                  "discovery=platform", "entry=directory",
                  "heartbeat_ms=1200",
                  "contracts=base,drain,config,cost,retry,recover,scatter,"
                  "places,platform"]
        lines += ["bounds." + pair for pair in (
            "seed_lag_s=3", "addr_reuse_s=2", "contact_ms=4000",
            "ack_timeout_ms=5000", "catch_up_s=4", "drain_ms=3000",
            "grace_s=6", "loss_slack_ms=200", "config_apply_ms=3000",
            "downgrade_slack_ms=250", "max_skew_ms=12000",
            "retry_budget_ratio=0.2", "retry_window_s=10", "retry_slack=56",
            "warmup_overage=1.5", "warmup_slack=5", "evacuate_ms=5000",
            "recovery_s=12", "ttl_max_s=5")]
        lines += ["platform.address=%s:%d" % (self.store_address, STORE_PORT),
                  "platform.form=read", "platform.reads_per_s=2000",
                  "platform.history_s=20", "platform.value_bytes=1048576"]
        self.settings = os.path.join(fleet.folder, self.name + ".conf")
        with open(self.settings, "w") as out:
            out.write("\n".join(lines) + "\n")

    def start(self):
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"),
                        "ab")
        self.process = subprocess.Popen(
            PROGRAM, cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT,
            env={"TOUCANRIDGE_NODE_FILE": self.settings,
                 "PATH": os.environ.get("PATH", "")})


class Attempt:
    def __init__(self, id_, target, host):
        self.id, self.target, self.host = id_, target, host
        self.sent_at = now()
        self.status = None      # of a complete answer
        self.body = b""
        self.ended_at = None
        self.headers = {}


class Fleet:
    max_connections = 30

    def __init__(self, case_folder, zones, hosts_per_zone):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="toucanridge-review-")
        self.net = self._free_net()
        self.hosts, self.servers, self.runs, self.attempts = [], [], {}, {}
        for zone in zones:
            for i in range(hosts_per_zone):
                self.hosts.append(Host(self, i + 1, zone))
        self.store = Store(self.record)
        self.server_count = 0
        self.version = 0
        self.owners, self.untracked = {}, set()   # of hosts' connections

    @staticmethod
    def _free_net():
        choices = list(range(205, 250))   # other tests use lower ones
        random.shuffle(choices)
        for net in choices:
            with socket.socket() as probe:
                try:
                    probe.bind(("127.%d.0.1" % net, FRONTEND))
                    return net
                except OSError:
                    continue
        raise RuntimeError("no free loopback network")

    def address(self, block, index):
        return "127.%d.%d.%d" % (self.net, block, index + 1)

    async def add_server(self, service, zone, **options):
        id_ = "i-%08x" % random.getrandbits(32)
        server = Server(self, id_, service, zone,
                        self.address(2, self.server_count), **options)
        self.server_count += 1
        await server.start()
        self.servers.append(server)
        self.store.put("servers/" + id_, server.entry())
        return server

    async def stop_server(self, server):
        if server in self.servers:
            self.servers.remove(server)
            server.stop()

    def put_config(self, routes, services):
        self.version += 3
        return self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": self.max_connections,
                          "warmup_per_s": 0.0} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}})

    async def start_hosts(self):
        for host in self.hosts:
            await self.store.listen(host.name, host.store_address)
            host.write_settings()
        for host in self.hosts:
            host.start()
        self.owner_task = asyncio.ensure_future(self.look_up_owners())

    async def send(self, host, method, target, body=b"", deadline_ms=2500,
                   reuse=True):
        """One client attempt, on a kept connection or on a new one."""
        attempt = Attempt("%016x" % random.getrandbits(64), target, host)
        self.attempts[attempt.id] = attempt
        writer = None
        try:
            reader = None
            while host.idle and reuse:
                reader, writer = host.idle.pop()
                if not reader.at_eof() and not writer.transport.is_closing():
                    break
                reader = None
            if reader is None:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host.address, FRONTEND), 1.0)
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n" \
                "Deadline-Ms: %d\r\n" % (method, target, HOST_NAME, attempt.id,
                                         deadline_ms)
            if body:
                head += "Content-Length: %d\r\n" % len(body)
            attempt.sent_at = now()
            writer.write(head.encode() + b"\r\n" + body)
            answer = await asyncio.wait_for(read_message(reader),
                                            deadline_ms / 1000 + 1.0)
            attempt.status, attempt.body = answer.status, answer.body
            attempt.headers = answer.headers
            if answer.get("connection").lower() != "close" and reuse:
                host.idle.append((reader, writer))
                writer = None
        except (Closed, OSError, asyncio.TimeoutError):
            pass
        finally:
            attempt.ended_at = now()
            if writer is not None:
                writer.transport.abort()
        return attempt

    async def resolve(self, host):
        """The hosts that the directory of a host names, None without them."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host.address, DIRECTORY), 1.0)
            writer.write(("GET /resolve?name=%s&region=r&zone=%s HTTP/1.1\r\n"
                          "Host: %s\r\n\r\n" % (
                              HOST_NAME, host.zone, HOST_NAME)).encode())
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            named = json.loads(answer.body).get("addrs", [])
            return [h for h in self.hosts
                    if "%s:%d" % (h.address, FRONTEND) in named]
        except (Closed, OSError, ValueError, asyncio.TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.transport.abort()

    async def wait_until_served(self, method, target, limit_s=20.0):
        """Waits until each host serves a request."""
        until = now() + limit_s
        for host in self.hosts:
            while (await self.send(host, method, target)).status != 200:
                if now() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def track(self, writer):
        """A key of a host's connection to a server, for host_of(). A server on
        the platform sees the host by its address, which all hosts on loopback
        share; here the socket's owner is looked up instead."""
        peer = writer.get_extra_info("peername")
        local = writer.get_extra_info("sockname")
        key = (peer[1], local[0]) if peer and local else None
        if key is not None and key not in self.owners:
            self.untracked.add(key)
        return key

    def host_of(self, key):
        return self.owners.get(key)

    async def look_up_owners(self):
        while True:
            await asyncio.sleep(0.2)
            if self.untracked:
                found = await asyncio.to_thread(self._read_owners)
                for key in list(self.untracked):
                    if key in found:
                        self.owners[key] = found[key]
                        self.untracked.discard(key)

    def _read_owners(self):
        hosts = {}
        for host in self.hosts:
            folder = "/proc/%d/fd" % host.process.pid
            try:
                for name in os.listdir(folder):
                    link = os.readlink(os.path.join(folder, name))
                    if link.startswith("socket:["):
                        hosts[link[8:-1]] = host
            except OSError:
                continue
        found, port = {}, ":%04X" % SERVER_PORT
        with open("/proc/net/tcp") as table:
            for line in table:
                fields = line.split()
                if fields[2].endswith(port) and fields[9] in hosts:
                    number = int(fields[2][:8], 16).to_bytes(4, sys.byteorder)
                    found[int(fields[1][9:], 16), socket.inet_ntoa(number)] = \
                        hosts[fields[9]]
        return found

    def end(self):
        """Ends all processes that were started."""
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, limit_s=112.0):
    """Runs a case and exits with its status: 1 when the rule was broken, 0 when
    it held, 2 when the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None

    def leave(status):
        if fleet:
            fleet.end()
            fleet.record.write(fleet.attempts, fleet.runs)
        sys.stdout.flush()
        os._exit(status)   # connections that are still open need no farewell

    async def main():
        nonlocal fleet
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = case.make_fleet()
        leave(await asyncio.wait_for(case.play(fleet, trouble), limit_s))

    signal.signal(signal.SIGTERM, lambda *_: leave(2))
    try:
        asyncio.run(main())
    except Exception as error:   # anything that kept the case from running
        print("the case couldn't run: %r" % error)
    leave(2)
