"""Tests of the start of the program."""

import subprocess
import sys

from testtools import TestCase

# Stands for the program, and gets the signal while it is imported.
PROGRAM = """
import os, signal, sys, types

class Program(types.ModuleType):
    def __getattr__(self, name):
        os.kill(os.getpid(), signal.SIGHUP)
        return lambda: print("runs")

sys.modules["borageworks.platform.main"] = Program("main")
from borageworks.platform.start import main
main()
"""


class StartTest(TestCase):
    def test_announced_settings_do_not_end_a_process_that_starts(self):
        """Guards against an end by SIGHUP before the program listens for it."""
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, timeout=30
        )
        self.assertEqual((0, b"runs\n"), (done.returncode, done.stdout))
