"""A loopback proxy that harms the connections that pass through it."""
import asyncio

PASS, DELAY, CUT, CUT_IN, CUT_OUT, RESET = (
    "pass", "delay", "cut", "cut-in", "cut-out", "reset")


class Proxy:
    """Forwards from one address to another. `CUT` holds all bytes of both
    ways, `CUT_IN` those to the target, `CUT_OUT` those from it; held bytes are
    lost. Silenced connections stay open and carry nothing for good."""

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

    async def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        """Resets every open connection."""
        for link in list(self.links):
            link.abort()

    def silence(self):
        """Open connections carry nothing from now on; new ones work."""
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


class Link:
    def __init__(self, proxy, reader, writer):
        self.proxy = proxy
        self.reader = reader
        self.writer = writer
        self.far_writer = None
        self.silent = False

    def abort(self):
        for writer in (self.writer, self.far_writer):
            if writer is not None:
                writer.transport.abort()

    async def run(self):
        while self.proxy.mode in (CUT, CUT_IN, CUT_OUT):
            await asyncio.sleep(0.02)   # the handshake hangs behind a cut
            if self.writer.transport.is_closing():
                return
        try:
            far_reader, self.far_writer = await asyncio.open_connection(
                *self.proxy.target)
        except OSError:
            self.writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(self.reader, self.far_writer, CUT_IN),
            self._pump(far_reader, self.writer, CUT_OUT))

    async def _pump(self, reader, writer, cut):
        try:
            while True:
                data = await reader.read(65536)
                if self.silent or self.proxy.mode in (CUT, cut):
                    if not data:
                        return   # the end isn't heard on the other side either
                    continue
                if self.proxy.delay_s > 0:
                    await asyncio.sleep(self.proxy.delay_s)
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            self.abort()
