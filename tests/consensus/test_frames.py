from testtools import TestCase

from arbutuscleat.consensus import DamagedFileError
from arbutuscleat.consensus.frames import frame, read_frames

PAYLOADS = [b"first", b"", b"third" * 100]


class FramesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.frames = [frame(payload) for payload in PAYLOADS]
        self.data = b"".join(self.frames)

    def test_reads_what_was_written(self):
        self.assertEqual((PAYLOADS, len(self.data)), read_frames(self.data, "log"))

    def test_a_last_frame_torn_at_any_byte_is_dropped(self):
        kept = len(self.frames[0]) + len(self.frames[1])
        for size in range(kept, len(self.data)):
            payloads, valid_size = read_frames(self.data[:size], "log")
            self.assertEqual((PAYLOADS[:2], kept), (payloads, valid_size), size)

    def test_a_flipped_bit_before_the_last_frame_is_reported_as_damage(self):
        for position in range(len(self.frames[0]) + len(self.frames[1])):
            data = bytearray(self.data)
            data[position] ^= 0x40
            self.assertRaises(DamagedFileError, read_frames, bytes(data), "log")
