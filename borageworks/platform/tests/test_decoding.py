"""Tests for the codec of the platform's protocol."""

import re
from pathlib import Path

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy
from testtools import TestCase

import borageworks
from borageworks.exceptions import (
    DeploymentMalformedError,
    EndpointEntryMalformedError,
    EndpointReplyMalformedError,
    SettingsInvalidError,
)
from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks.gateway.route import RetryPolicy
from borageworks.placement.cache_update import CachedPart
from borageworks.platform.configuration import decode_configuration
from borageworks.platform.engine_cache import (
    MAX_BLOCK_PARTS,
    decode_events,
    decode_list,
)
from borageworks.platform.entries import decode_entry
from borageworks.platform.requests import decode_request, forwarded_headers
from borageworks.platform.responses import decode_response_head
from borageworks.platform.settings import parse_settings
from borageworks_emulator.platform.harness import configuration, settings_text

SETTINGS = settings(derandomize=True, deadline=None, max_examples=200)
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "version": "v1",
    "seq": 1,
}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def headers(**items):
    fields = {name.replace("_", "-"): value for name, value in items.items()}
    return CIMultiDictProxy(CIMultiDict(fields))


class SettingsTest(TestCase):
    def text(self):
        return settings_text(("10.0.0.9", 8781), [1, 2, 3, 4])

    def test_known_fields_are_decoded_and_unknown_ones_ignored(self):
        """Guards against wrong units and against new fields that prevent a start."""
        decoded = parse_settings(self.text())
        self.assertEqual(("edge-1", "zone-a"), (decoded.instance, decoded.domain))
        self.assertEqual(("127.0.0.1", 1), decoded.callers_address)
        self.assertEqual((3.0, 2.0), (decoded.recovery_grace_s, decoded.config_apply_s))
        self.assertEqual(8.0, decoded.shutdown_timeout_s)
        self.assertEqual(4, decoded.peer_port)
        lines = "bounds.evacuate_ms=700", "bounds.cold_over=2", "bounds.cold_slack=0"
        changed = parse_settings("\n".join((self.text(), *lines)))
        self.assertEqual(
            (0.7, 2.0, 0.0),
            (changed.evacuate_s, changed.cold_over, changed.cold_slack),
        )

    def test_all_invalid_fields_are_reported_at_once(self):
        """Guards against reporting only one invalid field for each start."""
        text = self.text().replace("zone=zone-a\n", "")
        text = text.replace("bounds.grace_s=8", "bounds.grace_s=-1")
        error = self.assertRaises(SettingsInvalidError, parse_settings, text)
        reasons = " ".join(error.reasons)
        self.assertIn("zone", reasons)
        self.assertIn("bounds.grace_s", reasons)

    def test_lines_without_a_value_are_reported(self):
        """Guards against accepting a truncated file."""
        error = self.assertRaises(SettingsInvalidError, parse_settings, "node_name")
        self.assertEqual(("line 1: no '='",), error.reasons)

    def test_arbitrary_text_raises_a_typed_error(self):
        """Guards against an unhandled exception at start."""

        @SETTINGS
        @given(st.text(max_size=80))
        def check(text):
            self.assertRaises(SettingsInvalidError, parse_settings, text)

        check()


class ConfigurationTest(TestCase):
    def test_retry_policy_follows_the_route_type(self):
        """Guards against retrying requests of a non-idempotent route."""
        deployment = decode_configuration(orjson.dumps(configuration()))
        policies = {
            item.name: (item.retry_policy, item.stream) for item in deployment.routes
        }
        self.assertEqual(
            {
                "resume": (RetryPolicy.RESUME, True),
                "once": (RetryPolicy.NEVER, True),
                "book": (RetryPolicy.NEVER, False),
                "look": (RetryPolicy.FULL, False),
                "open": (RetryPolicy.FULL, False),
            },
            policies,
        )
        assert deployment.organisations is not None
        self.assertEqual("workshop", deployment.organisations["key-1"].name)

    def test_no_key_is_needed_without_organisations(self):
        """Guards against refusing all callers in a deployment without API keys."""
        body = configuration()
        del body["tenants"]
        self.assertIsNone(decode_configuration(orjson.dumps(body)).organisations)

    def test_numbers_beyond_all_use_raise_a_typed_error(self):
        """Guards against a configuration that ends each instance that reads it."""
        plain = orjson.dumps(configuration()).decode()
        for old, new in {
            '"version":1': f'"version":{10**30}',
            '"timeout_ms":3000': '"timeout_ms":1e999',
            '"target_latency_ms":500': '"target_latency_ms":1e30',
            '"kv_capacity":100000': f'"kv_capacity":{10**400}',
            '"tokens_per_s":20000': '"tokens_per_s":-5',
        }.items():
            self.assertTrue(old in plain, old)
            data = plain.replace(old, new).encode()
            self.assertRaises(DeploymentMalformedError, decode_configuration, data)

    def test_arbitrary_json_raises_a_typed_error(self):
        """Guards against a configuration that crashes the process."""

        @SETTINGS
        @given(JSON, st.binary(max_size=20))
        def check(value, raw):
            data = orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)
            for item in (data, raw):
                self.assertRaises(DeploymentMalformedError, decode_configuration, item)

        check()


class EntryTest(TestCase):
    def test_entry_is_decoded(self):
        """Guards against an endpoint restart that is not detected."""
        data = orjson.dumps({**ENTRY, "born": 17, "extra": {}})
        decoded = decode_entry("servers/i-1", data)
        self.assertEqual(
            ("i-1", "10.0.0.1", 80), (decoded.id, decoded.host, decoded.port)
        )
        self.assertEqual((False, "i-1/17"), (decoded.leaving, decoded.incarnation))
        self.assertEqual(0.0, decoded.cold_s)
        cold = decode_entry("servers/i-1", orjson.dumps({**ENTRY, "cold_ms": 1500}))
        self.assertEqual(1.5, cold.cold_s)

    def test_invalid_entries_are_rejected(self):
        """Guards against sending requests to addresses that another writer stored."""
        changes: list[dict[str, object]] = [
            {"state": "asleep"},
            {"slots": "4"},
            {"slots": 0},
            {"address": "10.0.0.1"},
            {"address": "host.example:80"},
            {"address": "10.0.0.1:70000"},
            {"service": None},
            {"seq": None},
            {"version": None},
            {"version": 3},
            {"version": "v" * 201},
            {"cold_ms": -1},
            {"cold_ms": "9"},
            {"cold_ms": None},
        ]
        for change in changes:
            self.assertRaises(
                EndpointEntryMalformedError,
                decode_entry,
                "servers/i-1",
                orjson.dumps({**ENTRY, **change}),
            )

    def test_entry_without_a_version_of_its_software(self):
        """Guards against an entry of another writer that names no version."""
        entry = {name: ENTRY[name] for name in ENTRY if name != "version"}
        self.assertRaises(
            EndpointEntryMalformedError,
            decode_entry,
            "servers/i-1",
            orjson.dumps(entry),
        )

    def test_arbitrary_bytes_give_an_endpoint_or_a_typed_error(self):
        """Guards against an entry that crashes the process."""

        @SETTINGS
        @given(JSON, st.sampled_from(sorted(ENTRY)), st.binary(max_size=20))
        def check(value, name, raw):
            data = orjson.dumps({**ENTRY, name: value}, option=orjson.OPT_NON_STR_KEYS)
            for item in (data, raw):
                try:
                    decode_entry("servers/i-1", item)
                except EndpointEntryMalformedError:
                    continue

        check()


class RequestTest(TestCase):
    def test_prompt_is_decoded_up_to_the_first_malformed_part(self):
        """Guards against counting parts after one that is malformed."""
        request = decode_request(
            "POST",
            "/a/b?c=/d/",
            headers(
                Host="API.example:80",
                X_Borageworks_Token_Count="1460,80",
                X_Borageworks_Prompt_Prefix="aa:800,bb:x,cc:1",
                X_Borageworks_Model="m",
            ),
        )
        self.assertEqual(("api.example", "/a/b"), (request.host, request.path))
        assert request.prompt is not None
        self.assertEqual(
            [("aa", 800)], [(p.id, p.tokens) for p in request.prompt.parts]
        )
        self.assertEqual(
            (1460, 80), (request.prompt.tokens, request.prompt.generated_tokens)
        )

    def test_arbitrary_header_values_are_accepted(self):
        """Guards against an unhandled exception on malformed headers of a caller."""

        @SETTINGS
        @given(*[st.text(max_size=12)] * 4)
        def check(count, parts, remaining, key):
            decode_request(
                "GET",
                "/",
                headers(
                    X_Borageworks_Token_Count=count,
                    X_Borageworks_Prompt_Prefix=parts,
                    X_Borageworks_Deadline_Remaining=remaining,
                    Authorization=key,
                ),
            )

        check()

    def test_counts_that_do_not_fit_into_messages(self):
        """Guards against a caller's number that no instance can send to another."""
        for digits in (10, 400, 5000):
            large = "9" * digits
            values = headers(
                X_Borageworks_Token_Count=f"{large},{large}", Last_Event_Id=large
            )
            request = decode_request("GET", "/", values)
            self.assertEqual((None, None), (request.prompt, request.last_event_id))
            parts = headers(
                X_Borageworks_Token_Count="10,10",
                X_Borageworks_Prompt_Prefix=f"aa:5,bb:{large}",
            )
            prompt = decode_request("GET", "/", parts).prompt
            assert prompt is not None
            self.assertEqual(["aa"], [part.id for part in prompt.parts])

    def test_stream_that_a_caller_resumes(self):
        """Guards against a stream taken up that the request does not name clearly."""
        for values, expected in (
            ([], None),
            (["a1"], "a1"),
            ([" a1 ", "a1"], "a1"),
            (["a1", "b2"], None),
            ([""], None),
        ):
            fields = CIMultiDict([("Resumes", value) for value in values])
            request = decode_request("POST", "/", CIMultiDictProxy(fields))
            self.assertEqual(expected, request.resumed_attempt)

    def test_callers_cannot_set_reserved_headers(self):
        """Guards against callers that choose their organisation or endpoint."""
        request = decode_request(
            "GET",
            "/",
            headers(
                Authorization="Token k",
                X_Borageworks_Tenant="forged",
                X_Borageworks_Expect_Instance="forged",
                X_Borageworks_Kv_Backup="forged",
                X_Borageworks_Pin_Duration="forged",
                Last_Event_Id="3",
                Connection="close, X-Hop",
                X_Hop="1",
                X_Kept="yes",
            ),
        )
        forwarded = dict(forwarded_headers(request, "h", "org", "i-1", 1.5, 9))
        self.assertEqual(
            {
                "Host": "h",
                "X-Kept": "yes",
                "X-Borageworks-Deadline-Remaining": "1500",
                "X-Borageworks-Expect-Instance": "i-1",
                "X-Borageworks-Tenant": "org",
                "Last-Event-Id": "9",
            },
            forwarded,
        )


class ResponseHeadTest(TestCase):
    def test_not_run_requires_an_explicit_statement(self):
        """Guards against taking status 503 as proof that the request did not run."""
        self.assertFalse(decode_response_head(503, headers()).not_run)
        not_executed = headers(X_Borageworks_Not_Executed="1")
        self.assertTrue(decode_response_head(503, not_executed).not_run)
        self.assertTrue(decode_response_head(421, headers()).wrong_endpoint)

    def test_limits_that_are_no_decimal_numbers_are_recognised(self):
        """Guards against limits that end the response, or that nobody stated."""
        for text, limit_per_s in {
            "5.5": 5.5,
            " 0 ": 0.0,
            "0.1": 0.1,
            ".5": 0.5,
            "7.": 7.0,
            "9" * 18: 1e18,
        }.items():
            notice = decode_response_head(200, headers(Server_Limit=text)).notice
            self.assertEqual(EndpointNotice(limit_per_s), notice, text)
        for text in (
            "",
            "-1",
            "nan",
            "inf",
            "1e3",
            "1_0",
            "+1",
            "٣",
            "9" * 400,
            "5, 7",
        ):
            notice = decode_response_head(200, headers(Server_Limit=text)).notice
            self.assertEqual(
                EndpointNotice(malformed=frozenset({"limit"})), notice, text
            )
        twice = CIMultiDict([("Server-Limit", "5"), ("server-limit", "7")])
        notice = decode_response_head(200, CIMultiDictProxy(twice)).notice
        self.assertEqual({"limit"}, notice.malformed)
        self.assertEqual(EndpointNotice(), decode_response_head(200, headers()).notice)

    @SETTINGS
    @given(st.lists(st.text(max_size=30), max_size=3), st.sampled_from((200, 503)))
    def test_arbitrary_statements_give_a_notice(self, texts, status):
        """Guards against header values that raise an error nobody expects."""
        names = ("Server-Limit", "Retry-After", "Server-Leaving")
        values = CIMultiDict([(name, text) for name in names for text in texts])
        notice = decode_response_head(status, CIMultiDictProxy(values)).notice
        for number in (notice.limit_per_s, notice.pause_s):
            self.assertTrue(number is None or 0.0 <= number < 1e19)

    def test_pause_that_an_endpoint_names(self):
        """Guards against pauses that are missed, or taken from other responses."""
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for status, text, pause_s, malformed in (
            (503, "2", 2.0, set()),
            (503, "0.25", 0.25, set()),
            (200, "2", None, set()),
            (429, "2", None, set()),
            (503, date, None, {"pause"}),
            (503, "-1", None, {"pause"}),
            (503, "soon", None, {"pause"}),
        ):
            notice = decode_response_head(status, headers(Retry_After=text)).notice
            self.assertEqual((pause_s, malformed), (notice.pause_s, notice.malformed))
        several = CIMultiDict([("Retry-After", "1"), ("Retry-After", "3")])
        notice = decode_response_head(503, CIMultiDictProxy(several)).notice
        self.assertEqual(3.0, notice.pause_s)

    def test_cold_period_that_an_endpoint_states(self):
        """Guards against cold periods that are ignored, and text that is no number."""
        for values, cold_s in (
            ((), None),
            (("1500",), 1.5),
            (("200", "x", "1000"), 1.0),
            (("-5",), None),
        ):
            headers = [("X-Borageworks-Cold-Remaining", value) for value in values]
            head = decode_response_head(200, CIMultiDictProxy(CIMultiDict(headers)))
            self.assertEqual(cold_s, head.cold_s)

    def test_endpoint_that_says_that_it_leaves(self):
        """Guards against endpoints that are taken for leaving, or not."""
        for text, leaving in {"1": True, " 1 ": True, "0": False, "yes": False}.items():
            notice = decode_response_head(200, headers(Server_Leaving=text)).notice
            self.assertEqual(leaving, notice.leaving, text)


class EngineMemoryTest(TestCase):
    def test_rows_are_decoded(self):
        """Guards against reading columns in the wrong order."""
        events = orjson.dumps(
            {
                "epoch": "e",
                "next": 9,
                "lost": False,
                "events": [[7, "+", "", "aa", 10, "m"], [8, "-", "", "bb", 5, "m"]],
            }
        )
        (cache_update,) = decode_events(events)
        self.assertEqual(
            (CachedPart("aa", 10, "m"), CachedPart("bb", 0, "m")), cache_update.parts
        )
        listing = {"epoch": "e", "next": 9, "held": [["", "aa", 10, "m"]]}
        self.assertEqual(
            [(CachedPart("aa", 10, "m"),)],
            [update.parts for update in decode_list(orjson.dumps(listing))],
        )

    def test_large_reports_are_decoded_in_blocks(self):
        """Guards against an engine's report that holds the loop for a second."""
        rows = [["", f"{number}", 1, "m"] for number in range(10_000)]
        listing = {"epoch": "e", "next": 9, "held": rows}
        updates = list(decode_list(orjson.dumps(listing)))
        self.assertTrue(max(len(item.parts) for item in updates) <= MAX_BLOCK_PARTS)
        self.assertEqual(
            [row[1] for row in rows],
            [part.part for update in updates for part in update.parts],
        )
        self.assertEqual([True], [item.complete for item in updates if item.complete])
        self.assertTrue(updates[0].complete)

    def test_odd_numbers_and_texts_raise_a_typed_error(self):
        """Guards against one report that ends what follows an engine's cache."""
        nested = b"[" * 900 + b"]" * 900
        for value in (b"-1", b"1e999", b"1.5", b"9" * 400, nested, b"null", b'"x"'):
            rows = {
                decode_list: b'{"epoch":"e","next":1,"held":[["","a",%s,"m"]]}',
                decode_events: b'{"epoch":"e","next":%s,"lost":false,"events":[]}',
            }
            for decode, row in rows.items():
                self.assertRaises(
                    EndpointReplyMalformedError, list, decode(row % value)
                )
        for value in (b"7", nested, b"null"):
            row = b'{"epoch":"e","next":1,"held":[["",%s,1,"m"]]}' % value
            self.assertRaises(EndpointReplyMalformedError, list, decode_list(row))

    def test_arbitrary_bytes_give_an_update_or_a_typed_error(self):
        """Guards against a response of an engine that crashes the process."""

        @SETTINGS
        @given(JSON, st.binary(max_size=20))
        def check(value, raw):
            body = {"epoch": 1, "next": 1, "lost": 0, "events": value, "held": value}
            data = orjson.dumps(body, option=orjson.OPT_NON_STR_KEYS)
            for decode in (decode_events, decode_list):
                for item in (data, raw):
                    try:
                        list(decode(item))
                    except EndpointReplyMalformedError:
                        continue

        check()


class BoundaryTest(TestCase):
    def test_protocol_names_are_used_only_by_the_platform_package(self):
        """Guards against protocol names of the platform in other packages."""
        root = Path(borageworks.__file__).parent
        protocol_patterns = re.compile(
            r"X-Borageworks-|kv-(key|range|watch|txn|lease|keep|events|list)"
            r"|route_type|api_keys|max_attempts\"|Kv-From|op/config|servers/|hostname"
        )
        occurrences = [
            f"{path.relative_to(root)}: {line.strip()}"
            for path in root.rglob("*.py")
            if "tests" not in path.parts and path.parent.name != "platform"
            for line in path.read_text().splitlines()
            if protocol_patterns.search(line)
        ]
        self.assertEqual([], occurrences)
