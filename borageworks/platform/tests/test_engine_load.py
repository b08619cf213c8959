"""Tests of decoding the load that endpoints report."""

from multidict import CIMultiDict, CIMultiDictProxy
from testtools import TestCase

from borageworks.placement.engine_load import EngineLoad
from borageworks.platform.protocol_names import ENGINE_LOAD
from borageworks.platform.responses import decode_response_head


def decode(*values):
    """Return the load that a response with these headers reports, and its fault."""
    headers = CIMultiDict([(ENGINE_LOAD, value) for value in values])
    head = decode_response_head(503, CIMultiDictProxy(headers))
    return head.load, head.load_malformed


class EngineLoadTest(TestCase):
    def test_reports_with_and_without_a_pace(self):
        """Guards against wrong units and against a pace that was not stated."""
        self.assertEqual((None, False), decode())
        self.assertEqual((EngineLoad(3, 1, 64), False), decode("3,1,64"))
        load = EngineLoad(3, 1, 64, 2.5)
        self.assertEqual((load, False), decode(" 3, 1,64 ,250"))
        self.assertEqual((load, False), decode("3,1,64,250", "3,1,64,250"))
        self.assertEqual((load, False), decode("3,1,64,250,later"))

    def test_reports_that_cannot_be_read(self):
        """Guards against reading a faulty report as no load."""
        for values in (
            ("",),
            ("3,1",),
            ("3,1,x",),
            ("-3,1,64",),
            ("3,1,64,",),
            ("3,1,64,0",),
            ("3,1,64,nan",),
            ("3,1,64,1e9",),
            ("٣,1,64",),
            ("3,1,64", "4,1,64"),
            ("1" * 40 + ",1,64",),
        ):
            self.assertEqual((None, True), decode(*values), str(values))
