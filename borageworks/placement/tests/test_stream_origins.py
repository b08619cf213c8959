"""Tests of what is known of the engines that began streams."""

from testtools import TestCase

from borageworks.placement import stream_origins
from borageworks.placement.software_history import SoftwareHistory
from borageworks.placement.stream_origins import (
    CONFLICTING,
    StreamOrigins,
    stream_id,
)

S1, S2 = (stream_id("o", "engines", name) for name in ("a1", "a2"))


def version(origins, now, stream):
    """Return the version of a stream that is known."""
    origin = origins.find(now, stream)
    assert origin is not None
    return origin.version


class StreamOriginsTest(TestCase):
    def test_stream_is_known_while_its_caller_may_resume_it(self):
        """Guards against memory that grows with each stream ever begun."""
        origins = StreamOrigins()
        origins.record(0.0, S1, "v1", 10.0, "engines/0")
        self.assertEqual("v1", version(origins, 9.0, S1))
        self.assertIsNone(origins.find(11.0, S1))
        origins.record(20.0, S2, "v1", 10.0, "engines/0")
        self.assertEqual(1, origins.count)

    def test_number_of_streams_is_bounded(self):
        """Guards against memory that grows with the load."""
        self.patch(stream_origins, "MAX_STREAMS", 4)
        origins = StreamOrigins()
        for number in range(9):
            origins.record(0.0, bytes([number]), "v1", 10.0, "engines/0")
        self.assertTrue(origins.count <= 4, origins.count)
        self.assertIsNone(origins.find(0.0, bytes([0])))
        self.assertIsNotNone(origins.find(0.0, bytes([8])))

    def test_stream_of_which_two_versions_are_told_is_not_resumed(self):
        """Guards against a guess between two records of one stream."""
        origins = StreamOrigins()
        origins.record(0.0, S1, "v1", 10.0, "engines/0")
        origins.learn(1.0, S1, "v2", 10.0, "store")
        self.assertEqual(CONFLICTING, version(origins, 2.0, S1))

    def test_others_are_told_each_stream_once(self):
        """Guards against streams that only one instance knows of."""
        told: list[bytes] = []
        origins = StreamOrigins()
        origins.attach(lambda stream, _origin: told.append(stream))
        for _ in range(2):
            origins.record(0.0, S1, "v1", 10.0, "engines/0")
        origins.learn(0.0, S2, "v1", 10.0, "store")
        self.assertEqual([S1], told)
        # An owner records what it has only known as an entry instance so far.
        origins.record(0.0, S2, "v1", 10.0, "engines/0")
        self.assertEqual([S1, S2], told)

    def test_attempt_of_another_organisation_names_another_stream(self):
        """Guards against callers that learn of others' streams."""
        ids = {
            stream_id(organisation, service, "a1")
            for organisation in ("o", "p", None)
            for service in ("engines", "desk")
        }
        self.assertEqual(6, len(ids))


class SoftwareHistoryTest(TestCase):
    def history(self, *, complete=True):
        return SoftwareHistory(0.0, 60.0, complete=complete)

    def test_version_counts_after_its_last_engine_has_gone(self):
        """Guards against streams of a former version that go on at the present one."""
        history = self.history()
        history.record_listed(0.0, ["v1"])
        self.assertEqual("v1", history.only_version(500.0))
        history.record_listed(500.0, ["v1", "v2"])
        self.assertIsNone(history.only_version(500.0))
        history.record_listed(510.0, ["v2"])
        self.assertIsNone(history.only_version(569.0))
        self.assertEqual("v2", history.only_version(571.0))

    def test_instance_that_starts_knows_nothing_of_before(self):
        """Guards against a guess from the engines that are left after a restart."""
        history = self.history(complete=False)
        history.record_listed(0.0, ["v2"])
        self.assertIsNone(history.only_version(59.0))
        self.assertEqual("v2", history.only_version(61.0))

    def test_instance_that_starts_learns_former_versions_from_the_store(self):
        """Guards against a restart that forgets a version whose engines have gone."""
        history = self.history(complete=False)
        history.apply_stored(0.0, ["v1", "v2"])
        history.record_listed(0.0, ["v2"])
        self.assertIsNone(history.only_version(59.0))
        history = self.history(complete=False)
        history.apply_stored(0.0, ["v2"])
        history.record_listed(0.0, ["v2"])
        self.assertEqual("v2", history.only_version(1.0))
        # The history of an older copy of the store.
        history.apply_stored(2.0, ["v1"])
        self.assertIsNone(history.only_version(2.0))

    def test_engines_that_name_no_version_may_differ(self):
        """Guards against streams joined from engines of unknown versions."""
        history = self.history()
        history.record_listed(0.0, [""])
        self.assertIsNone(history.only_version(1.0))
