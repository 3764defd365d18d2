"""An answer that comes too often, or late, decides nothing for a later send."""

import collections
import contextlib
import tempfile
import threading
import unittest

from tests import gateways

REFUSED = 503
REQUEST = "Trestlestall-Request"
ROUNDS = 24
SENDS_A_ROUND = 6


class CopyingUpstream(gateways.Upstream):
    """Sends a copy of each refusal where the next answer of its connection is due.

    ``refuse`` returns the status with which a request is refused; None to run it.
    ``names`` is whether the copies keep the line with the id of the refused request.
    """

    def __init__(self, identity, refuse, names):
        super().__init__(identity)
        self.refuse = refuse
        self.names = names
        self.copies = 0
        self.rejected = []

    @property
    def address(self):
        """Where it listens."""
        return f"{gateways.HOST}:{self.server.server_address[1]}"

    def answer(self, handler):
        """Send the copy that is due on this connection, then refuse or run."""
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        late = getattr(handler, "late", None)
        if late is not None:
            handler.late = None
            self.copies += 1
            handler.wfile.write(late)
        request = handler.headers[REQUEST]
        status = self.refuse(handler)
        if status is None:
            self.seen.append(request)
            handler.wfile.write(encode("200 OK", "", request))
            return
        self.rejected.append(request)
        name = request if self.names else None
        handler.late = encode(status, "Trestlestall-Not-Run: 1\r\n", name)
        handler.wfile.write(encode(status, "Trestlestall-Not-Run: 1\r\n", request))


def encode(status, headers, request):
    """Return an answer; it names no request without one."""
    if request is not None:
        headers += f"{REQUEST}: {request}\r\n"
    signed = "Trestlestall-Signature: s1\r\nContent-Length: 2\r\n"
    return f"HTTP/1.1 {status}\r\n{headers}{signed}\r\nok".encode()


class Restarting:
    """An upstream that starts again at its address, and refuses what names the former.

    The first refusal of a start announces the new identity, as that is known by then.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.starts = 1
        self.is_known = True
        self.lock = threading.Lock()
        self.upstream = CopyingUpstream("moving", self.refuse, names=True)

    @property
    def identity(self):
        """The identity of the present start."""
        return f"moving-{self.starts}"

    def restart(self):
        """Start again twice; nobody knows the last identity yet."""
        with self.lock:
            self.starts += 1
            self.announce()
            self.starts += 1
            self.is_known = False

    def announce(self):
        """Announce the present start."""
        row = gateways.make_row(self.upstream.address, 1)
        gateways.announce(self.deployment.ports["directory-0"], self.identity, row)
        self.is_known = True

    def refuse(self, handler):
        """Refuse a request that is meant for a former start."""
        with self.lock:
            if handler.headers["Trestlestall-Expected-Upstream"] == self.identity:
                return None
            if not self.is_known:
                self.announce()
            return "421 Misdirected Request"


class OnceTest(unittest.TestCase):
    """Requests that may run once, one after the other, through one gateway."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.deployment = gateways.Deployment(folder, directories=1, gateways=1)
        self.stack.callback(self.deployment.stop_all)
        self.refused = set()

    def start(self, *upstreams):
        """Start the processes, and announce these upstreams."""
        self.deployment.start_all()
        self.assertEqual(self.deployment.declare(gateways.make_document(1)), 200)
        port = self.deployment.ports["directory-0"]
        for one in upstreams:
            self.stack.callback(one.stop)
            gateways.wait_until(lambda one=one: one.announce(port) == 200, "announced")
        gateways.wait_until(lambda: self.ask("first") == 200, "a request is served")

    def ask(self, request):
        """Send a request; return the status, and remember a refusal."""
        status = self.deployment.ask("gateway-0", request)
        if status == REFUSED:
            self.refused.add(request)
        return status

    def check_once(self, upstreams):
        """Check that no request ran twice, or was refused and ran; copies were sent."""
        runs = collections.Counter(name for one in upstreams for name in one.seen)
        self.assertEqual({name: n for name, n in runs.items() if n > 1}, {})
        self.assertEqual(self.refused.intersection(runs), set())
        self.assertGreater(sum(one.copies for one in upstreams), 0)

    def test_the_copy_of_a_refusal_does_not_refuse_the_next_send_there(self):
        """Guards against a second run after a copy that has the request's own id."""
        moving = Restarting(self.deployment)
        other = CopyingUpstream("other", lambda handler: None, names=True)
        self.stack.callback(moving.upstream.stop)
        self.start(other)
        for number in range(ROUNDS):
            moving.restart()
            other.announce(self.deployment.ports["directory-0"])
            for send in range(SENDS_A_ROUND):
                self.ask(f"r-{number}-{send}")
        self.check_once((moving.upstream, other))

    def test_a_late_refusal_without_an_id_does_not_refuse_the_request(self):
        """Guards against a second run after a copy whose line with the id is lost."""
        counts = collections.Counter()

        def refuse(handler):
            counts[id(handler.server)] += 1
            return "503 Full" if counts[id(handler.server)] % 3 == 0 else None

        upstreams = [CopyingUpstream(f"u{n}", refuse, names=False) for n in range(3)]
        self.start(*upstreams)
        answers = []
        for number in range(ROUNDS):
            for one in upstreams:
                one.announce(self.deployment.ports["directory-0"])
            for send in range(SENDS_A_ROUND):
                answers.append(self.ask(f"r-{number}-{send}"))
        self.check_once(upstreams)
        self.assertLessEqual(set(answers), {200, REFUSED})
        rejected = {name for one in upstreams for name in one.rejected}
        self.assertLessEqual(self.refused, rejected)
