import unittest

from bilberryramp.wire import errors, frames

STREAM = frames.HELLO + frames.PING + frames.encode(b"abc" * 99) + frames.PONG
EXPECTED = [
    (frames.Kind.HELLO, frames.HELLO[5:]),
    (frames.Kind.PING, b""),
    (frames.Kind.MESSAGE, b"abc" * 99),
    (frames.Kind.PONG, b""),
]


class FramesTest(unittest.TestCase):
    def test_frames_in_pieces_of_any_size(self):
        for size in (1, 2, 3, 5, 7, 64, len(STREAM)):
            decoder = frames.Decoder()
            taken = []
            for start in range(0, len(STREAM), size):
                piece = STREAM[start : start + size]
                taken += frames.feed(decoder, piece)
            self.assertEqual(taken, EXPECTED)
            self.assertFalse(decoder.buffer)

    def test_memory_is_held_only_for_bytes_that_arrived(self):
        decoder = frames.Decoder()
        head = frames.encode(b"")[:1] + (2**24).to_bytes(4, "big")
        self.assertEqual(len(list(frames.feed(decoder, frames.HELLO))), 1)
        self.assertEqual(list(frames.feed(decoder, head + b"x")), [])
        self.assertEqual(len(decoder.buffer), 6)

    def test_bytes_that_break_the_rules_are_refused(self):
        too_long = (frames.MAX_MESSAGE_BYTES + 1).to_bytes(4, "big")
        for data in (
            b"\0" * 5,
            frames.PING,
            frames.HELLO * 2,
            frames.HELLO[:5] + b"x" * 15,
            frames.HELLO + frames.encode(b"")[:1] + too_long,
            frames.HELLO + frames.PING[:1] + (1).to_bytes(4, "big"),
        ):
            with self.assertRaises(errors.MalformedMessageError):
                list(frames.feed(frames.Decoder(), data))


if __name__ == "__main__":
    unittest.main()
