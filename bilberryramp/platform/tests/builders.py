"""Builders of the platform's messages."""

import json

from bilberryramp.platform import standins

a_route = standins.make_route
a_config = standins.make_config


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
