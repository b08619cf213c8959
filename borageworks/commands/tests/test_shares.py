"""Tests of `borageworks shares`."""

from click.testing import CliRunner
from testtools import TestCase

from borageworks.__main__ import cli
from borageworks.commands.tests.test_explain import log_line
from borageworks.events import Event


def share_line(timestamp, amounts):
    """Return a line of event 415 that names one organisation."""
    return log_line(
        Event.ORGANISATION_SHARES,
        timestamp,
        service="llm",
        shard=0,
        even_share=100,
        best_served=130,
        organisations={"o": amounts},
    )


class SharesTest(TestCase):
    def test_sums_what_was_owed_and_names_who_refused(self):
        """Guards against logs that do not tell who kept an organisation's share."""
        lines = [
            share_line(12.5, [100, 150, 40, 60, 50, 100]),
            share_line(13.5, [100, 100, 60, 40, 0, 40]),
            share_line(99.0, [100, 100, 0, 100, 0, 0]),
            log_line(
                Event.ORGANISATIONS_REFUSED,
                13.0,
                "edge-2",
                part="callers",
                organisations={"o": [10, 9], "p": [5, 5]},
                not_admitted={"o": 7},
            ),
            # A line without the field does not tell who refused.
            log_line(
                Event.ORGANISATIONS_REFUSED,
                13.5,
                "edge-2",
                part="callers",
                organisations={"o": [10, 9]},
            ),
            log_line(Event.ORGANISATION_SHARES, 13.9, organisations={"o": ["x"]}),
            b"no event",
        ]
        result = CliRunner().invoke(
            cli, ["shares", "o", "--until", "20"], input=b"\n".join(lines)
        )
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn("llm/0: got 100 of 200 owed (0.50)", result.stdout)
        self.assertIn("refused 100 on arrival and 50 after a wait", result.stdout)
        self.assertIn("llm/0: the best served got 260", result.stdout)
        self.assertIn("entry: refused 7 of 10 requests", result.stdout)
        self.assertIn("edge-2", result.stdout)

    def test_organisation_without_refusals(self):
        """Guards against an empty table that looks like a share that was kept."""
        result = CliRunner().invoke(cli, ["shares", "q"], input=b"")
        self.assertNotEqual(0, result.exit_code)
