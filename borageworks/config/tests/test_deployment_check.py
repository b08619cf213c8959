"""Tests of the rules for a deployment and of the differences between two."""

import math
import re
from dataclasses import replace
from pathlib import Path

import orjson
from testtools import TestCase

from borageworks.config.deployment_check import check_deployment
from borageworks.config.deployment_diff import compare
from borageworks.config.finding import FindingCode, Severity
from borageworks.platform.configuration_reader import read_configuration
from borageworks.platform.settings import parse_settings
from borageworks_emulator.platform.harness import (
    API_KEY,
    ENGINE_SERVICE,
    HOST,
    PLAIN_SERVICE,
    configuration,
    settings_text,
)

DOCUMENTATION = Path(__file__).parents[3] / "docs" / "checking.md"
LOOK = 3


def document(version=1, **changes):
    body = configuration(version, **changes)
    for route in body["routes"]:
        route["max_attempts"] = 1
    return body


def listing_of(body):
    reading = read_configuration(orjson.dumps(body))
    assert reading.listing is not None, reading.findings
    return reading.listing


def found(findings):
    return [(str(item.code), str(item.severity), item.place) for item in findings]


class RulesTest(TestCase):
    def check(self, body, settings=None):
        reading = read_configuration(orjson.dumps(body))
        listing = listing_of(body)
        return found([*reading.findings, *check_deployment(listing, settings)])

    def check_change(self, expected, path, **changes):
        body = document()
        node = body
        for step in path:
            node = node[step]
        node.update(changes)
        self.assertEqual(expected, self.check(body))

    def test_sound_configuration_has_no_findings(self):
        """Guards against warnings that operators learn to ignore."""
        self.assertEqual([], self.check(document()))
        self.assertEqual([], self.check(document(tenants=None)))

    def test_faults_of_a_route(self):
        """Guards against a fault of a route that is missed or has a wrong place."""
        split = [{"service": PLAIN_SERVICE, "weight": 1}]
        none = {"service": ENGINE_SERVICE, "weight": 0}
        look = f"$.routes[{LOOK}]"
        for code, severity, place, changes in (
            ("no_target", "error", look, {"service": None}),
            ("unknown_service", "error", f"{look}.service", {"service": "s"}),
            ("duplicate_name", "warning", f"{look}.name", {"name": "book"}),
            ("host_unreachable", "warning", f"{look}.hostname", {"hostname": "h:80"}),
            ("host_unreachable", "warning", f"{look}.hostname", {"hostname": "*.h"}),
            ("prefix_unreachable", "warning", f"{look}.prefix", {"prefix": "/a b/"}),
            ("prefix_unreachable", "warning", f"{look}.prefix", {"prefix": "/?/"}),
            (
                "prefix_unreachable",
                "warning",
                f"{look}.prefix",
                {"prefix": f"/{'a' * 20_000}/"},
            ),
            ("value_ignored", "warning", f"{look}.resumable", {"resumable": True}),
            (
                "value_ignored",
                "warning",
                f"{look}.traffic_split",
                {"traffic_split": split},
            ),
            (
                "weight_zero",
                "warning",
                f"{look}.traffic_split[1].weight",
                {"service": None, "traffic_split": [*split, none]},
            ),
            ("prompt_without_engine", "warning", f"{look}.sticky", {"sticky": True}),
            (
                "stream_without_engine",
                "warning",
                f"{look}.route_type",
                {"route_type": "streaming"},
            ),
            (
                "latency_over_timeout",
                "warning",
                f"{look}.target_latency_ms",
                {"timeout_ms": 400},
            ),
            (
                "attempts_unused",
                "information",
                f"{look}.max_attempts",
                {"route_type": "non_idempotent", "max_attempts": 2},
            ),
        ):
            expected = [(code, severity, place)]
            self.check_change(expected, ("routes", LOOK), **changes)

    def test_effect_of_weight_zero(self):
        """Guards against a wrong statement of which targets get requests."""
        for weights, effect in (((1, 0), "no new requests"), ((0, 0), "equal parts")):
            body = document()
            body["routes"][LOOK]["traffic_split"] = [
                {"service": PLAIN_SERVICE, "weight": weight} for weight in weights
            ]
            del body["routes"][LOOK]["service"]
            findings = check_deployment(listing_of(body))
            self.assertEqual(weights.count(0), len(findings))
            self.assertIn(effect, findings[0].message)

    def test_replaced_route(self):
        """Guards against reporting the route that is used instead of the other one."""
        changes = {"prefix": "/book/", "hostname": HOST.upper()}
        expected = [("route_replaced", "error", "$.routes[2]")]
        self.check_change(expected, ("routes", LOOK), **changes)

    def test_faults_of_services_and_limits(self):
        """Guards against contradicting limits and duplicates that are missed."""
        engine = document()["services"][0]
        for code, severity, place, changes in (
            (
                "slots_over_connections",
                "warning",
                "$.services[0].engine.slots",
                {"services": [{**engine, "max_conns": 7}, {"name": PLAIN_SERVICE}]},
            ),
            (
                "service_unused",
                "warning",
                "$.services[2]",
                {"services": [*document()["services"], {"name": "new"}]},
            ),
            (
                "duplicate_name",
                "error",
                "$.services[2].name",
                {"services": [*document()["services"], engine]},
            ),
            (
                "header_limit_zero",
                "error",
                "$.limits.max_header_bytes",
                {"limits": {"max_header_bytes": 0}},
            ),
            (
                "body_limit_zero",
                "warning",
                "$.limits.max_body_bytes",
                {"limits": {"max_body_bytes": 0}},
            ),
        ):
            self.check_change([(code, severity, place)], (), **changes)
        unused = [
            ("service_unused", "warning", f"$.services[{index}]") for index in (0, 1)
        ]
        expected = [("no_routes", "warning", "$.routes"), *unused]
        self.check_change(expected, (), routes=[])

    def test_faults_of_organisations(self):
        """Guards against callers that are refused or charged to another one."""
        first = {"name": "workshop", "api_keys": [API_KEY]}
        for code, severity, place, second in (
            ("organisation_without_keys", "warning", "", {"name": "b"}),
            (
                "key_of_two_organisations",
                "error",
                ".api_keys[0]",
                {"name": "b", "api_keys": [API_KEY]},
            ),
            (
                "key_unusable",
                "warning",
                ".api_keys[0]",
                {"name": "b", "api_keys": [""]},
            ),
            (
                "duplicate_name",
                "warning",
                ".name",
                {"name": "workshop", "api_keys": ["k"]},
            ),
        ):
            expected = [(code, severity, f"$.tenants[1]{place}")]
            self.check_change(expected, (), tenants=[first, second])
        repeated = {**first, "api_keys": [API_KEY, API_KEY]}
        expected = [("duplicate_key", "warning", "$.tenants[0].api_keys[1]")]
        self.check_change(expected, (), tenants=[repeated])
        self.check_change([("no_keys", "error", "$.tenants")], (), tenants=[])
        body = document()
        for route in body["routes"]:
            route["public"] = True
        self.assertEqual([("keys_unused", "warning", "$.tenants")], self.check(body))

    def test_body_limit_over_the_memory_of_an_instance(self):
        """Guards against a body limit that an instance cannot hold."""
        settings = parse_settings(settings_text(("10.0.0.9", 8781), [1, 2, 3, 4]))
        limit = 4_194_304
        expected = [("body_limit_over_memory", "error", "$.limits.max_body_bytes")]
        for memory_bytes, findings in ((limit, expected), (math.inf, [])):
            settings = replace(settings, memory_bytes=memory_bytes)
            self.assertEqual(findings, self.check(document(), settings))

    def test_documentation_describes_each_code(self):
        """Guards against codes that operators cannot look up."""
        rows = re.findall(r"^\| `(\w+)` \| (\w+)", DOCUMENTATION.read_text(), re.M)
        self.assertEqual(sorted(FindingCode), sorted({code for code, _ in rows}))
        self.assertEqual(set(Severity), {severity for _, severity in rows})


class DifferencesTest(TestCase):
    def compare(self, old, new):
        return compare(listing_of(new), listing_of(old))

    def test_version_not_above_the_one_in_force(self):
        """Guards against a version that instances reject or cannot order."""
        changed = document(2, limits={"tokens_per_s": 5})
        for old, severities in (
            (document(3), ["error"]),
            (document(2), ["error"]),
            (changed, ["warning"]),
            (document(1), []),
        ):
            findings = [
                item
                for item in self.compare(old, changed)
                if item.code is FindingCode.VERSION_NOT_ABOVE
            ]
            self.assertEqual(severities, [item.severity for item in findings])

    def test_all_changes_have_place_and_values(self):
        """Guards against a change that is missed or shown with wrong units."""
        old, new = document(1), document(2)
        new["routes"][LOOK]["timeout_ms"] = 3500
        new["routes"][LOOK + 1]["name"] = "new"
        new["services"][0]["engine"]["kv_capacity"] = 7
        new["limits"] = {"tokens_per_s": 20_000, "idle_timeout_ms": 100}
        differences = [(str(item.code), item.place) for item in self.compare(old, new)]
        self.assertEqual(
            [
                ("removed", "$.routes"),
                ("changed", f"$.routes[{LOOK}].timeout_ms"),
                ("added", f"$.routes[{LOOK + 1}]"),
                ("changed", "$.services[0].engine.kv_capacity"),
                ("changed", "$.limits.idle_timeout_ms"),
            ],
            differences,
        )
        timeout = self.compare(old, new)[1]
        self.assertEqual(("3000 ms", "3500 ms"), (timeout.old, timeout.new))

    def test_keys_are_shown_as_hashes(self):
        """Guards against API keys in reports and missed changes of keys."""
        new = document(2, tenants=[{"name": "workshop", "api_keys": ["secret"]}])
        differences = self.compare(document(1), new)
        codes = [str(item.code) for item in differences]
        self.assertEqual(["removed", "added"], codes)
        self.assertEqual("#2bb80d53", differences[1].new)
        self.assertNotIn("secret", str(differences))
        self.assertNotIn(API_KEY, str(differences))

    def test_changes_of_organisations(self):
        """Guards against callers that lose access without a line in the report."""
        renamed = document(2, tenants=[{"name": "b", "api_keys": [API_KEY]}])
        differences = [
            (str(item.code), item.place) for item in self.compare(document(1), renamed)
        ]
        expected = [("removed", "$.tenants"), ("added", "$.tenants[0]")]
        self.assertEqual(expected, differences)
        opened = document(2, tenants=None)
        self.assertEqual([], self.compare(document(1, tenants=None), opened))
        (change,) = self.compare(document(1), opened)
        self.assertEqual(("1 entries", "not set"), (change.old, change.new))
