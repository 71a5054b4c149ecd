"""Stand-in of a model engine that decodes its running requests in one batch.

All running requests get their tokens in the same step, so the events of all
streams leave at the same moments, one every few steps.
"""

import asyncio
import contextlib

from bilberryramp.platform import standins

STEP_S = 0.00547
TOKENS_PER_EVENT = 4


async def start(
    engine: standins.Engine, host: str, port: int, events: int
) -> asyncio.Server:
    """Listen in place of the project's stand-in, which sends heartbeats."""

    async def serve(reader, writer) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            while await _serve_request(engine, reader, writer, events):
                pass
        writer.close()

    server = await asyncio.start_server(serve, host, port)
    engine.address = f"{host}:{port}"
    return server


async def _serve_request(engine, reader, writer, events: int) -> bool:
    """Serve one request; return whether the connection can go on."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    rows = [row.partition(": ") for row in head.split("\r\n")[1:]]
    fields = {name.lower(): value for name, _, value in rows}
    await reader.readexactly(int(fields.get("content-length", "0")))
    request_id = fields.get("x-bilberryramp-request-id", "")
    echo = (
        f"X-Bilberryramp-Request-Id: {request_id}\r\n"
        f"X-Bilberryramp-Server-Signature: sig-{engine.upstream_id}\r\n"
    )
    expected = fields.get("x-bilberryramp-expected-instance")
    if expected != engine.upstream_id:
        writer.write(
            f"HTTP/1.1 421 Misdirected Request\r\n{echo}"
            "Content-Length: 0\r\n\r\n".encode()
        )
        await writer.drain()
        return True
    writer.write(
        f"HTTP/1.1 200 OK\r\n{echo}Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    engine.executed_ids.append(request_id)
    loop = asyncio.get_running_loop()
    interval_s = STEP_S * TOKENS_PER_EVENT
    for number in range(events):
        next_s = (loop.time() // interval_s + 1) * interval_s
        await asyncio.sleep(next_s - loop.time())
        if reader.at_eof() or writer.is_closing():
            return False
        event = f"id: {number}\ndata: {request_id}\n\n"
        writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True
