"""Tests for reading a configuration with the places of its faults."""

import dataclasses

import orjson
from testtools import TestCase

from borageworks.gateway.deployment import CallerLimits, EngineProfile, ServiceProfile
from borageworks.gateway.route import Route, Target
from borageworks.platform import configuration as models
from borageworks.platform.configuration_reader import (
    FIELD_NAMES,
    read_configuration,
    resembles_configuration,
)
from borageworks_emulator.platform.harness import configuration


class ReaderTest(TestCase):
    def test_all_faults_are_reported_with_their_places(self):
        """Guards against reporting only the first fault of a configuration."""
        body = configuration()
        del body["routes"][0]["hostname"]
        body["routes"][1]["prefix"] = "a"
        body["services"][0]["engine"]["slots"] = "many"
        reading = read_configuration(orjson.dumps(body))
        self.assertIsNone(reading.listing)
        places = ["$.routes[0].hostname", "$.routes[1].prefix"]
        places.append("$.services[0].engine.slots")
        self.assertEqual(places, [item.place for item in reading.findings])

    def test_malformed_text_has_line_and_column(self):
        """Guards against a fault that operators cannot locate."""
        (finding,) = read_configuration(b'{"version": 1,\n "routes" []}').findings
        self.assertIn("line 2 column 11", finding.message)

    def test_unknown_fields_are_reported_only_on_request(self):
        """Guards against findings for fields that newer versions know."""
        body = configuration()
        body["routes"][0]["odd name"] = 1
        data = orjson.dumps(body)
        self.assertEqual((), read_configuration(data).findings)
        reading = read_configuration(data, strict=True)
        self.assertIsNotNone(reading.listing)
        (finding,) = reading.findings
        self.assertEqual('$.routes[0]["odd name"]', finding.place)
        self.assertEqual("information", finding.severity)

    def test_repeated_member_is_reported(self):
        """Guards against a list that a second one of the same name replaces."""
        text = orjson.dumps(configuration())
        for old, new, place in (
            (b'"limits"', b'"routes":[],"limits"', "$.routes"),
            (b'"public":true', b'"public":true,"public":true', "$.routes[4].public"),
        ):
            findings = read_configuration(text.replace(old, new)).findings
            found = [(item.code, item.place) for item in findings]
            self.assertEqual([("duplicate_member", place)], found)

    def test_all_fields_of_the_deployment_have_a_place(self):
        """Guards against a new field whose place is not one of the configuration."""
        for data_class, model in (
            (Route, models._Route),
            (Target, models._Split),
            (ServiceProfile, models._Service),
            (EngineProfile, models._Engine),
            (CallerLimits, models._Limits),
        ):
            names = {field.name for field in dataclasses.fields(data_class)}
            # Its place depends on the type of the route.
            names.discard("retry_policy")
            translated = {FIELD_NAMES.get(name, name) for name in names}
            self.assertEqual(set(), translated - model.model_fields.keys())

    def test_configuration_is_recognised_by_its_members(self):
        """Guards against settings that are checked as a configuration."""
        others = frozenset(("instance", "listen"))
        for data, expected in (
            (b'{"routes": 1}', True),
            (b'{"routes": [', True),
            (b'{"instance": 1, "version": 1}', False),
            (b"{", False),
            (b"[]", False),
            (b'"\xff', False),
        ):
            resembles = resembles_configuration(data, others)
            self.assertEqual((data, expected), (data, resembles))
