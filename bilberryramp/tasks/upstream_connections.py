"""Connections to upstreams that carry one exchange at a time.

A kept connection must not deliver bytes of an earlier exchange as the answer
of a later one. `guard` therefore reuses a connection only if its last answer
was confirmed as belonging to its request, and if nothing has arrived on it
since. Idle connections are not read, so that bytes without end stay in the
socket's buffer until the connection is closed.
"""

import dataclasses
import select
import weakref

import aiohttp

__all__ = ["Connections", "confirm", "guard", "is_first_request"]

# Number of requests after which a connection is replaced, which bounds the
# ids that are remembered for it.
MAX_REQUESTS_PER_CONNECTION = 256


@dataclasses.dataclass(slots=True, weakref_slot=True)
class _Usage:
    """How a connection has been used.

    Attributes
    ----------
    request_ids
        Ids of the requests that were sent on it.
    is_confirmed
        Whether the answer to the last request was confirmed.
    """

    request_ids: set[str] = dataclasses.field(default_factory=set)
    is_confirmed: bool = False


@dataclasses.dataclass(slots=True)
class Connections:
    """State of the connections of one client session.

    Attributes
    ----------
    id_header
        Header that names a request; empty if requests have no ids, so that
        answers cannot be confirmed.
    by_protocol
        Usage of each open connection, by its protocol.
    by_request
        Usage of the connection of each request, by the request's id.
    discarded
        Number of connections that were closed instead of being reused.
    """

    id_header: str
    by_protocol: weakref.WeakKeyDictionary = dataclasses.field(
        default_factory=weakref.WeakKeyDictionary
    )
    by_request: weakref.WeakValueDictionary = dataclasses.field(
        default_factory=weakref.WeakValueDictionary
    )
    discarded: int = 0


def guard(connector: aiohttp.BaseConnector, id_header: str) -> Connections:
    """Make a connector reuse only connections that are safe to reuse.

    Parameters
    ----------
    connector
        Connector of a client session. Its method ``connect`` is replaced.
    id_header
        As in `Connections`. With an empty name, a connection is reused
        whenever nothing has arrived on it since its last answer.

    Returns
    -------
    Connections
        State for `confirm`.
    """
    conns = Connections(id_header)
    take = connector.connect

    async def connect(req, traces, timeout):
        while True:
            conn = await take(req, traces, timeout)
            request_id = req.headers.get(id_header, "") if id_header else ""
            if _try_claim(conns, conn, request_id):
                return conn
            conns.discarded += 1
            conn.close()

    connector.connect = connect
    return conns


def confirm(conns: Connections, request_id: str) -> None:
    """Record that the answer to a request named that request.

    Only then may the connection carry another request.

    Parameters
    ----------
    conns
        State from `guard`. Modified in place.
    request_id
        Id of the request, as sent in the header.
    """
    usage = conns.by_request.get(request_id)
    if usage is not None:
        usage.is_confirmed = True


def is_first_request(conns: Connections, request_id: str) -> bool:
    """Return whether a request is the first one on its connection.

    Parameters
    ----------
    conns
        State from `guard`.
    request_id
        Id of the request, as sent in the header.

    Returns
    -------
    bool
        If True, no answer on the connection can belong to another request.
    """
    usage = conns.by_request.get(request_id)
    return usage is not None and len(usage.request_ids) == 1


def _try_claim(conns: Connections, conn, request_id: str) -> bool:
    """Claim a connection for a request; return False if it is unsafe."""
    protocol = conn.protocol
    usage = conns.by_protocol.get(protocol)
    if usage is None:
        usage = conns.by_protocol[protocol] = _Usage()
    elif not _is_reusable(conns, usage, request_id) or not _is_silent(conn):
        return False
    else:
        protocol.resume_reading()
    if conns.id_header:
        usage.is_confirmed = False
        usage.request_ids.add(request_id)
        conns.by_request[request_id] = usage
    # Called when the exchange has ended, before the connection is idle.
    conn.add_callback(protocol.pause_reading)
    return True


def _is_reusable(conns: Connections, usage: _Usage, request_id: str) -> bool:
    if not conns.id_header:
        return True
    return (
        usage.is_confirmed
        # An answer to an earlier request with the same id would look like the
        # answer to this one.
        and request_id not in usage.request_ids
        and len(usage.request_ids) < MAX_REQUESTS_PER_CONNECTION
    )


def _is_silent(conn) -> bool:
    """Return whether a connection is open and no byte has arrived on it."""
    transport = conn.transport
    if (
        transport is None
        or transport.is_closing()
        or conn.protocol.should_close
    ):
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poller.poll(0)
