"""Runs the example program of docs/embedding.md."""

import contextlib
import io
import re
from pathlib import Path

import testtools

PAGE = Path(__file__).parents[2] / "docs" / "embedding.md"


class EmbeddingTest(testtools.TestCase):
    def test_the_documented_program_shares_three_to_one(self):
        """Guards against a page whose program no longer runs."""
        match = re.search(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
        assert match is not None
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            exec(match.group(1), {})
        selected = output.getvalue().split()
        self.assertEqual((6, 2), (selected.count("large"), selected.count("small")))
