"""A loopback TCP proxy that injects faults into its connections."""
import asyncio

PASS, DELAY, CUT, CUT_IN, CUT_OUT, RESET, HOLD = (
    "pass", "delay", "cut", "cut-in", "cut-out", "reset", "hold")
READ_BYTES = 65536


class Proxy:
    """Forwards connections from one address to another. `CUT` drops all bytes
    in both directions, `CUT_IN` those to the target, `CUT_OUT` those from it;
    these bytes are lost. `HOLD` keeps them until it ends, as TCP does when it
    sends them again. `RESET` resets new connections. Silenced connections stay
    open and carry nothing for good."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = PASS
        self.delay_s = 0.0
        self.links = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._accept, self.listen[0], self.listen[1])

    def mode_of(self, link):
        """The mode in which a connection is forwarded now."""
        return self.mode

    def delay_of(self, link):
        """The time for which each of its reads is held, in seconds."""
        return self.delay_s

    def refuse(self):
        """Refuses connections from now on, as the address of an ended process
        does, and resets the open ones."""
        self.server.close()
        self.reset()

    async def stop(self):
        self.refuse()

    def reset(self):
        """Resets every open connection."""
        for link in list(self.links):
            link.abort()

    def silence(self):
        """Silences the connections that are open now; new ones work."""
        for link in self.links:
            link.silent = True

    async def _accept(self, reader, writer):
        if self.mode == RESET:
            writer.transport.abort()
            return
        link = Link(self, reader, writer)
        self.links.add(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)


# One connection from a client, and the one to the target that it leads to.
class Link:
    def __init__(self, proxy, reader, writer):
        self.proxy = proxy
        self.reader = reader
        self.writer = writer
        self.target_writer = None
        self.silent = False
        self.source_ip = (writer.get_extra_info("peername") or [""])[0]

    def abort(self):
        for writer in (self.writer, self.target_writer):
            if writer is not None:
                writer.transport.abort()

    async def run(self):
        while self.proxy.mode_of(self) in (CUT, CUT_IN, CUT_OUT, HOLD):
            # A new connection is established only after the cut.
            await asyncio.sleep(0.02)
            if self.writer.transport.is_closing():
                return
        try:
            target_reader, self.target_writer = await asyncio.open_connection(
                *self.proxy.target)
        except OSError:
            self.writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(self.reader, self.target_writer, CUT_IN),
            self._forward(target_reader, self.writer, CUT_OUT))

    async def _forward(self, reader, writer, cut_mode):
        try:
            while True:
                data = await reader.read(READ_BYTES)
                while self.proxy.mode_of(self) == HOLD:
                    await asyncio.sleep(0.02)
                if self.silent or self.proxy.mode_of(self) in (CUT, cut_mode):
                    if not data:
                        return   # a cut hides the close as well
                    continue
                if self.proxy.delay_of(self) > 0:
                    await asyncio.sleep(self.proxy.delay_of(self))
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            self.abort()
