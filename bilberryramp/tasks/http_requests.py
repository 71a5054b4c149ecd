"""Requests of the HTTP servers that run without an application."""

import asyncio
from collections.abc import Callable

from aiohttp import web

__all__ = ["make_factory"]


def make_factory(max_body_bytes: Callable[[], int]) -> Callable:
    """Make the request factory of a `web.Server`.

    Parameters
    ----------
    max_body_bytes
        Tells the largest body that is read, at each request.

    Returns
    -------
    callable
        Takes what `web.Server` hands to it.
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
