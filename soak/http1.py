"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them.
Independent of the product's own parser, so that a fault in it is found."""


class ConnectionClosed(Exception):
    """The peer or the stand-in ended the connection, between or within
    messages."""


class Message:
    def __init__(self, start_line, headers, body=b""):
        self.start_line = start_line   # request or status line, split in three
        self.headers = headers         # (name in lower case, value)
        self.body = body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def get_all(self, name):
        return [value for key, value in self.headers if key == name]

    @property
    def status(self):
        return int(self.start_line[1])


async def read_message(reader):
    """Reads one request or response, with Content-Length or chunked."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = []
        for line in lines[1:-2]:
            name, value = line.split(":", 1)
            headers.append((name.lower(), value.strip()))
        message = Message(lines[0].split(" ", 2), headers)
        if message.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                message.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return message
        length = int(message.get("content-length", "0"))
        message.body = await reader.readexactly(length)
        return message
    except (OSError, EOFError, ValueError, ConnectionError) as error:
        raise ConnectionClosed(str(error)) from error


def response(status, headers, body=b""):
    head = "HTTP/1.1 %d X\r\n" % status
    head += "".join("%s: %s\r\n" % pair for pair in headers)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


def request(method, target, headers, body=b""):
    head = "%s %s HTTP/1.1\r\n" % (method, target)
    head += "".join("%s: %s\r\n" % pair for pair in headers)
    if body:
        head += "Content-Length: %d\r\n" % len(body)
    return (head + "\r\n").encode("latin-1") + body
