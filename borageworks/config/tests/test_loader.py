"""Tests of settings and ticket loading."""

import copy
import tempfile
from pathlib import Path
from typing import Any

import orjson
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import StartsWith

from borageworks.config.loader import load_settings, load_ticket, parse_settings
from borageworks.config.schema import render_schema
from borageworks.config.tests.examples import VALID
from borageworks.exceptions import SettingsInvalidError, TicketInvalidError


def settings_errors(document):
    """Return the errors of settings, () if they are valid."""
    data = document if isinstance(document, bytes) else orjson.dumps(document)
    try:
        parse_settings(data)
    except SettingsInvalidError as error:
        return error.reasons
    return ()


class LoadSettingsTest(testtools.TestCase):
    def test_valid_file(self):
        """Guards against a loader that rejects or alters valid settings."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "settings.json"
        path.write_bytes(orjson.dumps(VALID))
        loaded = load_settings(path)
        self.assertEqual(("127.0.0.1", 0), loaded.membership.seeds[0].host_port)
        self.assertEqual(0.3, loaded.fair.correction_gain)

    def test_every_error_has_its_path_and_the_nearest_key(self):
        """Guards against errors reported one at a time or without their location."""
        invalid = copy.deepcopy(VALID)
        invalid["membership"] = {"seeds": [{"host": "localhost", "prt": 1}], "keys": []}
        invalid["domian"] = invalid.pop("domain")
        invalid["store"] = {"url": "http://127.0.0.1:2379", "timeout_s": "2"}
        invalid["claims"] = {"window_s": 100}
        invalid["zzz"] = 1
        self.assertEqual(
            {
                "$.domain: Field required",
                "$.domian: unknown key; did you mean 'domain'?",
                "$.zzz: unknown key",
                "$.store.timeout_s: Input should be a valid number",
                "$.membership.keys: Tuple should have at least 1 item after "
                "validation, not 0",
                "$.membership.seeds[0].host: value is not a valid IPv4 or IPv6 address",
                "$.membership.seeds[0].port: Field required",
                "$.membership.seeds[0].prt: unknown key; did you mean 'port'?",
            },
            set(settings_errors(invalid)),
        )

    def test_constraint_across_sections(self):
        """Guards against a claim window too short for the clock difference."""
        messages = settings_errors({**VALID, "claims": {"window_s": 100}})
        expected = "$: claims.window_s must be over twice claims.clock_difference_s"
        self.assertEqual((expected,), messages)

    def test_malformed_json_has_line_and_column(self):
        """Guards against a syntax error reported without its position."""
        (message,) = settings_errors(b'{\n  "instance": "i1",\n  "domain" "d1"\n}')
        self.assertThat(message, StartsWith("$: line 3, column 12: "))

    def test_unreadable_file(self):
        """Guards against an untyped error for a missing file."""
        error = self.assertRaises(SettingsInvalidError, load_settings, "/nowhere.json")
        self.assertIn("cannot read /nowhere.json", str(error))

    def test_membership_keys_do_not_appear_in_errors(self):
        """Guards against a secret written to a log."""
        secret = "SECRET" * 6
        invalid = {**VALID, "membership": {"keys": [secret]}}
        self.assertNotIn("SECRET", str(settings_errors(invalid)))

    def test_schema_has_every_section(self):
        """Guards against a published schema that differs from the model."""
        schema = orjson.loads(render_schema())
        self.assertLessEqual(set(VALID), set(schema["properties"]))
        self.assertFalse(schema["additionalProperties"])

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.binary(max_size=60)
        | st.recursive(
            st.none() | st.booleans() | st.integers(0, 9) | st.text(max_size=3),
            lambda children: (
                st.lists(children, max_size=3)
                | st.dictionaries(
                    st.sampled_from([*VALID, "put", "delete", "kind", "number"]),
                    children,
                    max_size=4,
                )
            ),
        ).map(orjson.dumps)
    )
    def test_arbitrary_bytes_raise_only_typed_errors(self, data):
        """Guards against an untyped error for any file content."""
        for load, error_type in (
            (parse_settings, SettingsInvalidError),
            (load_ticket, TicketInvalidError),
        ):
            error: Any = self.assertRaises(error_type, load, data)
            for reason in error.reasons:
                self.assertThat(reason, StartsWith("$"))


class LoadTicketTest(testtools.TestCase):
    def test_paths_omit_the_tag_of_an_object(self):
        """Guards against paths that do not exist in the file."""
        ticket = {
            "number": 1,
            "put": [
                {"kind": "organisation", "id": "a", "shar": 2},
                {"kind": "pool", "id": "p", "endpoints": "engine", "pool": "x"},
                {"kind": "servic", "id": "s"},
            ],
            "delete": [{"kind": "pool", "id": "P"}],
        }
        error = self.assertRaises(TicketInvalidError, load_ticket, orjson.dumps(ticket))
        paths = [reason.partition(": ")[0] for reason in error.reasons]
        self.assertEqual(
            [
                "$.put[0].share",
                "$.put[0].shar",
                "$.put[1].pool",
                "$.put[2]",
                "$.delete[0].id",
            ],
            paths,
        )
        self.assertIn("did you mean 'share'?", error.reasons[1])
