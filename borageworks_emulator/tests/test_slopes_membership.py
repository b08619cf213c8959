"""Tests of the membership measurement."""

from testtools import TestCase

from borageworks_emulator.slopes_membership import measure_size


class MeasureSizeTests(TestCase):
    def test_small_fleet_detects_every_death(self):
        """Guards against results of a fleet that failed or was not measured."""
        slope = measure_size(18, domains=3, deaths=4)
        self.assertEqual((18, 3, 0), (slope.members, slope.domains, slope.false_deaths))
        self.assertEqual(4, len(slope.detection_intervals))
        # Probe timeout and suspicion take 2.6 intervals of simulated time.
        self.assertTrue(
            all(2.6 <= interval < 9 for interval in slope.detection_intervals)
        )
        for first_member, domain_members, all_members in zip(
            slope.detection_intervals,
            slope.domain_agreed_intervals,
            slope.death_agreed_intervals,
            strict=True,
        ):
            self.assertTrue(first_member <= domain_members <= all_members < 15)
        self.assertTrue(0 < slope.bytes_per_s < 11_000)
        self.assertTrue(slope.largest_packet_bytes <= 1200)
        self.assertTrue(slope.state_machine_cpu > 0 < slope.codec_cpu)
