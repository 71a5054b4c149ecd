"""Request objects of HTTP servers that run without an application."""

import asyncio
from collections.abc import Callable

from aiohttp import web

__all__ = ["make_factory"]


def make_factory(max_body_bytes: Callable[[], int]) -> Callable:
    """Return a request factory for a `web.Server`.

    Parameters
    ----------
    max_body_bytes
        Function that returns the maximum size of a body in bytes; called
        for each request.

    Returns
    -------
    callable
        Function that takes the arguments of `web.Server` and returns a
        `web.BaseRequest`.
    """

    def make_request(message, payload, protocol, writer, task):
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=max_body_bytes(),
        )

    return make_request
