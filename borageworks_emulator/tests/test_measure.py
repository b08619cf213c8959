"""Tests of the measure command without router processes."""

from unittest import mock

import orjson
import testtools
from click.testing import CliRunner

from borageworks.commands.measure import measure
from borageworks_emulator.analysis import Measures
from borageworks_emulator.report import Check, Result
from borageworks_emulator.scenarios import SCENARIOS


def _invoke(arguments, *, passed=True):
    async def run(scenario, options):
        result = Result(
            scenario.name,
            options.topology.name,
            options.seed,
            options.routers,
            options.duration_s,
            Measures(answers=1),
        )
        result.checks = [Check("doubled", 0 if passed else 1, 0, passed)]
        return result

    with mock.patch("borageworks.commands.measure.run_scenario", run):
        return CliRunner().invoke(measure, arguments)


class MeasureTest(testtools.TestCase):
    def test_list_names_every_scenario(self):
        """Guards against a scenario that `--list` omits."""
        outcome = _invoke(["--list"])
        self.assertEqual(0, outcome.exit_code, outcome.output)
        for name in SCENARIOS:
            self.assertIn(name, outcome.stdout)

    def test_json_is_the_only_text_on_standard_output(self):
        """Guards against a table in output that is parsed as JSON."""
        outcome = _invoke(
            [
                "steady",
                "--seed",
                "7",
                "--routers",
                "3",
                "--duration",
                "2",
                "--json",
                "-",
            ]
        )
        self.assertEqual(0, outcome.exit_code, outcome.output)
        document = orjson.loads(outcome.stdout)
        self.assertEqual(
            (7, 3, 2.0),
            tuple(document[name] for name in ("seed", "routers", "duration_s")),
        )

    def test_missed_target_is_named_and_exits_with_1(self):
        """Guards against a missed target that exits with status 0."""
        outcome = _invoke(["steady"], passed=False)
        self.assertEqual(1, outcome.exit_code)
        self.assertIn("MISSED  doubled", outcome.stdout)

    def test_repeat_runs_consecutive_seeds(self):
        """Guards against a median over runs with the same seed."""
        outcome = _invoke(["steady", "--repeat", "3", "--json", "-"])
        self.assertEqual(0, outcome.exit_code, outcome.output)
        seeds = [document["seed"] for document in orjson.loads(outcome.stdout)]
        self.assertEqual([1, 2, 3], seeds)
