"""The codec returns a batch or a fault for any input."""

import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools import TestCase

from lentilrill.ids import Incarnation, ProcessId, Revision
from lentilrill.inner import Batch, StateItems, decode, encode
from lentilrill.inner._codec import MAX_BATCH_BYTES
from lentilrill.store import Item


def a_batch(size_bytes: int) -> Batch:
    item = Item("state/document", b"x" * size_bytes, Revision(1))
    message = StateItems((item,), Revision(0), Revision(1))
    return Batch(ProcessId("ct-1"), Incarnation(1), "127.0.0.1:1", (message,))


class CodecTest(TestCase):
    def test_decoding_restores_the_encoded_batch(self) -> None:
        for size_bytes in (0, 100_000):
            batch = a_batch(size_bytes)
            self.assertEqual(Success(batch), decode(encode(batch)))

    def test_long_batches_are_compressed(self) -> None:
        self.assertLess(len(encode(a_batch(100_000))), 5_000)

    def test_a_decompression_bomb_is_rejected(self) -> None:
        # A faulty peer sends a few kilobytes that decompress to gigabytes. Without a bound on the
        # output, the process would run out of memory and lose all its requests.
        bomb = b"\x01" + zlib.compress(bytes(4 * MAX_BATCH_BYTES), 9)
        self.assertIsInstance(decode(bomb), Failure)

    @settings(derandomize=True, max_examples=500, database=None)
    @given(st.binary(max_size=200), st.sampled_from([b"", b"\x00", b"\x01", b"\x02"]))
    def test_any_bytes_decode_to_a_batch_or_a_fault(self, data: bytes, prefix: bytes) -> None:
        self.assertIsInstance(decode(prefix + data), (Success, Failure))
