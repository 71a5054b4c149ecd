"""Stand-ins of engines and consumers that speak raw HTTP/1.1.

An engine makes the events of all its streams in common steps, as an engine
that batches its requests does. It follows the users' pages: it checks
`X-Bilberryramp-Expected-Instance`, echoes the request's id, signs its answers
and ends its work when the channel closes.
"""

import asyncio
import contextlib
import json
import time

PREFIX = "X-Bilberryramp-"
MODELS = [{"name": "m0", "version": 1, "adapters": []}]
HEARTBEAT_S = 1.2


class Engine:
    """A model engine, or a plain service without `models`."""

    def __init__(self, record, name, service, models=(), slots=64):
        self.record, self.name, self.service = record, name, service
        self.models, self.slots = list(models), slots
        self.address = ""
        self.born_ms = time.time_ns() // 10**6
        self.seq = self.orders = self.running = 0
        # Seconds of a step, and of a plain request.
        self.step_s, self.work_s = 0.022, 0.05
        self.event_count = 13
        self.state = "ready"
        self.is_leaving = False
        self.ran = []
        self.on_run = lambda request_id: None
        self.server = None
        self.step = asyncio.Event()
        self.tasks = []
        self.writers = set()

    async def start(self, host, port=8145):
        """Listen, and make steps."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"
        self.tasks.append(asyncio.create_task(self._make_steps()))

    async def stop(self):
        """Stop to listen."""
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.2)

    def beat_to(self, addresses):
        """Send check-ins to one machine at a time, as the pages say."""
        self.tasks.append(asyncio.create_task(self._beat(addresses)))

    def check_in(self, **changes):
        """Return the body of the next check-in."""
        self.seq += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "za",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "born": self.born_ms,
            "models": self.models,
            "seq": self.seq,
        }
        return json.dumps(fields | changes).encode()

    async def _make_steps(self):
        while True:
            await asyncio.sleep(self.step_s)
            step, self.step = self.step, asyncio.Event()
            step.set()

    async def _beat(self, addresses):
        turn = 0
        while True:
            path = f"/instances/{self.name}/heartbeat"
            body = self.check_in()
            for _ in addresses:
                address = addresses[turn % len(addresses)]
                status, _, _ = await exchange(address, "POST", path, {}, body)
                if status == 200:
                    break
                turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                (method, path, _), headers = head
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                if path == "/report":
                    await self._answer(writer, 200, {}, self._report())
                elif path == "/order":
                    self.orders += 1
                    await self._answer(writer, 200, {}, b"{}")
                elif not await self._run(reader, writer, headers, body):
                    break
        self.writers.discard(writer)
        writer.close()

    def _report(self):
        fields = {"stage": "both", "models": self.models, "busy": False}
        return json.dumps(fields | {"seq": self.orders}).encode()

    async def _run(self, reader, writer, headers, body):
        """Run a request; return whether the channel is kept."""
        request_id = headers.get("x-bilberryramp-request-id", "")
        answer = {
            PREFIX + "Request-Id": request_id,
            PREFIX + "Server-Signature": f"sig-{self.name}",
        }
        if self.is_leaving:
            answer["Server-Leaving"] = "1"
        expected = headers.get("x-bilberryramp-expected-instance", self.name)
        if expected != self.name:
            await self._answer(writer, 421, answer, b"")
            return True
        if self.running >= self.slots:
            answer[PREFIX + "Not-Executed"] = "1"
            await self._answer(writer, 503, answer, b"")
            return True
        self.ran.append(request_id)
        self.on_run(request_id)
        self.running += 1
        try:
            if not self.models:
                await asyncio.sleep(self.work_s)
                await self._answer(writer, 200, answer, b"did " + body)
                return True
            return await self._stream(reader, writer, answer)
        finally:
            self.running -= 1

    async def _stream(self, reader, writer, answer):
        rows = "".join(f"{name}: {text}\r\n" for name, text in answer.items())
        writer.write(
            f"HTTP/1.1 200 OK\r\n{rows}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, self.event_count + 1):
            await self.step.wait()
            if reader.at_eof() or writer.is_closing():
                return False
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 50)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _answer(self, writer, status, headers, body):
        rows = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
        writer.write(
            f"HTTP/1.1 {status} X\r\n{rows}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()


async def read_head(reader):
    """Read a start line and headers; None if the channel has ended."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


def encode_request(method, path, headers, body):
    """Return the bytes of a request."""
    rows = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    if "Host" not in headers:
        rows = f"Host: node\r\n{rows}"
    return f"{method} {path} HTTP/1.1\r\n{rows}{length}\r\n".encode() + body


async def exchange(address, method, path, headers, body=b"", timeout_s=1.0):
    """Send a request on a new channel; return status, headers and body.

    The status is 0 if the channel ends without a complete answer or the time
    is over.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, path, headers, body))
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            start, answer = head
            return int(start[1]), answer, await read_body(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_body(reader, headers):
    """Read the body that a head describes, and nothing more."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


def consumer_headers(request_id, deadline_ms, model=""):
    """Return the headers of a consumer's request."""
    headers = {
        "Host": "h.example",
        PREFIX + "Request-Id": request_id,
        PREFIX + "Deadline-Ms": str(deadline_ms),
    }
    if model:
        headers |= {
            PREFIX + "Model": model,
            PREFIX + "Token-Count": "9190,52",
            PREFIX + "Prompt-Prefix": f"5c1e07a2:2520,{request_id}:6670",
        }
    return headers
