"""Builders of workloads and deployments for tests."""

from bilberryramp.decisions.shared import tables
from bilberryramp.decisions.tests import builders
from bilberryramp.loadgen import deployment, workload


def stream(model="m1", **overrides) -> workload.Stream:
    fields = {"requests_per_s": 2.0, "answer_tokens": 50, "size_sigma": 0.0}
    fields |= overrides
    return workload.Stream(model, **fields)


def load(*streams, **overrides) -> workload.Workload:
    fields = {"duration_s": 60.0} | overrides
    return workload.Workload("test", streams or (stream(),), **fields)


def deployment_spec(engines=2, models=("m1", "m2"), **overrides):
    routes = tuple(builders.route(model) for model in models)
    fields = {
        "groups": (
            deployment.EngineGroup(
                "drafting-desk", engines, ("a", "b"), 1, 2000
            ),
        ),
        "tables": tables.Tables(routes, (builders.pool(),)),
        "loads_at_once": 2,
        "load_s": 2.0,
    }
    return deployment.Deployment("test", **(fields | overrides))
