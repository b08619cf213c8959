"""Test of the configuration cost measurement at small sizes."""

import testtools

from borageworks_emulator.slopes_catalog import measure_catalog


class MeasureCatalogTest(testtools.TestCase):
    def test_measured_sizes_grow_with_the_configuration(self):
        """Guards against a measurement that does not include the objects."""
        small, large = measure_catalog((100, 400))
        self.assertEqual((100 + 42 + 15, 400 + 42 + 60), (small.objects, large.objects))
        self.assertGreater(large.full_bytes, 2 * small.full_bytes)
        self.assertGreater(large.replica_bytes, 2 * small.replica_bytes)
        self.assertEqual(small.push_bytes, large.push_bytes)
