"""Backend servers of shards, many in a process, for a case with large request
bodies. Arguments: IP=ID=GREY for each server; GREY is 1 when it fails part of
its requests while its health is good. Each line on standard input is the share
of their requests that those servers leave unanswered from then on."""
import asyncio
import random
import sys

SERVER_PORT = 8080
CHUNK = 1 << 18
RECORDS = b"".join(b"%016d" % i for i in range(12))   # parts of 200 B
WORK_S = 0.02
hang_share = 0.0


async def serve(id_, grey, reader, writer):
    count = 0
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = {}
            for line in head.decode("latin-1").split("\r\n")[1:-2]:
                name, value = line.split(":", 1)
                fields[name.lower()] = value.strip()
            left = int(fields.get("content-length", 0))
            while left > 0:
                data = await reader.read(min(left, CHUNK))
                if not data:
                    return
                left -= len(data)
            if fields.get("target-instance") != id_:
                writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                continue
            await asyncio.sleep(WORK_S * random.lognormvariate(0, 0.35))
            if grey and random.random() < hang_share:
                await reader.read(1)   # until the caller closes
                return
            count += 1
            request = fields.get("request-id", "")
            writer.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s.%d"
                b"\r\nContent-Length: %d\r\n\r\n" % (
                    request.encode(), id_.encode(), request.encode(), count,
                    len(RECORDS)) + RECORDS)
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError, ValueError):
        pass
    finally:
        writer.transport.abort()


async def main():
    global hang_share
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop_, context: None)
    for word in sys.argv[1:]:
        ip, id_, grey = word.split("=")
        await asyncio.start_server(
            lambda r, w, i=id_, g=grey == "1": serve(i, g, r, w), ip,
            SERVER_PORT, limit=CHUNK)
    print("ready", flush=True)
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while True:
        line = await commands.readline()
        if not line:
            return
        hang_share = float(line)


asyncio.run(main())
