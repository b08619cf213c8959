"""Tests of the log writer."""

import asyncio
import os
import tempfile

import eliot
import orjson
from testtools import TestCase

from borageworks.events import Event, emit
from borageworks.logs import (
    MAX_BUFFERED_LINES,
    MAX_BURST_LINES,
    MAX_LINES_PER_S,
    LogWriter,
)
from borageworks.metrics import Metrics


def _discard(_message):
    """Discard a message."""


class LogWriterTest(TestCase):
    def write(self, count, read_output):
        metrics = Metrics()

        async def main():
            # Eliot sends its first destination all messages logged earlier, here those
            # of other tests.
            eliot.add_destinations(_discard)
            eliot.remove_destination(_discard)
            reader, writer = os.pipe()
            log = LogWriter(writer, metrics, "edge-1")
            log.start()
            started_at = asyncio.get_running_loop().time()
            try:
                for number in range(count):
                    emit(Event.REQUEST_ENDED, request_id=str(number), pad="x" * 500)
                emitted_at = asyncio.get_running_loop().time()
                self.emitted_s = emitted_at - started_at
                await asyncio.sleep(0)
                elapsed_s = asyncio.get_running_loop().time() - emitted_at
                data = os.read(reader, 1 << 20) if read_output else b""
            finally:
                log.stop()
                os.close(reader)
                os.close(writer)
            return data, elapsed_s

        return (*asyncio.run(main()), metrics)

    def test_lines_are_json_with_the_instance_name(self):
        """Guards against lines that tools cannot parse."""
        data, _, _ = self.write(3, True)
        rows = [orjson.loads(row) for row in data.splitlines()]
        self.assertEqual(["0", "1", "2"], [row["request_id"] for row in rows])
        self.assertEqual({"edge-1"}, {row["instance"] for row in rows})

    def test_volume_is_limited_and_dropped_lines_are_counted(self):
        """Guards against unlimited log volume and against uncounted losses."""
        excess = 50
        _, _, metrics = self.write(int(MAX_BURST_LINES) + excess, False)
        dropped = metrics.value("log_lines_dropped")
        # Tokens refilled while the lines are emitted allow that many more lines.
        allowed = MAX_LINES_PER_S * self.emitted_s + 1
        self.assertTrue(excess - allowed <= dropped <= excess, (dropped, allowed))
        self.assertTrue(MAX_BURST_LINES < MAX_BUFFERED_LINES)

    def test_process_events_survive_a_flood_of_request_events(self):
        """Guards against losing state changes of the process during an incident."""

        async def main(file):
            log = LogWriter(file.fileno(), Metrics(), "edge-1")
            log.start()
            try:
                for number in range(2 * int(MAX_BURST_LINES)):
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

    def test_stopped_reader_does_not_block(self):
        """Guards against an event loop that blocks on the log's reader."""
        _, elapsed_s, _ = self.write(int(MAX_BURST_LINES), False)
        self.assertTrue(elapsed_s < 0.5, elapsed_s)
