"""Decode and check the service document that an operator submits."""

from typing import Annotated

import msgspec

from bilberryramp.decisions.fleet.core import documents, workspaces
from bilberryramp.decisions.shared import errors

__all__ = ["MAX_KEY_CHARS", "MalformedDocumentError", "decode"]

# Maximum length of a key of a workspace; longer ones name none.
MAX_KEY_CHARS = 1024
# Maximum rate, burst and number of tokens; a float can hold any sum of some
# such numbers to the unit.
MAX_AMOUNT = 10**15
_TOKEN_UNIT = "token_stream"
_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _WorkspaceRow(msgspec.Struct):
    """Row of a workspace, as operators write it."""

    name: str
    api_keys: list[str] = msgspec.field(name="apiKeys")
    priority: _Amount | None = None
    unit: str | None = None
    rate_per_s: _Amount | None = msgspec.field(name="ratePerS", default=None)
    burst: _Amount | None = None
    plain_tokens: _Amount | None = msgspec.field(
        name="plainTokens", default=None
    )


class MalformedDocumentError(errors.BilberryError):
    """Raised when a service document is invalid or inconsistent.

    The message gives the reason. Such a document must not come into force.
    """


def decode(body: bytes) -> documents.Document:
    """Decode and check a service document.

    Parameters
    ----------
    body
        Document as JSON, as the operator sent it.

    Returns
    -------
    Document
        The document, complete and consistent.

    Raises
    ------
    MalformedDocumentError
        When `body` is not JSON, a field is missing or has the wrong type, two
        routes have the same host and prefix, a route has a negative weight,
        weights that add up to 0, a timeout that is not positive, or a service
        that is not in the document, or a workspace has no or another's name,
        an invalid or another's key, or a number out of range. The message
        names no key.
    """
    try:
        raw = msgspec.json.decode(body)
        doc = _decode_document(raw)
    except msgspec.MsgspecError as exc:
        raise MalformedDocumentError(str(exc)) from exc
    except KeyError as exc:
        raise MalformedDocumentError(f"missing field {exc}") from exc
    except (
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise MalformedDocumentError(f"invalid field: {exc!r}") from exc
    _check_document(doc)
    return doc


def _decode_document(raw: dict) -> documents.Document:
    version = raw["version"]
    if not isinstance(version, int) or isinstance(version, bool):
        raise MalformedDocumentError(f"version is not an integer: {version!r}")
    services = [_decode_service(row) for row in raw["services"]]
    return documents.Document(
        version=version,
        routes=tuple(_decode_route(row) for row in raw["routes"]),
        services={service.name: service for service in services},
        limits=_decode_limits(raw.get("limits") or {}),
        workspaces=_decode_workspaces(raw.get("tenants")),
    )


def _decode_route(raw: dict) -> documents.Route:
    # A route names one service, or several services with weights.
    if raw.get("split"):
        shares = tuple(
            documents.Share(str(row["service"]), float(row["weight"]))
            for row in raw["split"]
        )
    else:
        shares = (documents.Share(str(raw["service"]), 1.0),)
    kind = raw["kind"]
    return documents.Route(
        name=str(raw["name"]),
        host=str(raw["host"]),
        prefix=str(raw["pathPrefix"]),
        shares=shares,
        repeatable=kind == "idempotent",
        streaming=kind == "streaming",
        resumable=bool(raw.get("resumable", False)),
        timeout_ms=int(raw["timeoutMs"]),
        target_ms=int(raw.get("latencyTargetMs", raw["timeoutMs"])),
        urgency=int(raw.get("priority", 5)),
        max_attempts=int(raw.get("maxAttempts", 1)),
        gap_target_ms=int(raw.get("gapAimMs") or 0),
        is_public=bool(raw.get("public", False)),
    )


def _decode_service(raw: dict) -> documents.Service:
    engine = raw.get("engine")
    return documents.Service(
        name=str(raw["name"]),
        max_conns=int(raw.get("maxConns", 100)),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(raw: dict) -> documents.EngineSpec:
    models = [
        documents.ModelSpec(
            name=str(row["name"]),
            weights_mb=float(row["weightsMb"]),
            load_s=float(row["loadS"]),
            adapters=int(row.get("adapters", 0)),
            adapter_mb=float(row.get("adapterMb", 0)),
        )
        for row in raw["models"]
    ]
    return documents.EngineSpec(
        slots=int(raw["slots"]),
        kv_tokens=int(raw["kvCapacity"]),
        weights_mb=float(raw["weightsMb"]),
        adapter_slots=int(raw.get("adapterSlots", 0)),
        loads_per_s=float(raw.get("loadsPerS", 1)),
        models={model.name: model for model in models},
        stride=max(int(raw.get("stride") or 1), 1),
    )


def _decode_limits(raw: dict) -> documents.CallLimits:
    default = documents.CallLimits()
    return documents.CallLimits(
        header_bytes=int(raw.get("maxHeaderBytes", default.header_bytes)),
        body_bytes=int(raw.get("maxBodyBytes", default.body_bytes)),
        header_timeout_ms=int(
            raw.get("headerTimeoutMs", default.header_timeout_ms)
        ),
        idle_timeout_ms=int(raw.get("idleTimeoutMs", default.idle_timeout_ms)),
    )


def _decode_workspaces(raw) -> tuple[documents.Workspace, ...]:
    if raw is None:
        return ()
    try:
        rows = msgspec.convert(raw, list[_WorkspaceRow])
    except msgspec.ValidationError as exc:
        raise MalformedDocumentError(f"tenants: {exc}") from exc
    return tuple(_decode_workspace(row) for row in rows)


def _decode_workspace(row: _WorkspaceRow) -> documents.Workspace:
    # Keys and names are sent as headers: a key is one word of ASCII, a name
    # must come back as it was written.
    name = row.name
    if not name or not name.isprintable() or name != name.strip():
        raise MalformedDocumentError(
            f"tenant {name!r}: a name must have visible characters, and no "
            "space at its ends"
        )
    for index, key in enumerate(row.api_keys):
        if (
            not 0 < len(key) <= MAX_KEY_CHARS
            or not (key.isascii() and key.isprintable())
            or " " in key
        ):
            raise MalformedDocumentError(
                f"tenant {name!r}: key {index} must have 1 to "
                f"{MAX_KEY_CHARS} visible ASCII characters and no space"
            )
    return documents.Workspace(
        name=row.name,
        keys=tuple(row.api_keys),
        urgency=None if row.priority is None else int(row.priority),
        usage_limit=_decode_usage_limit(row),
    )


def _decode_usage_limit(row: _WorkspaceRow) -> documents.UsageLimit | None:
    if not row.rate_per_s and not row.burst:
        return None
    return documents.UsageLimit(
        unit=documents.UsageUnit.TOKEN
        if row.unit == _TOKEN_UNIT
        else documents.UsageUnit.REQUEST,
        rate=row.rate_per_s or 0.0,
        burst=row.burst or 0.0,
        plain_tokens=int(row.plain_tokens or 0),
    )


def _check_workspaces(doc: documents.Document) -> None:
    names = set()
    by_key = {}
    for workspace in doc.workspaces:
        if workspace.name in names:
            raise MalformedDocumentError(
                f"two tenants have the name {workspace.name!r}"
            )
        names.add(workspace.name)
        for key in workspace.keys:
            other = by_key.setdefault(key, workspace)
            if other is not workspace:
                raise MalformedDocumentError(
                    f"tenants {other.name!r} and {workspace.name!r} share the "
                    f"key with the digest {workspaces.digest(key)}"
                )


def _check_document(doc: documents.Document) -> None:
    _check_workspaces(doc)
    seen_prefixes = set()
    for route in doc.routes:
        route_label = f"route {route.name}"
        if (route.host, route.prefix) in seen_prefixes:
            raise MalformedDocumentError(
                f"{route_label}: another route has host {route.host!r} and "
                f"path prefix {route.prefix!r}"
            )
        seen_prefixes.add((route.host, route.prefix))
        if sum(share.weight for share in route.shares) <= 0:
            raise MalformedDocumentError(
                f"{route_label}: the weights of its services must add up to "
                "more than 0"
            )
        if route.timeout_ms <= 0:
            raise MalformedDocumentError(
                f"{route_label}: timeoutMs is {route.timeout_ms}, expected "
                "more than 0"
            )
        for share in route.shares:
            if share.service not in doc.services or share.weight < 0:
                raise MalformedDocumentError(
                    f"{route_label}: service {share.service!r} is not in the "
                    f"document or its weight {share.weight} is negative"
                )
