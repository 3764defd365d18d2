"""Settings files are validated with all problems at once, each with its path."""

import json
import pathlib
import tempfile
import unittest
from unittest import mock

from trestlestall.daemon import settings
from trestlestall.daemon.settings import checks, document

SECRETS = {"peers": "p", "upstreams": "u", "operators": {"alice": "a"}}
CONTROL_PEER = {
    "name": "control-1",
    "role": "control",
    "data_centre": "a",
    "address": "127.0.0.1:9000",
}
ROUTER = {
    "role": "router",
    "name": "router-1",
    "data_centre": "a",
    "listen": {
        "callers": "127.0.0.1:8000",
        "upstreams": "127.0.0.1:8001",
        "operators": "127.0.0.1:8002",
        "platform": "[::1]:8003",
        "peers": "127.0.0.1:8004",
    },
    "secrets_file": "secrets.json",
    "peers": [CONTROL_PEER],
}
CONTROL = {
    "role": "control",
    "name": "control-2",
    "data_centre": "a",
    "listen": {
        "operators": "127.0.0.1:0",
        "platform": "127.0.0.1:0",
        "peers": "127.0.0.1:9001",
    },
    "secrets_file": "secrets.json",
    "data_folder": "data",
    "voters": ["control-1", "control-2"],
    "peers": [CONTROL_PEER],
}

GATEWAY = {
    "role": "gateway",
    "name": "gateway-1",
    "data_centre": "a",
    "listen": {
        "callers": "127.0.0.1:8000",
        "platform": "127.0.0.1:8001",
        "peers": "127.0.0.1:8002",
    },
    "secrets_file": "secrets.json",
    "directories": ["127.0.0.1:9001"],
}
DIRECTORY = {
    "role": "directory",
    "name": "directory-1",
    "data_centre": "a",
    "listen": {"service": "127.0.0.1:9000", "peers": "127.0.0.1:9001"},
    "secrets_file": "secrets.json",
    "data_folder": "data",
    "directories": ["127.0.0.1:9001"],
}


def change(base, **changes):
    """Return a copy with changed keys; ``listen__x`` is the key x of ``listen``."""
    found = json.loads(json.dumps(base))
    for key, value in changes.items():
        *outer, last = key.split("__")
        target = found
        for part in outer:
            target = target[part]
        target[last] = value
    return found


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "data").mkdir()
        self.write_secrets(SECRETS)

    def write_secrets(self, content, mode=0o600):
        path = self.folder / "secrets.json"
        path.write_text(json.dumps(content))
        path.chmod(mode)

    def load(self, content):
        path = self.folder / "settings.json"
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return settings.load(path)

    def find_problems(self, content):
        found = self.load(content)
        self.assertIsInstance(found, list, found)
        return [str(problem) for problem in found]

    def test_valid_settings_are_typed_and_paths_joined_to_their_folder(self):
        router = self.load(ROUTER)
        self.assertIsInstance(router, settings.RouterSettings)
        self.assertEqual(router.listen.platform, settings.Address("::1", 8003))
        self.assertEqual(str(router.listen.platform), "[::1]:8003")
        self.assertEqual(router.limits, settings.Limits())
        self.assertEqual(router.secrets.find_operator("a"), "alice")
        self.assertIsNone(router.secrets.find_operator("p"))
        control = self.load(CONTROL)
        self.assertIsInstance(control, settings.ControlSettings)
        self.assertEqual(control.data_folder, str(self.folder / "data"))
        self.assertNotIn("'a'", repr(control.secrets))

    def test_the_window_of_the_retry_budget(self):
        for base in (GATEWAY, DIRECTORY):
            self.assertNotIsInstance(self.load(base), list)
            for seconds, problem in ((0, "must be above 0"), (61, "at most 60")):
                changed = change(base, retries={"window_seconds": seconds})
                with self.subTest(role=base["role"], seconds=seconds):
                    (found,) = self.load(changed)
                    self.assertEqual(found.path, "retries.window_seconds")
                    self.assertEqual(found.message, problem)

    def test_a_gateway_holds_one_answer_at_least(self):
        cases = {
            "body_bytes": ({"body_bytes": 0}, "must be above 0"),
            "held_bytes": ({"held_bytes": 5}, "must not be below body_bytes"),
        }
        for key, (answers, message) in cases.items():
            with self.subTest(key=key):
                (found,) = self.load(change(GATEWAY, answers=answers))
                self.assertEqual(found.path, f"answers.{key}")
                self.assertEqual(found.message, message)

    def test_single_problems(self):
        peers = [CONTROL_PEER, change(CONTROL_PEER, address="127.0.0.1:9009")]
        own = [CONTROL_PEER, change(CONTROL_PEER, name="router-1", address="1.2.3.4:5")]
        table = [
            ("role: give", change(ROUTER, role="other")),
            ("role: give", change(ROUTER, role=["router"])),
            ("colour: unknown key", change(ROUTER, colour=1)),
            ("listen.spare: unknown key", change(ROUTER, listen__spare="127.0.0.1:1")),
            ("name: Expected `str`, got `int`", change(ROUTER, name=7)),
            ("name: must not be empty", change(ROUTER, name="")),
            ("listen: expected an object, got text", change(ROUTER, listen="x")),
            ("peers: expected an array, got null", change(ROUTER, peers=None)),
            ("limits.streams: Expected `int`", change(ROUTER, limits={"streams": 1.5})),
            ("limits.streams: must be above 0", change(ROUTER, limits={"streams": 0})),
            (
                "listen.callers: localhost isn't an IP number",
                change(ROUTER, listen__callers="localhost:8000"),
            ),
            (
                "listen.callers: the port must",
                change(ROUTER, listen__callers="127.0.0.1:65536"),
            ),
            ("listen.callers: write it", change(ROUTER, listen__callers="127.0.0.1")),
            ("listen.callers: write brackets", change(ROUTER, listen__callers="::1:8")),
            (
                "listen.peers: 127.0.0.1:8000 is already taken by listen.callers",
                change(ROUTER, listen__peers="127.0.0.1:8000"),
            ),
            (
                "listen.peers: 0.0.0.0:8000 is already taken by listen.callers",
                change(ROUTER, listen__peers="0.0.0.0:8000"),
            ),
            ("peers[1].name: control-1 is listed twice", change(ROUTER, peers=peers)),
            (
                "peers[1].address: 127.0.0.1:9000 belongs",
                change(ROUTER, peers=[CONTROL_PEER, change(CONTROL_PEER, name="c3")]),
            ),
            ("peers[1].name: is this process's own name", change(ROUTER, peers=own)),
            (
                "peers[0].address: is this process's own",
                change(ROUTER, peers=[change(CONTROL_PEER, address="127.0.0.1:8004")]),
            ),
            (
                "peers[0].address: 127.0.0.1:0 can't be dialled",
                change(ROUTER, peers=[change(CONTROL_PEER, address="127.0.0.1:0")]),
            ),
            (
                "peers[0].role: Invalid enum value 'boss'",
                change(ROUTER, peers=[change(CONTROL_PEER, role="boss")]),
            ),
            ("peers: list at least one control", change(ROUTER, peers=[])),
            ("data_folder: no folder", change(CONTROL, data_folder="none")),
            ("voters: missing", {k: v for k, v in CONTROL.items() if k != "voters"}),
            ("voters: name the first", change(CONTROL, voters=[])),
            ("voters[0]: control-9 is neither", change(CONTROL, voters=["control-9"])),
            ("voters[1]: control-1 is", change(CONTROL, voters=["control-1"] * 2)),
            ("secrets_file: no file can", change(ROUTER, secrets_file="a\0")),
            ("secrets_file: can't read", change(ROUTER, secrets_file="none.json")),
        ]
        for message, content in table:
            with self.subTest(message=message):
                problems = self.find_problems(content)
                self.assertEqual(len(problems), 1, problems)
                self.assertTrue(problems[0].startswith(message), problems[0])

    def test_all_problems_are_found_at_once(self):
        content = change(
            CONTROL,
            colour=1,
            listen__peers="control-2:9",
            listen__platform=5,
            data_folder="none",
            voters=["control-9"],
        )
        self.write_secrets(SECRETS, mode=0o644)
        paths = [problem.split(":")[0] for problem in self.find_problems(content)]
        wanted = ["colour", "listen.platform", "listen.peers", "voters[0]"]
        self.assertEqual(paths, [*wanted, "data_folder", "secrets_file"])

    def test_files_without_a_json_object(self):
        for content in ("", "[]", "{", '{"a": 1, "a": 2}', "[" * 100_000, "\ud800"):
            with self.subTest(content=content[:20]):
                path = self.folder / "settings.json"
                path.write_bytes(content.encode(errors="surrogatepass"))
                self.assertEqual(len(settings.load(path)), 1)

    def test_bad_secrets(self):
        table = [
            ("secrets_file: ", SECRETS, 0o640),
            ("secrets_file (peers): is the same", change(SECRETS, peers="u"), 0o600),
            ("secrets_file (upstreams): give", change(SECRETS, upstreams=""), 0o600),
            ("secrets_file (operators): give", change(SECRETS, operators=[]), 0o600),
            (
                "secrets_file (operators.alice): give",
                change(SECRETS, operators__alice=1),
                0o600,
            ),
            ("secrets_file (extra): unknown key", change(SECRETS, extra="x"), 0o600),
        ]
        for message, content, mode in table:
            with self.subTest(message=message):
                self.write_secrets(content, mode)
                problems = self.find_problems(ROUTER)
                self.assertTrue(problems[0].startswith(message), problems)

    def test_data_folder_that_this_user_cannot_write(self):
        # Patched, since root may write to any folder.
        with mock.patch.object(checks.os, "access", return_value=False):
            [problem] = self.find_problems(CONTROL)
        self.assertIn("can't write", problem)


class AddressTest(unittest.TestCase):
    def test_addresses_are_formatted_as_they_were_parsed(self):
        for text in ("127.0.0.1:0", "[2001:db8::1]:65535", "0.0.0.0:80"):
            with self.subTest(text=text):
                self.assertEqual(str(document.parse_address(text)), text)
