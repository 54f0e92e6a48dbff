"""The network between hosts: each host is known to the others by an address of
its own, whose TCP connections and datagrams are forwarded to it."""
import asyncio

import proxy

PEER_PORTS = (7380, 7381, 7382)   # items, relays, forwarded requests
GOSSIP_PORT = PEER_PORTS[0]
INTRODUCTION_KIND = 5             # second byte of a roster datagram


class PeerProxy(proxy.Proxy):
    """Forwards the connections of peers to one port of a host."""

    def __init__(self, network, listen, target):
        super().__init__(listen, target)
        self.network = network

    def mode_of(self, link):
        pair = (link.source_ip, self.target[0])
        blocked = pair in self.network.blocked or \
            pair[::-1] in self.network.blocked
        return proxy.HOLD if blocked else proxy.PASS

    def delay_of(self, link):
        return self.network.delays.get(
            frozenset((link.source_ip, self.target[0])), 0.0)


class DatagramRelay(asyncio.DatagramProtocol):
    """Forwards the datagrams that peers send to a host, from the address by
    which it knows their sender."""

    def __init__(self, network, target_ip):
        self.network = network
        self.target_ip = target_ip
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        network, source_ip = self.network, address[0]
        relay = network.relays.get(source_ip)
        if relay is None or (source_ip, self.target_ip) in network.blocked:
            return
        if len(data) > 1 and data[1] == INTRODUCTION_KIND:
            # Hosts introduce each other by the addresses of the proxies.
            data = data.replace(network.prefix, network.proxy_prefix)
        relay.transport.sendto(data, (self.target_ip, GOSSIP_PORT))


class PeerNetwork:
    """The addresses are those of a fleet; both blocks have texts of the same
    length, so that datagrams keep theirs."""

    def __init__(self, prefix, proxy_prefix):
        self.prefix = prefix.encode()
        self.proxy_prefix = proxy_prefix.encode()
        self.blocked = set()   # (from, to): what one host sends to another
        self.delays = {}       # of a pair -> seconds for each read
        self.proxies = {}      # address of a host -> its proxies
        self.relays = {}       # address of a host -> its datagram relay

    async def add_host(self, ip, proxy_ip):
        self.proxies[ip] = [PeerProxy(self, (proxy_ip, port), (ip, port))
                            for port in PEER_PORTS]
        for peer_proxy in self.proxies[ip]:
            await peer_proxy.start()
        _, self.relays[ip] = await asyncio.get_running_loop() \
            .create_datagram_endpoint(lambda: DatagramRelay(self, ip),
                                      (proxy_ip, GOSSIP_PORT))

    def silence(self, ips):
        """Silences the open connections of these hosts to any other, in either
        direction; new ones work."""
        for target, proxies in self.proxies.items():
            for peer_proxy in proxies:
                for link in peer_proxy.links:
                    if link.source_ip in ips or target in ips:
                        link.silent = True
