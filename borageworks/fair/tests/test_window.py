"""Tests of the concurrency window of an endpoint."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.config.settings import WindowSettings
from borageworks.fair.load_report import LoadReport
from borageworks.fair.tests.fake_engine import FakeEngine
from borageworks.fair.tests.naive_window import NaiveWindow
from borageworks.fair.window import ConcurrencyWindow

TARGET_S = WindowSettings().token_interval_target_s
REPORTS = st.builds(
    LoadReport,
    st.integers(0, 40),
    st.sampled_from([0, 0, 0, 3]),
    st.sampled_from([0.005, 0.03, 0.05, 0.06, 0.2]),
    st.sampled_from(["1", "1", "1", "2"]),
)
EVENTS = st.sampled_from(["acquire"] * 6 + ["occupy", "release", "failure"])
STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.1, 1.0, 1.0, 20.0, 70.0]),
        st.one_of(EVENTS, st.just("recovered"), REPORTS, REPORTS),
    ),
    max_size=60,
)


class WindowDifferentialTest(testtools.TestCase):
    """Guards against counters that deviate from the events that they summarise."""

    @given(STEPS, st.sampled_from([(1, 1), (4, 20), (8, 256)]))
    @settings(derandomize=True, deadline=None, max_examples=400)
    def test_same_limit_and_slots_as_a_replay_of_all_events(self, steps, bounds):
        window = ConcurrencyWindow(WindowSettings(), *bounds)
        naive, now, failed = NaiveWindow(WindowSettings(), *bounds), 0.0, False
        for delay, event in steps:
            now += delay
            match event:
                case "acquire":
                    free = naive.in_use() < naive.limit(now)
                    self.assertEqual(free, window.acquire(now))
                    if not free:
                        continue
                case "occupy":
                    window.force_acquire(now)
                case "release" if naive.in_use():
                    window.release(now)
                case "release":
                    self.assertRaises(ValueError, window.release, now)
                    continue
                case "failure":
                    window.on_failure(now)
                    failed = True
                case "recovered":
                    window.on_recovered(now)
                    failed = False
                case LoadReport():
                    window.on_report(now, event)
            naive.record(now, event)
            self.assertEqual(naive.in_use(), window.in_use)
            # All other events update the decay of a stale limit.
            if event != "recovered":
                self.assertEqual(naive.limit(now), window.limit)
            if failed:
                self.assertEqual(0, window.limit)
            else:
                self.assertTrue(1 <= window.limit <= bounds[1])


class WindowStepResponseTest(testtools.TestCase):
    """Step responses with a simulated engine, one report per second."""

    def setUp(self):
        super().setUp()
        self.window = ConcurrencyWindow(WindowSettings(), 8, 256)
        self.engine = FakeEngine()
        self.now = 0.0

    def run_engine(self, seconds, waiting, reports=True):
        """Offer requests for some seconds and return the token intervals."""
        intervals = []
        for _ in range(seconds):
            for _ in range(10):
                while len(self.engine.remaining) < waiting:
                    if not self.window.acquire(self.now):
                        break
                    self.engine.remaining.append(200.0)
                for _ in range(self.engine.advance(0.1)):
                    self.window.release(self.now)
                self.now += 0.1
            intervals.append(self.engine.interval())
            if reports:
                self.window.on_report(self.now, self.engine.report())
        return intervals

    def test_window_follows_a_doubled_load(self):
        """Guards against a window that grows too slowly or overshoots the target."""
        self.run_engine(20, waiting=25)
        intervals = self.run_engine(30, waiting=50)
        self.assertLessEqual(max(intervals), TARGET_S)
        # The engine meets 0.8 of the target at 52 requests.
        self.assertGreaterEqual(self.window.limit, 50)
        self.assertEqual(50, self.window.in_use)

    def test_burst_fills_the_engine_within_seconds(self):
        """Guards against idle capacity while requests wait."""
        intervals = self.run_engine(8, waiting=1000)
        self.assertGreaterEqual(self.window.limit, 40)
        intervals += self.run_engine(60, waiting=1000)
        self.assertLessEqual(max(intervals), TARGET_S)
        self.assertGreaterEqual(intervals[-1], 0.8 * TARGET_S)

    def test_window_follows_an_engine_slowed_to_half(self):
        """Guards against a token interval that stays over its target."""
        self.run_engine(40, waiting=1000)
        self.engine.slowdown = 2.0
        intervals = self.run_engine(2, waiting=1000)
        self.assertLess(self.window.limit, 40)
        intervals = self.run_engine(40, waiting=1000)
        over = [i for i, interval in enumerate(intervals) if interval > TARGET_S]
        # Running requests are not aborted; 200 tokens take 20 s at half speed.
        self.assertLess(over[-1], 18)
        # The engine meets the target at 18 requests.
        self.assertGreaterEqual(min(self.window.limit, self.window.in_use), 13)
        self.engine.slowdown = 1.0
        intervals = self.run_engine(15, waiting=1000)
        self.assertLessEqual(max(intervals), TARGET_S)
        self.assertGreaterEqual(self.window.in_use, 45)

    def test_limit_decays_without_reports(self):
        """Guards against a full window on an endpoint whose load is unknown."""
        self.run_engine(40, waiting=1000)
        before = self.window.limit
        self.run_engine(4, waiting=1000, reports=False)
        self.assertEqual(before, self.window.limit)
        self.run_engine(31, waiting=1000, reports=False)
        self.assertTrue(0.7 * before < self.window.limit < 0.8 * before)
        self.run_engine(60, waiting=1000, reports=False)
        self.assertEqual(before // 2, self.window.limit)
        self.run_engine(6, waiting=1000)
        self.assertGreaterEqual(self.window.limit, 0.85 * before)

    def test_light_load_does_not_move_the_limit(self):
        """Guards against a limit that grows unused and then admits a burst."""
        self.run_engine(30, waiting=3)
        self.assertEqual(8, self.window.limit)

    def test_delayed_report_after_a_burst_does_not_collapse_the_window(self):
        """Guards against a limit of 1 caused by a report of a load that has ended."""
        window = ConcurrencyWindow(WindowSettings(), 60, 60)
        for second in range(3):
            window.on_report(float(second), LoadReport(60, 0, 0.06, "1"))
        self.assertGreaterEqual(window.limit, 50)

    def test_engine_that_queues_requests_gets_fewer(self):
        """Guards against queueing inside an engine, which ignores the fair order."""
        for _ in range(8):
            self.window.acquire(0.0)
        self.window.on_report(1.0, LoadReport(5, 3, 0.03, "1"))
        self.assertEqual(7, self.window.limit)

    def test_window_settles_at_the_batch_limit_of_an_engine(self):
        """Guards against a window that oscillates around the batch limit."""
        window = ConcurrencyWindow(WindowSettings(), 8, 64)
        limits = []
        for second in range(60):
            while window.acquire(float(second)):
                pass
            running = min(16, window.in_use)
            report = LoadReport(running, window.in_use - running, 0.0456, "1")
            window.on_report(second + 0.9, report)
            limits.append(window.limit)
            for _ in range(max(0, window.in_use - window.limit)):
                window.release(second + 0.95)
        self.assertTrue(all(16 <= limit <= 18 for limit in limits[20:]), limits)


class WindowPlainServiceTest(testtools.TestCase):
    """Endpoints without a token interval, at most 20 requests in parallel."""

    def run_service(self, seconds, report_waiting, slowdown=1.0):
        window, time_s = ConcurrencyWindow(WindowSettings(), 4, 64), 0.0
        for second in range(seconds):
            while window.acquire(float(second)):
                pass
            in_use = window.in_use
            time_s = 0.1 * slowdown * max(1.0, in_use / 20)
            for index in range(in_use):
                window.release(second + index / 100)
                window.on_latency(second + index / 100, time_s, 0.0)
            if report_waiting:
                waiting = max(0, in_use - 20)
                report = LoadReport(in_use - waiting, waiting, 0.0, "1")
                window.on_report(second + 0.9, report)
        return window, time_s

    def test_window_converges_to_the_parallelism_by_latency(self):
        """Guards against windows that underuse a service or grow without limit."""
        window, time_s = self.run_service(120, report_waiting=False)
        self.assertTrue(20 <= window.limit <= 42, window.limit)
        self.assertLess(time_s, 0.22)

    def test_window_converges_to_the_parallelism_by_reported_waiting(self):
        """Guards against ignoring the load report of a plain service."""
        window, _ = self.run_service(120, report_waiting=True)
        self.assertTrue(17 <= window.limit <= 22, window.limit)

    def test_slow_service_keeps_its_initial_window(self):
        """Guards against decreasing the window for time that is not queueing."""
        window = ConcurrencyWindow(WindowSettings(), 4, 64)
        for second in range(100):
            while window.acquire(float(second)):
                pass
            for _ in range(window.in_use):
                window.release(float(second))
                window.on_latency(second + 0.5, 0.1 if second < 20 else 0.5, 0.0)
        self.assertGreaterEqual(window.limit, 4)
