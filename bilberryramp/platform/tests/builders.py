"""Builders of messages in the platform's formats."""

import json

from bilberryramp.platform import standins

make_route_fields = standins.make_route_fields
make_document_body = standins.make_document_body


def make_heartbeat_body(**changes):
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
