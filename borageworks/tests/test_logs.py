"""Tests of the log writer."""

import asyncio
import os
import tempfile

import eliot
import orjson
from testtools import TestCase

from borageworks.events import Event, emit
from borageworks.logs import BURST_LINES, LINES_PER_S, MAX_BUFFERED_LINES, LogWriter
from borageworks.metrics import Metrics


def _ignore(_message):
    """Drop a message."""


class LogWriterTest(TestCase):
    def write(self, count, read):
        metrics = Metrics()

        async def main():
            # The library hands its first destination what was logged before it, in
            # this case by other tests.
            eliot.add_destinations(_ignore)
            eliot.remove_destination(_ignore)
            reader, writer = os.pipe()
            log = LogWriter(writer, metrics, "edge-1")
            log.start()
            began = asyncio.get_running_loop().time()
            try:
                for number in range(count):
                    emit(Event.REQUEST_ENDED, request_id=str(number), pad="x" * 500)
                started = asyncio.get_running_loop().time()
                self.emitted_s = started - began
                await asyncio.sleep(0)
                taken = asyncio.get_running_loop().time() - started
                data = os.read(reader, 1 << 20) if read else b""
            finally:
                log.stop()
                os.close(reader)
                os.close(writer)
            return data, taken

        return (*asyncio.run(main()), metrics)

    def test_lines_are_json_with_the_instances_name(self):
        """Guards against lines that no tool can read."""
        data, _, _ = self.write(3, True)
        rows = [orjson.loads(row) for row in data.splitlines()]
        self.assertEqual(["0", "1", "2"], [row["request_id"] for row in rows])
        self.assertEqual({"edge-1"}, {row["instance"] for row in rows})

    def test_volume_is_bounded_and_the_rest_counted(self):
        """Guards against a storm of lines, and against lines that vanish untold."""
        excess = 50
        _, _, metrics = self.write(int(BURST_LINES) + excess, False)
        dropped = metrics.value("log_lines_dropped")
        # What the rate allows while the lines are emitted is not dropped.
        allowed = LINES_PER_S * self.emitted_s + 1
        self.assertTrue(excess - allowed <= dropped <= excess, (dropped, allowed))
        self.assertTrue(BURST_LINES < MAX_BUFFERED_LINES)

    def test_lines_about_the_process_survive_a_storm(self):
        """Guards against an incident in which the change of state has no line."""

        async def main(file):
            log = LogWriter(file.fileno(), Metrics(), "edge-1")
            log.start()
            try:
                for number in range(2 * int(BURST_LINES)):
                    emit(Event.REQUEST_ENDED, request_id=str(number))
                emit(Event.OVERLOAD_BEGAN)
            finally:
                log.stop()

        with tempfile.TemporaryFile() as file:
            asyncio.run(main(file))
            file.seek(0)
            events = [orjson.loads(row)["event"] for row in file.read().splitlines()]
        self.assertEqual(Event.OVERLOAD_BEGAN.number, events[-1])
        self.assertIn(Event.LOG_LINES_DROPPED.number, events)

    def test_reader_that_stops_does_not_block(self):
        """Guards against a loop that waits for whoever reads the log."""
        _, taken, _ = self.write(int(BURST_LINES), False)
        self.assertTrue(taken < 0.5, taken)
