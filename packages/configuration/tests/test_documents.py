"""Documents: there and back through JSON and CBOR, and what is refused."""

import copy
import json
import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from packages.configuration.tests import generated
from trestlestall.configuration import commands, documents, exceptions, model, state

SUBMISSION = documents.encode_submission(
    commands.Submission(
        "r1",
        "alice",
        1,
        commands.DeclareClass(model.RequestClass("fast", 0, 2.0)),
    )
)
CONFIGURATION = documents.encode_configuration(
    model.Configuration(classes={"fast": model.RequestClass("fast", 0, 2.0)})
)
STATE = documents.encode_state(state.EMPTY)

# A decoder, a good document, the place to change, the value, and the path of the error.
FAULTS = [
    (documents.decode_submission, SUBMISSION, ["number"], "1", "$.number"),
    (documents.decode_submission, SUBMISSION, ["extra"], 1, "$.extra"),
    (
        documents.decode_submission,
        SUBMISSION,
        ["command", "kind"],
        "no",
        "$.command.kind",
    ),
    (documents.decode_submission, SUBMISSION, ["command", "kind"], 1, "$.command.kind"),
    (documents.decode_submission, SUBMISSION, ["command", "x"], 1, "$.command.x"),
    (documents.decode_submission, SUBMISSION, ["command"], [], "$.command"),
    (
        documents.decode_submission,
        SUBMISSION,
        ["command", "request_class", "tier"],
        True,
        "$.command.request_class.tier",
    ),
    (
        documents.decode_submission,
        SUBMISSION,
        ["command", "request_class", "x"],
        1,
        "$.command.request_class.x",
    ),
    (
        documents.decode_configuration,
        CONFIGURATION,
        ["classes", 0, "target"],
        "2s",
        "$.classes[0].target",
    ),
    (
        documents.decode_configuration,
        CONFIGURATION,
        ["classes", 0, "x"],
        1,
        "$.classes[0].x",
    ),
    (documents.decode_configuration, CONFIGURATION, ["drained"], None, "$.drained"),
    (documents.decode_state, STATE, ["format"], 2, "$.format"),
    (documents.decode_state, STATE, ["history"], [{}], "$.history[0]"),
    (
        documents.decode_state,
        STATE,
        ["configuration", "version"],
        1.5,
        "$.configuration.version",
    ),
    (documents.decode_outcome, {"kind": "accepted"}, ["version"], "1", "$.version"),
    (documents.decode_outcome, {}, ["kind"], "other", "$.kind"),
]


def put(document, place, value):
    changed = copy.deepcopy(document)
    part = changed
    for step in place[:-1]:
        part = part[step]
    part[place[-1]] = value
    return changed


def pass_wire(document):
    return cbor2.loads(cbor2.dumps(json.loads(json.dumps(document))))


class DocumentsTest(unittest.TestCase):
    def test_faults(self):
        """Each fault is refused with the path where it stands."""
        for decode, good, place, value, path in FAULTS:
            with self.subTest(place=place, value=value):
                with self.assertRaises(exceptions.InvalidDocument) as caught:
                    decode(put(good, place, value))
                self.assertEqual(caught.exception.path, path)
        for decode in {fault[0] for fault in FAULTS}:
            for document in (None, [], "text", {}):
                with self.subTest(decode=decode, document=document):
                    self.assertRaises(exceptions.InvalidDocument, decode, document)

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.lists(generated.SUBMISSIONS, max_size=20))
    def test_there_and_back(self, submissions):
        """Submissions, outcomes and states come back equal, with equal documents."""
        held = state.EMPTY
        for submission in submissions:
            document = documents.encode_submission(submission)
            back = documents.decode_submission(pass_wire(document))
            self.assertEqual(back, submission)
            held, outcome = state.apply_submission(held, submission, 1.5)
            document = documents.encode_outcome(outcome)
            self.assertEqual(documents.decode_outcome(pass_wire(document)), outcome)
        document = documents.encode_state(held)
        back = documents.decode_state(pass_wire(document))
        self.assertEqual(back.configuration, held.configuration)
        self.assertEqual(documents.encode_state(back), document)


if __name__ == "__main__":
    unittest.main()
