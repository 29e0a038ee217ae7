"""MessagePack and HTTP/1.1 for the stand-ins, on the standard library alone."""

import asyncio
import json
import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif -32 <= v < 0:
            out.append(v & 0xFF)
        elif v >= 0:
            out.append(0xCF)
            out += struct.pack(">Q", v)
        else:
            out.append(0xD3)
            out += struct.pack(">q", v)
    elif isinstance(v, float):
        out.append(0xCB)
        out += struct.pack(">d", v)
    elif isinstance(v, str):
        b = v.encode()
        if len(b) < 32:
            out.append(0xA0 | len(b))
        else:
            out.append(0xDB)
            out += struct.pack(">I", len(b))
        out += b
    elif isinstance(v, (list, tuple)):
        if len(v) < 16:
            out.append(0x90 | len(v))
        else:
            out.append(0xDD)
            out += struct.pack(">I", len(v))
        for item in v:
            _pack(item, out)
    elif isinstance(v, dict):
        if len(v) < 16:
            out.append(0x80 | len(v))
        else:
            out.append(0xDF)
            out += struct.pack(">I", len(v))
        for key, item in v.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(v))


def unpack(data):
    value, end = _unpack(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


_NUMBERS = {
    0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
    0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q",
}
_LENGTHS = {
    0xD9: (">B", "s"), 0xDA: (">H", "s"), 0xDB: (">I", "s"),
    0xDC: (">H", "l"), 0xDD: (">I", "l"), 0xDE: (">H", "m"), 0xDF: (">I", "m"),
}


def _unpack(d, i):
    t = d[i]
    i += 1
    if t < 0x80:
        return t, i
    if t >= 0xE0:
        return t - 256, i
    if t < 0x90:
        return _map(d, i, t & 15)
    if t < 0xA0:
        return _list(d, i, t & 15)
    if t < 0xC0:
        return d[i : i + (t & 31)].decode(), i + (t & 31)
    if t == 0xC0:
        return None, i
    if t in (0xC2, 0xC3):
        return t == 0xC3, i
    if t in _NUMBERS:
        size = struct.calcsize(_NUMBERS[t])
        return struct.unpack(_NUMBERS[t], d[i : i + size])[0], i + size
    if t in _LENGTHS:
        form, kind = _LENGTHS[t]
        size = struct.calcsize(form)
        n = struct.unpack(form, d[i : i + size])[0]
        i += size
        if kind == "s":
            return d[i : i + n].decode(), i + n
        return _list(d, i, n) if kind == "l" else _map(d, i, n)
    raise ValueError(f"type {t:#x}")


def _list(d, i, n):
    out = []
    for _ in range(n):
        v, i = _unpack(d, i)
        out.append(v)
    return out, i


def _map(d, i, n):
    out = {}
    for _ in range(n):
        k, i = _unpack(d, i)
        out[k], i = _unpack(d, i)
    return out, i


def json_size(value):
    """Size limits count the JSON form (protocol page)."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


async def _head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            fields[k.strip().lower()] = v.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


class Silent(Exception):
    """Raised by a handler that gives no answer: the connection stays open, unanswered."""


async def serve(host, port, handler):
    """Serves `handler(method, path, body) -> (status, value)`; `None` for an empty body."""

    async def connection(reader, writer):
        try:
            while True:
                line, fields, body = await _head(reader)
                method, path, _ = line.split(" ", 2)
                try:
                    status, value = await handler(method, path, body)
                except Silent:
                    await asyncio.sleep(3600)
                data = b"" if value is None else pack(value)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 22)


class Caller:
    """One keep-alive connection to an address. Not for concurrent calls."""

    def __init__(self, host, port):
        self.address = (host, port)
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None

    async def call(self, method, path, value=None, timeout=2.0, raw=None, again=True):
        """Returns (status, decoded body, header fields); raises OSError or TimeoutError.
        `again`: send it once more on a new connection if an idle one was closed meanwhile."""
        try:
            return await asyncio.wait_for(self._call(method, path, value, raw, again), timeout)
        except BaseException as fault:
            self.close()
            if isinstance(fault, (asyncio.IncompleteReadError, ValueError)):
                raise ConnectionResetError(str(fault)) from None
            raise

    async def _call(self, method, path, value, raw, again):
        fresh = self.streams is None
        if fresh:
            self.streams = await asyncio.open_connection(*self.address, limit=1 << 22)
        reader, writer = self.streams
        data = raw if raw is not None else (b"" if value is None else pack(value))
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\nContent-Length: {len(data)}\r\n\r\n"
        try:
            writer.write(head.encode() + data)
            await writer.drain()
            line, fields, body = await _head(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            if fresh or not again:
                raise
            return await self._call(method, path, value, raw, False)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), (unpack(body) if body else None), fields
