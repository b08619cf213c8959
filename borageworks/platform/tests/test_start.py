"""Tests for the entry point."""

import subprocess
import sys

from testtools import TestCase

# Replaces the program by a module that sends SIGHUP when `main` is imported from it.
START_SCRIPT = """
import os, signal, sys, types

class SignallingModule(types.ModuleType):
    def __getattr__(self, name):
        os.kill(os.getpid(), signal.SIGHUP)
        return lambda: print("runs")

sys.modules["borageworks.platform.main"] = SignallingModule("main")
from borageworks.platform.start import main
main()
"""


class StartTest(TestCase):
    def test_sighup_during_start_does_not_terminate_the_process(self):
        """Guards against termination by SIGHUP before its handler is installed."""
        completed = subprocess.run(
            [sys.executable, "-c", START_SCRIPT], capture_output=True, timeout=30
        )
        self.assertEqual((0, b"runs\n"), (completed.returncode, completed.stdout))
