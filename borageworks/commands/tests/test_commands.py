"""Tests of the commands: exit codes and output streams."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
import testtools
from click.testing import CliRunner

from borageworks.__main__ import cli
from borageworks.catalog import tickets
from borageworks.catalog.tests.fake_store import FakeStore
from borageworks.commands import ticket as ticket_module
from borageworks.commands.exit_codes import ExitCode
from borageworks.config.tests.examples import VALID
from borageworks_emulator.platform.harness import settings_text

TICKET = {
    "number": 3,
    "put": [
        {"kind": "pool", "id": "p", "endpoints": "engine"},
        {"kind": "organisation", "id": "a", "share": 2.0},
    ],
}


class ClosableStore(FakeStore):
    """Store that the commands open and close."""

    async def close(self) -> None:
        self.calls["close"] += 1


class CommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.settings = self.write("settings.json", VALID)
        self.store = ClosableStore()
        self.patch(ticket_module, "EtcdStore", lambda settings, metrics: self.store)

    def write(self, name, document):
        path = self.directory / name
        path.write_bytes(orjson.dumps(document))
        return str(path)

    def run_cli(self, *arguments, code=0):
        result = CliRunner().invoke(cli, arguments)
        self.assertEqual(code, result.exit_code, result.output)
        return result

    def test_check_accepts_platform_settings(self):
        """Guards against settings that `check` accepts and `run` rejects."""
        valid = self.directory / "settings.conf"
        valid.write_text(settings_text(("10.0.0.9", 8781), [1, 2, 3, 4]))
        self.run_cli("check", str(valid))
        invalid = self.directory / "invalid.conf"
        invalid.write_text("node_name=a\nplatform.address=nowhere\n")
        for command in ("check", "run"):
            result = self.run_cli(command, str(invalid), code=2)
            self.assertIn("platform.address", result.stderr)
            self.assertIn("listen", result.stderr)

    def test_check(self):
        """Guards against an exit code that reports invalid settings as valid."""
        self.run_cli("check", self.settings)
        invalid = self.write("broken.json", {**VALID, "domian": 1, "peer": 1})
        result = self.run_cli("check", invalid, code=2)
        self.assertEqual("", result.stdout)
        lines = result.stderr.splitlines()
        self.assertEqual(2, len(lines))
        self.assertIn("$.domian: unknown key; did you mean 'domain'?", lines[1])
        self.run_cli("check", code=2)

    def test_check_schema(self):
        """Guards against a schema that tools cannot read."""
        schema = orjson.loads(self.run_cli("check", "--schema").stdout)
        self.assertIn("membership", schema["properties"])

    def test_ticket_apply_and_show(self):
        """Guards against a wrong report of a change, and against stale output."""
        path = self.write("ticket.json", TICKET)
        apply = ("ticket", "apply", path, "--settings", self.settings)
        self.assertEqual("ticket 3 accepted, revision 2\n", self.run_cli(*apply).stdout)
        self.assertEqual(
            "ticket 3 was accepted before, revision 2\n", self.run_cli(*apply).stdout
        )
        show = ("ticket", "show", "--settings", self.settings)
        self.assertIn("accepted tickets  1", self.run_cli(*show).stdout)
        listing = self.run_cli(*show, "organisation").stdout.split()
        self.assertEqual(["organisation", "ticket", "a", "3"], listing)
        stored = orjson.loads(self.run_cli(*show, "organisation", "a").stdout)
        self.assertEqual((3, 2.0), (stored["ticket"], stored["put"]["share"]))
        self.run_cli(*show, "organisation", "b", code=ExitCode.FAILED)
        self.assertEqual(6, self.store.calls["close"])

    def test_ticket_errors_have_distinct_exit_codes(self):
        """Guards against scripts that cannot distinguish a conflict from an outage."""

        def apply(document, code, *options):
            path = self.write("ticket.json", document)
            arguments = ("ticket", "apply", path, "--settings", self.settings)
            return self.run_cli(*arguments, *options, code=code).stderr

        apply(TICKET, 0)
        self.assertIn("$.numbr", apply({"numbr": 3}, ExitCode.INVALID))
        self.assertIn(
            "ticket_conflict", apply({**TICKET, "number": 2}, ExitCode.CONFLICT)
        )
        service = {"kind": "service", "id": "s", "pool": "q"}
        stderr = apply({"number": 4, "put": [service]}, ExitCode.INVALID)
        self.assertIn("names missing pool 'q'", stderr)
        endpoint: dict[str, object] = {
            "kind": "endpoint",
            "id": "e",
            "pool": "p",
            "domain": "d9",
        }
        endpoint |= {"host": "127.0.0.1", "port": 9}
        change = {"number": 4, "put": [endpoint]}
        self.assertIn("domain 'd9'", apply(change, ExitCode.INVALID, "--domain", "d1"))
        self.store.commit_faults = ["before"] * 99
        self.patch(tickets, "CONFLICT_BACKOFF_S", 0.0)
        self.assertIn("store_outcome_unknown", apply(change, ExitCode.OUTCOME_UNKNOWN))
        self.store.down = True
        self.assertIn("store_unavailable", apply(change, ExitCode.FAILED))

    def test_status(self):
        """Guards against a status table that hides values or fails on unknown ones."""
        document = {
            "instance": "i1",
            "ready": True,
            "lacking": [],
            "members": [
                {"id": "i1", "waiting": 3},
                {"id": "i2", "waiting": 14, "note": None},
            ],
            "store": {"state": "up"},
        }
        url = self.serve(200, orjson.dumps(document))
        lines = self.run_cli("status", "--url", url).stdout.splitlines()
        for expected in (
            "instance  i1",
            "ready     true",
            "i2       14  -",
            "state  up",
        ):
            self.assertIn(expected, lines)

    def test_status_failures(self):
        """Guards against a traceback if the router is down or its response invalid."""
        for url in (
            self.serve(503, b"{}"),
            self.serve(200, b"nonsense"),
            "http://127.0.0.1:1",
        ):
            result = self.run_cli("status", "--url", url, code=1)
            self.assertIn("no status from", result.stderr)

    def serve(self, status, body):
        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(status if self.path == "/status" else 404)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_arguments):
                pass

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"http://127.0.0.1:{server.server_port}"
