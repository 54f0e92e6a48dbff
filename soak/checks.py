"""Checks the documented promises of platform mode against the ledger of a
soak run. Each check returns a list of findings, empty when the promise held."""
from world import RECORD_BYTES, TOP_K, shard_records

FAULT_SETTLE_S = 4.0  # after a fault ends, bounds don't hold for this long
# Time until a drain, an evacuation or a new configuration takes effect.
DRAIN_LIMIT_S = 3.0
EVACUATION_LIMIT_S = 5.0
CONFIG_LIMIT_S = 3.0
CONFIG_REVERT_TOLERANCE_S = 0.25
# A connection that ends this soon after a request was written may have been
# idle and closed by the host at the same time. Such a request doesn't count as
# lost, unless a server has begun to run it.
CLOSE_RACE_S = 0.2
DEADLINE_TOLERANCE_S = 0.5
CANCEL_TOLERANCE_S = 0.5  # from a caller's disconnect to the last sub-request
RETRY_RATIO = 0.2
RETRY_SLACK = 20.0
RETRY_WINDOW_S = 10.0
MAX_ATTEMPTS = 2
MIN_COVERAGE = 0.8
# With these statuses an answer says that the request wasn't executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# A request that has crashed a third server reaches servers in at most three
# attempts that arrive later than this.
CRASH_CONTACT_S = 4.0
MAX_LATE_CRASH_ATTEMPTS = 3
PLANNED_EVENTS = ("term", "hup", "config", "drain", "evacuate")


def near_unplanned_event(ledger, start, until, nodes=None):
    """True when an unplanned event, at one of these hosts or at no host in
    particular, overlaps the time or ended so close before it that bounds don't
    hold. Without a list of hosts, events at every host count."""
    return any(event[2] not in PLANNED_EVENTS and event[0] <= until and
               start <= event[1] + FAULT_SETTLE_S and
               (nodes is None or event[3] is None or event[3] in nodes)
               for event in ledger.events)


def correct_answers(ledger):
    """A successful answer is the whole answer to its own request."""
    found = []
    for attempt in ledger.attempts.values():
        answer = attempt.answer
        if answer is None or answer.status // 100 != 2:
            continue
        error = gathered_answer_error(ledger, attempt) if attempt.route.gather \
            else single_answer_error(ledger, attempt)
        if error:
            found.append("%s %s: %s" % (attempt.id, attempt.target, error))
    return found


def single_answer_error(ledger, attempt):
    stamp = ledger.stamps.get(attempt.answer.get("server-stamp"))
    if stamp is None:
        return "no server issued the stamp of the answer"
    id_, _, good, body = stamp
    if id_ != attempt.id or not good:
        return "the answer belongs to another request or to a failed one"
    return "" if body == attempt.answer.body \
        else "the body differs from the one that the server sent"


def gathered_answer_error(ledger, attempt):
    answer = attempt.answer
    names = [name.strip() for value in answer.get_all("part-stamps")
             for name in value.split(",")]
    parts = [ledger.stamps.get(name) for name in names]
    if None in parts or not parts:
        return "a part stamp that no server issued"
    if any(id_ != attempt.id or not good for id_, _, good, _ in parts):
        return "a part that belongs to another request or to a failed one"
    services = [part[1] for part in parts]
    if len(set(services)) != len(services):
        return "two parts from one shard"
    missing = int(answer.get("missing-parts", "0"))
    sets = [members for at, members in ledger.shard_sets
            if at <= attempt.ended_at]
    if not any(set(services) <= members and
               len(members) == len(services) + missing for members in sets):
        return "%d parts and %d missing match no configured set of shards" % (
            len(services), missing)
    if len(services) < MIN_COVERAGE * (len(services) + missing):
        return "a coverage of %d of %d, below the minimum" % (
            len(services), len(services) + missing)
    records = sorted((record for service in services
                      for record in shard_records(service, attempt.target)),
                     reverse=True)[:TOP_K]
    if answer.body != b"".join(records):
        return "the body isn't the top records (%d bytes, expected %d bytes)" \
            % (len(answer.body), TOP_K * RECORD_BYTES)
    return ""


def requests_unchanged(ledger):
    """Servers receive only requests that callers sent, and unchanged."""
    return ["%s received an unexpected request %s: %s" % (server, id_, start)
            for _, server, id_, start in ledger.unmatched]


def at_most_once(ledger):
    """A non-idempotent request runs at most once, and not at all when it was
    refused."""
    found = []
    for attempt in ledger.attempts.values():
        runs = len(ledger.runs.get(attempt.id, []))
        if attempt.route.idempotent:
            continue
        if runs > 1:
            found.append("%s ran %d times" % (attempt.id, runs))
        if runs and attempt.answer and \
                attempt.answer.status in NOT_EXECUTED_STATUSES:
            found.append("%s ran and was refused with %d" % (
                attempt.id, attempt.answer.status))
    return found


def attempt_limit(ledger):
    """A part runs on no more servers than its route allows. Up to 3 exceptions
    in a run are tolerated."""
    found = []
    for id_, runs in ledger.runs.items():
        servers = {}
        for run in runs:
            servers.setdefault(run.service, set()).add(run.server)
        found += ["%s ran on too many servers: %s" % (id_, sorted(ids))
                  for ids in servers.values() if len(ids) > MAX_ATTEMPTS]
    return found if len(found) > 3 else []


def retry_budget(ledger):
    """All hosts together stay within each service's retry budget, in every
    window of RETRY_WINDOW_S."""
    extra, first, requested = {}, set(), {}
    for at, service, id_ in ledger.arrivals:
        if (service, id_) in first:
            extra.setdefault(service, []).append(at)
        first.add((service, id_))
    for attempt in ledger.attempts.values():
        for service in attempt.services:
            requested.setdefault(service, []).append(attempt.sent_at)

    def count_within(times, start):
        return sum(start <= at < start + RETRY_WINDOW_S for at in times)
    found = []
    for service, times in extra.items():
        for start in times:
            requests = max(
                count_within(requested.get(service, []), start - offset)
                for offset in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
            allowed = RETRY_RATIO * requests + RETRY_SLACK
            if count_within(times, start) > allowed:
                found.append("%s got %d extra attempts, %.0f allowed" % (
                    service, count_within(times, start), allowed))
                break
    return found


def forwarded_deadline(ledger):
    """Deadline-Ms is at most the remaining time plus 0.5 s, except near
    unplanned events. Up to 20 other exceptions in a soak run are tolerated."""
    found = []
    for runs in ledger.runs.values():
        for run in runs:
            attempt = ledger.attempts.get(run.request)
            if attempt is None:
                continue
            remaining_s = attempt.deadline_s - \
                (run.started_at - attempt.sent_at)
            if run.remaining_ms / 1000 > max(remaining_s, 0) + 0.5 and \
                    not near_unplanned_event(ledger, attempt.sent_at,
                                             run.started_at):
                found.append(
                    "%s was given %.0f ms, %.0f ms were left (the caller "
                    "took %.0f ms to connect and write)" % (
                        run.request, run.remaining_ms, remaining_s * 1000,
                        (attempt.written_at - attempt.sent_at) * 1000))
    return found if len(found) > 20 else []


def deadlines_met(ledger):
    """Each request that a host without faults has read ends by its deadline."""
    found = []
    for attempt in ledger.attempts.values():
        if attempt.written_at is None or attempt.abandoned_at is not None:
            continue
        took = attempt.ended_at - attempt.sent_at
        if took > attempt.deadline_s + DEADLINE_TOLERANCE_S and \
                not near_unplanned_event(ledger, attempt.sent_at,
                                         attempt.ended_at, [attempt.node]):
            found.append("%s at %s took %.2f s, its deadline is %.2f s" % (
                attempt.id, attempt.node, took, attempt.deadline_s))
    return found


def no_requests_lost(ledger):
    """Planned operations end no request without an answer."""
    found = []
    for attempt in ledger.attempts.values():
        if attempt.written_at is None or attempt.answer is not None or \
                attempt.abandoned_at is not None or \
                near_unplanned_event(ledger, attempt.sent_at, attempt.ended_at):
            continue
        reached_server = attempt.id in ledger.runs
        if reached_server or \
                attempt.ended_at - attempt.written_at > CLOSE_RACE_S:
            found.append("%s at %s ended without an answer after %.0f ms" % (
                attempt.id, attempt.node,
                (attempt.ended_at - attempt.written_at) * 1000))
    return found


def no_work_after_drain(ledger):
    """A leaving server and an evacuated zone get no new work."""
    found = []
    executions = [run for runs in ledger.runs.values() for run in runs]
    for start, until, kind, subject in ledger.events:
        if kind == "drain":
            late_runs = [run for run in executions if run.server == subject and
                         run.started_at > start + DRAIN_LIMIT_S]
        elif kind == "evacuate":
            late_runs = [run for run in executions if run.zone == subject and
                         start + EVACUATION_LIMIT_S < run.started_at < until]
        else:
            continue
        late_runs = [run for run in late_runs
                     if not near_unplanned_event(ledger, start, run.started_at)]
        found += ["%s of %s: request %s ran %.2f s after the start" % (
            kind, subject, run.request, run.started_at - start)
                  for run in late_runs]
    return found


def config_propagation(ledger):
    """A configuration version is in use in time, and no host reverts to an
    older one. Each version has a route of its own, which probes request from
    each host: a 404 shows that the host doesn't use the version."""
    found = []
    for probe in ledger.probes:
        status = probe.attempt.answer.status if probe.attempt.answer else 0
        denied = status == 404
        if probe.expected and denied and \
                probe.attempt.sent_at > probe.put_at + CONFIG_LIMIT_S and \
                not near_unplanned_event(ledger, probe.put_at,
                                         probe.attempt.ended_at):
            found.append("%s lacks version %d %.2f s after it was put" % (
                probe.attempt.node, probe.version,
                probe.attempt.sent_at - probe.put_at))
        if probe.expected and denied and probe.first_seen_at and \
                probe.attempt.sent_at > \
                probe.first_seen_at + CONFIG_REVERT_TOLERANCE_S:
            found.append("%s reverted to a version older than %d" % (
                probe.attempt.node, probe.version))
    return found


def config_in_force_at_sound_hosts(ledger):
    """A host that has had no trouble for a while uses a configuration version
    in time, whatever happened to others."""
    return ["%s, without trouble, lacks version %d %.2f s after it was put" % (
        probe.attempt.node, probe.version,
        probe.attempt.sent_at - probe.put_at)
            for probe in ledger.probes
            if probe.expected and probe.attempt.answer and
            probe.attempt.answer.status == 404 and
            probe.attempt.sent_at > probe.put_at + CONFIG_LIMIT_S and
            not near_unplanned_event(ledger, probe.attempt.sent_at,
                                     probe.attempt.ended_at,
                                     [probe.attempt.node])]


def no_false_client_errors(ledger):
    """Well-formed requests aren't answered with a 4xx of the host's own. A few
    are tolerated: 5, and one in 500 attempts."""
    found = ["%s at %s was answered with %d" % (a.id, a.node, a.answer.status)
             for a in ledger.attempts.values()
             if a.answer and 400 <= a.answer.status < 500 and
             a.answer.status not in NOT_EXECUTED_STATUSES and not a.is_probe]
    return found if len(found) > 5 + len(ledger.attempts) // 500 else []


def no_work_after_disconnect(ledger):
    """Once a caller has disconnected, its request is sent to no more servers.
    Up to 5 exceptions in a run are tolerated."""
    found = []
    for at, service, id_ in ledger.arrivals:
        attempt = ledger.attempts.get(id_)
        if attempt and attempt.abandoned_at and \
                at > attempt.abandoned_at + CANCEL_TOLERANCE_S and \
                not near_unplanned_event(ledger, attempt.sent_at, at):
            found.append("%s reached %s %.2f s after the caller left" % (
                id_, service, at - attempt.abandoned_at))
    return found if len(found) > 5 else []


def crashing_requests_held(ledger):
    """A request that has crashed three servers reaches servers in at most three
    later attempts. While no host runs, nothing remembers the crashes, so they
    are counted from then on."""
    found = []
    for target in {target for _, target in ledger.crashes}:
        crashes = sorted(at for at, name in ledger.crashes if name == target)
        arrivals = [(at, id_) for at, _, id_ in ledger.arrivals
                    if ledger.attempts[id_].target == target]
        starts = [0.0] + [at for at in ledger.all_down]
        for start, until in zip(starts, starts[1:] + [float("inf")]):
            counted = [at for at in crashes if start <= at < until]
            if len(counted) < 3:
                continue
            late = {id_ for at, id_ in arrivals
                    if counted[2] + CRASH_CONTACT_S < at < until}
            if len(late) > MAX_LATE_CRASH_ATTEMPTS:
                found.append(
                    "%s reached servers in %d attempts later than %.0f s after "
                    "it had crashed a third, %d crashed in all" % (
                        target, len(late), CRASH_CONTACT_S, len(crashes)))
    return found


def innocent_requests_not_held(ledger):
    """No other request is refused because it ran on servers that crashed."""
    crashing = {target for _, target in ledger.crashes}
    return ["%s %s at %s was refused as quarantined" % (
        a.id, a.target, a.node) for a in ledger.attempts.values()
            if a.answer and a.answer.body == b"quarantined\n" and
            a.target not in crashing]


def recovery(ledger):
    """Once all faults have ended, at least a quarter of requests succeed."""
    final = [a for a in ledger.attempts.values() if a.is_final]
    served = sum(1 for a in final if a.answer and a.answer.status == 200)
    if served * 4 < len(final):
        return ["%d of %d requests served after the last fault ended" % (
            served, len(final))]
    return []


CHECKS = [correct_answers, requests_unchanged, at_most_once, attempt_limit,
          retry_budget, forwarded_deadline, deadlines_met, no_requests_lost,
          no_work_after_drain, config_propagation,
          config_in_force_at_sound_hosts, no_false_client_errors,
          no_work_after_disconnect, crashing_requests_held,
          innocent_requests_not_held, recovery]
