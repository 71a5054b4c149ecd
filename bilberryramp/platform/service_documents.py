"""Decode and check the service document that an operator submits."""

import msgspec

from bilberryramp.decisions.fleet.core import documents
from bilberryramp.decisions.shared import errors

__all__ = ["MalformedDocumentError", "decode"]


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
        routes have the same host and prefix, or a route has a negative
        weight, weights that add up to 0, a timeout that is not positive, or
        a service that is not in the document.
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


def _check_document(doc: documents.Document) -> None:
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
