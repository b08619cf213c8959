"""Test of the demo command, with real routers in this process."""

import orjson
import testtools
from click.testing import CliRunner

from borageworks.commands.demo import DEMO_TOPOLOGY, demo


class DemoTest(testtools.TestCase):
    def test_demo_serves_every_organisation(self):
        """Guards against a demo that breaks when the modules it uses change."""
        outcome = CliRunner().invoke(demo, ["--duration", "2", "--json", "-"])
        self.assertEqual(0, outcome.exit_code, outcome.output)
        document = orjson.loads(outcome.stdout)
        self.assertTrue(document["answers"] > 0)
        self.assertEqual((0, 0), (document["wrong"], document["doubled"]))
        self.assertEqual(set(DEMO_TOPOLOGY.shares), set(document["service"]["models"]))
        self.assertIn("fairness gap", outcome.stderr)
