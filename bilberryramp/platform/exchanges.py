"""Headers of clients' requests and of those sent on to upstreams."""

import enum

from bilberryramp.decisions.fleet import calls, prefix_cache

__all__ = [
    "REQUEST_ID_HEADER",
    "RunState",
    "client_answer_headers",
    "upstream_request_headers",
    "has_upstream_signature",
    "decode_request",
    "decode_run_state",
]

_PREFIX = "x-bilberryramp-"
REQUEST_ID_HEADER = "X-Bilberryramp-Request-Id"
_MODEL_HEADER = _PREFIX + "model"
_TOKENS_HEADER = _PREFIX + "token-count"
_PROMPT_HEADER = _PREFIX + "prompt-prefix"
_DEADLINE_HEADER = "X-Bilberryramp-Deadline-Ms"
_EXPECTED_HEADER = "X-Bilberryramp-Expected-Instance"
_PRIORITY_HEADER = "X-Bilberryramp-Request-Priority"
_SIGNATURE_HEADER = "X-Bilberryramp-Server-Signature"
_NOT_EXECUTED_HEADER = "X-Bilberryramp-Not-Executed"

# Headers of one connection only, and those that the HTTP library writes.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only the system may set, whatever a client sends.
_RESERVED_HEADERS = frozenset(
    {
        _PREFIX + "hold",
        _PREFIX + "pin-ms",
        _PREFIX + "kv-backup",
        _PREFIX + "expected-instance",
        _PREFIX + "expected-version",
        _PREFIX + "request-priority",
        _PREFIX + "deadline-ms",
        "kv-from",
        "kv-fetch",
    }
)


class RunState(enum.Enum):
    """What an upstream's answer says of the run."""

    RAN = "ran"
    NOT_RUN = "not_run"
    TARGET_MISSING = "absent"


def decode_request(host: str, path: str, headers) -> calls.Request:
    """Decode a client's request.

    Parameters
    ----------
    host
        The `Host` header.
    path
        Path and query as sent.
    headers
        A case-insensitive mapping.

    Returns
    -------
    Request
        Sizes that cannot be read count as zero.
    """
    return calls.Request(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        host=host.partition(":")[0],
        path=path,
        client_timeout_ms=_int_or_default(headers.get(_DEADLINE_HEADER), -1),
        prompt=_decode_prompt(headers),
    )


def _decode_prompt(headers) -> calls.Prompt | None:
    name = headers.get(_MODEL_HEADER)
    if not name:
        return None
    model, _, adapter = name.partition("/")
    tokens_in, _, tokens_out = headers.get(_TOKENS_HEADER, "").partition(",")
    return calls.Prompt(
        model=model,
        adapter=adapter,
        tokens_in=_int_or_default(tokens_in, 0),
        tokens_out=_int_or_default(tokens_out, 0),
        parts=tuple(_decode_prompt_parts(headers.get(_PROMPT_HEADER, ""))),
    )


def _decode_prompt_parts(text: str):
    for item in text.split(","):
        part_id, colon, tokens = item.strip().partition(":")
        if colon:
            yield prefix_cache.PromptPart(part_id, _int_or_default(tokens, 0))


def _int_or_default(text: str | None, default: int) -> int:
    try:
        return int(float(text)) if text else default
    except ValueError:
        return default


def upstream_request_headers(raw_headers, sending: calls.SendCall) -> list:
    """Make the headers of a request to an upstream.

    Parameters
    ----------
    raw_headers
        Pairs of bytes as the client sent them.
    sending
        Where it goes and how long it may take.

    Returns
    -------
    list of (str, str)
        The client's own headers and ours.
    """
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw_headers
    ]
    headers = [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and name.lower() not in _RESERVED_HEADERS
    ]
    headers.append((_DEADLINE_HEADER, str(sending.allowed_ms)))
    headers.append((_EXPECTED_HEADER, sending.upstream_id))
    headers.append((_PRIORITY_HEADER, str(sending.urgency)))
    return headers


def client_answer_headers(raw_headers) -> list:
    """Make the headers of the answer to a client.

    Parameters
    ----------
    raw_headers
        Pairs of bytes as the upstream sent them.

    Returns
    -------
    list of (str, str)
        Without those of one connection only.
    """
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw_headers
        if name.lower().decode("latin-1") not in _HOP_BY_HOP_HEADERS
    ]


def decode_run_state(status: int, headers) -> RunState:
    """Tell from an upstream's answer whether it ran the request.

    Parameters
    ----------
    status, headers
        Of the answer.

    Returns
    -------
    RunState
        `RAN` unless the answer says otherwise.
    """
    # 421 always means another process, or a model that is not there.
    if status == 421:
        return RunState.TARGET_MISSING
    return (
        RunState.NOT_RUN if _NOT_EXECUTED_HEADER in headers else RunState.RAN
    )


def has_upstream_signature(headers) -> bool:
    """Tell whether an answer is an upstream's own.

    Parameters
    ----------
    headers
        Of the answer.

    Returns
    -------
    bool
        False for one made by something else at that address.
    """
    return _SIGNATURE_HEADER in headers
