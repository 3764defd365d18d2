"""What a caller may take up, by what it names and by what directories know."""

from packages.daemon.tests import gateway_bench as bench  # isort: skip

import dataclasses

from trestlestall.daemon.directory import stream_registry
from trestlestall.daemon.gateway import questions, stream_origins
from trestlestall.forwarding import (
    origins,
    stream_records,
    upstreams,
    version_history,
)
from trestlestall.wire import clocks, stream_messages

WORKSPACES = [{"name": "basu", "keys": ["k1"]}, {"name": "nobo", "keys": ["k2"]}]
FIRST = {"Last_Event_Id": "2", "Trestlestall_Resumes": "r-0"}


def go_on(connection, received):
    """Write the rest of a stream of five events, from the last one on."""
    first = int(received.find("Last-Event-Id") or 0) + 1
    rest = [bench.event(number) for number in range(first, 6)]
    stream = bench.name_request(bench.STREAM, received)
    connection.sendall((stream + bench.frame(*rest)).encode())


class Directory:
    """A directory that keeps records, linked with the gateway under test."""

    def __init__(self, name, gateway, voters=3):
        self.name = name
        self.gateway = gateway
        self.history = version_history.VersionHistory()
        rows = gateway.view.table.rows
        self.registry = stream_registry.StreamRegistry(
            self, rows.values, self.history, lambda: voters
        )
        self.silent = False
        self.asked = 0
        # As if an announcement came in each moment.
        self.heard_at = float("inf")

    def send(self, peer, answer):
        """Send an answer to the gateway."""
        self.gateway.handler.questions.handle_answer(self.name, answer)

    def handle(self, message):
        """Handle a message of the gateway."""
        if self.silent:
            return
        if hasattr(message, "rows"):
            self.registry.handle_began(message)
        elif isinstance(message, stream_messages.HeardCall):
            seconds = clocks.read() - self.heard_at
            self.send("", stream_messages.HeardAnswer(message.token, seconds))
        else:
            self.asked += 1
            self.registry.answer("gateway-1", message)

    def age(self, seconds):
        """Make the directory one that started earlier."""
        self.registry._started_at -= seconds


class TakeUpCase(bench.GatewayCase):
    """A gateway with an upstream each of two versions, and three directories."""

    document = {**bench.DOCUMENT, "workspaces": WORKSPACES}
    versions = ("v1", "v2")

    def setUp(self):
        super().setUp()
        gateway = self.bench.gateway
        self.origins = gateway.handler.origins
        names = ("d1", "d2", "d3")
        self.directories = {name: Directory(name, gateway) for name in names}
        self.linked = list(names)
        gateway.handler.questions.list_directories = lambda: self.linked
        gateway.handler.questions.send = self.send
        self.made = {}
        for number, version in enumerate(self.versions):
            made = self.bench.add(f"u{number}", go_on, version=version)
            self.made[version] = made
        for directory in self.directories.values():
            directory.registry._list_rows = lambda: self.view.table.rows.values()
            directory.age(100.0)

    @property
    def view(self):
        """The gateway's cached view."""
        return self.bench.gateway.view

    def send(self, name, message):
        """Deliver a message to a directory."""
        bench.eventlet.spawn_n(self.directories[name].handle, message)
        return True

    def record(self, request="r-0", version="v1", workspace="basu", names=("d1",)):
        """Record that a request began a stream, at some directories only."""
        row = stream_records.encode_row(
            stream_records.compute_key(workspace, request),
            origins.Origin("work", version),
            20.0,
        )
        message = stream_messages.StreamsBegan((row,))
        for name in names:
            self.directories[name].registry.handle_began(message)

    def take_up(self, key="k1", path="/resume/x", **headers):
        """Take up a stream; return the status and the version that went on."""
        before = {version: len(one.received) for version, one in self.made.items()}
        caller = self.bench.call()
        caller.ask(path, Authorization=f"Bearer {key}", **headers)
        status, _ = caller.read_head()
        if status == 200:
            caller.read_to_end()
        after = {version: len(one.received) for version, one in self.made.items()}
        went = [version for version in self.made if after[version] > before[version]]
        return status, went

    def check_refused(self, *args, **headers):
        """Check that a stream is refused, and that no upstream got the request."""
        self.assertEqual(self.take_up(*args, **headers), (503, []))


class KnownTest(TakeUpCase):
    def test_a_stream_goes_on_at_the_version_that_one_directory_knows(self):
        self.record("r-1", "v1", names=("d1",))
        self.record("r-2", "v2", names=("d3",))
        for _ in range(4):
            for request, version in (("r-1", "v1"), ("r-2", "v2")):
                headers = {"Last_Event_Id": "2", "Trestlestall_Resumes": request}
                self.assertEqual(self.take_up(**headers), (200, [version]))

    def test_a_first_request_without_its_last_event_is_bound_to_the_version(self):
        self.record(version="v2")
        self.assertEqual(self.take_up(Trestlestall_Resumes="r-0"), (200, ["v2"]))

    def test_each_first_event_is_recorded_at_three_directories(self):
        _, (version,) = self.take_up()
        self.assertTrue(
            bench.wait_until(
                lambda: all(len(d.registry.records) for d in self.directories.values())
            )
        )
        for _ in range(3):
            headers = {"Last_Event_Id": "2", "Trestlestall_Resumes": "r-1"}
            self.assertEqual(self.take_up(**headers), (200, [version]))

    def test_a_gateway_knows_the_streams_that_it_began(self):
        _, (version,) = self.take_up()
        for directory in self.directories.values():
            directory.registry.records = stream_records.Records()
        headers = {"Last_Event_Id": "2", "Trestlestall_Resumes": "r-1"}
        self.assertEqual(self.take_up(**headers), (200, [version]))

    def test_a_stream_that_is_taken_up_keeps_its_first_record_alive(self):
        self.record("r-0", "v2", names=("d2",))
        self.assertEqual(self.take_up(**FIRST), (200, ["v2"]))
        key = stream_records.compute_key("basu", "r-0")
        for directory in self.directories.values():
            find = directory.registry.records.find
            self.assertTrue(bench.wait_until(lambda f=find: f(key, clocks.read())))

    def test_no_request_waits_for_directories_unless_it_takes_up_a_stream(self):
        for path in ("/resume/x", "/stream/x"):
            self.assertEqual(self.take_up(path=path)[0], 200)
        self.assertEqual([one.asked for one in self.directories.values()], [0, 0, 0])

    def test_a_newly_linked_directory_gets_the_records(self):
        self.take_up()
        late = Directory("d4", self.bench.gateway)
        self.directories["d4"] = late
        self.origins.resend("d4")
        self.assertTrue(bench.wait_until(lambda: len(late.registry.records)))


class UnknownTest(TakeUpCase):
    """Two versions serve, so what is not known is refused."""

    def test_an_unknown_first_request_is_refused(self):
        for name in ("r-9", "x" * 2000):
            headers = {"Last_Event_Id": "2", "Trestlestall_Resumes": name}
            self.check_refused(**headers)

    def test_a_last_event_without_a_first_request_is_refused(self):
        self.check_refused(Last_Event_Id="2")
        self.check_refused(Last_Event_Id="2", Trestlestall_Resumes="")

    def test_two_first_requests_are_refused(self):
        self.record("r-1", "v1")
        self.record("r-2", "v1")
        caller = self.bench.call()
        twice = "r-1\r\nTrestlestall-Resumes: r-2"
        caller.ask("/resume/x", Last_Event_Id="2", Trestlestall_Resumes=twice)
        self.assertEqual(caller.read_head()[0], 503)

    def test_a_stream_of_another_workspace_is_refused_like_an_unknown_one(self):
        self.record(workspace="basu")
        self.check_refused("k2", **FIRST)
        self.assertEqual(self.take_up("k1", **FIRST), (200, ["v1"]))

    def test_contradicting_records_are_refused(self):
        self.record(version="v1")
        self.record(version="v2")
        self.check_refused(**FIRST)

    def test_a_gateway_without_links_refuses_and_says_when_to_return(self):
        self.linked.clear()
        caller = self.bench.call()
        caller.ask("/resume/x", **FIRST)
        status, head = caller.read_head()
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", head)

    def test_a_record_that_arrives_while_the_caller_waits_is_used(self):
        for directory in self.directories.values():
            directory.age(-99.0)
        bench.eventlet.spawn_after(0.3, self.record)
        self.assertEqual(self.take_up(**FIRST), (200, ["v1"]))

    def test_a_silent_directory_delays_no_stream_that_another_one_knows(self):
        self.directories["d1"].silent = True
        self.record(names=("d2",))
        started = clocks.read()
        self.assertEqual(self.take_up(**FIRST), (200, ["v1"]))
        self.assertLess(clocks.read() - started, questions.ANSWER_SECONDS)

    def test_a_stream_without_an_upstream_of_its_version_is_refused_at_once(self):
        self.record()
        row = self.view.table.rows["u0"]
        drains = dataclasses.replace(
            row, state=upstreams.State.DRAINING, sequence=row.sequence + 1
        )
        self.view.merge_rows((drains,), "test")
        self.check_refused(**FIRST)
        (line,) = self.bench.list_lines("forward_refused")
        self.assertEqual(line["reason"], origins.NO_UPSTREAM)

    def test_a_stream_whose_service_the_route_has_left_is_refused(self):
        self.record()
        routes = [{**one, "targets": []} for one in bench.ROUTES]
        for route in routes:
            route["targets"] = [{"service": "other", "weight": 1}]
        other = {"name": "other", "health_path": "/", "connections": 5}
        document = {**self.document, "routes": routes, "services": {"other": other}}
        self.bench.declare(document, 2)
        self.check_refused(**FIRST)
        (line,) = self.bench.list_lines("stream_taken_up")
        self.assertEqual(line["reason"], origins.MOVED)

    def test_a_stream_that_begins_at_an_unknown_version_is_not_taken_up(self):
        for row in list(self.view.table.rows.values()):
            self.view.merge_rows([dataclasses.replace(row, version="v3")], "test")
        self.assertEqual(self.take_up()[0], 200)
        headers = {"Last_Event_Id": "2", "Trestlestall_Resumes": "r-1"}
        self.check_refused(**headers)


class SoleVersionTest(TakeUpCase):
    """One version has served for longer than a stream lasts."""

    versions = ("v1",)

    def check_goes_on(self):
        """Check that a stream goes on whose first request nobody knows."""
        for headers in (FIRST, {"Last_Event_Id": "2"}):
            self.assertEqual(self.take_up(**headers), (200, ["v1"]))

    def test_an_unknown_stream_goes_on_at_the_only_version(self):
        self.check_goes_on()
        sources = {one["source"] for one in self.bench.list_lines("stream_taken_up")}
        self.assertEqual(sources, {stream_origins.SOLE})

    def test_an_unknown_stream_goes_on_while_a_majority_answers(self):
        self.linked.remove("d3")
        self.check_goes_on()

    def test_one_of_three_directories_is_not_enough(self):
        del self.linked[1:]
        self.check_refused(**FIRST)

    def test_a_version_that_has_just_vanished_may_have_begun_it(self):
        for directory in self.directories.values():
            row = upstreams.Row("u9", 1, upstreams.State.GONE, "work", version="v2")
            directory.history.record((row,), clocks.read() - 3.0)
        self.check_refused(**FIRST)

    def test_a_version_that_one_directory_of_a_majority_has_heard_of_counts(self):
        self.directories["d2"].history.record_proposed("work", "v2", clocks.read())
        self.check_refused(**FIRST)

    def test_a_directory_that_has_just_started_takes_no_majority_away(self):
        """Guards against streams that are refused after one directory was killed."""
        self.directories["d3"].age(-99.0)
        self.check_goes_on()

    def test_directories_that_have_just_started_vouch_for_nothing(self):
        for directory in self.directories.values():
            directory.age(-98.0)
        self.check_refused(**FIRST)


class IdentityTest(TakeUpCase):
    """An upstream may have started again as another version at its address."""

    versions = ("v1",)

    def hear(self, seconds):
        """Let the last announcement be that old from now on."""
        for directory in self.directories.values():
            directory.heard_at = clocks.read() - seconds

    def test_a_stream_waits_for_an_announcement_that_is_younger_than_the_link(self):
        self.hear(0.0)
        bench.eventlet.spawn_after(0.6, self.hear, 0.0)
        started = clocks.read()
        self.assertEqual(self.take_up(**FIRST), (200, ["v1"]))
        self.assertGreater(clocks.read() - started, 0.5)
        (line,) = self.bench.list_lines("identity_proven")
        self.assertEqual(line["version"], "v1")
        (received,) = self.made["v1"].received
        given = int(received.find("Trestlestall-Deadline-Milliseconds"))
        self.assertLess(given, 1000 * (3.0 - 0.5))

    def test_a_link_that_is_older_than_the_last_announcement_costs_no_wait(self):
        self.assertEqual(self.take_up()[0], 200)
        bench.eventlet.sleep(0.4)
        self.hear(0.0)
        bench.eventlet.sleep(0.1)
        started = clocks.read()
        self.assertEqual(
            self.take_up(Trestlestall_Request="r-2", **FIRST), (200, ["v1"])
        )
        self.assertLess(clocks.read() - started, 0.1)

    def test_a_stream_is_not_sent_to_an_upstream_that_no_directory_heard(self):
        self.hear(1.0)
        self.check_refused(**FIRST)
        self.assertTrue(self.bench.list_lines("identity_unproven"))
        self.assertEqual(self.bench.list_lines("upstream_unreachable"), [])

    def test_an_upstream_that_announces_another_version_is_left_at_once(self):
        self.hear(1.0)
        other = dataclasses.replace(self.made["v1"].row, version="v2", sequence=2)
        bench.eventlet.spawn_after(0.3, self.view.merge_rows, (other,), "test")
        started = clocks.read()
        self.check_refused(**FIRST)
        self.assertLess(clocks.read() - started, 1.0)

    def test_an_upstream_that_drains_meanwhile_gets_nothing(self):
        self.hear(1.0)
        drains = dataclasses.replace(
            self.made["v1"].row, state=upstreams.State.DRAINING, sequence=2
        )
        bench.eventlet.spawn_after(0.3, self.view.merge_rows, (drains,), "test")
        bench.eventlet.spawn_after(0.6, self.hear, -1.0)
        self.check_refused(**FIRST)

    def test_a_caller_who_leaves_before_the_proof_reaches_no_upstream(self):
        self.hear(0.0)
        caller = self.bench.call()
        caller.ask("/resume/x", **FIRST)
        bench.eventlet.sleep(0.2)
        caller.close()
        found = bench.wait_until(lambda: self.bench.list_lines("identity_unproven"))
        self.assertTrue(found)
        self.hear(-1.0)
        bench.eventlet.sleep(0.3)
        self.assertEqual(self.made["v1"].received, [])

    def test_a_new_stream_needs_no_proof(self):
        self.hear(1.0)
        self.linked.clear()
        self.assertEqual(self.take_up(), (200, ["v1"]))
