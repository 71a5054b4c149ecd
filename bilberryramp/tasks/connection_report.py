"""Logs and metrics on the connections that end in a planned stop."""

from bilberryramp.decisions.shared import connection_stop
from bilberryramp.tasks import client_connections
from bilberryramp.telemetry import events, metrics

__all__ = ["report"]

_Reason, _State = connection_stop.Reason, connection_stop.State


def report(
    end: client_connections.ConnectionEnd, task_metrics: metrics.Metrics
) -> None:
    """Log and count a connection that ended while the process stops.

    Connections that clients closed when no request was in progress are
    counted only.

    Parameters
    ----------
    end
        How the connection ended.
    task_metrics
        Metrics of the process. Modified in place.
    """
    metrics.increment(
        task_metrics,
        f'connections_ended_total{{listener="{end.listener}",'
        f'phase="{end.phase}",state="{end.state.value}",'
        f'reason="{end.reason.value}"}}',
    )
    if end.reason is _Reason.CLIENT and end.state is _State.IDLE:
        return
    events.emit(
        events.CONNECTION_ENDED,
        listener=end.listener,
        phase=end.phase,
        state=end.state.value,
        reason=end.reason.value,
        request_bytes=end.request_bytes,
        answer_bytes=end.answer_bytes,
        unsent_bytes=end.unsent_bytes,
        dropped_bytes=end.dropped_bytes,
        silent_ms=end.silent_ms,
    )
