"""No process ends, hangs or outgrows its machine, whatever clients send."""

import contextlib
import http.client
import resource
import tempfile
import threading
import unittest

from packages.daemon.tests import router_bench
from tests import crowds, gateways

#: Memory of the smallest machines on which the processes run, in megabytes.
GATEWAY_MEGABYTES = 300
DIRECTORY_MEGABYTES = 296
#: Descriptors that a process may open in these tests, and how many it has to keep free
#: for its own connections.
DESCRIPTORS = 256
FREE_DESCRIPTORS = 64
#: The limits that a document states for callers' bodies, and a directory's default.
BODY_BYTES = 4 * crowds.MEGABYTE
DOCUMENT_BYTES = 8 * crowds.MEGABYTE
#: The longest time that callers in these tests wait for an answer.
DEADLINE_SECONDS = 15.0
LIMITS = {"body_bytes": BODY_BYTES, "header_seconds": 3.0, "idle_seconds": 15.0}
PATH = "/work/x"
REQUEST = "Trestlestall-Request: crowd"
DECLARATION = "/v1/declaration"


class DoorCase(unittest.TestCase):
    """A directory, a gateway and an upstream that announces itself all the while."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.deployment = gateways.Deployment(folder, directories=1, gateways=1)
        self.stack.callback(self.deployment.stop_all)
        self.deployment.start_all()
        document = gateways.make_document(1, limits=LIMITS)
        self.assertEqual(self.deployment.declare(document), 200)
        self.upstream = gateways.Upstream("u1")
        self.stack.callback(self.upstream.stop)
        self.directory = self.deployment.ports["directory-0"]
        self.gateway = self.deployment.ports["gateway-0"]
        done = threading.Event()
        renewing = threading.Thread(target=self.renew, args=(done,))
        renewing.start()
        self.stack.callback(renewing.join)
        self.stack.callback(done.set)
        gateways.wait_until(lambda: self.ask() == 200, "a request is served")

    def renew(self, done):
        """Announce the upstream until the end of the test."""
        while not done.wait(0.5):
            self.upstream.announce(self.directory)

    def ask(self, body=b"body", **headers):
        """Send one ordinary request; return the status."""
        given = {"Host": "api", "Trestlestall_Request": "ordinary", **headers}
        return gateways.ask(
            self.gateway, "POST", PATH, body, DEADLINE_SECONDS, **given
        ).status

    def check_crowd(self, name, port, megabytes, ask, *kinds):
        """Check that a process bears a crowd, and that ``ask`` is answered after it."""
        process = self.deployment.running[name]
        with crowds.watch(process.pid) as needs, crowds.gather(port, *kinds):
            during = ask()
        after = ask()
        self.assertTrue(process.running, process.describe())
        self.assertLess(needs.memory, megabytes)
        self.assertEqual((during, after), (200, 200))
        return needs


class CallersDoorTest(DoorCase):
    """Crowds at the gateway's port for callers."""

    def check(self, *kinds):
        """Check that the gateway bears a crowd."""
        return self.check_crowd(
            "gateway-0", self.gateway, GATEWAY_MEGABYTES, self.ask, *kinds
        )

    def test_bodies_with_a_length_that_stop_short_of_their_end(self):
        self.check(crowds.send_length(100, PATH, BODY_BYTES, REQUEST))

    def test_bodies_in_large_chunks_that_stop_short_of_their_end(self):
        self.check(crowds.send_chunks(100, PATH, BODY_BYTES, 65536, REQUEST))

    def test_bodies_in_chunks_of_one_byte(self):
        self.check(crowds.send_chunks(60, PATH, BODY_BYTES, 1, REQUEST))

    def test_bodies_in_chunks_of_a_few_bytes(self):
        kinds = [
            crowds.send_chunks(20, PATH, BODY_BYTES, size, REQUEST)
            for size in (2, 3, 5, 17)
        ]
        self.check(*kinds)

    def test_bodies_far_over_the_limit(self):
        self.check(
            crowds.send_length(30, PATH, 64 * BODY_BYTES, REQUEST),
            crowds.send_chunks(30, PATH, 64 * BODY_BYTES, 65536, REQUEST),
        )

    def test_connections_without_a_request(self):
        process = self.deployment.running["gateway-0"]
        limit_descriptors(process.pid)
        needs = self.check(
            crowds.send_nothing(DESCRIPTORS), crowds.send_part_of_head(64, PATH)
        )
        self.assertLessEqual(needs.descriptors, DESCRIPTORS - FREE_DESCRIPTORS)

    def test_answers_that_nobody_reads(self):
        long = b"x" * BODY_BYTES

        def answer(handler):
            length = int(handler.headers.get("Content-Length") or 0)
            handler.rfile.read(length)
            body = b"ok" if length else long
            handler.send_response(200)
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            handler.wfile.write(body)

        self.upstream.answer = answer
        self.check(crowds.read_nothing(100, PATH, REQUEST))

    def test_all_kinds_at_once(self):
        self.check(
            crowds.send_length(40, PATH, BODY_BYTES, REQUEST),
            crowds.send_chunks(40, PATH, BODY_BYTES, 65536, REQUEST),
            crowds.send_chunks(20, PATH, BODY_BYTES, 1, REQUEST),
            crowds.send_length(20, PATH, 64 * BODY_BYTES, REQUEST),
            crowds.send_part_of_head(80, PATH),
        )

    def test_connections_that_were_served_and_stay_open(self):
        """Guards against the bodies of answered requests that are still held."""
        process = self.deployment.running["gateway-0"]
        headers = {"Host": "api", "Trestlestall-Request": "served"}
        with crowds.watch(process.pid) as needs, contextlib.ExitStack() as opened:
            for _ in range(100):
                connection = http.client.HTTPConnection(crowds.HOST, self.gateway)
                opened.callback(connection.close)
                connection.request("POST", PATH, b"x" * BODY_BYTES, headers)
                answer = connection.getresponse()
                self.assertEqual((answer.status, answer.read()), (200, b"ok"))
        self.assertLess(needs.memory, GATEWAY_MEGABYTES)

    def test_the_longest_body_is_served_in_calm_however_it_is_sent(self):
        """Guards against limits that refuse one request inside the stated ones."""
        body = b"x" * BODY_BYTES
        self.assertEqual(self.ask(body), 200)
        chunks = (body[n : n + 7] for n in range(0, len(body), 7))
        framed = b"".join(b"7\r\n%b\r\n" % part for part in chunks if len(part) == 7)
        head = crowds.make_head(
            PATH, REQUEST, "Transfer-Encoding: chunked", "Connection: close"
        )
        whole = f"{head}\r\n".encode() + framed + b"0\r\n\r\n"
        self.assertTrue(send_whole(self.gateway, whole).startswith(b"HTTP/1.1 200"))


class DirectoryDoorTest(DoorCase):
    """Crowds at a directory's port for operators and upstreams."""

    def announce(self):
        """Announce another upstream; return the status."""
        row = gateways.make_row("127.0.0.1:9", 1)
        path = "/v1/upstreams/u2"
        body = gateways.json.dumps(row)
        return gateways.ask(self.directory, "PUT", path, body, DEADLINE_SECONDS).status

    def check(self, *kinds):
        """Check that the directory bears a crowd."""
        return self.check_crowd(
            "directory-0", self.directory, DIRECTORY_MEGABYTES, self.announce, *kinds
        )

    def test_documents_with_a_length_that_stop_short_of_their_end(self):
        size = DOCUMENT_BYTES
        self.check(crowds.send_length(60, DECLARATION, size, method="PUT"))

    def test_documents_in_large_chunks_that_stop_short_of_their_end(self):
        size = DOCUMENT_BYTES
        self.check(crowds.send_chunks(60, DECLARATION, size, 65536, method="PUT"))

    def test_documents_in_chunks_of_one_byte(self):
        size = DOCUMENT_BYTES
        self.check(crowds.send_chunks(60, DECLARATION, size, 1, method="PUT"))

    def test_connections_without_a_request(self):
        process = self.deployment.running["directory-0"]
        limit_descriptors(process.pid)
        needs = self.check(
            crowds.send_nothing(DESCRIPTORS), crowds.send_part_of_head(64, DECLARATION)
        )
        self.assertLessEqual(needs.descriptors, DESCRIPTORS - FREE_DESCRIPTORS)


class OwnInterfaceTest(unittest.TestCase):
    """Crowds at the port for callers of the product's own router."""

    def test_bodies_with_a_length_that_stop_short_of_their_end(self):
        with router_bench.start_bench(router_bench.plan()) as bench:
            process = bench.routers[0].process
            key = f"Authorization: Bearer {router_bench.KEY}"
            kind = crowds.send_length(400, "/v1/chat/completions", crowds.MEGABYTE, key)
            port = bench.callers.port
            with crowds.watch(process.pid) as needs, crowds.gather(port, kind):
                during = bench.chat("hello").status
            after = bench.chat("hello").status
            self.assertTrue(process.running, process.describe())
            self.assertLess(needs.memory, GATEWAY_MEGABYTES)
            self.assertEqual((during, after), (200, 200))


def limit_descriptors(pid):
    """Let a process open few files from now on."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def send_whole(port, data):
    """Send bytes on a new connection; return what comes until its end."""
    with contextlib.closing(
        crowds.socket.create_connection((crowds.HOST, port), DEADLINE_SECONDS)
    ) as opened:
        opened.sendall(data)
        answer = b""
        while part := opened.recv(65536):
            answer += part
        return answer
