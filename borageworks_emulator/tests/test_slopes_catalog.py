"""Test of the configuration measurement at a small size."""

import testtools

from borageworks_emulator.slopes_catalog import measure_catalog


class MeasureCatalogTest(testtools.TestCase):
    def test_sizes_grow_with_the_configuration(self):
        """Guards against a measurement that leaves out the objects."""
        small, large = measure_catalog((100, 400))
        self.assertEqual((100 + 42 + 15, 400 + 42 + 60), (small.objects, large.objects))
        self.assertGreater(large.full_bytes, 2 * small.full_bytes)
        self.assertGreater(large.replica_bytes, 2 * small.replica_bytes)
        self.assertEqual(small.push_bytes, large.push_bytes)
