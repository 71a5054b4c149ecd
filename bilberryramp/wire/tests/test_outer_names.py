import dataclasses
import unittest

from bilberryramp.decisions.control import (
    control_state,
    idempotency,
    replication_messages,
)
from bilberryramp.decisions.fleet.register import register_messages
from bilberryramp.decisions.shared import (
    call_messages,
    commands,
    errors,
    feed_messages,
    tables,
    views,
)
from bilberryramp.decisions.upstream import admission
from bilberryramp.wire import outer_names

# Modules whose dataclasses are all messages or parts of messages.
CODEC_MODULES = (
    admission,
    call_messages,
    commands,
    control_state,
    errors,
    feed_messages,
    idempotency,
    replication_messages,
    tables,
    views,
)
# Dataclasses that `fleet_codec` encodes only as fields of other messages.
NESTED_IN_REGISTER_MESSAGES = {
    register_messages.Member,
    register_messages.Peer,
    register_messages.Record,
    register_messages.PersistentState,
}
# The names as they appear on the wire and in stored files.
CODEC_NAMES = {
    "Answer",
    "AnswerBroken",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerHead",
    "Append",
    "AppendReply",
    "Applied",
    "Ask",
    "AskReply",
    "CallFailure",
    "Cancel",
    "ChangeTables",
    "ControlState",
    "Credit",
    "Delta",
    "Digest",
    "Dispatch",
    "Done",
    "DrainUpstream",
    "Entry",
    "FinishKey",
    "Forward",
    "ForwardReply",
    "HardState",
    "Heartbeat",
    "InstallSnapshot",
    "Item",
    "JoinUpstream",
    "KeptAnswer",
    "KeyGranted",
    "KeyKept",
    "KeyRecord",
    "KeyRefused",
    "KeyTable",
    "LeaderChanged",
    "Load",
    "Noop",
    "PersistEntries",
    "PersistHardState",
    "PersistSnapshot",
    "Ping",
    "PlaceReplicas",
    "Placement",
    "Pong",
    "Pool",
    "Problem",
    "Propose",
    "QuarantineRecord",
    "Queue",
    "ReadmitReplica",
    "Refused",
    "ReleaseKey",
    "RemoveUpstream",
    "ReplicaPlace",
    "ReportStrike",
    "RequestVote",
    "LiftQuarantine",
    "ReserveKey",
    "Restored",
    "Route",
    "Settled",
    "Snapshot",
    "StopReplica",
    "Strike",
    "SubmitAccepted",
    "SubmitConflict",
    "SubmitRefused",
    "SubmitTables",
    "Tables",
    "TablesChange",
    "Tick",
    "TimeoutNow",
    "Unavailable",
    "Upstream",
    "UpstreamReport",
    "View",
    "VoteReply",
    "WholeView",
    "_Lane",
}
FLEET_CODEC_NAMES = {
    "AgentPresent",
    "Append",
    "AppendReply",
    "Beat",
    "Hold",
    "Holding",
    "KnownSuspects",
    "LeavingNotice",
    "LiftSuspect",
    "ListRequest",
    "LossReport",
    "MemoryAnswer",
    "MemoryClaim",
    "MemoryRelease",
    "Passed",
    "Pulse",
    "Relay",
    "RelayAck",
    "DepartureQuery",
    "UnknownDeparture",
    "Report",
    "RequestVote",
    "RunReport",
    "Settled",
    "SuspectDigest",
    "SuspectList",
    "TrialEnded",
    "TrialGrant",
    "TrialRequest",
    "UsageAnswer",
    "UsageAsk",
    "VoteReply",
    "WantModel",
}


def dataclasses_of(module):
    return {
        member
        for member in vars(module).values()
        if dataclasses.is_dataclass(member)
        and member.__module__ == module.__name__
    }


class OuterNamesTest(unittest.TestCase):
    """Tests that a renamed class keeps its name on the wire and on disk."""

    def test_every_class_of_the_message_modules_has_a_name(self):
        classes = set().union(*map(dataclasses_of, CODEC_MODULES))
        self.assertEqual(set(outer_names.CODEC_NAMES), classes)

    def test_every_register_message_has_a_name(self):
        messages = dataclasses_of(register_messages)
        messages -= NESTED_IN_REGISTER_MESSAGES
        self.assertEqual(messages - set(outer_names.FLEET_CODEC_NAMES), set())

    def test_names_are_unchanged_and_unique(self):
        cases = (
            (outer_names.CODEC_NAMES, CODEC_NAMES),
            (outer_names.FLEET_CODEC_NAMES, FLEET_CODEC_NAMES),
        )
        for table, expected in cases:
            self.assertEqual(set(table.values()), expected)
            self.assertEqual(len(table), len(expected))
