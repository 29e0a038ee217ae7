"""MessagePack and HTTP/1.1, as far as the protocol page needs them. Standard library only."""
import asyncio
import json
import struct


def pack(v):
    out = bytearray()
    _pack(v, out)
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
        elif v >= 0:
            out += b"\xcf" + struct.pack(">Q", v)
        else:
            out += b"\xd3" + struct.pack(">q", v)
    elif isinstance(v, float):
        out += b"\xcb" + struct.pack(">d", v)
    elif isinstance(v, str):
        b = v.encode()
        if len(b) < 32:
            out.append(0xA0 | len(b))
        else:
            out += b"\xdb" + struct.pack(">I", len(b))
        out += b
    elif isinstance(v, (list, tuple)):
        out += b"\xdd" + struct.pack(">I", len(v))
        for x in v:
            _pack(x, out)
    elif isinstance(v, dict):
        out += b"\xdf" + struct.pack(">I", len(v))
        for k, x in v.items():
            _pack(k, out)
            _pack(x, out)
    else:
        raise TypeError(type(v))


def unpack(b):
    v, at = _unpack(b, 0)
    if at != len(b):
        raise ValueError("trailing bytes")
    return v


def _unpack(b, i):
    c = b[i]
    i += 1
    if c < 0x80:
        return c, i
    if c >= 0xE0:
        return c - 256, i
    if 0x80 <= c <= 0x8F:
        return _map(b, i, c & 15)
    if 0x90 <= c <= 0x9F:
        return _list(b, i, c & 15)
    if 0xA0 <= c <= 0xBF:
        n = c & 31
        return b[i:i + n].decode(), i + n
    if c == 0xC0:
        return None, i
    if c == 0xC2:
        return False, i
    if c == 0xC3:
        return True, i
    fixed = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
             0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
    if c in fixed:
        n = struct.calcsize(fixed[c])
        return struct.unpack(fixed[c], b[i:i + n])[0], i + n
    sized = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}
    n = struct.calcsize(sized[c])
    size = struct.unpack(sized[c], b[i:i + n])[0]
    i += n
    if c in (0xD9, 0xDA, 0xDB):
        return b[i:i + size].decode(), i + size
    if c in (0xDC, 0xDD):
        return _list(b, i, size)
    return _map(b, i, size)


def _list(b, i, n):
    out = []
    for _ in range(n):
        v, i = _unpack(b, i)
        out.append(v)
    return out, i


def _map(b, i, n):
    out = {}
    for _ in range(n):
        k, i = _unpack(b, i)
        out[k], i = _unpack(b, i)
    return out, i


def json_size(v):
    """Size limits of the protocol page count the JSON form."""
    return len(json.dumps(v, separators=(",", ":")))


class NoAnswer(Exception):
    """The server sends no response; the connection stays open until the client gives up."""


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    return head[0], headers


async def serve(host, port, handler):
    """handler(method, path, body) -> (status, value or None)."""
    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                try:
                    status, value = await handler(method, path, unpack(body) if body else None)
                except NoAnswer:
                    await reader.read()
                    return
                data = b"" if value is None else pack(value)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(connection, host, port)


async def call(address, method, path, value=None, timeout=2.0, connect_timeout=0.5):
    """One request on a connection of its own. (status, value, headers); status 0: no answer."""
    host, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), connect_timeout)
        data = b"" if value is None else pack(value)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(data)}\r\n"
                     f"Connection: close\r\n\r\n".encode() + data)

        async def answer():
            await writer.drain()
            first, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            return int(first.split(" ")[1]), (unpack(body) if body else None), headers
        return await asyncio.wait_for(answer(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None, {}
    finally:
        if writer is not None:
            writer.close()
