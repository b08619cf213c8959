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


def reasons(document):
    """Return the reasons against settings, () if they are valid."""
    data = document if isinstance(document, bytes) else orjson.dumps(document)
    try:
        parse_settings(data)
    except SettingsInvalidError as error:
        return error.reasons
    return ()


class LoadSettingsTest(testtools.TestCase):
    def test_valid_file(self):
        """Guards against a loader that refuses or alters correct settings."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "settings.json"
        path.write_bytes(orjson.dumps(VALID))
        loaded = load_settings(path)
        self.assertEqual(("127.0.0.1", 0), loaded.membership.seeds[0].pair)
        self.assertEqual(0.3, loaded.fair.correction_gain)

    def test_every_fault_with_its_path_and_the_nearest_key(self):
        """Guards against faults found one at a time or without their place."""
        broken = copy.deepcopy(VALID)
        broken["membership"] = {"seeds": [{"host": "localhost", "prt": 1}], "keys": []}
        broken["domian"] = broken.pop("domain")
        broken["store"] = {"url": "http://127.0.0.1:2379", "timeout_s": "2"}
        broken["claims"] = {"window_s": 100}
        broken["zzz"] = 1
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
            set(reasons(broken)),
        )

    def test_faults_across_sections(self):
        """Guards against a claim window that the clock difference uses up."""
        found = reasons({**VALID, "claims": {"window_s": 100}})
        expected = "$: claims.window_s must be over twice claims.clock_difference_s"
        self.assertEqual((expected,), found)

    def test_malformed_json_has_line_and_column(self):
        """Guards against a syntax error that the operator has to search for."""
        (found,) = reasons(b'{\n  "instance": "i1",\n  "domain" "d1"\n}')
        self.assertThat(found, StartsWith("$: line 3, column 12: "))

    def test_unreadable_file(self):
        """Guards against an untyped error for a missing file."""
        error = self.assertRaises(SettingsInvalidError, load_settings, "/nowhere.json")
        self.assertIn("cannot read /nowhere.json", str(error))

    def test_keys_of_membership_are_not_repeated_in_errors(self):
        """Guards against a secret that ends up in a log."""
        secret = "SECRET" * 6
        broken = {**VALID, "membership": {"keys": [secret]}}
        self.assertNotIn("SECRET", str(reasons(broken)))

    def test_schema_names_every_section(self):
        """Guards against a published schema that lags behind the model."""
        schema = orjson.loads(render_schema())
        self.assertLessEqual(set(VALID), set(schema["properties"]))
        self.assertFalse(schema["additionalProperties"])

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.binary(max_size=60)
        | st.recursive(
            st.none() | st.booleans() | st.integers(0, 9) | st.text(max_size=3),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from([*VALID, "put", "delete", "kind", "number"]),
                    inner,
                    max_size=4,
                )
            ),
        ).map(orjson.dumps)
    )
    def test_generated_bytes_give_only_typed_errors(self, data):
        """Guards against an untyped error for any file content."""
        for load, kind in (
            (parse_settings, SettingsInvalidError),
            (load_ticket, TicketInvalidError),
        ):
            error: Any = self.assertRaises(kind, load, data)
            for reason in error.reasons:
                self.assertThat(reason, StartsWith("$"))


class LoadTicketTest(testtools.TestCase):
    def test_paths_do_not_show_the_kind_of_an_object(self):
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
