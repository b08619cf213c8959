"""Tests that compare the reference pages in docs/ with the code."""

from pathlib import Path

import testtools

from borageworks.config.pages import replace_table, table_rows
from borageworks.config.reference import PAGES

DOCS = Path(__file__).parents[3] / "docs"


class ReferencePagesTest(testtools.TestCase):
    def test_pages_match_the_code(self):
        """Guards against a setting, event or error that its page omits or misnames."""
        for page in PAGES:
            text = (DOCS / page.name).read_text()
            rendered = page.render(text)
            changed = set(rendered.splitlines()) ^ set(text.splitlines())
            self.assertEqual(set(), changed, page.name)
            self.assertTrue(
                rendered == text, f"{page.name} has its rows in another order"
            )

    def test_every_row_is_explained(self):
        """Guards against a new row without an explanation for operators."""
        for page in PAGES:
            width = len(page.rows()[0])
            for row in table_rows((DOCS / page.name).read_text()):
                self.assertNotIn("", row[width:], f"{page.name}: {row[0]}")

    def test_numbers_and_codes_are_unique(self):
        """Guards against two errors or events with the same code."""
        for page in PAGES:
            keys = [row[0] for row in page.rows()]
            self.assertEqual(sorted(set(keys)), sorted(keys))

    def test_replace_table_keeps_texts_and_drops_old_rows(self):
        """Guards against a generator that loses the explanations of a page."""
        page = (
            "before\n<!-- generated table: begin -->\n\n"
            "| code | status | meaning |\n| --- | --- | --- |\n"
            "| a | 1 | kept \\| text |\n| gone | 2 | x |\n\n"
            "<!-- generated table: end -->\nafter\n"
        )
        rendered_page = replace_table(
            page, ("code", "status", "meaning"), [("a", "9"), ("b", "1")]
        )
        self.assertEqual(
            [("a", "9", "kept | text"), ("b", "1", "")], table_rows(rendered_page)
        )
        self.assertEqual("after\n", rendered_page.rpartition("-->\n")[2])
