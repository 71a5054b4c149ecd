"""Helpers for HTTP servers without an application, and for HTTP clients."""

import asyncio
import hashlib
from collections.abc import Callable

import aiohttp
from aiohttp import hdrs, web

from bilberryramp.tasks import client_requests

__all__ = [
    "AnswerTooLargeError",
    "accept_expectation",
    "make_factory",
    "read_fingerprinted",
    "read_kept",
    "read_limited",
]

# Length of a fingerprint; collisions cannot be found for a cryptographic hash
# of this length.
FINGERPRINT_BYTES = 16


class AnswerTooLargeError(aiohttp.ClientError):
    """Raised when the body of an answer exceeds its limit."""


async def accept_expectation(_request: web.Request) -> None:
    """Let the reading of a request's body answer its expectation.

    The header ``Expect`` is answered by `client_requests.read_body`. Other
    expectations than ``100-continue`` are ignored, as RFC 9110 permits. The
    library would refuse them beside the application's middlewares.
    """


async def read_fingerprinted(
    request: web.BaseRequest,
) -> tuple[bytes, str]:
    """Read the body of a request, and identify its content.

    Parameters
    ----------
    request
        Request whose body has not been read.

    Returns
    -------
    (bytes, str)
        Body, and fingerprint in hexadecimal: the BLAKE2b hash of caller,
        host, method, path with query, and body. The caller is the one that
        the ``Authorization`` header names; without that header, requests of
        all callers with the same content have the same fingerprint.

    Raises
    ------
    aiohttp.web.HTTPRequestEntityTooLarge
        When the body exceeds the limit of the request's server.
    client_requests.ReadingEndedError
        When there is no memory for more of it.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        request.headers.get(hdrs.AUTHORIZATION, ""),
        request.headers.get(hdrs.HOST, ""),
        request.method,
        request.raw_path,
    ):
        # Headers may contain bytes that are not UTF-8 as lone surrogates.
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    body = await read_kept(request, digest.update)
    return body, digest.hexdigest()


async def read_kept(
    request: web.BaseRequest,
    note: Callable[[bytes], None] = lambda _chunk: None,
) -> bytes:
    """Read the body of a request, as far as there is memory for it.

    Parameters
    ----------
    request
        Request whose body has not been read, on a connection of a
        `client_connections.Listener`.
    note
        Called with each chunk of the body.

    Returns
    -------
    bytes
        Body.

    Raises
    ------
    aiohttp.web.HTTPRequestEntityTooLarge
        When the body exceeds the limit of the request's server.
    client_requests.ReadingEndedError
        When there is no memory for more of it.
    """
    max_body_bytes = request.client_max_size
    is_stated = request.content_length is not None
    body = bytearray()
    while chunk := await request.content.readany():
        if len(body) + len(chunk) > max_body_bytes:
            raise web.HTTPRequestEntityTooLarge(max_body_bytes)
        if not is_stated:
            await client_requests.keep(request, len(chunk))
        note(chunk)
        body += chunk
    return bytes(body)


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
