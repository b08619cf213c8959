"""Lists the modules that read the time of day."""

import re
from pathlib import Path

from testtools import TestCase

import borageworks

ROOT = Path(borageworks.__file__).parent
TIME_OF_DAY = re.compile(r"\btime\.time(_ns)?\(|datetime\.(now|today|utcnow)\(")
# Incarnations of routers, which their gossip orders; a member that meets a higher one
# of itself exceeds it.
ALLOWED = {"membership/gossip.py", "router/router.py"}


class TimeOfDayTest(TestCase):
    def test_only_listed_modules_read_the_time_of_day(self):
        """Guards against decisions that depend on a clock which may jump."""
        readers = {
            str(path.relative_to(ROOT))
            for path in ROOT.rglob("*.py")
            if "tests" not in path.parts and TIME_OF_DAY.search(path.read_text())
        }
        self.assertEqual(ALLOWED, readers)
