"""Tests of the log line that sums up refusals by organisation."""

from eliot.testing import capture_logging
from testtools import TestCase

from borageworks.gateway.organisation_tally import (
    NAMED_ORGANISATIONS,
    OrganisationTally,
)


class OrganisationTallyTest(TestCase):
    @capture_logging(None)
    def test_names_who_was_refused_most(self, logger):
        """Guards against an incident whose logs do not tell whom it hit."""
        tally = OrganisationTally("callers", "requests")
        for number in range(NAMED_ORGANISATIONS + 3):
            tally.ask(f"o{number:02}", 10)
        tally.refuse("o07", 4)
        tally.refuse("o18", 2)
        tally.report(lag_s=0.1)
        (line,) = logger.messages
        self.assertEqual(
            (409, 0.1, [10, 4], [10, 2]),
            (
                line["event"],
                line["lag_s"],
                line["organisations"]["o07"],
                line["organisations"]["o18"],
            ),
        )
        self.assertEqual(NAMED_ORGANISATIONS, len(line["organisations"]))
        self.assertEqual([3, 30, 0], line["others"])

    @capture_logging(None)
    def test_writes_nothing_while_nobody_is_refused(self, logger):
        """Guards against a line a second from each instance of a calm fleet."""
        tally = OrganisationTally("callers", "requests")
        tally.ask("o")
        tally.report()
        tally.refuse("o")
        tally.report()
        tally.report()
        self.assertEqual(1, len(logger.messages))
