"""Connections of clients, which note when each request arrived."""

import collections
from collections.abc import Callable

from aiohttp import web

from bilberryramp.tasks import clock

__all__ = ["ARRIVED_MS", "make_server"]

# Time since boot at which the head of a request was read, in milliseconds.
ARRIVED_MS = web.RequestKey("arrived_ms", int)


class _Connection(web.RequestHandler):
    """Connection of a client.

    Attributes
    ----------
    arrivals_ms
        Times since boot at which the heads of the requests that wait for
        their turn were read, in milliseconds and oldest first.
    """

    __slots__ = ("arrivals_ms",)

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.arrivals_ms = collections.deque()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the client, and note the requests that begin."""
        known_count = self._request_count
        super().data_received(data)
        if begun_count := self._request_count - known_count:
            self.arrivals_ms.extend([clock.boot_ms()] * begun_count)


class _Server(web.Server):
    """Factory of `_Connection`."""

    def __call__(self) -> _Connection:
        """Return the protocol of a new connection."""
        return _Connection(self, loop=self._loop, **self._kwargs)


def make_server(
    serve: Callable, make_request: Callable, **options
) -> web.Server:
    """Return a protocol factory whose requests have `ARRIVED_MS`.

    Parameters
    ----------
    serve
        Coroutine function that takes a request and returns its response.
    make_request
        Request factory, as `web.Server` takes it.
    options
        Further arguments of `web.Server`.

    Returns
    -------
    web.Server
        Protocol factory for `loop.create_server`.
    """

    def make_timed(message, payload, protocol, writer, task):
        request = make_request(message, payload, protocol, writer, task)
        request[ARRIVED_MS] = protocol.arrivals_ms.popleft()
        return request

    return _Server(serve, request_factory=make_timed, **options)
