"""Trace spans, one per hop of a request, linked by W3C trace context."""

import contextlib
import os
from collections.abc import Iterator

from opentelemetry import context, propagate, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling

__all__ = ["span", "start_tracing"]

_TRACER = trace.get_tracer("bilberryramp")


def start_tracing(program: str, exporter: str, path: str) -> None:
    """Set up the export of spans for this process.

    Parameters
    ----------
    program
        Name of the program, exported as ``service.name``.
    exporter
        ``none`` to export no spans, or ``file``.
    path
        File to which ``file`` appends one JSON object per span.
    """
    if exporter == "none":
        return
    resource = resources.Resource.create({"service.name": program})
    provider = sdk_trace.TracerProvider(
        sampler=sampling.ParentBased(sampling.ALWAYS_ON), resource=resource
    )
    stream = open(path, "a", encoding="utf-8")  # noqa: SIM115
    writer = export.ConsoleSpanExporter(out=stream, formatter=_to_json_line)
    provider.add_span_processor(export.BatchSpanProcessor(writer))
    trace.set_tracer_provider(provider)


@contextlib.contextmanager
def span(name: str, traceparent: str, **attributes) -> Iterator[str]:
    """Open a span for one hop of a request.

    Parameters
    ----------
    name
        Name of the span.
    traceparent
        Value of the ``traceparent`` header received from the previous hop;
        empty to start a new trace.
    **attributes
        Attributes of the span.

    Yields
    ------
    str
        Value of the ``traceparent`` header for the next hop.
    """
    carrier = {"traceparent": traceparent} if traceparent else {}
    parent = propagate.extract(carrier, context=context.Context())
    active_span = _TRACER.start_as_current_span(
        name, context=parent, attributes=attributes
    )
    with active_span:
        injected: dict[str, str] = {}
        propagate.inject(injected)
        yield injected.get("traceparent", traceparent)


def _to_json_line(finished_span: sdk_trace.ReadableSpan) -> str:
    return finished_span.to_json(indent=None) + os.linesep
