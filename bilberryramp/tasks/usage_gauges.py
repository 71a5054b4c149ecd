"""Gauges of the usage limits of workspaces, at nodes and at the leader."""

import itertools

from bilberryramp.decisions.fleet.limits import usage_credits, usage_issuer
from bilberryramp.telemetry import metrics

__all__ = ["set_gauges"]

# Limit on the workspaces that have gauges at a node.
MAX_WORKSPACES = 64
PREFIX = "usage_"


def set_gauges(
    task_metrics: metrics.Metrics,
    credits_: usage_credits.Credits,
    issuer: usage_issuer.Issuer,
    now_ms: int,
) -> None:
    """Set gauges of the workspaces with recent requests.

    Parameters
    ----------
    task_metrics
        Metrics of the gateway's task. Modified in place.
    credits_
        Credits of this node.
    issuer
        Issue of credits, which is active on the leader only.
    now_ms
        Current time in milliseconds.
    """
    for name in [n for n in task_metrics.gauges if n.startswith(PREFIX)]:
        del task_metrics.gauges[name]
    rows = itertools.chain(
        _rows_of_node(credits_, now_ms), _rows_of_leader(issuer, now_ms)
    )
    for name, workspace, value in rows:
        escaped = workspace.replace("\\", "\\\\").replace('"', '\\"')
        label = f'{{workspace="{escaped}"}}'
        metrics.set_gauge(task_metrics, f"{PREFIX}{name}{label}", int(value))


def _rows_of_node(credits_: usage_credits.Credits, now_ms: int):
    accounts = itertools.islice(credits_.accounts.items(), MAX_WORKSPACES)
    for workspace, account in accounts:
        usage_credits.drop_ended(account, now_ms)
        reserve = sum(lot.amount for lot in account.lots if lot.is_reserve)
        held = sum(lot.amount for lot in account.lots) - reserve
        demand = usage_credits.demand_per_s(account, now_ms)
        yield "credit_held", workspace, held
        yield "reserve_held", workspace, reserve
        yield "demand_per_second", workspace, demand
        yield "calls_waiting", workspace, len(account.waiting)


def _rows_of_leader(issuer: usage_issuer.Issuer, now_ms: int):
    if not usage_issuer.leads(issuer, now_ms):
        return
    for workspace in itertools.islice(issuer.buckets, MAX_WORKSPACES):
        terms = issuer.buckets[workspace].terms
        level = usage_issuer.level_of(issuer, workspace, now_ms)
        yield "bucket_level", workspace, level
        yield "bucket_depth", workspace, terms.depth
