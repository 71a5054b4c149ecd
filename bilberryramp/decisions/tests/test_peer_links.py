import unittest

from bilberryramp.decisions.shared import peer_links
from bilberryramp.decisions.tests import builders


def open_link() -> peer_links.Link:
    chart = builders.bind_chart("peer_link", peer_links)
    link = peer_links.Link("a:1", chart)
    list(peer_links.report(link, "opened", 0))
    return link


class QueueTest(unittest.TestCase):
    def test_oldest_frames_make_room_beyond_the_bound_in_messages(self):
        link = open_link()
        for number in range(peer_links.QUEUE_LIMIT_MESSAGES + 5):
            peer_links.push(link, b"%3d" % number)
        self.assertEqual(link.dropped, 5)
        self.assertEqual(link.queue[0], b"  5")

    def test_oldest_frames_make_room_beyond_the_bound_in_bytes(self):
        link = open_link()
        half = bytes(peer_links.QUEUE_LIMIT_BYTES // 2)
        for _ in range(5):
            peer_links.push(link, half)
        self.assertEqual((link.dropped, len(link.queue)), (3, 2))

    def test_one_frame_of_any_size_fits_beside_small_ones(self):
        link = open_link()
        large = bytes(9 * peer_links.QUEUE_LIMIT_BYTES)
        for frame in (large, b"a", b"b"):
            peer_links.push(link, frame)
        self.assertEqual(link.dropped, 0)
        batches = [peer_links.take_batch(link) for _ in range(3)]
        self.assertEqual(batches, [large, b"ab", b""])
        self.assertEqual(link.queued_bytes, 0)


class KeepAliveTest(unittest.TestCase):
    def ticks_until(self, link, verdict):
        for count in range(1, 100):
            if peer_links.tick(link) is verdict:
                return count
        return None

    def test_silent_peer_is_found_in_the_time_promised(self):
        link = open_link()
        ticks = self.ticks_until(link, peer_links.Verdict.DEAD)
        self.assertLessEqual(ticks * peer_links.TICK_MS, 1200)

    def test_peer_that_answers_is_pinged_and_lives(self):
        link = open_link()
        for _ in range(50):
            self.assertEqual(
                self.ticks_until(link, peer_links.Verdict.PING), 2
            )
            peer_links.hear(link)

    def test_blocked_write_needs_progress(self):
        link = open_link()
        link.is_blocked = True
        for _ in range(9):
            for _ in range(5):
                verdict = peer_links.tick(link)
                self.assertIs(verdict, peer_links.Verdict.NONE)
            peer_links.hear(link)
        ticks = self.ticks_until(link, peer_links.Verdict.DEAD)
        self.assertEqual(ticks * peer_links.TICK_MS, 1200)

    def test_delay_of_reopening_grows_to_its_bound(self):
        link = open_link()
        delays = []
        for _ in range(5):
            effects = peer_links.report(link, "ended", 0)
            delays += [effect.delay_ms for effect in effects]
            self.assertFalse(peer_links.push(link, b"outdated"))
            list(peer_links.report(link, "delay_over", 0))
        self.assertEqual(delays, [80, 160, 320, 500, 500])
        self.assertEqual(link.dropped, 5)


if __name__ == "__main__":
    unittest.main()
