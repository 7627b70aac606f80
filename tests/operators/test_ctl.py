"""The command line against controllers served in this process."""

import contextlib
import io
import json
import os
import socket
import tempfile
import threading
from pathlib import Path
from unittest import mock

import msgspec
from testtools import TestCase

from lentilrill.ctl import main
from lentilrill.membership import Liveness
from lentilrill.operators import StopState, StopStatus
from lentilrill.settings import InnerKeys, encode_lists
from lentilrill.settings._process_checks import problems_of
from tests.builders import a_document, an_address, digest
from tests.fakes import FakeKeyValue, lose_answer
from tests.operators.serving import (
    TOKEN,
    ServedController,
    a_member_status,
    controller_settings,
)


class CtlTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.served = self.serve(FakeKeyValue())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.lists("mine", 2)

    def serve(self, kv: FakeKeyValue) -> ServedController:
        served = ServedController(kv)
        served.server.start()
        self.addCleanup(served.server.stop)
        return served

    def lists(self, name: str, hosts_owed: int) -> str:
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        document = a_document("schools", "spare", hosts_owed=hosts_owed)
        plans, entitlements = encode_lists(document)
        distinct = json.loads(plans)
        (folder / "plans.json").write_text(json.dumps(distinct))
        (folder / "entitlements.json").write_bytes(entitlements)
        return str(folder)

    def run_ctl(self, *arguments: str, controllers: str | None = None, token: str = TOKEN):
        environment = {
            "LENTILRILL_CONTROLLERS": controllers or self.served.address,
            "LENTILRILL_TOKEN": token,
        }
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict(os.environ, environment),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                code = main(arguments)
            except SystemExit as end:
                code = end.code
        return int(code), out.getvalue(), err.getvalue()

    def test_show_edit_diff_apply(self) -> None:
        mine = self.lists("mine", 2)
        code, out, err = self.run_ctl("config", "apply", mine)
        self.assertEqual(
            (0, ""), (code, err.replace("revision 1: in force everywhere (1 processes)\n", ""))
        )
        self.assertIn("accepted as revision 1, edit 1", out)
        copy = str(self.folder / "copy")
        self.assertEqual(0, self.run_ctl("config", "show", "--to", copy)[0])
        plans = Path(copy, "plans.json")
        plans.write_text(plans.read_text().replace('"hosts_owed": 2', '"hosts_owed": 3', 1))
        code, out, _ = self.run_ctl("config", "diff", copy)
        self.assertEqual(0, code)
        self.assertIn("~ plans schools", out)
        self.assertIn("hosts_owed: 2 -> 3", out)
        code, out, _ = self.run_ctl("config", "apply", copy, "--json", "--no-wait")
        self.assertEqual((0, "accepted"), (code, json.loads(out)["verdict"]))
        self.assertIn("unchanged", self.run_ctl("config", "apply", copy)[1])

    def test_conflict_shows_the_winning_edit(self) -> None:
        # Two operators edit and apply lists of the same revision. The second gets exit code 3, and
        # the message shows who made the first edit and the differences.
        self.run_ctl("config", "apply", self.lists("mine", 2))
        mine, other = self.lists("mine", 3), self.lists("other", 4)
        (self.folder / "other" / "revision").write_text("1\n")
        self.assertEqual(0, self.run_ctl("config", "apply", other)[0])
        code, _, err = self.run_ctl("config", "apply", mine)
        self.assertEqual(3, code)
        self.assertIn("Another edit came first", err)
        self.assertIn("hosts_owed: 4 -> 3", err)
        self.assertIn("asha", err)

    def test_failover_from_an_unreachable_controller(self) -> None:
        # The address of a replaced entry host doesn't answer: the next controller is tried.
        both = f"{an_address()},{self.served.address}"
        self.assertEqual(
            0, self.run_ctl("config", "apply", self.lists("m", 2), controllers=both)[0]
        )
        self.assertEqual(4, self.run_ctl("status", controllers=an_address())[0])

    def test_failover_from_a_controller_without_platform_access(self) -> None:
        # The first controller's zone is cut off from the platform: the edit goes to the controller
        # of another zone.
        cut = self.serve(FakeKeyValue())
        cut.kv.down = True
        both = f"{cut.address},{self.served.address}"
        self.assertEqual(
            0, self.run_ctl("config", "apply", self.lists("m", 2), controllers=both)[0]
        )
        self.assertEqual(
            4, self.run_ctl("config", "apply", self.lists("m", 3), controllers=cut.address)[0]
        )

    def test_response_lost_between_platform_and_controller(self) -> None:
        # The platform stores the first controller's write and is then cut off from its zone. The
        # same edit, sent to the next controller, must be recognized and not applied twice.
        def cut_off(call):
            lost = lose_answer(call)
            self.served.kv.down = True
            return lost

        self.served.kv.commits.append(cut_off)
        code, _, err = self.run_ctl("config", "apply", self.lists("m", 2))
        self.assertEqual(6, code)
        self.assertIn("audit", err)
        self.served.kv.down = False

        # The same with a second controller that can still reach the platform.
        other = self.serve(self.served.kv)
        self.served.kv.commits.append(lose_answer)
        both = f"{self.served.address},{other.address}"
        code, out, _ = self.run_ctl(
            "config", "apply", self.lists("m", 3), "--base", "1", controllers=both
        )
        self.assertEqual(0, code)
        self.assertIn("edit 2", out)

    def test_response_lost_between_controller_and_operator(self) -> None:
        # A controller receives the edit and the connection breaks before the response; the next
        # controller is unreachable. "No controller answers" would hide that the edit may be in
        # effect.
        with socket.create_server(("127.0.0.1", 0)) as listener:
            breaking = threading.Thread(target=_read_and_break, args=(listener,))
            breaking.start()
            both = f"127.0.0.1:{listener.getsockname()[1]},{an_address()}"
            lists = self.lists("m", 2)
            code, _, err = self.run_ctl("config", "apply", lists, controllers=both)
            breaking.join()
        self.assertEqual(6, code)
        self.assertIn("not known whether the edit took effect", err)

    def test_suspect_process_counts_as_not_in_force(self) -> None:
        # Gateways of a partitioned zone can't be reached and go on serving with an old document.
        self.served.members.append(a_member_status("gw-2", 0, liveness=Liveness.SUSPECT))
        code, _, err = self.run_ctl("config", "apply", self.lists("m", 2), "--wait", "0")
        self.assertEqual(5, code)
        self.assertIn("not heard: gw-2", err)

    def test_not_in_force_in_time(self) -> None:
        # A gateway that is partitioned or hung may still use the old configuration: the edit is
        # accepted but not yet in force everywhere, and the output names the processes without it.
        self.served.members.append(a_member_status("gw-2", 0, liveness=Liveness.SUSPECT))
        self.served.members.append(a_member_status("gw-3", 0))
        self.served.members.append(a_member_status("gw-4", 0, liveness=Liveness.GONE))
        code, out, err = self.run_ctl("config", "apply", self.lists("m", 2), "--wait", "0")
        self.assertEqual(5, code)
        self.assertIn("accepted", out)
        self.assertIn("in force at 1 of 3 processes, not yet at gw-3; not heard: gw-2", err)

    def test_stops(self) -> None:
        self.run_ctl("config", "apply", self.lists("m", 2))
        code, out, _ = self.run_ctl("stop", "declare", "june", "--host", "h1", "--reason", "disk")
        self.assertEqual(0, code)
        self.assertIn("+ stops june", out)
        why = "the budget of plan schools is spent until h2 is back"
        self.served.stops = (StopStatus("june", StopState.WAITING, "disk", why, waiting=("h1",)),)
        code, out, _ = self.run_ctl("stop", "list")
        self.assertIn("june", out)
        self.assertIn(why, out)
        self.assertEqual(0, self.run_ctl("stop", "cancel", "june")[0])
        code, _, err = self.run_ctl("stop", "cancel", "june")
        self.assertEqual(1, code)
        self.assertIn("no stop 'june'", err)

    def test_every_error_of_the_lists_is_shown(self) -> None:
        mine = self.lists("mine", -1)
        for offline in ((), ("--offline",)):
            code, out, _ = self.run_ctl("config", "check", mine, *offline)
            self.assertEqual(1, code)
            self.assertIn("plans[0].hosts_owed", out)
            self.assertIn("plans[1].hosts_owed", out)
        code, _, err = self.run_ctl("config", "apply", mine)
        self.assertEqual(1, code)
        self.assertIn("plans[1].hosts_owed", err)

    def test_usage_errors_are_told_in_the_words_of_the_options(self) -> None:
        """Guards against errors that name the program's functions, or a traceback."""
        for arguments, words in (
            (("audit", "--limit", "x"), "must be a number from 1 to 1000"),
            (("audit", "--limit", "9" * 5000), "must be a number from 1 to 1000"),
            (("config", "apply", "mine", "--base", "new"), "must be a revision"),
            (("config", "apply", "mine", "--wait", "soon"), "must be a number of seconds"),
            (("config", "apply", "mine", "--wait", "nan"), "must be a number of seconds"),
        ):
            code, _, err = self.run_ctl(*arguments)
            self.assertEqual(2, code, arguments)
            self.assertIn(words, err)
            self.assertNotIn("_", err.splitlines()[-1][:200])

    def test_invalid_files_and_usage(self) -> None:
        mine = self.lists("mine", 2)
        Path(mine, "plans.json").write_text("[{")
        code, _, err = self.run_ctl("config", "apply", mine)
        self.assertEqual(2, code)
        self.assertIn("plans.json: broken JSON", err)
        self.assertEqual(2, self.run_ctl("config", "apply", str(self.folder / "none"))[0])
        self.assertEqual(2, self.run_ctl("config", "apply")[0])
        self.assertEqual(2, self.run_ctl("status", "--token-file", "/nowhere")[0])
        self.assertEqual(2, self.run_ctl("status", controllers=" ")[0])
        self.assertEqual(1, self.run_ctl("status", token="wrong")[0])

    def test_generated_secrets_fit_into_settings(self) -> None:
        code, out, _ = self.run_ctl("generate", "token", "--json", controllers=" ")
        made = json.loads(out)
        self.assertEqual((0, digest(made["token"])), (code, made["sha256"]))
        _, out, _ = self.run_ctl("generate", "keys", controllers=" ")
        keys = InnerKeys(**json.loads(out))
        self.assertEqual((), problems_of(controller_settings(keys=keys)))

    def test_json_answers_decode(self) -> None:
        self.run_ctl("config", "apply", self.lists("m", 2))
        for command in ("status", "hosts", "audit", "config show", "stop list"):
            code, out, _ = self.run_ctl(*command.split(), "--json")
            self.assertEqual(0, code, command)
            msgspec.json.decode(out.encode())

    def test_status_text(self) -> None:
        self.run_ctl("config", "apply", self.lists("m", 2))
        code, out, _ = self.run_ctl("status")
        self.assertEqual(0, code)
        self.assertIn("revision 1 is in force everywhere (1 processes)", out)
        self.assertIn("no planned stops", out)


def _read_and_break(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.recv(100)
