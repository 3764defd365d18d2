"""Calls that read or write the agreed log: the declared configuration, the duties."""

from trestlestall.agreement import events
from trestlestall.daemon.control import calls, machine, voter as voters

OK = 200
UNAVAILABLE = 503
#: Seconds after which a call times out; slightly below the second after which
#: operators' clients turn to another directory.
CALL_TIMEOUT_SECONDS = 0.9


def reply_status(status: int, **more: object) -> calls.Reply:
    """Return a reply with this status and further fields."""
    return calls.Reply({"status": status, **more})


@calls.register
class Declare(calls.Kind):
    """Put a complete configuration in force; the document has version and packed bytes.

    Sending the same one again is acknowledged again: the log decides by the version
    alone.
    """

    name = "declare"
    seconds = CALL_TIMEOUT_SECONDS

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        document = {key: call.document[key] for key in ("version", "packed")}
        payload = machine.encode_entry(machine.DECLARATION, context.wall, document)
        return events.Propose(call.token, payload)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        if isinstance(result, voters.Applied):
            return reply_status(OK, newest=result.document.get("newest", 0))
        return calls.Wait()

    def time_out(self, call: calls.Call) -> calls.Document:
        return {"status": UNAVAILABLE}


@calls.register
class ReadDeclaration(calls.Kind):
    """The newest configuration, confirmed by a quorum."""

    name = "read_declaration"
    seconds = CALL_TIMEOUT_SECONDS

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        return events.Read(call.token)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        if not isinstance(result, voters.Current):
            return calls.Wait()
        newest = context.voter.machine.declaration
        return reply_status(OK, version=newest.version, packed=newest.packed)

    def time_out(self, call: calls.Call) -> calls.Document:
        return {"status": UNAVAILABLE}


@calls.register
class EnterDuty(calls.Kind):
    """Append an event of the duties to the log; the document is the encoded event.

    The reply holds the outcome; without one the event may or may not have been
    appended. Appending the same event again changes nothing.
    """

    name = "enter_duty"
    seconds = CALL_TIMEOUT_SECONDS

    def begin(self, call: calls.Call, context: calls.CallContext) -> calls.Step:
        payload = machine.encode_entry(machine.DUTY, context.wall, call.document)
        return events.Propose(call.token, payload)

    def proceed(
        self, call: calls.Call, result: voters.Result, context: calls.CallContext
    ) -> calls.Step:
        if isinstance(result, voters.Applied):
            return reply_status(OK, outcome=result.document)
        return calls.Wait()

    def time_out(self, call: calls.Call) -> calls.Document:
        return {"status": UNAVAILABLE}
