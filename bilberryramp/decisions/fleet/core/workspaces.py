"""Which workspace a request belongs to, and whether it may be sent.

Documents of different versions may give a key to different workspaces or to
none. A call is judged by each document before it is sent; one that has been
sent keeps the workspace that its upstream was told.
"""

import hashlib

from bilberryramp.decisions.fleet.core import calls, documents, hosts

__all__ = [
    "admits",
    "is_current",
    "judge",
    "digest",
    "find",
    "name",
    "urgency",
]

# Length of digests in bytes; short enough that a digest fits many guesses.
DIGEST_BYTES = 4


def find(index: hosts.HostIndex, key: str) -> documents.Workspace | None:
    """Return the workspace that a key names, at a constant cost.

    Parameters
    ----------
    index
        Index of the document in force.
    key
        Key of a request; empty if it has none.

    Returns
    -------
    Workspace or None
        None if no workspace has the key.
    """
    return index.by_key.get(key)


def admits(
    index: hosts.HostIndex,
    route: documents.Route,
    workspace: documents.Workspace | None,
) -> bool:
    """Return whether a document lets a workspace use a route.

    Parameters
    ----------
    index
        Index of the document.
    route
        Route of the request.
    workspace
        Workspace that the request's key names; None if there is none.

    Returns
    -------
    bool
        True also without a workspace if the route is public or the document
        has no workspaces.
    """
    return workspace is not None or route.is_public or not index.needs_key


def judge(index: hosts.HostIndex, call: calls.Call) -> None:
    """Judge a call that has not been sent by the document in force.

    A call whose key has moved belongs to its new workspace. One that is no
    longer admitted keeps its former workspace, which the log names.

    Parameters
    ----------
    index
        Index of the document.
    call
        Call that waits. Modified in place.
    """
    if call.judged_version == index.version:
        return
    workspace, call.is_admitted = _verdict(index, call)
    call.judged_version = index.version
    if call.is_admitted:
        call.workspace = workspace


def _verdict(
    index: hosts.HostIndex, call: calls.Call
) -> tuple[documents.Workspace | None, bool]:
    """Return the workspace of a call, and whether the call is admitted."""
    req = call.request
    route = hosts.find_route(index, req.host, req.path) or call.route
    workspace = find(index, req.key)
    return workspace, admits(index, route, workspace)


def is_current(
    index: hosts.HostIndex, call: calls.Call, send_call: calls.SendCall
) -> bool:
    """Return whether a document agrees with a decision to send a call.

    Parameters
    ----------
    index
        Index of the document in force.
    call
        The active call.
    send_call
        Decision that has not been carried out.

    Returns
    -------
    bool
        False if the document has taken the key away or moved it since the
        decision.
    """
    if call.judged_version == index.version:
        return True
    workspace, is_admitted = _verdict(index, call)
    named = workspace.name if workspace is not None else ""
    return is_admitted and named == send_call.workspace


def name(call: calls.Call) -> str:
    """Return the name of a call's workspace; empty if it has none."""
    return call.workspace.name if call.workspace is not None else ""


def urgency(call: calls.Call) -> int:
    """Return the rank of a call; 0 is the most urgent.

    Parameters
    ----------
    call
        Call with its route and workspace.

    Returns
    -------
    int
        Rank of the workspace if it has one, else that of the route.
    """
    workspace = call.workspace
    if workspace is None or workspace.urgency is None:
        return call.route.urgency
    return workspace.urgency


def digest(key: str) -> str:
    """Return a short digest by which logs name a key.

    Parameters
    ----------
    key
        The key, a secret.

    Returns
    -------
    str
        Hexadecimal BLAKE2b digest; empty for an empty key.
    """
    if not key:
        return ""
    # Headers may contain bytes that are not UTF-8 as lone surrogates.
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
