"""Tests of the log line that summarises refusals by organisation."""

from eliot.testing import capture_logging
from testtools import TestCase

from borageworks.gateway.organisation_tally import (
    MAX_NAMED_ORGANISATIONS,
    OrganisationTally,
)


class OrganisationTallyTest(TestCase):
    @capture_logging(None)
    def test_names_organisations_with_most_refusals(self, logger):
        """Guards against logs that do not name the affected organisations."""
        tally = OrganisationTally("callers", "requests")
        for number in range(MAX_NAMED_ORGANISATIONS + 3):
            tally.record_requested(f"o{number:02}", 10)
        tally.record_refused("o07", 4)
        tally.record_refused("o18", 2)
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
        self.assertEqual(MAX_NAMED_ORGANISATIONS, len(line["organisations"]))
        self.assertEqual([3, 30, 0], line["others"])

    @capture_logging(None)
    def test_tells_refusals_of_admission_control_from_others(self, logger):
        """Guards against refusals of placement that look like an overloaded entry."""
        tally = OrganisationTally("callers", "requests")
        tally.record_requested("o", 5)
        tally.record_refused("o", 2)
        tally.record_refused("o", admitted=False)
        tally.record_refused("p")
        tally.report()
        (line,) = logger.messages
        self.assertEqual([5, 3], line["organisations"]["o"])
        self.assertEqual({"o": 1}, line["not_admitted"])

    @capture_logging(None)
    def test_logs_nothing_without_refusals(self, logger):
        """Guards against a log line a second from each instance without refusals."""
        tally = OrganisationTally("callers", "requests")
        tally.record_requested("o")
        tally.report()
        tally.record_refused("o")
        tally.report()
        tally.report()
        self.assertEqual(1, len(logger.messages))
