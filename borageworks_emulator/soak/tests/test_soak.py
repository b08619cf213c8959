"""Tests of fault planning and of a complete soak with gateway processes."""

import random
import tempfile
from pathlib import Path

import orjson
from click.testing import CliRunner
from testtools import TestCase

from borageworks.__main__ import cli
from borageworks_emulator.soak.fault_planner import FaultPlanner
from borageworks_emulator.soak.faults import Fault

DOMAINS = {"edge-0": "a", "edge-1": "b", "edge-2": "a"}
ENDPOINTS = ("engine-0", "desk-0")
SHORT_MINUTES = 0.15


class FaultPlannerTest(TestCase):
    def draw_plan(self, seed, duration_s=60.0):
        return FaultPlanner(random.Random(seed), DOMAINS, ENDPOINTS).draw(duration_s)

    def test_same_seed_gives_the_same_plan(self):
        self.assertEqual(self.draw_plan(7), self.draw_plan(7))
        self.assertNotEqual(self.draw_plan(7), self.draw_plan(8))

    def test_every_kind_of_fault_is_drawn(self):
        kinds = {
            type(item.fault) for seed in range(40) for item in self.draw_plan(seed)
        }
        self.assertEqual(set(Fault.__args__), kinds)

    def test_faults_start_within_the_duration_and_name_participants(self):
        for planned in self.draw_plan(3, 20.0):
            self.assertTrue(0.0 <= planned.at_s < 20.0)
            for name in ("gateways", "sources", "targets"):
                named = set(getattr(planned.fault, name, ()))
                self.assertTrue(named <= {*DOMAINS, *ENDPOINTS, "store"})


class SoakTest(TestCase):
    def test_short_soak_meets_all_guarantees(self):
        """Guards against failures that only combinations of faults cause."""
        with tempfile.TemporaryDirectory() as directory:
            result = CliRunner().invoke(
                cli,
                [
                    "soak",
                    "--seed=1",
                    f"--minutes={SHORT_MINUTES}",
                    "--gateways=4",
                    f"--directory={directory}",
                ],
            )
            self.assertEqual(0, result.exit_code, result.output)
            report = orjson.loads((Path(directory) / "1" / "report.json").read_bytes())
        self.assertEqual([], report["broken"])
        self.assertIsNotNone(report["recovery_s"])
