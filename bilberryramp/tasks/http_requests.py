"""Helpers for HTTP servers without an application, and for HTTP clients."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

__all__ = ["AnswerTooLargeError", "make_factory", "read_limited"]


class AnswerTooLargeError(aiohttp.ClientError):
    """Raised when the body of an answer exceeds its limit."""


async def read_limited(
    resp: aiohttp.ClientResponse, max_body_bytes: int
) -> bytes:
    """Read the body of an answer.

    Parameters
    ----------
    resp
        Answer whose body has not been read. Its connection is closed if the
        body exceeds the limit.
    max_body_bytes
        Maximum size of the body in bytes.

    Returns
    -------
    bytes
        Complete body.

    Raises
    ------
    AnswerTooLargeError
        When the body exceeds the limit.
    """
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > max_body_bytes:
            resp.close()
            raise AnswerTooLargeError(
                f"the answer exceeds {max_body_bytes} bytes"
            )
    return bytes(body)


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
