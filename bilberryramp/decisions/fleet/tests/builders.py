"""Builders of the fleet's test data."""

import random

from bilberryramp.charts import loader
from bilberryramp.decisions.fleet.core import (
    calls,
    documents,
    prefix_cache,
    presence,
)
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.limits import (
    memory_claims,
    retry_budget,
    retry_shares,
)
from bilberryramp.decisions.fleet.orders import agent, placement
from bilberryramp.decisions.fleet.register import register, register_messages
from bilberryramp.decisions.fleet.routing import health, upstream_pauses
from bilberryramp.decisions.shared import charting, pauses


def bind_chart(name, module):
    """Load a chart and bind it to the guards and actions of a module."""
    return charting.bind(loader.load(name), module.guards, module.actions)


def make_model(name="m0", weights_mb=50_000.0, load_s=2.0, adapters=4):
    """Build a model; four of the default size fit into an engine."""
    return documents.ModelSpec(name, weights_mb, load_s, adapters, 40.0)


def make_engine(models=("m0", "m1", "m2", "m3", "m4"), specs=(), **changes):
    """Build an engine description; `specs` adds or replaces models."""
    available = {name: make_model(name) for name in models} | dict(specs)
    fields = {
        "slots": 64,
        "kv_tokens": 200_000,
        "weights_mb": 200_000.0,
        "adapter_slots": 4,
        "loads_per_s": 2.0,
        "models": available,
    }
    return documents.EngineSpec(**(fields | changes))


def make_route(prefix="/chat/", service="engines", **changes):
    """Build a streaming route that may not be retried."""
    fields = {
        "name": f"r{prefix}",
        "host": "a.example",
        "prefix": prefix,
        "shares": (documents.Share(service, 1.0),),
        "repeatable": False,
        "streaming": True,
        "resumable": False,
        "timeout_ms": 6000,
        "target_ms": 1000,
        "urgency": 1,
        "max_attempts": 1,
    }
    return documents.Route(**(fields | changes))


def make_workspace(name="w1", keys=("key-1",), urgency=None, limit=None):
    """Build a workspace without a limit."""
    return documents.Workspace(name, tuple(keys), urgency, limit)


def make_document(version=1, routes=None, engine=None, workspaces=()):
    """Build a document with a service of engines and a plain service.

    Unless `routes` is given, the plain service has a route with retries and a
    route without.
    """
    services = {
        "engines": documents.Service("engines", 300, engine or make_engine()),
        "plain": documents.Service("plain", 100, None),
    }
    plain_route = make_route(
        "/look/", "plain", streaming=False, repeatable=True, max_attempts=2
    )
    filing_route = make_route("/file/", "plain", streaming=False)
    all_routes = routes or (make_route(), plain_route, filing_route)
    return documents.Document(
        version,
        tuple(all_routes),
        services,
        documents.CallLimits(),
        tuple(workspaces),
    )


def make_limited_workspace(name="w1", rate=1000.0, burst=1000.0, **changes):
    """Build a workspace with a limit by token and the key ``key-NAME``."""
    fields = {"unit": documents.UsageUnit.TOKEN, "plain_tokens": 100}
    limit = documents.UsageLimit(rate=rate, burst=burst, **(fields | changes))
    return make_workspace(name, (f"key-{name}",), limit=limit)


def make_limited_call(call_id, tokens, workspace, now_ms=10_000):
    """Build a call of a workspace that counts a number of tokens."""
    request = make_request(prompt=make_prompt(tokens, 0))
    call = calls.Call(
        call_id, request, make_route(), "engines", now_ms, now_ms + 6000
    )
    call.workspace = workspace
    return call


def make_announcement(upstream_id="u1", **changes):
    """Build an announcement of an engine that holds the model ``m0``."""
    fields = {
        "upstream_id": upstream_id,
        "service": "engines",
        "address": f"10.0.0.{abs(hash(upstream_id)) % 250}:80",
        "failure_domain": "a",
        "slots": 64,
        "born_ms": 1000,
        "seq": 1,
        "leaving": False,
        "gone": False,
        "remaining_ms": -1,
        "held": (presence.ResidentModel("m0", 1, ()),),
    }
    return presence.Announcement(**(fields | changes))


def make_plain_announcement(upstream_id, **changes):
    """Build an announcement of an upstream of the plain service."""
    return make_announcement(
        upstream_id, service="plain", slots=6, held=(), **changes
    )


def make_prompt(
    tokens_in=2000, tokens_out=50, model="m0", adapter="", parts=()
):
    """Build a prompt; `parts` are pairs of part identifier and tokens."""
    prompt_parts = tuple(
        prefix_cache.PromptPart(name, tokens) for name, tokens in parts
    )
    return calls.Prompt(model, adapter, tokens_in, tokens_out, prompt_parts)


def make_request(
    path="/chat/x",
    prompt=None,
    client_timeout_ms=6000,
    request_id="q",
    **changes,
):
    """Build a request; those below ``/chat/`` have a prompt by default."""
    if prompt is None and path.startswith("/chat/"):
        prompt = make_prompt()
    return calls.Request(
        request_id, "a.example", path, client_timeout_ms, prompt, **changes
    )


def make_gateway(doc=None, upstreams=(), now_ms=10_000, seed=1):
    """Build a gateway with a document that has received announcements.

    It has the whole slack of the retry budgets for itself.
    """
    gw = gateway_state.Gateway(
        "n1:1",
        bind_chart("exchange", gateway_state),
        bind_chart("upstream_health", health),
        random.Random(seed),
        presence.Table(1200),
        retry_budget.Limits(0.2, 60.0, 10_000),
        upstream_pauses.Pauses(bind_chart("upstream_pause", pauses)),
        retry_share=make_share(),
    )
    messages = [gateway.DocumentInForce(doc or make_document()), *upstreams]
    for message in messages:
        collect(gateway.step(gw, now_ms, message))
    return gw


def make_share(fleet_size=1, valid_until_ms=10**12, **changes):
    """Build a granted part of the slack of the retry budgets."""
    fields = {"state": "granted", "counted_ms": 60_000} | changes
    return retry_shares.Share(fleet_size, valid_until_ms, **fields)


def collect(effects):
    """Run a handler to its end and return its effects."""
    return list(effects)


def submit(gw, call_id, request, now_ms=10_000):
    """Submit a request to a gateway and return the effects."""
    message = calls.CallArrived(call_id, request, now_ms)
    return collect(gateway.step(gw, now_ms, message))


def tick(gw, now_ms):
    """Advance a gateway to a time and return the effects."""
    return collect(gateway.step(gw, now_ms, gateway.Tick()))


def of_type(effects, kind):
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def make_agent(held=(), order_count=0, now_ms=10_000, fence=1):
    """Build an agent that has read the state of its engine."""
    state = agent.new_agent(bind_chart("engine_order", agent), fence)
    report = agent.EngineReport(order_count, held)
    collect(agent.step(state, now_ms, agent.Tick()))
    collect(agent.step(state, now_ms, report))
    return state


def make_residency_request(
    adapter="a1", model="m0", load=True, spare=(), **changes
):
    """Build a request to an agent to load or unload a model or adapter."""
    capacity = documents.capacity(make_engine())
    size_mb = 40.0 if adapter else 50_000.0
    fields = {
        "sender": "n1:1",
        "upstream_id": "u1",
        "load": load,
        "model": model,
        "adapter": adapter,
        "size_mb": size_mb,
        "capacity": capacity,
        "spare": spare,
    }
    return agent.ResidencyRequest(**(fields | changes))


def make_memory_claim(number=1, tokens=9000, **changes):
    """Build a claim on the memory of an engine that grants 100,000 tokens."""
    fields = {
        "sender": "n1:1",
        "process": 7,
        "number": number,
        "call_id": number,
        "upstream_id": "u1",
        "born_ms": 1,
        "tokens": tokens,
        "capacity_tokens": 100_000,
        "reported_tokens": 0,
        "ends_in_ms": 6000,
        "longest_ms": 15_000,
    }
    return memory_claims.MemoryClaim(**(fields | changes))


def make_engine_state(upstream_id="u1", models=("m0",), **changes):
    """Build the state of an engine with default-sized resident models."""
    fields = {
        "upstream_id": upstream_id,
        "models": {name: set() for name in models},
        "local_models": frozenset(models),
        "free_mb": 200_000.0 - 50_000.0 * len(models),
    }
    return placement.EngineState(**(fields | changes))


def make_peer(address, store_id=register.GENESIS, durable=True):
    """Build a member of the register."""
    return register_messages.Peer(
        address, store_id, address, durable, f"{address}0"
    )
