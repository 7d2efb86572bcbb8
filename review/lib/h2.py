"""Just enough HTTP/2 (RFC 9113, with prior knowledge) for gRPC stand-ins: whole calls of one message, told by their
bodies. Heads that come in are not decoded; a head that closes its stream is a call's final status."""
import asyncio

DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY = 0, 1, 3, 4, 6, 7
END_STREAM, END_HEADERS, ACK = 1, 4, 1
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
MAX_CONCURRENT_STREAMS = 3
INTERNAL_ERROR = 2


def frame(kind, flags, stream, payload=b""):
    return len(payload).to_bytes(3, "big") + bytes([kind, flags]) + stream.to_bytes(4, "big") + payload


def fields(pairs):
    """Literal fields without indexing and without Huffman code (RFC 7541, 6.2.2)."""
    out = b""
    for name, value in pairs:
        assert len(name) < 127 and len(value) < 127
        out += b"\x00" + bytes([len(name)]) + name.encode() + bytes([len(value)]) + value.encode()
    return out


def message(text):
    data = text.encode()
    return b"\0" + len(data).to_bytes(4, "big") + data


async def read_frame(reader):
    head = await reader.readexactly(9)
    payload = await reader.readexactly(int.from_bytes(head[:3], "big"))
    return head[3], head[4], int.from_bytes(head[5:9], "big") & 0x7FFFFFFF, payload


class Backend:
    """A gRPC server. `handle(backend, text)` is a coroutine that runs a call and returns its answer, or None to cut the
    stream before the answer begins."""

    def __init__(self, record, name, streams, handle):
        self.record, self.name, self.streams, self.handle = record, name, streams, handle
        self.server, self.address = None, None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        bodies, calls = {}, {}
        try:
            await reader.readexactly(len(PREFACE))
            setting = MAX_CONCURRENT_STREAMS.to_bytes(2, "big") + self.streams.to_bytes(4, "big")
            writer.write(frame(SETTINGS, 0, 0, setting))
            while True:
                kind, flags, stream, payload = await read_frame(reader)
                if kind == SETTINGS and not flags & ACK:
                    writer.write(frame(SETTINGS, ACK, 0))
                elif kind == PING and not flags & ACK:
                    writer.write(frame(PING, ACK, 0, payload))
                elif kind == HEADERS:
                    bodies[stream] = b""
                elif kind == DATA:
                    bodies[stream] = bodies.get(stream, b"") + payload
                elif kind == RST_STREAM and stream in calls:
                    calls.pop(stream).cancel()
                if kind in (HEADERS, DATA) and flags & END_STREAM:
                    text = bodies.pop(stream)[5:].decode()
                    calls[stream] = asyncio.ensure_future(self.run(writer, stream, text, calls))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            for call in calls.values():
                call.cancel()
            writer.transport.abort()

    async def run(self, writer, stream, text, calls):
        answer = await self.handle(self, text)
        calls.pop(stream, None)
        if writer.transport.is_closing():
            return
        if answer is None:
            writer.write(frame(RST_STREAM, 0, stream, INTERNAL_ERROR.to_bytes(4, "big")))
            return
        head = fields([(":status", "200"), ("content-type", "application/grpc")])
        last = fields([("grpc-status", "0")])
        writer.write(frame(HEADERS, END_HEADERS, stream, head) + frame(DATA, 0, stream, message(answer)) +
                     frame(HEADERS, END_HEADERS | END_STREAM, stream, last))


async def call(address, path, text, timeout_ms, wait):
    """One unary call on a connection of its own. Returns ("status", answer or None), ("reset", code) or ("cut", None)."""
    reader, writer = await asyncio.open_connection(*address)
    head = fields([(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "broker"),
                   ("te", "trailers"), ("content-type", "application/grpc"), ("grpc-timeout", "%dm" % timeout_ms)])
    writer.write(PREFACE + frame(SETTINGS, 0, 0) + frame(HEADERS, END_HEADERS, 1, head) +
                 frame(DATA, END_STREAM, 1, message(text)))
    body = b""

    async def answer():
        nonlocal body
        while True:
            kind, flags, stream, payload = await read_frame(reader)
            if kind == SETTINGS and not flags & ACK:
                writer.write(frame(SETTINGS, ACK, 0))
            elif kind == PING and not flags & ACK:
                writer.write(frame(PING, ACK, 0, payload))
            elif kind == DATA:
                body += payload
            elif kind == RST_STREAM:
                return "reset", int.from_bytes(payload, "big")
            if kind == HEADERS and flags & END_STREAM:
                return "status", body[5:].decode() if body else None

    try:
        return await asyncio.wait_for(answer(), wait)
    except asyncio.IncompleteReadError:
        return "cut", None
    except asyncio.TimeoutError:
        return "nothing", None
    finally:
        writer.transport.abort()
