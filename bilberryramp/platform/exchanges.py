"""Codecs for the HTTP headers of requests and of their answers."""

import enum

from bilberryramp.decisions.fleet.core import calls, prefix_cache
from bilberryramp.wire import retry_after

__all__ = [
    "REQUEST_ID_HEADER",
    "RunState",
    "client_answer_headers",
    "client_timeout_ms",
    "deadline_header",
    "denies_run",
    "upstream_request_headers",
    "has_upstream_signature",
    "is_leaving",
    "pause_ms",
    "decode_request",
    "decode_run_state",
]

_HEADER_PREFIX = "x-bilberryramp-"
REQUEST_ID_HEADER = "X-Bilberryramp-Request-Id"
_MODEL_HEADER = _HEADER_PREFIX + "model"
_TOKENS_HEADER = _HEADER_PREFIX + "token-count"
_PROMPT_PREFIX_HEADER = _HEADER_PREFIX + "prompt-prefix"
_DEADLINE_HEADER = "X-Bilberryramp-Deadline-Ms"
_EXPECTED_INSTANCE_HEADER = "X-Bilberryramp-Expected-Instance"
_PRIORITY_HEADER = "X-Bilberryramp-Request-Priority"
_SIGNATURE_HEADER = "X-Bilberryramp-Server-Signature"
_LEAVING_HEADER = "Server-Leaving"
_NOT_EXECUTED_HEADER = "X-Bilberryramp-Not-Executed"
# Statuses with which that header holds. Any other one, such as 500, says that
# the request ran.
_NOT_EXECUTED_STATUSES = frozenset({400, 429, 503})
# Statuses that tell clients that the request has not run and will not run.
_DENYING_STATUSES = frozenset({408, 421, 429, 503})

# Hop-by-hop headers, and those that the HTTP library writes itself.
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
# Headers that only the system may set, removed from clients' requests.
_RESERVED_HEADERS = frozenset(
    {
        _HEADER_PREFIX + "hold",
        _HEADER_PREFIX + "pin-ms",
        _HEADER_PREFIX + "kv-backup",
        _HEADER_PREFIX + "expected-instance",
        _HEADER_PREFIX + "expected-version",
        _HEADER_PREFIX + "request-priority",
        _HEADER_PREFIX + "deadline-ms",
        "kv-from",
        "kv-fetch",
    }
)

# Upper bound of numbers in headers. A larger one is treated as missing; no
# real number of tokens or milliseconds comes near it.
_MAX_NUMBER = 10**9


class RunState(enum.Enum):
    """Whether an upstream ran a request, as its answer says."""

    RAN = "ran"
    """The upstream ran the request, or may have."""
    NOT_RUN = "not_run"
    """The upstream rejected the request without running it."""
    TARGET_MISSING = "absent"
    """Another instance uses the address, or the model or adapter is absent."""


def decode_request(
    host: str, path: str, headers, fingerprint: str = ""
) -> calls.Request:
    """Decode the properties of a client's request from its headers.

    Parameters
    ----------
    host
        Value of the ``Host`` header, with or without a port.
    path
        Path and query as the client sent them.
    headers
        Case-insensitive mapping of the headers.
    fingerprint
        As in `calls.Request`.

    Returns
    -------
    Request
        The request. A number of tokens that is missing or invalid is 0, a
        time that is missing or invalid is -1.
    """
    return calls.Request(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        host=host.partition(":")[0],
        path=path,
        client_timeout_ms=client_timeout_ms(headers),
        prompt=_decode_prompt(headers),
        fingerprint=fingerprint,
    )


def client_timeout_ms(headers) -> int:
    """Return the time that a client allows, in milliseconds.

    Parameters
    ----------
    headers
        Case-insensitive mapping of the headers.

    Returns
    -------
    int
        Time from when it sent the request; -1 if it is missing or invalid.
    """
    return _int_or_default(headers.get(_DEADLINE_HEADER), -1)


def _decode_prompt(headers) -> calls.Prompt | None:
    name = _replace_surrogates(headers.get(_MODEL_HEADER, ""))
    if not name:
        return None
    # The formats are model/adapter and tokens_in,tokens_out.
    model, _, adapter = name.partition("/")
    tokens_in, _, tokens_out = headers.get(_TOKENS_HEADER, "").partition(",")
    return calls.Prompt(
        model=model,
        adapter=adapter,
        tokens_in=_int_or_default(tokens_in, 0),
        tokens_out=_int_or_default(tokens_out, 0),
        parts=tuple(
            _decode_prompt_parts(headers.get(_PROMPT_PREFIX_HEADER, ""))
        ),
    )


def _decode_prompt_parts(text: str):
    # The format is id:tokens,id:tokens; items without a colon are ignored.
    for item in text.split(","):
        part_id, colon, tokens = item.strip().partition(":")
        if colon:
            yield prefix_cache.PromptPart(
                _replace_surrogates(part_id), _int_or_default(tokens, 0)
            )


def _replace_surrogates(text: str) -> str:
    """Return a header's text without bytes that are not UTF-8.

    The HTTP library decodes such bytes to lone surrogates, which cannot be
    encoded in messages to other nodes.
    """
    if text.isascii():
        return text
    return text.encode("utf-8", "replace").decode("utf-8")


def _int_or_default(text: str | None, default: int) -> int:
    """Decode a number from 0 to `_MAX_NUMBER`, or return the default."""
    if not text or not text.isascii():
        return default
    try:
        value = int(float(text))
    except (ValueError, OverflowError):
        return default
    return value if 0 <= value <= _MAX_NUMBER else default


def upstream_request_headers(raw_headers, send_call: calls.SendCall) -> list:
    """Return the headers for forwarding a client's request to an upstream.

    Parameters
    ----------
    raw_headers
        Names and values of the client's headers, as pairs of bytes.
    send_call
        Decision to send the request, with the upstream's id and the urgency.

    Returns
    -------
    list of (str, str)
        The client's headers without hop-by-hop and reserved ones, followed by
        those of the system except for `deadline_header`.
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
    headers.append((_EXPECTED_INSTANCE_HEADER, send_call.upstream_id))
    headers.append((_PRIORITY_HEADER, str(send_call.urgency)))
    return headers


def deadline_header(left_ms: int) -> tuple[str, str]:
    """Return the header that tells an upstream how long it may take.

    Parameters
    ----------
    left_ms
        Time that the client still waits, in milliseconds from when the
        request is written.

    Returns
    -------
    (str, str)
        Name and value of the header.
    """
    return _DEADLINE_HEADER, str(left_ms)


def client_answer_headers(raw_headers) -> list:
    """Return the headers for forwarding an upstream's answer to a client.

    Parameters
    ----------
    raw_headers
        Names and values of the upstream's headers, as pairs of bytes.

    Returns
    -------
    list of (str, str)
        The upstream's headers without hop-by-hop ones.
    """
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw_headers
        if name.lower().decode("latin-1") not in _HOP_BY_HOP_HEADERS
    ]


def decode_run_state(status: int, headers) -> RunState:
    """Decode from an upstream's answer whether it ran the request.

    Parameters
    ----------
    status
        HTTP status of the answer.
    headers
        Case-insensitive mapping of the answer's headers.

    Returns
    -------
    RunState
        ``RAN`` unless the answer says otherwise.
    """
    # An upstream sends 421 only if the request was meant for another process
    # or its model is not resident.
    if status == 421:
        return RunState.TARGET_MISSING
    if status in _NOT_EXECUTED_STATUSES and _NOT_EXECUTED_HEADER in headers:
        return RunState.NOT_RUN
    return RunState.RAN


def denies_run(status: int) -> bool:
    """Return whether a status tells clients that their request did not run.

    Parameters
    ----------
    status
        HTTP status of an answer.

    Returns
    -------
    bool
        True for the statuses that the protocol gives this meaning.
    """
    return status in _DENYING_STATUSES


def is_leaving(headers) -> bool:
    """Return whether an answer says that its upstream is leaving.

    Parameters
    ----------
    headers
        Case-insensitive mapping of the answer's headers.

    Returns
    -------
    bool
        True if the header is present with any value but 0.
    """
    return headers.get(_LEAVING_HEADER, "0").strip() != "0"


def pause_ms(status: int, headers) -> int:
    """Return for how long an upstream wants no requests after an answer.

    Parameters
    ----------
    status
        HTTP status of the answer.
    headers
        Case-insensitive multidict of the answer's headers.

    Returns
    -------
    int
        Milliseconds; 0 unless the status is 503 and the answer states a
        time, as `wire.retry_after` decodes it.
    """
    return retry_after.decode(headers) if status == 503 else 0


def has_upstream_signature(headers) -> bool:
    """Return whether an answer carries the signature header of an upstream.

    The value of the header is not verified.

    Parameters
    ----------
    headers
        Case-insensitive mapping of the answer's headers.

    Returns
    -------
    bool
        False if another program at the upstream's address answered.
    """
    return _SIGNATURE_HEADER in headers
