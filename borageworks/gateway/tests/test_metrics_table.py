"""Compares the metrics of the gateway with the operations page."""

import re
from pathlib import Path

from testtools import TestCase

import borageworks

ROOT = Path(borageworks.__file__).parent
PAGE = ROOT.parent / "docs" / "OPERATIONS.md"
# Metrics of packages shared with the routers are listed on the routers' page instead.
PACKAGES = ("gateway", "platform", "placement", "receiving")
METRIC_CALL = re.compile(r'metrics\.(count|gauge|observe)\(\s*"([a-z_]+)"')
SUFFIX = {"count": "_total", "gauge": "", "observe": "_seconds"}


class MetricsTableTest(TestCase):
    def test_every_metric_is_documented(self):
        """Guards against undocumented metrics."""
        page = PAGE.read_text()
        recorded = {
            name + SUFFIX[kind]
            for package in PACKAGES
            for path in (ROOT / package).rglob("*.py")
            if "tests" not in path.parts
            for kind, name in METRIC_CALL.findall(path.read_text())
        }
        self.assertTrue(len(recorded) > 20)
        undocumented = {name for name in recorded if f"`{name}" not in page}
        self.assertEqual(set(), undocumented)
