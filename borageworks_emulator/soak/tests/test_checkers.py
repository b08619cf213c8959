"""Tests that each check of a soak reports its violations and no others."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from testtools import TestCase

from borageworks_emulator.platform.endpoint import plain_body_text
from borageworks_emulator.soak.bounds import (
    CANCELLATION_TOLERANCE_S,
    COLD_BOUND_PER_S,
    CONFIGURATION_APPLY_BOUND_S,
    CONTACT_BOUND_S,
    DRAIN_BOUND_S,
    EVACUATE_BOUND_S,
    ROLLBACK_TOLERANCE_S,
)
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.configuration_checker import ConfigurationChecker
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.fairness import underserved_organisations
from borageworks_emulator.soak.guarantee import Guarantee
from borageworks_emulator.soak.guarantee_checker import GuaranteeChecker, stream_bytes

UNDISTURBED_S = 10.0


class CheckerTestCase(TestCase):
    """Sets up checkers without disturbances and a clock that the test sets."""

    def setUp(self):
        super().setUp()
        self.time = 0.0
        self.disturbances = Disturbances(lambda: self.time)
        self.checker = GuaranteeChecker(self.disturbances, lambda: self.time)
        self.time = UNDISTURBED_S

    def send_call(self, route="book", events=0, request_id="r-1"):
        call = Call(request_id, route, "org", "edge", 100, events, self.time)
        self.checker.request_sent(call)
        return call

    def start_run(self, call, endpoint="desk", **changes):
        run = SimpleNamespace(
            id=call.id,
            target=call.target,
            body=call.body,
            headers={"X-Borageworks-Tenant": call.organisation},
            started_at=self.time,
        )
        for name, value in changes.items():
            setattr(run, name, value)
        self.checker.run_started(endpoint, cast(Any, run))
        return cast(Any, run)

    def end_call(self, call, ending, status=None):
        call.ending, call.status, call.ended_at = ending, status, self.time
        self.checker.request_ended(call)

    def assert_violations(self, *guarantees):
        self.assertEqual(
            list(guarantees),
            [violation.guarantee for violation in self.checker.violations],
        )


class DomainTest(CheckerTestCase):
    def test_request_to_an_evacuated_domain(self):
        """Guards against a check that misses late requests, or reports early ones."""
        self.checker.domain_evacuated("zone-a")
        for elapsed_s, guarantees in (
            (EVACUATE_BOUND_S, ()),
            (EVACUATE_BOUND_S + 0.1, (Guarantee.EVACUATED_DOMAIN,)),
        ):
            self.time = UNDISTURBED_S + elapsed_s
            run = self.start_run(self.send_call(request_id=f"r-{elapsed_s}"))
            self.checker.check_domain("e", "zone-a", run)
            self.checker.check_domain("f", "zone-b", run)
            self.assert_violations(*guarantees)
        self.checker.domain_returning("zone-a")
        self.checker.check_domain("e", "zone-a", run)
        self.assert_violations(Guarantee.EVACUATED_DOMAIN)

    def test_requests_to_a_cold_engine(self):
        """Guards against a check that misses a burst, or counts more than a second."""
        self.checker.endpoint_cold("e")
        for number in range(2 * int(COLD_BOUND_PER_S) + 1):
            self.time = UNDISTURBED_S + 1.01 * (number // int(COLD_BOUND_PER_S))
            run = self.start_run(self.send_call(request_id=f"r-{number}"))
            self.checker.check_domain("e", "zone-a", run)
            self.assert_violations()
            last = run
        self.time = UNDISTURBED_S + 1.5
        for _ in range(int(COLD_BOUND_PER_S)):
            last.started_at = self.time
            self.checker.check_domain("e", "zone-a", last)
        self.assertEqual(
            {Guarantee.COLD_ENGINE},
            {violation.guarantee for violation in self.checker.violations},
        )


class RunTest(CheckerTestCase):
    def test_regular_request_violates_nothing(self):
        call = self.send_call()
        self.start_run(call)
        self.end_call(call, Ending.ANSWERED, 200)
        body = plain_body_text("desk", call.id).encode()
        self.checker.check_response(call, "seal-of-desk", call.id, body)
        self.assert_violations()

    def test_second_run_of_non_idempotent_request_is_reported(self):
        for route in ("book", "once"):
            call = self.send_call(route, request_id=route)
            self.start_run(call)
            self.start_run(call, "other")
        self.assert_violations(Guarantee.AT_MOST_ONCE, Guarantee.AT_MOST_ONCE)

    def test_third_run_is_reported_if_two_are_allowed(self):
        call = self.send_call("look")
        for endpoint in ("a", "b", "c"):
            self.start_run(call, endpoint)
        self.assert_violations(Guarantee.ATTEMPTS)

    def test_modified_requests_are_reported(self):
        self.start_run(self.send_call(request_id="a"), body=b"other")
        self.start_run(self.send_call(request_id="b"), target="/other")
        self.start_run(
            self.send_call(request_id="c"), headers={"X-Borageworks-Tenant": "x"}
        )
        self.start_run(Call("never-sent", "book", "org", "edge", 1, 0, 0.0))
        self.assert_violations(*[Guarantee.UNCHANGED_REQUEST] * 4)

    def test_run_before_or_after_a_refusal_is_reported(self):
        call = self.send_call()
        self.start_run(call)
        self.end_call(call, Ending.REFUSED, 503)
        later = self.send_call(request_id="r-2")
        self.end_call(later, Ending.REFUSED, 429)
        self.start_run(later)
        self.assert_violations(Guarantee.TRUE_REFUSAL, Guarantee.TRUE_REFUSAL)

    def test_request_to_draining_endpoint_is_reported_after_the_bound(self):
        self.checker.endpoint_draining("desk")
        self.time += DRAIN_BOUND_S - 0.1
        self.start_run(self.send_call())
        self.assert_violations()
        self.time += 0.2
        self.start_run(self.send_call(request_id="r-2"))
        self.assert_violations(Guarantee.LEAVING_ENDPOINT)

    def test_disturbance_of_a_gateway_suspends_bounds_for_a_limited_time(self):
        self.checker.endpoint_draining("desk")
        self.disturbances.record_instant("edge")
        self.time += DRAIN_BOUND_S + 0.1
        self.start_run(self.send_call())
        self.assert_violations()
        self.time += CONTACT_BOUND_S
        self.start_run(self.send_call(request_id="r-2"))
        self.assert_violations(Guarantee.LEAVING_ENDPOINT)

    def test_run_for_a_disconnected_caller_is_reported(self):
        call = self.send_call("resume", events=3)
        run = self.start_run(call)
        self.end_call(call, Ending.LEFT)
        self.time += CANCELLATION_TOLERANCE_S + 0.1
        self.checker.run_finished("desk", run)
        self.assert_violations(Guarantee.WORK_CANCELLED)


class ResponseTest(CheckerTestCase):
    def test_crossed_truncated_and_corrupt_responses_are_reported(self):
        call = self.send_call("resume", events=3)
        complete = stream_bytes(call, "v0")
        self.checker.check_response(call, "", call.id, complete)
        self.checker.check_partial_response(call, complete[:10])
        self.assert_violations()
        self.checker.check_response(call, "", "other", complete)
        self.checker.check_response(call, "", call.id, complete[:-3])
        self.checker.check_partial_response(call, complete[5:])
        self.assert_violations(*[Guarantee.OWN_ANSWER] * 3)

    def test_stream_of_two_versions_is_reported(self):
        """Guards against a soak that does not see streams joined."""
        call = self.send_call("resume", events=4)
        old, new = (stream_bytes(call, version) for version in ("v0", "v1"))
        event = old.index(b"\n\n") + 2
        joined = old[:event] + new[event:]
        self.checker.check_partial_response(call, joined)
        self.assertIn(
            Guarantee.ONE_VERSION, {item.guarantee for item in self.checker.violations}
        )

    def test_resumed_stream_of_another_version_is_reported(self):
        """Guards against a soak that checks single answers only."""
        call = self.send_call("resume", events=4)
        whole = stream_bytes(call, "v0")
        self.checker.check_partial_response(call, whole[: whole.index(b"\n\n") + 2])
        resumed = replace(call, id="r-2", first_event=1, origin=call.id, received=0)
        self.checker.request_sent(resumed)
        rest = stream_bytes(resumed, "v0")
        self.checker.check_response(resumed, "", "r-2", rest)
        self.assert_violations()
        rest = stream_bytes(resumed, "v1")
        self.checker.check_response(resumed, "", "r-2", rest)
        self.assert_violations(Guarantee.ONE_VERSION)

    def test_cut_at_shutdown_is_reported(self):
        call = self.send_call()
        self.start_run(call)
        self.checker.gateway_stopping("edge")
        self.time += 0.5
        self.end_call(call, Ending.CUT)
        self.assert_violations(Guarantee.NO_CUT_AT_SHUTDOWN)

    def test_request_that_races_with_the_close_is_not_a_cut(self):
        self.checker.gateway_stopping("edge")
        call = self.send_call()
        self.time += 0.1
        self.end_call(call, Ending.CLOSED)
        self.assert_violations()

    def test_cut_without_shutdown_is_not_reported_as_one_at_shutdown(self):
        call = self.send_call()
        self.start_run(call)
        self.end_call(call, Ending.CUT)
        self.assert_violations()


class ConfigurationCheckerTest(CheckerTestCase):
    def setUp(self):
        super().setUp()
        self.configuration_checker = ConfigurationChecker(
            self.disturbances, self.checker.report
        )
        for version in (1, 2):
            self.write_version(version)

    def write_version(self, version):
        self.configuration_checker.version_sent(version, self.time)
        self.configuration_checker.version_accepted(version, self.time)

    def observe(self, version, present, incarnation=1):
        marker = self.configuration_checker.marker_route(version)
        at = self.time
        self.configuration_checker.observe("edge", incarnation, marker, present, at, at)

    def test_newest_version_violates_nothing(self):
        self.time += CONFIGURATION_APPLY_BOUND_S + CONTACT_BOUND_S + 1.0
        self.observe(2, True)
        self.observe(1, False)
        self.assert_violations()

    def test_old_version_is_reported_once_the_new_one_is_due(self):
        self.time += CONFIGURATION_APPLY_BOUND_S - 0.1
        self.observe(1, True)
        self.assert_violations()
        self.time += 0.2
        self.observe(1, True)
        self.assert_violations(Guarantee.CONFIGURATION_APPLIED)

    def test_disturbances_permit_a_late_version_but_no_rollback(self):
        self.disturbances.begin(STORE)
        self.time += CONFIGURATION_APPLY_BOUND_S + 1.0
        self.observe(1, True)
        self.assert_violations()
        self.observe(2, True)
        self.time += ROLLBACK_TOLERANCE_S + 0.1
        self.observe(1, True)
        self.assert_violations(Guarantee.CONFIGURATION_FORWARD)

    def test_restarted_process_may_have_an_older_version(self):
        self.disturbances.begin(STORE)
        self.observe(2, True)
        self.time += ROLLBACK_TOLERANCE_S + 0.1
        self.observe(1, True, incarnation=2)
        self.assert_violations()


class FairnessTest(CheckerTestCase):
    def create_calls(self, organisation, per_s, served):
        calls = []
        for number in range(per_s * 8):
            call = Call("", "resume", organisation, "edge", 100, 1, number / per_s)
            call.ending = Ending.ANSWERED if served(number) else Ending.REFUSED
            call.first_bytes_at = call.sent_at if served(number) else None
            calls.append(call)
        return calls

    def find_underserved(self, *calls):
        return underserved_organisations(
            [call for group in calls for call in group],
            lambda call: call.ending is Ending.ANSWERED,
            0.0,
            8.0,
        )

    def test_underserved_organisation_is_reported(self):
        large = self.create_calls("large", 20, lambda _number: True)
        self.assertEqual(
            [],
            self.find_underserved(
                large, self.create_calls("small", 4, lambda n: n % 2 == 0)
            ),
        )
        findings = self.find_underserved(
            large, self.create_calls("small", 4, lambda n: n % 8 == 0)
        )
        self.assertIn("small", findings[0])

    def test_refused_flood_is_not_underserved(self):
        large = self.create_calls("large", 40, lambda number: number % 8 == 0)
        small = self.create_calls("small", 5, lambda _number: True)
        self.assertEqual([], self.find_underserved(large, small))
