#!/usr/bin/env python3
"""Runs scenario files against real processes on loopback.

A scenario is a list of steps, one a line:

    load CLASS RATE/s [at DATA-CENTRE] [once]   callers, open loop, whole run
    backend OPTIONS                             options of backend_standin
    at TIME VERB ...                            a fault or an operator's action
    run for TIME                                length of the load
    expect MEASURE ... OPERATOR VALUE           a check after the run

The verbs and measures are the functions named verb_* and measure_* below.
Usage: scenario.py BUILD FILE [--net N] [--keep]
"""
import asyncio
import collections
import json
import operator
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

READY_LIMIT_S = 30
HTTP_PORT = 8000
PEER_PORT = 8001
LATE_TOLERANCE_S = 0.050  # an answer counts as late this long past its deadline
OPERATORS = {"=": operator.eq, ">=": operator.ge, "<=": operator.le,
             ">": operator.gt, "<": operator.lt}


class ScenarioError(Exception):
    """A faulty scenario file, or a fleet that did not start in time."""


def parse_duration(text):
    """Parses a duration such as 250ms or 3s into seconds."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s)", text)
    if not match:
        raise ScenarioError(
            "bad time '%s'; expected a number and ms or s" % text)
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


async def http_request(address, port, method, path, body=None, timeout=5.0):
    """Sends one request on a new connection. Returns (status, body bytes)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" \
                   "Content-Length: %d\r\n\r\n" % (method, path, len(data))
            writer.write(head.encode() + data)
            raw = await reader.read()
        finally:
            writer.close()
        head, _, payload = raw.partition(b"\r\n\r\n")
        if not head:
            raise ConnectionResetError("connection closed without an answer")
        length = re.search(rb"content-length: *(\d+)", head, re.I)
        if length and len(payload) < int(length[1]):
            raise ConnectionResetError("answer cut short of its Content-Length")
        return int(head.split()[1]), payload
    return await asyncio.wait_for(exchange(), timeout)


class Fleet:
    """The stand-ins, the relay and the nodes of one deployment.

    `net` is the second octet of the nodes' loopback addresses; the backend
    servers use the next one. Each host has a real address, where its node
    listens, and a published one, where the relay listens for its peers.
    """

    def __init__(self, build, net, folder, example, backend_options):
        self.build, self.net, self.folder = build, net, folder
        self.backend_options = backend_options
        self.processes = {}
        root = os.path.join(os.path.dirname(__file__), "..", "examples", example)
        rules = open(os.path.join(root, "rules.txt")).read()
        self.hosts = json.load(open(os.path.join(root, "hosts.json")))
        backend_net = re.search(r"servers 127\.(\d+)\.", rules)[1]
        self.rules = rules.replace("127.%s." % backend_net,
                                   "127.%d." % (net + 1))
        for number, host in enumerate(self.hosts):
            host["real"] = "127.%d.0.%d" % (net, number + 1)
            host["address"] = "127.%d.1.%d" % (net, number + 1)
        self.platform = "127.%d.0.100" % net
        self.applications = re.findall(r"^snapshot (\S+)", self.rules, re.M)
        self.classes = {}
        self.snapshots = dict(
            re.findall(r"^snapshot (\S+) (\d+)", self.rules, re.M))
        for name, app, deadline, idempotent, fan_out in re.findall(
                r"^class (\S+) application (\S+) deadline (\S+) .*idempotent "
                r"(\S+) fan-out (\S+)", self.rules, re.M):
            services = re.findall(r"^service (%s/\S+)" % app, self.rules, re.M)
            self.classes[name] = {
                "application": app, "deadline": parse_duration(deadline),
                "idempotent": idempotent == "yes",
                "services": services if fan_out == "all" else services[:1]}

    def path(self, name):
        return os.path.join(self.folder, name)

    # The files are replaced in one step, so that the platform stand-in never
    # reads a part of one.
    def write_rules(self):
        with open(self.path("rules.tmp"), "w") as out:
            out.write(self.rules)
        os.replace(self.path("rules.tmp"), self.path("rules.txt"))

    def write_hosts(self):
        keys = ("name", "data_centre", "address", "http_port", "peer_port",
                "state")
        entries = [{k: h[k] for k in keys} for h in self.hosts
                   if h["state"] != "gone"]
        with open(self.path("hosts.tmp"), "w") as out:
            json.dump(entries, out)
        os.replace(self.path("hosts.tmp"), self.path("hosts.json"))

    def spawn(self, name, *arguments, **options):
        out = open(self.path(name + ".out"), "ab")
        self.processes[name] = subprocess.Popen(
            [os.path.join(self.build, arguments[0])] + list(arguments[1:]),
            stdout=out, stderr=out, **options)

    def start_node(self, host):
        arguments = [
            "toucanridge", "node", "--host", host["name"], "--data-centre",
            host["data_centre"], "--address", host["real"], "--http-port",
            str(HTTP_PORT), "--peer-port", str(PEER_PORT), "--platform",
            "http://%s:7000" % self.platform, "--log-file",
            self.path(host["name"] + ".log")]
        seeds = ["%s:%d" % (h["address"], PEER_PORT) for h in self.hosts
                 if h is not host][:3]
        if self.supports_seeds_flag():
            arguments += ["--seeds", ",".join(seeds)]
        self.spawn(host["name"], *arguments)

    # Whether the program's `node` command has the --seeds flag.
    def supports_seeds_flag(self):
        text = subprocess.run(
            [os.path.join(self.build, "toucanridge"), "node", "--help"],
            capture_output=True, text=True, check=False).stdout
        return "--seeds" in text

    async def start(self):
        self.write_rules()
        self.write_hosts()
        self.spawn("platform", "platform_standin", "--listen",
                   self.platform + ":7000", "--rules", self.path("rules.txt"),
                   "--hosts", self.path("hosts.json"))
        for number, app in enumerate(self.applications):
            self.spawn("backend-" + app, "backend_standin", "--rules",
                       self.path("rules.txt"), "--application", app, "--control",
                       "%s:%d" % (self.platform, 7101 + number),
                       *self.backend_options)
        pairs = []
        for host in self.hosts:
            pairs += ["--map", "%s=%s" % (host["address"], host["real"])]
        self.spawn("relay", "relay", "--port", str(PEER_PORT), *pairs,
                   stdin=subprocess.PIPE)
        await asyncio.sleep(0.5)
        for host in self.hosts:
            self.start_node(host)
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Waits until each node gives a whole answer to a query of a fan-out
        class."""
        name = next(n for n, c in self.classes.items()
                    if len(c["services"]) > 1)
        give_up_at = time.monotonic() + READY_LIMIT_S
        for host in self.hosts:
            while True:
                try:
                    status, body = await http_request(
                        host["real"], HTTP_PORT, "POST", "/v1/query",
                        {"class": name, "body": "ready"})
                    if status == 200 and json.loads(body)["outcome"] == "whole":
                        break
                except (OSError, asyncio.TimeoutError, ValueError):
                    pass
                if time.monotonic() > give_up_at:
                    raise ScenarioError("%s is not ready" % host["name"])
                await asyncio.sleep(0.1)

    def send_relay_command(self, line):
        pipe = self.processes["relay"].stdin
        pipe.write((line + "\n").encode())
        pipe.flush()

    async def backend_stats(self):
        servers = []
        for number in range(len(self.applications)):
            _, body = await http_request(self.platform, 7101 + number, "GET",
                                         "/stats")
            servers += json.loads(body)
        return servers

    # How often each request ran at a backend server, by the request's body.
    async def count_executions(self):
        counts = collections.Counter()
        for number in range(len(self.applications)):
            _, body = await http_request(self.platform, 7101 + number, "GET",
                                         "/runs")
            counts.update(json.loads(body))
        return counts

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                # A frozen process handles SIGTERM only once it continues.
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class Callers:
    """Open-loop callers of one class.

    With a data centre they choose among its hosts, without one among the
    addresses that /v1/addresses gives. `once` marks each body, so that the
    stand-ins count how often it runs, and repeats some requests.
    """

    def __init__(self, fleet, name, rate, data_centre, once, seed):
        self.fleet, self.name, self.rate = fleet, name, rate
        self.data_centre, self.once = data_centre, once
        self.random = random.Random(seed)
        self.rule = fleet.classes[name]
        self.answers = []
        self.addresses, self.valid_until = [], 0
        self.sent_count = 0

    # (address, host name) of the nodes to try, in random order.
    async def choose_targets(self):
        hosts = [h for h in self.fleet.hosts
                 if self.data_centre in (None, h["data_centre"])]
        if self.data_centre is not None:
            targets = [(h["real"], h["name"]) for h in hosts]
            self.random.shuffle(targets)
            return targets
        if time.monotonic() >= self.valid_until:
            candidates = self.addresses + [(h["real"], h["name"])
                                           for h in hosts]
            for address, _ in candidates:
                try:
                    _, body = await http_request(
                        address, HTTP_PORT, "GET", "/v1/addresses", timeout=0.5)
                    answer = json.loads(body)
                    real = {h["name"]: h["real"] for h in hosts}
                    found = [(real[a["host"]], a["host"])
                             for a in answer["addresses"] if a["host"] in real]
                    if found:
                        self.addresses = found
                        self.valid_until = time.monotonic() + \
                            answer["valid_ms"] / 1000
                        break
                except (OSError, asyncio.TimeoutError, ValueError, KeyError):
                    continue
        targets = list(self.addresses)
        self.random.shuffle(targets)
        return targets

    # Sends one query and records its outcome. A connection failure leads to the
    # next node, unless a non-idempotent request may already have been read.
    async def send_query(self, start):
        self.sent_count += 1
        body = "%s%s-%d-%d" % ("once:" if self.once else "", self.name,
                               self.sent_count, self.random.getrandbits(40))
        record = {"at": time.monotonic() - start, "class": self.name,
                  "body": body, "outcome": "cut", "coverage": 0.0, "took": 0.0}
        self.answers.append(record)
        began = time.monotonic()
        targets = await self.choose_targets()
        request = {"class": self.name, "body": body}
        if not self.rule["idempotent"]:
            ticket = await self.fetch_ticket(targets)
            if ticket:
                request["ticket"] = ticket
        record["took"] = time.monotonic() - began
        for address, host in targets:
            sent = time.monotonic()
            record["host"] = host
            try:
                _, raw = await http_request(
                    address, HTTP_PORT, "POST", "/v1/query", request,
                    self.rule["deadline"] + 5)
            except (ConnectionRefusedError, OSError) as error:
                if isinstance(error, ConnectionRefusedError) or \
                        self.rule["idempotent"]:
                    record["tried"] = record.get("tried", 0) + 1
                    continue
                break
            except asyncio.TimeoutError:
                record["outcome"] = "stalled"
                record["took"] = time.monotonic() - sent
                break
            record["took"] = time.monotonic() - sent
            self.check_answer(record, json.loads(raw))
            if self.once and self.random.random() < 0.3:
                await self.resend(record, request)
            break

    async def fetch_ticket(self, targets):
        for address, _ in targets:
            try:
                status, raw = await http_request(
                    address, HTTP_PORT, "POST", "/v1/tickets", {}, 1.0)
                if status == 200:
                    return json.loads(raw)["tickets"][0]
            except (OSError, asyncio.TimeoutError, ValueError, KeyError):
                continue
        return None

    async def resend(self, record, request):
        """A caller sends the same request again, to a random node."""
        host = self.random.choice(self.fleet.hosts)
        try:
            _, raw = await http_request(
                host["real"], HTTP_PORT, "POST", "/v1/query", request,
                self.rule["deadline"] + 5)
            record["again"] = json.loads(raw)["outcome"]
        except (OSError, asyncio.TimeoutError, ValueError):
            record["again"] = "cut"

    # Records the outcome, the coverage, and whether the answer is wrong (parts
    # or coverage are inconsistent), mixed (several snapshots) or late. The body
    # of a part is "service#snapshot#digest of the request".
    def check_answer(self, record, answer):
        record["outcome"] = answer["outcome"]
        record["reason"] = answer.get("reason", "")
        coverage = answer.get("coverage", {"answered": 0, "total": 0})
        parts = answer.get("parts", [])
        if coverage["total"]:
            record["coverage"] = coverage["answered"] / coverage["total"]
        digests = {p["body"].split("#")[2] for p in parts}
        snapshots = {p["body"].split("#")[1] for p in parts}
        names = [p["service"] for p in parts]
        known = set(self.rule["services"])
        record["wrong"] = (
            len(names) != len(set(names)) or not set(names) <= known or
            any(p["body"].split("#")[0] != p["service"] for p in parts) or
            len(digests) > 1 or
            len(names) != coverage["answered"] or
            (parts and coverage["total"] != len(self.rule["services"])) or
            (answer["outcome"] == "whole") != (0 < coverage["answered"] ==
                                               coverage["total"]))
        record["mixed"] = len(snapshots) > 1 or any(
            s != str(answer["snapshot"]) for s in snapshots)
        record["late"] = record["took"] > \
            self.rule["deadline"] + LATE_TOLERANCE_S

    async def run(self, start, length):
        tasks = []
        next_send = time.monotonic()
        while next_send - start < length:
            await asyncio.sleep(max(0, next_send - time.monotonic()))
            tasks.append(asyncio.ensure_future(self.send_query(start)))
            next_send += self.random.expovariate(self.rate)
        await asyncio.gather(*tasks)


class Scenario:
    """One scenario file: its steps, and the results of running them."""

    def __init__(self, path):
        self.path = path
        self.example = "01-pabsong"
        self.loads, self.steps, self.expectations = [], [], []
        self.backend_options = ["--warm"]
        self.length = 10.0
        self.fleet = None
        self.callers = []
        self.samples = []
        self.server_stats, self.execution_counts = [], {}
        for number, line in enumerate(open(path), 1):
            words = line.split("#")[0].split()
            if not words:
                continue
            try:
                self.parse(words)
            except (IndexError, ValueError) as error:
                raise ScenarioError("%s:%d: %s" % (path, number, error))

    def parse(self, words):
        if words[0] == "deployment":
            self.example = words[1]
        elif words[0] == "load":
            centre = words[words.index("at") + 1] if "at" in words else None
            self.loads.append((words[1], float(words[2].removesuffix("/s")),
                               centre, "once" in words))
        elif words[0] == "backend":
            self.backend_options = words[1:]
        elif words[0] == "run":
            self.length = parse_duration(words[2])
        elif words[0] == "at":
            verb = getattr(self, "verb_" + words[2].replace("-", "_"), None)
            if verb is None:
                raise ScenarioError("unknown verb '%s'" % words[2])
            self.steps.append((parse_duration(words[1]), verb, words[3:]))
        elif words[0] == "expect":
            measure = getattr(self, "measure_" + words[1].replace("-", "_"),
                              None)
            if measure is None or words[-2] not in OPERATORS:
                raise ScenarioError("unknown measure or operator in '%s'" %
                                    " ".join(words))
            self.expectations.append((measure, words[2:-2], words[-2],
                                      float(words[-1]), " ".join(words[1:])))
        else:
            raise ScenarioError("unknown step '%s'" % words[0])

    # --- verbs -----------------------------------------------------------

    def select_hosts(self, text):
        """Host names, data centres or *, separated by commas."""
        wanted = text.split(",")
        return [h for h in self.fleet.hosts if text == "*" or
                h["name"] in wanted or h["data_centre"] in wanted]

    async def verb_kill(self, names):
        for host in self.select_hosts(names):
            self.fleet.processes[host["name"]].kill()

    async def verb_stop(self, names):
        for host in self.select_hosts(names):
            self.fleet.processes[host["name"]].terminate()

    async def verb_start(self, names):
        for host in self.select_hosts(names):
            self.fleet.processes[host["name"]].wait()
            self.fleet.start_node(host)

    async def verb_freeze(self, names, _for="for", length=None):
        frozen = [self.fleet.processes[h["name"]]
                  for h in self.select_hosts(names)]
        for process in frozen:
            process.send_signal(signal.SIGSTOP)
        if length is not None:
            await asyncio.sleep(parse_duration(length))
            for process in frozen:
                process.send_signal(signal.SIGCONT)

    async def verb_cut(self, left, _from, right):
        for a in self.select_hosts(left):
            for b in self.select_hosts(right):
                if a is not b:
                    self.fleet.send_relay_command(
                        "cut %s %s" % (a["real"], b["real"]))
                    self.fleet.send_relay_command(
                        "cut %s %s" % (b["real"], a["real"]))

    async def verb_cut_one_way(self, left, _to, right):
        for a in self.select_hosts(left):
            for b in self.select_hosts(right):
                if a is not b:
                    self.fleet.send_relay_command(
                        "cut %s %s" % (a["real"], b["real"]))

    async def verb_heal(self):
        self.fleet.send_relay_command("heal")

    async def verb_silence(self):
        self.fleet.send_relay_command("silence")

    async def verb_platform(self, state):
        query = {"down": "down=1", "up": "down=0", "stale": "stale=1",
                 "fresh": "stale=0"}[state]
        await http_request(self.fleet.platform, 7000, "GET",
                           "/control?" + query)

    async def verb_rule(self, *words):
        """Replaces the rule that starts with the same two words, or adds one.
        An @ in an address stands for the network of the backend servers."""
        words = [w.replace("@", str(self.fleet.net + 1)) for w in words]
        lines = self.fleet.rules.splitlines()
        head = words[:2]
        new = " ".join(words) + " # asked by Somchai W. : scenario"
        matches = [i for i, l in enumerate(lines) if l.split()[:2] == head]
        if matches:
            lines[matches[0]] = new
        else:
            lines.append(new)
        self.fleet.rules = "\n".join(lines) + "\n"
        self.fleet.write_rules()

    async def verb_delist(self, names):
        for host in self.select_hosts(names):
            host["state"] = "gone"
        self.fleet.write_hosts()

    async def verb_list(self, names):
        for host in self.select_hosts(names):
            host["state"] = "live"
        self.fleet.write_hosts()

    async def verb_backend(self, target, *settings):
        """Injects faults at stand-in servers: drain=1 crash=1 cold=1 slow=5."""
        target = target.replace("@", str(self.fleet.net + 1))
        for number in range(len(self.fleet.applications)):
            await http_request(
                self.fleet.platform, 7101 + number, "POST",
                "/set?server=%s&%s" % (target, "&".join(settings)))

    async def verb_crash_request(self, class_name, count="8"):
        """A caller sends a request that crashes servers to all nodes at once."""
        async def send(host):
            try:
                await http_request(
                    host["real"], HTTP_PORT, "POST", "/v1/query",
                    {"class": class_name, "body": "crash! it"}, 5)
            except (OSError, asyncio.TimeoutError):
                pass
        await asyncio.gather(*[send(h) for h in self.fleet.hosts[:int(count)]])

    # --- measures --------------------------------------------------------

    def select_answers(self, words):
        """All answers, or those of `CLASS [at DC] [from TIME to TIME]`."""
        words = list(words)
        selected = [(c, a) for c in self.callers for a in c.answers]
        if words and words[0] not in ("from", "at"):
            name = words.pop(0)
            selected = [(c, a) for c, a in selected if c.name == name]
        if "at" in words:
            centre = words[words.index("at") + 1]
            selected = [(c, a) for c, a in selected if c.data_centre == centre]
        if "from" in words:
            index = words.index("from")
            low, high = parse_duration(words[index + 1]), \
                parse_duration(words[index + 3])
            selected = [(c, a) for c, a in selected if low <= a["at"] < high]
        return [a for _, a in selected]

    def measure_answers(self, *words):
        return len(self.select_answers(words))

    def measure_wrong(self, *words):
        return sum(bool(a.get("wrong")) for a in self.select_answers(words))

    def measure_mixed(self, *words):
        return sum(bool(a.get("mixed")) for a in self.select_answers(words))

    def measure_late(self, *words):
        return sum(bool(a.get("late")) or a["outcome"] == "stalled"
                   for a in self.select_answers(words))

    def measure_cut(self, *words):
        return sum(a["outcome"] == "cut" for a in self.select_answers(words))

    def measure_refused(self, *words):
        return sum(a["outcome"] == "not-run"
                   for a in self.select_answers(words))

    def measure_coverage(self, *words):
        answers = self.select_answers(words)
        return sum(a["coverage"] for a in answers) / len(answers) if answers else 0

    def measure_p99(self, *words):
        """The 99th percentile of the answer time in ms."""
        took = sorted(a["took"] for a in self.select_answers(words))
        return 1000 * took[int(0.99 * (len(took) - 1))] if took else 0

    # Requests that ran more than once.
    def measure_doubled(self):
        return sum(count > 1 for count in self.execution_counts.values())

    # Requests that were answered not-run though they ran. Requests that were
    # sent again are left out: their second copy may have run.
    def measure_false_refusals(self):
        return sum(a["outcome"] == "not-run" and "again" not in a and
                   self.execution_counts.get(a["body"], 0) > 0
                   for a in self.select_answers([]))

    def measure_lost(self):
        """Requests that were answered whole though they ran at no server."""
        return sum(a["outcome"] == "whole" and a["body"].startswith("once:") and
                   self.execution_counts.get(a["body"], 0) == 0
                   for a in self.select_answers([]))

    def measure_backend(self, key, target="*"):
        """Sums a counter over a server, a service, an application or all."""
        return sum(s[key] for s in self.server_stats
                   if target in ("*", s["server"], s["service"],
                                 s["service"].split("/")[0]))

    def work_until(self, name, when):
        """A node's work counter at a time, taken from the status samples, or
        None. It sums the first attempts at servers and, if reported, the
        dispatched requests."""
        latest = None
        for at, statuses, _ in self.samples:
            if at <= when and name in statuses:
                latest = statuses[name]
        return latest

    def measure_work(self, names, _from, low, _to, high):
        """New work at nodes between two times, from the nodes' counters."""
        total = 0
        for host in self.select_hosts(names):
            first = self.work_until(host["name"], parse_duration(low))
            last = self.work_until(host["name"], parse_duration(high))
            if first is not None and last is not None:
                total += last - first
        return total

    def measure_revisions(self, *_):
        """Distinct configuration revisions in the last sample."""
        return len({r for r in self.samples[-1][2].values()})

    def measure_revision(self):
        """The lowest revision in use at the end; the first rules file is 1."""
        return min(self.samples[-1][2].values(), default=0)

    def measure_reverted(self):
        """Counts how often a node's revision fell between two samples."""
        decreases, highest = 0, {}
        for _, _, revisions in self.samples:
            for name, revision in revisions.items():
                decreases += revision < highest.get(name, 0)
                highest[name] = max(revision, highest.get(name, 0))
        return decreases

    # --- running ---------------------------------------------------------

    async def sample_status(self, start):
        while True:
            work, revisions = {}, {}
            for host in self.fleet.hosts:
                try:
                    _, raw = await http_request(
                        host["real"], HTTP_PORT, "GET", "/v1/status",
                        timeout=0.5)
                    status = json.loads(raw)
                    work[host["name"]] = status["counters"]["first_attempts"] + \
                        status["counters"].get("dispatched", 0)
                    if "view" in status:
                        revisions[host["name"]] = \
                            status["view"]["rules_revision"]
                except (OSError, asyncio.TimeoutError, ValueError, KeyError):
                    continue
            self.samples.append((time.monotonic() - start, work, revisions))
            await asyncio.sleep(0.4)

    async def run_steps(self):
        start = time.monotonic()
        sampler = asyncio.ensure_future(self.sample_status(start))
        tasks = [asyncio.ensure_future(c.run(start, self.length))
                 for c in self.callers]
        for when, verb, words in sorted(self.steps, key=lambda s: s[0]):
            await asyncio.sleep(max(0, start + when - time.monotonic()))
            tasks.append(asyncio.ensure_future(verb(*words)))
        await asyncio.gather(*tasks)
        sampler.cancel()
        self.server_stats = await self.fleet.backend_stats()
        self.execution_counts = await self.fleet.count_executions()

    async def run(self, build, net):
        folder = tempfile.mkdtemp(prefix="toucanridge-scenario-")
        self.fleet = Fleet(build, net, folder, self.example,
                           self.backend_options)
        try:
            await self.fleet.start()
            self.callers = [Callers(self.fleet, *load, seed=number + 1)
                            for number, load in enumerate(self.loads)]
            await self.run_steps()
        finally:
            self.fleet.stop()
        failures = []
        for measure, words, comparison, bound, text in self.expectations:
            value = measure(*words)
            passed = OPERATORS[comparison](value, bound)
            print("  %s %s: %g" % ("ok  " if passed else "FAIL", text, value))
            if not passed:
                failures.append(text)
        outcomes = collections.Counter(
            (a["class"], a["outcome"]) for a in self.select_answers([]))
        print("  answers:", ", ".join("%s %s %d" % (c, o, n) for (c, o), n in
                                      sorted(outcomes.items())))
        if failures or "--keep" in sys.argv:
            with open(os.path.join(folder, "answers.json"), "w") as out:
                json.dump(self.select_answers([]), out, indent=1)
            print("  logs kept in", folder)
        else:
            shutil.rmtree(folder)
        return not failures


def main():
    if len(sys.argv) < 3:
        print(__doc__)
        return 2
    build, path = sys.argv[1], sys.argv[2]
    net = int(sys.argv[sys.argv.index("--net") + 1]) \
        if "--net" in sys.argv else 70
    print(os.path.basename(path))
    try:
        return 0 if asyncio.run(Scenario(path).run(build, net)) else 1
    except ScenarioError as error:
        print("  ERROR", error)
        return 2


if __name__ == "__main__":
    sys.exit(main())
