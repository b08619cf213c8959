"""Tests of the package metadata."""

import testtools

import borageworks


class PackageTest(testtools.TestCase):
    """Guards against a release without a version."""

    def test_version_is_set(self):
        self.assertEqual(3, len(borageworks.__version__.split(".")))
