#!/usr/bin/env python3
"""Writes the rules files and host lists of the two example deployments."""
import json
import os

ROOT = os.path.join(os.path.dirname(__file__), "..", "examples")


# Writes one deployment. `net` is the second octet of the servers' loopback
# addresses; the hosts use the one below. There are two hosts a data centre.
def write_example(folder, net, data_centres, applications, classes, extra):
    who = extra["who"]
    lines = ["# Rules of %s. One rule a line; each names who asked for it." %
             extra["firm"]]
    for name in data_centres:
        lines.append("data-centre %s in # asked by %s : part of the site" %
                     (name, who["ops"]))
    lines.append("rights lease %s # asked by %s : a failed host's slots move "
                 "soon after" % (extra["lease"], who["ops"]))
    host = 0
    for app, services, replicas, slots, connections, cost, owner in applications:
        width = 2
        for number in range(1, services + 1):
            servers = []
            for _ in range(replicas):
                host += 1
                servers.append("127.%d.%d.%d:8100" %
                               (net, host // 250, host % 250 + 1))
            name = "%02d" % number if services > 1 else "all"
            lines.append(
                "service %s/%s servers %s slots %d connections %d "
                "connect-cost %dms cold-slots 1 # asked by %s : contract with "
                "the search team" %
                (app, name, ",".join(servers), slots, connections, cost, owner))
        span = "01..%02d" % services if services > 1 else "all"
        lines.append("snapshot %s 7 services %s # asked by %s : index of this "
                     "week" % (app, span, owner))
    for line, owner, reason in classes:
        lines.append("%s # asked by %s : %s" % (line, owner, reason))
    os.makedirs(os.path.join(ROOT, folder), exist_ok=True)
    with open(os.path.join(ROOT, folder, "rules.txt"), "w") as out:
        out.write("\n".join(lines) + "\n")
    hosts = []
    for i in range(8):
        centre = data_centres[i // 2]
        hosts.append({"name": "%s-%d" % (centre, i % 2 + 1),
                      "data_centre": centre,
                      "address": "127.%d.0.%d" % (net - 1, i + 1),
                      "http_port": 8000, "peer_port": 8001, "state": "live"})
    with open(os.path.join(ROOT, folder, "hosts.json"), "w") as out:
        out.write("[\n" + ",\n".join(json.dumps(h) for h in hosts) + "\n]\n")


write_example(
    "01-pabsong", 21,
    ["bkk-bangna", "bkk-lat", "bkk-nonth", "bkk-rangsit"],
    [("fold-desk", 20, 2, 3, 30, 6, "Mali S."),
     ("proof-desk", 30, 2, 3, 30, 6, "Anan P."),
     ("ticket-vault", 1, 12, 4, 100, 1, "Nok T."),
     ("dispatch-board", 1, 6, 4, 100, 1, "Nok T.")],
    [("class fold-desk application fold-desk deadline 900ms priority 7 wait "
      "coverage idempotent yes fan-out all", "Mali S.",
      "a plan without all sheets is folded wrong"),
     ("class press-check application fold-desk deadline 250ms priority 9 "
      "wait latency idempotent yes fan-out all", "Prasert K.",
      "a late check idles a press"),
     ("class proof-desk application proof-desk deadline 700ms priority 5 "
      "wait coverage idempotent yes fan-out all", "Anan P.",
      "proofs are read before folding starts"),
     ("class archive-pull application ticket-vault deadline 3s priority 1 "
      "wait coverage idempotent yes fan-out one", "Nok T.",
      "old tickets can wait"),
     ("class dispatch application dispatch-board deadline 800ms priority 6 "
      "wait coverage idempotent no fan-out one", "Nok T.",
      "a doubled dispatch is a doubled shipment"),
     ("hedge fold-desk after p95 budget 5%", "Mali S.",
      "slow sheets delay the whole plan"),
     ("hedge press-check after p90 budget 10%", "Prasert K.",
      "the line must not wait for one server"),
     ("hedge proof-desk after p95 budget 5%", "Anan P.",
      "same as fold-desk"),
     ("retry fold-desk budget 20%", "Mali S.", "missing sheets mean refolds"),
     ("retry press-check budget 10%", "Prasert K.", "keep the extra load low"),
     ("share archive-pull at-most 50%", "Nok T.",
      "archive work gives way to the line")],
    {"firm": "Pabsong Cartographic Folding Co.", "lease": "3s",
     "who": {"ops": "Somchai W."}})

write_example(
    "02-jubin", 31,
    ["johor", "kl-a", "kl-b", "penang"],
    [("matchdesk", 20, 2, 2, 25, 6, "Farah A."),
     ("clubfeed", 30, 2, 2, 25, 6, "Wei Ling T."),
     ("orderbook", 1, 10, 4, 45, 1, "Ravi N."),
     ("grainlab", 1, 4, 4, 45, 1, "Ravi N.")],
    [("class matchdesk application matchdesk deadline 600ms priority 7 wait "
      "coverage idempotent yes fan-out all", "Farah A.",
      "a partial match is an incomplete set"),
     ("class kiosk application matchdesk deadline 300ms priority 9 wait "
      "latency idempotent yes fan-out all", "Farah A.",
      "a director stands at the kiosk"),
     ("class clubfeed application clubfeed deadline 700ms priority 4 wait "
      "coverage idempotent yes fan-out all", "Wei Ling T.",
      "club pages show every listing"),
     ("class order application orderbook deadline 800ms priority 8 wait "
      "coverage idempotent no fan-out one", "Ravi N.",
      "a doubled order charges twice"),
     ("class order-lookup application orderbook deadline 500ms priority 6 "
      "wait coverage idempotent yes fan-out one", "Ravi N.",
      "parents ask whether a tile shipped"),
     ("class grain application grainlab deadline 2s priority 1 wait coverage "
      "idempotent yes fan-out one", "Ravi N.", "grain reports can wait"),
     ("hedge matchdesk after p95 budget 5%", "Farah A.",
      "one slow shard delays the match"),
     ("hedge kiosk after p90 budget 10%", "Farah A.",
      "the kiosk must not wait for one server"),
     ("hedge clubfeed after p95 budget 5%", "Wei Ling T.",
      "same as matchdesk"),
     ("retry matchdesk budget 20%", "Farah A.", "sets must be complete"),
     ("share grain at-most 50%", "Ravi N.", "reports give way to orders")],
    {"firm": "Jubin Tile Works Sdn Bhd", "lease": "3s",
     "who": {"ops": "Aziz M."}})
