"""Builders of the platform's messages."""

import json


def a_route(prefix="/talk/", service="svc-llm", **changes):
    fields = {
        "name": f"r{prefix}",
        "host": "h.example",
        "pathPrefix": prefix,
        "kind": "streaming",
        "timeoutMs": 6000,
        "latencyTargetMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
    }
    return fields | changes


def a_config(version=3, routes=None, **changes):
    plain = {"name": "svc-app", "healthPath": "/h", "maxConns": 50}
    engine = {
        "slots": 8,
        "kvCapacity": 100_000,
        "models": [
            {
                "name": "m0",
                "weightsMb": 1000.0,
                "loadS": 1.0,
                "adapters": 2,
                "adapterMb": 10.0,
            }
        ],
        "weightsMb": 4000.0,
        "adapterSlots": 2,
        "loadsPerS": 1.0,
    }
    llm = {"name": "svc-llm", "maxConns": 50, "engine": engine}
    usual = [
        a_route(),
        a_route("/file/", "svc-app", kind="non_idempotent"),
        a_route("/look/", "svc-app", kind="idempotent", maxAttempts=2),
    ]
    fields = {
        "version": version,
        "routes": usual if routes is None else routes,
        "services": [llm, plain],
        "limits": {"maxBodyBytes": 4096},
    }
    return json.dumps(fields | changes).encode()


def a_heartbeat(**changes):
    fields = {
        "service": "svc-llm",
        "address": "127.0.0.1:1",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 4,
        "coldLeftMs": 0,
        "born": 1783455595500,
        "models": [{"name": "m0", "version": 1, "adapters": ["a1"]}],
        "atHand": {"inMemory": ["m1"], "onDisk": ["m2"]},
    }
    return json.dumps(fields | changes).encode()
