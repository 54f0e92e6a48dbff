"""Checks the promises of the platform's pages on a ledger. Each check returns
a list of findings, empty when the promise was kept."""
from world import RECORD_BYTES, TOP, part_of

CONTACT_S = 4.0
DRAIN_S = 3.0
EVACUATE_S = 5.0
CONFIG_S = 3.0
DOWNGRADE_S = 0.25
LOSS_SLACK_S = 0.2
LATE_S = 0.5
LEFT_S = 0.5
RETRY_RATIO = 0.2
RETRY_SLACK = 20.0
RETRY_WINDOW_S = 10.0
MAX_ATTEMPTS = 2
MIN_COVERAGE = 0.8
NEVER_RUN = (408, 421, 429, 503)
PLANNED = ("term", "hup", "config", "drain", "evacuate")


def disturbed(ledger, start, until, nodes=None):
    """True when unplanned trouble, of these hosts or of anything else, came
    so close that bounds don't hold."""
    return any(event[2] not in PLANNED and event[0] <= until and
               start <= event[1] + CONTACT_S and
               (nodes is None or event[3] is None or event[3] in nodes)
               for event in ledger.events)


def whole_answers(ledger):
    """A success holds the whole answer to its own request."""
    found = []
    for attempt in ledger.attempts.values():
        answer = attempt.answer
        if answer is None or answer.status // 100 != 2:
            continue
        fault = gathered_fault(ledger, attempt) if attempt.route.gather \
            else single_fault(ledger, attempt)
        if fault:
            found.append("%s %s: %s" % (attempt.id, attempt.target, fault))
    return found


def single_fault(ledger, attempt):
    stamp = ledger.stamps.get(attempt.answer.get("server-stamp"))
    if stamp is None:
        return "no signature of a server"
    id_, _, good, body = stamp
    if id_ != attempt.id or not good:
        return "the answer to another request, or a failure"
    return "" if body == attempt.answer.body else "another body"


def gathered_fault(ledger, attempt):
    answer = attempt.answer
    names = [name.strip() for value in answer.all("part-stamps")
             for name in value.split(",")]
    parts = [ledger.stamps.get(name) for name in names]
    if None in parts or not parts:
        return "a signature that no server gave"
    if any(id_ != attempt.id or not good for id_, _, good, _ in parts):
        return "a part of another request, or a failure"
    services = [part[1] for part in parts]
    if len(set(services)) != len(services):
        return "two parts of one shard"
    missing = int(answer.get("missing-parts", "0"))
    sets = [members for at, members in ledger.sets if at <= attempt.ended]
    if not any(set(services) <= members and
               len(members) == len(services) + missing for members in sets):
        return "%d parts and %d missing of no configured set" % (
            len(services), missing)
    if len(services) < MIN_COVERAGE * (len(services) + missing):
        return "a coverage of %d of %d" % (
            len(services), len(services) + missing)
    records = sorted((record for service in services
                      for record in part_of(service, attempt.target)),
                     reverse=True)[:TOP]
    if answer.body != b"".join(records):
        return "not the greatest records (%d bytes for %d)" % (
            len(answer.body), TOP * RECORD_BYTES)
    return ""


def nothing_unasked(ledger):
    """Servers get what callers sent, unchanged."""
    return ["%s got %s %s" % (server, id_, start)
            for _, server, id_, start in ledger.strange]


def runs_once(ledger):
    """A non-idempotent request runs at most once, and not at all when it was
    refused."""
    found = []
    for attempt in ledger.attempts.values():
        runs = len(ledger.runs.get(attempt.id, []))
        if attempt.route.idempotent:
            continue
        if runs > 1:
            found.append("%s ran %d times" % (attempt.id, runs))
        if runs and attempt.answer and attempt.answer.status in NEVER_RUN:
            found.append("%s ran and was refused with %d" % (
                attempt.id, attempt.answer.status))
    return found


def few_servers(ledger):
    """A part runs on no more servers than its route allows."""
    found = []
    for id_, runs in ledger.runs.items():
        servers = {}
        for run in runs:
            servers.setdefault(run.service, set()).add(run.server)
        found += ["%s ran on %s" % (id_, sorted(ids))
                  for ids in servers.values() if len(ids) > MAX_ATTEMPTS]
    return found if len(found) > 3 else []


def retry_budget(ledger):
    """Hosts together stay within each service's budget of extra attempts."""
    extra, first, asked = {}, set(), {}
    for at, service, id_ in ledger.arrivals:
        if (service, id_) in first:
            extra.setdefault(service, []).append(at)
        first.add((service, id_))
    for attempt in ledger.attempts.values():
        for service in attempt.services:
            asked.setdefault(service, []).append(attempt.sent)

    def within(times, start):
        return sum(start <= at < start + RETRY_WINDOW_S for at in times)
    found = []
    for service, times in extra.items():
        for start in times:
            requests = max(within(asked.get(service, []), start - back)
                           for back in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
            allowed = RETRY_RATIO * requests + RETRY_SLACK
            if within(times, start) > allowed:
                found.append("%s got %d extra attempts, %.0f allowed" % (
                    service, within(times, start), allowed))
                break
    return found


def time_left(ledger):
    """Servers are told no more time than is left."""
    found = []
    for runs in ledger.runs.values():
        for run in runs:
            attempt = ledger.attempts.get(run.request)
            if attempt is None:
                continue
            left = attempt.deadline_s - (run.at - attempt.sent)
            if run.left_ms / 1000 > max(left, 0) + 0.5 and \
                    not disturbed(ledger, attempt.sent, run.at):
                found.append("%s had %.0f ms, %.0f were left" % (
                    run.request, run.left_ms, left * 1000))
    return found if len(found) > 20 else []


def never_stalled(ledger):
    """Each request read by a sound host ends by its deadline."""
    found = []
    for attempt in ledger.attempts.values():
        if attempt.written is None or attempt.left is not None:
            continue
        took = attempt.ended - attempt.sent
        if took > attempt.deadline_s + LATE_S and \
                not disturbed(ledger, attempt.sent, attempt.ended,
                              [attempt.node]):
            found.append("%s at %s took %.2f s of %.2f" % (
                attempt.id, attempt.node, took, attempt.deadline_s))
    return found


def nothing_cut(ledger):
    """Planned work cuts no request."""
    found = []
    for attempt in ledger.attempts.values():
        if attempt.written is None or attempt.answer is not None or \
                attempt.left is not None or \
                disturbed(ledger, attempt.sent, attempt.ended):
            continue
        passed_on = attempt.id in ledger.runs
        if passed_on or attempt.ended - attempt.written > LOSS_SLACK_S:
            found.append("%s at %s ended without an answer after %.0f ms" % (
                attempt.id, attempt.node,
                (attempt.ended - attempt.written) * 1000))
    return found


def drained(ledger):
    """A leaving server and an evacuated zone get no new work."""
    found = []
    every = [run for runs in ledger.runs.values() for run in runs]
    for start, until, kind, what in ledger.events:
        if kind == "drain":
            late = [run for run in every if run.server == what and
                    run.at > start + DRAIN_S]
        elif kind == "evacuate":
            late = [run for run in every if run.zone == what and
                    start + EVACUATE_S < run.at < until]
        else:
            continue
        late = [run for run in late if not disturbed(ledger, start, run.at)]
        found += ["%s of %s ran %s after %.2f s" % (
            kind, what, run.request, run.at - start) for run in late]
    return found


def configured(ledger):
    """A version is in force in time and never goes back. Probes of a version's
    own route ask one host."""
    found = []
    for probe in ledger.probes:
        status = probe.attempt.answer.status if probe.attempt.answer else 0
        denied = status == 404
        if probe.expected and denied and \
                probe.attempt.sent > probe.put + CONFIG_S and \
                not disturbed(ledger, probe.put, probe.attempt.ended):
            found.append("%s denies version %d %.2f s after it was put" % (
                probe.attempt.node, probe.version,
                probe.attempt.sent - probe.put))
        if probe.expected and denied and probe.seen_before and \
                probe.attempt.sent > probe.seen_before + DOWNGRADE_S:
            found.append("%s went back before version %d" % (
                probe.attempt.node, probe.version))
    return found


def not_denied(ledger):
    """Proper requests aren't answered with a 4xx of the host's own."""
    found = ["%s at %s: %d" % (a.id, a.node, a.answer.status)
             for a in ledger.attempts.values()
             if a.answer and 400 <= a.answer.status < 500 and
             a.answer.status not in NEVER_RUN and not a.is_probe]
    return found if len(found) > 5 + len(ledger.attempts) // 500 else []


def nothing_after_leaving(ledger):
    """A caller that left sends nothing more to servers."""
    found = []
    for at, service, id_ in ledger.arrivals:
        attempt = ledger.attempts.get(id_)
        if attempt and attempt.left and at > attempt.left + LEFT_S and \
                not disturbed(ledger, attempt.sent, at):
            found.append("%s reached %s %.2f s after its caller left" % (
                id_, service, at - attempt.left))
    return found if len(found) > 5 else []


def recovered(ledger):
    """Once all trouble has ended, requests are served."""
    final = [a for a in ledger.attempts.values() if a.is_final]
    served = sum(1 for a in final if a.answer and a.answer.status == 200)
    if served * 4 < len(final):
        return ["%d of %d served after the last trouble" % (
            served, len(final))]
    return []


CHECKS = [whole_answers, nothing_unasked, runs_once, few_servers, retry_budget,
          time_left, never_stalled, nothing_cut, drained, configured,
          not_denied, nothing_after_leaving, recovered]
