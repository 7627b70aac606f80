"""Decimal numbers in texts from outside."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.numbers import decimal_in


class DecimalTest(TestCase):
    def test_only_plain_digits_in_range_are_a_number(self) -> None:
        """Guards against a request that fails with an unexpected error over a number's text."""
        self.assertEqual(
            [0, 7, 10, 7], [decimal_in(text, 0, 10) for text in ("0", "7", "10", "007")]
        )
        for text in ("", "11", "-1", "+1", " 1", "1_0", "1.0", "²", "٣", "x", "9" * 5000):
            self.assertIsNone(decimal_in(text, 0, 10), text[:9])
        self.assertEqual(1, decimal_in("0" * 5000 + "1", 0, 10))
        self.assertIsNone(decimal_in("0", 1, 10))

    @given(st.text(), st.integers(0, 10**30))
    def test_any_text_is_a_number_in_range_or_none(self, text: str, high: int) -> None:
        value = decimal_in(text, 0, high)
        self.assertTrue(value is None or 0 <= value <= high)

    @given(st.integers(0, 10**30))
    def test_each_number_in_range_is_read(self, value: int) -> None:
        self.assertEqual(value, decimal_in(str(value), 0, value))
