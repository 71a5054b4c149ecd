import contextlib
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bilberryramp.decisions.entry import entry_calls, entry_messages
from bilberryramp.decisions.shared import call_messages, errors
from bilberryramp.decisions.tests import path_driver
from bilberryramp.decisions.upstream import (
    engine_pauses,
    ledger,
    run_records,
    upstream_messages,
    upstream_work,
)

ENTRIES = st.sampled_from(("e1", "e2"))
UPSTREAMS = st.sampled_from(("u1", "u2", "u3", "p1", "p2"))
MODELS = st.sampled_from(("", "m1", "m2"))
CONNECTION_INDICES = st.integers(0, 50)


class PathMachine(stateful.RuleBasedStateMachine):
    """Moves of a `PathDriver` that hypothesis draws; checked at the end."""

    def __init__(self):
        super().__init__()
        self.driver = path_driver.PathDriver(1)

    @stateful.rule(entry=ENTRIES, model=MODELS, key=st.integers(0, 3))
    def call(self, entry, model, key):
        if entry in self.driver.entries:
            key_text = f"k{key}" if key or not model else ""
            self.driver.call(entry, model, key_text)

    @stateful.rule(
        connection_index=CONNECTION_INDICES, count=st.integers(1, 8)
    )
    def deliver(self, connection_index, count):
        for _ in range(count):
            if self.driver.connections:
                connections = self.driver.connections
                self.driver.deliver(
                    connections[connection_index % len(connections)]
                )

    @stateful.rule(name=UPSTREAMS)
    def progress(self, name):
        self.driver.advance_run(name)

    @stateful.rule(ms=st.sampled_from((10, 100, 1000)))
    def advance(self, ms):
        self.driver.advance(ms)

    @stateful.rule(name=ENTRIES)
    def kill_entry(self, name):
        self.driver.kill_entry(name)

    @stateful.rule(name=UPSTREAMS)
    def kill_upstream(self, name):
        self.driver.kill_upstream(name)

    @stateful.rule(name=UPSTREAMS)
    def kill_engine(self, name):
        self.driver.crash_engine(name)

    @stateful.rule(name=UPSTREAMS, ms=st.sampled_from((10, 2000)))
    def turn_away(self, name, ms):
        self.driver.start_turning_away(name, ms)

    @stateful.rule(name=UPSTREAMS)
    def stop_upstream(self, name):
        self.driver.stop_upstream(name)

    @stateful.rule(connection_index=CONNECTION_INDICES)
    def break_link(self, connection_index):
        if self.driver.connections:
            connections = self.driver.connections
            self.driver.break_connection(
                connections[connection_index % len(connections)]
            )

    @stateful.rule(models=st.sampled_from((("m1", "m2"), ("m2", "m3"))))
    def change_tables(self, models):
        self.driver.submit(models)

    @stateful.rule()
    def restart(self):
        self.driver.restart_all()

    def teardown(self):
        self.driver.settle_down()
        self.driver.check_reachable()


SETTINGS = hypothesis.settings(
    max_examples=12,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    # Failing examples are not shrunk, which can take minutes.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)


def run(seed, moves, fenced=(True, False), **settings):
    """Make random moves, let the system recover, and check the invariants."""
    driver = path_driver.PathDriver(seed, fenced=fenced, **settings)
    for _ in range(moves):
        driver.random_move()
    driver.settle_down()
    driver.check_reachable()
    return driver


class PathFuzzTest(unittest.TestCase):
    def test_hypothesis_machine(self):
        stateful.run_state_machine_as_test(PathMachine, settings=SETTINGS)

    def test_random_runs(self):
        # Seeds 1008 and 1012 found resends that were refused before their
        # key was looked up.
        for seed in (*range(6), 1008, 1012):
            with self.subTest(seed=seed):
                run(seed, 2500)

    def test_random_runs_with_few_retries(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                run(seed, 2500, losing=True, retry_burst=1.0)

    def test_random_runs_with_engines_that_pause(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                driver = run(seed, 2500, pausing=True)
                self.assertGreater(len(driver.turned_away), 0)


def always_allowed(_call, _payload):
    return True


def trust_last_failure(call, failure):
    """Do not record that an earlier attempt may have run."""
    if failure is not None:
        call.failure = failure


def treat_lost_as_refused(entry, now_ms, message):
    """Report a lost connection as proof that no request on it ran."""
    yield from entry_calls._on_link_failed(
        entry, now_ms, entry_messages.LinkFailed(message.upstream_id)
    )


def keep_queued_requests(_state):
    """Keep the queued requests when the upstream starts to leave."""
    yield from ()


def always_fits(_ledger, _place):
    return True


def report_complete_answer(state, now_ms, ended):
    """Send the end of a complete answer although the engine crashed."""
    complete = dataclasses.replace(ended, failure=None, crashed=False)
    yield from ORIGINAL_ON_RUN_ENDED(state, now_ms, complete)


def skip_chunk_count(call, frame):
    """Accept the end of an answer without counting its chunks."""
    if isinstance(frame, call_messages.AnswerEnd):
        return "ended", None
    return ORIGINAL_CLASSIFY_FRAME(call, frame)


def skip_recording(_records, _now_ms, _dispatch, _ended):
    """Do not record the end of a run with an idempotency key."""
    yield from ()


ORIGINAL_ON_RUN_ENDED = upstream_work._on_run_ended
ORIGINAL_CLASSIFY_FRAME = entry_calls._classify_frame


class InjectedFaultsTest(unittest.TestCase):
    """Faults injected into the decisions must violate an invariant."""

    def assert_detected(self, *patches, **settings):
        """Assert that one of 60 random runs with the fault fails a check."""
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            for seed in range(60):
                try:
                    run(seed, 1500, (False,), **settings)
                except (AssertionError, errors.BilberryError):
                    return
        self.fail("the injected fault was not detected")

    def test_unknown_outcome_reported_as_not_run(self):
        self.assert_detected(
            mock.patch.object(
                entry_calls, "_record_failure", trust_last_failure
            )
        )

    def test_lost_link_reported_as_not_run(self):
        handlers = {entry_messages.LinkLost: treat_lost_as_refused}
        self.assert_detected(mock.patch.dict(entry_calls._HANDLERS, handlers))

    def test_crash_reported_as_complete_answer(self):
        handlers = {upstream_messages.RunEnded: report_complete_answer}
        self.assert_detected(
            mock.patch.dict(upstream_work._HANDLERS, handlers),
            mock.patch.object(
                entry_calls, "_classify_frame", skip_chunk_count
            ),
        )

    def test_keyed_run_not_recorded_after_entry_is_killed(self):
        self.assert_detected(
            mock.patch.object(run_records, "record_end", skip_recording)
        )

    def test_new_work_while_leaving(self):
        self.assert_detected(
            mock.patch.object(
                upstream_work, "_refuse_all_queued", keep_queued_requests
            )
        )

    def test_pause_ignored(self):
        self.assert_detected(
            mock.patch.object(engine_pauses, "request", lambda *_: False),
            pausing=True,
        )

    def test_retry_charged_before_it_waits(self):
        guards = {
            "may_retry": entry_calls.guards["spend_retry"],
            "spend_retry": always_allowed,
        }
        self.assert_detected(
            mock.patch.dict(entry_calls.guards, guards),
            losing=True,
            retry_burst=1.0,
        )

    def test_memory_granted_beyond_capacity(self):
        self.assert_detected(
            mock.patch.object(ledger, "fits", always_fits),
            mock.patch.object(ledger, "_check_invariant", lambda _: None),
        )
