"""Tests of `borageworks check` with the operator's configuration."""

import copy
import json
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
import testtools
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.__main__ import cli
from borageworks.exceptions import DeploymentMalformedError
from borageworks.platform.configuration import decode_configuration
from borageworks.platform.configuration_reader import read_configuration
from borageworks_emulator.platform.harness import (
    API_KEY,
    PLAIN_SERVICE,
    configuration,
    settings_text,
)

SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
# Texts that fit some field.
TEXTS = ("", "a", " ", "/", "/a b/", "streaming", "idempotent", PLAIN_SERVICE)
OPTIONS = st.sampled_from(((), ("--json",)))
CHOICES = st.integers(0, 100)
STEPS = st.lists(CHOICES, min_size=1, max_size=6)
CHANGES = st.lists(st.tuples(STEPS, CHOICES, st.none() | JSON), max_size=4)
# Texts that JSON readers treat differently.
ODD_TEXTS = (
    b"",
    b"\xef\xbb\xbf{}",
    b"\xff",
    b"{}" * 2,
    b"[" * 100_000,
    b'{"version":1,"routes":[],"services":[],"x":NaN,"y":-Infinity}',
    b'{"version":1,"routes":[],"services":[],"x":' + b"9" * 4000 + b"}",
    b'{"version":1,"routes":[],"services":[],"x":' + b"[" * 190 + b"]" * 190 + b"}",
    b'{"version":1,"routes":[],"services":[{"name":"\\ud800"}]}',
    '{"version":1,"routes":[],"services":[{"name":"é\\u0000"}]}'.encode(),
)


def alternative(value, choice):
    """Return another value of the same type, so that most changes can be decoded."""
    match value:
        case bool():
            return not value
        case int():
            return (0, 1, 2**53)[choice % 3]
        case str():
            return TEXTS[choice % len(TEXTS)]
        case list():
            return ([], value + value)[choice % 2]
    return {}


def change(body, steps, choice, replacement):
    """Change a value at a place that the steps choose among the existing ones.

    Without a replacement, its type stays.
    """
    if not steps or not isinstance(body, dict | list) or not body:
        return alternative(body, choice) if replacement is None else replacement
    body = copy.copy(body)
    places = list(body) if isinstance(body, dict) else range(len(body))
    place = places[steps[0] % len(places)]
    body[place] = change(body[place], steps[1:], choice, replacement)
    return body


class CheckConfigurationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name, content):
        path = self.directory / name
        path.write_bytes(
            content if isinstance(content, bytes) else orjson.dumps(content)
        )
        return str(path)

    def run_check(self, *arguments, code):
        result = CliRunner().invoke(cli, ("check", *arguments))
        self.assertEqual(code, result.exit_code, result.output)
        return result.stdout

    def test_exit_codes_and_output(self):
        """Guards against scripts that send a configuration with errors."""
        sound = self.write("sound.json", configuration())
        output = self.run_check(sound, code=0)
        self.assertIn("error 0, warning 0, information 2", output)
        warned = configuration(
            2, services=[*configuration()["services"], {"name": "s"}]
        )
        path = self.write("warned.json", warned)
        output = self.run_check(path, "--against", sound, code=1)
        self.assertIn(f"{path}: $.services[2]: warning: ", output)
        self.assertIn("service 's' added: ", output)
        older = self.write("older.json", configuration(0))
        self.assertIn(
            "[version_not_above]", self.run_check(older, "--against", sound, code=2)
        )

    def test_json_output(self):
        """Guards against output that scripts cannot read, and against keys in it."""
        tenants = [{"name": name, "api_keys": [API_KEY]} for name in ("a", "b")]
        path = self.write("configuration.json", configuration(tenants=tenants))
        output = self.run_check(path, "--json", code=2)
        self.assertNotIn(API_KEY, output)
        report = orjson.loads(output)
        self.assertEqual(
            (path, 2, 1),
            (report["file"], report["exit_code"], report["counts"]["error"]),
        )
        first = report["findings"][0]
        self.assertEqual("key_of_two_organisations", first["code"])
        self.assertEqual("$.tenants[1].api_keys[0]", first["place"])

    def test_faults_of_the_other_files(self):
        """Guards against a comparison that is skipped without a word."""
        path = self.write("configuration.json", configuration())
        broken = self.write("broken", b"{")
        for option in ("--against", "--settings"):
            for name in (broken, str(self.directory / "missing")):
                self.assertIn(
                    f"{name}: $: error", self.run_check(path, option, name, code=2)
                )
        self.run_check(str(self.directory / "missing"), "--configuration", code=2)
        text = settings_text(("10.0.0.9", 8781), [1, 2, 3, 4])
        small = self.write("small", f"{text}\nlimits.memory_mb=8\n".encode())
        output = self.run_check(path, "--settings", small, code=2)
        self.assertIn("[body_limit_over_memory]", output)

    def test_settings_file_with_json_output(self):
        """Guards against errors of settings that are missing in JSON output."""
        path = self.write("settings.json", {"instance": 1})
        report = orjson.loads(self.run_check(path, "--json", code=2))
        self.assertIn("settings_invalid", {item["code"] for item in report["findings"]})

    def test_check_never_raises(self):
        """Guards against a traceback instead of findings, and against keys in them."""
        in_force = self.write("in_force.json", configuration())

        def check(data, *options):
            path = self.write("checked.json", data)
            arguments = (path, "--against", in_force, "--strict", *options)
            result = CliRunner().invoke(cli, ("check", *arguments))
            self.assertIn(result.exit_code, (0, 1, 2))
            raised = result.exception
            self.assertTrue(raised is None or isinstance(raised, SystemExit), raised)
            self.assertNotIn(API_KEY, result.stdout)
            if "--json" in options:
                orjson.loads(result.stdout)
            self.run_both_decoders(data)

        @SETTINGS
        @given(JSON, st.binary(max_size=20))
        def check_arbitrary(value, raw):
            check(json.dumps(value).encode(), "--json")
            check(raw)

        @SETTINGS
        @given(CHANGES, OPTIONS)
        def check_changed(changes, options):
            body = configuration(2)
            for steps, choice, replacement in changes:
                body = change(body, steps, choice, replacement)
            check(json.dumps(body).encode(), *options)

        check_arbitrary()
        check_changed()
        for text in ODD_TEXTS:
            check(text, "--json")

    def run_both_decoders(self, data):
        """Check that the reader accepts exactly what gateways accept."""
        try:
            deployment = decode_configuration(data)
        except DeploymentMalformedError:
            deployment = None
        listing = read_configuration(data, strict=True).listing
        self.assertEqual(deployment, listing.deployment if listing else None)
