import contextlib
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bilberryramp.decisions.control import (
    control_state,
    idempotency,
    replica_state,
    replication,
)
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.control.tests import control_driver
from bilberryramp.decisions.shared import commands

NAMES = st.sampled_from(("c1", "c2", "c3"))
MESSAGE_INDEX = st.integers(0, 199)
KEYS = st.sampled_from(("k1", "k2"))
REQUESTS = st.sampled_from(("r1", "r2", "r3"))


class ReplicationMachine(stateful.RuleBasedStateMachine):
    """Random sequences of client requests, deliveries and faults."""

    mutate_replica = None

    def __init__(self):
        super().__init__()
        self.driver = control_driver.ControlDriver(1, 3, self.mutate_replica)

    @stateful.rule(ms=st.sampled_from((5, 20, 100, 400)))
    def advance(self, ms):
        self.driver.advance(ms)

    @stateful.rule(position=MESSAGE_INDEX, count=st.integers(1, 12))
    def deliver(self, position, count):
        for _ in range(count):
            self.driver.deliver(position)

    @stateful.rule(position=MESSAGE_INDEX)
    def duplicate(self, position):
        self.driver.deliver(position, duplicate=True)

    @stateful.rule(position=MESSAGE_INDEX)
    def drop(self, position):
        self.driver.drop(position)

    @stateful.rule(name=NAMES)
    def kill(self, name):
        self.driver.kill(name)

    @stateful.rule(name=NAMES, write_count=st.integers(0, 2))
    def kill_during(self, name, write_count):
        self.driver.kill_during(name, 0, write_count)

    @stateful.rule(name=NAMES)
    def restart(self, name):
        self.driver.restart(name)

    @stateful.rule(name=NAMES)
    def lose_disk(self, name):
        self.driver.lose_disk(name)

    @stateful.rule(sender=NAMES, to=NAMES, both=st.booleans())
    def cut(self, sender, to, both):
        self.driver.cut(sender, to)
        if both:
            self.driver.cut(to, sender)

    @stateful.rule(name=NAMES)
    def freeze(self, name):
        self.driver.nodes[name].frozen = True

    @stateful.rule()
    def heal(self):
        self.driver.heal()

    @stateful.rule(name=NAMES, lag=st.integers(0, 1))
    def submit(self, name, lag):
        self.driver.submit(name, lag)

    @stateful.rule(name=NAMES, position=MESSAGE_INDEX)
    def resend(self, name, position):
        self.driver.resend(name, position)

    @stateful.rule(name=NAMES, key=KEYS, request=REQUESTS)
    def reserve(self, name, key, request):
        self.driver.reserve(name, key, request)

    @stateful.rule(name=NAMES, key=KEYS, request=REQUESTS)
    def finish(self, name, key, request):
        self.driver.finish(name, key, request)

    def teardown(self):
        self.driver.settle_down(8000)
        self.driver.check_agreement()


SETTINGS = hypothesis.settings(
    max_examples=40,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    # Failing examples are not shrunk, as that can take minutes.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)


class ReplicationFuzzTest(unittest.TestCase):
    def test_hypothesis_machine(self):
        stateful.run_state_machine_as_test(
            ReplicationMachine, settings=SETTINGS
        )

    def test_random_runs(self):
        for size, seed in ((3, 1), (3, 2), (5, 3)):
            with self.subTest(size=size, seed=seed):
                run(seed, size, 6000)


def run(seed, size, moves, mutate_replica=None):
    driver = control_driver.ControlDriver(seed, size, mutate_replica)
    for _ in range(moves):
        driver.random_move()
    driver.settle_down()
    driver.check_agreement()
    return driver


def vote_with_new_disk(replica):
    """Let a replica with a new disk vote before it is readmitted."""
    replica.admitted_index = 0
    replica.state.admitted[replica.cfg.replica_id] = replica.incarnation
    list(replication._check_admission(replica, 0))


def extend_lease(replica):
    """Make the lease longer than the time for which votes are refused."""
    object.__setattr__(replica.cfg, "lease_ms", 4000)


def vote_for_anyone(rep, request):
    """Vote without comparing the candidate's log."""
    if request.pre:
        return request.term > rep.term
    return request.term == rep.term and rep.voted_for in ("", request.sender)


def accept_any_base(state, entry):
    """Accept submitted tables regardless of their base version."""
    command = dataclasses.replace(
        entry.command, base_version=state.view.version
    )
    changed_entry = dataclasses.replace(entry, command=command)
    return ORIGINAL_SUBMIT(state, changed_entry)


def forget_submissions(state, entry):
    """Evaluate a resent submission again."""
    state.submissions.clear()
    return ORIGINAL_SUBMIT(state, entry)


def grant_every_key(_table, index, _command):
    """Grant every key, also one that another request holds."""
    return commands.KeyGranted(index)


def skip_entry_writes(self, effect):
    """Lose log entries that have been acknowledged."""
    if not isinstance(effect, msgs.PersistEntries):
        ORIGINAL_WRITE(self, effect)


ORIGINAL_SUBMIT = control_state._submit_tables
ORIGINAL_WRITE = control_driver.Disk.write
DETECTED_ERRORS = (
    AssertionError,
    replication.CommittedEntryConflictError,
    IndexError,
)


class FaultInjectionTest(unittest.TestCase):
    """The driver must detect each deliberately introduced defect."""

    def assert_detected(self, mutate_replica=None, patches=()):
        with contextlib.ExitStack() as stack:
            for owner, name, value in patches:
                stack.enter_context(mock.patch.object(owner, name, value))
            for seed in range(60):
                try:
                    run(seed, 3, 4000, mutate_replica)
                except DETECTED_ERRORS:
                    return
        self.fail("the driver did not detect the defect")

    def test_lease_longer_than_election_timeout(self):
        self.assert_detected(extend_lease)

    def test_new_disk_votes_without_readmission(self):
        self.assert_detected(vote_with_new_disk)

    def test_quorum_too_small(self):
        self.assert_detected(patches=[(replica_state, "quorum", lambda _: 1)])

    def test_vote_without_comparing_logs(self):
        mutant = (replication, "_may_vote", vote_for_anyone)
        self.assert_detected(patches=[mutant])

    def test_acknowledged_before_synced(self):
        mutant = (control_driver.Disk, "write", skip_entry_writes)
        self.assert_detected(patches=[mutant])

    def test_no_compare_and_set(self):
        mutant = (control_state, "_submit_tables", accept_any_base)
        self.assert_detected(patches=[mutant])

    def test_resend_evaluated_again(self):
        mutant = (control_state, "_submit_tables", forget_submissions)
        self.assert_detected(patches=[mutant])

    def test_key_granted_twice(self):
        self.assert_detected(
            patches=[(idempotency, "reserve", grant_every_key)]
        )


class ForwardTest(unittest.TestCase):
    def test_proposal_forwarded_to_a_dead_leader_is_answered(self):
        """Guard against a proposal that is never answered.

        The process that made the proposal waited forever after its replica
        had forwarded the proposal to a leader that was down.
        """
        driver = control_driver.ControlDriver(1)
        driver.settle_down(3000)
        leader = next(
            name
            for name, node in driver.nodes.items()
            if node.replica.phase == "leader"
        )
        follower = next(n for n in driver.names if n != leader)
        driver.kill(leader)
        answers = []
        with mock.patch.object(driver, "check_answer", answers.append):
            driver.reserve(follower, "k", "r")
            for _ in range(100):
                driver.advance(20)
                while driver.in_flight:
                    driver.deliver(0)
        self.assertIsInstance(answers[0].result, commands.Unavailable)
