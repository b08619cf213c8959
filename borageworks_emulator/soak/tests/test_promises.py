"""Tests that each check of a soak finds what it is for, and nothing else."""

from types import SimpleNamespace
from typing import Any, cast

from testtools import TestCase

from borageworks_emulator.platform.engine import plain_text
from borageworks_emulator.soak.bounds import (
    CONFIGURATION_S,
    CONTACT_S,
    DRAIN_S,
    LEAVE_SLACK_S,
    ROLLBACK_SLACK_S,
)
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.fairness import unfair_organisations
from borageworks_emulator.soak.promise import Promise
from borageworks_emulator.soak.promises import Promises, stream_bytes
from borageworks_emulator.soak.versions import Versions

CALM_S = 10.0


class Scene(TestCase):
    """A calm deployment with a clock that the test sets."""

    def setUp(self):
        super().setUp()
        self.time = 0.0
        self.disturbances = Disturbances(lambda: self.time)
        self.promises = Promises(self.disturbances, lambda: self.time)
        self.time = CALM_S

    def call(self, route="book", events=0, identity="r-1"):
        call = Call(identity, route, "org", "edge", 100, events, self.time)
        self.promises.sent(call)
        return call

    def begin(self, call, endpoint="desk", **changes):
        run = SimpleNamespace(
            id=call.id,
            target=call.target,
            body=call.body,
            headers={"X-Borageworks-Tenant": call.organisation},
            at=self.time,
        )
        for name, value in changes.items():
            setattr(run, name, value)
        self.promises.began(endpoint, cast(Any, run))
        return cast(Any, run)

    def end(self, call, ending, status=None):
        call.ending, call.status, call.ended_at = ending, status, self.time
        self.promises.ended(call)

    def assert_broken(self, *promises):
        self.assertEqual(
            list(promises), [broken.promise for broken in self.promises.broken]
        )


class RunTest(Scene):
    def test_sound_request_breaks_nothing(self):
        call = self.call()
        self.begin(call)
        self.end(call, Ending.ANSWERED, 200)
        body = plain_text("desk", call.id).encode()
        self.promises.check_answer(call, "seal-of-desk", call.id, body)
        self.assert_broken()

    def test_second_run_is_found_where_it_must_not_be(self):
        for route in ("book", "once"):
            call = self.call(route, identity=route)
            self.begin(call)
            self.begin(call, "other")
        self.assert_broken(Promise.AT_MOST_ONCE, Promise.AT_MOST_ONCE)

    def test_third_run_is_found_where_two_are_allowed(self):
        call = self.call("look")
        for endpoint in ("a", "b", "c"):
            self.begin(call, endpoint)
        self.assert_broken(Promise.ATTEMPTS)

    def test_changed_requests_are_found(self):
        self.begin(self.call(identity="a"), body=b"other")
        self.begin(self.call(identity="b"), target="/other")
        self.begin(self.call(identity="c"), headers={"X-Borageworks-Tenant": "x"})
        self.begin(Call("never-sent", "book", "org", "edge", 1, 0, 0.0))
        self.assert_broken(*[Promise.UNCHANGED_REQUEST] * 4)

    def test_run_before_and_after_a_refusal_is_found(self):
        call = self.call()
        self.begin(call)
        self.end(call, Ending.REFUSED, 503)
        later = self.call(identity="r-2")
        self.end(later, Ending.REFUSED, 429)
        self.begin(later)
        self.assert_broken(Promise.TRUE_REFUSAL, Promise.TRUE_REFUSAL)

    def test_leaving_endpoint_is_left_alone_after_its_delay(self):
        self.promises.drained("desk")
        self.time += DRAIN_S - 0.1
        self.begin(self.call())
        self.assert_broken()
        self.time += 0.2
        self.begin(self.call(identity="r-2"))
        self.assert_broken(Promise.LEAVING_ENDPOINT)

    def test_disturbed_gateway_is_excused_only_for_a_while(self):
        self.promises.drained("desk")
        self.disturbances.note("edge")
        self.time += DRAIN_S + 0.1
        self.begin(self.call())
        self.assert_broken()
        self.time += CONTACT_S
        self.begin(self.call(identity="r-2"))
        self.assert_broken(Promise.LEAVING_ENDPOINT)

    def test_work_for_a_caller_that_left_is_found(self):
        call = self.call("resume", events=3)
        run = self.begin(call)
        self.end(call, Ending.LEFT)
        self.time += LEAVE_SLACK_S + 0.1
        self.promises.finished("desk", run)
        self.assert_broken(Promise.WORK_CANCELLED)


class AnswerTest(Scene):
    def test_foreign_short_and_torn_answers_are_found(self):
        call = self.call("resume", events=3)
        whole = stream_bytes(call)
        self.promises.check_answer(call, "", call.id, whole)
        self.promises.check_part(call, whole[:10])
        self.assert_broken()
        self.promises.check_answer(call, "", "other", whole)
        self.promises.check_answer(call, "", call.id, whole[:-3])
        self.promises.check_part(call, whole[5:])
        self.assert_broken(*[Promise.OWN_ANSWER] * 3)

    def test_cut_at_shutdown_is_found(self):
        call = self.call()
        self.begin(call)
        self.promises.stopping("edge")
        self.time += 0.5
        self.end(call, Ending.CUT)
        self.assert_broken(Promise.NO_CUT_AT_SHUTDOWN)

    def test_request_that_crosses_the_close_is_no_cut(self):
        self.promises.stopping("edge")
        call = self.call()
        self.time += 0.1
        self.end(call, Ending.CLOSED)
        self.assert_broken()

    def test_cut_without_shutdown_is_no_cut_at_shutdown(self):
        call = self.call()
        self.begin(call)
        self.end(call, Ending.CUT)
        self.assert_broken()


class VersionsTest(Scene):
    def setUp(self):
        super().setUp()
        self.versions = Versions(self.disturbances, self.promises.report)
        for version in (1, 2):
            self.write(version)

    def write(self, version):
        self.versions.sending(version, self.time)
        self.versions.accepted(version, self.time)

    def observe(self, version, present, incarnation=1):
        marker = self.versions.marker(version)
        at = self.time
        self.versions.observe("edge", incarnation, marker, present, at, at)

    def test_newest_version_breaks_nothing(self):
        self.time += CONFIGURATION_S + CONTACT_S + 1.0
        self.observe(2, True)
        self.observe(1, False)
        self.assert_broken()

    def test_old_version_is_found_when_the_new_one_is_due(self):
        self.time += CONFIGURATION_S - 0.1
        self.observe(1, True)
        self.assert_broken()
        self.time += 0.2
        self.observe(1, True)
        self.assert_broken(Promise.CONFIGURATION_APPLIED)

    def test_disturbances_excuse_a_late_version_but_no_step_back(self):
        self.disturbances.begin(STORE)
        self.time += CONFIGURATION_S + 1.0
        self.observe(1, True)
        self.assert_broken()
        self.observe(2, True)
        self.time += ROLLBACK_SLACK_S + 0.1
        self.observe(1, True)
        self.assert_broken(Promise.CONFIGURATION_FORWARD)

    def test_new_process_may_begin_with_what_it_finds(self):
        self.disturbances.begin(STORE)
        self.observe(2, True)
        self.time += ROLLBACK_SLACK_S + 0.1
        self.observe(1, True, incarnation=2)
        self.assert_broken()


class FairnessTest(Scene):
    def calls(self, organisation, per_s, served):
        calls = []
        for number in range(per_s * 8):
            call = Call("", "resume", organisation, "edge", 100, 1, number / per_s)
            call.ending = Ending.ANSWERED if served(number) else Ending.REFUSED
            call.first_part_at = call.sent_at if served(number) else None
            calls.append(call)
        return calls

    def unfair(self, *calls):
        return unfair_organisations(
            [call for group in calls for call in group],
            lambda call: call.ending is Ending.ANSWERED,
            0.0,
            8.0,
        )

    def test_starved_organisation_is_found(self):
        large = self.calls("large", 20, lambda _number: True)
        self.assertEqual(
            [], self.unfair(large, self.calls("small", 4, lambda n: n % 2 == 0))
        )
        found = self.unfair(large, self.calls("small", 4, lambda n: n % 8 == 0))
        self.assertIn("small", found[0])

    def test_flood_that_is_refused_is_fair(self):
        large = self.calls("large", 40, lambda number: number % 8 == 0)
        small = self.calls("small", 5, lambda _number: True)
        self.assertEqual([], self.unfair(large, small))
