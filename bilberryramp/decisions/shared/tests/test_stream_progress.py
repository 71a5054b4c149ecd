import random
import unittest

from bilberryramp.decisions.shared import stream_progress

EVENTS = [
    f"id: {number}\ndata: w{number}\n\n".encode() for number in range(20)
]


def events_after(last_id):
    """Return the bytes that an engine sends when a stream is resumed."""
    return b"".join(EVENTS[int(last_id) + 1 :])


class StreamProgressTest(unittest.TestCase):
    def test_stream_broken_at_any_byte_is_forwarded_once(self):
        stream = b"".join(EVENTS)
        for broken_at in range(len(EVENTS[0]), len(stream) + 1):
            progress = stream_progress.StreamProgress()
            forwarded = stream_progress.record(progress, stream[:broken_at])
            self.assertTrue(stream_progress.can_resume(progress))
            stream_progress.start_resume(progress)
            forwarded += stream_progress.record(
                progress, events_after(progress.last_id)
            )
            self.assertEqual(forwarded, stream)

    def test_stream_broken_repeatedly_is_forwarded_once(self):
        rng = random.Random(3)
        for _ in range(200):
            progress, forwarded = stream_progress.StreamProgress(), b""
            forwarded += stream_progress.record(progress, EVENTS[0])
            for _ in range(5):
                stream_progress.start_resume(progress)
                unsent = events_after(progress.last_id)
                while unsent and rng.random() < 0.8:
                    size = rng.randrange(1, 40)
                    forwarded += stream_progress.record(
                        progress, unsent[:size]
                    )
                    unsent = unsent[size:]
            stream_progress.start_resume(progress)
            forwarded += stream_progress.record(
                progress, events_after(progress.last_id)
            )
            self.assertEqual(forwarded, b"".join(EVENTS))

    def test_resumed_stream_with_other_bytes_diverges(self):
        progress = stream_progress.StreamProgress()
        stream_progress.record(progress, EVENTS[0] + EVENTS[1][:9])
        stream_progress.start_resume(progress)
        stream_progress.record(progress, EVENTS[2])
        self.assertTrue(progress.diverged)

    def test_stream_without_ids_cannot_be_resumed(self):
        progress = stream_progress.StreamProgress()
        stream_progress.record(progress, b"data: w0\n\ndata: w1\n\n")
        self.assertFalse(stream_progress.can_resume(progress))
