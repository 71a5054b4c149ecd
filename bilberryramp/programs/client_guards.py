"""Budgets of memory and descriptors for the clients of a node."""

import functools
import resource
import sys

from bilberryramp.decisions.fleet.core import documents
from bilberryramp.decisions.shared import client_memory, client_review
from bilberryramp.settings import fleet
from bilberryramp.tasks import (
    client_connections,
    client_guard,
    gateway_task,
    process_memory,
    register_task,
)

__all__ = ["guard"]

BYTES_PER_MB = 1_000_000
# Heads are refused beyond this multiple of the documented limit.
HEAD_MARGIN = 2


def guard(
    listener: client_connections.Listener,
    cfg: fleet.NodeSettings,
    register: register_task.RegisterTask,
    gateway: gateway_task.GatewayTask,
) -> client_guard.Guard:
    """Bound what a node holds for the clients of a listener.

    The process's own need of memory is measured now.

    Parameters
    ----------
    listener
        Listener without connections. Modified in place.
    cfg
        Settings of the node.
    register, gateway
        Tasks that know the peers and the document.

    Returns
    -------
    Guard
        State of the task that has to run.
    """
    resident_bytes = process_memory.resident_bytes()
    descriptors = cfg.max_descriptors
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = sys.maxsize

    def make_budget() -> client_memory.Budget:
        doc = gateway.gw.doc
        needs = client_memory.Descriptors(
            descriptors,
            sum(service.max_conns for service in doc.services.values())
            if doc is not None
            else 0,
            len(register.node.peers),
        )
        budgets = client_memory.split_budget(
            BYTES_PER_MB * cfg.memory_mb,
            resident_bytes,
            needs,
        )
        return budgets[listener.name]

    return client_guard.guard_listener(
        listener,
        make_budget,
        functools.partial(_limits, gateway),
        gateway.task_metrics,
    )


def _limits(gateway: gateway_task.GatewayTask) -> client_review.Limits:
    doc = gateway.gw.doc
    limits = doc.limits if doc is not None else documents.CallLimits()
    defaults = client_review.Limits()
    return client_review.Limits(
        head_bytes=max(defaults.head_bytes, HEAD_MARGIN * limits.header_bytes),
        head_ms=max(defaults.head_ms, HEAD_MARGIN * limits.header_timeout_ms),
    )
