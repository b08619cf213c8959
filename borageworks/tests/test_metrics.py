"""Tests of the metrics' text format."""

from testtools import TestCase

from borageworks.metrics import Metrics


class RenderTest(TestCase):
    def test_label_names_match_their_values(self):
        """Guards against label values of different kinds under one label name."""
        metrics = Metrics()
        metrics.count("refusals", "no_room")
        metrics.gauge("engine_report_age_s", 1.5, "e-1")
        metrics.observe("request", 0.25, "draft")
        metrics.observe("request", 0.5, "book")
        metrics.observe("loop_lag", 0.001)
        lines = metrics.render().splitlines()
        for line in (
            'borageworks_refusals_total{reason="no_room"} 1',
            'borageworks_engine_report_age_s{endpoint="e-1"} 1.5',
            'borageworks_request_seconds_count{route="draft"} 1',
            "borageworks_loop_lag_seconds_count 1",
        ):
            self.assertIn(line, lines)
        self.assertEqual(1, lines.count("# TYPE borageworks_request_seconds summary"))
        slow = [line for line in lines if 'route="book",quantile="0.5"' in line]
        self.assertTrue(0.49 < float(slow[0].split()[1]) < 0.51)

    def test_ages_are_updated_before_rendering(self):
        """Guards against ages that change only when an event occurs."""
        metrics = Metrics()
        ages = iter((1.0, 2.0))

        def update():
            metrics.clear_gauge("engine_report_age_s")
            metrics.gauge("engine_report_age_s", next(ages), "e-1")

        metrics.before_render(update)
        metrics.gauge("engine_report_age_s", 9.0, "gone")
        self.assertIn('{endpoint="e-1"} 1.0', metrics.render())
        text = metrics.render()
        self.assertIn('{endpoint="e-1"} 2.0', text)
        self.assertNotIn("gone", text)
