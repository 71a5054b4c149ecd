import random
import unittest

from bilberryramp.decisions.shared import event_trail

EVENTS = [
    f"id: {number}\ndata: w{number}\n\n".encode() for number in range(20)
]


def after(last_id):
    """What an engine sends when asked to go on after an event."""
    return b"".join(EVENTS[int(last_id) + 1 :])


class TrailTest(unittest.TestCase):
    def test_stream_broken_anywhere_is_passed_on_once(self):
        whole = b"".join(EVENTS)
        for cut in range(len(EVENTS[0]), len(whole) + 1):
            trail = event_trail.Trail()
            passed = event_trail.note(trail, whole[:cut])
            self.assertTrue(event_trail.can_resume(trail))
            event_trail.note_resumed(trail)
            passed += event_trail.note(trail, after(trail.last_id))
            self.assertEqual(passed, whole)

    def test_stream_broken_again_and_again(self):
        rng = random.Random(3)
        for _ in range(200):
            trail, passed = event_trail.Trail(), b""
            passed += event_trail.note(trail, EVENTS[0])
            for _ in range(5):
                event_trail.note_resumed(trail)
                rest = after(trail.last_id)
                while rest and rng.random() < 0.8:
                    size = rng.randrange(1, 40)
                    passed += event_trail.note(trail, rest[:size])
                    rest = rest[size:]
            event_trail.note_resumed(trail)
            passed += event_trail.note(trail, after(trail.last_id))
            self.assertEqual(passed, b"".join(EVENTS))

    def test_event_that_comes_back_different_is_noticed(self):
        trail = event_trail.Trail()
        event_trail.note(trail, EVENTS[0] + EVENTS[1][:9])
        event_trail.note_resumed(trail)
        event_trail.note(trail, EVENTS[2])
        self.assertTrue(trail.changed)

    def test_stream_without_ids_cannot_be_resumed(self):
        trail = event_trail.Trail()
        event_trail.note(trail, b"data: w0\n\ndata: w1\n\n")
        self.assertFalse(event_trail.can_resume(trail))
