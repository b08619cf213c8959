"""Tests of what organisations got lately."""

import math

from testtools import TestCase

from borageworks.placement.recent_service import RecentService

WINDOW_S = 1.0


class RecentServiceTest(TestCase):
    def test_amounts_fade_at_the_same_rate_however_often_they_are_aged(self):
        """Guards against an order that changes while nothing is served."""
        service = RecentService(WINDOW_S)
        service.add(0.0, "first", 1000.0)
        service.add(0.5, "second", 800.0)
        for now in (1.0, 10.0, 40.0, 41.0, 80.0):
            service.add(now, "other", 1.0)
            first = service.amount(now, "first")
            if now < 20.0:
                self.assertTrue(math.isclose(first, 1000.0 * math.exp(-now)))
            self.assertTrue(first <= service.amount(now, "second"))

    def test_organisations_that_got_nothing_lately_are_forgotten(self):
        """Guards against memory that grows with all organisations ever served."""
        service = RecentService(WINDOW_S)
        for number in range(1000):
            service.add(float(number), f"o-{number}", 1e6)
        self.assertTrue(len(service.largest(1000.0, 1000)) < 100)
        self.assertTrue(math.isfinite(service.amount(1000.0, "o-999")))

    def test_the_largest_come_first(self):
        """Guards against a report that hides who is served last."""
        service = RecentService(WINDOW_S)
        service.add(0.0, "early", 1000.0)
        service.add(3.0, "late", 900.0)
        self.assertEqual(["late"], list(service.largest(3.0, 1)))
